"""When an owner transfers its shard, and to which daemon."""

import math
from typing import Mapping

import msgspec

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import shard_ownership
from burdockcart.process.rates import share_terms

#: Time for which a renewal may be unanswered, in seconds.  By then the next
#: one was due, too, and 1.3 s of the authority are left.
UNANSWERED_S = 1.0
#: Daemons that are asked in one attempt, and pause after one in which none
#: was ready, in seconds.
CANDIDATES = 3
RETRY_S = 0.5
#: Rest of its authority at which an owner whose divided shares are in use asks
#: for a successor, and at which it steps down, in seconds.  The successor
#: grants such accounts nothing new until these shares have expired: with an
#: owner that stepped down at once when it shut down, 32 of 2,918 operations
#: at a rate of 60 were refused, and 24 of 956 at a rate of 20, instead of 5
#: and 8 without any transfer.
ASK_LEFT_S = 1.0
KEEP_LEFT_S = 0.3


class SteppedDown(msgspec.Struct, frozen=True):
    """The shard of an owner that has stepped down.

    Parameters
    ==========

    position : int
        Position of its key.
    shares_end_at : float
        Time at which its last share expires, in seconds.

    """

    position: ids.StorePosition
    shares_end_at: float

    def offer(self, shard: share_terms.Shard, now: float) -> share_terms.Offer:
        """Return the message by which a daemon is to take the key."""
        left_s = max(0.0, self.shares_end_at - now)
        return share_terms.Offer(
            shard, self.position, True, math.ceil(1000 * left_s)
        )


class ShardTransfer:
    """Decides on the transfer of one shard.

    Explanation
    ===========

    An owner transfers its shard when it shuts down, or when a renewal has not
    been answered for :data:`UNANSWERED_S`.  It keeps its authority until
    another daemon can reach the store, and for most of its authority while
    divided shares are in use.  All times are of the boot clock, in seconds.
    """

    def __init__(
        self,
        shard: share_terms.Shard,
        daemon: ids.DaemonId,
        ownership: shard_ownership.ShardOwnership,
    ):
        self._shard = shard
        self._daemon = daemon
        self._ownership = ownership
        self._retry_at = -math.inf

    def due_at(self, now: float, shares_end_at: float) -> float:
        """Return when to look for a successor; infinity for not at all.

        Parameters
        ==========

        shares_end_at : float
            Time at which the last share expires.

        """
        own = self._ownership.own
        if own is None or now >= own.authority_until:
            return math.inf
        due_at = self._retry_at
        if not self._ownership.leaving:
            unanswered_at = own.renewed_at + share_terms.RENEW_S + UNANSWERED_S
            due_at = max(due_at, unanswered_at)
        if _in_use(shares_end_at, now):
            due_at = max(due_at, own.authority_until - ASK_LEFT_S)
        return due_at if due_at < own.authority_until else math.inf

    def keep_s(self, now: float, shares_end_at: float) -> float:
        """Return how long to wait before stepping down, in seconds."""
        own = self._ownership.own
        if own is None or not _in_use(shares_end_at, now):
            return 0.0
        return max(0.0, own.authority_until - KEEP_LEFT_S - now)

    def begin(
        self,
        entry_by_id: Mapping[ids.DaemonId, coordination.DaemonEntry],
        now: float,
        shares_end_at: float,
    ) -> tuple[share_terms.Offer, list[ids.DaemonId]] | None:
        """Return what to ask of which daemons; None if nothing is due."""
        own = self._ownership.own
        if own is None or now < self.due_at(now, shares_end_at):
            return None
        order = shard_ownership.in_order(self._shard, entry_by_id)
        following = shard_ownership.following(order, self._daemon)
        position = ids.StorePosition(own.term)
        asked = share_terms.Offer(self._shard, position, False, 0)
        return asked, following[:CANDIDATES]

    def failed(self, now: float) -> None:
        """Note that no daemon was ready."""
        self._retry_at = now + RETRY_S

    def step_down(
        self,
        position: ids.StorePosition,
        successor: ids.DaemonId,
        now: float,
        shares_end_at: float,
    ) -> SteppedDown | None:
        """Step down for a daemon that is ready.

        Returns None if the transfer is no longer due: a renewal was answered
        meanwhile, or the authority at that position has ended.
        """
        own = self._ownership.own
        if own is None or own.term != position:
            return None
        if now < self.due_at(now, now):
            return None
        self._ownership.step_down(successor)
        if _in_use(shares_end_at, now):
            shares_end_at += share_terms.CLOCK_MARGIN_S
        return SteppedDown(
            position, max(shares_end_at, now + share_terms.TOKEN_S)
        )


def _in_use(shares_end_at: float, now: float) -> bool:
    """Return whether there are other shares than single tokens."""
    return shares_end_at > now + share_terms.TOKEN_S


def may_take(
    offer: share_terms.Offer, found: coordination.ShardOwner | None
) -> bool:
    """Return whether the key that was read is the one that is offered."""
    return found is not None and found.position == offer.position
