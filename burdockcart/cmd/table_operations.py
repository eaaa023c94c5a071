"""Steps that the commands on the tables share.

Explanation
===========

Each returns an :class:`Ending` with the exit code and the lines to print, so
that the commands can be tested without a terminal.
"""

import argparse
import asyncio
import dataclasses
import getpass
import pathlib
import random
import sys
from typing import Any
from typing import Awaitable
from typing import Callable
import uuid

from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process import store_budget
from burdockcart.process import store_client
from burdockcart.process import table_reader
from burdockcart.process import table_writer
from burdockcart.version import change
from burdockcart.version import plan
from burdockcart.version import rows
from burdockcart.version import table_files

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_RISKY = 5
EXIT_CODES = (
    "Exit codes: 0 success, 1 failure (nothing changed), 2 bad usage or "
    "input, 3 another operator was first, 4 the outcome is unknown, 5 risky "
    "change without --allow-risky."
)
BASE_FILE = "base_version"
#: Lines of a difference that are printed.
MAX_LINES = 200

_EXIT_BY_STATUS = {
    table_writer.Status.COMMITTED: EXIT_OK,
    table_writer.Status.CONFLICT: EXIT_CONFLICT,
    table_writer.Status.FAILED: EXIT_FAILED,
    table_writer.Status.UNKNOWN: EXIT_UNKNOWN,
}


@dataclasses.dataclass(frozen=True)
class Ending:
    """Exit code and output of a command; ``version`` is that in force."""

    code: int
    lines: tuple[str, ...]
    version: int | None = None


@dataclasses.dataclass(frozen=True)
class Request:
    """What an operator asks for."""

    author: str
    time: str
    change_id: str
    action: str = "apply"
    base: int | None = None
    allow_risky: bool = False
    merge: bool = False


@dataclasses.dataclass(frozen=True)
class _Prepared:
    snapshot: table_reader.Snapshot
    plan: plan.Plan


def add_platform(parser: argparse.ArgumentParser) -> None:
    """Add the option that names the platform."""
    parser.add_argument("--platform", required=True, metavar="IP:PORT")


def add_request(parser: argparse.ArgumentParser) -> None:
    """Add the options of a command that changes the tables."""
    add_platform(parser)
    parser.add_argument("--author", default=None)
    parser.add_argument(
        "--change-id",
        default=None,
        help="id of an earlier try whose outcome is unknown",
    )
    parser.add_argument("--allow-risky", action="store_true")


def request_of(args: argparse.Namespace, **fields: Any) -> Request:
    """Return the request of parsed arguments."""
    return Request(
        author=args.author or getpass.getuser(),
        time=clock.utc_timestamp(),
        change_id=args.change_id or uuid.uuid4().hex,
        allow_risky=args.allow_risky,
        **fields,
    )


def run(
    platform: str,
    operation: Callable[[store_client.Store], Awaitable[Ending]],
) -> Ending:
    """Run an operation on the platform's store and print its lines."""

    async def body() -> Ending:
        store = store_budget.BudgetedStore(
            store_client.HttpStore(platform),
            lambda: store_budget.OPERATOR_FLEET_SIZE,
            random.Random(uuid.uuid4().hex),
            clock.LoopClock(),
        )
        return await operation(store)

    command_result = asyncio.run(body())
    for line in command_result.lines:
        print(line, file=sys.stderr if command_result.code else sys.stdout)
    return command_result


def read_base(folder: pathlib.Path) -> int | None:
    """Return the version that a folder was shown from, or None.

    Raises
    ======

    ValueError
        The file does not hold a version.

    """
    path = folder / BASE_FILE
    if not path.exists():
        return None
    return int(path.read_text(encoding="utf-8"))


def write_base(folder: pathlib.Path, version: int) -> None:
    """Note the version that the files of a folder belong to."""
    (folder / BASE_FILE).write_text(f"{version}\n", encoding="utf-8")


def write_folder(folder: pathlib.Path, tables: rows.Tables) -> None:
    """Write both tables and their version to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in (
        (table_files.ROUTES_FILE, table_files.format_routes(tables)),
        (table_files.POOLS_FILE, table_files.format_pools(tables)),
    ):
        (folder / name).write_text(text, encoding="utf-8")
    write_base(folder, tables.version)


def _failed(text: str) -> Ending:
    return Ending(EXIT_FAILED, (f"not done, nothing changed: {text}",))


async def read_tables(
    store: store_client.Store, version: int | None = None
) -> result.Result[tuple[table_reader.Snapshot, rows.Tables], Ending]:
    """Return the newest tables, or those of an earlier version."""
    read = await table_reader.read_snapshot(store)
    tables = read.bind(lambda snapshot: snapshot.tables())
    if version is not None:
        tables = tables.bind(
            lambda found: change.rewind(found, read.unwrap().changes, version)
        )
    if isinstance(tables, result.Failure):
        return result.Failure(_failed(tables.failure()))
    return result.Success((read.unwrap(), tables.unwrap()))


def difference_lines(base: rows.Tables, wanted: rows.Tables) -> list[str]:
    """Return a readable difference of two versions, shortened if long."""
    return edit_lines(change.difference(base, wanted))


def edit_lines(edits: tuple[change.Edit, ...]) -> list[str]:
    """Return readable edits, shortened if there are many."""
    lines = [line for edit in edits for line in plan.lines(edit)]
    if len(lines) > MAX_LINES:
        rest = f"... and {len(lines) - MAX_LINES} more lines"
        return [*lines[:MAX_LINES], rest]
    return lines


def _rebase(
    asked: Request,
    snapshot: table_reader.Snapshot,
    current: rows.Tables,
    wanted: rows.Tables,
) -> result.Result[rows.Tables, Ending]:
    """Return the tables to apply, or why the base is not the head."""
    if asked.base is None and current.version:
        text = f"version {current.version} is in force and no base version "
        text += "is known: use `show --to FOLDER`, or --base N"
        return result.Failure(Ending(EXIT_USAGE, (text,)))
    base_version = asked.base or 0
    if base_version == current.version:
        return result.Success(wanted)
    header = f"refused: version {current.version} is in force, your tables "
    header += f"are based on version {base_version}"
    base = change.rewind(current, snapshot.changes, base_version)
    if isinstance(base, result.Failure):
        command_result = Ending(EXIT_CONFLICT, (header, base.failure()))
        return result.Failure(command_result)
    if not asked.merge:
        since = difference_lines(base.unwrap(), current)
        lines = (header, "changed since then:", *since)
        return result.Failure(Ending(EXIT_CONFLICT, lines))
    return plan.merge(base.unwrap(), wanted, current).alt(
        lambda conflicts: Ending(EXIT_CONFLICT, (header, *conflicts))
    )


async def prepare(
    store: store_client.Store, asked: Request, wanted: rows.Tables
) -> result.Result[_Prepared, Ending]:
    """Return what would be committed, or why nothing is."""
    read = await read_tables(store)
    if isinstance(read, result.Failure):
        return read
    snapshot, current = read.unwrap()
    for each in snapshot.changes:
        if each.id.partition(".")[0] == asked.change_id:
            text = f"change {asked.change_id} is version {each.version}"
            return result.Failure(Ending(EXIT_OK, (text,), each.version))
    rebased = _rebase(asked, snapshot, current, wanted)
    if isinstance(rebased, result.Failure):
        return rebased
    made = plan.make(current, rebased.unwrap())
    if isinstance(made, result.Failure):
        return result.Failure(Ending(EXIT_USAGE, tuple(made.failure())))
    return result.Success(_Prepared(snapshot, made.unwrap()))


def show_plan(made: plan.Plan) -> Ending:
    """Return the edits and risks of a plan."""
    if not made.edits:
        return Ending(EXIT_OK, ("no difference",), made.base.version)
    risks = [f"risky: {risk}" for risk in made.risks]
    code = EXIT_RISKY if risks else EXIT_OK
    lines = [*edit_lines(made.edits), *risks]
    return Ending(code, tuple(lines), made.base.version)


async def plan_tables(
    store: store_client.Store, asked: Request, wanted: rows.Tables
) -> Ending:
    """Show what applying tables would do."""
    prepared = await prepare(store, asked, wanted)
    if isinstance(prepared, result.Failure):
        return prepared.failure()
    return show_plan(prepared.unwrap().plan)


async def apply_tables(
    store: store_client.Store, asked: Request, wanted: rows.Tables
) -> Ending:
    """Put tables in force and return how it ended."""
    writer = table_writer.TableWriter(store, asked.author, asked.time)
    prepared = await prepare(store, asked, wanted)
    if isinstance(prepared, result.Failure):
        command_result = prepared.failure()
        if command_result.code == EXIT_CONFLICT:
            await writer.refuse(_refused(asked, ()), command_result.lines[0])
        return command_result
    snapshot, made = prepared.unwrap().snapshot, prepared.unwrap().plan
    if not made.edits:
        return show_plan(made)
    if made.risks and not asked.allow_risky:
        await writer.refuse(_refused(asked, made.edits), made.risks[0])
        risks = (f"risky: {risk}" for risk in made.risks)
        text = "refused: the change is risky and needs --allow-risky"
        return Ending(EXIT_RISKY, (text, *risks))
    outcome = await writer.commit(
        snapshot, made.steps, asked.change_id, asked.action
    )
    code = _EXIT_BY_STATUS[outcome.status]
    if code == EXIT_OK:
        text = f"applied version {outcome.version}"
        return Ending(code, (text,), outcome.version)
    if code == EXIT_CONFLICT:
        await writer.refuse(_refused(asked, made.edits), outcome.message)
        return await _lost(store, made.base, outcome.message)
    if code == EXIT_UNKNOWN:
        text = f"run the command again with --change-id {asked.change_id}"
        return Ending(code, (outcome.message, text))
    return Ending(code, (f"not applied: {outcome.message}",))


def _refused(asked: Request, edits: tuple[change.Edit, ...]) -> change.Change:
    base = ids.TableVersion(asked.base or 0)
    return change.Change(
        version=base,
        parent=base,
        id=asked.change_id,
        author=asked.author,
        time=asked.time,
        edits=edits,
        action=asked.action,
    )


async def _lost(
    store: store_client.Store, base: rows.Tables, message: str
) -> Ending:
    read = await read_tables(store)
    lines = [f"refused: {message}"]
    if isinstance(read, result.Success):
        lines += ["changed since your base version:"]
        lines += difference_lines(base, read.unwrap()[1])
    return Ending(EXIT_CONFLICT, tuple(lines))
