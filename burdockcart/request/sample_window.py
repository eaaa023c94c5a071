"""Positions of the confirmed primary, by the time of the request.

Explanation
===========

A statement that only a primary answers proves that the member was the primary
after the statement was sent.  The position in the answer therefore covers
every commit that was acknowledged before that time.  A read that tolerates a
staleness of ``max_age_s`` can run on any log that holds a position sampled at
most that long before the read arrived; one that tolerates none needs a sample
taken after it arrived.

Times come from a clock that advances while the host is suspended
(CLOCK_BOOTTIME); otherwise old samples would pass for new after a suspension.

"""

import collections
import itertools

import msgspec

from burdockcart.request import log_position

#: Minimum spacing of samples, in seconds: a closer one replaces the last; a
#: fifth of the shortest age that a route allows (1.5 s).
SPACING_S = 0.3
#: Age up to which samples are kept, in seconds; above every age that a route
#: allows.
KEEP_S = 6.0
#: Subtracted from the allowed age, in seconds: covers the time between the
#: client's first byte and its read by this process.
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
        """Add a sample; a higher term drops the samples of lower ones.

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
        """Drop all samples, for example when another member became primary."""
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
    def newest(self) -> Sample | None:
        """The newest sample."""
        return self._samples[-1] if self._samples else None

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
    last_commit: Sample | None,
) -> Sample | None:
    """Return the sample whose position a log must hold for a read.

    None if no sample is fresh enough; the read then needs the primary.

    Explanation
    ===========

    A sample of a later term than the session's commit covers the commit only
    if it was taken after the acknowledgement: positions of different terms
    cannot be compared directly.

    Parameters
    ==========

    last_commit : Sample or None
        Position of the session's last commit and the time at which it was
        acknowledged.

    """
    since = arrived_at - max_age_s + ARRIVAL_MARGIN_S
    if last_commit is None:
        return window.oldest_since(since)
    if last_commit.position.term < window.term:
        return window.oldest_since(max(since, last_commit.sent_at))
    sampled = window.oldest_since(since)
    if sampled is None or sampled.position >= last_commit.position:
        return sampled
    return last_commit
