"""Tasks that follow what the platform's store holds."""

import asyncio
import random
from typing import Protocol

import loguru
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway import coordination
from burdockcart.process.gateway import member_catalog
from burdockcart.version import manifest

#: Share of the time in which a manifest must be in force that passes between
#: two questions to the store; one question that is lost is borne.
ASK_AT = 0.55
#: Interval of asking while a group has no primary, in seconds.
SOON_S = 0.3
#: Failures in a row after which the store is read anew.
READ_ANEW_AFTER = 2
#: Pauses after a failed call, in seconds, with jitter: all daemons fail at
#: the same moment when the store goes.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
#: Time for which a daemon stays listed without renewal, and the interval of
#: renewing, in seconds.
LISTED_S = 8.0
RENEW_EVERY_S = 2.5


class Listener(Protocol):
    """Is told what the store holds."""

    def manifest_changed(self, found: manifest.Manifest) -> None:
        """Take a manifest that comes into force."""

    def members_changed(
        self,
        entries: list[manifest.MemberEntry],
        left: list[ids.MemberId],
    ) -> None:
        """Take new entries, and members that left."""

    def daemons_counted(self, count: int) -> None:
        """Take the number of listed daemons."""

    def awaits_primary(self) -> bool:
        """Return whether changes are awaited."""


class Retries:
    """Pauses between failed calls: exponential, with jitter."""

    def __init__(self, source: random.Random):
        self._source = source
        self._failures = 0

    def succeeded(self) -> None:
        """Begin again with the shortest pause."""
        self._failures = 0

    async def pause(self) -> None:
        """Wait before the next attempt."""
        longest_s = min(RETRY_MIN_S * 2**self._failures, RETRY_MAX_S)
        self._failures += 1
        await asyncio.sleep(self._source.uniform(RETRY_MIN_S / 2, longest_s))


class Dependency:
    """Whether a part of the platform answers; logs each change."""

    def __init__(self, name: str, loop_clock: clock.Clock):
        self._name = name
        self._clock = loop_clock
        self.lost_at: float | None = None

    def answered(self) -> bool:
        """Take over an answer; True if the part had been lost."""
        lost_at, self.lost_at = self.lost_at, None
        if lost_at is None:
            return False
        loguru.logger.info(
            "event=dependency_regained name={} after_ms={}",
            self._name,
            int((self._clock.now() - lost_at) * 1000),
        )
        return True

    def failed(self, fault: coordination.CallFault) -> None:
        """Take over that a call failed."""
        if self.lost_at is None:
            self.lost_at = self._clock.now()
            loguru.logger.warning(
                "event=dependency_lost name={} cause={!r}",
                self._name,
                fault.value,
            )


class StoreFollower:
    """Keeps the manifest, the members and the count of daemons.

    Explanation
    ===========

    Versions of the manifest only go up.  All keys are asked for at once, at
    an interval: members write all the time, so a watch would return at
    once, and each call is priced.

    Parameters
    ==========

    listener : Listener
        Told of all changes.
    manifest_s : float
        Time in which a manifest must be in force, in seconds.

    """

    def __init__(
        self,
        platform: coordination.Platform,
        listener: Listener,
        loop_clock: clock.Clock,
        source: random.Random,
        manifest_s: float,
    ):
        self._every_s = ASK_AT * manifest_s
        self.current: manifest.Manifest | None = None
        self.catalog = member_catalog.MemberCatalog()
        self.dependency = Dependency("store", loop_clock)
        self.listed = False
        self._daemons: set[ids.DaemonId] = set()
        self._platform = platform
        self._listener = listener
        self._clock = loop_clock
        self._retries = Retries(source)

    @property
    def daemons(self) -> frozenset[ids.DaemonId]:
        """The listed daemons."""
        return frozenset(self._daemons)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            read = await self._platform.read_store()
            if isinstance(read, result.Failure):
                await self._failed(read.failure())
                continue
            self._answered()
            self._use_contents(read.unwrap())
            await self._follow(read.unwrap().revision)

    async def _follow(self, revision: int) -> None:
        """Follow changes until they have to be read anew.

        After failures in a row all versions of a large manifest may be too
        much for a narrow link; the newest one alone is less.
        """
        failures = 0
        while True:
            await asyncio.sleep(
                SOON_S if self._listener.awaits_primary() else self._every_s
            )
            seen = await self._platform.changes(revision)
            if isinstance(seen, result.Failure):
                if seen.failure() is coordination.CallFault.HISTORY_LOST:
                    loguru.logger.info(
                        "event=store_history_lost revision={}", revision
                    )
                    return
                await self._failed(seen.failure())
                failures += 1
                if failures >= READ_ANEW_AFTER:
                    return
                continue
            failures = 0
            self._answered()
            changes = seen.unwrap()
            revision = max(revision, changes.revision)
            self._use_changes(changes)

    def _use_contents(self, found: coordination.StoreSnapshot) -> None:
        self.catalog.listed(found.entry_by_member, self._clock.now())
        self.listed = True
        if found.tables is not None:
            self._use_manifest(found.tables)
        self._report(list(found.entry_by_member.values()))
        self._daemons = set(found.daemons)
        self._listener.daemons_counted(len(self._daemons))

    def _use_changes(self, changes: coordination.StoreChanges) -> None:
        for found in changes.tables:
            self._use_manifest(found)
        entries = changes.entry_by_member
        self.catalog.changed(entries, self._clock.now())
        self._report([each for each in entries.values() if each is not None])
        for daemon, listed in changes.listed_by_daemon.items():
            if listed:
                self._daemons.add(daemon)
            else:
                self._daemons.discard(daemon)
        self._listener.daemons_counted(len(self._daemons))

    async def _failed(self, fault: coordination.CallFault) -> None:
        self.dependency.failed(fault)
        self.catalog.store_lost()
        await self._retries.pause()

    def _answered(self) -> None:
        if self.dependency.answered():
            self.catalog.store_recovered(self._clock.now())
        self._retries.succeeded()

    def _use_manifest(self, found: manifest.Manifest) -> None:
        if self.current is not None and found.version <= self.current.version:
            return
        self.current = found
        loguru.logger.info(
            "event=manifest_in_force version={} routes={} groups={}",
            found.version,
            len(found.route_by_database),
            len(found.limits_by_group),
        )
        self._listener.manifest_changed(found)

    def _report(self, entries: list[manifest.MemberEntry]) -> None:
        self._listener.members_changed(
            entries, self.catalog.gone(self._clock.now())
        )


class Listing:
    """Keeps this daemon in the list of daemons.

    The connections that a member takes are divided by their number.
    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        source: random.Random,
    ):
        self._daemon = daemon
        self._platform = platform
        self._retries = Retries(source)
        self._source = source

    async def run(self) -> None:
        """Stay listed until cancelled."""
        while True:
            listed = await self._platform.register_daemon(
                self._daemon, LISTED_S
            )
            if isinstance(listed, result.Failure):
                await self._retries.pause()
                continue
            self._retries.succeeded()
            await self._renew(listed.unwrap())

    async def _renew(self, lease: int) -> None:
        """Renew until the lease has ended."""
        while True:
            await asyncio.sleep(RENEW_EVERY_S * self._source.uniform(0.8, 1.0))
            renewed = await self._platform.renew_daemon(lease)
            if isinstance(renewed, result.Failure):
                if renewed.failure() is coordination.CallFault.MISSING:
                    return
                await self._retries.pause()
            else:
                self._retries.succeeded()
