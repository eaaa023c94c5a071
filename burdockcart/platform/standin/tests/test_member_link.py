"""Guards the faults of the network between daemons and a member."""

import asyncio

import testtools

from burdockcart.platform.standin import member_link

LinkFault = member_link.LinkFault


class TestCuts(testtools.TestCase):
    """Cuts of one daemon, and of all."""

    def crosses(self, link, port):
        """Return whether a message passes within 0.2 s."""

        async def cross():
            try:
                async with asyncio.timeout(0.2):
                    await link.cross(port, LinkFault.SILENT)
            except TimeoutError:
                return False
            return True

        return asyncio.run(cross())

    def link(self):
        """Return a link with connections of two daemons."""
        return member_link.MemberLink(
            "127.0.0.1", 5432, lambda host, port: {1: "d0", 2: "d1"}
        )

    def test_one_daemon(self):
        """Guards against a cut that others feel, or that does not end."""
        link = self.link()
        link.cut_off["d0"] += 1
        self.assertEqual(
            [False, True, True],
            [self.crosses(link, port) for port in (1, 2, 3)],
        )
        link.cut_off["d0"] += 1
        link.cut_off["d0"] -= 1
        self.assertFalse(self.crosses(link, 1))
        link.cut_off["d0"] -= 1
        self.assertTrue(self.crosses(link, 1))

    def test_port_of_another(self):
        """Guards against a new connection that counts as an old one's."""
        link = self.link()
        link.cut_off["d0"] += 1
        self.assertFalse(self.crosses(link, 1))
        link._owners = lambda host, port: {1: "d1"}
        link.connected(1)
        self.assertTrue(self.crosses(link, 1))

    def test_all(self):
        """Guards a fault of the whole member."""
        link = self.link()
        link.fault = LinkFault.SILENT
        self.assertFalse(self.crosses(link, 2))
