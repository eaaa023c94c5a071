"""Guards the cut of a single daemon from the store."""

import asyncio

import testtools

from burdockcart.platform.standin import member_link
from burdockcart.platform.standin import store_server

HOST = "127.0.0.1"
REQUEST = b"GET /api/kv-range HTTP/1.1\r\nHost: store\r\n\r\n"


class TestStoreCut(testtools.TestCase):
    """Two daemons that call a store."""

    async def answers(self, connection, timeout_s):
        """Return whether a call or the one that waits is answered."""
        try:
            async with asyncio.timeout(timeout_s):
                return b" 200 " in await connection[0].readline()
        except TimeoutError:
            return False

    def test_one_daemon(self):
        """Guards against a cut that others feel, or that does not end."""
        owner_by_port = {}

        async def run():
            link = member_link.MemberLink(HOST, 0, lambda *_: owner_by_port)
            store = store_server.Store(lambda *_: 200, link)
            store.start(HOST, 0)
            (listener,) = store._server._sockets.values()
            port = listener.getsockname()[1]
            connections = []
            for daemon in ("d0", "d1"):
                connection = await asyncio.open_connection(HOST, port)
                own = connection[1].get_extra_info("sockname")[1]
                owner_by_port[own] = daemon
                connections.append(connection)
            link.cut_off["d0"] += 1
            for _, writer in connections:
                writer.write(REQUEST)
            others = await self.answers(connections[1], 10.0)
            during = await self.answers(connections[0], 0.3)
            link.cut_off["d0"] -= 1
            after = await self.answers(connections[0], 10.0)
            for _, writer in connections:
                writer.close()
                await writer.wait_closed()
            store.stop()
            return others, during, after

        self.assertEqual((True, False, True), asyncio.run(run()))
