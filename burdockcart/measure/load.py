"""Open-loop load over real sockets, with histograms of the latency."""

import asyncio
import dataclasses
import gc
import json
import random
from typing import Any
from typing import Callable
from typing import Iterable
from typing import Iterator

from hdrh import histogram
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from burdockcart.connection import caller_server
from burdockcart.emulator import deployment

#: Time beyond the deadline after which the caller gives up.
PATIENCE_S = 0.3
HISTOGRAM_MAX_US = 120_000_000
HISTOGRAM_DIGITS = 3


@dataclasses.dataclass(frozen=True)
class PlannedRequest:
    """One request and the time of its arrival, from the start of the run."""

    at: float
    daemon: str
    caller: str
    body: dict[str, Any]
    deadline_s: float = 2.0


@dataclasses.dataclass
class Outcome:
    """What became of a shot; times are those of the loop.

    ``status`` is 0 if the caller gave up.  ``planned_at`` is the time of
    the arrival, so a generator that falls behind adds to the latency;
    ``sent_at`` shows by how much.
    """

    request: PlannedRequest
    planned_at: float
    ended_at: float
    status: int
    answer: dict[str, Any]
    sent_at: float = 0.0

    @property
    def latency_s(self) -> float:
        """Return the time from the planned arrival to the answer."""
        return self.ended_at - self.planned_at

    @property
    def in_time(self) -> bool:
        """Return whether the request was answered within its deadline."""
        return self.status == 200 and self.latency_s <= self.request.deadline_s

    @property
    def refused(self) -> bool:
        """Return whether the request was refused as not run."""
        return self.answer.get("effect") == "not run"


def poisson(
    source: random.Random, rate: float, start: float, end: float
) -> Iterator[float]:
    """Yield the times of independent arrivals."""
    at = start
    while (at := at + source.expovariate(rate)) < end:
        yield at


class _Reader(httputil.HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.chunks: list[bytes] = []

    def headers_received(self, start_line: Any, headers: Any) -> None:
        self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)


class Caller:
    """Connections to the daemons, kept open between requests."""

    def __init__(self, url: Callable[[str], str]):
        self._url = url
        #: Further servers by name, beside the daemons.
        self.addresses: dict[str, str] = {}
        self._client = tcpclient.TCPClient()
        self._idle: dict[str, list[iostream.IOStream]] = {}
        self._parameters = http1connection.HTTP1ConnectionParameters()

    async def send(
        self, daemon: str, caller: str, body: dict[str, Any], timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and body of the answer; 0 if none came."""
        stream = None
        try:
            async with asyncio.timeout(timeout_s):
                stream = await self._stream(daemon)
                status, data = await self._exchange(stream, caller, body)
        except (asyncio.TimeoutError, OSError, iostream.StreamClosedError):
            if stream is not None:
                stream.close()
            return 0, {}
        if not stream.closed():
            self._idle[daemon].append(stream)
        return status, json.loads(data) if data[:1] == b"{" else {}

    def close(self) -> None:
        """Close all idle connections."""
        for streams in self._idle.values():
            for stream in streams:
                stream.close()

    def _address(self, daemon: str) -> str:
        return self.addresses.get(daemon) or self._url(daemon)

    async def _stream(self, daemon: str) -> iostream.IOStream:
        idle = self._idle.setdefault(daemon, [])
        while idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
        host, port = self._address(daemon).removeprefix("http://").split(":")
        stream = await self._client.connect(host, int(port))
        stream.set_nodelay(True)
        return stream

    async def _exchange(
        self, stream: iostream.IOStream, caller: str, body: dict[str, Any]
    ) -> tuple[int, bytes]:
        connection = http1connection.HTTP1Connection(
            stream, True, self._parameters
        )
        data = json.dumps(body).encode()
        headers = httputil.HTTPHeaders(
            {
                "Host": "proxy",
                "Authorization": f"Bearer {deployment.SECRET}-{caller}",
                "Content-Type": "application/json",
                "Content-Length": str(len(data)),
            }
        )
        line = httputil.RequestStartLine(
            "POST", caller_server.STATEMENTS_PATH, "HTTP/1.1"
        )
        connection.write_headers(line, headers, data)
        connection.finish()
        reader = _Reader()
        await connection.read_response(reader)
        return reader.status, b"".join(reader.chunks)


async def run(
    caller: Caller, shots: Iterable[PlannedRequest]
) -> list[Outcome]:
    """Send each shot at its time, whatever became of the earlier ones."""
    # A full collection over the modules of the plots stops the generator
    # for about 50 ms.
    gc.collect()
    gc.freeze()
    loop = asyncio.get_running_loop()
    start = loop.time() + 0.05

    async def send(request: PlannedRequest) -> Outcome:
        sent_at = loop.time()
        status, answer = await caller.send(
            request.daemon,
            request.caller,
            request.body,
            request.deadline_s + PATIENCE_S,
        )
        return Outcome(
            request, start + request.at, loop.time(), status, answer, sent_at
        )

    tasks = []
    for request in sorted(shots, key=lambda each: each.at):
        await asyncio.sleep(max(start + request.at - loop.time(), 0.0))
        tasks.append(asyncio.create_task(send(request)))
    return list(await asyncio.gather(*tasks))


def latencies(outcomes: Iterable[Outcome]) -> histogram.HdrHistogram:
    """Return the histogram of latencies, in microseconds."""
    values = histogram.HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    for each in outcomes:
        values.record_value(max(int(each.latency_s * 1e6), 1))
    return values


def percentile_ms(values: histogram.HdrHistogram, percent: float) -> float:
    """Return a percentile of a histogram in milliseconds."""
    return float(values.get_value_at_percentile(percent)) / 1000
