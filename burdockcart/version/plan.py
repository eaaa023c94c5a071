"""Plan of a change: its row edits, risks and steps."""

import dataclasses
import fnmatch
from typing import Any
from typing import Iterable

import msgspec
from returns import result

from burdockcart import ids
from burdockcart.version import change
from burdockcart.version import patterns
from burdockcart.version import row_checks
from burdockcart.version import rows

#: A change must fit in one store value (1 MB at most) and one peer message;
#: larger sets of edits are applied as several changes.
MAX_EDITS_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class Plan:
    """Edits that lead from the base to the wanted tables.

    ``steps`` are the edits split into changes of bounded size.
    """

    base: rows.Tables
    wanted: rows.Tables
    edits: tuple[change.Edit, ...]
    risks: tuple[str, ...]
    steps: tuple[tuple[change.Edit, ...], ...]


def make(
    base: rows.Tables, wanted: rows.Tables
) -> result.Result[Plan, list[str]]:
    """Return the plan from base to wanted tables, or why there is none."""
    edits = change.difference(base, wanted)
    risks = tuple(_risks(base, wanted, edits))
    steps = _steps(edits)
    # A subset of valid rows is valid, so steps that only add or only remove
    # rows are not checked; 40,000 pools need 80 steps.
    valid_by_order = all(edit.old is None for edit in edits) or (
        all(edit.new is None for edit in edits)
    )
    tables = base
    for number, step in enumerate(steps, 1):
        version = ids.TableVersion(base.version + number)
        tables = change.apply_edits(tables, step, version).unwrap()
        if valid_by_order or number == len(steps):
            continue
        faults = row_checks.check_tables(tables)
        if faults:
            text = "the change is too large for one version and has no "
            text += f"valid order of steps: {faults[0]}"
            return result.Failure([text])
    return result.Success(Plan(base, wanted, edits, risks, steps))


def merge(
    base: rows.Tables, wanted: rows.Tables, head: rows.Tables
) -> result.Result[rows.Tables, list[str]]:
    """Return the head with the edits from base to wanted, or the conflicts.

    A row that both sides changed is a conflict unless the new rows are equal.

    """
    mine = change.difference(base, wanted)
    theirs = {
        (type(edit), edit.name): edit for edit in change.difference(base, head)
    }
    conflicts, edits = [], []
    for edit in mine:
        other = theirs.get((type(edit), edit.name))
        if other is None:
            edits.append(edit)
        elif other.new != edit.new:
            conflicts += [f"changed by both: {line}" for line in lines(other)]
    if conflicts:
        return result.Failure(conflicts)
    merged = change.apply_edits(head, edits, head.version).unwrap()
    faults = row_checks.check_tables(merged)
    if faults:
        return result.Failure([str(fault) for fault in faults])
    return result.Success(merged)


def lines(edit: change.Edit) -> list[str]:
    """Return a readable form of one edit.

    Examples
    ========

    >>> from burdockcart.version import change
    >>> from burdockcart.version import plan
    >>> from burdockcart.version import rows
    >>> old = rows.Route(name="a", caller="*", kind="*", pool="p")
    >>> new = rows.Route(name="a", caller="*", kind="*", pool="q")
    >>> plan.lines(change.RouteEdit(name="a", old=old, new=new))
    ["~ routes [a] pool: 'p' -> 'q'"]

    """
    table = "routes" if isinstance(edit, change.RouteEdit) else "pools"
    where = f"{table} [{edit.name}]"
    if edit.old is None or edit.new is None:
        sign, row = ("+", edit.new) if edit.old is None else ("-", edit.old)
        values = _values(row)
        text = ", ".join(f"{key}={value}" for key, value in values.items())
        return [f"{sign} {where} {text}"]
    old, new = _values(edit.old), _values(edit.new)
    return [
        f"~ {where} {key}: {old.get(key)!r} -> {new.get(key)!r}"
        for key in sorted({*old, *new})
        if old.get(key) != new.get(key)
    ]


def _values(row: Any) -> dict[str, Any]:
    values = msgspec.to_builtins(row)
    values.pop("name")
    for group in values.pop("groups", []):
        members = (
            f"{each['id']} {each['domain']} {each['address']}"
            for each in group["members"]
        )
        values[f"group.{group['id']}"] = ", ".join(members)
    return values


def _covers(route: rows.Route, other: rows.Route) -> bool:
    def covers(pattern: str, inner: str) -> bool:
        return pattern in ("*", inner) or (
            patterns.is_literal(inner) and fnmatch.fnmatchcase(inner, pattern)
        )

    return covers(route.caller, other.caller) and (
        covers(route.kind, other.kind)
    )


def _risks(
    base: rows.Tables, wanted: rows.Tables, edits: Iterable[change.Edit]
) -> Iterable[str]:
    for edit in edits:
        if isinstance(edit, change.PoolEdit):
            yield from _pool_risks(edit)
        elif edit.old is not None:
            yield from _route_risks(edit.old, wanted)


def _route_risks(old: rows.Route, wanted: rows.Tables) -> Iterable[str]:
    if not any(_covers(each, old) for each in wanted.route_by_name.values()):
        yield (
            f"route {old.name!r}: work of caller {old.caller!r}, kind "
            f"{old.kind!r} has no route any more"
        )


def _pool_risks(edit: change.PoolEdit) -> Iterable[str]:
    old, new = edit.old, edit.new
    if old is None:
        return
    if new is None:
        yield f"pool {edit.name!r} is removed"
        return
    for key in ("slots_per_member", "connections_per_member"):
        before, after = _capacity(old, key), _capacity(new, key)
        if after * 2 <= before:
            text = key.removesuffix("_per_member")
            yield f"pool {edit.name!r}: {text} fall from {before} to {after}"
    kept = {group.id: {m.id for m in group.members} for group in new.groups}
    for group in old.groups:
        lost = {each.id for each in group.members} - kept.get(group.id, set())
        if lost:
            yield (
                f"pool {edit.name!r}: group {group.id!r} loses "
                + ", ".join(sorted(lost))
            )


def _capacity(pool: rows.Pool, key: str) -> int:
    members = sum(len(group.members) for group in pool.groups)
    return members * getattr(pool, key)


def _steps(
    edits: tuple[change.Edit, ...],
) -> tuple[tuple[change.Edit, ...], ...]:
    """Split edits into changes of bounded size.

    New pools come before the routes that refer to them, and removed pools
    after the routes that referred to them, so that each step is valid by
    itself.
    """

    def order(edit: change.Edit) -> int:
        if isinstance(edit, change.PoolEdit):
            return 0 if edit.new is not None else 3
        return 1 if edit.new is None else 2

    total = _size(edits)
    if total <= MAX_EDITS_BYTES:
        return (edits,) if edits else ()
    steps: list[list[change.Edit]] = [[]]
    filled = 0
    for edit in sorted(edits, key=order):
        size = _size((edit,))
        if filled + size > MAX_EDITS_BYTES and steps[-1]:
            steps.append([])
            filled = 0
        steps[-1].append(edit)
        filled += size
    return tuple(tuple(step) for step in steps)


def _size(edits: tuple[change.Edit, ...]) -> int:
    return len(msgspec.json.encode(edits))
