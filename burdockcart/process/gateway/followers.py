"""Tasks that follow what the platform's store holds."""

import asyncio
import random
from typing import Callable

import loguru
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway import coordination
from burdockcart.process.gateway import member_catalog
from burdockcart.version import manifest

#: Time that a watch waits at the store, in seconds.  A link that goes silent
#: is noticed after it, so it stays below the 3 s in which a manifest must be
#: in force.
WATCH_S = 2.0
#: Interval of asking for changed members, in seconds.  Members write every
#: 1.2 s, so a watch would return at once and each call is priced; a draining
#: member must be out of use within 7 s.
MEMBERS_EVERY_S = 1.5
#: The same while a group has no primary.
MEMBERS_SOON_S = 0.3
#: Pauses after a failed call, in seconds, with jitter: all daemons fail at
#: the same moment when the store goes.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
#: Time for which a daemon stays listed without renewal, and the interval of
#: renewing and counting, in seconds.
LISTED_S = 8.0
RENEW_EVERY_S = 2.5


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


class ManifestFollower:
    """Keeps the newest manifest; versions only go up.

    Parameters
    ==========

    changed : callable
        Called with each manifest that comes into force.

    """

    def __init__(
        self,
        platform: coordination.Platform,
        changed: Callable[[manifest.Manifest], None],
        loop_clock: clock.Clock,
        source: random.Random,
    ):
        self.current: manifest.Manifest | None = None
        self.dependency = Dependency("manifest", loop_clock)
        self._platform = platform
        self._changed = changed
        self._retries = Retries(source)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            read = await self._platform.read_manifest()
            if isinstance(read, result.Failure):
                self.dependency.failed(read.failure())
                await self._retries.pause()
                continue
            self._answered()
            found = read.unwrap()
            self._use(found.value)
            await self._watch(found.revision)

    async def _watch(self, revision: int) -> None:
        """Follow changes until the history is lost."""
        while True:
            seen = await self._platform.watch_manifest(revision, WATCH_S)
            if isinstance(seen, result.Failure):
                self.dependency.failed(seen.failure())
                if seen.failure() is coordination.CallFault.HISTORY_LOST:
                    return
                await self._retries.pause()
                continue
            self._answered()
            changes = seen.unwrap()
            revision = max(revision, changes.revision)
            for found in changes.value:
                self._use(found)

    def _answered(self) -> None:
        self.dependency.answered()
        self._retries.succeeded()

    def _use(self, found: manifest.Manifest) -> None:
        if self.current is not None and found.version <= self.current.version:
            return
        self.current = found
        loguru.logger.info(
            "event=manifest_in_force version={} routes={} groups={}",
            found.version,
            len(found.route_by_database),
            len(found.limits_by_group),
        )
        self._changed(found)


class MemberFollower:
    """Keeps the list of members.

    Parameters
    ==========

    changed : callable
        Called with the entries in force and the members that left.
    urgent : callable
        Returns whether changes are awaited, as while a primary is missing.

    """

    def __init__(
        self,
        platform: coordination.Platform,
        changed: Callable[
            [list[manifest.MemberEntry], list[ids.MemberId]], None
        ],
        urgent: Callable[[], bool],
        loop_clock: clock.Clock,
        source: random.Random,
    ):
        self.catalog = member_catalog.MemberCatalog()
        self.dependency = Dependency("members", loop_clock)
        self.listed = False
        self._platform = platform
        self._changed = changed
        self._urgent = urgent
        self._clock = loop_clock
        self._retries = Retries(source)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            read = await self._platform.list_members()
            if isinstance(read, result.Failure):
                await self._failed(read.failure())
                continue
            self._answered()
            found = read.unwrap()
            self.catalog.listed(found.value, self._clock.now())
            self.listed = True
            self._report(list(found.value.values()))
            await self._watch(found.revision)

    async def _watch(self, revision: int) -> None:
        """Follow changes until the history is lost."""
        while True:
            await asyncio.sleep(
                MEMBERS_SOON_S if self._urgent() else MEMBERS_EVERY_S
            )
            seen = await self._platform.watch_members(revision)
            if isinstance(seen, result.Failure):
                if seen.failure() is coordination.CallFault.HISTORY_LOST:
                    return
                await self._failed(seen.failure())
                continue
            self._answered()
            changes = seen.unwrap()
            revision = max(revision, changes.revision)
            self.catalog.changed(changes.value, self._clock.now())
            self._report(
                [each for each in changes.value.values() if each is not None]
            )

    async def _failed(self, fault: coordination.CallFault) -> None:
        self.dependency.failed(fault)
        self.catalog.store_away()
        await self._retries.pause()

    def _answered(self) -> None:
        if self.dependency.answered():
            self.catalog.store_back(self._clock.now())
        self._retries.succeeded()

    def _report(self, entries: list[manifest.MemberEntry]) -> None:
        self._changed(entries, self.catalog.gone(self._clock.now()))


class DaemonFollower:
    """Lists this daemon and counts all of them.

    The connections that a member takes are divided by the count.
    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        changed: Callable[[int], None],
        source: random.Random,
    ):
        self._daemon = daemon
        self._platform = platform
        self._changed = changed
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
        """Renew and count until the lease has ended."""
        while True:
            await self._count()
            await asyncio.sleep(RENEW_EVERY_S * self._source.uniform(0.8, 1.0))
            renewed = await self._platform.renew_daemon(lease)
            if isinstance(renewed, result.Failure):
                if renewed.failure() is coordination.CallFault.MISSING:
                    return
                await self._retries.pause()

    async def _count(self) -> None:
        counted = await self._platform.daemon_count()
        count = counted.value_or(0)
        if count:
            self._changed(count)
