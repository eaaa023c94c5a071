"""Layout of the tables in the platform's store.

Explanation
===========

- ``tables/head`` holds the newest change; writing it by compare-and-swap
  commits the change.
- ``tables/change/<version>`` holds a copy of each change, written after the
  head.
- ``tables/shard/<n>`` holds the rows of one of 256 shards at some version;
  applying the later changes brings it up to date.
- ``tables/audit/<n>`` is a ring buffer of segments with the accepted changes;
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
#: Key prefixes up to the first hex digit; each listing returns a sixteenth of
#: the shards, about 1 MB at 40,000 pools.
SHARD_LISTINGS = tuple(f"{SHARD_PREFIX}{digit:x}" for digit in range(16))

#: Change records kept after all shards contain them, so that a daemon that
#: was disconnected for some minutes catches up without reading the shards.
KEPT_CHANGES = 512
#: Shards updated and change records deleted by each apply.  One shard per
#: change, on average, keeps all shards within 256 versions of the head.
SHARD_UPDATES_PER_APPLY = 2
DELETES_PER_APPLY = 4
#: Size of the changes that some shard lacks, in bytes, above which one apply
#: updates all shards.
MAX_CHANGE_BACKLOG_BYTES = 4 * 1024 * 1024

#: The ring buffer keeps 64 x 500 = 32,000 accepted changes (1.9 days at 17,000
#: a day) in at most 64 x 350 KB = 22 MB, and 500 refused ones in 350 KB.
AUDIT_SEGMENTS = 64
AUDIT_SEGMENT_ENTRIES = 500
MAX_AUDIT_TEXT = 300

_Decoded = TypeVar("_Decoded")


class Head(msgspec.Struct, frozen=True):
    """Value of the head key: the newest change."""

    version: ids.TableVersion
    change: change.Change


class Shard(msgspec.Struct, frozen=True):
    """Rows of one shard at a version."""

    version: ids.TableVersion
    routes: tuple[rows.Route, ...] = ()
    pools: tuple[rows.Pool, ...] = ()


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Audit record of one change: its author, action and result."""

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
    """Return an encoded head whose change contains all rows."""
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

    Routes of one caller share a shard, so that a lookup decodes only one
    shard; routes whose caller is a pattern are distributed by name.

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
    """Return a shard with all later changes applied, in order."""
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
    """Return all shards with all later changes applied.

    Each edit is processed once, not once per shard.

    """
    empty = Shard(ids.TableVersion(0))
    updated = {n: shard_by_number.get(n, empty) for n in range(SHARDS)}
    pending: dict[int, list[change.Edit]] = {}
    for each in changes:
        if not each.parent:
            updated = dict.fromkeys(range(SHARDS), empty)
            pending = {}
        for edit in each.edits:
            for number in shards_of_edit(edit):
                if each.version > updated[number].version:
                    pending.setdefault(number, []).append(edit)
    for number, edits in pending.items():
        version = updated[number].version
        updated[number] = apply_edits_to_shard(
            updated[number], number, edits, version
        )
    return updated


def changes_between(
    changes: Iterable[change.Change], after: int, until: int
) -> result.Result[list[change.Change], str]:
    """Return the consecutive changes that lead from a version to another.

    A change with parent 0 replaces all rows, so no earlier one is needed.

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
    audited: change.Change,
    first_rows: Iterable[str],
    reason: str | None = None,
) -> AuditEntry:
    """Return the audit entry of an accepted or a refused change."""
    return AuditEntry(
        time=audited.time,
        author=audited.author[:MAX_AUDIT_TEXT],
        action=audited.action,
        change_id=audited.id[:MAX_AUDIT_TEXT],
        parent=audited.parent,
        version=None if reason else audited.version,
        rows=len(audited.edits),
        first_rows=tuple(row[:60] for row in list(first_rows)[:3]),
        reason=reason[:MAX_AUDIT_TEXT] if reason else None,
    )


def add_audit(
    entries: tuple[AuditEntry, ...], entry: AuditEntry
) -> tuple[AuditEntry, ...]:
    """Return a segment with an entry added; the entry appears only once.

    A segment that the ring buffer reuses drops its earlier entries.

    """
    if entry.version is not None:
        first = entry.version - entry.version % AUDIT_SEGMENT_ENTRIES
        entries = tuple(e for e in entries if e.version and e.version >= first)
    kept = tuple(e for e in entries if e.change_id != entry.change_id)
    return (*kept, entry)[-AUDIT_SEGMENT_ENTRIES:]
