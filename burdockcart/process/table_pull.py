"""Fetches changes or shards of the tables from a peer or the store."""

import asyncio
import dataclasses

import loguru
from returns import result

from burdockcart import ids
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import store_client
from burdockcart.process import table_reader
from burdockcart.version import change
from burdockcart.version import table_image
from burdockcart.version import table_store

PULL_TIMEOUT_S = 1.0
#: Up to this many records are read one by one; if more are missing, all
#: shards are read instead.
MAX_RECORDS_READ = 32


@dataclasses.dataclass(frozen=True)
class Fetched:
    """Changes or shards that lead to ``version``.

    ``blobs`` holds all encoded shards at that version, or is empty.
    """

    version: ids.TableVersion
    changes: tuple[change.Change, ...] = ()
    blobs: tuple[bytes, ...] = ()


async def ask(
    peers: peer_transport.Peers,
    peer: ids.DaemonId,
    question: peer_messages.PullChanges,
) -> peer_messages.Changes | None:
    """Return a peer's answer, or None."""
    reply = await peers.request(peer, question, PULL_TIMEOUT_S)
    answer = reply.value_or(None)
    return answer if isinstance(answer, peer_messages.Changes) else None


async def fetch_from_peer(
    peers: peer_transport.Peers, peer: ids.DaemonId, after: ids.TableVersion
) -> Fetched | None:
    """Return what a peer has after a version, or None if nothing new."""
    answer = await ask(peers, peer, peer_messages.PullChanges(after))
    if answer is None or answer.version <= after:
        return None
    if answer.changes is not None:
        return Fetched(answer.version, answer.changes)
    version = answer.version
    blobs: list[bytes] = []
    while len(blobs) < table_store.SHARDS:
        question = peer_messages.PullChanges(None, len(blobs))
        answer = await ask(peers, peer, question)
        # All shards must be of one version.  If it changed in between, the
        # next announcement starts another pull.
        if answer is None or answer.version != version or not answer.shards:
            return None
        blobs += answer.shards
    return Fetched(version, (), tuple(blobs))


async def fetch_from_store(
    store: store_client.Store, head: table_store.Head, before: ids.TableVersion
) -> Fetched | None:
    """Return what brings ``before`` up to a head, or None if unreadable."""
    if head.change.parent in (before, change.EMPTY.version):
        return Fetched(head.version, (head.change,))
    missing = range(before + 1, head.version)
    if len(missing) > MAX_RECORDS_READ or not before:
        return await _all_shards(store)
    changes = []
    for version in missing:
        read = await table_reader.read_change(store, version)
        if isinstance(read, result.Failure):
            return await _all_shards(store)
        changes.append(read.unwrap())
    return Fetched(head.version, (*changes, head.change))


async def _all_shards(store: store_client.Store) -> Fetched | None:
    read = await table_reader.read_snapshot(store)
    folded = read.bind(lambda snapshot: snapshot.folded())
    if isinstance(folded, result.Failure):
        loguru.logger.warning(
            "event=tables_not_read reason={!r}", folded.failure()
        )
        return None
    blobs = []
    for number in range(table_store.SHARDS):
        blobs.append(table_image.encode_shard(folded.unwrap()[number]))
        await asyncio.sleep(0)
    return Fetched(read.unwrap().version, (), tuple(blobs))
