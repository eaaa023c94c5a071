"""Newest commit whose success this daemon has passed on."""

from burdockcart import clock
from burdockcart.process.gateway import call_notice
from burdockcart.request import log_position


class PassedCommits:
    """Commits of one group that clients or other daemons were told of."""

    def __init__(self, loop_clock: clock.Clock):
        self._clock = loop_clock
        self._newest: log_position.LogPosition | None = None
        self._passed_at = 0.0

    def add(self, commit: log_position.LogPosition | None) -> None:
        """Note that success is passed on now.

        Parameters
        ==========

        commit : LogPosition or None
            Position that the primary has reported after the commit.

        """
        if commit is None:
            return
        self._newest = max(commit, self._newest or commit)
        self._passed_at = self._clock.now()

    def promise(self, now: float) -> call_notice.Promise:
        """Return the newest position, as the answer to a notice."""
        return call_notice.Promise(self._newest, now - self._passed_at)
