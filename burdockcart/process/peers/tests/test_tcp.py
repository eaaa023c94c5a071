"""Tests links over real sockets."""

import asyncio

import testtools

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart.connection import own_link
from burdockcart.process.peers import frames
from burdockcart.process.peers import holder_link
from burdockcart.process.peers import link_memory
from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_service
from burdockcart.process.peers import tcp

HOST = "127.0.0.1"


class Recorder:
    """Records what arrives on a link."""

    def __init__(self, transport):
        self.transport = transport
        self.contents = []
        self.ended = asyncio.Event()
        self.arrived = asyncio.Event()

    def received(self, content):
        """Record a frame; 'bad' is invalid, 'boom' an unexpected error."""
        if content == b"bad":
            raise frames.FrameError("bad")
        if content == b"boom":
            raise RuntimeError("boom")
        self.contents.append(content)
        self.arrived.set()

    def closed(self):
        """Record the end."""
        self.ended.set()


class Pair:
    """A listening and a dialing daemon."""

    def __init__(self, listener_key=b"key", dialer_key=b"key"):
        self.accepted = []
        self.listener = tcp.TcpPeers("holder", "1", lambda: listener_key)
        self.dialer = tcp.TcpPeers("sender", "1", lambda: dialer_key)

    async def start(self):
        """Listen on a free port."""
        await self.listener.listen(f"{HOST}:0", self._accept)
        socket = self.listener._server.sockets[0]
        self.port = socket.getsockname()[1]
        return self

    def _accept(self, daemon, transport):
        self.accepted.append(Recorder(transport))
        return self.accepted[-1]

    async def dial(self, daemon="holder"):
        """Open a link; return its recorder or None."""
        opened = []

        def accept(transport):
            opened.append(Recorder(transport))
            return opened[0]

        link = await self.dialer.dial(daemon, f"{HOST}:{self.port}", accept)
        return None if link is None else opened[0]


def run(check, **keys):
    """Run a check with a pair of daemons."""

    async def whole():
        pair = await Pair(**keys).start()
        try:
            async with asyncio.timeout(10.0):
                await check(pair)
        finally:
            pair.listener.stop()

    asyncio.run(whole())


class Link:
    """A link with fixed sizes."""

    def __init__(self, unsent=0, unverified_bytes=0):
        self.unsent = unsent
        self.unverified_bytes = unverified_bytes


class TestLinkMemory(testtools.TestCase):
    """Bound of what all links together keep."""

    def test_slow_receivers(self):
        """Several slow receivers must not fill a holder's memory."""
        memory = link_memory.LinkMemory(1_000_000)
        links = [Link(unsent) for unsent in (400_000, 700_000, 1000)]
        for link in links:
            memory.add(link)
        self.assertIs(links[1], memory.most_unsent(links[0]))
        self.assertIsNone(memory.most_unsent(links[2]))
        links[1].unsent = 0
        self.assertIsNone(memory.most_unsent(links[0]))

    def test_incomplete_frames(self):
        """Strangers that begin frames must not fill the memory."""
        memory = link_memory.LinkMemory()
        links = [Link(unverified_bytes=2**22 - each) for each in range(5)]
        for link in links:
            memory.add(link)
        self.assertIs(links[0], memory.most_unverified(links[4]))
        links[0].unverified_bytes = 0
        self.assertIsNone(memory.most_unverified(links[4]))


class TestLinks(testtools.TestCase):
    """Opening, using and ending links."""

    def test_frames_in_both_directions(self):
        """Frames must arrive whole and in order."""

        async def check(pair):
            own = await pair.dial()
            contents = [bytes([each]) * 5000 for each in range(20)]
            for content in contents:
                own.transport.send(content)
            while len(pair.accepted[0].contents) < len(contents):
                await asyncio.sleep(0.01)
            self.assertEqual(contents, pair.accepted[0].contents)
            pair.accepted[0].transport.send(b"back")
            await own.arrived.wait()
            self.assertEqual([b"back"], own.contents)

        run(check)

    def test_oldest_without_greeting_is_closed(self):
        """A crowd without greetings must keep no daemon out."""

        async def check(pair):
            pair.listener._max_ungreeted = 3
            crowd = [
                await asyncio.open_connection(HOST, pair.port)
                for _ in range(8)
            ]
            self.assertIsNotNone(await pair.dial())
            self.assertEqual(b"", await crowd[0][0].read())
            self.assertLessEqual(len(pair.listener._ungreeted), 3)
            for _, writer in crowd:
                writer.close()

        run(check)

    def test_wrong_key(self):
        """The first frame of a stranger must end the link."""

        async def check(pair):
            own = await pair.dial()
            own.transport.send(b"x")
            await own.ended.wait()
            self.assertEqual([], pair.accepted[0].contents)

        run(check, dialer_key=b"other")

    def test_no_key_yet(self):
        """Without a key no link is accepted."""

        async def check(pair):
            self.assertIsNone(await pair.dial())

        run(check, listener_key=None)

    def test_other_daemon_at_the_address(self):
        """An address that another daemon uses now must not be used."""

        async def check(pair):
            self.assertIsNone(await pair.dial("former-holder"))

        run(check)

    def test_invalid_message_ends_one_link(self):
        """An invalid message or an unexpected error must end its link only."""

        async def check(pair):
            other = await pair.dial()
            for content in (b"bad", b"boom"):
                own = await pair.dial()
                own.transport.send(content)
                await own.ended.wait()
            other.transport.send(b"fine")
            await pair.accepted[0].arrived.wait()
            self.assertEqual([b"fine"], pair.accepted[0].contents)

        run(check)

    def test_garbage(self):
        """Bytes that are no frames must end the connection."""

        async def check(pair):
            for data in (b"GET / HTTP/1.1\r\n\r\n" * 9, bytes(5000)):
                reader, writer = await asyncio.open_connection(HOST, pair.port)
                writer.write(data)
                try:
                    while await reader.read(1000):
                        pass
                except ConnectionError:
                    pass
                writer.close()
            self.assertIsNotNone(await pair.dial())

        run(check)

    def test_silent_stranger(self):
        """A connection without a greeting must be closed."""

        async def check(pair):
            reader, writer = await asyncio.open_connection(HOST, pair.port)
            async with asyncio.timeout(tcp.GREETING_TIMEOUT_S + 1.0):
                while await reader.read(1000):
                    pass
            writer.close()

        run(check)

    def test_answer_that_is_still_being_sent(self):
        """A daemon must not end before its answers have left it."""

        async def check(pair):
            service = relay_service.RelayService(None, None, clock.LoopClock())
            await pair.listener.listen(f"{HOST}:0", service.accept)
            pair.port = pair.listener._server.sockets[0].getsockname()[1]
            own = await pair.dial()
            own.transport._transport.pause_reading()
            session = next(iter(service._sessions))
            self.assertFalse(service.in_use)
            rows = ("x" * 1_000_000,)
            for number in range(7):
                session._answer(number, member_channel.Answer(rows=rows))
            await asyncio.sleep(0.1)
            self.assertTrue(service.in_use)
            own.transport._transport.resume_reading()
            while len(own.contents) < 7:
                await asyncio.sleep(0.01)
            self.assertFalse(service.in_use)

        run(check)

    def test_end_while_requests_arrive(self):
        """A request that the holder has not received must come back unsent."""

        async def check(pair):
            service = relay_service.RelayService(None, None, clock.LoopClock())
            await pair.listener.listen(f"{HOST}:0", service.accept)
            port = pair.listener._server.sockets[0].getsockname()[1]
            links = []

            def accept(transport):
                links.append(
                    holder_link.HolderLink(
                        "holder",
                        transport,
                        clock.LoopClock(),
                        own_link.OwnLink(0.0).source(),
                    )
                )
                return links[0]

            await pair.dialer.dial("holder", f"{HOST}:{port}", accept)
            while not service.links:
                await asyncio.sleep(0.01)
            service.close()
            requests = [
                asyncio.create_task(
                    links[0].request(
                        lambda number: messages.RollBack(number, 9, 100), 1.0
                    )
                )
                for _ in range(100)
            ]
            replies = await asyncio.gather(*requests)
            self.assertEqual(
                {"not sent by the relaying daemon"},
                {each.fault.value for each in replies},
            )
            while service.links:
                await asyncio.sleep(0.01)

        run(check)

    def test_refused(self):
        """A daemon that is gone must be noticed at once."""

        async def check(pair):
            pair.listener.stop()
            await asyncio.sleep(0.05)
            with self.assertRaises(ConnectionRefusedError):
                await pair.dial()

        run(check)
