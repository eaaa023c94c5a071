"""Decides when this daemon may start a promotion in a group."""

from typing import Collection

import loguru
import msgspec

from burdockcart import ids
from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era

#: Pause after an attempt without a promotion, in seconds.
FAILED_PAUSE_S = 0.4
#: Largest difference between the wall clocks of two daemons that is taken into
#: account, in seconds; clocks jump by seconds and back.
CLOCK_SKEW_S = 5.0
#: Time for which an unanswered promotion may still be executed, in seconds;
#: the platform delays calls by up to 12 s.
LATE_CALL_S = 13.0
#: Time for which daemons act on a planned replacement after its last record,
#: in seconds; each attempt records it again.
PREPARED_S = 6.0
#: Calls without effect that are remembered for a group.
SPENT_KEPT = 8


class OpenCall(msgspec.Struct, frozen=True):
    """A promotion call that may be carried out until some time.

    Parameters
    ==========

    called_at_ms : int
        Time of the call by the wall clock of its sender.
    until : float
        On the event loop's clock.

    """

    member: ids.MemberId
    called_at_ms: int
    until: float


class NoticedCall(msgspec.Struct, frozen=True):
    """A call of which another daemon has told, not the store.

    Parameters
    ==========

    position : StorePosition
        Position of a record; later ones tell what became of the call.

    """

    call: OpenCall
    position: ids.StorePosition


class Preparation(msgspec.Struct, frozen=True):
    """A member that a planned replacement will promote.

    Parameters
    ==========

    since : float
        When this daemon learned of it, on the event loop's clock.
    until : float
        When it is given up unless it is recorded again.

    """

    member: ids.MemberId
    since: float
    until: float


class PromotionClaims:
    """Keeps promotions by this and other daemons apart.

    Explanation
    ===========

    A group's record in the store names the daemon that promotes.  A daemon
    that finds a new record of another daemon waits until that claim expires.
    If two daemons compared the logs at the same time, each could promote a
    member that lacks commits that the other's member has acknowledged since.

    It also keeps which member may be promoted soon: that of a call that may be
    carried out later, or the one that a planned replacement has recorded.

    """

    def __init__(self, daemon: ids.DaemonId, claim_ttl_s: float):
        self._daemon = daemon
        self._claim_ttl_s = claim_ttl_s
        self._era = ids.StoreEra(0)
        self._position_by_group: dict[ids.GroupId, ids.StorePosition] = {}
        #: Positions of the records that this daemon has written, unless it
        #: has seen a later one of another daemon.
        self._own_by_group: dict[ids.GroupId, ids.StorePosition] = {}
        #: When the latest known record was first seen.
        self._seen_at: dict[ids.GroupId, float] = {}
        self._not_before: dict[ids.GroupId, float] = {}
        self._unplanned_not_before: dict[ids.GroupId, float] = {}
        self._failed_at: dict[ids.GroupId, float] = {}
        self._store_silent: set[ids.GroupId] = set()
        #: Calls without an answer, of this or another daemon.
        self._open_by_group: dict[ids.GroupId, OpenCall] = {}
        #: Positions of the records that name them, if only records do.
        self._recorded_by_group: dict[ids.GroupId, ids.StorePosition] = {}
        #: Calls of this daemon that wait for their answer.
        self._running_by_group: dict[ids.GroupId, OpenCall] = {}
        #: Calls that other daemons have told of, until a later record.
        self._noticed_by_group: dict[ids.GroupId, NoticedCall] = {}
        #: Calls that were seen to have been carried out: member and time.
        self._spent_by_group: dict[
            ids.GroupId, tuple[tuple[ids.MemberId, int], ...]
        ] = {}
        #: Members that planned replacements will promote.
        self._prepared_by_group: dict[ids.GroupId, Preparation] = {}
        #: Position of the newest record that a poll of the store has shown.
        self._polled_by_group: dict[ids.GroupId, ids.StorePosition] = {}
        #: Position of the newest known record that is not a reserved one.
        self._claim_by_group: dict[ids.GroupId, ids.StorePosition] = {}

    def era_changed(self, era: ids.StoreEra) -> None:
        """Forget the positions of all records: the store was restored.

        What this daemon knows of other promotions stays valid.
        """
        self._era = era
        self._position_by_group.clear()
        self._own_by_group.clear()
        self._polled_by_group.clear()
        self._claim_by_group.clear()

    def call_begins(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        wall_ms: int,
        now: float,
    ) -> None:
        """Record that the platform is being called to promote a member."""
        self._running_by_group[group] = OpenCall(
            member, wall_ms, now + LATE_CALL_S
        )

    def call_refused(self, group: ids.GroupId) -> None:
        """Record that the call that ran was not carried out, nor will be."""
        self._running_by_group.pop(group, None)

    def call_unanswered(self, group: ids.GroupId, now: float) -> None:
        """Record that the call that ran may be carried out later.

        Until it can no longer be, no other member may be promoted: without
        fencing the late call would then depose the newer primary.
        """
        running = self._running_by_group.pop(group, None)
        if running is None:
            return
        self._recorded_by_group.pop(group, None)
        self._open(
            group, msgspec.structs.replace(running, until=now + LATE_CALL_S)
        )

    def call_done(self, group: ids.GroupId, fenced: bool) -> None:
        """Record that the call that ran was carried out.

        Where the platform checks tokens, no earlier one will be.
        """
        self._running_by_group.pop(group, None)
        self._prepared_by_group.pop(group, None)
        if fenced:
            self.none_open(group)

    def _open(self, group: ids.GroupId, call: OpenCall) -> None:
        known = self._open_by_group.get(group)
        self._open_by_group[group] = call
        if known is None or known.member != call.member:
            loguru.logger.warning(
                "event=promotion_call_open group={} member={} "
                "called_at_ms={}",
                group,
                call.member,
                call.called_at_ms,
            )

    def noticed(
        self,
        group: ids.GroupId,
        call: tuple[ids.MemberId, int, ids.StorePosition],
        wall_ms: int,
        now: float,
    ) -> bool:
        """Record a call that another daemon has told of.

        False if this daemon cannot go by it: it knows a later record, has
        called for another member itself, or the call is an old one.

        Parameters
        ==========

        call : tuple
            The member, the time of the call, and the position of a record;
            see :class:`OpenCall` and :class:`NoticedCall`.

        """
        member, called_at_ms, position = call
        left_s = _left_s(called_at_ms, wall_ms)
        known = self._newest_known(group)
        current = self.candidate(group, now)
        # A reservation after the claim tells nothing of the call.
        newest = self._newest_claim(group) if current is None else known
        if left_s <= 0 or (
            current != member
            and (position < newest or group in self._running_by_group)
        ):
            return False
        self._noticed_by_group[group] = NoticedCall(
            OpenCall(member, called_at_ms, now + left_s), position
        )
        # Records that the call rests on do not tell what becomes of it.
        self._polled_by_group[group] = max(position, known)
        if current != member:
            loguru.logger.info(
                "event=promotion_call_noticed group={} member={}",
                group,
                member,
            )
        return True

    def notice_withdrawn(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        position: ids.StorePosition,
    ) -> None:
        """Record that a call that another daemon told of was not sent."""
        known = self._noticed_by_group.get(group)
        if known is not None and (
            (known.call.member, known.position) == (member, position)
        ):
            del self._noticed_by_group[group]

    def known_call(
        self, group: ids.GroupId, now: float
    ) -> tuple[ids.MemberId, int, ids.StorePosition] | None:
        """Return the open call, as :meth:`noticed` of others takes it."""
        call = self.open_call(group, now)
        if call is None:
            return None
        noticed = self._noticed_by_group.get(group)
        if noticed is not None and noticed.call is call:
            return call.member, call.called_at_ms, noticed.position
        return call.member, call.called_at_ms, self._newest_known(group)

    def _newest_known(self, group: ids.GroupId) -> ids.StorePosition:
        """Return the position of the newest record that is known."""
        polled = self._polled_by_group.get(group, ids.StorePosition(0))
        return max(polled, self.position(group))

    def _newest_claim(self, group: ids.GroupId) -> ids.StorePosition:
        """Return the position of the newest claim, reservations left out."""
        return self._claim_by_group.get(
            group, store_era.position(self._era, 0)
        )

    def _note_claim(
        self, group: ids.GroupId, position: ids.StorePosition
    ) -> None:
        self._claim_by_group[group] = max(position, self._newest_claim(group))

    def none_open(self, group: ids.GroupId) -> None:
        """Record that each call for a group was answered."""
        noticed = self._noticed_by_group.pop(group, None)
        self._recorded_by_group.pop(group, None)
        if self._open_by_group.pop(group, noticed) is not None:
            loguru.logger.info("event=promotion_call_closed group={}", group)

    def calls_for(
        self, group: ids.GroupId, member: ids.MemberId
    ) -> list[OpenCall]:
        """Return the open calls for a member that do not run here."""
        noticed = self._noticed_by_group.get(group)
        known = [
            self._open_by_group.get(group),
            None if noticed is None else noticed.call,
        ]
        return [e for e in known if e is not None and e.member == member]

    def calls_spent(
        self, group: ids.GroupId, calls: Collection[OpenCall]
    ) -> None:
        """Record that these calls can change the primary no more."""
        noticed = self._noticed_by_group.get(group)
        if noticed is not None and noticed.call in calls:
            del self._noticed_by_group[group]
        if self._open_by_group.get(group) in calls:
            del self._open_by_group[group]
            self._recorded_by_group.pop(group, None)
        for call in calls:
            # Records go on naming it.
            self._spent_by_group[group] = (
                *self._spent_by_group.get(group, ())[1 - SPENT_KEPT :],
                (call.member, call.called_at_ms),
            )
            loguru.logger.info(
                "event=promotion_call_spent group={} member={}",
                group,
                call.member,
            )

    def open_call(self, group: ids.GroupId, now: float) -> OpenCall | None:
        """Return the call that may still be carried out, if there is one."""
        running = self._running_by_group.get(group)
        if running is not None and now < running.until:
            return running
        noticed = self._noticed_by_group.get(group)
        if noticed is not None and now < noticed.call.until:
            return noticed.call
        known = self._open_by_group.get(group)
        if known is None or now < known.until:
            return known
        self.none_open(group)
        return None

    def candidate(self, group: ids.GroupId, now: float) -> ids.MemberId | None:
        """Return the only member that may be promoted, if there is one."""
        call = self.open_call(group, now)
        return None if call is None else call.member

    def store_silent(self, group: ids.GroupId) -> bool:
        """Return whether the store was unavailable at the last claim."""
        return group in self._store_silent

    def failed_at(self, group: ids.GroupId) -> float | None:
        """Return when an attempt of this daemon last failed."""
        return self._failed_at.get(group)

    def position(self, group: ids.GroupId) -> ids.StorePosition:
        """Return the latest known position of the record.

        If none is known, that of a missing record.
        """
        return self._position_by_group.get(
            group, store_era.position(self._era, 0)
        )

    def prepare(
        self, group: ids.GroupId, member: ids.MemberId, now: float
    ) -> None:
        """Record that a planned replacement will promote a member."""
        known = self.preparation(group, now)
        since = now
        if known is not None and known.member == member:
            since = known.since
        self._prepared_by_group[group] = Preparation(
            member, since, now + PREPARED_S
        )

    def give_up_preparation(self, group: ids.GroupId) -> None:
        """Record that another member has to be chosen."""
        self._prepared_by_group.pop(group, None)

    def preparation(
        self, group: ids.GroupId, now: float
    ) -> Preparation | None:
        """Return which member a planned replacement will promote."""
        known = self._prepared_by_group.get(group)
        return known if known is not None and now < known.until else None

    @property
    def groups_with_calls(self) -> list[ids.GroupId]:
        """Groups for which a call may still be executed."""
        return list(
            self._open_by_group.keys()
            | self._running_by_group
            | self._noticed_by_group.keys()
        )

    def own_claim(self, group: ids.GroupId) -> ids.StorePosition | None:
        """Return the position of this daemon's claim, if it has one."""
        return self._own_by_group.get(group)

    def may_try(self, group: ids.GroupId, planned: bool, now: float) -> bool:
        """Return whether this daemon may start a promotion now."""
        if now < self._not_before.get(group, 0.0):
            return False
        return planned or now >= self._unplanned_not_before.get(group, 0.0)

    def claimed(
        self, group: ids.GroupId, token: ids.FencingToken, now: float
    ) -> None:
        """Record that this daemon claimed the promotion."""
        claimed = ids.StorePosition(token)
        if store_era.era_of(claimed) == self._era:
            self._position_by_group[group] = claimed
            self._own_by_group[group] = claimed
            self._note_claim(group, claimed)
        self._store_silent.discard(group)
        self._unplanned_not_before[group] = now + failover_rule.UNPLANNED_GAP_S

    def failed(
        self, group: ids.GroupId, now: float, store_silent: bool = False
    ) -> None:
        """Record that an attempt ended without a promotion."""
        if store_silent:
            self._store_silent.add(group)
        self._failed_at[group] = now
        self._not_before[group] = now + FAILED_PAUSE_S
        self._unplanned_not_before.pop(group, None)

    def lost(
        self,
        group: ids.GroupId,
        lost: coordination.ClaimLost,
        wall_ms: int,
        now: float,
    ) -> bool:
        """Record another daemon's claim; True if it has expired.

        The wall clocks of two daemons may differ, so the time in a record
        only tells claims of long ago from recent ones.  A recent claim
        expires after this daemon has known it for the claim's lifetime.
        """
        seen_before = self._position_by_group.get(group) == lost.position
        self._position_by_group[group] = lost.position
        self._own_by_group.pop(group, None)
        self._store_silent.discard(group)
        record = lost.record
        if record is not None and not seen_before:
            if not record.reserved:
                self._note_claim(group, lost.position)
            self._supersede_notice(group, record, lost.position)
            self._note_call(group, record, lost.position, wall_ms, now)
        if record is None or record.reserved or record.holder == self._daemon:
            return True
        age_s = (wall_ms - record.claimed_at_ms) / 1000
        if record.settled or age_s >= self._claim_ttl_s + CLOCK_SKEW_S:
            return True
        if not seen_before:
            self._seen_at[group] = now
        expires_at = self._seen_at.get(group, now) + self._claim_ttl_s
        if now >= expires_at:
            return True
        self._not_before[group] = expires_at
        return False

    def polled(
        self,
        group: ids.GroupId,
        stored: coordination.StoredPromotion,
        wall_ms: int,
        now: float,
    ) -> None:
        """Note the call that a record names, unless it is an old record.

        The claim itself counts only once this daemon wants to claim.
        """
        if stored.position <= self._newest_known(group):
            return
        self._polled_by_group[group] = stored.position
        if not stored.record.reserved:
            self._note_claim(group, stored.position)
        self._supersede_notice(group, stored.record, stored.position)
        self._note_call(group, stored.record, stored.position, wall_ms, now)

    def _supersede_notice(
        self,
        group: ids.GroupId,
        record: coordination.PromotionRecord,
        position: ids.StorePosition,
    ) -> None:
        """Go by a record of the store that is later than a notice.

        A restored store may hold an older one.  A reservation only copies
        what the record before it names.
        """
        if record.reserved and record.candidate is None:
            return
        noticed = self._noticed_by_group.get(group)
        if (
            noticed is not None
            and position > noticed.position
            and store_era.era_of(position)
            == store_era.era_of(noticed.position)
        ):
            del self._noticed_by_group[group]

    def _note_call(
        self,
        group: ids.GroupId,
        record: coordination.PromotionRecord,
        position: ids.StorePosition,
        wall_ms: int,
        now: float,
    ) -> None:
        if record.settled:
            self.none_open(group)
        age_s = (wall_ms - record.claimed_at_ms) / 1000
        if record.settled or record.prepared is None:
            self.give_up_preparation(group)
        elif age_s < PREPARED_S + CLOCK_SKEW_S:
            self.prepare(group, record.prepared, now)
        if record.settled:
            return
        if record.candidate is None:
            self._close_unsent(group, record, position)
            return
        # Daemons pass the call on from record to record, so its age counts
        # from the call itself.
        called_at_ms = record.called_at_ms or record.claimed_at_ms
        left_s = _left_s(called_at_ms, wall_ms)
        spent = self._spent_by_group.get(group, ())
        if left_s <= 0 or (record.candidate, called_at_ms) in spent:
            return
        recorded = self._recorded_by_group.get(group)
        if group not in self._open_by_group or (
            recorded is not None
            and store_era.era_of(recorded) == store_era.era_of(position)
        ):
            self._recorded_by_group[group] = position
        self._open(
            group, OpenCall(record.candidate, called_at_ms, now + left_s)
        )

    def _close_unsent(
        self,
        group: ids.GroupId,
        record: coordination.PromotionRecord,
        position: ids.StorePosition,
    ) -> None:
        """Close a call that a later record no longer names.

        Whoever replaces a record passes on the call that it names, unless it
        was not sent, was answered, or has expired by the clock of the writer.
        A call of this daemon may be in no record, and one of an earlier era
        in none of the restored ones.
        """
        recorded = self._recorded_by_group.get(group)
        call = self._open_by_group.get(group)
        if (
            recorded is None
            or call is None
            or record.reserved
            or position <= recorded
            or store_era.era_of(position) != store_era.era_of(recorded)
        ):
            return
        age_s = (record.claimed_at_ms - call.called_at_ms) / 1000
        if age_s < LATE_CALL_S - CLOCK_SKEW_S:
            del self._open_by_group[group]
            del self._recorded_by_group[group]
            loguru.logger.info("event=promotion_call_closed group={}", group)


def _left_s(called_at_ms: int, wall_ms: int) -> float:
    """Return for how long a call may still be carried out, in seconds."""
    age_s = (wall_ms - called_at_ms) / 1000
    return min(LATE_CALL_S + CLOCK_SKEW_S - age_s, LATE_CALL_S)
