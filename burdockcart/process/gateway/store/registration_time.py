"""From when and until when a daemon's registration is in the store."""

import math

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.store import store_era

#: Part of the lifetime that is not relied on, for the clocks, in seconds.
CLOCK_MARGIN_S = 0.2


class RegistrationTime:
    """Times in which the list of daemons certainly has this process.

    Explanation
    ===========

    A daemon that has just acquired a shard reads the list of daemons to learn
    who may hold shares of former owners.  What a daemon holds must have come
    from a report that it sent while it was registered, and be given up when
    the registration may have ended.  One that is renewed in time never ends;
    a new one begins another time, which proves nothing about earlier reports.

    In an era after a restore of the store the list proves nothing, and nobody
    relies on it: entries may have been lost.  There, no report is refused.

    Parameters
    ==========

    boot_clock : Clock
        Clock that goes on while the host is suspended.
    ttl_s : float
        Lifetime of the registration, in seconds.

    """

    def __init__(self, boot_clock: clock.Clock, ttl_s: float):
        self._clock = boot_clock
        self._ttl_s = ttl_s - CLOCK_MARGIN_S
        self._since = math.inf
        self._until = -math.inf
        #: Since when this daemon is registered in an era after a restore.
        self._restored_since = math.inf

    def now(self) -> float:
        """Return the time, for a call that is about to be sent."""
        return self._clock.now()

    def registered(self, era: ids.StoreEra, sent_at: float) -> None:
        """Note that a registration that was sent at a time was answered."""
        now = self._clock.now()
        if era > store_era.FIRST:
            # What is held from before is still judged by that registration.
            self._restored_since = min(self._restored_since, now)
        else:
            self._since, self._until = now, sent_at + self._ttl_s

    def renewed(self, era: ids.StoreEra, sent_at: float) -> None:
        """Note that a renewal that was sent at a time was answered."""
        if era == store_era.FIRST:
            self._until = max(self._until, sent_at + self._ttl_s)

    def ended(self) -> None:
        """Note that the registration has ended, or is about to."""
        self._since, self._until = math.inf, -math.inf

    def covers(self, sent_at: float, now: float) -> bool:
        """Return whether the list has had this process since a report.

        Parameters
        ==========

        sent_at : float
            Time at which the report was sent, in seconds.

        """
        if sent_at >= self._restored_since:
            return True
        return self._since <= sent_at and now < self._until
