"""Chooses which idle connection to close in favor of another account.

Explanation
===========

Load pattern: a member accepts 70 connections from all daemons, 75 accounts
use it, with demand by a Zipf distribution with exponent 1.2, and a connection
serves one account only.  Opening one takes 12 ms of one of the member's few
slots.  The connection that is closed is the one that its account will miss
least often: an account needs its nth connection whenever it has n - 1
statements running.  So an account with frequent statements keeps its
connections when many others send one statement each, and one with concurrent
statements keeps several.

"""

import itertools
import math
from typing import Iterable
from typing import Mapping
from typing import Sequence

import msgspec
import xxhash

from burdockcart import ids

Account = ids.AccountName | None

#: Time after which a use of a connection counts 1/e, in seconds: an account
#: among the 75 sends a statement to a member every 0.1 to 20 s.
MEMORY_S = 20.0
#: Mean time for which a statement holds a connection, in seconds.
HOLD_S = 0.02
#: Uses below which an account is forgotten.
FORGOTTEN = 0.01
#: Accounts that are remembered before old ones are looked for.
MIN_REMEMBERED = 128


class IdleConnection(msgspec.Struct, frozen=True):
    """A connection that could be closed."""

    account: Account
    idle_since: float


class AccountDemand:
    """How often each account uses a connection.

    Examples
    ========

    >>> from burdockcart.process.gateway.members import account_cache
    >>> demand = account_cache.AccountDemand()
    >>> for tenth in range(1000):
    ...     demand.record_use("a", tenth / 10)
    >>> round(demand.rate_per_s("a", 100.0))
    10
    >>> round(demand.rate_per_s("a", 120.0))
    4

    """

    def __init__(self) -> None:
        self._uses_by_account: dict[Account, tuple[float, float]] = {}
        self._forget_above = MIN_REMEMBERED

    def record_use(self, account: Account, now: float) -> None:
        """Record that a statement of an account takes a connection."""
        self._uses_by_account[account] = self._uses(account, now) + 1.0, now
        if len(self._uses_by_account) > self._forget_above:
            self._forget(now)

    def rate_per_s(self, account: Account, now: float) -> float:
        """Return the recent statements per second of an account."""
        return self._uses(account, now) / MEMORY_S

    def _uses(self, account: Account, now: float) -> float:
        uses, counted_at = self._uses_by_account.get(account, (0.0, now))
        return uses * math.exp((counted_at - now) / MEMORY_S)

    def _forget(self, now: float) -> None:
        """Forget accounts that have used no connection for long."""
        self._uses_by_account = {
            account: counted
            for account, counted in self._uses_by_account.items()
            if self._uses(account, now) >= FORGOTTEN
        }
        self._forget_above = max(
            2 * len(self._uses_by_account), MIN_REMEMBERED
        )


def misses_per_s(rate_per_s: float, connections: int) -> float:
    """Return how often an account would miss the last of its connections.

    Statements arrive by a Poisson process and hold a connection for a mean
    time; the last connection is needed if all others are in use.

    Examples
    ========

    >>> from burdockcart.process.gateway.members import account_cache
    >>> account_cache.misses_per_s(10.0, 1)
    10.0
    >>> round(account_cache.misses_per_s(10.0, 2), 2)
    1.81
    >>> round(account_cache.misses_per_s(10.0, 3), 3)
    0.175

    """
    load = rate_per_s * HOLD_S
    terms = itertools.accumulate(
        range(1, connections - 1),
        lambda term, number: term * load / number,
        initial=1.0,
    )
    fewer = math.exp(-load) * sum(terms) if connections > 1 else 0.0
    return rate_per_s * max(1.0 - fewer, 0.0)


def least_useful(
    idle: Sequence[IdleConnection],
    open_by_account: Mapping[Account, int],
    demand: AccountDemand,
    now: float,
) -> int:
    """Return the index of the connection whose end costs the fewest misses.

    Among equals it is the one that has been idle longest.

    Parameters
    ==========

    open_by_account : mapping
        Idle and busy connections of each account.

    Examples
    ========

    >>> from burdockcart.process.gateway.members import account_cache
    >>> demand = account_cache.AccountDemand()
    >>> for tenth in range(100):
    ...     demand.record_use("often", tenth / 10)
    >>> demand.record_use("once", 9.99)
    >>> idle = [account_cache.IdleConnection("often", 9.9),
    ...         account_cache.IdleConnection("once", 10.0)]
    >>> account_cache.least_useful(idle, {"often": 1, "once": 1}, demand, 10.0)
    1

    """
    misses_by_account = {
        account: misses_per_s(
            demand.rate_per_s(account, now), open_by_account.get(account, 1)
        )
        for account in {each.account for each in idle}
    }
    return min(
        range(len(idle)),
        key=lambda index: (
            misses_by_account[idle[index].account],
            idle[index].idle_since,
            index,
        ),
    )


def expected_at(
    account: ids.AccountName, members: Iterable[ids.MemberId]
) -> ids.MemberId:
    """Return the member at which an account's reads are expected.

    All daemons choose the same one of the same members.
    """
    return max(
        members,
        key=lambda member: xxhash.xxh3_64_intdigest(
            f"{account}/{member}".encode()
        ),
    )
