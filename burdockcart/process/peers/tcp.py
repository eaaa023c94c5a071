"""TCP connections of the links between daemons."""

import asyncio
import socket
from typing import Callable
from typing import Protocol

import loguru

from burdockcart.connection import answer_timeout
from burdockcart.connection import sockets
from burdockcart import ids
from burdockcart.process.peers import frames
from burdockcart.process.peers import link_memory

#: Timeout of opening a link, in seconds: two round trips between failure
#: domains, and a daemon whose loop is busy for some milliseconds.
DIAL_TIMEOUT_S = 0.15
#: Timeout of the greeting of an accepted connection, in seconds.
GREETING_TIMEOUT_S = 1.0
#: Accepted connections without a greeting; more are closed at once.
MAX_UNGREETED = 256
#: Unsent bytes of a link from which on it is closed: a peer that does not read
#: must not fill this daemon's memory.
MAX_UNSENT_BYTES = 8 * 1024 * 1024


class Receiver(Protocol):
    """Handles what arrives on a link."""

    def received(self, content: bytes) -> None:
        """Handle the content of a frame; raise FrameError to end the link."""

    def closed(self) -> None:
        """Handle the end of the link."""


class Transport(Protocol):
    """One end of a link."""

    @property
    def is_closed(self) -> bool:
        """Whether the link has ended."""

    @property
    def unsent(self) -> int:
        """Bytes that wait until the other side reads."""

    def send(self, content: bytes) -> None:
        """Send the content of a frame; nothing happens on a closed link."""

    def close(self) -> None:
        """End the link."""


class FrameProtocol(asyncio.Protocol):
    """Exchanges greetings, then frames.

    Parameters
    ==========

    fleet_key : callable
        Returns the key that all daemons share, or None if it is not known.
    accept : callable
        Called with the other daemon's greeting and this transport; returns
        the receiver of its frames.
    dials : bool
        Whether this side has opened the link; it greets first.

    """

    def __init__(
        self,
        own: frames.Greeting,
        fleet_key: Callable[[], bytes | None],
        accept: Callable[[frames.Greeting, "FrameProtocol"], Receiver],
        dials: bool,
        memory: link_memory.LinkMemory | None = None,
    ):
        self._dials = dials
        self._memory = memory or link_memory.LinkMemory()
        self._memory.add(self)
        self._own = own
        self._fleet_key = fleet_key
        self._accept = accept
        self._reader = frames.FrameReader()
        self._transport: asyncio.Transport | None = None
        self._sealer: frames.Sealer | None = None
        self._verifier: frames.Sealer | None = None
        self._receiver: Receiver | None = None
        #: Whether a frame with a valid MAC has arrived.
        self.verified = False
        #: Whether the connection was made and has ended.
        self.ended = False
        #: Resolves once the other side has greeted.
        self.greeted: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_closed(self) -> bool:
        """Whether the link has ended."""
        return self._transport is None or self._transport.is_closing()

    @property
    def unsent(self) -> int:
        """Bytes that wait until the other side reads."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def unverified_bytes(self) -> int:
        """Bytes of an incomplete frame while no valid frame has arrived."""
        if self.verified or self.is_closed:
            return 0
        return self._reader.buffered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting, if this side has opened the link."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._dials:
            transport.write(frames.encode_greeting(self._own))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; end the link if they are invalid."""
        try:
            for content, mac in self._reader.feed(data):
                if self._receiver is None:
                    self._greet(frames.read_greeting(content))
                else:
                    assert self._verifier is not None
                    self._verifier.verify(content, mac)
                    self.verified = True
                    self._receiver.received(content)
            if not self.verified:
                self._end(self._memory.most_unverified(self))
        except frames.FrameError as error:
            loguru.logger.warning(
                "event=peer_frame_refused error={!r}", str(error)
            )
            self.close()
        except Exception as error:  # noqa: B902 - one link must not end others
            loguru.logger.opt(exception=error).error("event=peer_link_failed")
            self.close()

    def _greet(self, other: frames.Greeting) -> None:
        key = self._fleet_key()
        if key is None:
            raise frames.FrameError("the fleet's key is not known yet")
        self._sealer = frames.Sealer(key, self._own.nonce, other.nonce)
        self._verifier = frames.Sealer(key, other.nonce, self._own.nonce)
        if not self._dials and self._transport is not None:
            self._transport.write(frames.encode_greeting(self._own))
        self._receiver = self._accept(other, self)
        if not self.greeted.done():
            self.greeted.set_result(None)

    def enable_dead_peer_detection(self) -> None:
        """End the link when the other host is lost."""
        assert self._transport is not None
        sockets.enable_dead_peer_detection(
            self._transport.get_extra_info("socket")
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the receiver that the link has ended."""
        self._transport = None
        self._reader = frames.FrameReader()
        self.ended = True
        if not self.greeted.done():
            self.greeted.cancel()
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.closed()

    def send(self, content: bytes) -> None:
        """Send the content of a frame."""
        if self._transport is None or self._sealer is None:
            return
        if self.unsent > MAX_UNSENT_BYTES:
            self._end(self)
        self._end(self._memory.most_unsent(self))
        if self.is_closed:
            return
        self._transport.write(
            frames.encode(content, self._sealer.seal(content))
        )

    def close(self) -> None:
        """End the link."""
        if self._transport is not None:
            self._transport.close()

    def _end(self, largest: link_memory.Link | None) -> None:
        """End the link that keeps too much, if there is one."""
        if largest is not None:
            loguru.logger.warning("event=peer_link_congested")
            largest.abort()

    def abort(self) -> None:
        """End the link without sending what is unsent."""
        if self._transport is not None:
            self._transport.abort()


class TcpPeers:
    """Opens and accepts links over TCP.

    Parameters
    ==========

    incarnation : str
        Random; differs for each start of the daemon.
    fleet_key : callable
        Returns the key that all daemons share, or None if it is not known.
    max_ungreeted : int
        Accepted connections without a greeting, and those without a valid
        frame; the oldest is closed for a new one.
    max_unsent_bytes : int
        Unsent bytes of all links together; the one with most is closed.
    count : callable
        Called with the port and the reason of each application of a limit.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        incarnation: str,
        fleet_key: Callable[[], bytes | None],
        max_ungreeted: int = MAX_UNGREETED,
        max_unsent_bytes: int = link_memory.MAX_UNSENT_BYTES,
        count: Callable[[str, str], None] = lambda port, reason: None,
    ):
        self._count = count
        self._max_ungreeted = max_ungreeted
        self._memory = link_memory.LinkMemory(max_unsent_bytes)
        self._daemon = daemon
        self._incarnation = incarnation
        self._fleet_key = fleet_key
        self._server: asyncio.Server | None = None
        #: In the order of acceptance.
        self._ungreeted: dict[FrameProtocol, None] = {}
        #: Links that have greeted, until their first valid frame.
        self._unverified: dict[FrameProtocol, None] = {}
        self._accepted: set[FrameProtocol] = set()

    async def dial(
        self,
        daemon: ids.DaemonId,
        address: str,
        accept: Callable[[Transport], Receiver],
    ) -> Transport | None:
        """Open a link to a daemon; None if it cannot be opened.

        Raises
        ======

        ConnectionRefusedError
            If no process listens there any more.

        """

        def check(other: frames.Greeting, link: FrameProtocol) -> Receiver:
            if other.daemon != daemon:
                raise frames.FrameError(
                    f"{address} is {other.daemon!r}, not {daemon!r}"
                )
            return accept(link)

        host, _, port = address.rpartition(":")
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        sockets.enable_dead_peer_detection(connection)
        loop = asyncio.get_running_loop()
        protocol = self._protocol(check, dials=True)
        try:
            async with answer_timeout.AnswerTimeout(DIAL_TIMEOUT_S):
                await loop.sock_connect(connection, (host, int(port)))
                await loop.create_connection(lambda: protocol, sock=connection)
                await protocol.greeted
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            protocol.close()
            connection.close()
            task = asyncio.current_task()
            if isinstance(error, asyncio.CancelledError) and (
                task is not None and task.cancelling()
            ):
                raise
            if isinstance(error, ConnectionRefusedError):
                raise
            return None
        return protocol

    async def listen(
        self,
        address: str,
        accept: Callable[[ids.DaemonId, Transport], Receiver],
    ) -> None:
        """Accept links on ``ip:port``."""

        def accepted(other: frames.Greeting, link: FrameProtocol) -> Receiver:
            self._ungreeted.pop(link, None)
            self._accepted.add(link)
            self._unverified[link] = None
            self._unverified = self._close_oldest(self._unverified)
            link.enable_dead_peer_detection()
            return accept(other.daemon, link)

        def protocol() -> FrameProtocol:
            link = self._protocol(accepted, dials=False)
            self._ungreeted[link] = None
            # The transport exists from the next iteration on.
            asyncio.get_running_loop().call_soon(self._limit_ungreeted)
            asyncio.get_running_loop().call_later(
                GREETING_TIMEOUT_S, self._close_ungreeted, link
            )
            return link

        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            protocol, host, int(port), family=socket.AF_INET
        )

    def _protocol(
        self,
        accept: Callable[[frames.Greeting, FrameProtocol], Receiver],
        dials: bool,
    ) -> FrameProtocol:
        own = frames.greeting(self._daemon, self._incarnation)
        return FrameProtocol(own, self._fleet_key, accept, dials, self._memory)

    def _limit_ungreeted(self) -> None:
        self._ungreeted = self._close_oldest(self._ungreeted)

    def _close_oldest(
        self, links: dict[FrameProtocol, None]
    ) -> dict[FrameProtocol, None]:
        """Close the oldest links over the limit; return those that count."""
        open_links = [
            each for each in links if not (each.ended or each.verified)
        ]
        excess = max(len(open_links) - self._max_ungreeted, 0)
        for link in open_links[:excess]:
            self._count("link", "connections")
            loguru.logger.info(
                "event=client_limited port=link reason=connections "
                "action=closed"
            )
            link.abort()
        return dict.fromkeys(open_links[excess:])

    def _close_ungreeted(self, link: FrameProtocol) -> None:
        if link in self._ungreeted:
            self._ungreeted.pop(link, None)
            link.close()
        self._accepted = {
            each for each in self._accepted if not each.is_closed
        }

    def stop(self) -> None:
        """Close the listening socket and all accepted links."""
        if self._server is not None:
            self._server.close()
        self.close_links()

    def close_links(self) -> None:
        """Close all accepted links."""
        for link in self._accepted | self._ungreeted.keys():
            link.close()
