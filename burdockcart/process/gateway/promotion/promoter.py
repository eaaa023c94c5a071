"""Replaces the primary of a group.

Explanation
===========

Before a replica is promoted, all other replicas stop receiving.  From then on
the old primary can acknowledge a commit only after the candidate has received
it, so the candidate holds every acknowledged commit once its log has caught
up with the others.  The old primary serves clients until the promotion.

"""

import asyncio
from typing import Awaitable
from typing import Callable
from typing import Iterable

import loguru

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.promotion import asked_members
from burdockcart.process.gateway.promotion import call_notice
from burdockcart.process.gateway.promotion import claim_record
from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.process.gateway.promotion import hold_keeper
from burdockcart.process.gateway.promotion import log_comparison
from burdockcart.process.gateway.promotion import promotion_call
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.promotion import reserved_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import restore_wait
from burdockcart.version import manifest

#: Initial estimate of the time that a promotion by the platform takes, in
#: seconds, including the network latency of the call.
INITIAL_PROMOTION_S = 0.7
#: Interval between checks whether a promoted member has become the primary,
#: in seconds.
LEADERSHIP_POLL_S = 0.03
#: Timeout of waiting until a promoted member has become the primary, in
#: seconds.
LEADERSHIP_TIMEOUT_S = 3.0


class Promoter:
    """Claims the promotion, chooses a replica and promotes it.

    Parameters
    ==========

    connector : Connector
        Opens connections to members that are not listed.
    refresh : callable
        Polls the store; returns whether all that it holds is applied.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        claims: promotion_claims.PromotionClaims,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        wall_ms: Callable[[], int],
        metrics: gateway_metrics.GatewayMetrics,
        reserved: reserved_claims.ReservedClaims,
        wait: restore_wait.RestoreWait,
        connector: member_channel.Connector,
        refresh: Callable[[], Awaitable[bool]],
        notices: call_notice.Notices,
    ):
        #: Time that the platform needed for the last promotion, in seconds.
        self.promotion_s = INITIAL_PROMOTION_S
        self._claims = claims
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._record = claim_record.ClaimRecord(
            daemon,
            platform,
            claims,
            loop_clock,
            boot_clock,
            wall_ms,
            wait,
        )
        self._caller = promotion_call.PromotionCaller(
            daemon,
            platform,
            claims,
            self._record,
            reserved,
            loop_clock,
            boot_clock,
            metrics,
            call_notice.NoticeRounds(notices, loop_clock, metrics),
        )
        #: Groups with a daemon that could not be told of a call.  Their
        #: candidate is recorded ahead, as before a planned replacement.
        self._notice_due: set[ids.GroupId] = set()
        self._metrics = metrics
        self._reserved = reserved
        self._connector = connector
        self._refresh = refresh
        #: Replicas that were left on hold, and in which term, by group.
        self._left_on_hold: dict[
            ids.GroupId, tuple[int, set[ids.MemberId]]
        ] = {}

    async def replace(
        self,
        group: groups.Group,
        old: ids.MemberId | None,
        cause: failover_rule.Cause,
        prepared: ids.MemberId | None = None,
    ) -> None:
        """Replace a primary unless it recovers or another daemon does it.

        Parameters
        ==========

        old : MemberId or None
            The primary; None if no listed member leads.
        prepared : MemberId or None
            The only member that may be promoted, as all daemons know it.

        """
        started_at = self._clock.now()
        pool = None if old is None else group.pool_by_member.get(old)
        # Its entry may go meanwhile, and other daemons know it longer.
        primary = None if pool is None else pool.entry
        loguru.logger.info(
            "event=promotion_begun group={} primary={} cause={!r} term={}",
            group.id,
            old,
            cause.value,
            group.primary.leadership.term,
        )
        asked = await asked_members.connect(group, old, self._connector)
        if asked.unreached:
            asked.close()
            promotion_call.put_off(
                self._metrics,
                group,
                "a replica cannot be asked",
                asked_members.describe(group, old, asked.unreached),
            )
            self._claims.failed(group.id, self._clock.now())
            return
        try:
            done = bool(asked.listed) and await self._claim_and_promote(
                group,
                old,
                asked,
                primary,
                lambda: self._needed(group, old, cause, started_at),
                cause,
                prepared,
            )
        finally:
            asked.close()
        if not asked.listed:
            self._claims.failed(group.id, self._clock.now())
        self._metrics.promotion_ended(cause.value, done)
        loguru.logger.info(
            "event=promotion_ended group={} done={} took_ms={}",
            group.id,
            done,
            int((self._clock.now() - started_at) * 1000),
        )

    async def prepare(self, group: groups.Group, old: ids.MemberId) -> None:
        """Choose and record the member that a planned replacement promotes.

        Nothing is on hold, and the primary goes on.  A daemon that knows the
        member passes on only commits that it has, whoever joins, starts again
        or is released later.
        """
        found = await log_comparison.observe_replicas(group, old)
        called = self._claims.candidate(group.id, self._clock.now())
        eligible = [each for each in found if called in (None, each.id)]
        if eligible:
            chosen = failover_rule.first_candidate(eligible).id
            await self._record_prepared(group, old, chosen)
        else:
            promotion_call.put_off(self._metrics, group, "no replica answers")
        self._claims.failed(group.id, self._clock.now())

    def notice_due(self, group: ids.GroupId) -> bool:
        """Return whether an unplanned promotion waits for the others.

        It has recorded its candidate, as some daemon could not be told.
        """
        if self._claims.preparation(group, self._clock.now()) is None:
            self._notice_due.discard(group)
        return group in self._notice_due

    async def _record_prepared(
        self,
        group: groups.Group,
        old: ids.MemberId | None,
        member: ids.MemberId,
    ) -> bool:
        """Record that a member will be promoted; False if that failed."""
        if await self._record.claim(group.id, member) is None:
            return False
        self._claims.give_up_preparation(group.id)
        self._claims.prepare(group.id, member, self._clock.now())
        loguru.logger.info(
            "event=promotion_prepared group={} primary={} member={}",
            group.id,
            old,
            member,
        )
        return True

    def _needed(
        self,
        group: groups.Group,
        old: ids.MemberId | None,
        cause: failover_rule.Cause,
        began_at: float,
    ) -> bool:
        """Return whether the old primary must still be replaced."""
        leader = group.primary.pool()
        # An unlisted member may still answer as the primary.
        if leader is not None and leader.entry.id != old:
            return False
        pool = None if old is None else group.pool_by_member.get(old)
        return pool is None or failover_rule.still_needed(
            cause, began_at, pool.health.last_answer_at
        )

    async def _claim_and_promote(
        self,
        group: groups.Group,
        old: ids.MemberId | None,
        asked: asked_members.AskedMembers,
        primary: manifest.MemberEntry | None,
        needed: Callable[[], bool],
        cause: failover_rule.Cause,
        prepared: ids.MemberId | None = None,
    ) -> bool:
        """Claim the promotion, choose a replica and promote it."""
        claimed = await self._record.claim(group.id)
        token = claimed or self._reserved_token(group)
        if token is None:
            return False
        if claimed is not None and prepared is not None:
            self._claims.prepare(group.id, prepared, self._clock.now())
        channels = asked.channels
        outcome = promotion_call.CallOutcome.NOT_DONE
        # The primary serves meanwhile, and all go by the prepared member.
        planned = cause is failover_rule.Cause.DRAINING
        self._caller.forget(group.id)
        comparison = log_comparison.LogComparison(
            group, channels, asked.listed, self._clock
        )
        refreshed = asyncio.create_task(
            self._refreshed(group, claimed is not None),
            name="refresh_members",
        )
        try:
            called = self._claims.candidate(group.id, self._clock.now())
            candidate = await comparison.candidate(called or prepared)
            if candidate is None and called is None and prepared is not None:
                self._claims.give_up_preparation(group.id)
            compared_at = self._boot_clock.now()
            if (
                candidate is not None
                and needed()
                and await refreshed
                and await self._covers_all(
                    group, old, asked, comparison, candidate
                )
            ):
                keeper = hold_keeper.HoldKeeper(
                    group,
                    {old, candidate},
                    asked,
                    comparison.term,
                    lambda each: self._leave_on_hold(group, [each]),
                )
                keeping = asyncio.create_task(
                    keeper.run(), name="keep_on_hold"
                )
                try:
                    outcome = await self._caller.call(
                        group,
                        promotion_call.Replacement(
                            old,
                            cause,
                            candidate,
                            asked,
                            comparison,
                            None if planned else primary,
                            prepared is not None,
                        ),
                        token,
                        compared_at,
                    )
                finally:
                    keeping.cancel()
        except asyncio.CancelledError:
            # This daemon shuts down; nobody else knows what it has on hold.
            if not self._caller.called(group.id):
                await self._release(group, channels)
            raise
        except Exception:
            if not self._caller.called(group.id):
                self._leave_on_hold(group, channels)
            raise
        finally:
            refreshed.cancel()
        if outcome is promotion_call.CallOutcome.DONE:
            assert candidate is not None
            self._notice_due.discard(group.id)
            await self._await_leadership(group, candidate)
            # Calls with a lower token are refused where there is fencing.
            self._claims.call_done(group.id, group.promotions_fenced)
            await self._record.settle(group.id)
            return True
        if outcome is promotion_call.CallOutcome.UNANSWERED:
            self._leave_on_hold(group, channels)
        else:
            await self._release(group, channels)
        if outcome is promotion_call.CallOutcome.NOTICE_DUE:
            assert candidate is not None
            if await self._record_prepared(group, old, candidate):
                self._notice_due.add(group.id)
        self._claims.failed(group.id, self._clock.now())
        return False

    async def _refreshed(
        self, group: groups.Group, store_answers: bool
    ) -> bool:
        """Return whether the known members are those in the store.

        While the store is away, nothing newer can be learned.
        """
        if not store_answers or await self._refresh():
            return True
        promotion_call.put_off(
            self._metrics, group, "the list of members could not be read"
        )
        return False

    async def _covers_all(
        self,
        group: groups.Group,
        old: ids.MemberId | None,
        asked: asked_members.AskedMembers,
        comparison: log_comparison.LogComparison,
        candidate: ids.MemberId,
    ) -> bool:
        """Return whether a candidate holds every acknowledged commit.

        It holds what the others hold, which are on hold.  Commits that only a
        member held that could not be asked are covered by a position of the
        primary, recorded earlier or measured now.
        """
        joined = asked.joined(group, old)
        if joined:
            promotion_call.put_off(
                self._metrics, group, "a member has joined", joined
            )
            return False
        floor = group.roster.floor
        gap = group.roster.gap(asked.members, old)
        if gap is not None:
            position = await group.primary.position_now()
            if position is None:
                promotion_call.put_off(
                    self._metrics,
                    group,
                    gap.value,
                    asked_members.describe(
                        group, old, group.roster.known - asked.members
                    ),
                )
                return False
            floor = max(position, floor or position)
        loguru.logger.info(
            "event=promotion_compared group={} candidate={} asked={} "
            "not_asked={} floor={} measured={}",
            group.id,
            candidate,
            ",".join(sorted(f"{e.id}/{e.started_ms}" for e in asked.members)),
            ",".join(
                sorted(
                    f"{e.id}/{e.started_ms}"
                    for e in group.roster.known - asked.members
                )
            ),
            floor,
            gap is not None,
        )
        if floor is None or await comparison.reaches(candidate, floor):
            return True
        promotion_call.put_off(
            self._metrics,
            group,
            "the candidate may lack acknowledged commits",
            [f"{candidate}:below_{floor}"],
        )
        return False

    async def restate(self) -> bool:
        """Record open calls again; False if the store did not answer."""
        restated = [
            await self._record.restate(group)
            for group in self._claims.groups_with_calls
        ]
        return all(restated)

    def _leave_on_hold(
        self, group: groups.Group, members: Iterable[ids.MemberId]
    ) -> None:
        term = group.primary.leadership.term
        _, known = self._left_on_hold.get(group.id, (term, set()))
        self._left_on_hold[group.id] = term, known | set(members)

    def left_on_hold(self, group: groups.Group) -> bool:
        """Return whether replicas wait for this daemon to release them."""
        term, left = self._left_on_hold.get(group.id, (0, set()))
        if not left or group.primary.leadership.term > term:
            # A promotion ends every hold.
            self._left_on_hold.pop(group.id, None)
            return False
        return (
            bool(left & group.pool_by_member.keys())
            and self._open_call(group) is None
        )

    def _open_call(self, group: groups.Group) -> ids.MemberId | None:
        """Return the member of a call that may still be carried out."""
        return self._claims.candidate(group.id, self._clock.now())

    async def release_left(self, group: groups.Group) -> None:
        """Claim the promotion to release what was left on hold.

        Replicas that cannot be reached are tried again later; nothing is
        claimed for them, as a claim keeps other daemons from promoting.
        """
        _, left = self._left_on_hold[group.id]
        pools = [
            group.pool_by_member[member]
            for member in left & group.pool_by_member.keys()
        ]
        taken = await asyncio.gather(*(each.take_or_open() for each in pools))
        connections = [each for each in taken if each is not None]
        try:
            if connections and await self._record.claim(group.id) is not None:
                await self._release(
                    group,
                    {each.pool.entry.id: each.channel for each in connections},
                )
        finally:
            for connection in connections:
                connection.pool.give_back(connection)
        self._claims.failed(group.id, self._clock.now())

    async def _release(
        self,
        group: groups.Group,
        channels: dict[ids.MemberId, member_channel.Channel],
    ) -> None:
        """Let the replicas receive again if no promotion can follow.

        Another daemon may have called the platform meanwhile.  Its promotion
        loses commits if the replicas receive before it takes effect, so they
        stay on hold until this daemon has a claim, or the lead has changed.
        The same holds for any earlier call that may still be carried out,
        whatever the last one was answered.
        """
        self._leave_on_hold(group, channels)
        open_call = self._open_call(group)
        if open_call is not None or not await self._record.renew(group.id):
            loguru.logger.warning(
                "event=replicas_left_on_hold group={} open_call={}",
                group.id,
                open_call,
            )
            return
        open_channels = {
            member: channel
            for member, channel in channels.items()
            if not channel.closed
        }
        answers = await asyncio.gather(
            *(
                channel.release_replication(log_comparison.QUERY_TIMEOUT_S)
                for channel in open_channels.values()
            )
        )
        _, left = self._left_on_hold[group.id]
        left -= {
            member
            for member, answer in zip(open_channels, answers, strict=True)
            if answer.fault is None
        }
        loguru.logger.info(
            "event=replicas_released group={} faults={}",
            group.id,
            [each.fault.value for each in answers if each.fault],
        )

    def _reserved_token(self, group: groups.Group) -> ids.FencingToken | None:
        """Return a token claimed in advance if the store is unavailable."""
        pool = group.primary.pool()
        if not self._claims.store_silent(group.id) or pool is None:
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

    async def _await_leadership(
        self, group: groups.Group, member: ids.MemberId
    ) -> None:
        """Wait until a promoted member has become the primary."""
        called_at = self._clock.now()
        group.primary.expected_at = called_at + self.promotion_s
        until = called_at + LEADERSHIP_TIMEOUT_S
        while self._clock.now() < until:
            pool = group.pool_by_member.get(member)
            if pool is None:
                break
            if await group.primary.check(pool):
                self.promotion_s = self._clock.now() - called_at
                break
            await asyncio.sleep(LEADERSHIP_POLL_S)
        group.primary.expected_at = None
