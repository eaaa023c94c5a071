"""Guards the links between daemons against foreign and broken peers."""

import asyncio

import loguru
import msgspec
import testtools
import zmq

from burdockcart.process import peer_link
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport

# Only bounds a test that hangs; no result depends on it.
LIMIT_S = 10.0
SECRETS = tuple(zmq.curve_keypair()[1] for _ in range(3))


async def _until(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.005)


class Bench:
    """Two daemons on loopback, on ports that the system chooses."""

    def __init__(self, keys_a, keys_b):
        self.a = self.open("a", keys_a)
        self.b = self.open("b", keys_b)
        self.a.connect("b", self.b.address)
        self.b.connect("a", self.a.address)
        self.lines = []
        self.sink = loguru.logger.add(self.lines.append, format="{message}")

    def open(self, name, secrets, address="127.0.0.1:*"):
        keys = peer_link.PeerKeys(secrets) if secrets else None
        peers = peer_transport.ZmqPeers(name, address, keys)
        peers.on(peer_messages.Confirm, self._on_confirm)
        peers.start()
        return peers

    async def _on_confirm(self, sender, message):
        return peer_messages.Confirmed(None)

    async def ask(self, sender, receiver):
        """Return whether a request is answered, with retries."""
        for _ in range(40):
            answer = await sender.request(
                receiver, peer_messages.Confirm("m"), 1.0
            )
            if answer.value_or(None) is not None:
                return True
        return False

    def logged(self, event):
        return [each for each in self.lines if f"event={event} " in each]

    def raw(self, secrets=None, server_public=None):
        """Return a socket of a program that is no daemon."""
        socket = self.a._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        if secrets:
            socket.setsockopt(zmq.CURVE_SERVERKEY, server_public)
            socket.setsockopt(zmq.CURVE_PUBLICKEY, zmq.curve_public(secrets))
            socket.setsockopt(zmq.CURVE_SECRETKEY, secrets)
        socket.connect(f"tcp://{self.b.address}")
        return socket

    def close(self):
        loguru.logger.remove(self.sink)
        self.a.stop()
        self.b.stop()


class TestPeers(testtools.TestCase):
    """Only daemons with a known key reach a daemon."""

    def run_with(self, scenario, keys_a=SECRETS[:1], keys_b=SECRETS[:1]):
        async def body():
            bench = Bench(keys_a, keys_b)
            try:
                await scenario(bench)
            finally:
                bench.close()

        asyncio.run(body())

    def test_requests_are_answered(self):
        """Guards against links that work in one mode only."""

        async def scenario(bench):
            self.assertTrue(await bench.ask(bench.a, "b"))
            self.assertTrue(await bench.ask(bench.b, "a"))

        self.run_with(scenario)
        self.run_with(scenario, None, None)

    def test_rotation_cuts_nobody_off(self):
        """Guards against daemons of two rotation steps that part."""

        async def scenario(bench):
            self.assertTrue(await bench.ask(bench.a, "b"))
            self.assertTrue(await bench.ask(bench.b, "a"))

        first, second = SECRETS[:2]
        steps = [(first,), (first, second), (second, first), (second,)]
        for before, after in zip(steps, steps[1:]):
            self.run_with(scenario, before, after)

    def test_unknown_key_is_refused(self):
        """Guards against a foreign program that sends messages."""

        async def scenario(bench):
            public = zmq.curve_public(SECRETS[0])
            socket = bench.raw(SECRETS[2], public)
            socket.send(b"x")
            await _until(lambda: bench.logged("peer_refused"))
            socket.close()
            self.assertEqual([], bench.logged("peer_message_invalid"))
            self.assertTrue(await bench.ask(bench.a, "b"))

        self.run_with(scenario)

    def test_invalid_messages_are_dropped(self):
        """Guards against a crash or growth by broken messages."""

        async def scenario(bench):
            body = peer_messages.Confirm("m")
            envelope = peer_messages.Envelope("a", 1, False, body)
            good = msgspec.msgpack.encode(envelope)
            unknown = good.replace(b"Confirm", b"Confirn")
            deep = b"\x94\xa1a\x01\xc2" + b"\x91" * 100_000
            bad = [good[:-3], b"", unknown, deep, b"\xff" * 1000]
            socket = bench.raw()
            for each in bad:
                socket.send(each)
            await _until(
                lambda: len(bench.logged("peer_message_invalid")) >= len(bad)
            )
            socket.close()
            self.assertEqual(
                len(bad), len(bench.logged("peer_message_invalid"))
            )
            self.assertEqual(0, bench.b.open_requests)
            self.assertTrue(await bench.ask(bench.a, "b"))

        self.run_with(scenario, None, None)

    def test_oversized_message_closes_its_connection(self):
        """Guards against memory that a peer can fill."""

        async def scenario(bench):
            socket = bench.raw()
            socket.send(b"x" * (peer_link.MAX_MESSAGE_BYTES + 1))
            await _until(lambda: bench.logged("peer_disconnected"))
            socket.close()
            self.assertTrue(await bench.ask(bench.a, "b"))

        self.run_with(scenario, None, None)

    def test_lost_link_reconnects(self):
        """Guards against a peer that stays lost after its restart."""

        async def scenario(bench):
            self.assertTrue(await bench.ask(bench.a, "b"))
            address = bench.b.address
            bench.b.stop()
            # The loop still has to forget the sockets of the old process.
            for _ in range(10):
                await asyncio.sleep(0)
            bench.b = bench.open("b", SECRETS[:1], address)
            self.assertTrue(await bench.ask(bench.a, "b"))

        self.run_with(scenario)

    def test_idle_link_closes_and_reopens(self):
        """Guards against sockets kept for peers that are not used."""

        async def scenario(bench):
            self.assertTrue(await bench.ask(bench.a, "b"))
            later = asyncio.get_running_loop().time() + 31
            bench.a.close_idle(later)
            self.assertEqual(0, bench.a.open_links)
            self.assertTrue(await bench.ask(bench.a, "b"))
            self.assertEqual(1, bench.a.open_links)

        self.run_with(scenario)
