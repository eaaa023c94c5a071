"""Reports the commits of a group that a promotion has discarded."""

import asyncio

import loguru

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.promotion import promotion_audit
from burdockcart.request import log_position

#: Timeout of a query to a member, in seconds.
QUERY_TIMEOUT_S = 0.4
#: Time after a promotion for which members that did not answer are asked once
#: they answer other requests, in seconds.
ASK_FOR_S = 60.0
#: Interval between looks for such members, in seconds.
LOOK_INTERVAL_S = 0.1


class PromotionWatch:
    """Collects what members of one group report, and asks after a promotion.

    Explanation
    ===========

    The answers that come anyway are used.  After a promotion, each other
    member that this daemon connects to is asked once.

    Parameters
    ==========

    pool_by_member : dict of MemberId to MemberPool
        Owned by the group.

    """

    def __init__(
        self,
        group: ids.GroupId,
        pool_by_member: dict[ids.MemberId, member_pool.MemberPool],
        loop_clock: clock.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self._group = group
        self._pool_by_member = pool_by_member
        self._clock = loop_clock
        self._metrics = metrics
        self._audit = promotion_audit.PromotionAudit()
        self._asking: asyncio.Task[None] | None = None

    def observe(
        self, member: ids.MemberId, status: member_channel.MemberStatus
    ) -> None:
        """Use the status that a member has reported."""
        term, known = self._audit.term, self._audit.beginning
        for finding in self._audit.observe(member, status):
            self._report(finding)
        begun = self._audit.beginning
        found = begun is not None and begun is not known
        if found or 0 < term < self._audit.term:
            passed_on = self._audit.passed_on_before(self._audit.term)
            loguru.logger.info(
                "event=term_begun group={} member={} term={} received={} "
                "passed_on={}",
                self._group,
                member,
                self._audit.term,
                begun and begun.received,
                passed_on,
            )
        if begun is not None and found:
            self.close()
            self._asking = asyncio.create_task(
                self._ask_others(begun.member), name="ask_after_promotion"
            )

    def pass_on(self, commit: log_position.LogPosition) -> None:
        """Note that a client is told that a commit is done."""
        finding = self._audit.pass_on(commit)
        if finding is not None:
            self._report(finding)

    def close(self) -> None:
        """Ask no more members."""
        if self._asking is not None:
            self._asking.cancel()

    async def _ask_others(self, promoted: ids.MemberId) -> None:
        """Ask each other member once, as soon as it can be reached."""
        began_at = asked_at = self._clock.now()
        answered = {promoted}
        ready = self._waiting_for(answered)
        while self._clock.now() - began_at < ASK_FOR_S:
            answers = await asyncio.gather(
                *(pool.observe(QUERY_TIMEOUT_S) for pool in ready)
            )
            if ready:
                asked_at = self._clock.now()
            answered |= {
                pool.entry.id
                for pool, answer in zip(ready, answers, strict=True)
                if isinstance(answer, member_channel.MemberStatus)
            }
            await asyncio.sleep(LOOK_INTERVAL_S)
            ready = [
                pool
                for pool in self._waiting_for(answered)
                if pool.health.last_answer_at > asked_at
            ]

    def _waiting_for(
        self, answered: set[ids.MemberId]
    ) -> list[member_pool.MemberPool]:
        """Return the members to be asked that this daemon connects to."""
        return [
            pool
            for member, pool in self._pool_by_member.items()
            if member not in answered and pool.direct
        ]

    def _report(self, finding: promotion_audit.Finding) -> None:
        begun = finding.beginning
        if finding.member is None:
            self._metrics.acknowledged_discarded(self._group, finding.commits)
            loguru.logger.error(
                "event=acknowledged_discarded group={} position={} "
                "promoted={} term={} received={} commits={}",
                self._group,
                finding.position,
                begun.member,
                begun.term,
                begun.received,
                finding.commits,
            )
            return
        self._metrics.commits_discarded(
            self._group, finding.led, finding.commits
        )
        loguru.logger.warning(
            "event=commits_discarded group={} member={} led={} position={} "
            "promoted={} term={} received={} commits={}",
            self._group,
            finding.member,
            finding.led,
            finding.position,
            begun.member,
            begun.term,
            begun.received,
            finding.commits,
        )
