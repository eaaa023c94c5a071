"""Keeps daemons from promotions that a restored store has forgotten.

Explanation
===========

A claim, and the record of a call that may still be executed, can be lost
with what the store wrote after the copy from which it was restored.  A daemon
that lives writes its open calls again before it registers in the new era.  So
a new claim waits until all daemons of before have registered, or until no
call and no claim of before can have an effect any more.  Then the end of the
wait is recorded for daemons that start later.

"""

from typing import Protocol

import loguru

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.promotion import turn
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_follower

#: Interval between attempts to record the end of a wait, in seconds.
RECORD_INTERVAL_S = 0.5
#: Key of the order in which the daemons record it.
TURN_KEY = ids.GroupId("complete-since")


class Wait(Protocol):
    """Whether promotions have to wait, as the store was restored."""

    @property
    def store_away(self) -> bool:
        """Whether the store does not answer, so that no wait helps."""

    def over(self) -> bool:
        """Return whether the store knows all promotions that may be open."""


class RestoreWait:
    """The wait of one daemon after a restore of the store.

    Parameters
    ==========

    claim_ttl_s : float
        Time for which a claim holds, in seconds.
    fenced : bool
        Whether the platform refuses calls with an older token, so that calls
        that are executed late have no effect.
    first_start : bool
        Whether the whole deployment starts for the first time, so that there
        were no promotions before.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        tables: store_follower.StoreFollower,
        loop_clock: clock.Clock,
        claim_ttl_s: float,
        fenced: bool,
        first_start: bool,
    ):
        self._daemon = daemon
        self._platform = platform
        self._tables = tables
        self._clock = loop_clock
        self._wait_s = (
            claim_ttl_s
            if fenced
            else max(claim_ttl_s, promotion_claims.LATE_CALL_S)
        )
        self._first_start = first_start
        #: Era for which this daemon waits or has waited.
        self._era: ids.StoreEra | None = None
        self._began_at = 0.0
        self._over_at: float | None = None
        #: Daemons of before; None if this daemon knows of none.
        self._awaited: set[tuple[ids.DaemonId, ids.Incarnation]] | None = None
        self._recorded_at = -RECORD_INTERVAL_S

    def begin(self, era: ids.StoreEra) -> bool:
        """Wait in a new era, or in the first one that this daemon sees.

        Returns True if the store was restored since.
        """
        now = self._clock.now()
        starts = self._era is None
        self._era = era
        self._began_at = now
        self._over_at = now if starts and self._first_start else None
        before = {
            (entry.id, entry.incarnation)
            for entry in self._tables.entry_by_daemon.values()
        }
        # A list without this daemon may lack others as well.
        listed = any(daemon == self._daemon for daemon, _ in before)
        self._awaited = before if listed and not starts else None
        return not starts

    def over(self) -> bool:
        """Return whether the store knows all promotions that may be open."""
        if self._era is None or self._era != self._platform.eras.current:
            # The new era has been seen, but not been read yet.
            return False
        if self._over_at is None and self._may_end():
            self._over_at = self._clock.now()
            loguru.logger.info(
                "event=restore_wait_over era={} after_ms={} registered={}",
                self._era,
                int((self._over_at - self._began_at) * 1000),
                self._all_registered(),
            )
        return self._over_at is not None

    @property
    def store_away(self) -> bool:
        """Whether the store does not answer, so that no wait helps."""
        return self._tables.dependency.lost_at is not None

    def _may_end(self) -> bool:
        return (
            self._tables.complete_since == self._era
            or self._clock.now() - self._began_at >= self._wait_s
            or self._all_registered()
        )

    def _all_registered(self) -> bool:
        """Return whether all daemons of before have registered again."""
        return self._awaited is not None and self._awaited <= {
            (entry.id, entry.incarnation)
            for entry in self._tables.entry_by_daemon.values()
            if entry.era == self._era
        }

    async def record(self) -> None:
        """Record the end of the wait if the store lacks it."""
        now = self._clock.now()
        if not self.over() or self._tables.complete_since == self._era:
            return
        assert self._over_at is not None and self._era is not None
        place = turn.rank(self._daemon, TURN_KEY, self._tables.daemons)
        if now - self._over_at < turn.delay_s(place):
            return
        if now - self._recorded_at >= RECORD_INTERVAL_S:
            self._recorded_at = now
            await self._platform.record_complete(self._era)
