"""Reads the messages of one client within its limits."""

import asyncio

from tornado import iostream

from burdockcart import clock
from burdockcart.connection.client_limits import memory_budget
from burdockcart.platform import client_limiter
from burdockcart.platform import wire

#: Bytes that are read at once, and that every client may have unhandled.
CHUNK_BYTES = 16 * 1024
#: Memory that a large message may need until it is answered, as a multiple of
#: its maximum size: the line, its text, the argument and the line for a
#: member.
COPIES = 4
LARGE_BYTES = COPIES * wire.MAX_MESSAGE_BYTES


class LineError(Exception):
    """A line that ends the connection."""


class LineTooLong(LineError):
    """A line over the maximum size."""


class LineTimeout(LineError):
    """A line whose end does not arrive."""


class NoMemory(Exception):
    """A line for which there is no memory; it was read to its end."""


class LineReader:
    """Reads lines; reads no further than the chunk in which one ends.

    Explanation
    ===========

    A line that is larger than a chunk waits for memory for one of the maximum
    size.  So a line that has begun never waits again, and lines in progress
    cannot block each other.  Without memory the rest of it is dropped.

    """

    def __init__(
        self,
        stream: iostream.IOStream,
        limiter: client_limiter.ClientLimiter,
        client: memory_budget.ClientNumber,
    ):
        self._stream = stream
        self._limiter = limiter
        self._client = client
        self._buffer = bytearray()
        self._clock = clock.LoopClock()
        #: Time at which data last arrived.
        self.received_at = self._clock.now()

    async def read(self) -> bytes:
        """Return the next line without its end.

        Raises
        ======

        LineTooLong, LineTimeout
            If the connection cannot go on.
        NoMemory
            If the line was dropped; the next one can be read.

        """
        line = self._take(0)
        if line is not None:
            # Lines that have arrived together must not keep other clients
            # waiting.
            await asyncio.sleep(0)
            return line
        if not self._buffer:
            await self._fill()
        try:
            async with asyncio.timeout(self._limiter.allowed.line_timeout_s):
                return await self._finish()
        except TimeoutError:
            self._buffer = bytearray()
            raise LineTimeout("the message does not end") from None

    async def _finish(self) -> bytes:
        """Return the line whose beginning is in the buffer."""
        found, seen = self._take(0), 0
        while found is None:
            if len(self._buffer) >= CHUNK_BYTES and not seen:
                if not await self._limiter.wait_for_memory(
                    self._client, LARGE_BYTES
                ):
                    await self._drop()
                    raise NoMemory()
            seen = len(self._buffer) - 1 if self._large else 0
            await self._fill()
            found = self._take(seen)
        return found

    @property
    def _large(self) -> bool:
        return len(self._buffer) >= CHUNK_BYTES

    async def _fill(self) -> None:
        data = await self._stream.read_bytes(CHUNK_BYTES, partial=True)
        self._buffer += data
        self.received_at = self._clock.now()

    def _take(self, start: int) -> bytes | None:
        """Return the line that ends in the buffer, if there is one."""
        end = self._buffer.find(wire.END, start)
        size = len(self._buffer) if end < 0 else end + len(wire.END)
        if size > wire.MAX_MESSAGE_BYTES:
            self._buffer = bytearray()
            raise LineTooLong("message over 1 MiB")
        if end < 0:
            return None
        line = bytes(memoryview(self._buffer)[:end])
        # A new buffer: a shortened one keeps its memory.
        self._buffer = self._buffer[size:]
        return line

    async def _drop(self) -> None:
        """Read to the end of a line and keep none of it."""
        size = 0
        while (end := self._buffer.find(wire.END)) < 0:
            size += len(self._buffer)
            if size > wire.MAX_MESSAGE_BYTES:
                self._buffer = bytearray()
                raise LineTooLong("message over 1 MiB")
            self._buffer = self._buffer[-1:]
            await self._fill()
        self._buffer = self._buffer[end + len(wire.END) :]
