"""Tests that messages of clients are read within their limits."""

import asyncio

import testtools

from burdockcart.connection.client_limits import limits
from burdockcart.connection.client_limits import memory_budget
from burdockcart.platform import client_limiter
from burdockcart.platform import line_reader
from burdockcart.tests import virtual_time

LARGE = b"x" * 900_000


class Stream:
    """Returns pieces of data, and then nothing more."""

    def __init__(self, data):
        self.data = data
        self.read = 0

    async def read_bytes(self, num_bytes, partial):
        """Return the next piece."""
        piece, self.data = self.data[:num_bytes], self.data[num_bytes:]
        if not piece:
            await asyncio.Event().wait()
        self.read += len(piece)
        return piece


def play(data, check):
    """Run a check with a reader, its stream and its limiter."""

    async def whole():
        limiter = client_limiter.ClientLimiter(limits.derive(200, 4300))
        stream = Stream(data)
        client = memory_budget.ClientNumber(1)
        reader = line_reader.LineReader(stream, limiter, client)
        await check(reader, stream, limiter)

    virtual_time.run(whole())


def fill(limiter):
    """Let another client use all memory."""
    other = memory_budget.ClientNumber(2)
    size = limiter.allowed.memory_bytes
    limiter.budget.hold(other, memory_budget.Use.MESSAGE, size)


class TestLineReader(testtools.TestCase):
    """Lines of one client."""

    def test_lines_at_once(self):
        """Lines that arrive together must be read one after the other."""

        async def check(reader, stream, limiter):
            found = [await reader.read() for _ in range(3)]
            self.assertEqual([b"a", b"", LARGE], found)

        play(b"a\r\n\r\n" + LARGE + b"\r\n", check)

    def test_no_read_ahead(self):
        """Pipelined lines must stay in the kernel until their turn."""

        async def check(reader, stream, limiter):
            await reader.read()
            self.assertEqual(line_reader.CHUNK_BYTES, stream.read)

        play(b"line\r\n" * 100_000, check)

    def test_large_line_is_accounted(self):
        """A large line must hold memory for its copies."""

        async def check(reader, stream, limiter):
            await reader.read()
            self.assertEqual(line_reader.LARGE_BYTES, limiter.budget.used)

        play(LARGE + b"\r\n", check)

    def test_line_without_memory_is_dropped(self):
        """A session must go on after a line for which there is no memory."""

        async def check(reader, stream, limiter):
            fill(limiter)
            try:
                await reader.read()
                self.fail("read without memory")
            except line_reader.NoMemory:
                pass
            self.assertEqual(b"small", await reader.read())

        play(LARGE + b"\r\nsmall\r\n", check)

    def test_line_over_the_limit(self):
        """A line over 1 MiB must be refused, with and without an end."""

        async def check(reader, stream, limiter):
            try:
                await reader.read()
                self.fail("read too long a line")
            except line_reader.LineTooLong:
                self.assertLess(stream.read, 2 * len(LARGE))

        play(LARGE + LARGE + b"\r\n", check)
        play(LARGE * 9, check)

    def test_line_without_end(self):
        """A line that stops must end the connection."""

        async def check(reader, stream, limiter):
            try:
                await reader.read()
                self.fail("read half a line")
            except line_reader.LineTimeout:
                pass

        play(b"QUERY", check)
