"""Positions of the proven primary, by the time they were asked for.

Explanation
===========

A statement that only a primary answers proves that the member led its group
after the statement was sent.  The position in the answer therefore covers
every commit that was acknowledged before that time.  A read that may miss
``max_age_s`` of commits can run on any log that holds a position sampled at
most that long before the read arrived; one that may miss none needs a sample
taken after it arrived.

Times come from a clock that counts suspension of the machine
(CLOCK_BOOTTIME), or a suspended process would take old samples for new.

"""

import collections
import itertools

import msgspec

from burdockcart.request import log_position

#: Samples closer together than this replace each other; a fifth of the
#: shortest age that the routes allow today (1.5 s).
SPACING_S = 0.3
#: Oldest sample kept, in seconds; above every age that a route allows today.
KEEP_S = 6.0
#: Subtracted from the allowed age, in seconds: time between the client's
#: first byte and the moment at which this process read it.
ARRIVAL_MARGIN_S = 0.25


class Sample(msgspec.Struct, frozen=True):
    """The primary held ``position`` at some time after ``sent_at``."""

    sent_at: float
    position: log_position.LogPosition


class SampleWindow:
    """Samples of one group.

    Examples
    ========

    >>> from burdockcart.request import log_position
    >>> from burdockcart.request import sample_window
    >>> window = sample_window.SampleWindow()
    >>> window.add(10.0, log_position.LogPosition(1, 5))
    >>> window.add(11.0, log_position.LogPosition(1, 8))
    >>> window.oldest_since(9.5).position
    LogPosition(term=1, number=5)
    >>> window.oldest_since(10.5).position
    LogPosition(term=1, number=8)
    >>> window.oldest_since(11.5) is None
    True

    """

    def __init__(self) -> None:
        self._samples: collections.deque[Sample] = collections.deque()

    def add(self, sent_at: float, position: log_position.LogPosition) -> None:
        """Keep a sample; a higher term drops the samples of lower ones.

        A position of a lower term may name a commit that the promotion
        discarded, which no member of the group would ever reach.
        """
        newest = self._samples[-1] if self._samples else None
        if newest is not None:
            if position.term < newest.position.term:
                return
            if position.term > newest.position.term:
                self._samples.clear()
            elif sent_at <= newest.sent_at:
                return
        self._drop_old(sent_at)
        if len(self._samples) >= 2 and (
            sent_at - self._samples[-2].sent_at < SPACING_S
        ):
            self._samples.pop()
        self._samples.append(Sample(sent_at, position))

    def clear(self) -> None:
        """Forget all samples, as when another member has taken the lead."""
        self._samples.clear()

    def _drop_old(self, now: float) -> None:
        while self._samples and now - self._samples[0].sent_at > KEEP_S:
            self._samples.popleft()

    def oldest_since(self, since: float) -> Sample | None:
        """Return the first sample that was taken at or after a time."""
        fresh = itertools.dropwhile(
            lambda each: each.sent_at < since, self._samples
        )
        return next(fresh, None)

    @property
    def newest_at(self) -> float | None:
        """Time of the newest sample."""
        return self._samples[-1].sent_at if self._samples else None

    @property
    def term(self) -> int:
        """Term of the newest sample; 0 without one."""
        return self._samples[-1].position.term if self._samples else 0


def required_sample(
    window: SampleWindow,
    arrived_at: float,
    max_age_s: float,
    own: Sample | None,
) -> Sample | None:
    """Return the position that a log must hold for a read.

    None if no sample is fresh enough; the read then needs the primary.

    Explanation
    ===========

    A sample of a later term than the session's commit covers the commit only
    if it was taken after the acknowledgement: positions of different terms
    are not comparable one by one.

    Parameters
    ==========

    own : Sample or None
        Position of the session's last commit and the time at which it was
        acknowledged.

    """
    since = arrived_at - max_age_s + ARRIVAL_MARGIN_S
    if own is None:
        return window.oldest_since(since)
    if own.position.term < window.term:
        return window.oldest_since(max(since, own.sent_at))
    sampled = window.oldest_since(since)
    if sampled is None or sampled.position >= own.position:
        return sampled
    return own
