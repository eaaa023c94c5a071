"""Watches primaries and finds those that have to be replaced."""

import asyncio
from typing import Any
from typing import Callable
from typing import Coroutine

import loguru

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway import coordination
from burdockcart.process.gateway import failover_rule
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway import group as groups
from burdockcart.process.gateway import member_pool
from burdockcart.process.gateway import promoter
from burdockcart.process.gateway import promotion_turn
from burdockcart.process.gateway import reserved_claims

#: Interval of looking at all primaries, in seconds; a quarter of the
#: shortest time after which one is replaced would be finer than needed.
LOOK_EVERY_S = 0.05
#: A pause of the loop from which on this process is taken to have stood
#: still, in seconds; below the time after which a member counts as silent.
STALLED_AFTER_S = 0.2


class Failover:
    """Watches the primaries of all groups."""

    def __init__(
        self,
        daemon: ids.DaemonId,
        group_by_id: dict[ids.GroupId, groups.Group],
        platform: coordination.Platform,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        turn_s: float,
        wall_ms: Callable[[], int],
        metrics: gateway_metrics.GatewayMetrics,
        reserved: reserved_claims.ReservedClaims,
    ):
        self._group_by_id = group_by_id
        self._clock = loop_clock
        self._turns = promotion_turn.PromotionTurns(daemon, turn_s)
        self._promoter = promoter.Promoter(
            daemon,
            platform,
            self._turns,
            loop_clock,
            boot_clock,
            wall_ms,
            metrics,
            reserved,
        )
        self._task_by_group: dict[ids.GroupId, asyncio.Task[None]] = {}
        self._checks: dict[tuple[str, ids.GroupId], asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Look at all primaries until cancelled."""
        looked_at = self._clock.now()
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            now = self._clock.now()
            if now - looked_at > STALLED_AFTER_S:
                self._after_stall(now - looked_at)
            looked_at = now
            for group in list(self._group_by_id.values()):
                self._look(group)

    def _after_stall(self, stalled_s: float) -> None:
        """Judge no member by the time in which this process stood still."""
        loguru.logger.warning(
            "event=process_stalled for_ms={}", int(stalled_s * 1000)
        )
        for group in self._group_by_id.values():
            group.restart_timers()

    def _look(self, group: groups.Group) -> None:
        running = self._task_by_group.get(group.id)
        if running is not None and not running.done():
            return
        now = self._clock.now()
        pool = group.primary_pool()
        if pool is None:
            self._check("search", group, self._search(group))
            return
        if pool.health.failing and self._lead_moved(group):
            # The entry may also be an old one of a dead primary, so the
            # present one is judged as well.
            self._check("search", group, self._search(group))
        view = _view(pool, group, now)
        self._expect_primary(group, view)
        cause = failover_rule.cause_to_replace(view, now)
        if cause is None or group.isolated:
            return
        planned = cause is failover_rule.Cause.DRAINING
        if not self._turns.may_try(group.id, planned, now):
            self._check("search", group, self._search(group))
            return
        self._task_by_group[group.id] = asyncio.create_task(
            self._promoter.replace(group, pool.entry.id, cause),
            name="replace_primary",
        )

    def _expect_primary(
        self, group: groups.Group, view: failover_rule.PrimaryView
    ) -> None:
        """Estimate when a group whose primary fails has one again."""
        if failover_rule.is_lost(view, self._clock.now()):
            assert view.first_failure_at is not None
            group.primary_expected_at = failover_rule.estimate_primary_at(
                view.first_failure_at,
                self._turns.failed_at(group.id),
                self._promoter.promotion_s,
                self._clock.now(),
            )
            group.refuse_unservable()
        else:
            group.primary_expected_at = None

    def _lead_moved(self, group: groups.Group) -> bool:
        """Return whether another member's entry says that it leads."""
        return any(
            pool.entry.leads and pool.entry.id != group.leadership.member
            for pool in group.pool_by_member.values()
        )

    def _check(
        self, kind: str, group: groups.Group, work: Coroutine[Any, Any, None]
    ) -> None:
        """Run one check of each kind at a time for a group."""
        running = self._checks.get((kind, group.id))
        if running is not None and not running.done():
            work.close()
            return
        self._checks[kind, group.id] = asyncio.create_task(work, name=kind)

    async def _search(self, group: groups.Group) -> None:
        """Ask all members which of them leads."""
        pools = [
            pool
            for pool in group.pool_by_member.values()
            if pool.health.usable(self._clock.now())
        ]
        await asyncio.gather(*(group.check_leadership(pool) for pool in pools))
        await asyncio.sleep(LOOK_EVERY_S)


def _view(
    pool: member_pool.MemberPool, group: groups.Group, now: float
) -> failover_rule.PrimaryView:
    health = pool.health
    behind_since = [
        each.lag.behind_since
        for each in group.pool_by_member.values()
        if each is not pool
    ]
    return failover_rule.PrimaryView(
        leads_since=group.leadership.since,
        draining=pool.draining,
        failures=health.failures,
        refusals=health.refusals,
        first_failure_at=health.first_failure_at,
        last_answer_at=health.last_answer_at,
        oldest_write_at=health.oldest_write_at(),
        last_write_answer_at=health.last_write_answer_at,
        queue_full=pool.limit.recently_full(now),
        replicas_behind_since=(
            max(each for each in behind_since if each is not None)
            if behind_since and None not in behind_since
            else None
        ),
    )
