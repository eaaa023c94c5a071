"""Keys and values of the platform's store, as the gateway uses them."""

import base64

import loguru
import msgspec

from burdockcart import ids
from burdockcart.platform import decoding
from burdockcart.platform import formats
from burdockcart.platform import store_messages
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era
from burdockcart.process.peers import fleet_key
from burdockcart.version import manifest

MANIFEST_KEY = "op/config"
MEMBER_PREFIX = "servers/"
QUOTA_PREFIX = "quota/"
PROMOTION_PREFIX = "promotions/"
ROSTER_PREFIX = "rosters/"
#: Audit records of the promotions that operators asked for.
OPERATOR_PREFIX = "operator-promotions/"
DAEMON_PREFIX = "daemons/"
FLEET_PREFIX = "fleet/"
FLEET_KEY = FLEET_PREFIX + "key"
#: Newest era in which the store knows all promotions that may be open.
COMPLETE_KEY = FLEET_PREFIX + "complete-since"


def read_manifest(data: bytes) -> manifest.Manifest | None:
    """Return a manifest; log an error and return None if it is invalid."""
    try:
        return formats.read_manifest(data)
    except msgspec.MsgspecError as error:
        loguru.logger.error("event=manifest_unreadable error={!r}", str(error))
        return None


def read_stored_manifest(
    item: store_messages.StoredItem,
) -> manifest.Manifest | None:
    """Return the manifest of an item; log an error if it is invalid."""
    try:
        data = item.data
    except decoding.UnreadableValue as error:
        loguru.logger.error("event=manifest_unreadable error={!r}", str(error))
        return None
    return read_manifest(data)


def _newest_manifest(
    written: list[store_messages.StoredItem],
) -> tuple[manifest.Manifest | None, bool]:
    """Return the newest readable manifest, and whether a later one is not.

    Earlier ones are not decoded: each manifest is complete, and they would
    not be in force.
    """
    for later, event in enumerate(reversed(written)):
        found = None if event.tombstone else read_stored_manifest(event)
        if found is not None:
            return found, later > 0
    return None, bool(written)


def read_changes(
    seen: store_messages.Events, era: ids.StoreEra
) -> coordination.StoreChanges:
    """Group events into manifests, members and daemons."""
    written = [event for event in seen.events if event.key == MANIFEST_KEY]
    newest, unreadable = _newest_manifest(written)
    entry_by_member = {
        _member_id(event): entry
        for event in seen.events
        if event.key.startswith(MEMBER_PREFIX)
        for entry in [read_member(event)]
        if event.tombstone or entry is not None
    }
    entry_by_daemon = {
        _daemon_id(event): entry
        for event in seen.events
        if event.key.startswith(DAEMON_PREFIX)
        for entry in [read_daemon(event)]
        if event.tombstone or entry is not None
    }
    keys = [
        key
        for event in seen.events
        if event.key == FLEET_KEY and not event.tombstone
        if (key := read_fleet_key(event)) is not None
    ]
    complete = [
        era_found
        for event in seen.events
        if event.key == COMPLETE_KEY and not event.tombstone
        if (era_found := read_complete_since(event)) is not None
    ]
    return coordination.StoreChanges(
        tables=[] if newest is None else [newest],
        tables_unreadable=unreadable,
        versions=len(written),
        entry_by_member=entry_by_member,
        entry_by_daemon=entry_by_daemon,
        fleet_key=keys[-1] if keys else None,
        position=store_era.position(era, seen.store_revision),
        complete_since=complete[-1] if complete else None,
        roster_by_group=read_rosters(seen.events, era),
        promotion_by_group=read_promotions(seen.events, era),
        owner_by_shard=read_owners(seen.events, era),
    )


def read_owners(
    items: list[store_messages.StoredItem], era: ids.StoreEra
) -> dict[int, coordination.ShardOwner]:
    """Return the owners of shards among some items, by shard.

    The newest one of each shard counts; an unreadable one tells nothing.
    """
    return {
        int(number): owner
        for item in items
        if item.key.startswith(QUOTA_PREFIX)
        if (number := item.key.removeprefix(QUOTA_PREFIX)).isdecimal()
        if (owner := read_owner(item, era)) is not None
    }


def read_owner(
    item: store_messages.StoredItem, era: ids.StoreEra
) -> coordination.ShardOwner | None:
    """Return the owner of a shard; None for an unreadable one."""
    position = store_era.position(era, item.revision)
    if item.tombstone:
        return coordination.ShardOwner(None, position)
    try:
        return coordination.ShardOwner(
            ids.DaemonId(item.data.decode()), position
        )
    except (decoding.UnreadableValue, UnicodeDecodeError) as error:
        loguru.logger.error(
            "event=shard_owner_unreadable key={} error={!r}",
            item.key,
            str(error),
        )
        return None


def read_promotions(
    items: list[store_messages.StoredItem], era: ids.StoreEra
) -> dict[ids.GroupId, coordination.StoredPromotion]:
    """Return the promotion records among some items, by group.

    The newest one of each group counts; an unreadable one tells nothing.
    """
    return {
        ids.GroupId(
            item.key.removeprefix(PROMOTION_PREFIX)
        ): coordination.StoredPromotion(
            record, store_era.position(era, item.revision)
        )
        for item in items
        if item.key.startswith(PROMOTION_PREFIX) and not item.tombstone
        if (record := formats.read_promotion(item.data)) is not None
    }


def read_rosters(
    items: list[store_messages.StoredItem], era: ids.StoreEra
) -> dict[ids.GroupId, coordination.StoredRoster]:
    """Return the rosters among some items; the newest one of each group."""
    return {
        ids.GroupId(
            item.key.removeprefix(ROSTER_PREFIX)
        ): coordination.StoredRoster(
            _read_roster(item), store_era.position(era, item.revision)
        )
        for item in items
        if item.key.startswith(ROSTER_PREFIX) and not item.tombstone
    }


def _read_roster(
    item: store_messages.StoredItem,
) -> coordination.Roster | None:
    try:
        return formats.read_roster(item.data)
    except msgspec.MsgspecError as error:
        loguru.logger.error(
            "event=roster_unreadable key={} error={!r}",
            item.key,
            str(error)[:200],
        )
        return None


def read_complete_since(
    item: store_messages.StoredItem,
) -> ids.StoreEra | None:
    """Return the era of a record that it is complete; None if unusable."""
    try:
        return formats.read_era(item.data)
    except msgspec.MsgspecError as error:
        loguru.logger.error(
            "event=era_unreadable key={} error={!r}", item.key, str(error)
        )
        return None


def _daemon_id(item: store_messages.StoredItem) -> ids.DaemonId:
    return ids.DaemonId(item.key.removeprefix(DAEMON_PREFIX))


def read_fleet_key(item: store_messages.StoredItem) -> bytes | None:
    """Return the key of the links; None if the value is not one."""
    try:
        key = base64.b64decode(item.value, validate=True)
    except ValueError:
        key = b""
    if len(key) == fleet_key.KEY_BYTES:
        return key
    loguru.logger.error("event=fleet_key_unusable bytes={}", len(key))
    return None


def read_daemon(
    item: store_messages.StoredItem,
) -> coordination.DaemonEntry | None:
    """Return a daemon; None for a removed or unusable entry."""
    if item.tombstone:
        return None
    try:
        return formats.read_daemon(_daemon_id(item), item.data)
    except msgspec.MsgspecError as error:
        loguru.logger.warning(
            "event=daemon_entry_unusable key={} error={!r}",
            item.key,
            str(error)[:200],
        )
        return None


def _member_id(item: store_messages.StoredItem) -> ids.MemberId:
    return ids.MemberId(item.key.removeprefix(MEMBER_PREFIX))


def read_member(
    item: store_messages.StoredItem,
) -> manifest.MemberEntry | None:
    """Return a member; None for a removed or unusable entry."""
    if item.tombstone:
        return None
    try:
        return formats.read_member(_member_id(item), item.data)
    except msgspec.MsgspecError as error:
        loguru.logger.warning(
            "event=member_entry_unusable key={} error={!r}",
            item.key,
            str(error)[:200],
        )
        return None


def read_claim_lost(
    body: bytes, key: str, era: ids.StoreEra
) -> coordination.ClaimLost:
    """Return the record that a refused claim found, and its position.

    Raises
    ======

    msgspec.MsgspecError
        If the answer is not a list of items.

    """
    page = decoding.decode(body, store_messages.Range)
    item = next((each for each in page.items if each.key == key), None)
    if item is None:
        return coordination.ClaimLost(None, store_era.position(era, 0))
    try:
        record = formats.read_promotion(item.data)
    except decoding.UnreadableValue:
        record = None
    return coordination.ClaimLost(
        record, store_era.position(era, item.revision)
    )
