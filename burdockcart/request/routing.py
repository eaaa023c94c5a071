"""Choice of the route, the group and the member for a request."""

import bisect
import itertools
from typing import Iterable

import msgspec
import xxhash

from burdockcart import ids
from burdockcart.request import freshness
from burdockcart.version import rows


def specificity(route: rows.Route) -> tuple[int, int]:
    """Return the number of literal characters of a route's patterns."""

    def literal(pattern: str) -> int:
        return sum(character not in "*?[]" for character in pattern)

    return literal(route.caller), literal(route.kind)


def find_route(
    routes: Iterable[rows.Route], caller: str, kind: str
) -> rows.Route | None:
    """Return the most specific route that matches, or None.

    Examples
    ========

    >>> from burdockcart.request import routing
    >>> from burdockcart.version import rows
    >>> any_kind = rows.Route(name="a", caller="*", kind="*", pool="p")
    >>> push = rows.Route(name="b", caller="*", kind="push", pool="p")
    >>> routing.find_route([any_kind, push], "studio", "push").name
    'b'

    """
    matching = [route for route in routes if route.matches(caller, kind)]
    return max(matching, key=specificity, default=None)


def find_group(
    pool: rows.Pool, database: str | None, key: str
) -> rows.Group | None:
    """Return the named group, or the rendezvous hash of a key."""
    if database is not None:
        return next((g for g in pool.groups if g.id == database), None)
    return max(
        pool.groups,
        key=lambda group: xxhash.xxh3_64_intdigest(
            f"{group.id}\0{key}".encode()
        ),
        default=None,
    )


class ReadCandidate(msgspec.Struct, frozen=True):
    """State of a replica when a read chooses its member.

    Parameters
    ==========

    wait_s : float or None
        Expected time until the member holds the session's position; 0 if
        it should hold it now, None if it is not expected to.
    fresh : bool
        Whether its age is within the bound of the route.
    load : float
        Running and waiting statements per slot.

    """

    member: rows.Member
    wait_s: float | None
    fresh: bool
    load: float


def rank_replicas(
    candidates: Iterable[ReadCandidate],
    primary_load: float,
    domain: ids.DomainName,
    draw: float,
) -> list[rows.Member]:
    """Return the replicas that a read may go to, best first.

    Explanation
    ===========

    A local replica with a free slot comes first.  Otherwise the order is
    random with weights ``1 / (1 + load)``: the loads are up to one report
    interval old, and choosing the lowest would send all daemons to the same
    member.  A wait is accepted up to ``CATCH_UP_WAIT_S`` when the primary is
    fully loaded, and proportionally less when it has capacity for the read.

    Parameters
    ==========

    draw : float
        Number in [0, 1) that selects among loaded replicas, for example
        from the hash of the request id.

    Examples
    ========

    >>> from burdockcart.request import routing
    >>> from burdockcart.version import rows
    >>> a, b = rows.Member("a", "x", ""), rows.Member("b", "y", "")
    >>> ready = [routing.ReadCandidate(a, 0.0, True, 0.5),
    ...          routing.ReadCandidate(b, 0.0, True, 0.0)]
    >>> [m.id for m in routing.rank_replicas(ready, 0.0, "x", 0.9)]
    ['a', 'b']
    >>> late = [routing.ReadCandidate(a, 0.04, True, 0.0)]
    >>> routing.rank_replicas(late, 0.2, "x", 0.0)
    []
    >>> [m.id for m in routing.rank_replicas(late, 1.0, "x", 0.0)]
    ['a']

    """
    max_wait_s = freshness.CATCH_UP_WAIT_S * min(primary_load, 1.0)
    eligible = [
        each
        for each in candidates
        if each.fresh and each.wait_s is not None and each.wait_s <= max_wait_s
    ]
    eligible.sort(key=lambda each: (each.wait_s, each.member.domain != domain))
    ready = [each for each in eligible if not each.wait_s]
    waiting = [each.member for each in eligible if each.wait_s]
    if ready and ready[0].member.domain == domain and ready[0].load < 1:
        return [each.member for each in ready] + waiting
    return _weighted_order(ready, draw) + waiting


def _weighted_order(
    ready: list[ReadCandidate], draw: float
) -> list[rows.Member]:
    remaining, order = list(ready), []
    while remaining:
        weights = [1 / (1 + each.load) for each in remaining]
        cumulative = list(itertools.accumulate(weights))
        index = bisect.bisect_right(cumulative, draw * cumulative[-1])
        order.append(remaining.pop(min(index, len(remaining) - 1)).member)
    return order


def hash_fraction(key: str) -> float:
    """Return a number in [0, 1) that is the same for the same key."""
    return xxhash.xxh3_64_intdigest(key.encode()) / 2**64
