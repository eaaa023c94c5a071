"""Changes of the tables: row edits, versions and commit.

Explanation
===========

A change turns its parent version into its own version.  Version 0 is the
empty tables, so a change with parent 0 contains every row.
"""

import enum
from typing import Any
from typing import Iterable

import msgspec
from returns import result

from burdockcart import ids
from burdockcart.version import rows

EMPTY = rows.Tables(ids.TableVersion(0), {}, {})


class RouteEdit(
    msgspec.Struct, frozen=True, tag="route", omit_defaults=True, kw_only=True
):
    """A route before and after a change; None where it does not exist."""

    name: str
    old: rows.Route | None = None
    new: rows.Route | None = None


class PoolEdit(
    msgspec.Struct, frozen=True, tag="pool", omit_defaults=True, kw_only=True
):
    """A pool before and after a change; None where it does not exist."""

    name: str
    old: rows.Pool | None = None
    new: rows.Pool | None = None


Edit = RouteEdit | PoolEdit


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change.

    Parameters
    ==========

    id : str
        Unique id, generated once by the operator's command.  It identifies
        the change in the store if the answer to the write was lost.
    time : str
        Wall-clock time in ISO 8601, for display only.

    """

    version: ids.TableVersion
    parent: ids.TableVersion
    id: str
    author: str
    time: str
    edits: tuple[Edit, ...]
    action: str = "apply"


def _differing(
    old_by_name: Any, new_by_name: Any, edit_type: Any
) -> Iterable[Edit]:
    for name in sorted({*old_by_name, *new_by_name}):
        old, new = old_by_name.get(name), new_by_name.get(name)
        if old != new:
            yield edit_type(name=name, old=old, new=new)


def difference(base: rows.Tables, wanted: rows.Tables) -> tuple[Edit, ...]:
    """Return the row edits that turn one version into another."""
    return (
        *_differing(base.pool_by_name, wanted.pool_by_name, PoolEdit),
        *_differing(base.route_by_name, wanted.route_by_name, RouteEdit),
    )


def inverse(edits: Iterable[Edit]) -> tuple[Edit, ...]:
    """Return the edits that undo other edits."""
    return tuple(
        msgspec.structs.replace(edit, old=edit.new, new=edit.old)
        for edit in reversed(tuple(edits))
    )


def apply_edits(
    tables: rows.Tables, edits: Iterable[Edit], version: ids.TableVersion
) -> result.Result[rows.Tables, str]:
    """Return the tables after edits, or why the edits do not apply.

    The old row of each edit must equal the current row, so edits made
    against other tables are rejected instead of overwriting a row.

    """
    route_by_name = dict(tables.route_by_name)
    pool_by_name = dict(tables.pool_by_name)
    for edit in edits:
        by_name: Any = (
            route_by_name if isinstance(edit, RouteEdit) else pool_by_name
        )
        if by_name.get(edit.name) != edit.old:
            return result.Failure(
                f"row {edit.name!r} differs from the old row of the edit"
            )
        if edit.new is None:
            by_name.pop(edit.name, None)
        else:
            by_name[edit.name] = edit.new
    return result.Success(rows.Tables(version, route_by_name, pool_by_name))


def apply_change(
    tables: rows.Tables, change: Change
) -> result.Result[rows.Tables, str]:
    """Return the tables after a change, or why it does not apply."""
    base = tables if change.parent else EMPTY
    if change.parent != base.version or change.version <= tables.version:
        return result.Failure(
            f"change {change.parent}->{change.version} does not follow "
            f"version {tables.version}"
        )
    return apply_edits(base, change.edits, change.version)


def rewind(
    tables: rows.Tables, changes: Iterable[Change], version: int
) -> result.Result[rows.Tables, str]:
    """Return the tables as they were at an earlier version.

    ``changes`` must hold all changes between the two versions.

    """
    by_version = {change.version: change for change in changes}
    while tables.version > version:
        change = by_version.get(tables.version)
        if change is None:
            text = f"the record of version {tables.version} is not available"
            return result.Failure(text)
        undone = apply_edits(tables, inverse(change.edits), change.parent)
        if isinstance(undone, result.Failure):
            return undone
        tables = undone.unwrap()
    if tables.version != version:
        return result.Failure(f"there is no version {version}")
    return result.Success(tables)


class CommitStep(enum.Enum):
    """What to do next if the compare-and-swap of a change had no answer."""

    COMMITTED = "committed"
    LOST = "lost to another operator"
    PUT_AGAIN = "put again"
    READ_RECORD = "read the record of the version"
    READ_AGAIN = "read the head again"


def next_commit_step(
    mine: Change,
    expected_revision: int,
    head: Change | None,
    revision: int,
) -> CommitStep:
    """Return the next step, given the current head of the tables.

    Explanation
    ===========

    A put whose answer was lost may take effect before or after the head is
    read.  Retrying it with the same expected revision is safe, because at
    most one write that expects a given revision succeeds.

    Parameters
    ==========

    head : Change or None
        Change in the head; None if the head does not exist or could not be
        read.
    revision : int
        Revision of the head; 0 if the key does not exist, negative if it
        could not be read.

    """
    if head is not None and head.id == mine.id:
        return CommitStep.COMMITTED
    if head is None and revision < 0:
        return CommitStep.READ_AGAIN
    if revision == expected_revision:
        return CommitStep.PUT_AGAIN
    if head is not None and head.version > mine.version:
        return CommitStep.READ_RECORD
    return CommitStep.LOST
