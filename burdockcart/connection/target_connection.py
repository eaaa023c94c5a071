"""Connection to a member over HTTP/1.1 with JSON bodies."""

import asyncio
import enum
from typing import Any
from typing import Protocol

import msgspec
from returns import result
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

MAX_ANSWER_BYTES = 8 * 1024 * 1024


class TargetFault(enum.Enum):
    """Why a request to a member has no answer."""

    NOT_SENT = "not sent"
    NO_ANSWER = "no answer"


Reply = result.Result[dict[str, Any], TargetFault]


class TargetConnection(Protocol):
    """One connection to a member; carries one request at a time."""

    async def request(
        self, path: str, body: dict[str, Any] | None, timeout_s: float
    ) -> Reply:
        """Send a request and return the whole answer."""

    def close(self) -> None:
        """Close the connection; an answer that is under way is lost."""

    @property
    def closed(self) -> bool:
        """Return whether the connection can no longer be used."""


class Connector(Protocol):
    """Opens connections to members."""

    async def connect(
        self, address: str, timeout_s: float
    ) -> TargetConnection | None:
        """Return a new connection, or None if it can't be opened."""


class _Collector(httputil.HTTPMessageDelegate):
    """Gathers one response."""

    def __init__(self) -> None:
        self.code = 0
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(self, start_line: Any, headers: Any) -> None:
        self.code = start_line.code

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.complete = True


class HttpTargetConnection:
    """HTTP/1.1 connection that stays open between requests.

    Explanation
    ===========

    After a timeout, a cut answer or a cancelled request the connection is
    closed, so a late answer can never be taken for that of a later request.

    """

    def __init__(self, stream: iostream.IOStream, host: str):
        self._stream = stream
        self._host = host
        self._decoder = msgspec.json.Decoder(dict[str, Any])
        self._encoder = msgspec.json.Encoder()

    @property
    def closed(self) -> bool:
        """Return whether the connection can no longer be used."""
        return self._stream.closed()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    async def request(
        self, path: str, body: dict[str, Any] | None, timeout_s: float
    ) -> Reply:
        """Send a request and return the whole answer."""
        if self._stream.closed():
            return result.Failure(TargetFault.NOT_SENT)
        collector = _Collector()
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(path, body, collector)
        except (asyncio.TimeoutError, iostream.StreamClosedError, OSError):
            self.close()
            return result.Failure(TargetFault.NO_ANSWER)
        except asyncio.CancelledError:
            self.close()
            raise
        if not collector.complete or collector.code != 200:
            self.close()
            return result.Failure(TargetFault.NO_ANSWER)
        try:
            return result.Success(
                self._decoder.decode(b"".join(collector.chunks))
            )
        except msgspec.MsgspecError:
            self.close()
            return result.Failure(TargetFault.NO_ANSWER)

    async def _exchange(
        self, path: str, body: dict[str, Any] | None, collector: _Collector
    ) -> None:
        connection = http1connection.HTTP1Connection(
            self._stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                max_body_size=MAX_ANSWER_BYTES
            ),
        )
        data = b"" if body is None else self._encoder.encode(body)
        headers = httputil.HTTPHeaders({"Host": self._host})
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(data))
        method = "GET" if body is None else "POST"
        line = httputil.RequestStartLine(method, path, "HTTP/1.1")
        connection.write_headers(line, headers, data or None)
        connection.finish()
        await connection.read_response(collector)


class HttpConnector:
    """Opens HTTP/1.1 connections from this daemon's own address."""

    def __init__(self, source_ip: str):
        self._source_ip = source_ip
        self._client = tcpclient.TCPClient()

    async def connect(
        self, address: str, timeout_s: float
    ) -> TargetConnection | None:
        """Return a new connection, or None if it can't be opened."""
        host, port = address.rsplit(":", 1)
        try:
            stream = await self._client.connect(
                host, int(port), source_ip=self._source_ip, timeout=timeout_s
            )
        except (OSError, asyncio.TimeoutError, iostream.StreamClosedError):
            return None
        stream.set_nodelay(True)
        return HttpTargetConnection(stream, address)
