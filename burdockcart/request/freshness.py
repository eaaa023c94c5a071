"""Age of a replica's data, bounded without synchronised clocks.

Explanation
===========

A sample holds a position that the confirmed primary reported and the time at
which this daemon, by its own clock, sent the request for it.  A replica that
has reached the sample's position has all commits before that time, so its data
is at most ``now - sent_at`` old.

"""

import collections
import itertools

import msgspec

from burdockcart import ids
from burdockcart.process import peer_messages

#: Maximum wait of a read for a replica to reach its position, in seconds.
CATCH_UP_WAIT_S = 0.05
#: Above this number every second sample of the older half is dropped, so that
#: high ages stay known at a lower resolution.
MAX_SAMPLES = 64
#: Observations of a replica's position from which its rate is estimated.
RATE_WINDOW = 8


class Sample(msgspec.Struct, frozen=True):
    """Position of the confirmed primary, requested at ``sent_at``."""

    sent_at: float
    term: ids.Term
    position: ids.Position
    history: tuple[tuple[ids.Term, ids.Position], ...]


def _discarded(
    history: tuple[tuple[ids.Term, ids.Position], ...],
    log_term: ids.Term,
    position: ids.Position,
) -> bool:
    return any(term > log_term and start < position for term, start in history)


class Freshness:
    """Samples of one group; bounds the age and the lag of its replicas.

    Examples
    ========

    >>> from burdockcart.process import peer_messages
    >>> from burdockcart.request import freshness
    >>> known = freshness.Freshness()
    >>> def primary(position):
    ...     return peer_messages.MemberState(
    ...         member="a", term=1, role="primary", position=position,
    ...         log_term=1, history=((1, 0),))
    >>> known.add(10.0, primary(5))
    >>> known.add(11.0, primary(8))
    >>> known.age_s(1, 7, now=12.0)
    2.0
    >>> known.age_s(1, 8, now=12.0)
    1.0
    >>> known.age_s(1, 4, now=12.0) is None
    True

    """

    def __init__(self) -> None:
        self._samples: list[Sample] = []
        self._observations_by_member: dict[
            ids.MemberId, collections.deque[tuple[float, ids.Position]]
        ] = {}
        self._excluded: set[tuple[ids.MemberId, float]] = set()

    def add(self, sent_at: float, state: peer_messages.MemberState) -> None:
        """Add the position that a confirmed primary reported."""
        newest = self._samples[-1] if self._samples else None
        if newest is not None:
            if (state.term, sent_at) < (newest.term, newest.sent_at):
                return
            if state.term > newest.term:
                self._samples = [
                    each
                    for each in self._samples
                    if not _discarded(state.history, each.term, each.position)
                ]
            elif state.position == newest.position:
                self._samples.pop()
        self._samples.append(
            Sample(sent_at, state.term, state.position, state.history)
        )
        if len(self._samples) > MAX_SAMPLES:
            half = MAX_SAMPLES // 2
            self._samples = self._samples[:half:2] + self._samples[half:]

    def observe(self, at: float, state: peer_messages.MemberState) -> None:
        """Record a replica's position, from which its rate is estimated."""
        seen = self._observations_by_member.setdefault(
            state.member, collections.deque(maxlen=RATE_WINDOW)
        )
        if seen and state.position < seen[-1][1]:
            seen.clear()
        if not seen or at > seen[-1][0]:
            seen.append((at, state.position))

    def age_s(
        self, log_term: ids.Term, position: ids.Position, now: float
    ) -> float | None:
        """Return an upper bound on the age of data at a position.

        None if there is none: the position lies before all samples, or on a
        branch that the primary discarded.
        """
        if not self._samples:
            return None
        if _discarded(self._samples[-1].history, log_term, position):
            return None
        reached = (
            each.sent_at
            for each in reversed(self._samples)
            if each.position <= position
        )
        sent_at = next(reached, None)
        return None if sent_at is None else max(now - sent_at, 0.0)

    def newest_sample_at(self) -> float | None:
        """Return the time of the newest sample."""
        return self._samples[-1].sent_at if self._samples else None

    def usable(
        self, member: ids.MemberId, age_s: float | None, bound_s: float
    ) -> bool:
        """Return whether a replica may serve reads with a bound on the age.

        It is excluded above the bound and included again at half of it, so
        that a replica near the bound does not flap with each report.
        """
        key = (member, bound_s)
        limit_s = bound_s / 2 if key in self._excluded else bound_s
        if age_s is not None and age_s <= limit_s:
            self._excluded.discard(key)
            return True
        self._excluded.add(key)
        return False

    def rate(self, member: ids.MemberId) -> float:
        """Return the positions per second that a replica can apply.

        This is the highest rate between two consecutive observations: a
        replica that waits for the primary applies fewer than it could.
        """
        seen = self._observations_by_member.get(member, ())
        return max(
            (
                (later[1] - earlier[1]) / (later[0] - earlier[0])
                for earlier, later in itertools.pairwise(seen)
            ),
            default=0.0,
        )

    def catch_up_s(
        self, member: ids.MemberId, position: ids.Position, now: float
    ) -> float | None:
        """Return the seconds until a replica reaches a position.

        Assumes that the replica has applied commits at its rate since the
        last observation; 0 means that it should have reached the position.
        None if the rate is unknown.
        """
        seen = self._observations_by_member.get(member)
        rate = self.rate(member)
        if not seen or rate <= 0:
            return None
        at, known = seen[-1]
        return max((position - known) / rate - (now - at), 0.0)
