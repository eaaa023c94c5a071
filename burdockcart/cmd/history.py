"""``burdockcart history``: who changed the tables, when and how."""

import argparse
import pathlib
import sys
from typing import Any
from typing import Iterable

import msgspec
from returns import result

from burdockcart.cmd import table_operations
from burdockcart.process import store_client
from burdockcart.version import table_store


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "history",
        help="print the audit trail of the tables",
        description="Print who changed the tables, when, from which "
        "version, and whether it was accepted. The store keeps the last "
        "32,000 accepted changes (at most 22 MB) and the last 500 refused "
        "ones.",
    )
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--platform", metavar="IP:PORT")
    source.add_argument(
        "--from",
        dest="source",
        type=pathlib.Path,
        metavar="FILE",
        help="read an exported file instead of the store",
    )
    parser.add_argument(
        "--export",
        type=pathlib.Path,
        metavar="FILE",
        help="write all entries to a file, one JSON object per line",
    )
    parser.add_argument("--limit", type=int, default=50, metavar="N")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print or export the audit trail."""
    try:
        if args.source:
            entries = import_lines(args.source.read_bytes())
            print("\n".join(lines_of(entries, args.limit)))
            return table_operations.EXIT_OK
        return table_operations.run(
            args.platform,
            lambda store: history(store, args.limit, args.export),
        ).code
    except (OSError, msgspec.MsgspecError) as error:
        print(f"history: {error}", file=sys.stderr)
        return table_operations.EXIT_USAGE


async def history(
    store: store_client.Store, limit: int, export: pathlib.Path | None
) -> table_operations.Ending:
    """Return the last entries as lines, or export all of them."""
    read = await read_entries(store)
    if isinstance(read, result.Failure):
        text = f"the store can't be read: {read.failure()}"
        return table_operations.Ending(table_operations.EXIT_FAILED, (text,))
    entries = read.unwrap()
    if export is None:
        return table_operations.Ending(0, tuple(lines_of(entries, limit)))
    export.write_bytes(export_lines(entries))
    text = f"wrote {len(entries)} entries to {export}"
    return table_operations.Ending(0, (text,))


async def read_entries(
    store: store_client.Store,
) -> result.Result[list[table_store.AuditEntry], str]:
    """Return all entries that the store keeps, by time."""
    found: list[store_client.Item] = []
    for tens in range(10):
        listed = await store.list_prefix(f"{table_store.AUDIT_PREFIX}{tens}")
        if isinstance(listed, result.Failure):
            return result.Failure(listed.failure().value)
        found += listed.unwrap()
    refused = await store.get(table_store.REFUSED_KEY)
    if isinstance(refused, result.Success):
        found.append(refused.unwrap())
    elif refused.failure() is not store_client.StoreFault.MISSING:
        return result.Failure(refused.failure().value)
    entries: list[table_store.AuditEntry] = []
    for item in found:
        decoded = table_store.decode_value(
            item.value, tuple[table_store.AuditEntry, ...]
        )
        if isinstance(decoded, result.Failure):
            print(f"{item.key} is corrupt, left out", file=sys.stderr)
        entries += decoded.value_or(())
    return result.Success(sorted(entries, key=lambda entry: entry.time))


def export_lines(entries: Iterable[table_store.AuditEntry]) -> bytes:
    """Return entries as JSON, one on each line."""
    return b"".join(msgspec.json.encode(entry) + b"\n" for entry in entries)


def import_lines(data: bytes) -> list[table_store.AuditEntry]:
    """Return the entries of an exported file.

    Raises
    ======

    msgspec.MsgspecError
        A line is not an entry.

    """
    decoder = msgspec.json.Decoder(table_store.AuditEntry)
    return [decoder.decode(line) for line in data.splitlines() if line]


def lines_of(
    entries: list[table_store.AuditEntry], limit: int
) -> Iterable[str]:
    """Return the last entries as lines."""
    for entry in entries[-limit:] if limit > 0 else ():
        what = (
            f"refused base={entry.parent} reason={entry.reason!r}"
            if entry.version is None
            else f"version={entry.version} from={entry.parent}"
        )
        yield (
            f"time={entry.time} author={entry.author!r} "
            f"action={entry.action!r} {what} change={entry.change_id} "
            f"rows={entry.rows} {'; '.join(entry.first_rows)}"
        )
