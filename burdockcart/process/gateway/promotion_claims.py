"""Decides when this daemon may start a promotion in a group."""

from burdockcart import ids
from burdockcart.process.gateway import coordination
from burdockcart.process.gateway import failover_rule
from burdockcart.process.gateway import store_era

#: Pause after an attempt without a promotion, in seconds.
FAILED_PAUSE_S = 0.4
#: Largest difference between the wall clocks of two daemons that is taken into
#: account, in seconds; clocks jump by seconds and back.
CLOCK_SKEW_S = 5.0
#: Time for which an unanswered promotion may still be executed, in seconds;
#: the platform delays calls by up to 12 s.
LATE_CALL_S = 13.0


class PromotionClaims:
    """Keeps promotions by this and other daemons apart.

    Explanation
    ===========

    A group's record in the store names the daemon that promotes.  A daemon
    that finds a new record of another daemon waits until that claim expires.
    If two daemons compared the logs at the same time, each could promote a
    member that lacks commits that the other's member has acknowledged since.

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
        #: Member of a call that may still be executed, and until when.
        self._pin_by_group: dict[ids.GroupId, tuple[ids.MemberId, float]] = {}

    def era_changed(self, era: ids.StoreEra) -> None:
        """Forget the positions of all records: the store was restored.

        What this daemon knows of other promotions stays valid.
        """
        self._era = era
        self._position_by_group.clear()
        self._own_by_group.clear()

    def pin(
        self, group: ids.GroupId, member: ids.MemberId, now: float
    ) -> None:
        """Record that a call for a member may still be executed.

        Until it can no longer be, no other member may be promoted: without
        fencing the late call would then depose the newer primary.
        """
        self._pin_by_group[group] = (member, now + LATE_CALL_S)

    def unpin(self, group: ids.GroupId) -> None:
        """Record that each call for a group was answered."""
        self._pin_by_group.pop(group, None)

    def pinned(self, group: ids.GroupId, now: float) -> ids.MemberId | None:
        """Return the only member that may be promoted, if there is one."""
        member, until = self._pin_by_group.get(group, (None, 0.0))
        return member if now < until else None

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

    @property
    def pinned_groups(self) -> list[ids.GroupId]:
        """Groups for which a call may still be executed."""
        return list(self._pin_by_group)

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
            self._note_candidate(group, record, now)
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

    def _note_candidate(
        self,
        group: ids.GroupId,
        record: coordination.PromotionRecord,
        now: float,
    ) -> None:
        if record.settled:
            self.unpin(group)
        elif record.candidate is not None:
            self.pin(group, record.candidate, now)
