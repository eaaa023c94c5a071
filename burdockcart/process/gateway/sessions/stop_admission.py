"""Decides which statements a daemon that shuts down still takes."""

import math

import msgspec

from burdockcart import clock
from burdockcart import errors
from burdockcart.process.gateway.sessions import shutdown_plan
from burdockcart.request import answer_times
from burdockcart.version import manifest

#: Retry hint for clients that are refused, in milliseconds.  A new connection
#: reaches another daemon; where all of them shut down, the first ones are back
#: within seconds.
RETRY_AFTER_MS = 100


class StopAdmission:
    """Admits statements while the daemon runs, and during its planned stop.

    Parameters
    ==========

    granted_s : float
        Time from the signal to the kill, in seconds.

    """

    def __init__(self, granted_s: float, loop_clock: clock.Clock):
        self.plan = shutdown_plan.ShutdownPlan(granted_s)
        self._clock = loop_clock
        self._times = answer_times.AnswerTimes()
        self._began_at: float | None = None
        self._ended = False

    @property
    def stopping(self) -> bool:
        """Whether the daemon is shutting down."""
        return self._began_at is not None

    @property
    def elapsed_s(self) -> float:
        """Time since the signal, in seconds."""
        assert self._began_at is not None
        return self._clock.now() - self._began_at

    def begin(self) -> None:
        """Record the time from which the granted time counts, once."""
        if self._began_at is None:
            self._began_at = self._clock.now()

    def end(self) -> None:
        """Take nothing from now on."""
        self._ended = True

    def learn(
        self,
        route: manifest.DatabaseRoute,
        work: answer_times.Work,
        took_s: float,
    ) -> None:
        """Record the time from the arrival of work to its end."""
        self._times.learn(route.name, work, took_s)

    def refusal_to_open(self) -> errors.Failure | None:
        """Return why no session opens; None if it may."""
        if not self.stopping or (
            not self._ended and self.plan.opens_session(self.elapsed_s)
        ):
            return None
        return refusal()

    def refusal_to_begin(
        self, route: manifest.DatabaseRoute
    ) -> errors.Failure | None:
        """Return why no transaction begins; None if it may.

        One that does not end in time is rolled back, and its client is told.
        """
        return self._refusal(route, answer_times.Work.TRANSACTION, math.inf)

    def refusal_to_run(
        self, route: manifest.DatabaseRoute, work: answer_times.Work
    ) -> errors.Failure | None:
        """Return why a statement is not taken; None if it is."""
        return self._refusal(route, work, route.timeout_s)

    def _refusal(
        self,
        route: manifest.DatabaseRoute,
        work: answer_times.Work,
        limit_s: float,
    ) -> errors.Failure | None:
        """Refuse what is not likely to end before the last answers."""
        if not self.stopping:
            return None
        needed_s = self._times.needed_s(route.name, work, limit_s)
        if not self._ended and self.plan.takes(self.elapsed_s, needed_s):
            return None
        return refusal()

    def limited(self, route: manifest.DatabaseRoute) -> manifest.DatabaseRoute:
        """Return the route with a time limit that the stop allows."""
        if not self.stopping:
            return route
        left_s = max(self.plan.answers_by_s - self.elapsed_s, 0.0)
        if route.timeout_s <= left_s:
            return route
        return msgspec.structs.replace(route, timeout_s=left_s)


def refusal() -> errors.Failure:
    """Return the failure of what is not taken."""
    return errors.Failure(
        errors.ErrorKind.DRAINING,
        "the daemon is shutting down",
        retry_after_ms=RETRY_AFTER_MS,
    )


def closing(in_transaction: bool) -> errors.Failure:
    """Return what a client is told whose session closes.

    A transaction that is open is rolled back.
    """
    kind = errors.ErrorKind.DRAINING
    if in_transaction:
        kind = errors.ErrorKind.TRANSACTION_LOST
    return errors.Failure(
        kind, "the daemon closes the session", retry_after_ms=RETRY_AFTER_MS
    )
