"""Replication of the ids of non-repeatable requests between daemons."""

import asyncio
import itertools
from typing import Any

import msgspec

from burdockcart import clock
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import executors
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.request import registry

#: Daemons that were live within this many seconds are asked for their ids.
RECENTLY_LIVE_S = 10.0
LIST_TIMEOUT_S = 0.3
REGISTER_TIMEOUT_S = 0.1
#: Seconds before daemons that did not answer are asked again.
LIST_RETRY_S = 0.2
OBSERVE_INTERVAL_S = 1.0
#: Ids per message of a leaving daemon, about 100 KB.
TRANSFER_BATCH_SIZE = 1000

_Kind = errors.ErrorKind


class _IdQuery(msgspec.Struct):
    """Progress of a primary's new executor in collecting a group's ids."""

    epoch: Any
    unanswered: set[ids.DaemonId]
    since: float
    asked_at: float
    task: asyncio.Task[None] | None = None
    overflowed: bool = False


def _key(message: peer_messages.Execute) -> registry.Key:
    return registry.Key(message.group, message.caller, message.request_id)


class RequestIds:
    """Owns the request id registry of this daemon.

    Explanation
    ===========

    Invariant: a non-repeatable request is sent to a target only after this
    daemon has claimed its id and a second daemon holds a copy.  A daemon
    without live peers needs no second copy.

    """

    def __init__(
        self,
        own: ids.DaemonId,
        directory: executors.Directory,
        peers: peer_transport.Peers,
        time: clock.Clock,
    ):
        self._own = own
        self._directory = directory
        self._peers = peers
        self._clock = time
        self.registry = registry.RequestIdRegistry()
        self._live_at: dict[ids.DaemonId, float] = {}
        self._query_by_group: dict[ids.GroupId, _IdQuery] = {}
        peers.on(peer_messages.RegisterRequest, self._on_register)
        peers.on(peer_messages.ListRequests, self._on_list)
        peers.on(peer_messages.RequestList, self._on_transferred_ids)

    async def watch(self) -> None:
        """Record which daemons are live, to ask them for ids later."""
        while True:
            self._observe()
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    def transfer_ids(self) -> None:
        """Send all ids to a live daemon before this one leaves."""
        successor = next(iter(self._directory.others()), None)
        if successor is None:
            return
        held = iter(self.registry.held(None, self._clock.now()))
        while batch := tuple(itertools.islice(held, TRANSFER_BATCH_SIZE)):
            self._peers.send(successor, peer_messages.RequestList(batch))

    def copy(self, message: peer_messages.Execute) -> registry.Verdict:
        """Store the id of a request that this daemon forwards."""
        now = self._clock.now()
        return self.registry.copy(_key(message), message.submission, now)

    def release(self, message: peer_messages.Execute) -> None:
        """Drop the id of a request that is known not to have run."""
        self.registry.release(_key(message), message.submission)

    def record(self, message: peer_messages.Execute, answer: Any) -> None:
        """Keep the answer for later submissions of the same id."""
        self.registry.record(_key(message), message.submission, answer)

    def recorded(self, message: peer_messages.Execute) -> Any:
        """Return the recorded answer to an id, or None."""
        return self.registry.answer(_key(message))

    async def claim(
        self, message: peer_messages.Execute, epoch: Any
    ) -> errors.Failure | None:
        """Claim a request for one run; return why it may not run, or None.

        Parameters
        ==========

        epoch : object
            Changes whenever this daemon becomes the executor of a primary;
            it then first asks the other daemons for their ids.

        """
        query = await self._query_peers(
            message.group, epoch, message.deadline_ms / 1000
        )
        pending = query.unanswered.intersection(self._directory.others())
        if pending:
            # A live daemon may be the only one that still holds the id.
            text = f"{sorted(pending)} did not list their request ids yet"
            return errors.Failure(_Kind.NO_PRIMARY, text)
        complete = not query.unanswered and not query.overflowed
        key, now = _key(message), self._clock.now()
        if message.known:
            return _unknown("the entry knows the request id")
        if message.attempt > 1 and not complete:
            return _unknown("not every daemon was asked for the request id")
        verdict = self.registry.claim(key, message.submission, now)
        if verdict is registry.Verdict.FULL:
            text = f"{len(self.registry)} request ids are held"
            return errors.Failure(_Kind.OVERLOADED, text)
        if verdict is registry.Verdict.KNOWN:
            return _unknown("the request id was used before")
        return None

    async def hold_on_peer(
        self, sender: ids.DaemonId, message: peer_messages.Execute
    ) -> errors.Failure | None:
        """Place a copy of the id on a second daemon; return a failure if none.

        A peer that holds the id from another submission also counts: this
        daemon's claim decides which submission runs.

        """
        if sender != self._own:
            return None
        others = self._directory.others()
        held = registry.Held(_key(message), message.submission, 0)
        for peer in others[:2]:
            reply = await self._peers.request(
                peer, peer_messages.RegisterRequest(held), REGISTER_TIMEOUT_S
            )
            answer = reply.value_or(None)
            if not isinstance(answer, peer_messages.RequestRegistered):
                continue
            if answer.verdict is not registry.Verdict.FULL:
                return None
        if not others:
            return None
        text = "no second daemon holds the request id"
        return errors.Failure(_Kind.OVERLOADED, text)

    def release_everywhere(
        self, sender: ids.DaemonId, message: peer_messages.Execute
    ) -> None:
        """Drop the id here and where :meth:`hold_on_peer` placed it."""
        self.release(message)
        if sender == self._own:
            held = registry.Held(_key(message), message.submission, 0)
            for peer in self._directory.others()[:2]:
                self._peers.send(
                    peer, peer_messages.RegisterRequest(held, release=True)
                )

    def _observe(self) -> None:
        now = self._clock.now()
        for daemon in self._directory.others():
            self._live_at[daemon] = now
        self._live_at = {
            daemon: at
            for daemon, at in self._live_at.items()
            if now - at <= RECENTLY_LIVE_S
        }

    async def _query_peers(
        self, group: ids.GroupId, epoch: Any, timeout_s: float
    ) -> _IdQuery:
        """Ask the daemons that have not answered yet for their ids."""
        self._observe()
        now = self._clock.now()
        query = self._query_by_group.get(group)
        if query is None or query.epoch != epoch:
            query = _IdQuery(epoch, set(self._live_at), now, now)
            query.task = asyncio.create_task(self._ask(group, query))
            self._query_by_group[group] = query
        elif query.task is None and now - query.asked_at > LIST_RETRY_S:
            query.asked_at = now
            query.task = asyncio.create_task(self._ask(group, query))
        if query.task is not None:
            # Waits no longer than the entry, so that the answer reaches it.
            await asyncio.wait({query.task}, timeout=timeout_s)
        if now - query.since > registry.KEEP_S:
            query.unanswered.clear()
        return query

    async def _ask(self, group: ids.GroupId, query: _IdQuery) -> None:
        asked = list(query.unanswered)
        replies = await asyncio.gather(
            *(
                self._peers.request(
                    peer, peer_messages.ListRequests(group), LIST_TIMEOUT_S
                )
                for peer in asked
            )
        )
        now = self._clock.now()
        for peer, reply in zip(asked, replies):
            answer = reply.value_or(None)
            if isinstance(answer, peer_messages.RequestList):
                query.unanswered.discard(peer)
                if not self.registry.merge(answer.held, now):
                    query.overflowed = True
        query.task = None

    async def _on_register(
        self, sender: ids.DaemonId, message: peer_messages.RegisterRequest
    ) -> peer_messages.RequestRegistered:
        held = message.held
        if message.release:
            self.registry.release_copy(held.key, held.submission)
            return peer_messages.RequestRegistered(registry.Verdict.ACCEPTED)
        verdict = self.registry.copy_or_mark_conflict(
            held.key, held.submission, self._clock.now()
        )
        return peer_messages.RequestRegistered(verdict)

    async def _on_list(
        self, sender: ids.DaemonId, message: peer_messages.ListRequests
    ) -> peer_messages.RequestList:
        held = self.registry.held(message.group, self._clock.now())
        return peer_messages.RequestList(tuple(held))

    async def _on_transferred_ids(
        self, sender: ids.DaemonId, message: peer_messages.RequestList
    ) -> None:
        self.registry.merge(message.held, self._clock.now())


def _unknown(reason: str) -> errors.Failure:
    return errors.Failure(_Kind.OUTCOME_UNKNOWN, reason)
