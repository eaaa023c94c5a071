"""Links to the other daemons over pyzmq."""

import asyncio
import enum
import functools
import itertools
import operator
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import cast
from typing import Protocol

import loguru
import msgspec
from returns import result
import zmq
from zmq.auth import asyncio as auth_asyncio
from zmq.eventloop import zmqstream
from zmq.utils import monitor

from burdockcart import ids
from burdockcart.process import metrics
from burdockcart.process import peer_link
from burdockcart.process import peer_messages

#: Messages of peers that are handled at a time.
MAX_HANDLED = 10_000
#: Messages that wait for links to open.
MAX_WAITING = 1000
ZAP_DOMAIN = "peers"
#: A refused key is logged by the check of the key.
MONITORED: dict[int, str] = {
    zmq.EVENT_DISCONNECTED: "peer_disconnected",
    zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL: "peer_handshake_failed",
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL: "peer_handshake_failed",
}
OTHER_EVENT = "peer_link_event"
IDLE_CLOSE_S = 30.0
IDLE_POLL_S = 5.0
#: Peers that a caller of ``connect`` can make known.
MAX_PEERS = 20_000


class PeerFault(enum.Enum):
    """Why a request to a peer has no answer."""

    NOT_SENT = "not sent"
    NO_ANSWER = "no answer"


Handler = Callable[
    [ids.DaemonId, Any], Awaitable[peer_messages.Message | None]
]
Reply = result.Result[Any, PeerFault]


class Peers(Protocol):
    """Sends messages to other daemons and hands theirs to handlers.

    ``open_requests`` counts the messages of peers that are being handled.
    """

    @property
    def open_requests(self) -> int:
        """Return the number of messages that are being handled."""

    def start(self) -> None:
        """Open the socket that other daemons connect to."""

    def stop(self) -> None:
        """Close all sockets; requests that wait get NO_ANSWER."""

    def on(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type."""

    async def request(
        self,
        peer: ids.DaemonId,
        body: peer_messages.Message,
        timeout_s: float,
    ) -> Reply:
        """Send a request and wait for its answer."""

    def send(self, peer: ids.DaemonId, body: peer_messages.Message) -> bool:
        """Send a message without answer; return False if not sent."""

    def connect(self, peer: ids.DaemonId, address: str) -> None:
        """Make a peer known under its address."""

    def disconnect(self, peer: ids.DaemonId) -> None:
        """Close the link to a peer."""


class ZmqPeers:
    """Peers over ROUTER and DEALER sockets.

    Explanation
    ===========

    A daemon binds one ROUTER socket and connects one DEALER to each peer it
    talks to; an answer returns on the link that brought the request.
    Messages are sent only on an established connection, so a message that
    could not be sent was certainly not received.

    Parameters
    ==========

    own : DaemonId
        Id of this daemon; messages to it are delivered without a socket.
    address : str
        ``ip:port`` to bind to; the port may be ``*``.
    keys : PeerKeys or None
        Keys for encryption and authentication; None for neither.

    """

    def __init__(
        self,
        own: ids.DaemonId,
        address: str,
        keys: peer_link.PeerKeys | None = None,
        counters: metrics.Metrics | None = None,
    ):
        self.own = own
        self.bytes_sent = 0
        self.messages_sent = 0
        self._address = address
        self._keys = keys
        self._metrics = counters or metrics.Metrics()
        self._context = zmq.Context()
        self._context.setsockopt(zmq.MAX_SOCKETS, 60_000)
        self._authenticator: auth_asyncio.AsyncioAuthenticator | None = None
        self._handler_by_type: dict[type, Handler] = {}
        self._link_by_peer: dict[ids.DaemonId, peer_link.PeerLink] = {}
        self._address_by_peer: dict[ids.DaemonId, str] = {}
        self._waiting_by_serial: dict[int, asyncio.Future[Any]] = {}
        self._serials = itertools.count(1)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(peer_messages.Envelope)
        self._tasks: set[asyncio.Task[None]] = set()
        self._deliveries: set[asyncio.Task[bool]] = set()
        self._idle_closer: asyncio.Task[None] | None = None
        self._router: zmqstream.ZMQStream | None = None
        self._monitor: zmqstream.ZMQStream | None = None

    @property
    def open_requests(self) -> int:
        """Return the number of messages that are being handled."""
        return len(self._tasks)

    @property
    def open_links(self) -> int:
        """Return the number of outgoing links."""
        return len(self._link_by_peer)

    def start(self) -> None:
        """Bind the socket that other daemons connect to."""
        socket = self._context.socket(zmq.ROUTER)
        peer_link.set_limits(socket)
        socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        if self._keys is not None:
            self._authenticate(socket, self._keys)
        events = functools.reduce(operator.or_, MONITORED)
        self._monitor = zmqstream.ZMQStream(socket.get_monitor_socket(events))
        self._monitor.on_recv(self._on_event)
        socket.bind(f"tcp://{self._address}")
        bound = cast(bytes, socket.getsockopt(zmq.LAST_ENDPOINT))
        self._address = bound.decode().removeprefix("tcp://")
        self._router = zmqstream.ZMQStream(socket)
        self._router.on_recv(self._on_request)
        self._idle_closer = asyncio.create_task(self._close_idle())

    @property
    def address(self) -> str:
        """Return the address that the socket is bound to."""
        return self._address

    def stop(self) -> None:
        """Close all sockets; requests that wait get NO_ANSWER."""
        if self._idle_closer is not None:
            self._idle_closer.cancel()
        for task in [*self._deliveries, *self._tasks]:
            task.cancel()
        for peer in list(self._address_by_peer):
            self.disconnect(peer)
        if self._router and self._monitor:
            self._router.socket.disable_monitor()
            self._monitor.close(linger=0)
            self._router.close(linger=200)
        for future in self._waiting_by_serial.values():
            if not future.done():
                future.set_result(None)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=200)

    def _authenticate(
        self, socket: zmq.Socket, keys: peer_link.PeerKeys
    ) -> None:
        self._authenticator = auth_asyncio.AsyncioAuthenticator(self._context)
        self._authenticator.start()
        checker = peer_link.KeyCheck(keys, self._metrics)
        self._authenticator.configure_curve_callback(ZAP_DOMAIN, checker)
        socket.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN.encode())
        socket.setsockopt(zmq.CURVE_SERVER, 1)
        socket.setsockopt(zmq.CURVE_SECRETKEY, keys.secrets[0])

    def on(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handler_by_type[message_type] = handler

    def connect(self, peer: ids.DaemonId, address: str) -> None:
        """Make a peer known; its link opens when it is needed."""
        if peer == self.own or self._address_by_peer.get(peer) == address:
            return
        self.disconnect(peer)
        if len(self._address_by_peer) < MAX_PEERS:
            self._address_by_peer[peer] = address

    def disconnect(self, peer: ids.DaemonId) -> None:
        """Close the link to a peer."""
        self._address_by_peer.pop(peer, None)
        link = self._link_by_peer.pop(peer, None)
        if link is not None:
            link.close()

    def send(self, peer: ids.DaemonId, body: peer_messages.Message) -> bool:
        """Send a message without answer; return False if not sent.

        A message for a link that is about to open waits a short time.
        """
        if peer == self.own:
            self._spawn(self._handle(None, peer, 0, body))
            return True
        link = self._link(peer)
        if link is None:
            return False
        data = self._encode(0, False, body)
        if link.send(data):
            return True
        if len(self._deliveries) >= MAX_WAITING:
            self._metrics.count("peers.messages_not_sent")
            return False
        task = asyncio.create_task(link.deliver(data, peer_link.OPEN_WAIT_S))
        self._deliveries.add(task)
        task.add_done_callback(self._deliveries.discard)
        return True

    def _link(self, peer: ids.DaemonId) -> peer_link.PeerLink | None:
        link = self._link_by_peer.get(peer)
        address = self._address_by_peer.get(peer)
        if link is None and address is not None:
            source = self._address.rsplit(":", 1)[0]
            link = self._link_by_peer[peer] = peer_link.PeerLink(
                self._context,
                self.own,
                source,
                address,
                self._keys,
                self._on_answer,
            )
        return link

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(IDLE_POLL_S)
            self.close_idle(asyncio.get_running_loop().time())

    def close_idle(self, now: float) -> None:
        """Close the links that were not used for IDLE_CLOSE_S."""
        for peer, link in list(self._link_by_peer.items()):
            if not link.waiting and now - link.used_at > IDLE_CLOSE_S:
                self._link_by_peer.pop(peer).close()
        self._metrics.gauge("peers.links", len(self._link_by_peer))

    async def request(
        self,
        peer: ids.DaemonId,
        body: peer_messages.Message,
        timeout_s: float,
    ) -> Reply:
        """Send a request and wait for its answer."""
        if peer == self.own:
            handler = self._handler_by_type[type(body)]
            return result.Success(await handler(peer, body))
        link = self._link(peer)
        if link is None:
            return result.Failure(PeerFault.NOT_SENT)
        serial = next(self._serials)
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        future = loop.create_future()
        self._waiting_by_serial[serial] = future
        link.waiting += 1
        try:
            data = self._encode(serial, False, body)
            if not await link.deliver(data, timeout_s):
                return result.Failure(PeerFault.NOT_SENT)
            left_s = max(until - loop.time(), 0)
            answer = await asyncio.wait_for(future, left_s)
        except asyncio.TimeoutError:
            return result.Failure(PeerFault.NO_ANSWER)
        finally:
            link.waiting -= 1
            self._waiting_by_serial.pop(serial, None)
        if answer is None:
            return result.Failure(PeerFault.NO_ANSWER)
        return result.Success(answer)

    def _encode(
        self, serial: int, answers: bool, body: peer_messages.Message
    ) -> bytes:
        envelope = peer_messages.Envelope(
            self.own,
            serial,
            answers,
            cast(peer_messages.AnyMessage, body),
        )
        data = self._encoder.encode(envelope)
        self.bytes_sent += len(data)
        self.messages_sent += 1
        return data

    def _decode(self, data: bytes) -> peer_messages.Envelope | None:
        try:
            return self._decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            self._metrics.count("peers.messages_invalid")
            loguru.logger.warning(
                "event=peer_message_invalid id={} bytes={} error={!r}",
                self.own,
                len(data),
                str(error),
            )
            return None

    def _on_event(self, frames: list[bytes]) -> None:
        event = monitor.parse_monitor_message(frames)["event"]
        name = MONITORED.get(event, OTHER_EVENT)
        self._metrics.count(f"peers.{name}")
        loguru.logger.info("event={} id={} number={}", name, self.own, event)

    def _on_request(self, frames: list[bytes]) -> None:
        identity, data = frames[0], frames[-1]
        envelope = self._decode(data)
        if envelope is None or envelope.answers:
            return
        if len(self._tasks) >= MAX_HANDLED:
            self._metrics.count("peers.messages_dropped")
            return
        self._spawn(
            self._handle(
                identity, envelope.sender, envelope.serial, envelope.body
            )
        )

    def _on_answer(self, frames: list[bytes]) -> None:
        envelope = self._decode(frames[-1])
        if envelope is None or not envelope.answers:
            return
        future = self._waiting_by_serial.get(envelope.serial)
        if future is not None and not future.done():
            future.set_result(envelope.body)

    async def _handle(
        self,
        identity: bytes | None,
        sender: ids.DaemonId,
        serial: int,
        body: Any,
    ) -> None:
        handler = self._handler_by_type.get(type(body))
        if handler is None:
            return
        try:
            answer = await handler(sender, body)
        except Exception:
            loguru.logger.exception(
                "event=peer_message_failed type={}", type(body).__name__
            )
            return
        if answer is None or identity is None or not serial:
            return
        if self._router is not None and not self._router.closed():
            data = self._encode(serial, True, answer)
            self._router.send_multipart([identity, data])

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
