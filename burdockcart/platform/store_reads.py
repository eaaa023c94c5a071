"""Reads of the platform's store, each over a connection of its own.

Explanation
===========

The general HTTP client tells neither how much of an answer arrived before it
was given up nor when it began.  Both show what delays a read: a large answer,
a full link, or a store that does not answer.

"""

import asyncio
import enum
import socket
import time
from typing import Callable

import msgspec
from tornado import http1connection
from tornado import httputil
from tornado import iostream

CONNECT_TIMEOUT_S = 0.5
#: Longest time of a read whose answer goes on arriving, in seconds.
MAX_READ_S = 20.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class ReadOutcome(enum.Enum):
    """How a read ended."""

    COMPLETE = "complete"
    NO_ANSWER = "no answer"
    TOO_LONG = "too long"


class ReadCost(msgspec.Struct, frozen=True):
    """What a read cost.

    Parameters
    ==========

    path : str
        Path of the call, without its query.
    status : int
        Status of the answer; 0 without one.
    received : int
        Bytes of the body that arrived.
    length : int
        Bytes of the body by its header; 0 if it is not known.
    first_byte_s : float or None
        Time to the headers of the answer, in seconds.
    took_s : float
        Time to the end of the read, in seconds.

    """

    path: str
    outcome: ReadOutcome
    status: int
    received: int
    length: int
    first_byte_s: float | None
    took_s: float


class Answer(msgspec.Struct, frozen=True):
    """A complete answer of the store."""

    code: int
    headers: httputil.HTTPHeaders
    body: bytes


class _Receiver(httputil.HTTPMessageDelegate):
    """Collects an answer.

    Parameters
    ==========

    advanced : callable
        Called when a part of the answer has arrived.
    limit_bytes : int or None
        Longest body that is wanted.

    """

    def __init__(
        self, advanced: Callable[[], None], limit_bytes: int | None
    ) -> None:
        self._advanced = advanced
        self._limit_bytes = limit_bytes
        #: Connection on which the answer arrives.
        self.stream: iostream.IOStream
        self.code = 0
        self.headers = httputil.HTTPHeaders()
        self.body = bytearray()
        self.began_at: float | None = None
        self.complete = False

    @property
    def too_long(self) -> bool:
        """Whether the body is longer than wanted."""
        known = max(self.length, len(self.body))
        return self._limit_bytes is not None and known > self._limit_bytes

    @property
    def outcome(self) -> ReadOutcome:
        """How the read has ended."""
        if self.too_long:
            return ReadOutcome.TOO_LONG
        return ReadOutcome.COMPLETE if self.complete else ReadOutcome.NO_ANSWER

    @property
    def length(self) -> int:
        """Length of the body by its header; 0 if it is not known."""
        text = self.headers.get("Content-Length", "")
        return int(text) if text.isdecimal() else 0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Note the status and the headers."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.began_at = time.monotonic()
        self.code, self.headers = start_line.code, headers
        self._advance()

    def data_received(self, chunk: bytes) -> None:
        """Add a part of the body."""
        self.body += chunk
        self._advance()

    def _advance(self) -> None:
        if self.too_long:
            # The rest is not wanted, and would fill the link.
            self.stream.close()
        self._advanced()

    def finish(self) -> None:
        """Note that the whole body has arrived."""
        self.complete = True


async def read(
    address: str,
    path: str,
    silence_s: float,
    limit_bytes: int | None = None,
) -> tuple[Answer | None, ReadCost]:
    """Return the answer to a GET request, and its cost.

    The answer is None unless it has arrived completely in time.

    Parameters
    ==========

    address : str
        ``ip:port`` of the store.
    silence_s : float
        Longest time in which nothing of the answer arrives, in seconds.
    limit_bytes : int or None
        Longest body that is wanted; a longer one is given up as soon as its
        length is known.

    """
    sent_at = time.monotonic()
    timeout = asyncio.timeout(silence_s)
    ends_at = asyncio.get_running_loop().time() + MAX_READ_S

    def extend() -> None:
        now = asyncio.get_running_loop().time()
        timeout.reschedule(min(now + silence_s, ends_at))

    receiver = _Receiver(extend, limit_bytes)
    try:
        async with timeout:
            await _receive(address, path, receiver)
    except (TimeoutError, OSError, iostream.StreamClosedError):
        pass
    cost = ReadCost(
        path.partition("?")[0],
        receiver.outcome,
        receiver.code,
        len(receiver.body),
        receiver.length,
        None if receiver.began_at is None else receiver.began_at - sent_at,
        time.monotonic() - sent_at,
    )
    if cost.outcome is not ReadOutcome.COMPLETE:
        return None, cost
    body = bytes(receiver.body)
    return Answer(receiver.code, receiver.headers, body), cost


async def _receive(address: str, path: str, receiver: _Receiver) -> None:
    """Send a request and wait until its answer has ended."""
    host, _, port = address.rpartition(":")
    stream = iostream.IOStream(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM),
        max_buffer_size=MAX_ANSWER_BYTES,
    )
    receiver.stream = stream
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.connect((host, int(port)))
        connection = http1connection.HTTP1Connection(
            stream,
            is_client=True,
            params=http1connection.HTTP1ConnectionParameters(
                no_keep_alive=True, max_body_size=MAX_ANSWER_BYTES
            ),
        )
        await connection.write_headers(
            httputil.RequestStartLine("GET", path, "HTTP/1.1"),
            httputil.HTTPHeaders({"Host": address, "Connection": "close"}),
        )
        connection.finish()
        await connection.read_response(receiver)
    finally:
        stream.close()
