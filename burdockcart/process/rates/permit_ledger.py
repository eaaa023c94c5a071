"""The owner's side of the reserve: which daemon has which permit."""

from typing import Collection
from typing import Protocol

import msgspec

from burdockcart import ids
from burdockcart.process.rates import permit_placement
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import share_terms


class _Record(msgspec.Struct, frozen=True):
    """Daemon that has a permit, and time at which it expires."""

    holder: share_terms.Holder
    until: float


class Placement(Protocol):
    """The daemons that should have the permits of a shard."""

    def preferred(
        self, owner: ids.DaemonId | None
    ) -> Collection[ids.DaemonId]:
        """Return those that should get a free index under an owner."""

    def domain_by_id(self) -> permit_placement.DomainById:
        """Return the failure domains of the registered daemons."""


class PermitLedger:
    """The permits of one shard, under one owner.

    Explanation
    ===========

    An index is granted to another daemon only when its permit has expired and
    a window has passed.  Permits of former owners are not known; until all of
    them have expired, this owner only continues those that daemons claim.

    The owner and the permits should cover as many failure domains as possible.
    A permit that covers none of its own is not renewed while the other one is
    valid and a daemon that would cover another domain reports.

    Parameters
    ==========

    renews_from : float
        Time from which on no former owner has authority, in seconds.

    """

    def __init__(
        self,
        policy: reserve_policy.ReservePolicy,
        owner: ids.DaemonId,
        placement: Placement,
        renews_from: float,
    ):
        self._policy = policy
        self._owner = owner
        self._placement = placement
        self._renews_from = renews_from
        self._grants_from = renews_from + policy.unclaimed_s
        self._record_by_index: dict[int, _Record] = {}
        #: Times of the last reports of daemons that should get an index.
        self._asked_at_by_id: dict[ids.DaemonId, float] = {}

    def grant_unclaimed(self) -> None:
        """Grant free indexes from now on: there are no former owners."""
        self._grants_from = self._renews_from

    def answer(
        self,
        holder: share_terms.Holder,
        claim: permit_terms.PermitClaim,
        ends_at: float,
        now: float,
    ) -> permit_terms.PermitGrant | None:
        """Return the permit of a daemon that reports, if it has one.

        Parameters
        ==========

        ends_at : float
            Time at which the permit expires, in seconds.

        """
        preferred = holder[0] in self._placement.preferred(self._owner)
        if preferred:
            self._asked_at_by_id[holder[0]] = now
        else:
            self._asked_at_by_id.pop(holder[0], None)
        renews = now < self._grants_from
        if renews:
            index = self._claimed(holder, claim, now)
        else:
            index = self._granted(holder, preferred, now)
        if index is None:
            return None
        record = self._record_by_index.get(index)
        if record is not None:
            if record.holder == holder and index == self._released(now):
                return None
            ends_at = max(ends_at, record.until)
        self._record_by_index[index] = _Record(holder, ends_at)
        return permit_terms.PermitGrant(
            index, int(1000 * (ends_at - now)), renews
        )

    def _claimed(
        self,
        holder: share_terms.Holder,
        claim: permit_terms.PermitClaim,
        now: float,
    ) -> int | None:
        """Return the index of a former owner's permit to continue."""
        index = claim.index
        known = index is not None and 0 <= index < reserve_policy.PERMITS
        if index is None or not known or now < self._renews_from:
            return None
        record = self._record_by_index.get(index)
        if record is not None and record.holder != holder:
            return None
        return index

    def _granted(
        self, holder: share_terms.Holder, preferred: bool, now: float
    ) -> int | None:
        """Return the index that a daemon has, or a free one."""
        free = None
        for index in reversed(range(reserve_policy.PERMITS)):
            record = self._record_by_index.get(index)
            if record is None:
                free = index
            elif record.holder == holder:
                return index
            elif now >= record.until + self._policy.regrant_s:
                free = index
        if free is None or not preferred:
            return None
        if self._covers_another(holder[0], free, now):
            return free
        return None if self._awaited(free, now) else free

    def _covers_another(
        self, daemon: ids.DaemonId, index: int, now: float
    ) -> bool:
        """Return whether a daemon with an index would cover another domain."""
        others = [
            record.holder[0]
            for other, record in self._record_by_index.items()
            if other != index and now < record.until
        ]
        return permit_placement.covers_another(
            daemon, self._placement.domain_by_id(), self._owner, others
        )

    def _awaited(self, index: int, now: float) -> bool:
        """Return whether a daemon that reports would cover another domain."""
        return any(
            now - asked_at < reserve_policy.CANDIDATE_S
            and self._covers_another(daemon, index, now)
            for daemon, asked_at in self._asked_at_by_id.items()
        )

    def _released(self, now: float) -> int | None:
        """Return the index that moves to a daemon in another domain."""
        if len(self._record_by_index) < reserve_policy.PERMITS:
            return None
        place = permit_placement.redundant(
            [
                self._record_by_index[index].holder[0]
                for index in range(reserve_policy.PERMITS)
            ],
            self._placement.domain_by_id(),
            self._owner,
        )
        if place is None or not self._awaited(place, now):
            return None
        others_valid = all(
            now < record.until
            for index, record in self._record_by_index.items()
            if index != place
        )
        return place if others_valid else None

    def daemons(self, now: float) -> list[ids.DaemonId]:
        """Return the daemons that have a permit."""
        return [
            record.holder[0]
            for _, record in sorted(self._record_by_index.items())
            if now < record.until
        ]


class ShardPermits:
    """Permits of a shard that this daemon may own."""

    def __init__(
        self,
        daemon: ids.DaemonId,
        policy: reserve_policy.ReservePolicy,
        placement: Placement,
    ):
        self._daemon = daemon
        self._policy = policy
        self._placement = placement
        self._term: share_terms.Term | None = None
        self._ledger: PermitLedger | None = None

    def acquired(self, term: share_terms.Term, renews_from: float) -> None:
        """Note that the daemon owns the shard from now on."""
        self._term = term
        self._ledger = PermitLedger(
            self._policy, self._daemon, self._placement, renews_from
        )

    def first_owner_found(self, term: share_terms.Term) -> None:
        """Note the term of the first owner that the shard ever had."""
        if self._ledger is not None and self._term == term:
            self._ledger.grant_unclaimed()

    def answer(
        self,
        holder: share_terms.Holder,
        claim: permit_terms.PermitClaim | None,
        term: share_terms.Term,
        authority_until: float,
        now: float,
    ) -> tuple[permit_terms.PermitGrant | None, list[ids.DaemonId]]:
        """Return a daemon's permit, and the daemons that have one.

        Parameters
        ==========

        claim : PermitClaim or None
            What the daemon reported; None if it must not get a permit.
        term : Term
            Term of the owner.  Under another one than that of the ledger
            there are no permits.
        authority_until : float
            Time at which its authority ends, in seconds.

        """
        if self._ledger is None or self._term != term:
            return None, []
        grant = None
        if claim is not None:
            grant = self._ledger.answer(
                holder,
                claim,
                authority_until + reserve_policy.PERMIT_S,
                now,
            )
        return grant, self._ledger.daemons(now)
