"""Tests the settings of the limits at the ports of a daemon process."""

import asyncio

from burdockcart.platform.tests import crowded_daemon

#: Less than the defaults (6 and 10 s), and far more than the settings of the
#: tests.
BEFORE_DEFAULT_S = 5.0


class SettingsCase(crowded_daemon.CrowdedDaemonCase):
    """Clients of a daemon with limits in its settings."""

    def play(self, act):
        """Run a daemon, and end all sessions after the act."""
        self.writers = []

        async def play(daemon):
            try:
                await act(daemon)
            finally:
                for writer in self.writers:
                    writer.transport.abort()

        super().play(play)

    async def session(self, daemon):
        """Return the reader and the writer of an open session."""
        reader, writer = await asyncio.open_connection(*daemon.client)
        self.writers.append(writer)
        await crowded_daemon.open_session(reader, writer)
        return reader, writer

    async def ask(self, reader, writer, text):
        """Return the lines of the answer to a statement."""
        writer.write(b"QUERY q1 " + text + b"\r\n")
        lines = [await reader.readuntil(b"\r\n")]
        while not lines[-1].startswith((b"READY", b"ERROR")):
            lines.append(await reader.readuntil(b"\r\n"))
        return lines

    async def limited(self, daemon, reason, port="client"):
        """Return whether the metric counts the application of a limit."""
        label = f'{{port="{port}",reason="{reason}"}}'
        return f"clients_limited_total{label}" in await daemon.metrics_text()

    def assert_logged(self, daemon, reason, action, port="client"):
        """Check the log event of the application of a limit."""
        self.assertIn(
            f"event=client_limited port={port} reason={reason} "
            f"action={action}",
            daemon.log(),
        )


class TestConnections(SettingsCase):
    """The number of connections, and which may be closed for a new one."""

    #: 32 clients.
    max_fds = 264
    settings = "client-limits.idle-ms=3600000\n"

    def test_refused_connection(self):
        """A client over the limit must be told, counted and logged."""

        async def act(daemon):
            for _ in range(32):
                await self.session(daemon)
            self.assertFalse(await self.limited(daemon, "connections"))
            reader, writer = await asyncio.open_connection(*daemon.client)
            async with asyncio.timeout(crowded_daemon.GIVE_UP_S):
                line = await reader.readline()
            writer.transport.abort()
            self.assertTrue(line.startswith(b"ERROR BUSY"), line)
            self.assertTrue(await self.limited(daemon, "connections"))
            self.assert_logged(daemon, "connections", "refused")

        self.play(act)


class TestIdle(SettingsCase):
    """Connections that are closed as memory is short."""

    settings = "client-limits.idle-ms=1\n"

    def test_largest_is_closed_first(self):
        """Short memory must cost the largest idle client its connection."""

        async def act(daemon):
            others = [await self.session(daemon)]
            await self.ask(*others[0], b"SET zone " + b"x" * 500_000)
            largest = await self.session(daemon)
            await self.ask(*largest, b"SET zone " + b"x" * 1_000_000)
            while not await self.limited(daemon, "memory"):
                others.append(await self.session(daemon))
                lines = await self.ask(
                    *others[-1], b"SET zone " + b"x" * 500_000
                )
                self.assertTrue(lines[-1].startswith(b"READY"), lines)
                # Half of the budget of limits.memory-mb, 31 MB.
                self.assertLess(len(others), 70)
            async with asyncio.timeout(crowded_daemon.GIVE_UP_S):
                told = await largest[0].read()
            self.assertIn(b"ERROR BUSY", told)
            for each in others:
                lines = await self.ask(*each, b"SET a b")
                self.assertTrue(lines[-1].startswith(b"READY"), lines)
            self.assert_logged(daemon, "memory", "closed")

        self.play(act)


class TestTimeouts(SettingsCase):
    """Timeouts that are shorter than the defaults."""

    settings = (
        "client-limits.line-timeout-ms=300\n"
        "client-limits.unread-timeout-ms=300\n"
        "client-limits.http-timeout-ms=300\n"
    )

    def test_line(self):
        """A line without an end must end after its timeout."""

        async def act(daemon):
            reader, writer = await self.session(daemon)
            writer.write(b"QUERY q1 RE")
            async with asyncio.timeout(BEFORE_DEFAULT_S):
                told = await reader.read()
            self.assertIn(b"ERROR MALFORMED", told)
            self.assertTrue(await self.limited(daemon, "line_timeout"))
            self.assert_logged(daemon, "line_timeout", "closed")

        self.play(act)

    def test_unread(self):
        """An answer that nobody reads must end after its timeout."""

        async def act(daemon):
            _, writer = await self.session(daemon)
            writer.transport.pause_reading()
            writer.write(b"QUERY q1 READ large-90x16000-a\r\n" * 100)
            async with asyncio.timeout(BEFORE_DEFAULT_S):
                while not await self.limited(daemon, "unread_timeout"):
                    await asyncio.sleep(crowded_daemon.RETRY_S)
            self.assert_logged(daemon, "unread_timeout", "closed")

        self.play(act)

    def test_http(self):
        """A request without an end must end after its timeout."""

        async def act(daemon):
            for address in (daemon.ready, daemon.metrics):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n")
                async with asyncio.timeout(BEFORE_DEFAULT_S):
                    await reader.read()
                writer.transport.abort()

        self.play(act)
