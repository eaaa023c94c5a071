"""Checks of rows that their types do not express.

Explanation
===========

The same checks run on the operator's files and on what a daemon gets from
the store or from a peer, so that a value that ``check`` refuses cannot be
put in force by another way.
"""

import collections
import dataclasses
import difflib
import ipaddress
import itertools
from typing import Iterable

from burdockcart.request import routing
from burdockcart.version import patterns
from burdockcart.version import rows

ROUTES = "routes"
POOLS = "pools"

MAX_NAME_LENGTH = 128
MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 600_000
MAX_AGE_MS = 86_400_000
MAX_CONNECT_MS = 60_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
#: One connection carries state questions and promotions while statements
#: use the others.
MIN_CONNECTIONS = 2


@dataclasses.dataclass(frozen=True)
class Fault:
    """One mistake in a table; ``line`` is 0 if it has no line."""

    table: str
    section: str
    key: str
    message: str
    line: int = 0

    def __str__(self) -> str:
        where = f"{self.table}:{self.line}" if self.line else self.table
        return f"{where} [{self.section}] {self.key}: {self.message}"


def suggestion(word: str, known: Iterable[str]) -> str:
    """Return a likely spelling as the end of a message, or nothing.

    Examples
    ========

    >>> from burdockcart.version import row_checks
    >>> row_checks.suggestion("deadlin_ms", ["deadline_ms", "cost"])
    ", did you mean 'deadline_ms'?"

    """
    close = difflib.get_close_matches(word, list(known), 1)
    return f", did you mean {close[0]!r}?" if close else ""


def _range(name: str, value: int, low: int, high: int) -> Iterable[str]:
    if not low <= value <= high:
        yield f"{value} is not between {low} and {high}"


def _name_fault(name: str) -> str | None:
    if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable():
        return f"name must be 1 to {MAX_NAME_LENGTH} printable characters"
    return None


def check_route(route: rows.Route) -> list[Fault]:
    """Return the faults of one route by itself."""
    found = [
        ("-", _name_fault(route.name)),
        ("caller", patterns.pattern_fault(route.caller)),
        ("kind", patterns.pattern_fault(route.kind)),
    ]
    bounds = {
        "deadline_ms": (MIN_DEADLINE_MS, MAX_DEADLINE_MS),
        "max_age_ms": (0, MAX_AGE_MS),
    }
    for key, (low, high) in bounds.items():
        for text in _range(key, getattr(route, key), low, high):
            found.append((key, text))
    return [
        Fault(ROUTES, route.name, key, text) for key, text in found if text
    ]


def address_fault(address: str) -> str | None:
    """Return what is wrong with an ``IP:port`` address, or None."""
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
    except ValueError:
        return f"{address!r} is not IP:port"
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return f"port of {address!r} is not between 1 and 65535"
    return None


def check_pool(pool: rows.Pool, addresses: bool = True) -> list[Fault]:
    """Return the faults of one pool by itself.

    ``addresses`` false accepts any form of address.

    """
    found = [("-", _name_fault(pool.name))]
    bounds = {
        "slots_per_member": (1, MAX_SLOTS),
        "connections_per_member": (MIN_CONNECTIONS, MAX_CONNECTIONS),
        "connect_ms": (0, MAX_CONNECT_MS),
    }
    for key, (low, high) in bounds.items():
        for text in _range(key, getattr(pool, key), low, high):
            found.append((key, text))
    if not pool.groups:
        found.append(("-", "pool has no group"))
    for group in pool.groups:
        key = f"group.{group.id}"
        if not group.members:
            found.append((key, "group has no member"))
        found.append((key, _name_fault(group.id)))
        for member in group.members:
            found.append((key, _name_fault(member.id)))
            if addresses:
                found.append((key, address_fault(member.address)))
    return [Fault(POOLS, pool.name, key, text) for key, text in found if text]


def check_unique(pools: Iterable[rows.Pool]) -> list[Fault]:
    """Return faults of group ids, member ids and addresses used twice."""
    first_by_use: dict[tuple[str, str], str] = {}
    faults = []
    for pool in pools:
        for group in pool.groups:
            uses = [("group", str(group.id))]
            for member in group.members:
                uses += [("member", member.id), ("address", member.address)]
            where = f"pool {pool.name!r} group {group.id!r}"
            for use in uses:
                if use in first_by_use:
                    text = f"{use[0]} {use[1]!r} is already in "
                    text += first_by_use[use]
                    key = f"group.{group.id}"
                    faults.append(Fault(POOLS, pool.name, key, text))
                first_by_use.setdefault(use, where)
    return faults


def check_ambiguous(routes: Iterable[rows.Route]) -> list[Fault]:
    """Return faults of equally specific routes that match the same work."""
    same = collections.defaultdict(list)
    for route in routes:
        literal = patterns.is_literal(route.caller)
        key = route.caller if literal else None
        same[routing.specificity(route), key].append(route)
    # Routes of different literal callers cannot match the same work; with
    # one caller each, a comparison of all pairs of 40,000 rows is avoided.
    faults = []
    for (specificity, caller), group in same.items():
        pairs = list(itertools.combinations(group, 2))
        if caller is not None:
            wild = same.get((specificity, None), [])
            pairs += itertools.product(wild, group)
        for one, other in pairs:
            if patterns.overlap(one.caller, other.caller) and (
                patterns.overlap(one.kind, other.kind)
            ):
                text = f"matches the same work as route {one.name!r} and "
                text += "is equally specific"
                faults.append(Fault(ROUTES, other.name, "kind", text))
    return faults


def check_references(
    routes: Iterable[rows.Route], pool_names: Iterable[str]
) -> list[Fault]:
    """Return faults of routes that name no known pool."""
    known = set(pool_names)
    return [
        Fault(
            ROUTES,
            route.name,
            "pool",
            f"no pool {route.pool!r}" + suggestion(route.pool, known),
        )
        for route in routes
        if route.pool not in known
    ]


def check_tables(tables: rows.Tables, addresses: bool = True) -> list[Fault]:
    """Return every fault of both tables."""
    routes = list(tables.route_by_name.values())
    pools = list(tables.pool_by_name.values())
    faults = [fault for route in routes for fault in check_route(route)]
    faults += [
        fault for pool in pools for fault in check_pool(pool, addresses)
    ]
    faults += check_unique(pools)
    faults += check_references(routes, tables.pool_by_name)
    if not faults:
        faults += check_ambiguous(routes)
    return faults
