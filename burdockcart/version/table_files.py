"""Parses the two tables from INI files and formats them as such."""

import dataclasses
import pathlib
import re
from typing import Any

import msgspec
from returns import result

from burdockcart import ids
from burdockcart.version import ini_text
from burdockcart.version import row_checks
from burdockcart.version import rows

GROUP_PREFIX = "group."
ROUTES_FILE = "routes.ini"
POOLS_FILE = "pools.ini"
_ROUTE_KEYS = [
    field.name
    for field in msgspec.structs.fields(rows.Route)
    if field.name != "name"
]
_POOL_KEYS = ["slots_per_member", "connections_per_member", "connect_ms"]
_BOOLEANS = {"yes": True, "true": True, "no": False, "false": False}
_KEYWORDS_BY_KEY = {
    "cost": [each.value for each in rows.Cost],
    "acknowledge": [each.value for each in rows.Acknowledge],
    "repeatable": list(_BOOLEANS),
}

Fault = row_checks.Fault
Parsed = result.Result[dict[str, Any], list[Fault]]


def _unknown_keys(
    table: str, section: str, keys: list[str], known: list[str]
) -> list[Fault]:
    return [
        Fault(
            table,
            section,
            key,
            "unknown key" + row_checks.suggestion(key, known),
        )
        for key in keys
        if key not in known
    ]


def _convert(
    table: str, section: str, values: dict[str, Any], row_type: Any
) -> tuple[Any, list[Fault]]:
    try:
        return msgspec.convert(values, row_type, strict=False), []
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$.")
        key = path.rstrip("`")
        missing = re.search(r"missing required field `(\w+)`", message)
        if missing:
            key, message = missing[1], "key is missing"
        elif key in values:
            message += f", got {values[key]!r}"
        return None, [Fault(table, section, key or "-", message)]


def _keyword_faults(section: str, values: dict[str, Any]) -> list[Fault]:
    return [
        Fault(
            row_checks.ROUTES,
            section,
            key,
            f"{values[key]!r} is not one of {', '.join(words)}"
            + row_checks.suggestion(values[key], words),
        )
        for key, words in _KEYWORDS_BY_KEY.items()
        if key in values and values[key] not in words
    ]


def _parse_route(
    section: str, text_by_key: dict[str, str]
) -> tuple[Any, list]:
    values: dict[str, Any] = dict(text_by_key)
    for key in _KEYWORDS_BY_KEY.keys() & values.keys():
        values[key] = values[key].lower()
    faults = _unknown_keys("routes", section, list(values), _ROUTE_KEYS)
    wrong = _keyword_faults(section, values)
    if wrong:
        return None, faults + wrong
    if "repeatable" in values:
        values["repeatable"] = _BOOLEANS[values["repeatable"]]
    row, wrong = _convert(
        "routes", section, {**values, "name": section}, rows.Route
    )
    return row, faults + (wrong or row_checks.check_route(row))


def _parse_members(text: str) -> list[dict[str, str]]:
    words = [entry.split() for entry in text.split(",")]
    return [
        {"id": member, "domain": domain, "address": address}
        for member, domain, address in words
    ]


def _parse_pool(section: str, text_by_key: dict[str, str]) -> tuple[Any, list]:
    values: dict[str, Any] = {}
    groups: list[dict[str, Any]] = []
    faults: list[Fault] = []
    for key, value in text_by_key.items():
        if not key.startswith(GROUP_PREFIX):
            values[key] = value
            continue
        try:
            members = _parse_members(value)
        except ValueError:
            text = "expected 'member failure-domain IP:port' entries, "
            text += "separated by commas"
            faults.append(Fault("pools", section, key, text))
            continue
        group = key.removeprefix(GROUP_PREFIX)
        groups.append({"id": group, "members": members})
    known = [*_POOL_KEYS, GROUP_PREFIX + "NAME"]
    faults += _unknown_keys("pools", section, list(values), known)
    row, wrong = _convert(
        "pools",
        section,
        {**values, "name": section, "groups": groups},
        rows.Pool,
    )
    # A pool whose only group could not be parsed must not also be reported
    # as a pool without groups.
    if not wrong and not faults:
        wrong = row_checks.check_pool(row)
    return row, faults + wrong


_PARSER_BY_TABLE = {"routes": _parse_route, "pools": _parse_pool}


def _locate(fault: Fault, document: ini_text.Document) -> Fault:
    lines = document.line_by_place
    section_line = lines.get((fault.section, "-"), 0)
    line = lines.get((fault.section, fault.key), section_line)
    return dataclasses.replace(fault, line=line)


def _parse_table(
    text: str, table: str
) -> result.Result[tuple[dict[str, Any], ini_text.Document], list[Fault]]:
    read = ini_text.parse(text, table)
    if isinstance(read, result.Failure):
        return read
    document = read.unwrap()
    by_name, faults = {}, []
    for section, values in document.values_by_section.items():
        row, wrong = _PARSER_BY_TABLE[table](section, values)
        by_name[section] = row
        faults += [_locate(fault, document) for fault in wrong]
    if faults:
        return result.Failure(faults)
    return result.Success((by_name, document))


def parse_routes(text: str) -> Parsed:
    """Return the routes by name, or all faults of the file."""
    return _parse_table(text, "routes").map(lambda found: found[0])


def parse_pools(text: str) -> Parsed:
    """Return the pools by name, or all faults of the file."""
    return _parse_table(text, "pools").map(lambda found: found[0])


def parse(
    routes_text: str, pools_text: str, version: ids.TableVersion
) -> result.Result[rows.Tables, list[Fault]]:
    """Return both tables, or every fault found in either file."""
    routes = _parse_table(routes_text, "routes")
    pools = _parse_table(pools_text, "pools")
    faults = [
        fault for part in (routes, pools) for fault in part.swap().value_or([])
    ]
    if faults:
        return result.Failure(faults)
    route_by_name, routes_document = routes.unwrap()
    pool_by_name, pools_document = pools.unwrap()
    tables = rows.Tables(version, route_by_name, pool_by_name)
    documents = {"routes": routes_document, "pools": pools_document}
    faults = [
        _locate(fault, documents[fault.table])
        for fault in row_checks.check_tables(tables)
    ]
    return result.Failure(faults) if faults else result.Success(tables)


def read(
    folder: pathlib.Path, version: ids.TableVersion
) -> result.Result[rows.Tables, list[Fault]]:
    """Return the tables of ``routes.ini`` and ``pools.ini`` in a folder."""
    routes = ini_text.read_text(folder / ROUTES_FILE, "routes")
    pools = ini_text.read_text(folder / POOLS_FILE, "pools")
    faults = [
        fault for part in (routes, pools) for fault in part.swap().value_or([])
    ]
    if faults:
        return result.Failure(faults)
    return parse(routes.unwrap(), pools.unwrap(), version)


def format_routes(tables: rows.Tables) -> str:
    """Return the routes as the text of an INI file."""
    return "\n".join(
        _format_section(
            name,
            {
                key: value
                for key, value in msgspec.to_builtins(route).items()
                if key != "name"
            },
        )
        for name, route in sorted(tables.route_by_name.items())
    )


def format_pools(tables: rows.Tables) -> str:
    """Return the pools as the text of an INI file."""
    return "\n".join(
        _format_section(
            name,
            {key: getattr(pool, key) for key in _POOL_KEYS}
            | {
                f"{GROUP_PREFIX}{group.id}": ", ".join(
                    f"{each.id} {each.domain} {each.address}"
                    for each in group.members
                )
                for group in pool.groups
            },
        )
        for name, pool in sorted(tables.pool_by_name.items())
    )


def _format_section(name: str, values: dict[str, Any]) -> str:
    words = {True: "yes", False: "no"}
    lines = [
        f"{key} = {words[value] if isinstance(value, bool) else value}"
        for key, value in values.items()
        if value is not None
    ]
    return "\n".join([f"[{name}]", *lines, ""])
