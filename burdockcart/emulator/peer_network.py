"""In-memory links between daemons, with latency, cuts and frozen daemons."""

import asyncio
import collections
from typing import Callable

from burdockcart.connection import answer_timeout
from burdockcart.emulator import host_link
from burdockcart import ids
from burdockcart.process.peers import frames
from burdockcart.process.peers import tcp


class PeerNetwork:
    """Network that all daemons of a test share.

    Parameters
    ==========

    cut : set of pairs of DaemonId
        Pairs between which nothing arrives, in either direction.
    cuts_refuse : bool
        Whether new links across a cut are refused at once.
    frozen : set of DaemonId
        Daemons that handle nothing; what arrives waits.

    """

    def __init__(self, latency_s: float = 0.001):
        self.latency_s = latency_s
        self.cut: set[frozenset[ids.DaemonId]] = set()
        self.cuts_refuse = False
        self.frozen: set[ids.DaemonId] = set()
        self.peers_by_address: dict[str, "MemoryPeers"] = {}
        self.link_by_daemon: dict[ids.DaemonId, host_link.HostLink] = (
            collections.defaultdict(host_link.HostLink)
        )
        #: Frames that arrived, by sender and receiver.
        self.frames = 0
        self.bytes = 0

    def reachable(self, one: ids.DaemonId, other: ids.DaemonId) -> bool:
        """Return whether the network connects two daemons."""
        return frozenset((one, other)) not in self.cut


class MemoryLink:
    """One end of a link."""

    #: What is sent leaves at once.
    unsent = 0

    def __init__(
        self, network: PeerNetwork, own: ids.DaemonId, other: ids.DaemonId
    ):
        self._network = network
        self._own = own
        self._other = other
        self.peer: "MemoryLink"
        self.receiver: tcp.Receiver
        self.is_closed = False
        #: What was sent, with the time at which it has passed the host's link.
        self._inbox: asyncio.Queue[tuple[bytes | None, float]] = (
            asyncio.Queue()
        )
        self._pump = asyncio.create_task(self._deliver(), name="memory_link")

    def send(self, content: bytes) -> None:
        """Send content to the other end."""
        if not self.is_closed:
            self.peer._put(content)

    def close(self) -> None:
        """End the link on both sides."""
        for end in (self, self.peer):
            if not end.is_closed:
                end.is_closed = True
                end._put(None)

    def _put(self, content: bytes | None) -> None:
        link = self._network.link_by_daemon[self._own]
        self._inbox.put_nowait((content, link.arrival_at()))

    async def _deliver(self) -> None:
        while True:
            content, due_at = await self._inbox.get()
            await asyncio.sleep(self._network.latency_s)
            await host_link.until(due_at)
            while (
                not self._network.reachable(self._own, self._other)
                or self._own in self._network.frozen
            ):
                if content is None:
                    break
                await asyncio.sleep(0.01)
            if content is None:
                self.receiver.closed()
                return
            self._network.frames += 1
            self._network.bytes += len(content)
            try:
                self.receiver.received(content)
            except frames.FrameError:
                self.close()


class MemoryPeers:
    """One daemon's access to the network."""

    def __init__(self, network: PeerNetwork, daemon: ids.DaemonId):
        self._network = network
        self._daemon = daemon
        self.accept: Callable[[ids.DaemonId, tcp.Transport], tcp.Receiver]
        self._address: str | None = None
        self._links: list[MemoryLink] = []

    async def dial(
        self,
        daemon: ids.DaemonId,
        address: str,
        accept: Callable[[tcp.Transport], tcp.Receiver],
    ) -> tcp.Transport | None:
        """Open a link; None if the daemon is unreachable."""
        await asyncio.sleep(self._network.latency_s)
        found = self._network.peers_by_address.get(address)
        reachable = self._network.reachable(self._daemon, daemon)
        refuses = found is None if reachable else self._network.cuts_refuse
        if refuses:
            raise ConnectionRefusedError
        if found is not None and found._daemon != daemon:
            return None
        if found is None or daemon in self._network.frozen or not reachable:
            await asyncio.sleep(tcp.DIAL_TIMEOUT_S)
            return None
        try:
            async with answer_timeout.AnswerTimeout(tcp.DIAL_TIMEOUT_S):
                await self._network.link_by_daemon[self._daemon].arrive()
        except TimeoutError:
            return None
        own = MemoryLink(self._network, self._daemon, daemon)
        other = MemoryLink(self._network, daemon, self._daemon)
        own.peer, other.peer = other, own
        other.receiver = found.accept(self._daemon, other)
        own.receiver = accept(own)
        self._links.append(own)
        found._links.append(other)
        return own

    async def listen(
        self,
        address: str,
        accept: Callable[[ids.DaemonId, tcp.Transport], tcp.Receiver],
    ) -> None:
        """Accept links."""
        self._address = address
        self.accept = accept
        self._network.peers_by_address[address] = self

    def close_links(self) -> None:
        """Close all links."""
        for link in self._links:
            link.close()

    def stop(self) -> None:
        """Accept no more links and close all."""
        if self._address is not None:
            self._network.peers_by_address.pop(self._address, None)
        self.close_links()
