"""Authenticated frames between two daemons.

Explanation
===========

A link starts with a greeting from each side, which carries a random nonce.
Both nonces and the fleet's key give one session key for each direction.  Every
later frame carries a MAC over its number and its content, so a frame that was
altered, repeated, reordered or taken from another link ends the link.

"""

import hashlib
import hmac
import secrets
import struct

import msgspec

from burdockcart import ids

#: Length of a frame's content, in bytes, followed by its MAC.
_HEADER = struct.Struct("!I12s")
_NUMBER = struct.Struct("!Q")
MAC_BYTES = 12
NONCE_BYTES = 16
#: Maximum size of a frame, in bytes: a statement of the maximum size of a
#: client's message, its argument, the values and the shape of its session
#: (session_names.MAX_BYTES), and the fields around them.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Maximum size of the first frame, which is not authenticated.
MAX_GREETING_BYTES = 512
#: Changes with each incompatible change of the messages.
PROTOCOL_VERSION = 2


class FrameError(Exception):
    """Bytes that are no valid frame of this link."""


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """First frame of each side.

    Parameters
    ==========

    incarnation : str
        Random; differs for each start of a daemon.

    """

    version: int
    daemon: ids.DaemonId
    incarnation: str
    nonce: bytes


def greeting(daemon: ids.DaemonId, incarnation: str) -> Greeting:
    """Return a greeting with a new nonce."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return Greeting(PROTOCOL_VERSION, daemon, incarnation, nonce)


def encode_greeting(sent: Greeting) -> bytes:
    """Return the first frame of a link; its MAC is zero."""
    content = msgspec.msgpack.encode(sent)
    return _HEADER.pack(len(content), bytes(MAC_BYTES)) + content


def read_greeting(content: bytes) -> Greeting:
    """Decode the first frame of a link.

    Raises
    ======

    FrameError
        If it is no greeting of this version.

    """
    try:
        received = msgspec.msgpack.decode(content, type=Greeting)
    except msgspec.MsgspecError as error:
        raise FrameError(f"invalid greeting: {error}") from None
    if received.version != PROTOCOL_VERSION:
        raise FrameError(f"unknown protocol version {received.version}")
    if len(received.nonce) != NONCE_BYTES:
        raise FrameError(f"nonce of {len(received.nonce)} bytes")
    return received


class Sealer:
    """Computes the MACs of the frames of one direction.

    Parameters
    ==========

    fleet_key : bytes
        Key that all daemons share.
    sender, receiver : bytes
        Nonces of both sides.

    Examples
    ========

    >>> from burdockcart.process.peers import frames
    >>> sender = frames.Sealer(b"key", b"nonce-a", b"nonce-b")
    >>> receiver = frames.Sealer(b"key", b"nonce-a", b"nonce-b")
    >>> mac = sender.seal(b"content")
    >>> receiver.verify(b"content", mac)
    >>> receiver.verify(b"content", mac)
    Traceback (most recent call last):
    ...
    burdockcart.process.peers.frames.FrameError: wrong MAC of frame 1

    """

    def __init__(self, fleet_key: bytes, sender: bytes, receiver: bytes):
        key = hashlib.blake2b(
            sender + receiver, key=fleet_key[:64], digest_size=32
        )
        self._key = key.digest()
        self._number = 0

    def seal(self, content: bytes) -> bytes:
        """Return the MAC of the next frame."""
        mac = hashlib.blake2b(
            _NUMBER.pack(self._number), key=self._key, digest_size=MAC_BYTES
        )
        mac.update(content)
        self._number += 1
        return mac.digest()

    def verify(self, content: bytes, mac: bytes) -> None:
        """Check the MAC of the next frame.

        Raises
        ======

        FrameError
            If the content was altered, repeated or reordered, or if the
            sender has another key.

        """
        number = self._number
        if not hmac.compare_digest(self.seal(content), mac):
            raise FrameError(f"wrong MAC of frame {number}")


def encode(content: bytes, mac: bytes) -> bytes:
    """Return a frame."""
    return _HEADER.pack(len(content), mac) + content


class FrameReader:
    """Splits received bytes into frames.

    Examples
    ========

    >>> from burdockcart.process.peers import frames
    >>> reader = frames.FrameReader()
    >>> data = b"".join(
    ...     frames.encode(content, bytes(12)) for content in (b"one", b"2"))
    >>> list(reader.feed(data[:5])), [c for c, _ in reader.feed(data[5:])]
    ([], [b'one', b'2'])

    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        #: Maximum size of a frame; small until the greeting was received.
        self.limit = MAX_GREETING_BYTES

    @property
    def buffered(self) -> int:
        """Bytes of the frame that is incomplete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[tuple[bytes, bytes]]:
        """Return the frames that are complete now: content and MAC.

        Raises
        ======

        FrameError
            If a frame is larger than allowed.

        """
        self._buffer += data
        found = []
        while len(self._buffer) >= _HEADER.size:
            length, mac = _HEADER.unpack_from(self._buffer)
            if length > self.limit:
                raise FrameError(f"frame of {length} bytes")
            end = _HEADER.size + length
            if len(self._buffer) < end:
                break
            found.append((bytes(self._buffer[_HEADER.size : end]), mac))
            del self._buffer[:end]
            if self.limit == MAX_GREETING_BYTES:
                self.limit = MAX_FRAME_BYTES
        return found
