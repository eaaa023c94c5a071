"""Finds the newest version of the tables for a daemon that starts."""

import asyncio
import dataclasses
from typing import Callable
from typing import Iterable

from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import store_client
from burdockcart.process import table_pull
from burdockcart.process import table_reader
from burdockcart.version import table_store

#: A starting daemon waits this long for peers and store before it uses the
#: newest version that it found; the store's own timeout is 2 s.
START_S = 2.5
START_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class AvailableVersions:
    """Versions that peers and the store have.

    ``head`` is None if the store has no tables or can't be read; peers
    without tables are left out.
    """

    head: table_store.Head | None
    version_by_peer: dict[ids.DaemonId, int]

    @property
    def version(self) -> int:
        """Return the newest version of all."""
        stored = self.head.version if self.head else 0
        return max([stored, *self.version_by_peer.values()])

    def peers_above(self, version: int) -> list[ids.DaemonId]:
        """Return the peers that have a newer version, newest first."""
        by_version = sorted(
            self.version_by_peer.items(), key=lambda item: -item[1]
        )
        return [peer for peer, found in by_version if found > version]


async def collect_versions(
    store: store_client.Store,
    peers: peer_transport.Peers,
    others: Callable[[], Iterable[ids.DaemonId]],
    time: clock.Clock,
) -> AvailableVersions:
    """Ask the store and all peers for their versions.

    Explanation
    ===========

    The list of hosts may arrive later than the answer of the store, so
    ``others`` is called again until a peer has answered, the store has no
    tables, or the time is up.

    """
    deadline = time.now() + START_S
    head = asyncio.create_task(table_reader.read_head(store))
    asked: dict[ids.DaemonId, asyncio.Task[int]] = {}
    while time.now() < deadline:
        for peer in set(others()) - set(asked):
            asked[peer] = asyncio.create_task(_version_of(peers, peer))
        await asyncio.sleep(START_POLL_S)
        answered = all(task.done() for task in asked.values())
        no_tables = head.done() and head.result() == result.Success((None, 0))
        if head.done() and answered and (asked or no_tables):
            break
    found = head.result().value_or((None, 0))[0] if head.done() else None
    versions = {
        peer: task.result() for peer, task in asked.items() if task.done()
    }
    for task in (head, *asked.values()):
        task.cancel()
    return AvailableVersions(found, {p: v for p, v in versions.items() if v})


async def _version_of(peers: peer_transport.Peers, peer: ids.DaemonId) -> int:
    question = peer_messages.PullChanges(None)
    answer = await table_pull.ask(peers, peer, question)
    return answer.version if answer is not None else 0
