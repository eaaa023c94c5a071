"""The owner's side of the reserve: which daemon has which permit."""

from typing import Collection
from typing import Protocol

import msgspec

from burdockcart import ids
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import share_terms


class _Record(msgspec.Struct, frozen=True):
    """Daemon that has a permit, and time at which it expires."""

    holder: share_terms.Holder
    until: float


class PermitLedger:
    """The permits of one shard, under one owner.

    Explanation
    ===========

    An index is granted to another daemon only when its permit has expired and
    a window has passed.  Permits of former owners are not known; until all of
    them have expired, this owner only continues those that daemons claim.

    Parameters
    ==========

    renews_from : float
        Time from which on no former owner has authority, in seconds.

    """

    def __init__(
        self, policy: reserve_policy.ReservePolicy, renews_from: float
    ):
        self._policy = policy
        self._renews_from = renews_from
        self._grants_from = renews_from + policy.unclaimed_s
        self._record_by_index: dict[int, _Record] = {}

    def answer(
        self,
        holder: share_terms.Holder,
        claim: permit_terms.PermitClaim,
        preferred: bool,
        ends_at: float,
        now: float,
    ) -> permit_terms.PermitGrant | None:
        """Return the permit of a daemon that reports, if it has one.

        Parameters
        ==========

        preferred : bool
            Whether it should get an index that is free.
        ends_at : float
            Time at which the permit expires, in seconds.

        """
        renews = now < self._grants_from
        if renews:
            index = self._claimed(holder, claim, now)
        else:
            index = self._granted(holder, preferred, now)
        if index is None:
            return None
        record = self._record_by_index.get(index)
        if record is not None:
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
        return free if preferred else None

    def daemons(self, now: float) -> list[ids.DaemonId]:
        """Return the daemons that have a permit."""
        return [
            record.holder[0]
            for _, record in sorted(self._record_by_index.items())
            if now < record.until
        ]


class Followers(Protocol):
    """The daemons that should have the permits of a shard."""

    def __call__(self, owner: ids.DaemonId | None) -> Collection[ids.DaemonId]:
        """Return those that follow the owner."""


class ShardPermits:
    """Permits of a shard that this daemon may own."""

    def __init__(
        self,
        daemon: ids.DaemonId,
        policy: reserve_policy.ReservePolicy,
        followers: Followers,
    ):
        self._daemon = daemon
        self._policy = policy
        self._followers = followers
        self._term: share_terms.Term | None = None
        self._ledger: PermitLedger | None = None

    def acquired(self, term: share_terms.Term, renews_from: float) -> None:
        """Note that the daemon owns the shard from now on."""
        self._term = term
        self._ledger = PermitLedger(self._policy, renews_from)

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
            preferred = holder[0] in self._followers(self._daemon)
            grant = self._ledger.answer(
                holder,
                claim,
                preferred,
                authority_until + reserve_policy.PERMIT_S,
                now,
            )
        return grant, self._ledger.daemons(now)
