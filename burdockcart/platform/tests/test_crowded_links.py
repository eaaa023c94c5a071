"""Tests a holder beside relaying daemons that do not take their rows."""

import asyncio
import contextlib
import itertools
import signal
import tempfile

from burdockcart.platform.standin import site
from burdockcart.platform.tests import crowded_daemon
from burdockcart.platform.tests import link_peer
from burdockcart.process.peers import holding

LARGE_ROWS = "READ large-90x16000-a"
#: Relaying daemons, each with as many statements as a daemon relays at once.
PEERS = 32
STATEMENTS = holding.RELAYED.hard_limit
#: Characters of the values of a session, which go with each statement.
VALUES = 1000 * 1000
#: Clients of a relaying daemon.
CLIENTS = 100
NEVER_S = 3600
OPEN_LINK = 'burdockcart_peer_links{opened_by="this"} 1.0'


class TestRelayedRows(crowded_daemon.CrowdedDaemonCase):
    """Relaying daemons whose links are read slowly or not at all."""

    async def prepare(self, daemon):
        """Wait until the daemon accepts greetings and links."""
        async with asyncio.timeout(crowded_daemon.START_S):
            while True:
                with contextlib.suppress(OSError, EOFError, KeyError):
                    reader, writer = await asyncio.open_connection(
                        *daemon.link
                    )
                    peer = link_peer.LinkPeer(
                        self.place, "first", reader, writer
                    )
                    await peer.greet()
                    await peer.run("READ a", {})
                    answer = await reader.read(100)
                    writer.transport.abort()
                    if answer:
                        return
                await asyncio.sleep(crowded_daemon.RETRY_S)

    def crowd_links(self, text, value_by_name, reads):
        """Relay statements over the links of many daemons."""
        serials = itertools.count()

        async def work(reader, writer):
            name = f"relaying-{next(serials)}"
            peer = link_peer.LinkPeer(self.place, name, reader, writer)
            await peer.greet()
            for _ in range(STATEMENTS):
                await peer.run(text, value_by_name)
            if reads:
                await peer.read_slowly()
            await asyncio.sleep(NEVER_S)

        self.crowd("link", PEERS, work, 6.0)

    def test_links_that_are_not_read(self):
        """Rows for daemons that do not read must not fill the memory."""
        self.crowd_links(LARGE_ROWS, {}, reads=False)

    def test_links_that_are_read_slowly(self):
        """Rows for daemons that read slowly must not fill the memory."""
        self.crowd_links(LARGE_ROWS, {}, reads=True)

    def test_large_values_in_statements(self):
        """Copies of sessions' values must not fill the memory."""
        values = {"zone": "x" * VALUES}
        self.crowd_links(LARGE_ROWS, values, reads=True)


class TestSuspendedDaemon(crowded_daemon.CrowdedDaemonCase):
    """A daemon that relays, and is suspended while rows arrive for it."""

    #: So few that three daemons do not connect directly, and two hold.
    connections = 11

    def test_suspended_while_rows_arrive(self):
        """Rows for a suspended daemon must not fill the holder's memory."""
        self.play(self.suspend)

    async def suspend(self, holder):
        """Crowd a daemon in another zone, and suspend it."""
        with tempfile.TemporaryDirectory() as folder:
            second, relaying = (
                crowded_daemon.DaemonProcess(
                    self.place.prefix, folder, self.max_fds, "", number, zone
                )
                for number, zone in ((2, site.ZONES[0]), (3, site.ZONES[1]))
            )
            crowd = crowded_daemon.Crowd(relaying.client)
            watch = None
            try:
                await second.start()
                watch = asyncio.create_task(second.watch_fds())
                await relaying.start()
                await self._wait_until_relaying(relaying)
                await crowd.join(CLIENTS, self._read_rows, 2.0)
                relaying.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(2.0)
                await self.check(holder)
                self.assert_bounded(second)
            finally:
                if watch is not None:
                    watch.cancel()
                crowd.leave()
                for daemon in (second, relaying):
                    if daemon.process is not None:
                        await daemon.stop()

    async def _wait_until_relaying(self, daemon):
        """Wait until a daemon does not hold the primary.

        It holds the member in its own zone, and at most one of the two others.
        Before it knows the key of the links, it holds all.
        """
        async with asyncio.timeout(crowded_daemon.GIVE_UP_S):
            while True:
                await daemon.request()
                text = await daemon.metrics_text()
                if "members_held 3.0" not in text and OPEN_LINK in text:
                    return
                await asyncio.sleep(crowded_daemon.RETRY_S)

    async def _read_rows(self, reader, writer):
        """Ask for large rows again and again, and take each answer."""
        await crowded_daemon.open_session(reader, writer)
        text = b"x" * VALUES
        writer.write(b"QUERY q0 SET zone " + text + b"\r\n")
        for number in itertools.count():
            writer.write(
                b"QUERY q%d " % number + LARGE_ROWS.encode() + b"\r\n"
            )
            while not (await reader.readuntil(b"\r\n")).startswith(b"READY"):
                pass


class TestResponses(crowded_daemon.CrowdedDaemonCase):
    """Members that accept many connections, and send large responses."""

    connections = 400

    def test_members_without_end(self):
        """Responses that never end must not fill the memory together."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            writer.write(b"QUERY q1 READ endless-a\r\n" * 4)
            await asyncio.sleep(NEVER_S)

        self.crowd("client", 2 * CLIENTS, work, 6.0)

    def test_large_responses_of_members(self):
        """Many large responses at the same time must not fill the memory."""

        async def work(reader, writer):
            await crowded_daemon.open_session(reader, writer)
            writer.write(b"QUERY q1 " + LARGE_ROWS.encode() + b"\r\n")
            await asyncio.sleep(NEVER_S)

        self.crowd("client", 2 * CLIENTS, work, 6.0)
