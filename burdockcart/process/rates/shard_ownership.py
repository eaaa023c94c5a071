"""Who may own a shard, and from when on an owner may grant shares."""

import hashlib
import itertools
import math
from typing import Mapping

import msgspec

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import share_terms

#: Daemons that look at a key that the store no longer holds, and time
#: between one and the next, in seconds.
CANDIDATES = 4
NEXT_CANDIDATE_S = 0.5
#: Pause after an attempt that another daemon's key, or a fault, refused, in
#: seconds.
RETRY_S = 0.15
#: Attempts that find another daemon's key before the pause gets longer, and
#: the longer one, in seconds: that daemon is alive, and only cut off from
#: those that report to this one.
MAX_TAKEN = 6
TAKEN_RETRY_S = 1.0
#: Part of a share's validity that lies after the end of the lease that its
#: owner last knew of, in seconds.
AFTER_LEASE_S = share_terms.GRACE_S - share_terms.CLOCK_MARGIN_S
#: Time after which an attempt counts as unanswered, in seconds; a store that
#: is slowed a hundredfold answers in 0.4 s.
SILENT_AFTER_S = 0.5
#: Time for which a daemon without an answer of the store is passed over, in
#: seconds.
SILENT_S = 1.0


def in_order(
    shard: share_terms.Shard,
    entry_by_id: Mapping[ids.DaemonId, coordination.DaemonEntry],
) -> list[ids.DaemonId]:
    """Return daemons in the order in which they should own a shard.

    The shards begin in different failure domains, and the daemons that follow
    are of the other ones: when one failure domain was cut off, three of
    four shards lost their owner at once.

    Examples
    ========

    >>> from burdockcart.process.gateway.store import coordination
    >>> from burdockcart.process.rates import shard_ownership
    >>> entries = {
    ...     name: coordination.DaemonEntry(name, "-", name[0], "-")
    ...     for name in ("a1", "a2", "b1", "b2", "c1", "c2")}
    >>> for shard in range(3):
    ...     order = shard_ownership.in_order(shard, entries)
    ...     print([name[0] for name in order])
    ['a', 'b', 'c', 'a', 'b', 'c']
    ['b', 'c', 'a', 'b', 'c', 'a']
    ['c', 'a', 'b', 'c', 'a', 'b']

    """
    domains = sorted({each.domain for each in entry_by_id.values()})
    ids_by_domain = {
        domain: sorted(
            (
                daemon
                for daemon, entry in entry_by_id.items()
                if entry.domain == domain
            ),
            key=lambda daemon: hashlib.blake2b(
                f"{shard} {daemon}".encode(), digest_size=8
            ).digest(),
        )
        for domain in domains
    }
    first = shard % len(domains) if domains else 0
    rotated = domains[first:] + domains[:first]
    rounds = itertools.zip_longest(*(ids_by_domain[each] for each in rotated))
    return [daemon for each in rounds for daemon in each if daemon is not None]


def following(
    order: list[ids.DaemonId], daemon: ids.DaemonId | None
) -> list[ids.DaemonId]:
    """Return the daemons after one, the next first; all if it is not there.

    Examples
    ========

    >>> from burdockcart.process.rates import shard_ownership
    >>> shard_ownership.following(["a", "b", "c"], "b")
    ['c', 'a']

    """
    if daemon not in order:
        return list(order)
    position = order.index(daemon)
    return order[position + 1 :] + order[:position]


class Ownership(msgspec.Struct, frozen=True):
    """The lease of a shard that this daemon owns.

    Parameters
    ==========

    authority_until : float
        Time until which it may grant shares, in seconds.
    renewed_at : float
        Time at which the last answered renewal was sent, in seconds.

    """

    lease: coordination.Lease
    term: share_terms.Term
    authority_until: float
    renewed_at: float


def _authority(sent_at: float) -> float:
    return sent_at + share_terms.LEASE_S - share_terms.CLOCK_MARGIN_S


class ShardOwnership:
    """What one daemon knows of the owner of one shard.

    Explanation
    ===========

    Only the answer to a write of its own makes a daemon the owner.  What the
    store or another daemon tells about the owner is a hint where to report.
    All times are of the boot clock, in seconds.
    """

    def __init__(self, daemon: ids.DaemonId):
        self._daemon = daemon
        self._own: Ownership | None = None
        #: Owner that was heard of last, and position at which it was.
        self._heard: tuple[ids.StorePosition, ids.DaemonId | None] = (
            ids.StorePosition(-1),
            None,
        )
        self._attempt_at = math.inf
        self._attempted_at = -math.inf
        #: Attempts in a row that found another daemon's key.
        self._taken = 0
        #: Time by which every owner of a former era has lost its authority.
        self._restored_until = -math.inf
        self._next_renewal_at = math.inf
        #: Start of an attempt that runs, and time until which the last one
        #: without an answer counts.
        self._pending_since = math.inf
        self._silent_until = -math.inf
        #: Whether this daemon shuts down.
        self.leaving = False

    # Hints

    @property
    def owner(self) -> ids.DaemonId | None:
        """The owner, as far as it is known."""
        if self._own is not None:
            return self._daemon
        return self._heard[1]

    @property
    def heard(self) -> tuple[ids.StorePosition, ids.DaemonId | None]:
        """The owner that was heard of last, and its position."""
        if self._own is not None:
            return ids.StorePosition(self._own.term), self._daemon
        return self._heard

    def hear(
        self,
        position: ids.StorePosition,
        owner: ids.DaemonId | None,
    ) -> None:
        """Note the owner of a position; None if there was no key."""
        if position <= self._heard[0]:
            return
        self._taken = 0
        self._heard = position, owner

    def use_rank(self, rank: int, now: float) -> None:
        """Acquire a key that the store does not hold, in turn.

        Parameters
        ==========

        rank : int
            Place of this daemon in the order of possible owners.

        """
        position, owner = self._heard
        absent = position >= 0 and owner is None
        if absent and self._own is None and rank < CANDIDATES:
            self._attempt_by(now + rank * NEXT_CANDIDATE_S)

    def era_seen(self, now: float, restored: bool) -> None:
        """Note that the store is in an era that was not known before.

        Parameters
        ==========

        restored : bool
            Whether owners of an earlier era may still have authority.

        """
        if restored:
            self._restored_until = now + share_terms.LEASE_S
        self._heard = ids.StorePosition(-1), None

    # Acquiring

    def leave(self) -> None:
        """Renew nothing and acquire nothing from now on.

        What this daemon owns it serves as long as it has authority.
        """
        self.leaving = True
        self._attempt_at = self._next_renewal_at = math.inf

    def _attempt_by(self, at: float) -> None:
        if self.leaving:
            return
        pause_s = RETRY_S if self._taken < MAX_TAKEN else TAKEN_RETRY_S
        earliest = self._attempted_at + pause_s
        self._attempt_at = min(self._attempt_at, max(at, earliest))

    def asked(self, now: float, lease_left_s: float) -> None:
        """Note that a daemon reports to this one, which is not the owner.

        Parameters
        ==========

        lease_left_s : float
            Time until the last known lease of the owner ends.

        """
        if self._own is None:
            self._attempt_by(now + max(0.0, lease_left_s))

    def attempting(self, now: float) -> bool:
        """Return whether to acquire the key now; note that it is tried."""
        if self._own is not None or now < self._attempt_at:
            return False
        self._attempt_at, self._attempted_at = math.inf, now
        return True

    def attempt_sent(self, now: float) -> None:
        """Note that the store is asked for the key."""
        self._pending_since = now

    def store_silent(self, now: float) -> bool:
        """Return whether the store does not respond to this daemon."""
        pending_s = now - self._pending_since
        return pending_s >= SILENT_AFTER_S or now < self._silent_until

    def acquired(
        self,
        lease: coordination.Lease,
        position: ids.StorePosition,
        sent_at: float,
    ) -> None:
        """Become the owner; ``sent_at`` is when the lease was asked for."""
        self._own = Ownership(
            lease, share_terms.Term(position), _authority(sent_at), sent_at
        )
        self._heard = position, self._daemon
        self._taken = 0
        self._pending_since, self._silent_until = math.inf, -math.inf
        self._next_renewal_at = sent_at + share_terms.RENEW_S

    def refused(self, now: float, taken: bool, silent: bool = False) -> None:
        """Note that an attempt failed.

        Parameters
        ==========

        taken : bool
            Whether the key exists.
        silent : bool
            Whether the store has not responded.

        """
        self._pending_since = math.inf
        self._silent_until = now + SILENT_S if silent else -math.inf
        self._attempted_at = now
        self._taken = self._taken + 1 if taken else 0
        if not taken or self._heard[1] in (None, self._daemon):
            self._attempt_by(now + RETRY_S)
        # Else a daemon that misses the owner reports to this one again.

    # Owning

    @property
    def own(self) -> Ownership | None:
        """The lease, if this daemon has been the owner until now."""
        return self._own

    def owns(self, now: float) -> bool:
        """Return whether this daemon may grant shares."""
        return self._own is not None and now < self._own.authority_until

    def grant_times(
        self, now: float, shares_end_at: float = -math.inf
    ) -> tuple[float, float]:
        """Return from when on to continue and to grant shares.

        Called right after the key was acquired.

        Parameters
        ==========

        shares_end_at : float
            Time at which the last share of an owner that has transferred the
            shard expires, in seconds.

        """
        renews_from = max(now, self._restored_until)
        if shares_end_at > -math.inf and renews_from <= now:
            # The former owner knew of all shares.
            return renews_from, max(now, shares_end_at)
        return renews_from, max(
            renews_from + share_terms.GRACE_S, shares_end_at
        )

    def renewing(self, now: float) -> coordination.Lease | None:
        """Return the lease if it is to be renewed now."""
        if self._own is None or now < self._next_renewal_at or self.leaving:
            return None
        self._next_renewal_at = now + share_terms.RENEW_S
        return self._own.lease

    def renewed(self, lease: coordination.Lease, sent_at: float) -> None:
        """Extend the authority: a renewal sent at a time was answered."""
        own = self._own
        if own is None or own.lease != lease or own.renewed_at > sent_at:
            return
        self._own = msgspec.structs.replace(
            own, authority_until=_authority(sent_at), renewed_at=sent_at
        )

    def lose(self, now: float) -> None:
        """Stop owning the shard; the key may be another daemon's."""
        self._own = None
        self._next_renewal_at = math.inf
        self._heard = self._heard[0], None
        self._attempt_by(now + RETRY_S)

    def step_down(self, successor: ids.DaemonId) -> None:
        """Give up the authority, so that another daemon may take the key.

        Nothing but the write of an absent key makes this daemon an owner
        again.
        """
        position = self.heard[0]
        self._own = None
        self._next_renewal_at = math.inf
        self.name_successor(position, successor)

    def name_successor(
        self, position: ids.StorePosition, successor: ids.DaemonId
    ) -> None:
        """Name the daemon that is to follow the owner of a position."""
        if self._own is None and self._heard[0] <= position:
            self._heard = position, successor

    def expired(self, now: float) -> bool:
        """Return whether the authority has ended without an answer."""
        return self._own is not None and now >= self._own.authority_until

    def due_at(self) -> float:
        """Return when to call the store next; infinity for not at all."""
        if self._own is not None:
            return min(self._next_renewal_at, self._own.authority_until)
        return self._attempt_at


def lease_left_s(valid_left_s: float) -> float:
    """Return how long a lease lasts whose owner has granted a share.

    Parameters
    ==========

    valid_left_s : float
        Time for which the share is still valid.

    """
    return max(0.0, valid_left_s - AFTER_LEASE_S)
