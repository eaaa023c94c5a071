"""Replaces the primaries of groups that need it."""

import asyncio
import enum
from typing import Any
from typing import Callable
from typing import Coroutine
import uuid

import loguru
from returns import result

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway import coordination
from burdockcart.process.gateway import failover_rule
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway import group as groups
from burdockcart.process.gateway import member_pool
from burdockcart.process.gateway import promotion_turn

#: Interval of looking at all primaries, in seconds; a quarter of the
#: shortest time after which one is replaced would be finer than needed.
LOOK_EVERY_S = 0.05
#: A pause of the loop from which on this process is taken to have stood
#: still, in seconds; below the time after which a member counts as silent.
STALLED_AFTER_S = 0.2
#: Limit for a connection that only shows whether a primary accepts any, in
#: seconds; five times the dearest handshake on the users' sheets (27 ms).
CHECK_TIMEOUT_S = 0.14
#: Limit for asking a replica, in seconds.
ASK_TIMEOUT_S = 0.4
#: Time for the candidate to receive what the others hold, in seconds.
CATCH_UP_S = 0.25
CATCH_UP_PAUSE_S = 0.02
#: Longest time between the comparison of the logs and the call that promotes,
#: in seconds on the boot clock: a daemon that was suspended in between must
#: compare again.
COMPARISON_VALID_S = 0.3
#: Time that the platform needs to promote, assumed before the first one, in
#: seconds; the smaller figure of the users' sheets and its way.
PROMOTION_S = 0.7
#: Interval of asking a promoted member whether it leads, in seconds.
LEADS_POLL_S = 0.03
#: Time for which a promoted member is asked, in seconds.
LEADS_WITHIN_S = 3.0
#: Calls for one promotion; each has a token of its own.
MAX_CALLS = 3


class Called(enum.Enum):
    """What became of the call that promotes."""

    NO = "not carried out"
    DONE = "done"
    UNANSWERED = "may be carried out later"


class Failover:
    """Watches the primaries of all groups and promotes replicas.

    Explanation
    ===========

    Before a replica is promoted, all other replicas stop receiving.  From
    then on the old primary needs the candidate to acknowledge a commit, so
    the candidate holds all acknowledged commits as soon as its log reaches
    those of the others.  The old primary goes on serving until the moment of
    the promotion.

    """

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
    ):
        self._metrics = metrics
        self._daemon = daemon
        self._group_by_id = group_by_id
        self._platform = platform
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._turns = promotion_turn.PromotionTurns(daemon, turn_s)
        self._wall_ms = wall_ms
        self._promotion_s = PROMOTION_S
        self._task_by_group: dict[ids.GroupId, asyncio.Task[None]] = {}
        self._checks: dict[tuple[str, ids.GroupId], asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Look at all primaries until cancelled."""
        looked_at = self._clock.now()
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            now = self._clock.now()
            if now - looked_at > STALLED_AFTER_S:
                self._after_stall(now - looked_at, now)
            looked_at = now
            for group in list(self._group_by_id.values()):
                self._look(group)

    def _after_stall(self, stalled_s: float, now: float) -> None:
        """Judge no member by the time in which this process stood still."""
        loguru.logger.warning(
            "event=process_stalled for_ms={}", int(stalled_s * 1000)
        )
        for group in self._group_by_id.values():
            for pool in group.pool_by_member.values():
                pool.health.forget_silence(now)

    def _look(self, group: groups.Group) -> None:
        running = self._task_by_group.get(group.id)
        if running is not None and not running.done():
            return
        now = self._clock.now()
        pool = group.primary_pool()
        if pool is None or (pool.health.failing and self._lead_moved(group)):
            self._check("search", group, self._search(group))
            return
        view = _view(pool, group.leadership.since)
        longest_wait_s = pool.health.longest_wait_s(now)
        if failover_rule.needs_check(view, longest_wait_s):
            self._check("connect", group, self._try_connection(pool))
        self._expect_primary(group, view)
        cause = failover_rule.cause_to_replace(view, now)
        if cause is None or group.isolated:
            return
        planned = cause is failover_rule.Cause.DRAINING
        if not self._turns.may_try(group.id, planned, now):
            self._check("search", group, self._search(group))
            return
        self._task_by_group[group.id] = asyncio.create_task(
            self._replace(group, pool.entry.id, cause), name="replace_primary"
        )

    def _expect_primary(
        self, group: groups.Group, view: failover_rule.PrimaryView
    ) -> None:
        """Estimate when a group whose primary fails has one again."""
        if view.failures >= failover_rule.MIN_FAILURES:
            assert view.first_failure_at is not None
            due_at = view.first_failure_at + (
                failover_rule.SILENT_FOR_S + self._promotion_s
            )
            group.primary_due_at = max(due_at, self._clock.now())
        else:
            group.primary_due_at = None

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

    async def _try_connection(self, pool: member_pool.MemberPool) -> None:
        if not pool.health.usable(self._clock.now()):
            return
        opened = await pool.connect(CHECK_TIMEOUT_S)
        if opened is not None:
            opened.close()

    async def _search(self, group: groups.Group) -> None:
        """Ask all members which of them leads."""
        pools = [
            pool
            for pool in group.pool_by_member.values()
            if pool.health.usable(self._clock.now())
        ]
        await asyncio.gather(*(group.prove(pool) for pool in pools))
        await asyncio.sleep(LOOK_EVERY_S)

    # Promotion

    async def _replace(
        self,
        group: groups.Group,
        old: ids.MemberId,
        cause: failover_rule.Cause,
    ) -> None:
        started_at = self._clock.now()
        loguru.logger.info(
            "event=promotion_begun group={} primary={} cause={!r} term={}",
            group.id,
            old,
            cause.value,
            group.leadership.term,
        )
        others = [
            pool
            for pool in group.pool_by_member.values()
            if pool.entry.id != old
        ]
        if not others:
            self._turns.failed(group.id, self._clock.now())
            return
        connections = await self._connections(others)
        if connections is None:
            loguru.logger.info(
                "event=promotion_put_off group={} "
                "reason='a replica cannot be asked'",
                group.id,
            )
            self._turns.failed(group.id, self._clock.now())
            return
        channels = {
            connection.pool.entry.id: connection.channel
            for connection in connections
        }
        try:
            done = await self._promote_one(
                group,
                channels,
                lambda: self._needed(group, old, cause, started_at),
            )
        finally:
            for connection in connections:
                connection.pool.give_back(connection)
        self._metrics.promotion_ended(cause.value, done)
        loguru.logger.info(
            "event=promotion_ended group={} done={} took_ms={}",
            group.id,
            done,
            int((self._clock.now() - started_at) * 1000),
        )

    def _needed(
        self,
        group: groups.Group,
        old: ids.MemberId,
        cause: failover_rule.Cause,
        began_at: float,
    ) -> bool:
        """Return whether the old primary is still to be replaced."""
        pool = group.pool_by_member.get(old)
        if group.leadership.member not in (None, old):
            return False
        return pool is None or failover_rule.still_needed(
            cause, began_at, pool.health.last_answer_at
        )

    async def _connections(
        self, pools: list[member_pool.MemberPool]
    ) -> list[member_pool.PooledConnection] | None:
        """Take a connection to each replica; None if one is out of reach."""
        taken = await asyncio.gather(*(pool.take_or_open() for pool in pools))
        connections = [each for each in taken if each is not None]
        if len(connections) == len(pools):
            return connections
        for connection in connections:
            connection.pool.give_back(connection)
        return None

    async def _promote_one(
        self,
        group: groups.Group,
        channels: dict[ids.MemberId, member_channel.Channel],
        needed: Callable[[], bool],
    ) -> bool:
        """Claim the turn, choose a replica and promote it."""
        token = await self._claim(group)
        if token is None:
            return False
        candidate = await self._candidate(group, channels)
        called = Called.NO
        if candidate is not None and needed():
            called = await self._call(group, candidate, token)
        if called is Called.DONE:
            assert candidate is not None
            await self._follow(group, candidate)
            return True
        self._turns.failed(group.id, self._clock.now())
        if called is Called.NO:
            await self._release(group, channels)
        return False

    async def _call(
        self,
        group: groups.Group,
        candidate: ids.MemberId,
        token: ids.FencingToken,
    ) -> Called:
        """Call the platform until it answers."""
        called = Called.NO
        compared_at = self._boot_clock.now()
        for _ in range(MAX_CALLS):
            if self._boot_clock.now() - compared_at > COMPARISON_VALID_S:
                loguru.logger.info(
                    "event=promotion_put_off group={} "
                    "reason='the comparison of the logs is old'",
                    group.id,
                )
                return called
            answer = await self._platform.promote(
                group.id, candidate, self._daemon, token
            )
            if isinstance(answer, result.Success):
                return Called.DONE
            fault = answer.failure()
            loguru.logger.warning(
                "event=promotion_refused group={} member={} token={} "
                "fault={!r}",
                group.id,
                candidate,
                token,
                fault.value,
            )
            if fault is coordination.PromotionFault.OUTRANKED:
                return called
            if fault is coordination.PromotionFault.NO_ANSWER:
                # It may be carried out later, until a call with a higher
                # token has been answered.
                called = Called.UNANSWERED
            later = await self._claim(group)
            if later is None:
                return called
            token = later
            # The other replicas still stand still, so the comparison holds.
            compared_at = self._boot_clock.now()
        return called

    async def _release(
        self,
        group: groups.Group,
        channels: dict[ids.MemberId, member_channel.Channel],
    ) -> None:
        """Let the replicas receive again after an attempt without a call."""
        answers = await asyncio.gather(
            *(
                channel.release_replication(ASK_TIMEOUT_S)
                for channel in channels.values()
                if not channel.closed
            )
        )
        loguru.logger.info(
            "event=replicas_released group={} faults={}",
            group.id,
            [each.fault.value for each in answers if each.fault],
        )

    async def _claim(self, group: groups.Group) -> ids.FencingToken | None:
        """Claim the right to promote; None if it is another daemon's turn."""
        record = coordination.PromotionRecord(
            self._daemon, uuid.uuid4().hex, self._wall_ms()
        )
        for _ in range(MAX_CALLS):
            claimed = await self._platform.claim_promotion(
                group.id, record, self._turns.revision(group.id)
            )
            now = self._clock.now()
            if isinstance(claimed, result.Success):
                token = claimed.unwrap()
                self._turns.claimed(group.id, token, now)
                return token
            fault = claimed.failure()
            if isinstance(fault, coordination.CallFault):
                loguru.logger.warning(
                    "event=promotion_claim_failed group={} fault={!r}",
                    group.id,
                    fault.value,
                )
                self._turns.failed(group.id, now)
                return None
            if fault.record is not None and fault.record.attempt == (
                record.attempt
            ):
                # The answer to an earlier call of this attempt was lost.
                token = ids.FencingToken(fault.revision)
                self._turns.claimed(group.id, token, now)
                return token
            if not self._turns.lost(group.id, fault, self._wall_ms(), now):
                loguru.logger.info(
                    "event=promotion_left group={} holder={}",
                    group.id,
                    fault.record.holder if fault.record else None,
                )
                return None
        return None

    async def _candidate(
        self,
        group: groups.Group,
        channels: dict[ids.MemberId, member_channel.Channel],
    ) -> ids.MemberId | None:
        """Return a replica that holds every acknowledged commit."""
        seen = await self._ask_all(
            group, channels, lambda each: each.status(ASK_TIMEOUT_S)
        )
        if seen is None:
            return None
        candidate = failover_rule.first_candidate(seen)
        term = 1 + max(
            [group.leadership.term] + [each.received.term for each in seen]
        )
        rest = {
            member: channel
            for member, channel in channels.items()
            if member != candidate.id
        }
        held = await self._ask_all(
            group,
            rest,
            lambda each: each.hold_replication(term, ASK_TIMEOUT_S),
        )
        if held is None:
            return None
        if await self._catches_up(group, channels, candidate, held):
            return candidate.id
        loguru.logger.info(
            "event=candidate_behind group={} member={} received={} others={}",
            group.id,
            candidate.id,
            candidate.received,
            [each.received for each in held],
        )
        return await self._longest(group, channels, candidate, term, held)

    async def _catches_up(
        self,
        group: groups.Group,
        channels: dict[ids.MemberId, member_channel.Channel],
        candidate: failover_rule.ReplicaView,
        held: list[failover_rule.ReplicaView],
    ) -> bool:
        """Wait until the candidate holds what the others hold."""
        until = self._clock.now() + CATCH_UP_S
        only = {candidate.id: channels[candidate.id]}
        now_at = candidate
        while not failover_rule.holds_all(now_at, held):
            if self._clock.now() >= until:
                return False
            await asyncio.sleep(CATCH_UP_PAUSE_S)
            seen = await self._ask_all(
                group, only, lambda each: each.status(ASK_TIMEOUT_S)
            )
            if seen is None:
                return False
            now_at = seen[0]
        return True

    async def _longest(
        self,
        group: groups.Group,
        channels: dict[ids.MemberId, member_channel.Channel],
        candidate: failover_rule.ReplicaView,
        term: int,
        held: list[failover_rule.ReplicaView],
    ) -> ids.MemberId | None:
        """Stop the candidate too, and take the longest log of all."""
        stopped = await self._ask_all(
            group,
            {candidate.id: channels[candidate.id]},
            lambda each: each.hold_replication(term, ASK_TIMEOUT_S),
        )
        if stopped is None:
            return None
        return max(
            stopped + held, key=lambda each: (each.received, each.id)
        ).id

    async def _ask_all(
        self, group: groups.Group, channels, ask
    ) -> list[failover_rule.ReplicaView] | None:
        """Ask replicas for their logs; None if one does not tell."""
        answers = await asyncio.gather(
            *(ask(channel) for channel in channels.values())
        )
        views = []
        for member, answer in zip(channels, answers, strict=True):
            pool = group.pool_by_member.get(member)
            if isinstance(answer, member_channel.MemberFault) or pool is None:
                loguru.logger.info(
                    "event=replica_not_asked group={} member={} fault={!r}",
                    group.id,
                    member,
                    getattr(answer, "value", "left"),
                )
                return None
            if answer.role is member_channel.Role.PRIMARY:
                # Holding the other replicas would stop its writes.
                loguru.logger.info(
                    "event=primary_found group={} member={}", group.id, member
                )
                return None
            views.append(
                failover_rule.ReplicaView(
                    member, answer.received, pool.draining
                )
            )
        return views

    async def _follow(self, group: groups.Group, member: ids.MemberId) -> None:
        """Ask a promoted member until it leads."""
        called_at = self._clock.now()
        group.primary_due_at = called_at + self._promotion_s
        until = called_at + LEADS_WITHIN_S
        while self._clock.now() < until:
            pool = group.pool_by_member.get(member)
            if pool is None:
                break
            if await group.prove(pool):
                self._promotion_s = self._clock.now() - called_at
                break
            await asyncio.sleep(LEADS_POLL_S)
        group.primary_due_at = None


def _view(
    pool: member_pool.MemberPool, leads_since: float
) -> failover_rule.PrimaryView:
    health = pool.health
    return failover_rule.PrimaryView(
        leads_since=leads_since,
        draining=pool.draining,
        failures=health.failures,
        refusals=health.refusals,
        first_failure_at=health.first_failure_at,
        last_answer_at=health.last_answer_at,
        oldest_write_at=health.oldest_write_at(),
        last_write_answer_at=health.last_write_answer_at,
    )
