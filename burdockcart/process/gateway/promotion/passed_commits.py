"""Commits whose success this daemon has passed on."""

import collections

from burdockcart import clock
from burdockcart.process.gateway.promotion import call_notice
from burdockcart.request import log_position

#: Time for which earlier positions are kept, in seconds; longer than the
#: longest time limit of a write.
KEPT_S = 10.0
#: Least time between two positions that are kept, in seconds.
RESOLUTION_S = 0.02


class PassedCommits:
    """Commits of one group that clients or other daemons were told of.

    Explanation
    ===========

    With the success of a commit the primary reports the end of its log, which
    covers the commit and may hold later ones that no replica has received.
    The commit itself comes after all that the primary had reported before the
    write was sent.

    """

    def __init__(self, loop_clock: clock.Clock):
        self._clock = loop_clock
        self._newest: log_position.LogPosition | None = None
        self._certain: log_position.LogPosition | None = None
        self._passed_at = 0.0
        #: Newest positions, and since when each has been known.
        self._known: collections.deque[
            tuple[float, log_position.LogPosition]
        ] = collections.deque()

    def add(
        self, commit: log_position.LogPosition | None, asked_at: float
    ) -> None:
        """Note that success is passed on now.

        Parameters
        ==========

        commit : LogPosition or None
            Position that the primary has reported after the commit.
        asked_at : float
            Time on the event loop's clock before the commit was sent.

        """
        if commit is None:
            return
        before = self._known_at(asked_at)
        if before is not None and before.term == commit.term:
            least = log_position.LogPosition(before.term, before.number + 1)
            self._certain = max(least, self._certain or least)
        self._newest = max(commit, self._newest or commit)
        self._passed_at = self._clock.now()
        self._keep(self._newest)

    def _known_at(self, at: float) -> log_position.LogPosition | None:
        """Return the newest position that was known at some time."""
        return next(
            (
                position
                for since, position in reversed(self._known)
                if since <= at
            ),
            None,
        )

    def _keep(self, position: log_position.LogPosition) -> None:
        now = self._clock.now()
        if len(self._known) > 1 and now - self._known[-2][0] < RESOLUTION_S:
            self._known.pop()
        self._known.append((now, position))
        while len(self._known) > 1 and now - self._known[1][0] > KEPT_S:
            self._known.popleft()

    def promise(self, now: float) -> call_notice.Promise:
        """Return what has been passed on, as the answer to a notice."""
        return call_notice.Promise(
            self._newest, now - self._passed_at, self._certain
        )
