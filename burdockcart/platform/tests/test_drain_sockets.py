"""Tests the planned stop of a daemon with clients on real sockets."""

import asyncio
import itertools
import socket

import loguru
import testtools

from burdockcart.platform import client_wire
from burdockcart.platform import launch
from burdockcart.tests import gateway_deployment

GRACE_S = 1.5
CLIENTS = 40


class SocketDeployment(gateway_deployment.GatewayDeployment):
    """One daemon that listens on a loopback address."""

    def listener(self, daemon):
        """Return a listener whose socket is open."""
        listener = client_wire.ClientListener(launch._Gateway(daemon))
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen(128)
        listening.setblocking(False)
        listener.add_socket(listening)
        self.address = listening.getsockname()
        listener.listen_on = lambda address: None
        return listener


class SocketClient:
    """Sends reads on one session after the other, as clients do.

    ``seen`` counts what came of them.
    """

    serials = itertools.count(1)

    def __init__(self, address, seen):
        self.address = address
        self.seen = seen

    async def run(self):
        """Run until the daemon accepts no connection."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                return
            try:
                await self.session(reader, writer)
            except (asyncio.IncompleteReadError, OSError):
                self.seen["cut"] = self.seen.get("cut", 0) + 1
            writer.close()

    async def session(self, reader, writer):
        """Send statements until the daemon says anything unasked."""
        writer.write(b"STARTUP layers user\r\n")
        line = await reader.readuntil(b"\r\n")
        while not line.startswith(b"ERROR"):
            # Whatever arrives before the next statement closes the session.
            await asyncio.sleep(0.002)
            if reader._buffer:
                self.count(b"told")
                return
            number = next(self.serials)
            writer.write(b"QUERY q%d READ 1a4\r\n" % number)
            answer = b""
            while not answer.startswith(b"READY"):
                answer = await reader.readuntil(b"\r\n")
                if answer.startswith((b"COMPLETE", b"ERROR")):
                    self.count(answer.split(b" ")[0])
        self.count(b"refused")

    def count(self, word):
        """Count one outcome."""
        name = word.decode()
        self.seen[name] = self.seen.get(name, 0) + 1


class TestSockets(testtools.TestCase):
    """Clients that have no other daemon, over real sockets."""

    def test_nothing_is_cut(self):
        """Every statement must be answered, and no connection reset."""
        seen = {}
        loguru.logger.disable("burdockcart")
        self.addCleanup(loguru.logger.enable, "burdockcart")

        async def check():
            loop = asyncio.get_running_loop()
            deployment = await SocketDeployment(
                daemons=1, shutdown_s=GRACE_S, work_s=0.002
            ).start()
            tasks = [
                asyncio.create_task(
                    SocketClient(deployment.address, seen).run()
                )
                for _ in range(CLIENTS)
            ]
            await asyncio.sleep(0.5)
            began_at = loop.time()
            (daemon,) = deployment.daemons
            await daemon.drain()
            took_s = loop.time() - began_at
            await daemon.stop()
            await asyncio.gather(*tasks)
            return took_s

        took_s = asyncio.run(check())
        self.assertEqual(0, seen.get("cut", 0), seen)
        self.assertGreater(seen["COMPLETE"], 200)
        self.assertGreater(seen["told"], 10)
        self.assertLess(took_s, GRACE_S)
