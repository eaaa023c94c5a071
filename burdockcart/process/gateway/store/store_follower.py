"""Polls the platform's store."""

import asyncio
import random
from typing import Protocol

import loguru
from returns import result

from burdockcart import clock
from burdockcart.connection import backoff
from burdockcart.connection import own_link
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.accounts import key_evidence
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import daemon_catalog
from burdockcart.process.gateway.store import manifest_reader
from burdockcart.process.gateway.store import member_catalog
from burdockcart.process.gateway.store import store_era
from burdockcart.version import manifest

#: Interval between two polls of the store, as a share of the time in which a
#: manifest must be in force; one failed poll is tolerated.
POLL_SHARE = 0.55
#: Pauses before the first polls, the last one first, in seconds: all daemons
#: of a new deployment register within about a second of each other.
FIRST_PAUSES_S = (1.0, 0.6)
#: Interval between polls while a group waits for a primary, in seconds.
FAST_POLL_INTERVAL_S = 0.3
#: Timeout of a poll that a promotion waits for, in seconds; its claim of a
#: moment before was answered.
REFRESH_TIMEOUT_S = 0.6
#: Time by which a poll may be late, in seconds.
POLL_SLACK_S = 0.35
#: Consecutive failures after which the whole store is read again.
REREAD_AFTER = 2
#: Longest answer to a poll, in bytes, and what each member adds to it: its
#: entries between two polls.  A longer one is not read: on a slow link it
#: would take longer than more of it is written.  It consists of versions of a
#: large manifest, or of changes since a long outage.
POLL_BYTES = 64 * 1024
MEMBER_POLL_BYTES = 2 * 1024
#: A daemon that was behind for this time says so, in seconds.
LOGGED_BEHIND_S = 1.0
#: When a client is told to ask again whether a database exists, in
#: milliseconds: another daemon may know.
UNCONFIRMED_RETRY_MS = 500
#: Backoff after a failed call, in seconds, with jitter: all daemons fail at
#: the same moment when the store fails.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8


class StoreListener(Protocol):
    """Receives the contents of the store."""

    def manifest_changed(self, found: manifest.Manifest) -> None:
        """Apply a new manifest."""

    def members_changed(
        self,
        entries: list[manifest.MemberEntry],
        left: list[ids.MemberId],
    ) -> None:
        """Apply new entries and remove members that have left."""

    def daemons_changed(
        self, entry_by_id: dict[ids.DaemonId, coordination.DaemonEntry]
    ) -> None:
        """Apply a new list of the registered daemons."""

    def rosters_changed(
        self, stored_by_group: dict[ids.GroupId, coordination.StoredRoster]
    ) -> None:
        """Apply new rosters of groups."""

    def promotions_changed(
        self,
        stored_by_group: dict[ids.GroupId, coordination.StoredPromotion],
    ) -> None:
        """Note new promotion records of groups."""

    def owners_changed(
        self,
        owner_by_shard: dict[int, coordination.ShardOwner],
        position: ids.StorePosition,
        complete: bool,
    ) -> None:
        """Note the owners of shards up to a position of the store.

        ``complete`` tells that shards that are not named have no owner.
        """

    def store_listed(self) -> None:
        """Note that the whole store has been read."""

    def fleet_key_changed(self, key: bytes) -> None:
        """Use another key for links between daemons."""

    def fleet_key_missing(self) -> None:
        """Write the key of links between daemons, unless there is one."""

    def era_changed(self, era: ids.StoreEra) -> None:
        """Forget positions of other eras; also called for the first one."""

    def awaits_primary(self) -> bool:
        """Return whether a group waits for a new primary."""


class Changes(Protocol):
    """Provides the changes of the store."""

    @property
    def next_in_s(self) -> float | None:
        """When to ask next, in seconds; None to keep to the interval."""

    @property
    def direct(self) -> bool:
        """Whether the last answer came from the store itself."""

    @property
    def shared(self) -> bool:
        """Whether another daemon would be asked now."""

    async def changes(
        self,
        after: ids.StorePosition,
        fresh: bool = False,
        limit_bytes: int | None = None,
    ) -> result.Result[coordination.StoreNews, coordination.CallFault]:
        """Return the changes after a position, or the state at a later one.

        The state leaves the manifest out.
        """

    async def state(
        self, after: ids.StorePosition, fresh: bool = False
    ) -> result.Result[coordination.StoreNews, coordination.CallFault]:
        """Return the state at a later position, or the changes to it."""


class Backoff:
    """Exponential backoff with jitter between failed calls."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0

    def succeeded(self) -> None:
        """Reset to the shortest pause."""
        self._failures = 0

    async def pause(self) -> None:
        """Wait before the next attempt."""
        longest_s = backoff.longest_s(RETRY_MIN_S, self._failures, RETRY_MAX_S)
        self._failures += 1
        await asyncio.sleep(self._rng.uniform(RETRY_MIN_S / 2, longest_s))


class DependencyState:
    """Tracks whether a service of the platform answers; logs changes."""

    def __init__(self, name: str, loop_clock: clock.Clock):
        self._name = name
        self._clock = loop_clock
        self.lost_at: float | None = None

    def answered(self) -> bool:
        """Record an answer; True if the service had failed before."""
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
        """Record a failed call."""
        if self.lost_at is None:
            self.lost_at = self._clock.now()
            loguru.logger.warning(
                "event=dependency_lost name={} cause={!r}",
                self._name,
                fault.value,
            )


def notice_s(manifest_s: float) -> float:
    """Return the time after which each daemon knows what was written.

    Parameters
    ==========

    manifest_s : float
        Time in which a new manifest must be in force, in seconds.

    """
    return POLL_SHARE * manifest_s + POLL_SLACK_S


class StoreFollower:
    """Polls the manifest, the members and the list of daemons.

    Explanation
    ===========

    The version of the manifest in use only increases.  All keys are polled
    together at a fixed interval instead of watched: members write all the
    time, so a watch would return at once, and each call has a cost.

    Positions are valid in one era of the store.  As soon as an answer to any
    call shows another era, everything is read again.

    Parameters
    ==========

    listener : StoreListener
        Receives all changes.
    manifest_s : float
        Time in which a manifest must be in force, in seconds.
    first_start : bool
        Whether all daemons are starting for the first time, so that the list
        of daemons is still incomplete.
    source : Source
        The store's answers, as evidence for the state of the link.
    changes : Changes
        Asks the store, or a daemon that polls for others.
    evidence : KeyEvidence
        Is told which manifest the store holds; times of the boot clock.

    """

    def __init__(
        self,
        platform: coordination.Platform,
        listener: StoreListener,
        loop_clock: clock.Clock,
        rng: random.Random,
        manifest_s: float,
        first_start: bool,
        source: own_link.Source,
        changes: Changes,
        evidence: key_evidence.KeyEvidence,
        boot_clock: clock.Clock,
    ):
        self._source = source
        self._changes = changes
        #: Whether the next poll must show what was written just now.
        self._fresh = False
        self._due_at = loop_clock.now()
        self._evidence = evidence
        self._boot_clock = boot_clock
        self._first_pauses_s = list(FIRST_PAUSES_S) if first_start else []
        self._manifest_s = manifest_s
        self._interval_s = POLL_SHARE * manifest_s
        self._notice_s = notice_s(manifest_s)
        self.current: manifest.Manifest | None = None
        #: Manifest that the store holds; None if it is unreadable or missing.
        self._stored: manifest.Manifest | None = None
        self.catalog = member_catalog.MemberCatalog()
        self.dependency = DependencyState("store", loop_clock)
        #: Set once the list of daemons is likely to be complete.
        self.settled = asyncio.Event()
        #: Newest era of which all open promotions are known to be recorded.
        self.complete_since: ids.StoreEra | None = None
        self.roster_by_group: dict[ids.GroupId, coordination.StoredRoster] = {}
        self._daemons = daemon_catalog.DaemonCatalog()
        #: Position of the last answer; None before the first one.
        self._position: ids.StorePosition | None = None
        #: Reads the manifest while polls leave it out.
        self.manifests = manifest_reader.ManifestReader(
            platform,
            self._manifest_read,
            lambda: self._evidence.interval_s(self._interval_s, self.current),
            Backoff(rng),
            loop_clock,
            boot_clock,
        )
        #: Whether the next poll leaves the manifest out.
        self._apart = False
        self._platform = platform
        self._listener = listener
        self._clock = loop_clock
        self._backoff = Backoff(rng)
        self._applied_at = loop_clock.now()
        #: When the manifest in force was last known to be the newest.
        self._newest_at = boot_clock.now()
        #: Newest version that is known to have been written.
        self._known_version = 0
        self._behind_since: float | None = None
        #: Versions that were written and never in force on this daemon.
        self.versions_skipped = 0
        #: When the state that is applied was asked for; None before the first.
        self.known_until: float | None = None
        #: The same by the boot clock.
        self._asked_at: float | None = None
        self._refresh = asyncio.Event()
        #: Calls of :meth:`refresh` that wait for the next poll to begin.
        self._refreshing: list[asyncio.Future[bool]] = []

    @property
    def daemons(self) -> frozenset[ids.DaemonId]:
        """The registered daemons."""
        return self._daemons.daemons

    @property
    def informed(self) -> bool:
        """Whether what was in the store some time ago is applied.

        That time is :attr:`notice_s`; it includes time in suspension.
        """
        asked_at = self._asked_at
        return asked_at is not None and (
            self._boot_clock.now() - asked_at <= self.notice_s
        )

    @property
    def notice_s(self) -> float:
        """Time after which a daemon knows what was written, in seconds.

        One that has not polled the store in that time knows that, too.
        """
        return self._notice_s

    @property
    def age_s(self) -> float:
        """Time since what the store holds was last applied, in seconds."""
        return self._clock.now() - self._applied_at

    @property
    def version(self) -> int:
        """Version of the manifest in force; 0 for none."""
        return self.current.version if self.current is not None else 0

    @property
    def known_version(self) -> int:
        """Newest version of the manifest that this daemon knows of."""
        return max(self._known_version, self.version)

    @property
    def manifest_age_s(self) -> float:
        """Time since the manifest in force was the newest, in seconds.

        As far as this daemon knows: an answer that shows this counts from
        the time at which it was asked for; time in suspension counts.
        """
        return self._boot_clock.now() - self._newest_at

    def no_route(self, database: ids.DatabaseName) -> errors.Failure:
        """Return the answer for a database that no route names.

        It is final only if a route that must be in force by now is known.
        """
        age_s = self.manifest_age_s
        if 0.0 <= age_s < self._manifest_s:
            return errors.Failure(
                errors.ErrorKind.NO_ROUTE,
                f"no route names the database {database[:60]!r}",
            )
        return errors.Failure(
            errors.ErrorKind.ROUTES_UNCONFIRMED,
            f"no route names the database {database[:60]!r}, as far as is "
            "known since the store was last read",
            retry_after_ms=UNCONFIRMED_RETRY_MS,
        )

    def version_seen(self, version: int, daemon: ids.DaemonId) -> None:
        """Note a version that is in force on another daemon."""
        if version <= self.known_version:
            return
        self._known_version = version
        if self._behind_since is None:
            self._behind_since = self._clock.now()
        if self.manifest_age_s >= self._manifest_s:
            loguru.logger.warning(
                "event=manifest_behind in_force={} newest={} daemon={} "
                "age_ms={}",
                self.version,
                version,
                daemon,
                int(self.manifest_age_s * 1000),
            )

    def _note_newest(self, asked_at: float) -> None:
        """Note an answer which shows that no newer manifest exists.

        Parameters
        ==========

        asked_at : float
            When it was asked for, by the boot clock.

        """
        self._newest_at = max(self._newest_at, asked_at)
        if self._behind_since is None or self.version < self._known_version:
            return
        behind_s = self._clock.now() - self._behind_since
        self._behind_since = None
        if behind_s >= LOGGED_BEHIND_S:
            loguru.logger.info(
                "event=manifest_caught_up version={} behind_ms={}",
                self.version,
                int(behind_s * 1000),
            )

    @property
    def has_read(self) -> bool:
        """Whether the store has been read."""
        return self._position is not None

    @property
    def entry_by_daemon(
        self,
    ) -> dict[ids.DaemonId, coordination.DaemonEntry]:
        """The entries of the registered daemons."""
        return self._daemons.entry_by_id

    async def refresh(self) -> bool:
        """Poll now; return whether all that the store holds is applied.

        Only a poll that begins after this call counts.
        """
        self._fresh = True
        return await self.join_poll(0.0)

    @property
    def next_poll_s(self) -> float:
        """Time until the next scheduled poll, in seconds."""
        return max(self._due_at - self._clock.now(), 0.0)

    async def join_poll(self, longest_s: float) -> bool:
        """Wait for a poll that begins after this call; poll if need be.

        Parameters
        ==========

        longest_s : float
            Time until the next scheduled poll, in seconds, up to which it is
            waited for.

        """
        done = asyncio.get_running_loop().create_future()
        self._refreshing.append(done)
        if self.next_poll_s > longest_s:
            self._refresh.set()
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT_S):
                return await done
        except TimeoutError:
            return False

    def _begin_poll(self) -> list[asyncio.Future[bool]]:
        """Return the calls that the next poll answers."""
        self._refresh.clear()
        waiting, self._refreshing = self._refreshing, []
        return waiting

    async def _pause(self, era: ids.StoreEra, failures: int) -> None:
        """Wait for the next poll, unless it is due at once."""
        now = self._clock.now()
        pause_s = self._pause_s(failures)
        if self._due_at > now:
            # An additional poll does not move the schedule, by which other
            # daemons ask.
            pause_s = min(pause_s, self._due_at - now)
        self._due_at = now + pause_s
        due = asyncio.create_task(
            self._platform.eras.wait_beyond(era, pause_s)
        )
        asked = asyncio.create_task(self._refresh.wait())
        try:
            await asyncio.wait(
                {due, asked}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            due.cancel()
            asked.cancel()

    async def run(self) -> None:
        """Read the store and poll its changes until cancelled."""
        while True:
            sent_at, evidence_at = self._clock.now(), self._boot_clock.now()
            read = await self._platform.read_store()
            if isinstance(read, result.Failure):
                if read.failure() is coordination.CallFault.RESTORED:
                    await self._backoff.pause()
                else:
                    await self._failed(read.failure())
                if self._position is not None and self._changes.shared:
                    # The store may refuse this daemon alone.
                    await self._poll_changes(self._position)
                continue
            self._source.record_answer(sent_at, self._clock.now())
            self._answered()
            self._use_contents(read.unwrap(), sent_at)
            self._applied_at, self.known_until = self._clock.now(), sent_at
            self._asked_at = evidence_at
            self._add_evidence(evidence_at)
            await self._poll_changes(read.unwrap().position)

    async def _poll_changes(self, position: ids.StorePosition) -> None:
        """Poll changes until the whole store has to be read again.

        After consecutive failures the changes since then may be many.
        """
        failures = 0
        while True:
            era = store_era.era_of(position)
            await self._pause(era, failures)
            refreshing = self._begin_poll()
            sent_at, evidence_at = self._clock.now(), self._boot_clock.now()
            seen = await self._poll(position)
            if isinstance(seen, result.Failure):
                _answer(refreshing, False)
                fault = seen.failure()
                if fault is coordination.CallFault.RESTORED:
                    return
                await self._failed(fault)
                failures += 1
                if failures >= REREAD_AFTER:
                    return
                continue
            failures = 0
            if self._changes.direct:
                self._source.record_answer(sent_at, self._clock.now())
            self._answered()
            found = seen.unwrap()
            position = max(position, found.position)
            if isinstance(found, coordination.StoreSnapshot):
                self._use_contents(found, sent_at)
                self._position = position
                self._apart = True
            else:
                self._position = position
                self._use_changes(found, sent_at)
            if self._apart or self.manifests.pending:
                # Only a read that begins now shows all up to this position.
                self.manifests.request(store_era.era_of(position))
            else:
                self._add_evidence(evidence_at)
            self._applied_at, self.known_until = self._clock.now(), sent_at
            self._asked_at = evidence_at
            _answer(refreshing, True)
            if not self._first_pauses_s:
                self.settled.set()

    async def _poll(
        self, position: ids.StorePosition
    ) -> result.Result[coordination.StoreNews, coordination.CallFault]:
        """Return the changes after a position, or the state without manifest.

        The state is read if the changes are too many or no longer kept, and
        then until the manifest is found unchanged: its cost does not grow
        with what was written since the position.
        """
        fresh = self._fresh or self._listener.awaits_primary()
        self._fresh = False
        if not self._apart and not self.manifests.pending:
            seen = await self._changes.changes(
                position,
                fresh,
                POLL_BYTES + MEMBER_POLL_BYTES * len(self.catalog.entry_by_id),
            )
            if seen == result.Failure(coordination.CallFault.HISTORY_LOST):
                loguru.logger.info(
                    "event=store_history_lost revision={}",
                    store_era.revision_of(position),
                )
            elif seen == result.Failure(coordination.CallFault.TOO_LONG):
                loguru.logger.info("event=manifest_read_apart")
            else:
                return seen
            self._apart = True
            # The poller, if there is one, has just been asked.
            fresh = True
        return await self._changes.state(position, fresh)

    def _manifest_read(
        self,
        found: coordination.StoredManifest,
        sent_at: float,
        evidence_at: float,
    ) -> None:
        """Use the manifest that was read by its key."""
        changed = _version(found.tables) != _version(self._stored)
        self._apart, self._stored = changed, found.tables
        if found.tables is not None:
            self._use_manifest(found.tables, sent_at)
        self._add_evidence(evidence_at)

    def _pause_s(self, failures: int) -> float:
        """Return the pause before the next poll, after failed ones."""
        if failures:
            # The backoff was the pause: with a whole interval more, one poll
            # without an answer would leave a manifest unknown for too long.
            return 0.0
        if self._first_pauses_s:
            return self._first_pauses_s.pop()
        if self._listener.awaits_primary():
            return FAST_POLL_INTERVAL_S
        interval_s = self._evidence.interval_s(self._interval_s, self.current)
        advised_s = self._changes.next_in_s
        return interval_s if advised_s is None else min(advised_s, interval_s)

    def _add_evidence(self, sent_at: float) -> None:
        """Tell what an answer of the store showed, once it is applied."""
        if self._stored == self.current:
            # Later comparisons of the same object cost nothing.
            self._stored = self.current
        assert self._position is not None
        seen = key_evidence.shown(self._stored, self.current)
        if seen in (key_evidence.Shown.IN_FORCE, key_evidence.Shown.OLDER):
            self._note_newest(sent_at)
        self._evidence.polled(
            sent_at,
            seen,
            self.current is not None
            and key_evidence.complete(
                self.entry_by_daemon.values(),
                store_era.era_of(self._position),
                self.current.version,
            ),
        )

    def _use_contents(
        self, found: coordination.StoreSnapshot, sent_at: float
    ) -> None:
        now = self._clock.now()
        era = store_era.era_of(found.position)
        before = self._position
        daemons = dict(self.entry_by_daemon)
        if before is None:
            self._listener.era_changed(era)
        if before is not None and store_era.era_of(before) != era:
            _log_restore(found, before, self.current)
            self._listener.era_changed(era)
            self.catalog.restored(found.entry_by_member, now)
            self._daemons.restored(found.daemon_by_id, era, now)
        else:
            self.catalog.listed(found.entry_by_member, now)
            self.catalog.use_doubted(now)
            self._daemons.listed(found.daemon_by_id, now)
            self._daemons.remove_missing(now)
        self._position = found.position
        self.complete_since = found.complete_since
        self.roster_by_group = dict(found.roster_by_group)
        if found.tables_read:
            self._stored = found.tables
            if found.tables is not None:
                self._use_manifest(found.tables, sent_at)
        self._listener.rosters_changed(self.roster_by_group)
        self._listener.promotions_changed(found.promotion_by_group)
        self._listener.owners_changed(
            found.owner_by_shard, found.position, complete=True
        )
        self._listener.store_listed()
        self._notify_members(list(self.catalog.entry_by_id.values()))
        if found.fleet_key is not None:
            self._listener.fleet_key_changed(found.fleet_key)
        elif found.fleet_key_read:
            self._listener.fleet_key_missing()
        if not self._first_pauses_s:
            self.settled.set()
        if found.tables_read or daemons != self.entry_by_daemon:
            self._listener.daemons_changed(self.entry_by_daemon)

    def _use_changes(
        self, changes: coordination.StoreChanges, sent_at: float
    ) -> None:
        now = self._clock.now()
        self.versions_skipped += max(changes.versions - 1, 0)
        for found in changes.tables:
            self._stored = found
            self._use_manifest(found, sent_at, changes.versions - 1)
        if changes.tables_unreadable:
            self._stored = None
        if changes.roster_by_group:
            self.roster_by_group |= changes.roster_by_group
            self._listener.rosters_changed(self.roster_by_group)
        if changes.promotion_by_group:
            self._listener.promotions_changed(changes.promotion_by_group)
        if changes.owner_by_shard:
            self._listener.owners_changed(
                changes.owner_by_shard, changes.position, complete=False
            )
        entries = changes.entry_by_member
        self.catalog.changed(entries, now)
        self._notify_members(
            [each for each in entries.values() if each is not None]
            + self.catalog.use_doubted(now)
        )
        if changes.fleet_key is not None:
            self._listener.fleet_key_changed(changes.fleet_key)
        if changes.complete_since is not None:
            self.complete_since = changes.complete_since
        self._daemons.changed(changes.entry_by_daemon, now)
        removed = self._daemons.remove_missing(now)
        if changes.entry_by_daemon or removed:
            self._listener.daemons_changed(self.entry_by_daemon)

    async def _failed(self, fault: coordination.CallFault) -> None:
        self.dependency.failed(fault)
        self.catalog.store_lost()
        await self._backoff.pause()

    def _answered(self) -> None:
        if self.dependency.answered():
            self.catalog.store_recovered(self._clock.now())
        self._backoff.succeeded()

    def _use_manifest(
        self, found: manifest.Manifest, sent_at: float, skipped: int = 0
    ) -> None:
        """Put a manifest in force unless a newer one is.

        Parameters
        ==========

        sent_at : float
            When the call was sent that brought it.
        skipped : int
            Number of other versions that were written since the last answer.

        """
        if self.current is not None and found.version <= self.current.version:
            return
        self.current = found
        loguru.logger.info(
            "event=manifest_in_force version={} routes={} groups={} "
            "accounts={} skipped={} took_ms={}",
            found.version,
            len(found.route_by_database),
            len(found.limits_by_group),
            len(found.account_by_name),
            skipped,
            int((self._clock.now() - sent_at) * 1000),
        )
        self._listener.manifest_changed(found)

    def _notify_members(self, entries: list[manifest.MemberEntry]) -> None:
        self._listener.members_changed(
            entries, self.catalog.remove_departed(self._clock.now())
        )


def _version(found: manifest.Manifest | None) -> int | None:
    return None if found is None else found.version


def _answer(waiting: list[asyncio.Future[bool]], applied: bool) -> None:
    """Answer calls that waited for a poll, unless they have given up."""
    for each in waiting:
        if not each.done():
            each.set_result(applied)


def _log_restore(
    found: coordination.StoreSnapshot,
    before: ids.StorePosition,
    in_force: manifest.Manifest | None,
) -> None:
    """Log what a restored store holds, beside what was known before."""
    loguru.logger.warning(
        "event=store_restored era={} before={} revision={} last_seen={} "
        "manifest={} in_force={} members={} daemons={} key={}",
        store_era.era_of(found.position),
        store_era.era_of(before),
        store_era.revision_of(found.position),
        store_era.revision_of(before),
        found.tables.version if found.tables else None,
        in_force.version if in_force else None,
        len(found.entry_by_member),
        len(found.daemon_by_id),
        found.fleet_key is not None,
    )
