"""Form of the tables in the platform's store.

Explanation
===========

- ``tables/head`` holds the newest change; writing it by compare-and-swap
  commits the change.
- ``tables/change/<version>`` holds the change again, written after the head.
- ``tables/shard/<n>`` holds the rows of one of 256 shards at some version;
  the changes after that version bring it up to date.
- ``tables/audit/<n>`` is a ring of segments with the accepted changes, and
  ``tables/refused`` holds the last refused ones.
"""

from typing import Any
from typing import Iterable
from typing import Mapping
from typing import TypeVar

import msgspec
from returns import result
import xxhash

from burdockcart import ids
from burdockcart.version import change
from burdockcart.version import patterns
from burdockcart.version import rows

HEAD_KEY = "tables/head"
CHANGE_PREFIX = "tables/change/"
SHARD_PREFIX = "tables/shard/"
AUDIT_PREFIX = "tables/audit/"
REFUSED_KEY = "tables/refused"

SHARDS = 256
#: First hex digits of shard keys; one listing answers a sixteenth of the
#: shards, about 1 MB at 40,000 pools.
SHARD_LISTINGS = tuple(f"{SHARD_PREFIX}{digit:x}" for digit in range(16))

#: Change records kept after they are in all shards, so that a daemon that
#: was cut off for some minutes catches up without reading the shards.
KEPT_CHANGES = 512
#: Shards folded and records deleted by each apply: on average one shard for
#: each change keeps all of them within 256 versions of the head.
SHARD_UPDATES_PER_APPLY = 2
DELETES_PER_APPLY = 4
#: Changes of this size in total are folded at once.
MAX_CHANGE_BACKLOG_BYTES = 4 * 1024 * 1024

#: The ring keeps 64 x 500 = 32,000 accepted changes (1.9 days at 17,000 a
#: day) in at most 64 x 350 KB = 22 MB, and 500 refused ones in 350 KB.
AUDIT_SEGMENTS = 64
AUDIT_SEGMENT_ENTRIES = 500
MAX_AUDIT_TEXT = 300

_Decoded = TypeVar("_Decoded")


class Head(msgspec.Struct, frozen=True):
    """Value of the head: the newest change."""

    version: ids.TableVersion
    change: change.Change


class Shard(msgspec.Struct, frozen=True):
    """Rows of one shard as they are at a version."""

    version: ids.TableVersion
    routes: tuple[rows.Route, ...] = ()
    pools: tuple[rows.Pool, ...] = ()


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Who did what to the tables, and what became of it."""

    time: str
    author: str
    action: str
    change_id: str
    parent: ids.TableVersion
    version: ids.TableVersion | None = None
    rows: int = 0
    first_rows: tuple[str, ...] = ()
    reason: str | None = None


def change_key(version: int) -> str:
    """Return the key of the record of a version.

    Examples
    ========

    >>> from burdockcart.version import table_store
    >>> table_store.change_key(7)
    'tables/change/000000000007'

    """
    return f"{CHANGE_PREFIX}{version:012d}"


def shard_key(number: int) -> str:
    """Return the key of a shard."""
    return f"{SHARD_PREFIX}{number:02x}"


def audit_key(version: int) -> str:
    """Return the key of the audit segment that a version belongs to."""
    segment = version // AUDIT_SEGMENT_ENTRIES % AUDIT_SEGMENTS
    return f"{AUDIT_PREFIX}{segment:02d}"


def encode_value(value: Any) -> str:
    """Return a value of the store as JSON."""
    return msgspec.json.encode(value).decode()


def decode_value(
    text: str, value_type: type[_Decoded]
) -> result.Result[_Decoded, str]:
    """Return the value of a JSON text, or why it is corrupt."""
    try:
        return result.Success(msgspec.json.decode(text, type=value_type))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        return result.Failure(str(error))


def encode(tables: rows.Tables) -> str:
    """Return a head that brings whole tables into force."""
    whole = change.Change(
        version=tables.version,
        parent=change.EMPTY.version,
        id=f"whole-{tables.version}",
        author="-",
        time="-",
        edits=change.difference(change.EMPTY, tables),
    )
    return encode_value(Head(tables.version, whole))


def shard_of_pool(name: str) -> int:
    """Return the shard of a pool."""
    return xxhash.xxh3_64_intdigest(f"pool\0{name}".encode()) % SHARDS


def shard_of_caller(caller: str) -> int:
    """Return the shard of the routes that name one caller."""
    return xxhash.xxh3_64_intdigest(f"caller\0{caller}".encode()) % SHARDS


def shard_of_route(route: rows.Route) -> int:
    """Return the shard of a route.

    Routes of one caller share a shard, so that a look-up decodes one shard
    only; routes with a pattern for the caller are spread by name.

    """
    if patterns.is_literal(route.caller):
        return shard_of_caller(route.caller)
    return xxhash.xxh3_64_intdigest(f"route\0{route.name}".encode()) % SHARDS


def shards_of_edit(edit: change.Edit) -> set[int]:
    """Return the shards that an edit touches."""
    if isinstance(edit, change.PoolEdit):
        return {shard_of_pool(edit.name)}
    return {shard_of_route(row) for row in (edit.old, edit.new) if row}


def apply_edits_to_shard(
    shard: Shard, number: int, edits: Iterable[change.Edit], version: int
) -> Shard:
    """Return a shard with edits applied to its rows."""
    route_by_name = {row.name: row for row in shard.routes}
    pool_by_name = {row.name: row for row in shard.pools}
    for edit in edits:
        if isinstance(edit, change.PoolEdit):
            if shard_of_pool(edit.name) != number:
                continue
            pool_by_name.pop(ids.PoolName(edit.name), None)
            if edit.new is not None:
                pool_by_name[edit.new.name] = edit.new
            continue
        if edit.old is not None and shard_of_route(edit.old) == number:
            route_by_name.pop(edit.old.name, None)
        if edit.new is not None and shard_of_route(edit.new) == number:
            route_by_name[edit.new.name] = edit.new
    return Shard(
        ids.TableVersion(version),
        tuple(route_by_name.values()),
        tuple(pool_by_name.values()),
    )


def update_shard(
    shard: Shard, number: int, changes: Iterable[change.Change]
) -> Shard:
    """Return a shard brought up to date by all later changes, in order."""
    for each in changes:
        if each.version <= shard.version:
            continue
        if not each.parent:
            shard = Shard(ids.TableVersion(0))
        shard = apply_edits_to_shard(shard, number, each.edits, each.version)
    return shard


def update_all_shards(
    shard_by_number: Mapping[int, Shard], changes: Iterable[change.Change]
) -> dict[int, Shard]:
    """Return every shard brought up to date by all later changes.

    Each edit is looked at once, not once for each shard.

    """
    empty = Shard(ids.TableVersion(0))
    folded = {n: shard_by_number.get(n, empty) for n in range(SHARDS)}
    pending: dict[int, list[change.Edit]] = {}
    for each in changes:
        if not each.parent:
            folded = dict.fromkeys(range(SHARDS), empty)
            pending = {}
        for edit in each.edits:
            for number in shards_of_edit(edit):
                if each.version > folded[number].version:
                    pending.setdefault(number, []).append(edit)
    for number, edits in pending.items():
        version = folded[number].version
        folded[number] = apply_edits_to_shard(
            folded[number], number, edits, version
        )
    return folded


def changes_between(
    changes: Iterable[change.Change], after: int, until: int
) -> result.Result[list[change.Change], str]:
    """Return the changes from one version to another without a gap.

    A change with parent 0 replaces all rows, so none before it is needed.

    """
    by_version = {each.version: each for each in changes}
    found: list[change.Change] = []
    at = ids.TableVersion(until)
    while at > after:
        each = by_version.get(at)
        if each is None:
            return result.Failure(f"no record of version {at}")
        found.append(each)
        at = each.parent
    if at < after and at != change.EMPTY.version:
        return result.Failure(f"version {after} is not an ancestor")
    return result.Success(found[::-1])


def audit_entry(
    each: change.Change, first_rows: Iterable[str], reason: str | None = None
) -> AuditEntry:
    """Return the entry of an accepted change, or of a refused one."""
    return AuditEntry(
        time=each.time,
        author=each.author[:MAX_AUDIT_TEXT],
        action=each.action,
        change_id=each.id[:MAX_AUDIT_TEXT],
        parent=each.parent,
        version=None if reason else each.version,
        rows=len(each.edits),
        first_rows=tuple(row[:60] for row in list(first_rows)[:3]),
        reason=reason[:MAX_AUDIT_TEXT] if reason else None,
    )


def add_audit(
    entries: tuple[AuditEntry, ...], entry: AuditEntry
) -> tuple[AuditEntry, ...]:
    """Return a segment with an entry; an entry that it holds stays once.

    A segment that the ring comes back to drops the entries of the last
    round.

    """
    if entry.version is not None:
        first = entry.version - entry.version % AUDIT_SEGMENT_ENTRIES
        entries = tuple(e for e in entries if e.version and e.version >= first)
    kept = tuple(e for e in entries if e.change_id != entry.change_id)
    return (*kept, entry)[-AUDIT_SEGMENT_ENTRIES:]
