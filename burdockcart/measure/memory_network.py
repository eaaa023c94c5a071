"""In-memory edges for measures with hundreds of daemons in one process.

Explanation
===========

Messages are encoded and decoded by the codec of the real links, so that
their sizes and the work for them are real; only the sockets are left out.
The store is the emulated platform's with its rates and faults.
"""

import asyncio
import collections
import itertools
from typing import Any
from typing import Callable

import msgspec
from returns import result

from burdockcart.emulator import platform
from burdockcart.emulator import store as emulated_store
from burdockcart import ids
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import store_client

_Fault = store_client.StoreFault
WATCH_POLL_S = 0.5


class Network:
    """Links between the daemons and to the store.

    Parameters
    ==========

    one_way_s : float
        Latency between failure domains, in seconds.

    """

    def __init__(self, one_way_s: float):
        self.one_way_s = one_way_s
        self.partitioned_domains: set[str] = set()
        self.domain_by_daemon: dict[ids.DaemonId, str] = {}
        self.peers_by_daemon: dict[ids.DaemonId, MemoryPeers] = {}
        self.messages_by_type: collections.Counter[str] = collections.Counter()
        self.bytes_by_type: collections.Counter[str] = collections.Counter()

    def delay_s(self, source: ids.DaemonId, to: ids.DaemonId) -> float | None:
        """Return the latency between two daemons; None if they are cut."""
        one, other = self.domain_by_daemon[source], self.domain_by_daemon[to]
        if one == other:
            return 0.0
        if {one, other} & self.partitioned_domains:
            return None
        return self.one_way_s


class MemoryPeers:
    """Links of one daemon to the others."""

    def __init__(self, own: ids.DaemonId, network: Network):
        self._own = own
        self._network = network
        self._handler_by_type: dict[type, peer_transport.Handler] = {}
        self._waiting_by_serial: dict[int, asyncio.Future[Any]] = {}
        self._serials = itertools.count(1)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(peer_messages.Envelope)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_requests(self) -> int:
        """Return the number of messages that are being handled."""
        return len(self._tasks)

    def start(self) -> None:
        """Take messages of the other daemons."""
        self._network.peers_by_daemon[self._own] = self

    def stop(self) -> None:
        """Take no more messages."""
        self._network.peers_by_daemon.pop(self._own, None)
        for task in self._tasks:
            task.cancel()

    def on(self, message_type: type, handler: peer_transport.Handler) -> None:
        """Register the handler of a message type."""
        self._handler_by_type[message_type] = handler

    def connect(self, peer: ids.DaemonId, address: str) -> None:
        """Do nothing; every daemon is known."""

    def disconnect(self, peer: ids.DaemonId) -> None:
        """Do nothing; every daemon is known."""

    def send(self, peer: ids.DaemonId, body: peer_messages.Message) -> bool:
        """Send a message without answer."""
        return self._send(peer, 0, False, body)

    async def request(
        self,
        peer: ids.DaemonId,
        body: peer_messages.Message,
        timeout_s: float,
    ) -> peer_transport.Reply:
        """Send a request and wait for its answer."""
        serial = next(self._serials)
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_serial[serial] = future
        try:
            if not self._send(peer, serial, False, body):
                return result.Failure(peer_transport.PeerFault.NOT_SENT)
            answer = await asyncio.wait_for(future, timeout_s)
            return result.Success(answer)
        except asyncio.TimeoutError:
            return result.Failure(peer_transport.PeerFault.NO_ANSWER)
        finally:
            self._waiting_by_serial.pop(serial, None)

    def _send(
        self, peer: ids.DaemonId, serial: int, answers: bool, body: Any
    ) -> bool:
        if peer not in self._network.peers_by_daemon:
            return False
        envelope = peer_messages.Envelope(self._own, serial, answers, body)
        data = self._encoder.encode(envelope)
        name = type(body).__name__
        self._network.messages_by_type[name] += 1
        self._network.bytes_by_type[name] += len(data)
        delay = self._network.delay_s(self._own, peer)
        if delay is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._arrive, peer, data)
        return True

    def _arrive(self, peer: ids.DaemonId, data: bytes) -> None:
        other = self._network.peers_by_daemon.get(peer)
        if other is not None:
            other.receive(data)

    def receive(self, data: bytes) -> None:
        """Handle a message of another daemon."""
        envelope = self._decoder.decode(data)
        if envelope.answers:
            future = self._waiting_by_serial.get(envelope.serial)
            if future is not None and not future.done():
                future.set_result(envelope.body)
            return
        task = asyncio.get_running_loop().create_task(self._handle(envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, envelope: peer_messages.Envelope) -> None:
        handler = self._handler_by_type[type(envelope.body)]
        answer = await handler(envelope.sender, envelope.body)
        if answer is not None and envelope.serial:
            self._send(envelope.sender, envelope.serial, True, answer)


class SharedStore:
    """The emulated store with its rates, faults and counted calls."""

    def __init__(self) -> None:
        self.platform = platform.Platform()
        self.hosts: list[store_client.Host] = []

    def fault(self, limit: platform.RateLimit, call: str) -> _Fault | None:
        """Count a call and return why it fails, or None."""
        self.platform.count(call)
        if self.platform.faults.outage:
            return _Fault.NO_ANSWER
        now = asyncio.get_running_loop().time()
        return None if limit.take(now) else _Fault.RATE_EXCEEDED


class MemoryStore:
    """The platform's service as one daemon or the operator reaches it.

    Parameters
    ==========

    cut : callable
        Returns whether the store can't be reached.

    """

    def __init__(
        self, shared: SharedStore, name: str, cut: Callable[[], bool]
    ):
        self._shared = shared
        self._name = name
        self._cut = cut

    def _call(
        self, kind: str, make: Callable[[emulated_store.Store, float], Any]
    ) -> result.Result[Any, _Fault]:
        served = self._shared.platform
        limit = served.writes if kind == "write" else served.reads
        if self._cut():
            return result.Failure(_Fault.NO_ANSWER)
        fault = self._shared.fault(limit, f"{self._name}-{kind}")
        if fault is not None:
            return result.Failure(fault)
        now = asyncio.get_running_loop().time()
        try:
            return result.Success(make(served.store, now))
        except emulated_store.Conflict:
            return result.Failure(_Fault.CONFLICT)

    async def get(self, key: str) -> result.Result[store_client.Item, _Fault]:
        """Return the item of a key."""
        await asyncio.sleep(0)
        found = self._call("read", lambda kv, now: kv.get(key, now))
        return found.bind(lambda item: _item(key, item))

    async def put(
        self, key: str, value: str, expected: int | None
    ) -> result.Result[store_client.Item, _Fault]:
        """Write a key if its revision is ``expected``; 0 for a new key."""
        await asyncio.sleep(0)
        if len(value) > platform.MAX_VALUE_BYTES:
            return result.Failure(_Fault.TOO_LARGE)
        found = self._call(
            "write", lambda kv, now: kv.put(key, value, expected, now)
        )
        return found.bind(lambda item: _item(key, item))

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> result.Result[store_client.Item, _Fault]:
        """Wait for a revision higher than ``after``; MISSING if none."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        found = self._call("watch", lambda kv, now: kv.get(key, now))
        while isinstance(found, result.Success):
            item = found.unwrap()
            if item is not None and item.revision > after:
                return _item(key, item)
            left = until - loop.time()
            if left <= 0:
                return result.Failure(_Fault.MISSING)
            kv = self._shared.platform.store
            try:
                await asyncio.wait_for(
                    kv.changed.wait(), min(left, WATCH_POLL_S)
                )
            except asyncio.TimeoutError:
                pass
            if self._cut() or self._shared.platform.faults.outage:
                return result.Failure(_Fault.NO_ANSWER)
            found = result.Success(kv.get(key, loop.time()))
        return found

    async def list_prefix(
        self, prefix: str
    ) -> result.Result[list[store_client.Item], _Fault]:
        """Return the items whose keys start with a prefix."""
        await asyncio.sleep(0)
        found = self._call("read", lambda kv, now: kv.list(prefix, now))
        return found.map(
            lambda items: [
                store_client.Item(key, item.value, item.revision)
                for key, item in items.items()
            ]
        )

    async def delete(self, key: str) -> result.Result[None, _Fault]:
        """Remove a key; it may be missing."""
        await asyncio.sleep(0)
        return self._call("write", lambda kv, now: kv.delete(key, now))

    async def hosts(self) -> result.Result[list[store_client.Host], _Fault]:
        """Return the list of hosts."""
        await asyncio.sleep(0)
        return self._call("hosts", lambda kv, now: list(self._shared.hosts))


def _item(key: str, item: Any) -> result.Result[store_client.Item, _Fault]:
    if item is None:
        return result.Failure(_Fault.MISSING)
    return result.Success(store_client.Item(key, item.value, item.revision))
