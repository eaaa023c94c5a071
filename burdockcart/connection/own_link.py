"""Tells a lost member from a full link or a stalled process of this daemon.

Explanation
===========

A member that does not answer is lost only if something else that was asked in
the same time answered.  If nothing answered, the cause is more likely here:
this daemon's link is full, or its process got no processor time.

"""

import math
import weakref


class Source:
    """A member or service that answers requests of this daemon."""

    def __init__(self, link: "OwnLink"):
        self.link = link
        #: When the newest request that was answered was sent.
        self.newest_sent_at = -math.inf

    def record_answer(self, sent_at: float, now: float) -> None:
        """Record the answer to a request that was sent at ``sent_at``."""
        self.newest_sent_at = max(self.newest_sent_at, sent_at)
        self.link.received_at = now

    def others_answered(self, since: float) -> int:
        """Return how many other sources answered a request sent since then.

        Examples
        ========

        >>> from burdockcart.connection import own_link
        >>> link = own_link.OwnLink(now=0.0)
        >>> lost, well = link.source(), link.source()
        >>> well.record_answer(sent_at=1.0, now=1.2)
        >>> lost.others_answered(since=0.9), lost.others_answered(since=1.1)
        (1, 0)

        """
        return sum(
            each.newest_sent_at >= since
            for each in self.link.sources
            if each is not self
        )


class OwnLink:
    """Answers that reach this daemon, whatever their source."""

    def __init__(self, now: float):
        #: When the last answer was received.
        self.received_at = now
        self.sources: weakref.WeakSet[Source] = weakref.WeakSet()

    def answered(self, since: float) -> bool:
        """Return whether anything sent since then has been answered."""
        return any(each.newest_sent_at >= since for each in self.sources)

    def source(self) -> Source:
        """Return a new source of answers."""
        added = Source(self)
        self.sources.add(added)
        return added
