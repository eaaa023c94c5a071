"""Division of an account's rate and burst among the daemons that use it."""

import math
from typing import Mapping
from typing import TypeVar

from burdockcart.process.rates import share_terms

#: Part of the rate that the owner keeps for daemons that join, while demand
#: allows it.
RESERVE = 0.2
#: Rate that a daemon gets beyond its demand, in square roots of the demand:
#: Poisson arrivals and their measurement vary by about one.
HEADROOM = 2.0

#: Tokens to divide from which on they are divided.
MIN_DIVIDED = 4

Key = TypeVar("Key")


def max_min(
    total: float, want_by_key: Mapping[Key, float]
) -> dict[Key, float]:
    """Divide a total so that no part can grow but at a smaller one's cost.

    Examples
    ========

    >>> from burdockcart.process.rates import division
    >>> division.max_min(10.0, {"a": 2.0, "b": 7.0, "c": 9.0})
    {'a': 2.0, 'b': 4.0, 'c': 4.0}

    """
    given = {}
    left = max(0.0, total)
    ordered = sorted(want_by_key, key=lambda key: want_by_key[key])
    for position, key in enumerate(ordered):
        given[key] = min(want_by_key[key], left / (len(ordered) - position))
        left -= given[key]
    return given


def divide_rate(
    rate: float, demand_by_key: Mapping[Key, float]
) -> dict[Key, float]:
    """Divide a rate by demand, and keep a reserve while demand allows it.

    Examples
    ========

    >>> from burdockcart.process.rates import division
    >>> division.divide_rate(20.0, {"a": 4.0})
    {'a': 8.0}
    >>> division.divide_rate(10.0, {"a": 50.0, "b": 50.0})
    {'a': 5.0, 'b': 5.0}

    """
    spare = rate - sum(demand_by_key.values())
    reserve = max(0.0, min(RESERVE * rate, spare))
    wants = {
        key: each + HEADROOM * math.sqrt(each)
        for key, each in demand_by_key.items()
    }
    return max_min(rate - reserve, wants)


def is_divided(burst: float) -> bool:
    """Return whether a burst is ever divided among daemons.

    Examples
    ========

    >>> from burdockcart.process.rates import division
    >>> division.is_divided(5.0), division.is_divided(8.0)
    (False, True)

    """
    return math.floor(burst / 2) >= MIN_DIVIDED


def divide_burst(
    burst: float, demand_by_key: Mapping[Key, float]
) -> dict[Key, float]:
    """Divide whole tokens by demand; one for each daemon goes first.

    Explanation
    ===========

    A daemon needs what it spends between two reports.  The rest, at least
    half, stays with the owner, whose tokens any daemon can get at once.  If
    that leaves few tokens to divide, all of them do: with a rate and burst
    of 5 on three daemons, tokens that lay unused on one of them cost 22 % of
    the operations on the others.

    Examples
    ========

    >>> from burdockcart.process.rates import division
    >>> division.divide_burst(5.0, {"a": 3.0})
    {'a': 0}
    >>> division.divide_burst(10.0, {"a": 3.0, "b": 1.0})
    {'a': 3, 'b': 2}
    >>> division.divide_burst(10.0, {"a": 3.0, "b": 1.0, "c": 1.0})
    {'a': 0, 'b': 0, 'c': 0}
    >>> division.divide_burst(40.0, {"a": 30.0, "b": 1.0})
    {'a': 16, 'b': 2}

    """
    whole = math.floor(burst / 2)
    if whole < max(MIN_DIVIDED, 2 * len(demand_by_key)):
        return {key: 0 for key in demand_by_key}
    wants = {
        key: math.ceil(each * share_terms.REPORT_S)
        for key, each in demand_by_key.items()
    }
    more = max_min(whole - len(wants), wants)
    return {key: 1 + math.floor(more[key]) for key in wants}
