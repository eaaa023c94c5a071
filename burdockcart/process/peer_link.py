"""Outgoing link to another daemon, and the CURVE keys of the links."""

import asyncio
from typing import Any
from typing import Callable
from typing import cast

import loguru
import zmq
from zmq.eventloop import zmqstream

from burdockcart import ids
from burdockcart.process import metrics

#: Messages that may wait for a slow peer before new ones are refused.
HIGH_WATER_MARK = 1000
#: Must exceed the largest answer of a target, 8 MiB.
MAX_MESSAGE_BYTES = 9 * 1024 * 1024
HANDSHAKE_MS = 2000
RECONNECT_MS = 50
RECONNECT_MAX_MS = 1000
#: Detects a peer that vanished without closing the connection.
PING_MS = 10_000
#: Longest wait for a link to open before a message counts as not sent.
OPEN_WAIT_S = 0.25
OPEN_POLL_S = 0.005
#: A handshake takes a few milliseconds; if none succeeds for this long, the
#: peer may use another key. Two attempts fit into the 1.4 s after which a
#: daemon is suspected.
KEY_RETRY_S = 0.5


class PeerKeys:
    """CURVE keys that all daemons share.

    Explanation
    ===========

    The first key is used for new links; all keys are accepted.  Replacing a
    key takes three rolling restarts: add the new one at the end, move it to
    the front, remove the old one.

    Parameters
    ==========

    secrets : tuple of bytes
        Secret keys in Z85.

    """

    def __init__(self, secrets: tuple[bytes, ...]):
        self.secrets = secrets
        self.publics = tuple(zmq.curve_public(each) for each in secrets)


class KeyCheck:
    """Accepts the clients whose public keys are known."""

    def __init__(self, keys: PeerKeys, counters: metrics.Metrics):
        self._keys = keys
        self._metrics = counters

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with a public key may connect."""
        if key in self._keys.publics:
            return True
        self._metrics.count("peers.clients_refused")
        loguru.logger.warning("event=peer_refused key={}", key.decode())
        return False


def set_limits(socket: zmq.Socket) -> None:
    """Limit the memory and time that a peer can make this process use."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, PING_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_MS)


class PeerLink:
    """Outgoing link to one peer.

    Explanation
    ===========

    A message is handed to the socket only while the connection is
    established, so a message that could not be sent was not received.

    Parameters
    ==========

    source : str
        Own address, for the outgoing connection.
    address : str
        ``ip:port`` of the peer.
    on_answer : callable
        Called with the frames of each message from the peer.

    """

    def __init__(
        self,
        context: zmq.Context,
        own: ids.DaemonId,
        source: str,
        address: str,
        keys: PeerKeys | None,
        on_answer: Callable[[Any], None],
    ):
        self.address = address
        self.waiting = 0
        self._context = context
        self._own = own
        self._source = source
        self._keys = keys
        self._key_index = 0
        self._on_answer = on_answer
        self.used_at = self._opened_at = self._now()
        self._stream: zmqstream.ZMQStream | None = self._open()

    def send(self, data: bytes) -> bool:
        """Send now; return False if the link is not established."""
        stream = self._stream
        if stream is None:
            return False
        try:
            stream.socket.send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            sent = False
        else:
            sent, self.used_at = True, self._now()
        # Sending consumes the read event of answers that arrived meanwhile;
        # without the flush, the stream would leave them until the next one.
        events = cast(int, stream.socket.getsockopt(zmq.EVENTS))
        if events & zmq.POLLIN:
            stream.flush(zmq.POLLIN)
        if not sent:
            self._try_next_key()
        return sent

    async def deliver(self, data: bytes, timeout_s: float) -> bool:
        """Send once the link is established; return False on a timeout."""
        deadline = self._now() + min(timeout_s, OPEN_WAIT_S)
        while not self.send(data):
            if self._stream is None or self._now() >= deadline:
                return False
            await asyncio.sleep(OPEN_POLL_S)
        return True

    def close(self) -> None:
        """Close the link; messages still in the socket are dropped."""
        if self._stream is not None:
            self._stream.close(linger=0)
            self._stream = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _open(self) -> zmqstream.ZMQStream:
        socket = self._context.socket(zmq.DEALER)
        set_limits(socket)
        socket.setsockopt(zmq.IDENTITY, self._own.encode())
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        if self._keys is not None:
            server_key = self._keys.publics[self._key_index]
            socket.setsockopt(zmq.CURVE_SERVERKEY, server_key)
            socket.setsockopt(zmq.CURVE_PUBLICKEY, self._keys.publics[0])
            socket.setsockopt(zmq.CURVE_SECRETKEY, self._keys.secrets[0])
        socket.connect(f"tcp://{self._source}:0;{self.address}")
        stream = zmqstream.ZMQStream(socket)
        stream.on_recv(self._received)
        self._opened_at = self._now()
        return stream

    def _received(self, frames: Any) -> None:
        self.used_at = self._now()
        self._on_answer(frames)

    def _try_next_key(self) -> None:
        """Reopen the link with another key if the peer may have changed it."""
        keys = self._keys
        if keys is None or len(keys.publics) < 2 or self._stream is None:
            return
        idle_s = self._now() - max(self._opened_at, self.used_at)
        if idle_s < KEY_RETRY_S:
            return
        self._stream.close(linger=0)
        self._key_index = (self._key_index + 1) % len(keys.publics)
        self._stream = self._open()
