"""Holds back the success of commits that a pending promotion may discard.

Explanation
===========

A promotion call without an answer may be carried out seconds later.  Until
then, its candidate must hold every commit that a client is told to be done.
The other replicas are on hold, so that only the candidate acknowledges; but a
replica that starts again is not on hold any more, and neither is one that
joins.  Either may acknowledge commits that the candidate lacks.

So while a call is open, the success of a commit is passed on only once the
candidate itself reports the commit.  While it lags, writes are refused before
they are sent.

A daemon that has not read the store for a while does not know of a call.  It
looks at the replicas while it writes.  Once it has seen one of them on hold,
each of the others may be the candidate and must report the commit.

"""

import asyncio
import collections
import enum
import math
from typing import Callable
import weakref

import loguru

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart.connection import own_link
from burdockcart import ids
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.promotion import open_calls
from burdockcart.process.gateway.promotion import passed_commits
from burdockcart.process.gateway.promotion import primary_tracker
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.promotion import shared_inquiry
from burdockcart.request import log_position

#: Timeout of a query to a member, in seconds; longer than this daemon's own
#: link may be full, since the query's connection ends with it.
QUERY_TIMEOUT_S = 1.0
#: Pause before a member that lacks a commit is asked again, in seconds.
RETRY_PAUSE_S = 0.01
#: Interval between looks at the candidate, in seconds.
LOOK_INTERVAL_S = 0.1
#: The same while no replica has been seen on hold, in seconds.
QUIET_INTERVAL_S = 0.4
#: Time for which a commit waits for the replicas to tell that none of them is
#: on hold, in seconds.
LOOK_TIMEOUT_S = 0.1
#: Time without any answer after which this daemon's own link may be full, in
#: seconds.
QUIET_S = 0.25
#: Time for which the candidate may lag until writes are refused, in seconds:
#: twice the usual lag of replicas that are 150 ms behind.  With 0.1 s, such a
#: group refused writes for as long as any were sent.
LAG_ALLOWED_S = 0.3
#: Least time between two log lines of commits that are passed on without
#: knowledge of the calls, in seconds.
UNKNOWN_LOG_S = 1.0
#: Time after the last write after which the looks end, in seconds.
IDLE_S = 2.0


class Coverage(enum.Enum):
    """Whether a commit outlives a promotion that may follow."""

    HELD = "the member that may be promoted has it"
    PENDING = "it has not reported it yet"
    UNKNOWN = "a later primary leads, which may lack it"


class CommitGuard:
    """Commits of one group while a promotion call may be open.

    Parameters
    ==========

    pool_by_member : dict of MemberId to MemberPool
        Owned by the group.
    calls : OpenCalls
        Which calls are open, and whether this daemon would know.
    passed_on : callable
        Called with each commit that outlives a promotion, before its client
        is told.

    """

    def __init__(
        self,
        group: ids.GroupId,
        pool_by_member: dict[ids.MemberId, member_pool.MemberPool],
        primary: primary_tracker.PrimaryTracker,
        loop_clock: clock.Clock,
        calls: open_calls.OpenCalls,
        passed_on: Callable[[log_position.LogPosition], None],
        link: own_link.OwnLink,
    ):
        #: Whether the group's commits have to outlive a promotion.
        self.active = True
        #: Whether writes are refused, as the candidate lags.
        self.blocked = False
        self.passed = passed_commits.PassedCommits(loop_clock)
        self.calls = calls
        self._group = group
        self._pool_by_member = pool_by_member
        self._primary = primary
        self._clock = loop_clock
        self._passed_on = passed_on
        self._link = link
        self._blocked_at = 0.0
        self._watched_at = 0.0
        #: Newest commit for which writes were blocked.
        self._required: log_position.LogPosition | None = None
        #: Until when a replica that was on hold tells of a call, and the
        #: term of the primary then: a promotion ends every hold.
        self._hold_until = 0.0
        self._hold_term = 0
        self._looks: asyncio.Task[None] | None = None
        #: When a replica has last told whether it is on hold.
        self._answered_at = -math.inf
        #: Commits passed on without knowledge since the last line of them.
        self._unknown_count = 0
        self._unknown_logged_at = -math.inf
        self._inquiry_by_pool: weakref.WeakKeyDictionary[
            member_pool.MemberPool,
            shared_inquiry.SharedInquiry[member_channel.MemberStatus | None],
        ] = weakref.WeakKeyDictionary()

    def watch(self) -> None:
        """Look at the candidate for a while, if a call may be open.

        Called before a write or a COMMIT is sent, and before a call.
        """
        self._watched_at = self._clock.now()
        if self._call_possible():
            self._start_looks()

    def refuses(self) -> bool:
        """Return whether writes are refused, as the candidate lags."""
        if self.blocked:
            # Only a look can end it.
            self._start_looks()
        return self.blocked

    def _start_looks(self) -> None:
        if self._looks is None or self._looks.done():
            self._looks = asyncio.create_task(
                self._look(), name="look_at_candidate"
            )

    async def confirm(
        self,
        commit: log_position.LogPosition | None,
        until: float,
        asked_at: float,
    ) -> bool:
        """Return whether a commit may be reported to its client as done.

        Parameters
        ==========

        commit : LogPosition or None
            Position that the primary has reported after the commit.
        until : float
            Time on the event loop's clock until which to wait for that.
        asked_at : float
            Time before the commit was sent.

        """
        covered = not self._at_risk(commit)
        if not covered and commit is not None:
            try:
                async with asyncio.timeout_at(until):
                    covered = await self._covered(commit)
            except TimeoutError:
                return False
        if covered:
            # Nothing else runs between the check and this.
            self.passed.add(commit, asked_at)
            if commit is not None and self.active:
                self._passed_on(commit)
                self._log_unknown(commit)
        return covered

    async def _covered(self, commit: log_position.LogPosition) -> bool:
        """Wait until a commit is safe; False if it may never be."""
        began_at = self._clock.now()
        while True:
            candidate = self._candidate()
            coverage = await self._coverage(commit)
            if self._candidate() != candidate:
                # What was asked meanwhile tells nothing about the new one.
                continue
            if coverage is not Coverage.PENDING:
                return coverage is Coverage.HELD
            if self._clock.now() - began_at >= LAG_ALLOWED_S:
                self._block(commit)
            await asyncio.sleep(RETRY_PAUSE_S)

    def _log_unknown(self, commit: log_position.LogPosition) -> None:
        """Log that a call may be open that neither store nor replicas tell.

        The last look may not have had an answer yet.
        """
        now = self._clock.now()
        quiet_s = now - self._answered_at
        if (
            quiet_s <= QUERY_TIMEOUT_S + QUIET_INTERVAL_S
            or self.calls.informed()
            or self._candidate() is not None
        ):
            return
        self._unknown_count += 1
        if now - self._unknown_logged_at < UNKNOWN_LOG_S:
            return
        age_s = self.calls.age_s()
        loguru.logger.warning(
            "event=commits_passed_on_unknown group={} position={} count={} "
            "store_age_ms={} replicas_answered_ms_ago={}",
            self._group,
            commit,
            self._unknown_count,
            None if age_s is None else int(age_s * 1000),
            None if math.isinf(quiet_s) else int(quiet_s * 1000),
        )
        self._unknown_count, self._unknown_logged_at = 0, now

    def close(self) -> None:
        """End the looks at the candidate."""
        if self._looks is not None:
            self._looks.cancel()

    def _call_possible(self) -> bool:
        """Return whether a call may be open or prepared."""
        if not self.active:
            return False
        return (
            self._candidate() is not None
            or not self.calls.informed()
            # Nobody is told of a call that replaces an unlisted primary.
            or self._primary.pool() is None
        )

    def _candidate(self) -> ids.MemberId | None:
        """Return the member that may be promoted instead of the primary."""
        return self.calls.candidate(
            self._group, self._primary.leadership.member
        )

    def _at_risk(self, commit: log_position.LogPosition | None) -> bool:
        """Return whether a commit could be discarded by a promotion."""
        if not self.active:
            return False
        if self._call_possible():
            return True
        if commit is None:
            return False
        return self._replicas_lost() or (
            commit.term < self._primary.leadership.term
            and self.calls.candidate(self._group) is not None
        )

    def _replicas_lost(self) -> bool:
        """Return whether this daemon reaches no replica, or knows none.

        It may be cut off, and a member that nobody else knows may have
        acknowledged what the primary reports as done.
        """
        replicas = self._replica_pools()
        if not replicas:
            return True
        return all(pool.health.failures for pool in replicas) and (
            self._link.answered(self._clock.now() - QUIET_S)
        )

    def _replica_pools(self) -> list[member_pool.MemberPool]:
        return [
            pool
            for member, pool in self._pool_by_member.items()
            if member != self._primary.leadership.member
        ]

    async def _coverage(self, commit: log_position.LogPosition) -> Coverage:
        """Return whether the member that may be promoted has a commit."""
        if commit.term < self._primary.leadership.term:
            return Coverage.UNKNOWN
        candidate = self._candidate()
        if candidate is not None:
            return _coverage_by(await self._observe(candidate), commit)
        if not (self._call_possible() or self._replicas_lost()):
            return await self._coverage_of_primary(commit)
        now = self._clock.now()
        answers = await self._answers_of_replicas(now)
        if not self._hold_seen(now):
            if self._answered_at >= now or not self._replicas_lost():
                return Coverage.HELD
            return Coverage.PENDING
        found = [
            _coverage_by(each, commit)
            for each in answers
            if each is None or not each.held_term
        ]
        if Coverage.UNKNOWN in found:
            return Coverage.UNKNOWN
        # If all are on hold, a member that is not known has acknowledged it.
        covered = bool(found) and Coverage.PENDING not in found
        if self._hold_seen(now) and not covered:
            return Coverage.PENDING
        return Coverage.HELD

    async def _answers_of_replicas(
        self, now: float
    ) -> list[member_channel.MemberStatus | None]:
        """Return :meth:`_observe_replicas`, none if that takes too long.

        Once a hold was seen, it may take any time.  While this daemon's own
        link is full, commits would wait in vain and keep their connections.
        """
        if self._hold_seen(now):
            return await self._observe_replicas()
        if not self._link.answered(now - LOOK_TIMEOUT_S):
            return []
        try:
            async with asyncio.timeout(LOOK_TIMEOUT_S):
                return await self._observe_replicas()
        except TimeoutError:
            return []

    async def _observe_replicas(
        self,
    ) -> list[member_channel.MemberStatus | None]:
        """Return the status of each replica."""
        return await asyncio.gather(
            *(
                self._observe_replica(pool.entry.id)
                for pool in self._replica_pools()
            )
        )

    async def _observe_replica(
        self, member: ids.MemberId
    ) -> member_channel.MemberStatus | None:
        """Return a replica's status; note at once whether it is on hold.

        Another replica may take long to answer.
        """
        status = await self._observe(member)
        now = self._clock.now()
        if status is not None:
            self._answered_at = now
            if status.held_term:
                self._hold_until = now + promotion_claims.LATE_CALL_S
                self._hold_term = self._primary.leadership.term
        return status

    async def _observe(
        self, member: ids.MemberId | None
    ) -> member_channel.MemberStatus | None:
        """Return a member's status; None without an answer."""
        pool = self._pool_by_member.get(member) if member else None
        if pool is None:
            return None
        inquiry = self._inquiry_by_pool.setdefault(
            pool, shared_inquiry.SharedInquiry("member_status")
        )
        return await inquiry.ask(lambda: _observe(pool))

    def _hold_seen(self, now: float) -> bool:
        """Return whether a replica was on hold lately, in the present term."""
        return (
            now < self._hold_until
            and self._hold_term == self._primary.leadership.term
        )

    async def _coverage_of_primary(
        self, commit: log_position.LogPosition
    ) -> Coverage:
        """Return whether the primary still leads the term of a commit.

        No call is open any more, so that the commit stays if it does.
        """
        position = await self._primary.position_now()
        if position is None or position < commit:
            return Coverage.PENDING
        if position.term > commit.term:
            return Coverage.UNKNOWN
        return Coverage.HELD

    async def _look(self) -> None:
        """Refuse writes while the candidate lags; ends when not needed."""
        #: When the primary had which position, the oldest first.
        seen: collections.deque[tuple[float, log_position.LogPosition]]
        seen = collections.deque()
        due: log_position.LogPosition | None = None
        while self._call_possible() or self._replicas_lost():
            now = self._clock.now()
            if not self.blocked and now - self._watched_at >= IDLE_S:
                return
            if not (self._hold_seen(now) or self._candidate()):
                await self._observe_replicas()
                if self._answered_at >= now:
                    self._resume("no replica is on hold")
                await asyncio.sleep(QUIET_INTERVAL_S)
                continue
            while seen and now - seen[0][0] >= LAG_ALLOWED_S:
                due = seen.popleft()[1]
            if self._required is not None:
                due = max(self._required, due or self._required)
            if due is not None:
                coverage = await self._coverage(due)
                if coverage is Coverage.PENDING:
                    self._block(due)
                else:
                    self._resume(coverage.value)
            status = await self._observe(self._primary.leadership.member)
            if status and status.role is member_channel.Role.PRIMARY:
                seen.append((now, status.received))
            await asyncio.sleep(LOOK_INTERVAL_S)
        self._resume("no call is open")

    def _block(self, commit: log_position.LogPosition) -> None:
        self._required = max(commit, self._required or commit)
        if self.blocked:
            return
        self.blocked, self._blocked_at = True, self._clock.now()
        loguru.logger.warning(
            "event=commits_blocked group={} candidate={} position={}",
            self._group,
            self._candidate(),
            commit,
        )
        self._start_looks()

    def _resume(self, cause: str) -> None:
        if not self.blocked:
            return
        self.blocked, self._required = False, None
        loguru.logger.info(
            "event=commits_resumed group={} cause={!r} after_ms={}",
            self._group,
            cause,
            int((self._clock.now() - self._blocked_at) * 1000),
        )


async def _observe(
    pool: member_pool.MemberPool,
) -> member_channel.MemberStatus | None:
    status = await pool.observe(QUERY_TIMEOUT_S)
    if isinstance(status, member_channel.MemberFault):
        return None
    return status


def _coverage_by(
    status: member_channel.MemberStatus | None,
    commit: log_position.LogPosition,
) -> Coverage:
    """Return what a member's status tells about a commit.

    A log of a later term may lack it, also if it is longer.
    """
    if status is None:
        return Coverage.PENDING
    if status.received.term > commit.term or (
        status.role is member_channel.Role.PRIMARY
    ):
        return Coverage.UNKNOWN
    return Coverage.HELD if status.received >= commit else Coverage.PENDING
