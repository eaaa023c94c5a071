"""Reports a daemon's demand to the owner of a shard while there is any."""

import asyncio
import math
from typing import Mapping
from typing import Protocol

import loguru

from burdockcart import clock
from burdockcart import event_wait
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import passed_over
from burdockcart.process.rates import permit_holder
from burdockcart.process.rates import shard_keeper
from burdockcart.process.rates import shard_order
from burdockcart.process.rates import shard_ownership
from burdockcart.process.rates import share_terms

#: Interval of reports that no owner answers, in seconds.
RETRY_S = 0.1
#: Questions that may follow each other at once; more keep the interval.  With
#: none, an operation 2 ms after a report could not be told within 50 ms.
ASKS = 2


class Carrier(Protocol):
    """Carries reports to other daemons."""

    async def send(
        self, daemon: coordination.DaemonEntry, report: share_terms.Report
    ) -> share_terms.Answer | None:
        """Report to a daemon; None without an answer in time."""


class ShardReports:
    """Reports to the owner of one shard.

    Parameters
    ==========

    holder : Holder
        This process.

    """

    def __init__(
        self,
        shard: share_terms.Shard,
        holder: share_terms.Holder,
        keeper: shard_keeper.ShardKeeper,
        local: local_shares.LocalShares,
        carrier: Carrier,
        daemons: shard_order.Daemons,
        order: shard_order.ShardOrder,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
    ):
        self._shard = shard
        self._holder = holder
        self._keeper = keeper
        self._local = local
        self._carrier = carrier
        self._daemons = daemons
        self._order = order
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._asked = asyncio.Event()
        #: Set, and replaced, with each answer.
        self.answered = asyncio.Event()
        #: Permit of the reserve, as the reports claim it.
        self.reserve: permit_holder.PermitHolder | None = None
        self._unanswered_since: float | None = None
        #: Whether the last report was answered by the owner.
        self.has_owner = False
        self._reported_at = -math.inf
        self._ask_at = -math.inf
        #: Daemons that have not answered, and those that the store does not
        #: respond to.
        self._unanswering = passed_over.PassedOver()
        self._without_store = passed_over.PassedOver()
        #: Position of an owner that has said that it is none, and the daemon
        #: to which it has transferred the shard, if any.
        self._disowned = ids.StorePosition(-1)
        self._successor: ids.DaemonId | None = None

    def ask(self) -> None:
        """Report as soon as possible."""
        self._asked.set()

    async def run(self) -> None:
        """Report until cancelled; wait without a timer if there is none."""
        while True:
            if not self._local.active(self._shard):
                self._unanswered_since = None
                await self._asked.wait()
            await self._pause()
            self._asked.clear()
            self._reported_at = self._clock.now()
            if self._unanswered_since is None:
                self._unanswered_since = self._reported_at
            answered = await self._report()
            if answered:
                self._unanswered_since = None
            if answered != self.has_owner:
                self._log(answered)
            self.has_owner = answered
            self.notify()

    def notify(self) -> None:
        """Let all operations that wait look for a token."""
        done, self.answered = self.answered, asyncio.Event()
        done.set()

    def unanswered_s(self) -> float:
        """Return for how long the owner has not answered, in seconds."""
        since = self._unanswered_since
        return 0.0 if since is None else self._clock.now() - since

    def _log(self, answered: bool) -> None:
        if answered:
            loguru.logger.info("event=shares_granted shard={}", self._shard)
        else:
            loguru.logger.warning(
                "event=shares_refused shard={} owner={}",
                self._shard,
                self._keeper.ownership.owner,
            )

    async def _pause(self) -> None:
        """Wait for the next report; a question shortens the wait."""
        interval_s = share_terms.REPORT_S if self.has_owner else RETRY_S
        due_at = self._reported_at + interval_s
        left_s = max(0.0, due_at - self._clock.now())
        if not await event_wait.until_set(self._asked, left_s):
            return
        if self._keeper.ownership.owns(self._boot_clock.now()):
            return
        now = self._clock.now()
        await asyncio.sleep(max(0.0, self._ask_at - now))
        self._ask_at = (
            max(self._ask_at, now - ASKS * share_terms.ASK_S)
            + share_terms.ASK_S
        )

    def _usable(self, daemon: ids.DaemonId) -> bool:
        return not self._unanswering.has(daemon, self._clock.now())

    def _target(
        self, entries: Mapping[ids.DaemonId, coordination.DaemonEntry]
    ) -> ids.DaemonId:
        """Return the owner, or the daemon that should become the owner."""
        owner = self._owner()
        if owner == self._holder[0]:
            return owner
        if owner is not None and owner in entries and self._usable(owner):
            return owner
        usable = [
            each
            for each in self._order.daemons()[: shard_ownership.CANDIDATES]
            if self._usable(each)
        ]
        now = self._clock.now()
        # If the store responds to none of them, other daemons are not asked.
        reaching = [
            each for each in usable if not self._without_store.has(each, now)
        ]
        return next(iter(reaching or usable), self._holder[0])

    def _owner(self) -> ids.DaemonId | None:
        """Return the owner, or its successor; None if it has none."""
        position, owner = self._keeper.ownership.heard
        return self._successor if position == self._disowned else owner

    def _missed(self, target: ids.DaemonId) -> ids.DaemonId | None:
        """Return the daemon that the target may still take for the owner."""
        position, owner = self._keeper.ownership.heard
        if owner != target:
            return owner
        return self._successor if position == self._disowned else None

    async def _report(self) -> bool:
        """Report once; return whether the owner has answered."""
        sent_at = self._boot_clock.now()
        entries = self._daemons()
        valid_left_s = self._local.valid_until(self._shard) - sent_at
        left_s = shard_ownership.lease_left_s(valid_left_s)
        target = self._target(entries)
        report = share_terms.Report(
            self._shard,
            self._holder[1],
            self._local.next_sequence(),
            self._missed(target),
            math.ceil(1000 * left_s),
            self._local.report(self._shard, sent_at),
            None if self.reserve is None else self.reserve.claim(sent_at),
        )
        if target == self._holder[0]:
            answer = self._keeper.answer(self._holder, report)
        else:
            sent = await self._carrier.send(entries[target], report)
            if sent is None:
                self._unanswering.add(target, self._clock.now())
                return False
            answer = sent
        return self._use(target, answer, sent_at)

    def _use(
        self,
        target: ids.DaemonId,
        answer: share_terms.Answer,
        sent_at: float,
    ) -> bool:
        if answer.valid_ms <= 0:
            position, owner = self._keeper.ownership.heard
            if owner == target:
                self._disowned, self._successor = position, None
                if answer.position == position and answer.owner != target:
                    self._successor = answer.owner
            if answer.leaving:
                self._unanswering.add(target, self._clock.now())
            if answer.store_silent:
                self._without_store.add(target, self._clock.now())
            self._keeper.hear(answer.position, answer.owner)
            return False
        self._keeper.hear(answer.position, target)
        if not self._local.accepts(
            self._shard, share_terms.Term(answer.position)
        ):
            # A later owner has been told what this daemon holds.
            return False
        if self.reserve is not None:
            self.reserve.answered(answer, sent_at, self._boot_clock.now())
        self._local.apply(
            self._shard,
            answer.shares,
            share_terms.Term(answer.position),
            sent_at,
            answer.valid_ms,
            self._boot_clock.now(),
        )
        return True
