"""Reads the tables from the platform's store."""

import dataclasses
from typing import Any

from returns import result

from burdockcart import ids
from burdockcart.process import store_client
from burdockcart.version import change
from burdockcart.version import rows
from burdockcart.version import table_store

_Fault = store_client.StoreFault


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Head, change records and shards of the tables in the store.

    Parameters
    ==========

    head : Head or None
        None if no tables were ever applied.
    revision : int
        Revision of the head; 0 if it does not exist.
    recorded_versions : frozenset of int
        Versions that have a change record.
    changes : tuple of Change
        Changes in the records and in the head, ordered by version.
    shard_by_number, revision_by_shard : dict
        Shards as they are stored, and their revisions.

    """

    head: table_store.Head | None
    revision: int
    recorded_versions: frozenset[int]
    changes: tuple[change.Change, ...]
    shard_by_number: dict[int, table_store.Shard]
    revision_by_shard: dict[int, int]

    @property
    def version(self) -> ids.TableVersion:
        """Return the newest version."""
        return self.head.version if self.head else ids.TableVersion(0)

    @property
    def min_shard_version(self) -> int:
        """Return the lowest version of all shards; 0 if one is missing."""
        if len(self.shard_by_number) < table_store.SHARDS:
            return 0
        return min(shard.version for shard in self.shard_by_number.values())

    def folded(self) -> result.Result[dict[int, table_store.Shard], str]:
        """Return all shards at the newest version."""
        found = table_store.changes_between(
            self.changes, self.min_shard_version, self.version
        )
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        return result.Success(
            table_store.update_all_shards(self.shard_by_number, found.unwrap())
        )

    def tables(self) -> result.Result[rows.Tables, str]:
        """Return the tables at the newest version."""
        return self.folded().map(
            lambda folded: rows.Tables(
                self.version,
                {r.name: r for shard in folded.values() for r in shard.routes},
                {p.name: p for shard in folded.values() for p in shard.pools},
            )
        )


async def read_head(
    store: store_client.Store,
) -> result.Result[tuple[table_store.Head | None, int], str]:
    """Return the head and its revision, or why it can't be read."""
    found = await store.get(table_store.HEAD_KEY)
    fault = found.swap().value_or(None)
    if fault is _Fault.MISSING:
        return result.Success((None, 0))
    if fault is not None:
        return result.Failure(f"the store can't be read: {fault.value}")
    item = found.unwrap()
    head = table_store.decode_value(item.value, table_store.Head)
    if isinstance(head, result.Failure):
        return _corrupt(item.key, head.failure())
    return result.Success((head.unwrap(), item.revision))


async def read_snapshot(
    store: store_client.Store,
) -> result.Result[Snapshot, str]:
    """Return all of the tables, or why they can't be read.

    The head is read last, so that it is newer than the listed records.

    """
    shards: dict[int, tuple[Any, int]] = {}
    for prefix in table_store.SHARD_LISTINGS:
        listed = await _listed(store, prefix, table_store.Shard)
        if isinstance(listed, result.Failure):
            return listed
        for key, found in listed.unwrap().items():
            number = key.removeprefix(table_store.SHARD_PREFIX)
            shards[int(number, 16)] = found
    records = await _listed(store, table_store.CHANGE_PREFIX, change.Change)
    if isinstance(records, result.Failure):
        return records
    read = await read_head(store)
    if isinstance(read, result.Failure):
        return read
    head, revision = read.unwrap()
    by_version = {each.version: each for each, _ in records.unwrap().values()}
    if head is not None:
        # Another operator may have committed after the records were listed.
        for version in range(max(by_version, default=0) + 1, head.version):
            late = await read_change(store, version)
            if isinstance(late, result.Failure):
                break
            by_version[late.unwrap().version] = late.unwrap()
    recorded_versions = frozenset(by_version)
    if head is not None:
        by_version[head.version] = head.change
    return result.Success(
        Snapshot(
            head,
            revision,
            recorded_versions,
            tuple(by_version[version] for version in sorted(by_version)),
            {number: shard for number, (shard, _) in shards.items()},
            {number: found[1] for number, found in shards.items()},
        )
    )


async def _listed(
    store: store_client.Store, prefix: str, value_type: Any
) -> result.Result[dict[str, tuple[Any, int]], str]:
    listed = await store.list_prefix(prefix)
    if isinstance(listed, result.Failure):
        text = f"the store can't be read: {listed.failure().value}"
        return result.Failure(text)
    found = {}
    for item in listed.unwrap():
        value = table_store.decode_value(item.value, value_type)
        if isinstance(value, result.Failure):
            return _corrupt(item.key, value.failure())
        found[item.key] = (value.unwrap(), item.revision)
    return result.Success(found)


async def read_change(
    store: store_client.Store, version: int
) -> result.Result[change.Change, str]:
    """Return the record of one version."""
    found = await store.get(table_store.change_key(version))
    if isinstance(found, result.Failure):
        return result.Failure(
            f"no record of version {version}: {found.failure().value}"
        )
    return table_store.decode_value(found.unwrap().value, change.Change)


def _corrupt(key: str, reason: str) -> result.Failure:
    return result.Failure(f"the value of {key} is corrupt: {reason}")
