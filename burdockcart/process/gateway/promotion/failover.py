"""Monitors primaries and starts the replacement of failed ones."""

import asyncio
import math
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Collection
from typing import Coroutine

import loguru
import msgspec

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.promotion import call_notice
from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.process.gateway.promotion import primary_absence
from burdockcart.process.gateway.promotion import promoter
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.promotion import reserved_claims
from burdockcart.process.gateway.promotion import turn
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import restore_wait

#: Pause between two queries of all members of a group for the primary, in
#: seconds; a promotion takes at least 0.6 s.
SEARCH_PAUSE_S = 0.1
#: Share of the time granted for shutdown in which a promotion may begin; most
#: take less than 2 s.
BEGIN_SHARE = 0.5
#: Longest time to release replicas at the end of the process, in seconds;
#: links to other daemons have to end after it within the grace time.
STOP_TIMEOUT_S = 0.25
#: Pause of the loop from which on this process counts as stalled, in seconds;
#: less than the time after which a member counts as silent.
STALL_THRESHOLD_S = 0.2


class Failover:
    """Monitors the primaries of all groups.

    Parameters
    ==========

    notice_s : float
        Time after which each daemon knows an entry of the store, in seconds.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        group_by_id: dict[ids.GroupId, groups.Group],
        platform: coordination.Platform,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        claim_ttl_s: float,
        wall_ms: Callable[[], int],
        metrics: gateway_metrics.GatewayMetrics,
        reserved: reserved_claims.ReservedClaims,
        daemons: Callable[[], Collection[ids.DaemonId]],
        wait: restore_wait.RestoreWait,
        connector: member_channel.Connector,
        refresh: Callable[[], Awaitable[bool]],
        notice_s: float,
        notices: call_notice.Notices,
    ):
        self._daemon = daemon
        self._reserved = reserved
        self._ranks = turn.Ranks(daemon, daemons)
        self._notice_s = notice_s
        self._metrics = metrics
        #: Since when there has been a cause to replace a group's primary.
        self._cause_since: dict[ids.GroupId, float] = {}
        self._group_by_id = group_by_id
        self._clock = loop_clock
        self.claims = promotion_claims.PromotionClaims(daemon, claim_ttl_s)
        self._absences = primary_absence.PrimaryAbsences(self.claims)
        self._promoter = promoter.Promoter(
            daemon,
            platform,
            self.claims,
            loop_clock,
            boot_clock,
            wall_ms,
            metrics,
            reserved,
            wait,
            connector,
            refresh,
            notices,
        )
        #: Since when no listed member of a group has led.
        self._missing_since: dict[ids.GroupId, float] = {}
        self._scanned_at = loop_clock.now()
        self._begins_until = math.inf
        self._task_by_group: dict[ids.GroupId, asyncio.Task[None]] = {}
        self._checks: dict[tuple[str, ids.GroupId], asyncio.Task[None]] = {}

    @property
    def promoting(self) -> bool:
        """Whether a primary is being replaced."""
        return any(not each.done() for each in self._task_by_group.values())

    def era_changed(self, era: ids.StoreEra) -> None:
        """Forget positions in the store; it was restored from a copy."""
        self.claims.era_changed(era)

    async def restate(self) -> bool:
        """Record again which calls are open, after a restore of the store.

        Promotions that began before are waited for.  False if the store did
        not answer.
        """
        running = [
            each for each in self._task_by_group.values() if not each.done()
        ]
        if running:
            await asyncio.wait(running)
        return await self._promoter.restate()

    def leave(self, granted_s: float) -> None:
        """Begin no promotion that may last longer than this daemon.

        Parameters
        ==========

        granted_s : float
            Time until this process is killed, in seconds.

        """
        begins_s = BEGIN_SHARE * granted_s
        self._begins_until = self._clock.now() + begins_s

    async def stop(self) -> None:
        """End all promotions; what they have on hold is released."""
        tasks = [*self._task_by_group.values(), *self._checks.values()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_TIMEOUT_S)

    def scan(self) -> None:
        """Examine all primaries, and replace those that have failed."""
        now = self._clock.now()
        paused_s, self._scanned_at = now - self._scanned_at, now
        if paused_s > STALL_THRESHOLD_S:
            self._after_stall(paused_s)
        for group in list(self._group_by_id.values()):
            self._scan(group)
        self._close_spent_calls()

    def absence(self, group: groups.Group) -> primary_absence.Absence:
        """Return for how long a group has had no primary, and why."""
        now = self._clock.now()
        pool = group.primary.pool()
        lost = pool is None or failover_rule.is_lost(
            _view(pool, group, now), now
        )
        return self._absences.absence(group, lost, now)

    def _after_stall(self, stalled_s: float) -> None:
        """Ignore the silence of members while this process was stalled."""
        loguru.logger.warning(
            "event=process_stalled for_ms={}", int(stalled_s * 1000)
        )
        for group in self._group_by_id.values():
            group.restart_timers()

    def _scan(self, group: groups.Group) -> None:
        if group.primary.superseded is not None:
            self._start_check(
                "demote", group, group.primary.check_superseded()
            )
        running = self._task_by_group.get(group.id)
        if running is not None and not running.done():
            return
        pool = group.primary.pool()
        if pool is None:
            self._start_check("search", group, self._search(group))
            self._replace_missing(group)
            return
        if not pool.direct and group.placement.unreached(
            pool, self._clock.now()
        ):
            # Work for the primary waits, so that no attempt at it shows a
            # new primary.
            self._start_check("search", group, self._search(group))
        self._missing_since.pop(group.id, None)
        if self._promoter.left_on_hold(group) and self.claims.may_try(
            group.id, True, self._clock.now()
        ):
            self._start_attempt(group, self._promoter.release_left(group))
            return
        if not (
            pool.awaits_answer
            or pool.draining
            or group.primary.expected_at is not None
            or group.id in self._cause_since
        ):
            return
        now = self._clock.now()
        if pool.health.failing and self._other_claims_leadership(group):
            # That entry may be a stale one of a failed primary, so the
            # current primary is examined as well.
            self._start_check("search", group, self._search(group))
        view = _view(pool, group, now)
        self._expect_primary(group, view)
        cause = failover_rule.cause_to_replace(view, now)
        if cause is failover_rule.Cause.DRAINING:
            # Another cause needs no notice.
            lost = failover_rule.cause_to_replace(
                msgspec.structs.replace(view, draining=False), now
            )
            cause = lost or cause
        if cause is None or group.isolated:
            self._cause_since.pop(group.id, None)
            return
        if not self._has_turn(group.id, now):
            self._start_check("search", group, self._search(group))
            return
        if now >= self._begins_until:
            return
        planned = cause is failover_rule.Cause.DRAINING
        if not self.claims.may_try(group.id, planned, now):
            self._start_check("search", group, self._search(group))
            return
        prepared: ids.MemberId | None = None
        if planned or self._promoter.notice_due(group.id):
            known = self._preparation(group, now)
            if known is None:
                self._start_attempt(
                    group, self._promoter.prepare(group, pool.entry.id)
                )
                return
            if now - known.since < self._notice_s:
                group.commits.watch()
                return
            prepared = known.member
        self._start_attempt(
            group,
            self._promoter.replace(group, pool.entry.id, cause, prepared),
        )

    def _close_spent_calls(self) -> None:
        """Close the open calls for members that lead.

        Where the platform checks tokens, they change nothing while it leads,
        and are refused after a promotion with a newer token.
        """
        for group_id in self.claims.groups_with_calls:
            group = self._group_by_id.get(group_id)
            primary = None if group is None else group.primary.pool()
            if group is None or primary is None:
                continue
            calls = self.claims.calls_for(group_id, primary.entry.id)
            if calls and group.promotions_fenced:
                self._start_check(
                    "spent_calls",
                    group,
                    self._check_spent(group, primary, calls),
                )

    async def _check_spent(
        self,
        group: groups.Group,
        primary: member_pool.MemberPool,
        calls: list[promotion_claims.OpenCall],
    ) -> None:
        # A proof from before the calls were known would not do: the member
        # may have been replaced since, and be called for again.
        if await group.primary.check(primary):
            # A token of before the calls does not keep them out.
            self._reserved.drop_token(group.id)
            self.claims.calls_spent(group.id, calls)
        else:
            await asyncio.sleep(SEARCH_PAUSE_S)

    def _preparation(
        self, group: groups.Group, now: float
    ) -> promotion_claims.Preparation | None:
        """Return which member a planned replacement will promote.

        None if one has to be chosen, as the last one has gone or lags, or as
        another one has been called for.
        """
        known = self.claims.preparation(group.id, now)
        if known is None:
            return None
        called = self.claims.candidate(group.id, now)
        if called is not None:
            return known if known.member == called else None
        pool = group.pool_by_member.get(known.member)
        if pool is None or pool.health.failing or group.commits.blocked:
            # Commits are still held back for it until another is recorded:
            # the daemon that has prepared it may be calling.
            return None
        return known

    def _replace_missing(self, group: groups.Group) -> None:
        """Promote a replica if the primary has left the list for good."""
        now = self._clock.now()
        if not group.pool_by_member or group.isolated:
            self._missing_since.pop(group.id, None)
            return
        since = self._missing_since.setdefault(group.id, now)
        if now - since < failover_rule.MISSING_FOR_S:
            return
        if not self._has_turn(group.id, now) or now >= self._begins_until:
            return
        if not self.claims.may_try(group.id, False, now):
            return
        self._start_attempt(
            group,
            self._promoter.replace(group, None, failover_rule.Cause.MISSING),
        )

    def _start_attempt(
        self, group: groups.Group, work: Coroutine[Any, Any, None]
    ) -> None:
        self._task_by_group[group.id] = asyncio.create_task(
            self._attempt(group.id, work), name="replace_primary"
        )

    async def _attempt(
        self, group: ids.GroupId, work: Coroutine[Any, Any, None]
    ) -> None:
        """Run an attempt; after an unexpected error, pause before the next.

        Each attempt claims the promotion, which keeps other daemons from it.
        """
        try:
            await work
        except Exception as error:  # noqa: B902 - logged and counted
            self._metrics.task_failed()
            loguru.logger.opt(exception=error).error(
                "event=promotion_failed group={}", group
            )
            self.claims.failed(group, self._clock.now())

    def awaits_call(self, group: groups.Group) -> bool:
        """Return whether a call may be carried out that changes the primary.

        Members that join meanwhile should be known soon.
        """
        called = self.claims.candidate(group.id, self._clock.now())
        return called not in (None, group.primary.leadership.member)

    def acts_early(self, group: ids.GroupId) -> bool:
        """Return whether this daemon is among the first to act."""
        return turn.delay_s(self._ranks.rank(group)) < turn.LATE_S

    def _has_turn(self, group: ids.GroupId, now: float) -> bool:
        """Return whether this daemon may act on the cause now."""
        since = self._cause_since.setdefault(group, now)
        return now - since >= turn.delay_s(self._ranks.rank(group))

    def _expect_primary(
        self, group: groups.Group, view: failover_rule.PrimaryView
    ) -> None:
        """Estimate when a group with a failing primary has a new one."""
        if failover_rule.is_lost(view, self._clock.now()):
            group.primary.expected_at = failover_rule.estimate_primary_at(
                failover_rule.replacement_begins_at(view),
                self.claims.failed_at(group.id),
                self._promoter.promotion_s,
                self._clock.now(),
            )
            group.refuse_unservable()
        else:
            group.primary.expected_at = None

    def _other_claims_leadership(self, group: groups.Group) -> bool:
        """Return whether another member's entry claims leadership."""
        return any(
            pool.entry.leads
            and pool.entry.id != group.primary.leadership.member
            for pool in group.pool_by_member.values()
        )

    def _start_check(
        self, kind: str, group: groups.Group, work: Coroutine[Any, Any, None]
    ) -> None:
        """Start a check unless one of its kind is running for the group."""
        running = self._checks.get((kind, group.id))
        if running is not None and not running.done():
            work.close()
            return
        self._checks[kind, group.id] = asyncio.create_task(work, name=kind)

    async def _search(self, group: groups.Group) -> None:
        """Ask all usable members whether they are the primary."""
        now = self._clock.now()
        pools = [
            pool
            for pool in group.pool_by_member.values()
            if pool.health.usable(now)
            and not group.placement.unreached(pool, now)
        ]
        await asyncio.gather(*(group.primary.check(pool) for pool in pools))
        await asyncio.sleep(SEARCH_PAUSE_S)


def _view(
    pool: member_pool.MemberPool, group: groups.Group, now: float
) -> failover_rule.PrimaryView:
    health = pool.health
    oldest_write_at = health.oldest_write_at()
    behind_since = [
        each.lag.behind_since
        for each in group.pool_by_member.values()
        if each is not pool
    ]
    return failover_rule.PrimaryView(
        leads_since=group.primary.leadership.since,
        draining=pool.draining,
        failures=health.failures,
        refusals=health.refusals,
        first_failure_at=health.first_failure_at,
        last_answer_at=health.last_answer_at,
        excused_at=health.excused_at,
        oldest_write_at=oldest_write_at,
        write_overtaken=health.source.link.answered(
            max(oldest_write_at or 0.0, health.last_write_answer_at)
        ),
        last_write_answer_at=health.last_write_answer_at,
        queue_full=pool.limit.recently_full(now),
        replicas_behind_since=(
            max(each for each in behind_since if each is not None)
            if behind_since and None not in behind_since
            else None
        ),
    )
