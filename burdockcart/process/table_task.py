"""Task that keeps a daemon's tables at the newest version.

See Also
========

burdockcart.version.distribution

"""

import asyncio
import random
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Coroutine
from typing import Iterable
from typing import Protocol

import loguru
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process import executors
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import store_client
from burdockcart.process import table_pull
from burdockcart.process import table_reader
from burdockcart.process import table_start
from burdockcart.version import change
from burdockcart.version import distribution
from burdockcart.version import rows
from burdockcart.version import table_image
from burdockcart.version import table_store

#: Interval of the announcements, used when no heartbeats carry the version.
ANNOUNCE_S = 0.4
#: Delay before a higher version is pulled; usually a push of it is on its way.
PULL_DELAY_S = 0.1
#: Longest wait for the newest version found at the start; an older one is put
#: in force after it.
MAX_HOLD_S = 10.0
#: Daemons of other failure domains that a starting daemon asks for versions.
START_REMOTE = 8
WATCH_TIMEOUT_S = 20.0
WATCHER_POLL_S = 0.5
RETRY_S = 0.2
#: A daemon that is not a watcher and has no tables at all reads the store
#: after a random part of this time, so that a fleet that starts together
#: leaves the reading to the watchers.
FALLBACK_READ_S = 20.0

#: Peers that a starting daemon pulls from in each round, and its rounds.
START_SOURCES = 3
START_ROUNDS = 5

_STORE = "store"
_WATCHER_KEY = "tables-watcher"


class LiveDaemons(Protocol):
    """The part of the fleet that the task uses: the daemons in use."""

    daemon_by_id: dict[ids.DaemonId, executors.Daemon]


class TableTask:
    """Holds the tables and puts each new version in force.

    Parameters
    ==========

    own : Daemon
        This daemon.
    use : callable
        Puts tables in force; called with increasing versions only.
    source : random.Random
        Source of the jitter.

    """

    def __init__(
        self,
        own: executors.Daemon,
        live: LiveDaemons,
        peers: peer_transport.Peers,
        store: store_client.Store,
        use: Callable[[rows.Tables], None],
        source: random.Random,
        time: clock.Clock,
    ):
        self._own = own
        self._fleet = live
        self._peers = peers
        self._store = store
        self._use = use
        self._random = source
        self._clock = time
        self.local_tables = distribution.LocalTables()
        self.announces = True
        self._version_in_force = ids.TableVersion(0)
        self._starting = True
        self._min_version = 0
        self._pull_scheduled = False
        self._announce_round = source.randrange(1000)
        self._revision = 0
        self._tasks: set[asyncio.Task[None]] = set()
        peers.on(peer_messages.ChangePushed, self._on_push)
        peers.on(peer_messages.PullChanges, self._on_pull)
        peers.on(peer_messages.TableVersionIs, self._on_version)

    async def run(self) -> None:
        """Keep the tables at the newest version."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._repeat(self._announce))
                await self._start()
                group.create_task(self._end_hold())
                group.create_task(self._repeat(self._watch))
                group.create_task(self._repeat(self._fallback_read))
        finally:
            for task in self._tasks:
                task.cancel()

    def on_peer_version(
        self, peer: ids.DaemonId, version: ids.TableVersion
    ) -> None:
        """Schedule a pull from a peer that has a newer version."""
        # Announcements repeat, so one pull at a time is enough; without this
        # bound, pulls from an unreachable peer would pile up.
        if self._starting or self._pull_scheduled:
            return
        if version > self.local_tables.version:
            self._pull_scheduled = True
            self._spawn(self._pull_later(peer, version))

    @property
    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store."""
        ranked = executors.ranked(_WATCHER_KEY, self._local())
        chosen = ranked[: distribution.WATCHERS_PER_DOMAIN]
        return any(each.id == self._own.id for each in chosen)

    def _local(self) -> list[executors.Daemon]:
        daemons = self._fleet.daemon_by_id.values()
        return [each for each in daemons if each.domain == self._own.domain]

    def _remote_ids(self) -> list[ids.DaemonId]:
        daemons = self._fleet.daemon_by_id.values()
        return [each.id for each in daemons if each.domain != self._own.domain]

    def _local_others(self) -> list[ids.DaemonId]:
        return [e.id for e in self._local() if e.id != self._own.id]

    def _ranked_by_version(self, version: int) -> list[ids.DaemonId]:
        # The order depends on the version, so that the work at the top of
        # the tree is spread over the daemons.
        key = f"tables-{version}"
        return [each.id for each in executors.ranked(key, self._local())]

    def _put_in_force(self) -> None:
        # Until a daemon has the newest version found at its start, it may
        # hold an older one than before its restart.
        image = self.local_tables.image
        if self._starting or image.version < self._min_version:
            return
        if image.version > self._version_in_force:
            self._version_in_force = image.version
            self._use(image.tables())

    def _apply_change(
        self, each: change.Change, origin: str
    ) -> distribution.ApplyResult:
        outcome = self.local_tables.apply(each)
        if outcome is distribution.ApplyResult.INVALID:
            loguru.logger.error(
                "event=change_refused id={} version={} from={} reason={!r}",
                self._own.id,
                each.version,
                origin,
                self.local_tables.last_refusal,
            )
        return outcome

    def _push(
        self, receivers: Iterable[ids.DaemonId], each: change.Change
    ) -> None:
        message = peer_messages.ChangePushed(each)
        for peer in receivers:
            if peer != self._own.id:
                self._peers.send(peer, message)

    def _forward(self, each: change.Change) -> None:
        ranked = self._ranked_by_version(each.version)
        self._push(distribution.forward_targets(ranked, self._own.id), each)

    async def _on_push(
        self, sender: ids.DaemonId, message: peer_messages.ChangePushed
    ) -> None:
        outcome = self._apply_change(message.change, sender)
        self._put_in_force()
        if outcome is distribution.ApplyResult.ACCEPTED:
            self._forward(message.change)
        elif outcome is distribution.ApplyResult.GAP:
            self.on_peer_version(sender, message.change.version)

    async def _on_version(
        self, sender: ids.DaemonId, message: peer_messages.TableVersionIs
    ) -> None:
        self._peers.connect(sender, message.address)
        self.on_peer_version(sender, message.version)

    async def _on_pull(
        self, sender: ids.DaemonId, message: peer_messages.PullChanges
    ) -> peer_messages.Changes:
        version = self.local_tables.version
        if message.first_shard is not None:
            shards = self.local_tables.shards_from(message.first_shard)
            return peer_messages.Changes(version, (), shards)
        if message.after is None:
            return peer_messages.Changes(version)
        found = self.local_tables.changes_after(message.after)
        return peer_messages.Changes(version, found)

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step; an exception does not end the task."""
        while True:
            try:
                await step()
            except Exception:
                loguru.logger.exception("event=tables_step_failed")
                await asyncio.sleep(RETRY_S)

    async def _announce(self) -> None:
        await asyncio.sleep(ANNOUNCE_S * (0.9 + self._random.random() / 5))
        if not self.announces:
            return
        self._announce_round += 1
        message = peer_messages.TableVersionIs(
            self.local_tables.version, self._own.address
        )
        for peer in distribution.announce_targets(
            self._own.id,
            self._local_others(),
            self._remote_ids(),
            self._announce_round,
        ):
            self._peers.send(peer, message)

    async def _pull_later(
        self, peer: ids.DaemonId, version: ids.TableVersion
    ) -> None:
        try:
            await asyncio.sleep(PULL_DELAY_S * (0.5 + self._random.random()))
            if version > self.local_tables.version:
                await self._pull(peer)
        finally:
            self._pull_scheduled = False

    async def _pull(self, peer: ids.DaemonId) -> None:
        """Fetch and apply what a peer has beyond this daemon's version."""
        found = await table_pull.fetch_from_peer(
            self._peers, peer, self.local_tables.version
        )
        if found is not None:
            await self._apply_fetched(found, peer)

    async def _apply_fetched(
        self, found: table_pull.Fetched, origin: str
    ) -> None:
        if found.blobs:
            await self._apply_snapshot(found, origin)
        for each in found.changes:
            outcome = self._apply_change(each, origin)
            if outcome is distribution.ApplyResult.INVALID:
                break
            pushes = origin == _STORE and not self._starting
            if pushes and outcome is distribution.ApplyResult.ACCEPTED:
                ranked = self._ranked_by_version(each.version)
                self._push(distribution.push_targets(ranked), each)
                self._forward(each)
        # Once after all changes, so that no intermediate version is used.
        self._put_in_force()

    async def _apply_snapshot(
        self, found: table_pull.Fetched, origin: str
    ) -> None:
        loader = table_image.ImageLoader(found.version, found.blobs)
        try:
            # Loading all shards of 40,000 pools takes 0.9 s, in which the
            # daemon must keep serving statements.
            while loader.step():
                await asyncio.sleep(0)
        except ValueError as error:
            loguru.logger.error(
                "event=snapshot_refused id={} version={} from={} reason={!r}",
                self._own.id,
                found.version,
                origin,
                str(error),
            )
            return
        self.local_tables.install_snapshot(loader.image)

    async def _start(self) -> None:
        """Find the newest version before any is put in force."""
        found = await table_start.collect_versions(
            self._store, self._peers, self._peers_at_start, self._clock
        )
        self._min_version = found.version
        for _ in range(START_ROUNDS):
            for peer in found.peers_above(self.local_tables.version)[
                :START_SOURCES
            ]:
                await self._pull(peer)
            # If no peer has tables, the whole fleet is starting; then only
            # the watchers read the store.
            if found.head and (self.is_watcher or found.version_by_peer):
                if found.head.version > self.local_tables.version:
                    await self._catch_up(found.head)
            if self.local_tables.version >= found.version:
                break
        self._starting = False
        self._put_in_force()

    def _peers_at_start(self) -> list[ids.DaemonId]:
        return [*self._local_others(), *self._remote_ids()[:START_REMOTE]]

    async def _end_hold(self) -> None:
        """Put the held version in force if the newest is not available."""
        await asyncio.sleep(MAX_HOLD_S)
        self._min_version = 0
        self._put_in_force()

    async def _fallback_read(self) -> None:
        await asyncio.sleep(FALLBACK_READ_S * self._random.random())
        if self.local_tables.version:
            return
        read = await table_reader.read_head(self._store)
        head = read.value_or((None, 0))[0]
        if head is not None:
            await self._catch_up(head)

    async def _watch(self) -> None:
        if not self.is_watcher:
            await asyncio.sleep(WATCHER_POLL_S)
            return
        found = await self._store.watch(
            table_store.HEAD_KEY, self._revision, WATCH_TIMEOUT_S
        )
        item = found.value_or(None)
        if item is None:
            await asyncio.sleep(RETRY_S)
            return
        # A corrupt head is skipped; the watch waits for the next one.
        self._revision = item.revision
        head = table_store.decode_value(item.value, table_store.Head)
        if isinstance(head, result.Failure):
            loguru.logger.error(
                "event=store_value_corrupt key={} reason={!r}",
                item.key,
                head.failure(),
            )
        elif not await self._catch_up(head.unwrap()):
            self._revision = 0
            await asyncio.sleep(RETRY_S)

    async def _catch_up(self, head: table_store.Head) -> bool:
        """Bring the tables up to a head and push the new changes.

        Returns False if the store could not be read and must be tried again.

        """
        found = await table_pull.fetch_from_store(
            self._store, head, self.local_tables.version
        )
        if found is None:
            return False
        await self._apply_fetched(found, _STORE)
        return True

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
