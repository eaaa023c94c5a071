"""Tests a daemon process beside clients that keep to no limit."""

import asyncio
import itertools

from burdockcart.platform.tests import crowded_daemon

MIB = crowded_daemon.MIB
#: Clients whose messages of 1 MiB exceed the memory of the host together.
CROWD = 240
#: The same for clients of which the daemon keeps several copies.
SMALL_CROWD = 100
#: Statements that one client sends without reading the answers.
PIPELINED = 4000
NEVER_S = 3600


def line(size, word=b"WRITE a "):
    """Return a legal statement of a size, in bytes, with its end."""
    start = b"QUERY q1 " + word
    return start + b"x" * (size - len(start) - 2) + b"\r\n"


#: Largest write that leaves room for what a member needs with it.
LEGAL = line(MIB - 64)


class TestMessages(crowded_daemon.CrowdedDaemonCase):
    """Clients that send large messages, or parts of them."""

    def test_incomplete_statements(self):
        """Statements without an end must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            await crowded_daemon.send(writer, LEGAL[:-100])
            await asyncio.sleep(NEVER_S)

        self.crowd("client", CROWD, work, 3.0)

    def test_incomplete_first_messages(self):
        """First messages without an end must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.send(writer, b"STARTUP live1 " + LEGAL[:-100])
            await asyncio.sleep(NEVER_S)

        self.crowd("client", CROWD, work)

    def test_large_statements_at_once(self):
        """Large legal statements at once must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            await crowded_daemon.send(writer, LEGAL, MIB)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", CROWD, work, 3.0)

    def test_large_statements_in_pieces(self):
        """Large legal statements in pieces must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            for each in range(0, len(LEGAL), 8192):
                writer.write(LEGAL[each : each + 8192])
                await writer.drain()
                await asyncio.sleep(0)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", CROWD, work, 3.0)

    def test_endless_lines(self):
        """A line far over the limit must not be kept."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            for _ in range(16):
                await crowded_daemon.send(writer, b"x" * MIB)

        self.crowd("client", SMALL_CROWD, work, 2.0)

    def test_lines_over_the_limit(self):
        """A line of four times the limit must not be kept, with its end."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            await crowded_daemon.send(writer, line(4 * MIB))
            await asyncio.sleep(NEVER_S)

        self.crowd("client", SMALL_CROWD, work, 2.0)

    def test_one_large_statement_is_served(self):
        """A message within the limit must be served without a crowd."""

        async def act(daemon):
            text = b"WRITE a " + b"x" * (MIB - 200)
            lines = await daemon.request(text=text)
            self.assertTrue(lines[0].startswith(b"COMPLETE"), lines)
            await self.check(daemon)

        self.play(act)


class TestAnswers(crowded_daemon.CrowdedDaemonCase):
    """Clients that do not read their answers."""

    def test_pipelined_reads(self):
        """Clients that read no answer must not keep new ones out."""
        reads = b"".join(
            b"QUERY q%d READ a\r\n" % number for number in range(PIPELINED)
        )

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            await crowded_daemon.send(writer, reads)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", SMALL_CROWD, work, 3.0)

    def test_pipelined_large_writes(self):
        """Large statements behind each other must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            for _ in range(8):
                await crowded_daemon.send(writer, LEGAL)

        self.crowd("client", SMALL_CROWD, work, 3.0)

    def test_unread_large_rows(self):
        """Answers that nobody reads must not fill the memory."""

        async def work(reader, writer):
            writer.transport.pause_reading()
            writer.write(crowded_daemon.STARTUP)
            writer.write(b"QUERY q1 READ large-90x16000-a\r\n" * 100)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", CROWD, work, 2.0)

    def test_large_rows_read_by_the_byte(self):
        """Answers that are read a byte at a time must not fill the memory."""

        async def work(reader, writer):
            writer.transport.set_write_buffer_limits(0)
            writer.write(crowded_daemon.STARTUP)
            writer.write(b"QUERY q1 READ large-90x16000-a\r\n" * 100)
            while True:
                await reader.readexactly(1)
                await asyncio.sleep(0.05)

        self.crowd("client", CROWD, work, 2.0)

    def test_members_without_end(self):
        """Answers of members that never end must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            writer.write(b"QUERY q1 READ endless-a\r\n" * 4)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", SMALL_CROWD, work, 2.0)


class TestSessionState(crowded_daemon.CrowdedDaemonCase):
    """Clients that pile up values and prepared names."""

    async def _pile(self, reader, writer, word, size, count):
        """Set values whose text takes four bytes a character."""
        for number in range(count):
            text = "\U0001f600".encode() + b"x" * size
            writer.write(b"QUERY q1 " + word % number + text + b"\r\n")
            await writer.drain()
            while not (await reader.readuntil(b"\r\n")).startswith(b"READY"):
                pass

    def test_values_of_one_session(self):
        """The values of one session must be bounded, whatever their text."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            await self._pile(reader, writer, b"SET n%d ", MIB - 100, 60)
            await self._pile(reader, writer, b"SET s%d ", 900, 2000)

        self.crowd("client", 1, work, 4.0)

    def test_values_of_many_sessions(self):
        """The values of many sessions must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            await self._pile(reader, writer, b"SET n%d ", 250 * 1024, 4)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", SMALL_CROWD, work, 4.0)

    def test_prepared_names_of_many_sessions(self):
        """Prepared statements of many sessions must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            word = b"PREPARE n%d READ "
            await self._pile(reader, writer, word, 250 * 1024, 4)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", SMALL_CROWD, work, 4.0)


class TestConnections(crowded_daemon.CrowdedDaemonCase):
    """Clients that take the descriptors."""

    max_fds = 400
    CONNECTIONS = 500

    def test_half_open_sessions(self):
        """Connections without a first message must keep nobody out."""

        async def work(reader, writer):
            await asyncio.sleep(NEVER_S)

        self.crowd("client", self.CONNECTIONS, work, 1.0)

    def test_idle_sessions(self):
        """Sessions without a statement must keep nobody out."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", self.CONNECTIONS, work, 2.0)

    def test_idle_transactions(self):
        """Transactions without a statement must keep nobody out."""
        serials = itertools.count()

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            writer.write(b"QUERY q%d BEGIN\r\n" % next(serials))
            await asyncio.sleep(NEVER_S)

        self.crowd("client", self.CONNECTIONS, work, 2.0)
