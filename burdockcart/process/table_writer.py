"""Commits changes of the tables to the platform's store.

Explanation
===========

The compare-and-swap of the head commits a change.  The record, the audit
entry and the folding into shards follow; if the operator's process ends in
between, the next commit completes them before it overwrites the head.
"""

import asyncio
import dataclasses
import enum
from typing import Iterable

import loguru
import msgspec
from returns import result

from burdockcart import ids
from burdockcart.process import store_client
from burdockcart.process import table_reader
from burdockcart.version import change
from burdockcart.version import plan
from burdockcart.version import table_store

#: With calls of at most 2 s, a commit gives up after about 25 s.
MAX_ATTEMPTS = 8
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 2.0
#: Attempts of a write that the next commit can complete instead.
BEST_EFFORT_ATTEMPTS = 3


class Status(enum.Enum):
    """How a commit ended."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a commit; ``version`` is the newest version it committed."""

    status: Status
    version: int
    message: str = ""


class TableWriter:
    """Writes the changes of one operator.

    Parameters
    ==========

    store : Store
        The platform's store.
    author, time : str
        Who makes the change, and when, for the audit trail.

    """

    def __init__(self, store: store_client.Store, author: str, time: str):
        self._store = store
        self._author = author
        self._time = time

    async def commit(
        self,
        snapshot: table_reader.Snapshot,
        steps: Iterable[tuple[change.Edit, ...]],
        change_id: str,
        action: str = "apply",
    ) -> Outcome:
        """Commit the steps of a plan on top of a snapshot."""
        head, revision = snapshot.head, snapshot.revision
        if head is not None and head.version not in snapshot.recorded_versions:
            if not await self._record(head.change):
                text = "the store did not take the record of the last change"
                return Outcome(Status.FAILED, head.version, text)
        version = snapshot.version
        changes = list(snapshot.changes)
        for number, edits in enumerate(steps):
            mine = change.Change(
                version=ids.TableVersion(version + 1),
                parent=version,
                id=change_id if not number else f"{change_id}.{number}",
                author=self._author,
                time=self._time,
                edits=edits,
                action=action,
            )
            outcome, revision = await self._put_head(mine, revision)
            if outcome.status is not Status.COMMITTED:
                if number:
                    text = f"stopped after version {version}: "
                    text += outcome.message
                    return Outcome(outcome.status, version, text)
                return outcome
            version = mine.version
            changes.append(mine)
            if not await self._record(mine):
                loguru.logger.warning("event=record_postponed v={}", version)
        await self._fold(snapshot, changes)
        await self._delete_old(snapshot)
        return Outcome(Status.COMMITTED, version)

    async def refuse(self, mine: change.Change, reason: str) -> None:
        """Add a refused change to the audit trail, if the store answers."""
        lines = [line for edit in mine.edits[:3] for line in plan.lines(edit)]
        entry = table_store.audit_entry(mine, lines, reason)
        await self._audit(table_store.REFUSED_KEY, entry)

    async def _put_head(
        self, mine: change.Change, expected: int
    ) -> tuple[Outcome, int]:
        value = table_store.encode_value(table_store.Head(mine.version, mine))
        step, pause = change.CommitStep.PUT_AGAIN, RETRY_PAUSE_S
        for _ in range(MAX_ATTEMPTS):
            revision = -1
            if step is change.CommitStep.PUT_AGAIN:
                put = await self._store.put(
                    table_store.HEAD_KEY, value, expected
                )
                item = put.value_or(None)
                if item is not None:
                    outcome = Outcome(Status.COMMITTED, mine.version)
                    return outcome, item.revision
                if put.failure() is store_client.StoreFault.TOO_LARGE:
                    text = "the change is too large for one value"
                    return Outcome(Status.FAILED, mine.parent, text), -1
            read = await table_reader.read_head(self._store)
            head, revision = read.value_or((None, -1))
            step = change.next_commit_step(
                mine, expected, head.change if head else None, revision
            )
            if step is change.CommitStep.READ_RECORD:
                step = await self._find_record(mine)
            if step is change.CommitStep.COMMITTED:
                return Outcome(Status.COMMITTED, mine.version), revision
            if step is change.CommitStep.LOST:
                version = head.version if head else 0
                text = f"another operator applied version {version} first"
                return Outcome(Status.CONFLICT, version, text), -1
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_RETRY_PAUSE_S)
        text = f"the store did not answer; change {mine.id} may be in force"
        return Outcome(Status.UNKNOWN, mine.parent, text), -1

    async def _find_record(self, mine: change.Change) -> change.CommitStep:
        read = await table_reader.read_change(self._store, mine.version)
        record = read.value_or(None)
        if record is None:
            return change.CommitStep.READ_AGAIN
        same = record.id == mine.id
        return change.CommitStep.COMMITTED if same else change.CommitStep.LOST

    async def _record(self, each: change.Change) -> bool:
        """Write the record and the audit entry of a committed change."""
        key = table_store.change_key(each.version)
        for _ in range(BEST_EFFORT_ATTEMPTS):
            put = await self._store.put(key, table_store.encode_value(each), 0)
            fault = put.swap().value_or(None)
            if fault in (None, store_client.StoreFault.CONFLICT):
                lines = [
                    line
                    for edit in each.edits[:3]
                    for line in plan.lines(edit)
                ]
                await self._audit(
                    table_store.audit_key(each.version),
                    table_store.audit_entry(each, lines),
                )
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def _audit(self, key: str, entry: table_store.AuditEntry) -> None:
        for _ in range(BEST_EFFORT_ATTEMPTS):
            read = await self._store.get(key)
            item = read.value_or(None)
            if item is None and (
                read.failure() is not store_client.StoreFault.MISSING
            ):
                continue
            # A corrupt segment is replaced, because it would block all
            # further entries.
            entries = (
                table_store.decode_value(
                    item.value, tuple[table_store.AuditEntry, ...]
                ).value_or(())
                if item
                else ()
            )
            value = table_store.encode_value(
                table_store.add_audit(entries, entry)
            )
            put = await self._store.put(
                key, value, item.revision if item else 0
            )
            if isinstance(put, result.Success):
                return
        loguru.logger.warning("event=audit_entry_missing key={}", key)

    async def _fold(
        self,
        snapshot: table_reader.Snapshot,
        changes: list[change.Change],
    ) -> None:
        """Bring the oldest shards up to date."""
        shards = snapshot.shard_by_number
        empty = table_store.Shard(ids.TableVersion(0))
        found = table_store.changes_between(
            changes,
            snapshot.min_shard_version,
            changes[-1].version if changes else 0,
        ).value_or([])
        if not found:
            return
        unfolded = sum(len(msgspec.json.encode(each)) for each in found)
        count = table_store.SHARD_UPDATES_PER_APPLY
        if unfolded > table_store.MAX_CHANGE_BACKLOG_BYTES:
            count = table_store.SHARDS
        oldest = sorted(
            range(table_store.SHARDS),
            key=lambda n: shards.get(n, empty).version,
        )
        for number in oldest[:count]:
            shard = table_store.update_shard(
                shards.get(number, empty), number, found
            )
            await self._store.put(
                table_store.shard_key(number),
                table_store.encode_value(shard),
                snapshot.revision_by_shard.get(number, 0),
            )

    async def _delete_old(self, snapshot: table_reader.Snapshot) -> None:
        last = min(
            snapshot.min_shard_version,
            snapshot.version - table_store.KEPT_CHANGES,
        )
        old = sorted(v for v in snapshot.recorded_versions if v <= last)
        for version in old[: table_store.DELETES_PER_APPLY]:
            await self._store.delete(table_store.change_key(version))
