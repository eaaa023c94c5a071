"""Fleet tasks of many daemons in one process, over loopback links."""

import asyncio
import random
import time

import zmq

from burdockcart import clock
from burdockcart import ids
from burdockcart.process import executors
from burdockcart.process import fleet
from burdockcart.process import peer_link
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import store_client

DOMAINS = ("d1", "d2", "d3")
SETTLE_LIMIT_S = 15.0
#: Bytes that ZMTP and CURVE add to a message: frame header, command name,
#: nonce, flags and authentication tag.  TCP and IP headers are not counted.
FRAMING_BYTES = 35


class _PartitionedPeers(peer_transport.ZmqPeers):
    """Transport that drops messages to daemons across a partition."""

    unreachable: frozenset[str] = frozenset()

    def send(self, peer: ids.DaemonId, body: peer_messages.Message) -> bool:
        return peer not in self.unreachable and super().send(peer, body)

    async def request(
        self,
        peer: ids.DaemonId,
        body: peer_messages.Message,
        timeout_s: float,
    ) -> peer_transport.Reply:
        # Both sides drop their requests, so no answer crosses a partition.
        receiver = ids.DaemonId("") if peer in self.unreachable else peer
        return await super().request(receiver, body, timeout_s)


class Bench:
    """Daemons that run membership only."""

    def __init__(self, count: int, seed: int):
        self._random = random.Random(seed)
        self._keys = peer_link.PeerKeys((zmq.curve_keypair()[1],))
        self.names = [f"daemon-{n:03d}" for n in range(count)]
        self.peers: dict[str, _PartitionedPeers] = {}
        self.fleets: dict[str, fleet.Fleet] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._sent_by_stopped = (0, 0)

    def start(self, names: list[str]) -> None:
        """Start daemons and give all running ones the new host list."""
        for name in names:
            peers = _PartitionedPeers(
                ids.DaemonId(name), "127.0.0.1:*", self._keys
            )
            peers.start()
            domain = DOMAINS[self.names.index(name) % len(DOMAINS)]
            own = executors.Daemon(
                ids.DaemonId(name), ids.DomainName(domain), peers.address
            )
            generator = random.Random(self._random.random())
            running = fleet.Fleet(own, peers, clock.LoopClock(), generator)
            self.peers[name], self.fleets[name] = peers, running
            self._tasks[name] = asyncio.create_task(running.run())
        hosts = [
            store_client.Host(d.id, "daemon", d.domain, d.address, "live")
            for d in (each.state.own for each in self.fleets.values())
        ]
        for each in self.fleets.values():
            each.use_list(hosts)

    def stop(self, names: list[str]) -> None:
        """Stop daemons without notice to the others."""
        for name in names:
            self._tasks.pop(name).cancel()
            self.fleets.pop(name).stop()
            peers = self.peers.pop(name)
            self._sent_by_stopped = (
                self._sent_by_stopped[0] + peers.bytes_sent,
                self._sent_by_stopped[1] + peers.messages_sent,
            )
            peers.stop()

    def partition(self, domain: str | None) -> None:
        """Partition a failure domain from the others; None heals it."""
        inside = {
            name
            for n, name in enumerate(self.names)
            if DOMAINS[n % len(DOMAINS)] == domain
        }
        outside = set(self.names) - inside
        for name, peers in self.peers.items():
            other_side = outside if name in inside else inside
            peers.unreachable = frozenset(other_side if domain else ())

    def converged(self, expected: set[str]) -> bool:
        """Return whether these daemons use exactly each other."""
        return all(
            set(each.daemon_by_id) == expected
            for name, each in self.fleets.items()
            if name in expected
        )

    async def wait_converged(self, expected: set[str]) -> float:
        """Return the time until the daemons have converged."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not self.converged(expected):
            if loop.time() - start > SETTLE_LIMIT_S:
                return float("inf")
            await asyncio.sleep(0.02)
        return loop.time() - start

    def sent(self) -> tuple[int, int]:
        """Return bytes and messages sent by all daemons so far."""
        bytes_sent = sum(each.bytes_sent for each in self.peers.values())
        count = sum(each.messages_sent for each in self.peers.values())
        bytes_sent, count = (
            bytes_sent + self._sent_by_stopped[0],
            count + self._sent_by_stopped[1],
        )
        return bytes_sent + count * FRAMING_BYTES, count

    async def cost(self, window_s: float) -> tuple[float, float, float]:
        """Return the core share and bytes/s per daemon, and message size."""
        loop = asyncio.get_running_loop()
        cpu, at, sent = time.process_time(), loop.time(), self.sent()
        await asyncio.sleep(window_s)
        passed, now = loop.time() - at, self.sent()
        count = len(self.names)
        core = (time.process_time() - cpu) / passed / count
        rate = (now[0] - sent[0]) / passed / count
        return core, rate, (now[0] - sent[0]) / max(now[1] - sent[1], 1)
