"""Reads the manifest apart from everything else in the store."""

import asyncio
import math
from typing import Callable
from typing import Protocol

import loguru
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.store import coordination


class Backoff(Protocol):
    """Pauses between failed calls."""

    def succeeded(self) -> None:
        """Reset to the shortest pause."""

    async def pause(self) -> None:
        """Wait before the next attempt."""


class ManifestReader:
    """Reads the newest manifest whenever it may have changed.

    Explanation
    ===========

    A large manifest takes its time on a slow link.  News of members and
    promotions must not wait for it, so it is read by a task of its own, by
    its key: whatever was written in the meantime, one version is transferred.

    Parameters
    ==========

    use : callable
        Called with what was read, when it was asked for by the loop's clock,
        and by the boot clock.
    interval_s : callable
        Returns the least time between the beginnings of two reads, in
        seconds; clients use the same link.
    retries : Backoff
        Pauses after failed reads.

    """

    def __init__(
        self,
        platform: coordination.Platform,
        use: Callable[[coordination.StoredManifest, float, float], None],
        interval_s: Callable[[], float],
        retries: Backoff,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
    ):
        self._platform = platform
        self._use = use
        self._interval_s = interval_s
        self._retries = retries
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._due = asyncio.Event()
        self._reading = False
        self._era = ids.StoreEra(0)
        self._began_at = -math.inf

    @property
    def pending(self) -> bool:
        """Whether a change may be unknown that polls do not show."""
        return self._due.is_set() or self._reading

    def request(self, era: ids.StoreEra) -> None:
        """Read the manifest of an era in a read that begins after this."""
        self._era = era
        self._due.set()

    async def run(self) -> None:
        """Read the manifest each time that it is asked for."""
        while True:
            await self._due.wait()
            next_at = self._began_at + self._interval_s()
            await asyncio.sleep(max(next_at - self._clock.now(), 0.0))
            self._due.clear()
            self._reading = True
            try:
                fault = await self._read()
            finally:
                self._reading = False
            if fault is None:
                self._retries.succeeded()
                continue
            loguru.logger.info(
                "event=manifest_read_failed cause={!r}", fault.value
            )
            if fault is coordination.CallFault.RESTORED:
                # Everything is read anew in another era.
                continue
            self._began_at = -math.inf
            self._due.set()
            await self._retries.pause()

    async def _read(self) -> coordination.CallFault | None:
        """Read the manifest once; return why that failed."""
        sent_at, evidence_at = self._clock.now(), self._boot_clock.now()
        self._began_at = sent_at
        read = await self._platform.read_manifest(self._era)
        if isinstance(read, result.Failure):
            return read.failure()
        self._use(read.unwrap(), sent_at, evidence_at)
        return None
