"""Divides a group's connections between accounts.

Explanation
===========

Load pattern: one account sends 3 to 7.5 times its usual demand to a member
that runs 4 or 5 statements at a time, beside 20 to 80 others with a few
statements a second each.  In the order of goals, all of them wait behind the
backlog of the one.  Here the account with the least recent slot time for its
weight goes first, so each gets what it asks for up to an equal part, and the
hot account what is left (max-min fairness).

Slot time is the time for which a connection is held; the same work counts at
the daemon that sends it and at the holder that runs it, each for its own
queue.  It decays, so what an account used long ago does not matter.  When work
gets a connection, the expected hold time is counted at once: otherwise one
account could take all free connections before any of its work has ended.

"""

import math
from typing import Iterable
from typing import Mapping
from typing import Protocol
from typing import Sequence
from typing import TypeVar

from burdockcart import ids
from burdockcart.version import manifest

#: Time constant of the decay of slot time, in seconds.  An account that was
#: alone waits at most 0.7 of it once another one has the same demand, which
#: must stay within the latency goals (0.1 to 0.5 s).
RECENT_S = 0.25
#: Slot time below which an account is forgotten, in seconds.
FORGOTTEN_S = 1e-4
#: Priority beyond which an account's weight gets no smaller.
MAX_PRIORITY = 30


class Charged(Protocol):
    """Work whose slot time is counted."""

    account: ids.AccountName | None


Item = TypeVar("Item", bound=Charged)


class AccountShares:
    """Recent slot time by account.

    Work without an account counts as that of one account of priority 0.

    Examples
    ========

    >>> from burdockcart.request import account_shares
    >>> from burdockcart.request import work_queue
    >>> shares = account_shares.AccountShares()
    >>> shares.begin("hot", 0.02, now=0.0)
    >>> waiting = [
    ...     work_queue.Work(
    ...         priority=1, goal_at=1.0, give_up_at=2.0, connection=None,
    ...         account=account)
    ...     for account in ("hot", "a", "a", "b")]
    >>> [work.account for work in shares.in_order(waiting, 0.02, now=0.0)]
    ['a', 'b', 'hot', 'a']

    """

    def __init__(self) -> None:
        self._weight_by_account: dict[ids.AccountName, float] = {}
        #: Slot time and when it was brought up to date.
        self._used_by_account: dict[
            ids.AccountName | None, tuple[float, float]
        ] = {}

    def use_accounts(
        self, account_by_name: Mapping[ids.AccountName, manifest.Account]
    ) -> None:
        """Use the priorities of a manifest."""
        self._weight_by_account = {
            name: 2.0 ** -min(account.priority, MAX_PRIORITY)
            for name, account in account_by_name.items()
        }

    def _weight(self, account: ids.AccountName | None) -> float:
        if account is None:
            return 1.0
        # A holder may get work of an account that it does not know yet.
        return self._weight_by_account.get(account, 1.0)

    def used_s(self, account: ids.AccountName | None, now: float) -> float:
        """Return the recent slot time of an account in seconds."""
        found = self._used_by_account.get(account)
        if found is None:
            return 0.0
        used_s, at = found
        return used_s * math.exp((at - now) / RECENT_S) if now > at else used_s

    def _add(
        self, account: ids.AccountName | None, added_s: float, now: float
    ) -> None:
        used_s = max(self.used_s(account, now) + added_s, 0.0)
        self._used_by_account[account] = (used_s, now)

    def begin(
        self, account: ids.AccountName | None, expected_s: float, now: float
    ) -> None:
        """Count work that gets a connection now.

        Parameters
        ==========

        expected_s : float
            Time for which it is expected to hold it, in seconds.

        """
        self._add(account, expected_s, now)

    def end(
        self,
        account: ids.AccountName | None,
        expected_s: float,
        took_s: float,
        now: float,
    ) -> None:
        """Replace the expected slot time of work by the one that it took.

        What lies back counts less, so a transaction of any length counts
        for at most :data:`RECENT_S`.
        """
        left = math.exp(-max(took_s, 0.0) / RECENT_S)
        self._add(account, RECENT_S * (1.0 - left) - expected_s * left, now)
        if len(self._used_by_account) > 2 * len(self._weight_by_account) + 1:
            self._forget(now)

    def _forget(self, now: float) -> None:
        """Forget accounts without recent work."""
        self._used_by_account = {
            account: used
            for account, used in self._used_by_account.items()
            if self.used_s(account, now) > FORGOTTEN_S
        }

    def ranks(
        self, waiting: Iterable[Item], expected_s: float, now: float
    ) -> list[float]:
        """Return the slot time by weight at which each work is due.

        Parameters
        ==========

        waiting : iterable of Charged
            Work in the order in which that of one account goes.
        expected_s : float
            Slot time that each of it is expected to take, in seconds.

        """
        due_by_account: dict[ids.AccountName | None, float] = {}
        ranks = []
        for work in waiting:
            account = work.account
            due_s = due_by_account.get(account)
            if due_s is None:
                due_s = self.used_s(account, now)
            ranks.append(due_s / self._weight(account))
            due_by_account[account] = due_s + expected_s
        return ranks

    def in_order(
        self, waiting: Sequence[Item], expected_s: float, now: float
    ) -> list[Item]:
        """Return work in the order of service, given it by urgency."""
        if len(waiting) < 2:
            return list(waiting)
        ranks = self.ranks(waiting, expected_s, now)
        places = sorted(range(len(waiting)), key=ranks.__getitem__)
        return [waiting[place] for place in places]

    def ahead(
        self,
        work: Charged,
        waiting: Sequence[Charged],
        expected_s: float,
        now: float,
    ) -> int:
        """Return how much of the waiting work is due before new work."""
        if not waiting:
            return 0
        *ranks, own = self.ranks([*waiting, work], expected_s, now)
        return sum(rank <= own for rank in ranks)
