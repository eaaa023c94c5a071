"""HTTP client of the platform's key-value store and promotion service."""

import base64
import time
from typing import Any
from typing import Callable
from typing import Collection
from urllib import parse

import loguru
import msgspec
from returns import result
from tornado import httpclient
from tornado import simple_httpclient

from burdockcart import ids
from burdockcart.platform import decoding
from burdockcart.platform import formats
from burdockcart.platform import store_messages
from burdockcart.platform import store_reads
from burdockcart.platform import store_values
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era

#: Timeout of a call, in seconds; the store answers in 4 ms normally, and in
#: 0.4 s when it is slowed a hundredfold.
CALL_TIMEOUT_S = 1.0
#: Time in which a read must receive something, in seconds.  It does not limit
#: the whole read: a large answer on a slow link takes its time.  Together with
#: the pause that follows, it must be shorter than the time for which late
#: manifests are excused after an outage, 4 s: a read that begins at the end of
#: an outage gets no answer.
READ_SILENCE_S = 2.0
#: A read is logged from this size, in bytes, or this time, in seconds.
LOGGED_READ_BYTES = 64 * 1024
LOGGED_READ_S = 0.5
#: Concurrent calls, including open watches.
MAX_CALLS = 50

#: Statuses that say that a promotion was not carried out.  Any other one, as
#: of a proxy in between, leaves open whether it will be.
_NOT_CARRIED_OUT = frozenset(
    {400, 401, 403, 404, 405, 406, 411, 413, 415, 422, 429, 503}
)

#: Prefix and key before the first item of the ranges that make up all keys
#: but the manifest's.
_STATE_RANGES = (
    ("", store_values.MANIFEST_KEY),
    (store_values.DAEMON_PREFIX, ""),
    (store_values.FLEET_PREFIX, ""),
)

#: Header of all answers of the store; rises by one when it is restored.
ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = 6


class _AddressResolver:
    """Returns addresses unchanged, because all of them are IP addresses."""

    async def resolve(
        self, host: str, port: int, family: int = 0
    ) -> list[tuple[int, Any]]:
        """Return the given address."""
        return [(2, (host, port))]

    def close(self) -> None:
        """Do nothing; the HTTP client requires this method."""


#: Methods whose requests have no body.
_WITHOUT_BODY = frozenset({"GET", "DELETE"})
_FAULT_BY_STATUS = {
    404: coordination.CallFault.MISSING,
    410: coordination.CallFault.HISTORY_LOST,
    412: coordination.CallFault.CONFLICT,
    429: coordination.CallFault.UNAVAILABLE,
    503: coordination.CallFault.UNAVAILABLE,
}


class PlatformClient:
    """Client of the platform; see :class:`coordination.Platform`.

    Each call uses its own connection, because a connection on which one
    answer was lost returns no further answers.
    """

    def __init__(self, store_address: str, promotion_address: str):
        #: Called with the cost of each read.
        self.on_read: Callable[[store_reads.ReadCost], None] = lambda _: None
        self.store_address = store_address
        self.promotion_address = promotion_address
        self.eras = store_era.EraWatch()
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CALLS,
            max_buffer_size=store_reads.MAX_ANSWER_BYTES,
            resolver=_AddressResolver(),
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _send(
        self,
        url: str,
        method: str = "GET",
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> store_reads.Answer | None:
        data = None
        if method not in _WITHOUT_BODY:
            data = msgspec.json.encode(body or {})
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=data,
            headers={"Content-Type": "application/json", **(headers or {})},
            connect_timeout=store_reads.CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            loguru.logger.debug("event=call_failed url={} {}", url, error)
            return None
        return store_reads.Answer(answer.code, answer.headers, answer.body)

    async def _ask_store(
        self,
        path: str,
        method: str = "GET",
        era: ids.StoreEra | None = None,
        **options: Any,
    ) -> store_reads.Answer | coordination.CallFault:
        """Call the store, and note the era of its answer."""
        if era not in (None, self.eras.current):
            return coordination.CallFault.RESTORED
        url = f"http://{self.store_address}{path}"
        answer = await self._send(url, method, **options)
        return self._of_current_era(path, answer, era)

    def _of_current_era(
        self,
        path: str,
        answer: store_reads.Answer | None,
        era: ids.StoreEra | None,
    ) -> store_reads.Answer | coordination.CallFault:
        """Return an answer unless it belongs to another era.

        An answer counts only if it is of the newest known era, and of the
        given one: positions and leases of another era name something else.
        """
        if answer is None or answer.code == 599:
            return coordination.CallFault.NO_ANSWER
        known = self.eras.current
        seen = _era(answer)
        if seen is not None and seen != known:
            loguru.logger.warning(
                "event=store_era_seen era={} known={} path={}",
                seen,
                known,
                path.partition("?")[0],
            )
            if not self.eras.observe(seen):
                return coordination.CallFault.RESTORED
        if era not in (None, self.eras.current):
            return coordination.CallFault.RESTORED
        return answer

    async def _call(
        self, path: str, kind: Any, method: str = "GET", **options: Any
    ) -> result.Result[Any, coordination.CallFault]:
        """Call the store and decode its answer.

        After a success the answer is of the newest known era.
        """
        answer = await self._ask_store(path, method, **options)
        return _decode(path, answer, kind)

    async def _write(
        self,
        expected: dict[str, int],
        writes: dict[str, bytes],
        lease: int = 0,
        deletes: tuple[str, ...] = (),
        era: ids.StoreEra | None = None,
    ) -> store_reads.Answer | coordination.CallFault:
        """Write keys at once if others have the expected revisions."""
        body = {
            "expect-rev": [
                {"key": key, "revision": revision}
                for key, revision in expected.items()
            ],
            "writes": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease": lease,
                }
                for key, value in writes.items()
            ],
            "deletes": list(deletes),
        }
        return await self._ask_store("/api/kv-txn", "POST", era=era, body=body)

    async def read_store(
        self,
    ) -> result.Result[coordination.StoreSnapshot, coordination.CallFault]:
        """Return the manifest, members, daemons and key in the store.

        One range over all keys costs one call for each page.  The pages may
        be of different revisions; the first one's is returned, so that no
        later change is missed; some may be seen twice.
        """
        read = await self._range("")
        return read.map(self._snapshot)

    async def read_state(
        self, era: ids.StoreEra
    ) -> result.Result[coordination.StoreSnapshot, coordination.CallFault]:
        """Return what the store holds in an era, without the manifest.

        The keys after the manifest's come first: what a promotion depends on
        is among them.
        """
        items: list[store_messages.StoredItem] = []
        first_revision = None
        for prefix, after in _STATE_RANGES:
            read = await self._range(prefix, after, era)
            if isinstance(read, result.Failure):
                return read
            page = read.unwrap()
            items += page.items
            if first_revision is None:
                first_revision = page.store_revision
        assert first_revision is not None
        snapshot = self._snapshot(store_messages.Range(items, first_revision))
        return result.Success(
            msgspec.structs.replace(snapshot, tables_read=False)
        )

    async def read_manifest(
        self, era: ids.StoreEra
    ) -> result.Result[coordination.StoredManifest, coordination.CallFault]:
        """Return the newest manifest, whatever was written before."""
        path = "/api/kv-key?" + parse.urlencode(
            {"key": store_values.MANIFEST_KEY}
        )
        found = await self._read(path, store_messages.StoredItem, era)
        if found == result.Failure(coordination.CallFault.MISSING):
            return result.Success(coordination.StoredManifest(None))
        return found.map(
            lambda item: coordination.StoredManifest(
                store_values.read_stored_manifest(item)
            )
        )

    def _snapshot(
        self, page: store_messages.Range
    ) -> coordination.StoreSnapshot:
        """Group items into the manifest, members and daemons."""
        item_by_key = {item.key: item for item in page.items}
        config = item_by_key.get(store_values.MANIFEST_KEY)
        key = item_by_key.get(store_values.FLEET_KEY)
        complete = item_by_key.get(store_values.COMPLETE_KEY)
        daemons = [
            store_values.read_daemon(item)
            for item in page.items
            if item.key.startswith(store_values.DAEMON_PREFIX)
            and not item.tombstone
        ]
        return coordination.StoreSnapshot(
            tables=(
                None
                if config is None
                else store_values.read_stored_manifest(config)
            ),
            entry_by_member={
                entry.id: entry
                for item in page.items
                if item.key.startswith(store_values.MEMBER_PREFIX)
                if (entry := store_values.read_member(item)) is not None
            },
            daemon_by_id={
                daemon.id: daemon for daemon in daemons if daemon is not None
            },
            daemons_unreadable=None in daemons,
            fleet_key=(
                None if key is None else store_values.read_fleet_key(key)
            ),
            position=store_era.position(
                self.eras.current, page.store_revision
            ),
            fleet_key_position=(
                None
                if key is None
                else store_era.position(self.eras.current, key.revision)
            ),
            complete_since=(
                None
                if complete is None
                else store_values.read_complete_since(complete)
            ),
            roster_by_group=store_values.read_rosters(
                page.items, self.eras.current
            ),
            promotion_by_group=store_values.read_promotions(
                page.items, self.eras.current
            ),
            owner_by_shard=store_values.read_owners(
                page.items, self.eras.current
            ),
        )

    async def changes(
        self, after: ids.StorePosition, limit_bytes: int | None = None
    ) -> result.Result[coordination.StoreChanges, coordination.CallFault]:
        """Return what changed after a position.

        One watch of all keys costs one call; a watch per prefix would cost
        one call each, and members write all the time.
        """
        revision = store_era.revision_of(after)
        query = {"prefix": "", "after": revision, "wait-ms": 0}
        path = "/api/kv-watch?" + parse.urlencode(query)
        era = store_era.era_of(after)
        answer = await self._read(
            path, store_messages.Events, era, limit_bytes
        )
        return answer.map(lambda seen: store_values.read_changes(seen, era))

    async def _read(
        self,
        path: str,
        kind: Any,
        era: ids.StoreEra | None = None,
        limit_bytes: int | None = None,
    ) -> result.Result[Any, coordination.CallFault]:
        """Read a value that may be large."""
        if era not in (None, self.eras.current):
            return result.Failure(coordination.CallFault.RESTORED)
        answer, cost = await self._fetch(path, limit_bytes)
        decoded_from = time.monotonic()
        found = _decode(path, self._of_current_era(path, answer, era), kind)
        if cost.outcome is store_reads.ReadOutcome.TOO_LONG:
            found = result.Failure(coordination.CallFault.TOO_LONG)
        self._note_read(cost, time.monotonic() - decoded_from)
        return found

    async def _fetch(
        self, path: str, limit_bytes: int | None
    ) -> tuple[store_reads.Answer | None, store_reads.ReadCost]:
        """Return an answer unless it is too long or breaks off."""
        return await store_reads.read(
            self.store_address, path, READ_SILENCE_S, limit_bytes
        )

    def _note_read(self, cost: store_reads.ReadCost, decoded_s: float) -> None:
        """Count a read; log one that was large, slow or not answered."""
        self.on_read(cost)
        if (
            cost.outcome is store_reads.ReadOutcome.COMPLETE
            and cost.received < LOGGED_READ_BYTES
            and cost.took_s < LOGGED_READ_S
        ):
            return
        loguru.logger.info(
            "event=store_read path={} outcome={!r} status={} bytes={} "
            "length={} first_byte_ms={} took_ms={} decoded_ms={}",
            cost.path,
            cost.outcome.value,
            cost.status,
            cost.received,
            cost.length,
            _milliseconds(cost.first_byte_s),
            _milliseconds(cost.took_s),
            _milliseconds(decoded_s),
        )

    async def _range(
        self,
        prefix: str,
        after: str = "",
        era: ids.StoreEra | None = None,
    ) -> result.Result[store_messages.Range, coordination.CallFault]:
        """Return the items under a prefix, and the first page's revision.

        Parameters
        ==========

        after : str
            Key after which the items begin; empty for all.

        """
        items: list[store_messages.StoredItem] = []
        first_revision = None
        while True:
            query = {"prefix": prefix}
            if items or after:
                query["after"] = items[-1].key if items else after
            path = "/api/kv-range?" + parse.urlencode(query)
            answer = await self._read(path, store_messages.Range, era)
            page = answer.value_or(None)
            if page is None:
                return answer
            if first_revision is None:
                first_revision = page.store_revision
                era = self.eras.current
            items += page.items
            if not page.has_more or not page.items:
                return result.Success(
                    store_messages.Range(items, first_revision)
                )

    async def claim_promotion(
        self,
        group: ids.GroupId,
        record: coordination.PromotionRecord,
        expected: ids.StorePosition,
    ) -> result.Result[
        ids.FencingToken, coordination.ClaimLost | coordination.CallFault
    ]:
        """Claim a promotion if the record is still at the expected position.

        The position of the claim is its fencing token: positions only
        increase, so a later claim has a higher token.
        """
        key = store_values.PROMOTION_PREFIX + group
        era = store_era.era_of(expected)
        answer = await self._write(
            {key: store_era.revision_of(expected)},
            {key: formats.encode_promotion(record)},
            era=era,
        )
        if isinstance(answer, coordination.CallFault):
            return result.Failure(answer)
        try:
            if answer.code == 200:
                written = decoding.decode(answer.body, store_messages.Written)
                return result.Success(
                    ids.FencingToken(store_era.position(era, written.revision))
                )
            if answer.code == 412:
                return result.Failure(
                    store_values.read_claim_lost(answer.body, key, era)
                )
        except msgspec.MsgspecError as error:
            # The claim may be in force, as after no answer at all.
            loguru.logger.error(
                "event=answer_unreadable path=/api/kv-txn error={!r}",
                str(error),
            )
            return result.Failure(coordination.CallFault.NO_ANSWER)
        if answer.code in (429, 503):
            return result.Failure(coordination.CallFault.UNAVAILABLE)
        return result.Failure(coordination.CallFault.NO_ANSWER)

    async def record_operator_promotion(
        self, record: coordination.OperatorPromotion, era: ids.StoreEra
    ) -> result.Result[None, coordination.CallFault]:
        """Write the audit record of an operator's promotion."""
        key = f"{store_values.OPERATOR_PREFIX}{record.group}/{record.token}"
        return _status(
            await self._write(
                {}, {key: formats.encode_operator_promotion(record)}, era=era
            )
        )

    async def write_roster(
        self,
        group: ids.GroupId,
        roster: coordination.Roster,
        expected: ids.StorePosition,
    ) -> result.Result[ids.StorePosition, coordination.CallFault]:
        """Replace a group's roster if it is still at the position."""
        key = store_values.ROSTER_PREFIX + group
        era = store_era.era_of(expected)
        answer = await self._write(
            {key: store_era.revision_of(expected)},
            {key: formats.encode_roster(roster)},
            era=era,
        )
        written = _status(answer)
        if isinstance(written, result.Failure):
            return written
        assert not isinstance(answer, coordination.CallFault)
        try:
            found = decoding.decode(answer.body, store_messages.Written)
        except msgspec.MsgspecError as error:
            loguru.logger.error(
                "event=answer_unreadable path=/api/kv-txn error={!r}",
                str(error),
            )
            return result.Failure(coordination.CallFault.UNREADABLE)
        return result.Success(store_era.position(era, found.revision))

    async def promote(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        holder: ids.DaemonId,
        token: ids.FencingToken,
    ) -> result.Result[None, coordination.PromotionFault]:
        """Make a member the primary of its group."""
        answer = await self._send(
            f"http://{self.promotion_address}/promote",
            "POST",
            {"service": group, "id": member},
            {"X-Lease-Holder": holder, "X-Fencing-Token": str(token)},
        )
        if answer is None or answer.code == 599:
            return result.Failure(coordination.PromotionFault.NO_ANSWER)
        if answer.code == 200:
            return result.Success(None)
        if answer.code == 409:
            return result.Failure(coordination.PromotionFault.REJECTED)
        loguru.logger.warning(
            "event=promotion_refused group={} status={}", group, answer.code
        )
        if answer.code in _NOT_CARRIED_OUT:
            return result.Failure(coordination.PromotionFault.UNAVAILABLE)
        return result.Failure(coordination.PromotionFault.NO_ANSWER)

    async def write_fleet_key(
        self, key: bytes, withdrawn: Collection[bytes]
    ) -> result.Result[bytes, coordination.CallFault]:
        """Write the key of the links unless there is a valid one.

        A value that is no key stays; it fails with UNREADABLE.
        """
        for _ in range(2):
            # Whatever a write was answered, the store tells which key is in
            # force: another daemon may have been first.
            found = await self._range(store_values.FLEET_KEY)
            if isinstance(found, result.Failure):
                return result.Failure(coordination.CallFault.NO_ANSWER)
            item = next(iter(found.unwrap().items), None)
            if item is not None:
                in_force = store_values.read_fleet_key(item)
                if in_force is None:
                    return result.Failure(coordination.CallFault.UNREADABLE)
                if in_force not in withdrawn:
                    return result.Success(in_force)
            await self._write(
                {store_values.FLEET_KEY: item.revision if item else 0},
                {store_values.FLEET_KEY: key},
                era=self.eras.current,
            )
        return result.Failure(coordination.CallFault.NO_ANSWER)

    async def record_complete(
        self, era: ids.StoreEra
    ) -> result.Result[None, coordination.CallFault]:
        """Record that the store knows all open promotions in an era.

        If the write is executed in a later era, its value is an earlier one.
        """
        answer = await self._write(
            {}, {store_values.COMPLETE_KEY: formats.encode_era(era)}, era=era
        )
        return _status(answer)

    async def register_daemon(
        self, entry: coordination.DaemonEntry, ttl_s: float
    ) -> result.Result[coordination.Lease, coordination.CallFault]:
        """Register a daemon under a new lease and return the lease."""
        granted = await self._call(
            "/api/kv-lease",
            store_messages.Lease,
            "POST",
            era=entry.era,
            body={"ttl-ms": int(ttl_s * 1000)},
        )
        if isinstance(granted, result.Failure):
            return granted
        era = self.eras.current
        lease = coordination.Lease(era, granted.unwrap().lease)
        value = formats.encode_daemon(msgspec.structs.replace(entry, era=era))
        answer = await self._write(
            {},
            {store_values.DAEMON_PREFIX + entry.id: value},
            lease.number,
            era=era,
        )
        written = _status(answer)
        if isinstance(written, result.Failure):
            # The write may be executed later unless its lease has ended.
            await self.unregister_daemon(lease)
        return written.map(lambda _: lease)

    async def renew_daemon(
        self, lease: coordination.Lease
    ) -> result.Result[None, coordination.CallFault]:
        """Renew the lease of a registered daemon."""
        path = f"/api/kv-keep/{lease.number}"
        return _status(await self._ask_store(path, "POST", era=lease.era))

    async def unregister_daemon(
        self, lease: coordination.Lease
    ) -> result.Result[None, coordination.CallFault]:
        """End the lease of a registered daemon."""
        path = f"/api/kv-lease-end/{lease.number}"
        return _status(await self._ask_store(path, "DELETE", era=lease.era))

    async def withdraw_daemon(
        self, entry: coordination.DaemonEntry
    ) -> result.Result[None, coordination.CallFault]:
        """Remove an entry of this incarnation, whatever its lease.

        Only the entry that was read is removed: another incarnation may
        register at the same time.
        """
        key = store_values.DAEMON_PREFIX + entry.id
        found = await self._call(
            "/api/kv-key?" + parse.urlencode({"key": key}),
            store_messages.StoredItem,
        )
        era = self.eras.current
        if isinstance(found, result.Failure):
            return found
        item = found.unwrap()
        known = store_values.read_daemon(item)
        if known is None or known.incarnation != entry.incarnation:
            return result.Failure(coordination.CallFault.MISSING)
        answer = await self._write(
            {key: item.revision}, {}, deletes=(key,), era=era
        )
        return _status(answer)

    async def acquire_shard(
        self,
        shard: int,
        daemon: ids.DaemonId,
        ttl_s: float,
        expected: ids.StorePosition | None = None,
    ) -> result.Result[
        coordination.ShardHold,
        coordination.ShardOwner | coordination.CallFault,
    ]:
        """Write the key of a shard under a new lease.

        There must be no key, or one at the expected position.
        """
        revision = 0 if expected is None else store_era.revision_of(expected)
        granted = await self._call(
            "/api/kv-lease",
            store_messages.Lease,
            "POST",
            era=None if expected is None else store_era.era_of(expected),
            body={"ttl-ms": int(ttl_s * 1000)},
        )
        if isinstance(granted, result.Failure):
            return granted
        era = self.eras.current
        lease = coordination.Lease(era, granted.unwrap().lease)
        key = f"{store_values.QUOTA_PREFIX}{shard}"
        answer = await self._write(
            {key: revision}, {key: daemon.encode()}, lease.number, era=era
        )
        if isinstance(answer, coordination.CallFault):
            return result.Failure(answer)
        try:
            if answer.code == 200:
                written = decoding.decode(answer.body, store_messages.Written)
                position = store_era.position(era, written.revision)
                return result.Success(coordination.ShardHold(lease, position))
            if answer.code == 412:
                page = decoding.decode(answer.body, store_messages.Range)
                owners = store_values.read_owners(page.items, era)
                return result.Failure(
                    owners.get(shard, coordination.CallFault.CONFLICT)
                )
        except msgspec.MsgspecError as error:
            loguru.logger.error(
                "event=answer_unreadable path=/api/kv-txn error={!r}",
                str(error),
            )
            return result.Failure(coordination.CallFault.NO_ANSWER)
        failed = _status(answer)
        assert isinstance(failed, result.Failure)
        return failed

    async def read_shard(
        self, shard: int
    ) -> result.Result[coordination.ShardOwner, coordination.CallFault]:
        """Return the owner of a shard; fails with MISSING without a key."""
        key = f"{store_values.QUOTA_PREFIX}{shard}"
        found = await self._call(
            "/api/kv-key?" + parse.urlencode({"key": key}),
            store_messages.StoredItem,
        )
        if isinstance(found, result.Failure):
            return found
        owner = store_values.read_owner(found.unwrap(), self.eras.current)
        if owner is None:
            return result.Failure(coordination.CallFault.UNREADABLE)
        return result.Success(owner)

    async def read_first_owner(
        self, shard: int
    ) -> result.Result[coordination.ShardOwner, coordination.CallFault]:
        """Return the first owner of a shard in the history of the store."""
        key = f"{store_values.QUOTA_PREFIX}{shard}"
        query = {"prefix": key, "after": 0, "wait-ms": 0}
        path = "/api/kv-watch?" + parse.urlencode(query)
        found = await self._call(path, store_messages.Events)
        if isinstance(found, result.Failure):
            return found
        changes = [each for each in found.unwrap().events if each.key == key]
        if not changes:
            return result.Failure(coordination.CallFault.MISSING)
        first = min(changes, key=lambda each: each.revision)
        owner = store_values.read_owner(first, self.eras.current)
        if owner is None:
            return result.Failure(coordination.CallFault.UNREADABLE)
        return result.Success(owner)

    async def renew_shard(
        self, lease: coordination.Lease
    ) -> result.Result[None, coordination.CallFault]:
        """Renew the lease of a shard's key."""
        return await self.renew_daemon(lease)

    async def reachable(self) -> bool:
        """Return whether the store answers at all."""
        query = {"prefix": store_values.DAEMON_PREFIX, "serializable": "1"}
        path = "/api/kv-range?" + parse.urlencode(query)
        answer = await self._call(path, store_messages.Range)
        # Such a read may be older than the last restore.
        return isinstance(answer, result.Success) or (
            answer.failure() is coordination.CallFault.RESTORED
        )


def _decode(
    path: str,
    answer: store_reads.Answer | coordination.CallFault,
    kind: Any,
) -> result.Result[Any, coordination.CallFault]:
    """Return the value of a successful answer."""
    status = _status(answer)
    if isinstance(status, result.Failure):
        return status
    assert not isinstance(answer, coordination.CallFault)
    try:
        return result.Success(decoding.decode(answer.body, kind))
    except msgspec.MsgspecError as error:
        loguru.logger.error(
            "event=answer_unreadable path={} error={!r}", path, str(error)
        )
        return result.Failure(coordination.CallFault.UNREADABLE)


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else int(seconds * 1000)


def _era(answer: store_reads.Answer) -> ids.StoreEra | None:
    """Return the era that an answer shows, if it shows one."""
    text = answer.headers.get(ERA_HEADER, "")
    if not text.isdecimal() or len(text) > MAX_ERA_DIGITS:
        return None
    return ids.StoreEra(int(text))


def _status(
    answer: store_reads.Answer | coordination.CallFault,
) -> result.Result[None, coordination.CallFault]:
    """Return whether the store did what it was asked for."""
    if isinstance(answer, coordination.CallFault):
        return result.Failure(answer)
    if answer.code == 200:
        return result.Success(None)
    return result.Failure(
        _FAULT_BY_STATUS.get(answer.code, coordination.CallFault.NO_ANSWER)
    )
