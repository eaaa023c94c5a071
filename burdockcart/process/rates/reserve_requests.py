"""Asks the daemons with a permit for tokens of one shard's reserve."""

import asyncio
from typing import Protocol

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import passed_over
from burdockcart.process.rates import permit_holder
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import shard_keeper
from burdockcart.process.rates import shard_order
from burdockcart.process.rates import shard_reports
from burdockcart.process.rates import share_terms

#: Time after which the next daemon is asked as well, in seconds; operations
#: wait for 50 ms and more.
NEXT_S = 0.02
#: Time for which no daemon is asked after all of them had too few tokens, in
#: seconds.
EMPTY_S = 0.1
#: Most tokens of an account in one request; a permit has fewer at the usual
#: rates.
MAX_WANTED = 100


class Carrier(Protocol):
    """Carries requests to other daemons."""

    async def ask(
        self,
        daemon: coordination.DaemonEntry,
        shard: share_terms.Shard,
        counts: permit_terms.Counts,
    ) -> permit_terms.Tokens | None:
        """Ask a daemon; None without an answer within TOKEN_S."""


class ReserveRequests:
    """Tokens of one shard's reserve, as operations of this daemon use them.

    One request is under way at a time, for all operations that wait, unless a
    daemon does not answer.
    """

    def __init__(
        self,
        shard: share_terms.Shard,
        holder: permit_holder.PermitHolder,
        keeper: shard_keeper.ShardKeeper,
        reports: shard_reports.ShardReports,
        local: local_shares.LocalShares,
        carrier: Carrier,
        daemons: shard_order.Daemons,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
    ):
        self._shard = shard
        self._holder = holder
        self._keeper = keeper
        self._reports = reports
        self._local = local
        self._carrier = carrier
        self._daemons = daemons
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._asked = asyncio.Event()
        self._wanted: set[ids.AccountName] = set()
        #: Times until which received tokens may be spent.
        self._ends_by_account: dict[ids.AccountName, list[float]] = {}
        self._empty_until: dict[ids.AccountName, float] = {}
        #: Daemons that did not answer, or have no permit; they are asked last.
        self._passed_over = passed_over.PassedOver()
        self._tasks: set[asyncio.Task[None]] = set()

    def spend(self, account: ids.AccountName) -> bool:
        """Admit an operation, if there is a token."""
        now = self._boot_clock.now()
        if self._received(account, now):
            self._ends_by_account[account].pop(0)
            return True
        return self._holder.issue(account, 1, now) == 1

    def _received(self, account: ids.AccountName, now: float) -> int:
        """Return the number of tokens that came from other daemons."""
        ends = self._ends_by_account.pop(account, [])
        current = [each for each in ends if now < each]
        if current:
            self._ends_by_account[account] = current
        return len(current)

    def empty(self, account: ids.AccountName) -> bool:
        """Return whether all daemons with a permit had too few tokens."""
        return self._clock.now() < self._empty_until.get(account, 0.0)

    def ask(self, account: ids.AccountName) -> None:
        """Ask for the tokens that operations of an account wait for."""
        if not self.empty(account):
            self._wanted.add(account)
            self._asked.set()

    async def run(self) -> None:
        """Ask for tokens until cancelled; without a timer if none wait."""
        try:
            while True:
                await self._asked.wait()
                self._asked.clear()
                wanted, self._wanted = self._wanted, set()
                await self._ask_all(wanted)
                self._reports.notify()
        finally:
            for task in self._tasks:
                task.cancel()

    def _missing(self, accounts: set[ids.AccountName]) -> permit_terms.Counts:
        """Return how many tokens operations wait for."""
        now = self._boot_clock.now()
        counts: permit_terms.Counts = []
        for account in sorted(accounts):
            share = self._local.known(account)
            waiting = 0 if share is None else share.waiting
            count = waiting - self._received(account, now)
            if count > 0:
                counts.append((account, min(count, MAX_WANTED)))
        return counts

    def _targets(self) -> list[coordination.DaemonEntry]:
        """Return whom to ask, daemons that did not answer last."""
        now, entries = self._clock.now(), self._daemons()
        others = self._holder.others(self._keeper.ownership.owner)
        return [
            entries[each]
            for each in sorted(
                others, key=lambda each: self._passed_over.has(each, now)
            )
            if each in entries
        ]

    async def _ask_all(self, accounts: set[ids.AccountName]) -> None:
        """Ask one daemon after the other until there are enough tokens."""
        silent = False
        for target in self._targets():
            counts = self._missing(accounts)
            if not counts:
                return
            task = asyncio.create_task(
                self._ask(target, counts), name="reserve_request"
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            done, _ = await asyncio.wait({task}, timeout=NEXT_S)
            if done:
                task.result()
            else:
                silent = True
                self._passed_over.add(target.id, self._clock.now())
        if not silent:
            until = self._clock.now() + EMPTY_S
            for account, _ in self._missing(accounts):
                self._empty_until[account] = until

    async def _ask(
        self, target: coordination.DaemonEntry, counts: permit_terms.Counts
    ) -> None:
        sent_at = self._boot_clock.now()
        tokens = await self._carrier.ask(target, self._shard, counts)
        if tokens is None or not tokens.permitted:
            self._passed_over.add(target.id, self._clock.now())
            return
        self._passed_over.remove(target.id)
        until = sent_at + share_terms.TOKEN_S
        wanted = dict(counts)
        for account, count in tokens.counts:
            ends = self._ends_by_account.setdefault(account, [])
            ends.extend([until] * min(count, wanted.get(account, 0)))
        self._reports.notify()
