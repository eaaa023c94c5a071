"""Gives a group a new primary.

Explanation
===========

Before a replica is promoted, all other replicas stop receiving.  From then on
the old primary needs the candidate to acknowledge a commit, so the candidate
holds all acknowledged commits as soon as its log reaches those of the others.
The old primary goes on serving until the moment of the promotion.

"""

import asyncio
import enum
from typing import Callable
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
from burdockcart.process.gateway import log_comparison
from burdockcart.process.gateway import member_pool
from burdockcart.process.gateway import promotion_turn
from burdockcart.process.gateway import reserved_claims

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


class Promoter:
    """Claims the turn, chooses a replica and has it promoted."""

    def __init__(
        self,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        turns: promotion_turn.PromotionTurns,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        wall_ms: Callable[[], int],
        metrics: gateway_metrics.GatewayMetrics,
        reserved: reserved_claims.ReservedClaims,
    ):
        #: Time that the platform needed for the last promotion, in seconds.
        self.promotion_s = PROMOTION_S
        self._daemon = daemon
        self._platform = platform
        self._turns = turns
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._reserved = reserved

    async def replace(
        self,
        group: groups.Group,
        old: ids.MemberId,
        cause: failover_rule.Cause,
    ) -> None:
        """Replace a primary, unless another daemon does or it recovers."""
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
        token = await self._claim(group) or self._reserved_token(group)
        if token is None:
            return False
        candidate = await log_comparison.LogComparison(
            group, channels, self._clock
        ).candidate()
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
            if fault is coordination.PromotionFault.REJECTED:
                self._reserved.drop_token(group.id)
                return called
            if fault is coordination.PromotionFault.NO_ANSWER:
                # It may be carried out later, until a call with a higher
                # token has been answered.
                called = Called.UNANSWERED
                self._reserved.drop_token(group.id)
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
                channel.release_replication(log_comparison.ASK_TIMEOUT_S)
                for channel in channels.values()
                if not channel.closed
            )
        )
        loguru.logger.info(
            "event=replicas_released group={} faults={}",
            group.id,
            [each.fault.value for each in answers if each.fault],
        )

    def _reserved_token(self, group: groups.Group) -> ids.FencingToken | None:
        """Return a token claimed ahead, if the store gives none now."""
        pool = group.primary_pool()
        if not self._turns.store_silent(group.id) or pool is None:
            return None
        failing_since = pool.health.first_failure_at
        if failing_since is None:
            return None
        token = self._reserved.token(group, failing_since)
        if token is not None:
            loguru.logger.warning(
                "event=promotion_by_reserved_token group={} token={}",
                group.id,
                token,
            )
        return token

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
                self._turns.failed(group.id, now, store_silent=True)
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

    async def _follow(self, group: groups.Group, member: ids.MemberId) -> None:
        """Ask a promoted member until it leads."""
        called_at = self._clock.now()
        group.primary_expected_at = called_at + self.promotion_s
        until = called_at + LEADS_WITHIN_S
        while self._clock.now() < until:
            pool = group.pool_by_member.get(member)
            if pool is None:
                break
            if await group.check_leadership(pool):
                self.promotion_s = self._clock.now() - called_at
                break
            await asyncio.sleep(LEADS_POLL_S)
        group.primary_expected_at = None
