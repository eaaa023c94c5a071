"""Shows what the members of a group hold, for an operator."""

import asyncio
import enum

import msgspec
from returns import result

from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.promotion import replica_roster
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era
from burdockcart.request import log_position
from burdockcart.version import manifest

#: Timeout of a connection to a member and of its answer, in seconds; a person
#: waits for it, and a busy member should not count as lost.
TIMEOUT_S = 1.0
#: Beginning of the name under which operators claim promotions.
HOLDER_PREFIX = "operator/"
#: What may be missing if nobody knows which members there were.
HISTORY = "history"


class Verdict(enum.Enum):
    """Whether an operator may promote a member, and why not."""

    UNPROVED = "no member is known to hold every acknowledged commit"
    LEADS = "a member leads"
    RENEWED = "the primary renews its entry in the store"
    CALL_OPEN = "a promotion call may still be carried out"
    OTHER_OPERATOR = "another operator has claimed the promotion"
    RESTORED = "the store was restored; calls may not be recorded again yet"
    PROVED = "the daemons can prove whom to promote, and do so"
    NO_REPLICA = "no listed replica answers"


class MemberReport(msgspec.Struct, frozen=True):
    """What one start of a member has answered.

    Parameters
    ==========

    entry : MemberEntry or None
        Its entry in the store; None if it is not listed.
    answer : MemberStatus, MemberFault or None
        None if the member has started again since.

    """

    start: coordination.RosterMember
    entry: manifest.MemberEntry | None
    answer: member_channel.MemberStatus | member_channel.MemberFault | None

    @property
    def name(self) -> str:
        """Id and start, as operators name it."""
        return f"{self.start.id}/{self.start.started_ms}"

    @property
    def status(self) -> member_channel.MemberStatus | None:
        """What it has reported, if it has answered."""
        answer = self.answer
        if isinstance(answer, member_channel.MemberStatus):
            return answer
        return None

    @property
    def replica(self) -> member_channel.MemberStatus | None:
        """What it has reported, if it has answered as a replica."""
        status = self.status
        if status is None or status.role is not member_channel.Role.REPLICA:
            return None
        return status


class GroupLook:
    """Members of a group and its records in the store at one time.

    Parameters
    ==========

    snapshot : StoreSnapshot
        What the store holds.
    channel_by_member : dict of MemberId to Channel
        Open connections to the members that have answered.

    """

    def __init__(
        self,
        group: ids.GroupId,
        snapshot: coordination.StoreSnapshot,
        reports: list[MemberReport],
        channel_by_member: dict[ids.MemberId, member_channel.Channel],
        wall_ms: int,
    ):
        self.group = group
        self.snapshot = snapshot
        self.reports = reports
        self.channel_by_member = channel_by_member
        self._wall_ms = wall_ms
        self.roster = _roster(group, snapshot)

    def close(self) -> None:
        """Close all connections."""
        for channel in self.channel_by_member.values():
            channel.close()

    @property
    def era(self) -> ids.StoreEra:
        """Era of the store."""
        return store_era.era_of(self.snapshot.position)

    @property
    def stored(self) -> coordination.StoredPromotion | None:
        """Promotion record of the group."""
        return self.snapshot.promotion_by_group.get(self.group)

    @property
    def entries(self) -> list[manifest.MemberEntry]:
        """Entries of the group's members."""
        return _entries(self.group, self.snapshot)

    @property
    def asked(self) -> set[coordination.RosterMember]:
        """Starts of members that have answered as replicas."""
        return {each.start for each in self.reports if each.replica}

    @property
    def primary(self) -> MemberReport | None:
        """The member that answers as the primary, of the newest term."""
        leading = [
            (each.status.term, each.name, each)
            for each in self.reports
            if each.status is not None and each.replica is None
        ]
        return max(leading)[2] if leading else None

    @property
    def eligible(self) -> dict[ids.MemberId, log_position.LogPosition]:
        """Newest positions of the replicas that can be promoted."""
        return {
            each.start.id: each.replica.received
            for each in self.reports
            if each.entry is not None and each.replica is not None
        }

    def open_call(self) -> ids.MemberId | None:
        """Return the member of a call that may still be carried out."""
        stored = self.stored
        if stored is None:
            return None
        claims = promotion_claims.PromotionClaims(ids.DaemonId(""), 0.0)
        claims.era_changed(self.era)
        claims.polled(self.group, stored, self._wall_ms, 0.0)
        return claims.candidate(self.group, 0.0)

    def other_operator(self, claim_ttl_s: float) -> bool:
        """Return whether the claim of another operator may be in force."""
        stored = self.stored
        if stored is None or stored.record.settled:
            return False
        age_s = (self._wall_ms - stored.record.claimed_at_ms) / 1000
        return (
            stored.record.holder.startswith(HOLDER_PREFIX)
            and age_s < claim_ttl_s + promotion_claims.CLOCK_SKEW_S
        )

    def renewed(self, before: "GroupLook") -> bool:
        """Return whether a primary has written its entry since a look."""
        known = {each.id: each for each in before.entries if each.leads}
        for entry in self.entries:
            earlier = known.get(entry.id)
            if entry.leads and (
                earlier is None
                or (entry.started_ms, entry.sequence)
                != (earlier.started_ms, earlier.sequence)
            ):
                return True
        return False

    def missing(self, member: ids.MemberId) -> list[str]:
        """Return, by name, what may hold commits that a member lacks.

        Empty if the member holds every acknowledged commit.
        """
        asked = self.asked
        gap = self.roster.gap(asked, self._unasked_primary(asked))
        names = []
        if gap is not None:
            if gap is not replica_roster.Gap.MEMBERS_MISSING:
                names.append(HISTORY)
            names += sorted(
                each.name for each in self.reports if each.replica is None
            )
        floor = self.roster.floor
        received = self.eligible.get(member)
        if floor is not None and (received is None or received < floor):
            names.append(f"floor/{floor}")
        return names

    def _unasked_primary(
        self, asked: set[coordination.RosterMember]
    ) -> ids.MemberId | None:
        """Return the member whose entry claims leadership, unless asked.

        The roster may lack it; the daemons count it all the same.
        """
        return next(
            (
                entry.id
                for entry in self.entries
                if entry.leads and replica_roster.of_entry(entry) not in asked
            ),
            None,
        )

    def verdict(
        self, claim_ttl_s: float, before: "GroupLook | None" = None
    ) -> Verdict:
        """Return whether an operator may promote a member.

        Parameters
        ==========

        before : GroupLook or None
            An earlier look; it shows whether the primary renews its entry.

        """
        if self.primary is not None:
            return Verdict.LEADS
        if before is not None and self.renewed(before):
            return Verdict.RENEWED
        if self.snapshot.complete_since != self.era:
            return Verdict.RESTORED
        if not self.eligible:
            return Verdict.NO_REPLICA
        if any(not self.missing(each) for each in self.eligible):
            return Verdict.PROVED
        if before is None and self.other_operator(claim_ttl_s):
            return Verdict.OTHER_OPERATOR
        if self.open_call() is not None:
            return Verdict.CALL_OPEN
        return Verdict.UNPROVED

    def lines(self, claim_ttl_s: float, command: str) -> list[str]:
        """Return what to show to the operator.

        Parameters
        ==========

        command : str
            The program with the action ``promote``.

        """
        verdict = self.verdict(claim_ttl_s)
        primary = self.primary
        lines = [
            f"group={self.group} "
            f"primary={primary.name if primary else '-'} "
            f"verdict={verdict.value!r}"
        ]
        lines += [self._member_line(each) for each in self.reports]
        stored = self.stored
        if stored is not None:
            record = stored.record
            age_s = (self._wall_ms - record.claimed_at_ms) / 1000
            lines.append(
                f"claim holder={record.holder} age_s={age_s:.1f} "
                f"settled={_yes(record.settled)} "
                f"call_open_for={self.open_call() or '-'}"
            )
        if self.roster.floor is not None:
            lines.append(f"floor={self.roster.floor}")
        if verdict in (Verdict.UNPROVED, Verdict.CALL_OPEN):
            lines += self._choices(command)
        return lines

    def _member_line(self, report: MemberReport) -> str:
        line = f"member={report.start.id} start={report.start.started_ms} "
        entry, status = report.entry, report.status
        state = "-" if entry is None else entry.state.value
        line += f"listed={_yes(entry is not None)} state={state} "
        if status is None:
            if isinstance(report.answer, member_channel.MemberFault):
                return line + f"no answer: {report.answer.value}"
            return line + "has started again without this log"
        return line + (
            f"role={status.role.value} term={status.term} "
            f"position={status.received} "
            f"on_hold={_yes(bool(status.held_term))}"
        )

    def _choices(self, command: str) -> list[str]:
        """Return what may be missing for each replica, the best first."""
        lines = []
        ranked = sorted(
            self.eligible.items(), key=lambda each: each[1], reverse=True
        )
        for member, received in ranked:
            names = self.missing(member)
            if received < ranked[0][1]:
                lines.append(
                    f"not {member}: {ranked[0][0]} holds more "
                    f"({ranked[0][1]} after {received})"
                )
                continue
            lines.append(
                f"promoting {member} may lose commits after "
                f"{received} that only these hold: " + " ".join(names)
            )
            accepted = "".join(f" --accept-loss {name}" for name in names)
            lines.append(
                f"  {command} promote {self.group} {member}{accepted}"
            )
        return lines


def _yes(value: bool) -> str:
    return "yes" if value else "no"


def _entries(
    group: ids.GroupId, snapshot: coordination.StoreSnapshot
) -> list[manifest.MemberEntry]:
    return [
        each
        for each in snapshot.entry_by_member.values()
        if each.group == group
    ]


def _roster(
    group: ids.GroupId, snapshot: coordination.StoreSnapshot
) -> replica_roster.ReplicaRoster:
    roster = replica_roster.ReplicaRoster(first_start=False)
    stored = snapshot.roster_by_group.get(group)
    if stored is not None:
        roster.use(stored)
    roster.store_read()
    return roster


async def look(
    group: ids.GroupId,
    platform: coordination.Platform,
    connector: member_channel.Connector,
    wall_ms: int,
) -> result.Result[GroupLook, coordination.CallFault]:
    """Read the store and ask all members of a group.

    Fails with MISSING if the manifest does not name the group.
    """
    read = await platform.read_store()
    if isinstance(read, result.Failure):
        return read
    snapshot = read.unwrap()
    if snapshot.tables is None or (
        group not in snapshot.tables.limits_by_group
    ):
        return result.Failure(coordination.CallFault.MISSING)
    entry_by_start = {
        replica_roster.of_entry(each): each
        for each in _entries(group, snapshot)
    }
    roster = _roster(group, snapshot)
    reached = entry_by_start.keys() | roster.last_unlisted(entry_by_start)
    answers = await asyncio.gather(
        *(_ask(group, each, connector) for each in reached)
    )
    answer_by_start = dict(zip(reached, answers, strict=True))
    reports = []
    channel_by_member = {}
    for start in sorted(entry_by_start.keys() | roster.known):
        channel, answer = answer_by_start.get(start, (None, None))
        reports.append(MemberReport(start, entry_by_start.get(start), answer))
        if channel is not None:
            channel_by_member[start.id] = channel
    return result.Success(
        GroupLook(group, snapshot, reports, channel_by_member, wall_ms)
    )


async def _ask(
    group: ids.GroupId,
    start: coordination.RosterMember,
    connector: member_channel.Connector,
) -> tuple[
    member_channel.Channel | None,
    member_channel.MemberStatus | member_channel.MemberFault,
]:
    """Return a connection to a member that answers, and its answer."""
    channel = await connector.connect(
        member_channel.MemberAddress(start.id, group, start.address),
        TIMEOUT_S,
    )
    if isinstance(channel, member_channel.MemberFault):
        return None, channel
    status = await channel.observe(TIMEOUT_S)
    if isinstance(status, member_channel.MemberFault):
        channel.close()
        return None, status
    return channel, status
