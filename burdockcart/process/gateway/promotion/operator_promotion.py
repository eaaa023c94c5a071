"""Promotes a member that an operator names, where no proof is to be had.

Explanation
===========

The command claims the group's promotion record like a daemon, under a name of
its own, and names the member in it.  So the daemons leave the group alone, and
whoever of them promotes later goes by the same member.  A daemon whose claim
it replaces cannot call any more: it has to replace its own record before.

The record is there for the lifetime of a claim before any replica is put on
hold.  By then every daemon that reads the store knows the member, and a daemon
that held the claim before has ended what it began.

docs/design/operator-promotion.md compares this with a request to the daemons.

"""

import asyncio
import enum
from typing import Callable
from typing import Collection

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart.connection import own_link
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.promotion import asked_members
from burdockcart.process.gateway.promotion import call_notice
from burdockcart.process.gateway.promotion import claim_record
from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.process.gateway.promotion import group_look
from burdockcart.process.gateway.promotion import log_comparison
from burdockcart.process.gateway.promotion import open_calls
from burdockcart.process.gateway.promotion import promotion_call
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.promotion import replica_roster
from burdockcart.process.gateway.promotion import reserved_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.request import log_position
from burdockcart.version import manifest

#: Interval of renewing the claim meanwhile, in seconds.
RENEW_S = 1.0
#: Attempts to claim: a daemon that puts a promotion off writes its own claim
#: again and again.
MAX_CLAIMS = 10
#: Time in which the promoted member must answer as the primary, in seconds.
LEADS_TIMEOUT_S = 6.0
LEADS_POLL_S = 0.1


class Outcome(enum.Enum):
    """How the command has ended."""

    DONE = "done"
    LEADS_ALREADY = "it leads already"
    REFUSED = "refused, nothing was done"
    NOT_ACCEPTED = "the loss was not accepted"
    CONFLICT = "another claim was first, nothing was done"
    FAILED = "failed, nothing was promoted"
    UNKNOWN = "the call may be carried out later"


class Ending(msgspec.Struct, frozen=True):
    """How the command has ended, and why."""

    outcome: Outcome
    reason: str


class _Refused(Exception):
    """Ends an attempt before the platform is called."""

    def __init__(self, outcome: Outcome, reason: str):
        super().__init__(reason)
        self.ending = Ending(outcome, reason)


class OperatorPromotion:
    """One promotion of a member of a group by an operator.

    Parameters
    ==========

    holder : DaemonId
        Name for the claim; begins with ``HOLDER_PREFIX`` and is used once.
    claim_ttl_s : float
        Time for which a claim holds, in seconds.
    notice_s : float
        Time after which each daemon knows an entry of the store, in seconds.
    fenced : bool
        Whether the platform refuses calls with an older token.

    """

    def __init__(
        self,
        holder: ids.DaemonId,
        platform: coordination.Platform,
        connector: member_channel.Connector,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        wall_ms: Callable[[], int],
        claim_ttl_s: float,
        notice_s: float,
        fenced: bool,
    ):
        self._notice_s = notice_s
        self._holder = holder
        self._platform = platform
        self._connector = connector
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._wall_ms = wall_ms
        self._claim_ttl_s = claim_ttl_s
        self._fenced = fenced
        self._metrics = gateway_metrics.GatewayMetrics()
        self._claims = promotion_claims.PromotionClaims(holder, claim_ttl_s)
        wait = _NoWait()
        self._record = claim_record.ClaimRecord(
            holder,
            platform,
            self._claims,
            loop_clock,
            boot_clock,
            wall_ms,
            wait,
        )
        self._caller = promotion_call.PromotionCaller(
            holder,
            platform,
            self._claims,
            self._record,
            reserved_claims.ReservedClaims(
                holder,
                {},
                platform,
                frozenset,
                loop_clock,
                wall_ms,
                claim_ttl_s,
                wait,
            ),
            loop_clock,
            boot_clock,
            self._metrics,
            call_notice.NoticeRounds(_NoNotices(), loop_clock, self._metrics),
        )

    async def run(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        accepted: Collection[str],
    ) -> Ending:
        """Promote a member; what may be missing must have been accepted.

        Parameters
        ==========

        accepted : collection of str
            Names as :meth:`group_look.GroupLook.missing` returns them.

        """
        try:
            first = await self._look(group)
            first.close()
            self._check(first, member, accepted, None)
            token = await self._claim(first, member)
        except _Refused as refused:
            return refused.ending
        loguru.logger.warning(
            "event=operator_promotion_begun group={} member={} holder={} "
            "accepted={}",
            group,
            member,
            self._holder,
            ",".join(sorted(accepted)),
        )
        try:
            ending = await self._run_claimed(first, member, accepted, token)
        except _Refused as refused:
            ending = refused.ending
        finally:
            if not self._caller.called(group):
                await self._record.settle(group)
        loguru.logger.warning(
            "event=operator_promotion_ended group={} member={} outcome={!r} "
            "reason={!r}",
            group,
            member,
            ending.outcome.value,
            ending.reason,
        )
        return ending

    async def _look(self, group: ids.GroupId) -> group_look.GroupLook:
        """Return what the store and the members tell now."""
        found = await group_look.look(
            group, self._platform, self._connector, self._wall_ms()
        )
        if isinstance(found, result.Failure):
            reason = f"the group or the store: {found.failure().value}"
            raise _Refused(Outcome.REFUSED, reason)
        return found.unwrap()

    def _check(
        self,
        seen: group_look.GroupLook,
        member: ids.MemberId,
        accepted: Collection[str],
        before: group_look.GroupLook | None,
    ) -> None:
        """Refuse unless the member may be promoted and the loss is known."""
        verdict = seen.verdict(self._claim_ttl_s, before)
        if seen.primary is not None and seen.primary.start.id == member:
            raise _Refused(Outcome.LEADS_ALREADY, verdict.value)
        if verdict is group_look.Verdict.OTHER_OPERATOR:
            raise _Refused(Outcome.CONFLICT, verdict.value)
        same_call = (
            verdict is group_look.Verdict.CALL_OPEN
            and seen.open_call() == member
        )
        if verdict is not group_look.Verdict.UNPROVED and not same_call:
            raise _Refused(Outcome.REFUSED, verdict.value)
        if member not in seen.eligible:
            reason = f"{member} is not listed, or does not answer"
            raise _Refused(Outcome.REFUSED, reason)
        longest = max(seen.eligible, key=lambda each: seen.eligible[each])
        if seen.eligible[member] < seen.eligible[longest]:
            raise _Refused(Outcome.REFUSED, f"{longest} holds more")
        missing = set(seen.missing(member)) - set(accepted)
        if missing:
            names = " ".join(sorted(missing))
            reason = f"not accepted: {names}"
            raise _Refused(Outcome.NOT_ACCEPTED, reason)

    async def _claim(
        self, seen: group_look.GroupLook, member: ids.MemberId
    ) -> ids.FencingToken:
        """Claim the promotion in place of whoever has claimed it.

        Its record keeps the call that the one before names.
        """
        group, now = seen.group, self._clock.now()
        self._claims.era_changed(seen.era)
        stored = seen.stored
        if stored is not None:
            self._claims.lost(
                group,
                coordination.ClaimLost(stored.record, stored.position),
                self._wall_ms(),
                now,
            )
        for _ in range(MAX_CLAIMS):
            token = await self._record.claim(group, member)
            called = self._claims.candidate(group, self._clock.now())
            if called not in (None, member):
                reason = group_look.Verdict.CALL_OPEN.value
                raise _Refused(Outcome.REFUSED, reason)
            if token is not None:
                return token
            if self._claims.store_silent(group):
                raise _Refused(Outcome.FAILED, "the store did not answer")
        raise _Refused(Outcome.CONFLICT, "the claim was written too often")

    async def _run_claimed(
        self,
        first: group_look.GroupLook,
        member: ids.MemberId,
        accepted: Collection[str],
        token: ids.FencingToken,
    ) -> Ending:
        await self._await_notice(first.group, member)
        seen = await self._look(first.group)
        try:
            if seen.era != first.era:
                reason = group_look.Verdict.RESTORED.value
                raise _Refused(Outcome.REFUSED, reason)
            self._check(seen, member, accepted, first)
            record = _audit_of(
                seen, member, accepted, self._holder, token, self._wall_ms()
            )
            await self._audit(record, seen.era)
            ending = Ending(Outcome.UNKNOWN, "the command was interrupted")
            try:
                ending = await self._promote(seen, member)
            except _Refused as refused:
                ending = refused.ending
            finally:
                outcome = f"{ending.outcome.value}: {ending.reason}"
                written = await self._platform.record_operator_promotion(
                    msgspec.structs.replace(record, outcome=outcome),
                    seen.era,
                )
            if isinstance(written, result.Failure):
                reason = f"{ending.reason}; the audit record lacks that"
                return Ending(ending.outcome, reason)
            return ending
        finally:
            seen.close()

    async def _await_notice(
        self, group: ids.GroupId, member: ids.MemberId
    ) -> None:
        """Hold the claim until all daemons know the member."""
        until = self._clock.now() + max(self._claim_ttl_s, self._notice_s)
        while True:
            self._claims.prepare(group, member, self._clock.now())
            if not await self._record.renew(group):
                raise _Refused(Outcome.CONFLICT, "the claim was lost")
            left_s = until - self._clock.now()
            if left_s <= 0:
                return
            await asyncio.sleep(min(RENEW_S, left_s))

    async def _audit(
        self, record: coordination.OperatorPromotion, era: ids.StoreEra
    ) -> None:
        written = await self._platform.record_operator_promotion(record, era)
        if isinstance(written, result.Failure):
            reason = f"no audit record: {written.failure().value}"
            raise _Refused(Outcome.FAILED, reason)

    async def _promote(
        self, seen: group_look.GroupLook, member: ids.MemberId
    ) -> Ending:
        """Put the other replicas on hold, and call the platform."""
        if not await self._record.renew(seen.group):
            raise _Refused(Outcome.CONFLICT, "the claim was lost")
        group = self._group(seen)
        channels = {
            each.start.id: seen.channel_by_member[each.start.id]
            for each in seen.reports
            if each.replica is not None
        }
        asked = asked_members.AskedMembers(
            members=seen.asked,
            listed=set(seen.eligible),
            connections=[],
            unlisted_channels=channels,
            unreached=[],
        )
        comparison = log_comparison.LogComparison(
            group, channels, asked.listed, self._clock
        )
        try:
            candidate = await comparison.candidate(member)
            compared_at = self._boot_clock.now()
            if candidate is None:
                reason = "a member leads, does not answer or holds more: " + (
                    _positions(comparison.received_by_member)
                )
                raise _Refused(Outcome.FAILED, reason)
            await self._check_unchanged(seen)
            if not self._record.owned(group.id):
                raise _Refused(Outcome.CONFLICT, "the claim was lost")
            outcome = await self._caller.call(
                group,
                promotion_call.Replacement(
                    None,
                    failover_rule.Cause.GIVEN_UP,
                    member,
                    asked,
                    comparison,
                    None,
                    prepared=True,
                ),
                ids.FencingToken(self._claims.position(group.id)),
                compared_at,
            )
        except BaseException:
            if not self._caller.called(group.id):
                await self._release(group.id, channels)
            raise
        if outcome is promotion_call.CallOutcome.DONE:
            leads = await self._await_leadership(channels[member])
            self._claims.call_done(group.id, self._fenced)
            await self._record.settle(group.id)
            if leads:
                return Ending(Outcome.DONE, f"{member} leads")
            reason = "the platform agreed, but the member does not lead yet"
            return Ending(Outcome.UNKNOWN, reason)
        if outcome is promotion_call.CallOutcome.UNANSWERED:
            return Ending(Outcome.UNKNOWN, "the platform did not answer")
        await self._release(group.id, channels)
        await self._record.settle(group.id)
        return Ending(Outcome.FAILED, "the call was not made, or was refused")

    def _group(self, seen: group_look.GroupLook) -> groups.Group:
        """Return a group without traffic, as the comparison needs it."""
        tables = seen.snapshot.tables
        assert tables is not None
        group = groups.Group(
            tables.limits_by_group[seen.group],
            ids.DomainName(""),
            0.0,
            self._connector,
            self._clock,
            self._boot_clock,
            _OneConnection(),
            own_link.OwnLink(self._clock.now()),
            open_calls.KnownCalls(
                self._claims, _JustRead(), self._clock, self._wall_ms
            ),
            self._metrics,
            self._fenced,
        )
        for entry in seen.entries:
            group.use_member(entry)
        stored = seen.snapshot.roster_by_group.get(seen.group)
        if stored is not None:
            group.roster.use(stored)
        return group

    async def _check_unchanged(self, seen: group_look.GroupLook) -> None:
        """Refuse if a member has joined since the look."""
        read = await self._platform.changes(seen.snapshot.position)
        if isinstance(read, result.Failure):
            reason = f"the list of members: {read.failure().value}"
            raise _Refused(Outcome.FAILED, reason)
        known = {each.start for each in seen.reports}
        for entry in read.unwrap().entry_by_member.values():
            if entry is None or entry.group != seen.group:
                continue
            if entry.leads:
                reason = group_look.Verdict.RENEWED.value
                raise _Refused(Outcome.REFUSED, reason)
            if replica_roster.of_entry(entry) not in known:
                raise _Refused(Outcome.FAILED, f"{entry.id} has joined")

    async def _release(
        self,
        group: ids.GroupId,
        channels: dict[ids.MemberId, member_channel.Channel],
    ) -> None:
        """Let the replicas receive again if no promotion can follow."""
        open_call = self._claims.candidate(group, self._clock.now())
        if open_call is not None or not await self._record.renew(group):
            loguru.logger.warning(
                "event=replicas_left_on_hold group={} open_call={}",
                group,
                open_call,
            )
            return
        await asyncio.gather(
            *(
                each.release_replication(log_comparison.QUERY_TIMEOUT_S)
                for each in channels.values()
                if not each.closed
            )
        )

    async def _await_leadership(self, channel: member_channel.Channel) -> bool:
        """Return whether a promoted member answers as the primary."""
        until = self._clock.now() + LEADS_TIMEOUT_S
        while self._clock.now() < until:
            status = await channel.observe(group_look.TIMEOUT_S)
            if (
                isinstance(status, member_channel.MemberStatus)
                and status.role is member_channel.Role.PRIMARY
            ):
                return True
            await asyncio.sleep(LEADS_POLL_S)
        return False


def _audit_of(
    seen: group_look.GroupLook,
    member: ids.MemberId,
    accepted: Collection[str],
    holder: ids.DaemonId,
    token: ids.FencingToken,
    wall_ms: int,
) -> coordination.OperatorPromotion:
    return coordination.OperatorPromotion(
        group=seen.group,
        member=member,
        holder=holder,
        token=token,
        begun_ms=wall_ms,
        accepted=tuple(sorted(accepted)),
        received=seen.eligible[member],
        received_by_member={
            each.name: each.replica.received
            for each in seen.reports
            if each.replica is not None
        },
    )


def _positions(
    received_by_member: dict[ids.MemberId, log_position.LogPosition],
) -> str:
    return ",".join(
        f"{member}:{position}"
        for member, position in sorted(received_by_member.items())
    )


class _NoWait:
    """The command has looked whether the store was restored."""

    store_away = False

    def over(self) -> bool:
        """Return True."""
        return True


class _NoNotices:
    """The daemons learn of the call from the store, 2 s ahead."""

    def recipients(
        self, group: ids.GroupId, primary: manifest.MemberEntry
    ) -> list[coordination.DaemonEntry]:
        """Return no daemon."""
        return []

    async def tell(
        self,
        daemon: coordination.DaemonEntry,
        notice: call_notice.CallNotice,
    ) -> call_notice.Promise | call_notice.NoPromise:
        """Return that nothing was told."""
        return call_notice.NoPromise.SILENT

    def withdraw(
        self, daemon: coordination.DaemonEntry, notice: call_notice.CallNotice
    ) -> None:
        """Do nothing."""


class _OneConnection:
    """Plan of a command that runs no statements."""

    def share(
        self,
        member: manifest.MemberEntry,
        connections: int,
        accounts: bool = False,
    ) -> connection_share.Share:
        """Return one connection."""
        return connection_share.Share(1, 1)

    def holds(self, member: manifest.MemberEntry, connections: int) -> bool:
        """Return True."""
        return True


class _JustRead:
    """The command reads the store before it acts."""

    informed = True
    known_until = None
