"""Calls the platform to promote a member."""

import asyncio
import enum
import math
from typing import Iterable
from typing import Literal
from typing import TypeVar

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.promotion import asked_members
from burdockcart.process.gateway.promotion import call_notice
from burdockcart.process.gateway.promotion import claim_record
from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.process.gateway.promotion import log_comparison
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.promotion import reserved_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.request import log_position
from burdockcart.version import manifest

T = TypeVar("T")

#: Longest time between the comparison of the logs and a promotion call with a
#: reserved token, in seconds on the boot clock: a daemon that was suspended in
#: between must compare again.
COMPARISON_VALID_S = 0.3
#: Longest time between the start of the write that records the candidate and
#: the promotion call, in seconds on the boot clock; half of the time for which
#: others leave the group alone after that write.
ANNOUNCEMENT_VALID_S = 1.5
#: Time for which a promotion waits for a member that has commits which no
#: known replica has, in seconds; its entry should be in the store by then.
MISSING_MEMBER_S = 5.0
#: Time for which a promotion waits for a member that may have such commits, in
#: seconds: one heartbeat of a member and one poll of the store.
UNCERTAIN_MEMBER_S = 1.5
#: Calls for one promotion; each uses a new fencing token.
MAX_CALLS = 3


class CallOutcome(enum.Enum):
    """Outcome of the promotion call."""

    NOT_DONE = "not carried out"
    NOTICE_DUE = "not sent, as a daemon may not know of it"
    DONE = "done"
    UNANSWERED = "may be carried out later"


class Replacement(msgspec.Struct, frozen=True):
    """A replacement of a primary that is ready to be carried out.

    Parameters
    ==========

    old : MemberId or None
        The primary; None if no listed member leads.
    cause : Cause
        Why it is replaced.
    candidate : MemberId
        The member to be promoted.
    asked : AskedMembers
        The members whose logs were compared.
    comparison : LogComparison
        Positions that they have reported.
    notify_for : MemberEntry or None
        The primary if other daemons may not know of the candidate, or may
        have passed on commits before they did.
    prepared : bool
        Whether each daemon that runs knows the candidate from the store.

    """

    old: ids.MemberId | None
    cause: failover_rule.Cause
    candidate: ids.MemberId
    asked: asked_members.AskedMembers
    comparison: log_comparison.LogComparison
    notify_for: manifest.MemberEntry | None
    prepared: bool


class PromotionCaller:
    """Records each call of a promotion, and what its answer leaves open.

    Until a call was answered, or can no longer be carried out, all daemons
    must know its candidate.
    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        claims: promotion_claims.PromotionClaims,
        record: claim_record.ClaimRecord,
        reserved: reserved_claims.ReservedClaims,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        notices: call_notice.NoticeRounds,
    ):
        self._notices = notices
        self._daemon = daemon
        self._platform = platform
        self._claims = claims
        self._record = record
        self._reserved = reserved
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._metrics = metrics
        #: Groups for which the platform was called in the present attempt.
        self._called: set[ids.GroupId] = set()
        #: The last notice to other daemons.
        self._notice_by_group: dict[ids.GroupId, call_notice.CallNotice] = {}
        #: Positions that no candidate has had, and since when.
        self._missing_by_group: dict[
            ids.GroupId, tuple[log_position.LogPosition, float]
        ] = {}
        #: Newest positions that no candidate has had, and since when.
        self._uncertain_by_group: dict[
            ids.GroupId, tuple[log_position.LogPosition, float]
        ] = {}

    def forget(self, group: ids.GroupId) -> None:
        """Note that another attempt begins."""
        self._called.discard(group)

    def called(self, group: ids.GroupId) -> bool:
        """Return whether the present attempt has called the platform."""
        return group in self._called

    async def call(
        self,
        group: groups.Group,
        replacement: Replacement,
        token: ids.FencingToken,
        compared_at: float,
    ) -> CallOutcome:
        """Call the platform; retry with a new token where that can help."""
        outcome = CallOutcome.NOT_DONE
        for _ in range(MAX_CALLS):
            try:
                answer = await self._call_once(
                    group, replacement, token, compared_at
                )
            except BaseException:
                if group.id in self._called:
                    self._claims.call_unanswered(group.id, self._clock.now())
                else:
                    self._claims.call_refused(group.id)
                raise
            if answer is None or answer is CallOutcome.NOTICE_DUE:
                self._claims.call_refused(group.id)
                self._withdraw(group, replacement.notify_for)
                return answer or outcome
            if isinstance(answer, result.Success):
                return CallOutcome.DONE
            fault = answer.failure()
            if fault is coordination.PromotionFault.REJECTED:
                self._claims.call_refused(group.id)
                self._reserved.drop_token(group.id)
                await self._record.settle(group.id)
                return outcome
            if fault is coordination.PromotionFault.NO_ANSWER:
                # The call may be executed later, until one with a higher
                # token has been answered.
                outcome = CallOutcome.UNANSWERED
                self._reserved.drop_token(group.id)
                self._claims.call_unanswered(group.id, self._clock.now())
            else:
                self._claims.call_refused(group.id)
            next_token = await self._record.claim(group.id)
            if next_token is None:
                return outcome
            token = next_token
        return outcome

    async def _call_once(
        self,
        group: groups.Group,
        replacement: Replacement,
        token: ids.FencingToken,
        compared_at: float,
    ) -> (
        result.Result[None, coordination.PromotionFault]
        | Literal[CallOutcome.NOTICE_DUE]
        | None
    ):
        """Record the candidate, tell the other daemons, call the platform.

        None if the platform was not called.
        """
        candidate, asked = replacement.candidate, replacement.asked
        valid_s = COMPARISON_VALID_S
        owned = self._record.owned(group.id)
        known = self._claims.candidate(group.id, self._clock.now())
        called_at_ms = self._record.call_begins(group.id, candidate)
        telling = asyncio.create_task(
            self._tell(
                group,
                replacement,
                call_notice.CallNotice(
                    group.id,
                    candidate,
                    called_at_ms,
                    ids.StorePosition(token),
                ),
                owned,
            ),
            name="call_notice",
        )
        if owned:
            # Fails if another daemon has claimed the promotion, so that
            # nobody else has released a replica since the comparison.
            compared_at = self._boot_clock.now()
            valid_s = ANNOUNCEMENT_VALID_S
            try:
                announced = await self._record.announce(group.id, candidate)
            finally:
                told = await telling
            if announced is None:
                return None
            token = announced
        else:
            told = await telling
        # All daemons know the candidate of an open call or a prepared one.
        if told.unsure and known is None and not replacement.prepared:
            put_off(
                self._metrics,
                group,
                "a daemon may not know of the call",
                told.unsure,
            )
            # Without the store, no record can tell it.
            return CallOutcome.NOTICE_DUE if owned else None
        if (
            told.required is not None
            and not await replacement.comparison.reaches(
                candidate, told.required
            )
        ):
            put_off(
                self._metrics,
                group,
                "the candidate may lack commits that were passed on",
            )
            return None
        lacking = await self._may_lack(group, replacement, told)
        if lacking is not None:
            put_off(self._metrics, group, lacking)
            return None
        if self._boot_clock.now() - compared_at > valid_s:
            put_off(self._metrics, group, "the comparison of the logs is old")
            return None
        if asked.lost:
            put_off(
                self._metrics,
                group,
                "a replica may no longer be on hold",
                asked.lost,
            )
            return None
        self._called.add(group.id)
        _log_call(group, replacement, token)
        answer = await self._platform.promote(
            group.id, candidate, self._daemon, token
        )
        if isinstance(answer, result.Failure):
            loguru.logger.warning(
                "event=promotion_refused group={} member={} token={} "
                "fault={!r}",
                group.id,
                candidate,
                token,
                answer.failure().value,
            )
        return answer

    async def _tell(
        self,
        group: groups.Group,
        replacement: Replacement,
        notice: call_notice.CallNotice,
        owned: bool,
    ) -> call_notice.Round:
        """Tell the other daemons of a call, if any may not know of it."""
        self._notice_by_group.pop(group.id, None)
        primary = replacement.notify_for
        own = group.commits.passed.promise(self._clock.now())
        if not group.commits.active:
            return call_notice.Round([], None, None)
        if primary is None:
            return call_notice.Round([], None, own.certain)
        self._notice_by_group[group.id] = notice
        return await self._notices.run(
            primary,
            notice,
            replacement.comparison.held_since,
            own,
            call_notice.TIMEOUT_S if owned else call_notice.SHORT_TIMEOUT_S,
        )

    async def _may_lack(
        self,
        group: groups.Group,
        replacement: Replacement,
        told: call_notice.Round,
    ) -> str | None:
        """Return why to wait for a member that has commits alone.

        The newest position covers all commits that were passed on, and may
        hold later ones that no replica has; a log without the certain one
        lacks a commit.  So a candidate without either is not promoted for a
        while: a member whose entry is not in the store yet may have them, or
        the primary comes back.
        """
        reaches = replacement.comparison.reaches
        candidate, now = replacement.candidate, self._clock.now()
        waited_s = math.inf
        if told.newest is not None:
            if await reaches(candidate, told.newest):
                self._missing_by_group.pop(group.id, None)
                self._uncertain_by_group.pop(group.id, None)
                return None
            waited_s = now - _known_since(
                self._uncertain_by_group, group.id, told.newest, now
            )
        if told.certain is not None and not await reaches(
            candidate, told.certain
        ):
            missing_s = now - _known_since(
                self._missing_by_group, group.id, told.certain, now
            )
            if missing_s < MISSING_MEMBER_S:
                return "a member that is not known has acknowledged commits"
            loguru.logger.warning(
                "event=promotion_with_missing_commits group={} candidate={} "
                "position={}",
                group.id,
                candidate,
                told.certain,
            )
        else:
            self._missing_by_group.pop(group.id, None)
        if waited_s < UNCERTAIN_MEMBER_S:
            return "a member that is not known may have acknowledged commits"
        return None

    def _withdraw(
        self, group: groups.Group, primary: manifest.MemberEntry | None
    ) -> None:
        """Tell the other daemons that the last call was not sent.

        Not if an earlier one may be carried out: they may know of it from
        the notice alone.
        """
        notice = self._notice_by_group.pop(group.id, None)
        now = self._clock.now()
        if notice is None or primary is None or group.id in self._called:
            return
        if self._claims.candidate(group.id, now) is None:
            self._notices.withdraw(primary, notice)


def _known_since(
    since_by_group: dict[ids.GroupId, tuple[T, float]],
    group: ids.GroupId,
    what: T,
    now: float,
) -> float:
    """Return since when something has been known of a group; note it."""
    known, since = since_by_group.get(group, (what, now))
    since_by_group[group] = what, since if known == what else now
    return since_by_group[group][1]


def _log_call(
    group: groups.Group, replacement: Replacement, token: ids.FencingToken
) -> None:
    """Log what is known of the logs when a promotion is called for."""
    received = replacement.comparison.received_by_member
    not_asked = group.roster.known - replacement.asked.members
    loguru.logger.info(
        "event=promotion_called group={} primary={} candidate={} token={} "
        "cause={!r} received={} not_asked={}",
        group.id,
        replacement.old,
        replacement.candidate,
        token,
        replacement.cause.value,
        ",".join(
            f"{member}:{position}"
            for member, position in sorted(received.items())
        ),
        ",".join(sorted(f"{e.id}/{e.started_ms}" for e in not_asked)),
    )


def put_off(
    metrics: gateway_metrics.GatewayMetrics,
    group: groups.Group,
    reason: str,
    members: Iterable[str] = (),
) -> None:
    """Log and count an attempt at a promotion that is given up."""
    metrics.promotion_put_off(reason)
    group.put_off.note(reason)
    loguru.logger.info(
        "event=promotion_put_off group={} reason={!r} members={}",
        group.id,
        reason,
        ",".join(members),
    )
