"""Where work is tried first, by what holders have told of the members.

Explanation
===========

Only members to which this daemon relays are judged by evidence; without
holders, and without recent evidence, the daemon's own estimates decide.

"""

import asyncio
from typing import Callable
from typing import Iterable

import loguru

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.promotion import primary_tracker
from burdockcart.request import log_position
from burdockcart.request import member_evidence
from burdockcart.request import work_queue

#: Time before the end of the evidence at which waiting work tries an unreached
#: member, in seconds: its answer renews the evidence, so that not all of the
#: waiting work tries the member when the evidence ends.
RENEWED_S = 0.05
#: Retry hint for clients whose primary no holder reaches, in milliseconds;
#: about the time until the next attempt to replace it.
UNREACHED_RETRY_MS = 400

_Pools = list[member_pool.MemberPool]


class EvidencePlacement:
    """Evidence about the members of one group, and what follows from it.

    Parameters
    ==========

    pool_by_member : dict of MemberId to MemberPool
        Owned by the group.
    dispatch : callable
        Called when work that was held back may be tried.

    """

    def __init__(
        self,
        group: ids.GroupId,
        pool_by_member: dict[ids.MemberId, member_pool.MemberPool],
        primary: primary_tracker.PrimaryTracker,
        loop_clock: clock.Clock,
        dispatch: Callable[[], None],
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self._group = group
        self._pool_by_member = pool_by_member
        self._primary = primary
        self._clock = loop_clock
        self._dispatch = dispatch
        self._metrics = metrics
        self._reachability_by_member: dict[
            ids.MemberId, member_evidence.Reachability
        ] = {}
        #: Members that no holder reaches, as far as it was logged.
        self._logged: set[ids.MemberId] = set()
        self._timer: asyncio.TimerHandle | None = None

    # Evidence

    def record(
        self,
        holder: ids.DaemonId,
        evidence: Iterable[member_evidence.MemberEvidence],
    ) -> None:
        """Use what a holder has attached to an answer."""
        now = self._clock.now()
        relayed_changed = False
        for each in evidence:
            changed = False
            pool = self._pool_by_member.get(each.member)
            if pool is None or pool.entry.started_ms != each.started_ms:
                continue
            if each.position is not None:
                changed = pool.reports.record(
                    log_position.LogPosition(*each.position),
                    now - each.position_age_ms / 1000,
                )
            if each.reachable is not None:
                reachability = self._reachability_by_member.setdefault(
                    each.member, member_evidence.Reachability()
                )
                changed |= reachability.record(
                    holder, each.reachable, now - each.reachable_age_ms / 1000
                )
                self._log_change(pool, now)
            relayed_changed |= changed and not pool.direct
        if relayed_changed:
            self._dispatch()

    def _log_change(self, pool: member_pool.MemberPool, now: float) -> None:
        """Log when no holder reaches a member, and when one does again."""
        member = pool.entry.id
        unreached = self.unreached(pool, now)
        if unreached is (member in self._logged):
            return
        self._logged ^= {member}
        loguru.logger.info(
            "event=member_unreached group={} member={} value={}",
            self._group,
            member,
            unreached,
        )

    def forget(self, member: ids.MemberId) -> None:
        """Drop the evidence about a member that left or started again."""
        self._reachability_by_member.pop(member, None)
        self._logged.discard(member)

    def close(self) -> None:
        """Wake no more work."""
        if self._timer is not None:
            self._timer.cancel()

    def unreached(self, pool: member_pool.MemberPool, now: float) -> bool:
        """Return whether no holder is expected to reach a member."""
        found = self._reachability_by_member.get(pool.entry.id)
        return not pool.direct and found is not None and found.unreached(now)

    def knows_position(self, pool: member_pool.MemberPool) -> bool:
        """Return whether evidence tells when a replica was behind."""
        age_s = self._clock.now() - pool.reports.reported_at
        return not pool.direct and age_s < member_evidence.FRESH_S

    def excuses(
        self,
        connection: pooled_connection.PooledConnection,
        answer: member_channel.Answer,
    ) -> bool:
        """Return whether a refusal does not count as an attempt.

        One by a holder without a way to a member that no holder reaches: such
        attempts are already limited to one in 0.1 s.
        """
        return (
            answer.fault
            in (
                member_channel.MemberFault.REFUSED,
                member_channel.MemberFault.RELAY_REFUSED,
            )
            and not connection.channel.direct
            and self.unreached(connection.pool, self._clock.now())
        )

    # Placement

    def primary_pools(
        self,
        pool: member_pool.MemberPool,
        work: work_queue.Work,
        now: float,
    ) -> _Pools:
        """Return the primary's pool if work for it may be tried there."""
        if self.unreached(pool, now):
            reachability = self._reachability_by_member[pool.entry.id]
            if not reachability.trial_due(now):
                self._hold_back(work, "unreached")
                self._wake_at(reachability.valid_until(now) - RENEWED_S, now)
                return []
        work.held_back = False
        return [pool]

    def record_taken(
        self, pool: member_pool.MemberPool, work: work_queue.Work, now: float
    ) -> None:
        """Record that work is sent to a member; it may be a trial."""
        if work.member is not None or pool.direct:
            return
        if self.unreached(pool, now):
            self._reachability_by_member[pool.entry.id].record_trial(now)
            self._metrics.evidence_used("trial")
        if work.position is not None and pool.reports.lacked(work.position):
            pool.reports.record_trial(now)

    def read_pools(
        self,
        usable: _Pools,
        work: work_queue.Work,
        queued_at: float,
        now: float,
    ) -> _Pools:
        """Return the members, of usable ones, at which a read may be tried.

        Parameters
        ==========

        queued_at : float
            Time at which the age of the work's position was found.

        """
        known_at = queued_at - work.position_age_s
        leader = self._primary.leadership.member
        reached = [each for each in usable if not self.unreached(each, now)]
        leading = [each for each in reached if each.entry.id == leader]
        holding: _Pools = []
        unknown: _Pools = []
        expected_at: list[float] = []
        for pool in reached:
            if pool in leading:
                continue
            due_at = self._expected_at(pool, work, known_at, now)
            if due_at is None:
                unknown.append(pool)
            elif due_at <= now:
                holding.append(pool)
            else:
                expected_at.append(due_at)
        full = any(pool.limit.recently_full(now) for pool in leading)
        waits = full and min(expected_at, default=work.goal_at) < work.goal_at
        if not full or not (holding or waits):
            holding += leading
        # Otherwise the primary's slots are left to work that only it can run.
        staying = [pool for pool in holding if not pool.draining]
        # A replica that probably lacks the position is used only if no other
        # member holds it, not if the others are merely busy.
        found = staying or holding or ([] if waits else unknown)
        if not found and (expected_at or len(reached) < len(usable)):
            self._hold_back(work, "behind" if expected_at else "unreached")
            ends_at = now + member_evidence.FRESH_S
            self._wake_at(min([*expected_at, ends_at]), now)
        else:
            work.held_back = False
        return found

    def _expected_at(
        self,
        pool: member_pool.MemberPool,
        work: work_queue.Work,
        known_at: float,
        now: float,
    ) -> float | None:
        """Return when a replica is expected to hold the position of a read.

        None if it probably lacks it, and no evidence tells until when.
        """
        assert work.position is not None
        age_s = work.position_age_s
        if not pool.direct:
            due_at = pool.reports.expected_at(
                work.position, known_at, pool.lag.expected_lag_s(now), now
            )
            if due_at is not None:
                return due_at
            age_s = now - known_at
        likely = pool.lag.likely_holds(work.position, age_s, now)
        return now if likely else None

    def _hold_back(self, work: work_queue.Work, cause: str) -> None:
        if not work.held_back:
            work.held_back = True
            self._metrics.evidence_used(cause)

    def explained(
        self, work: work_queue.Work, failure: errors.Failure
    ) -> errors.Failure:
        """Return the failure of work, also if evidence held it back."""
        if not work.held_back or failure.kind is not (
            errors.ErrorKind.OVERLOADED
        ):
            return failure
        if work.primary_only:
            return errors.Failure(
                errors.ErrorKind.NO_PRIMARY,
                f"no holder reaches the primary of group {self._group}",
                retry_after_ms=UNREACHED_RETRY_MS,
            )
        return errors.Failure(
            errors.ErrorKind.NO_FRESH_MEMBER,
            f"no reachable member of group {self._group} holds the position",
        )

    # Waiting work

    def _wake_at(self, at: float, now: float) -> None:
        """Look at the queue again at a time, or earlier."""
        at = max(at, now + member_evidence.ASK_AGAIN_S / 4)
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(at - now, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._dispatch()
