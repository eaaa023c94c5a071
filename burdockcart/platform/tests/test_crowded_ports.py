"""Tests a daemon process whose ready, metrics and link ports are crowded."""

import asyncio
import struct

from burdockcart.platform import ready
from burdockcart.platform.tests import crowded_daemon
from burdockcart.process.peers import frames

MIB = crowded_daemon.MIB
NEVER_S = 3600
CROWD = 40
PATH_BY_PORT = {"ready": ready.READY_PATH, "metrics": ready.METRICS_PATH}


def head(path, *fields):
    """Return the head of an HTTP request without its end."""
    lines = (f"POST {path} HTTP/1.1", "Host: a", *fields)
    return "".join(f"{line}\r\n" for line in lines).encode()


async def stay(reader, writer):
    """Send nothing."""
    await asyncio.sleep(NEVER_S)


class HttpCase(crowded_daemon.CrowdedDaemonCase):
    """Requests that are large or never end, to each HTTP port."""

    def endless_headers(self, port):
        """Crowd a port with headers that never end."""

        async def work(reader, writer):
            writer.write(head(PATH_BY_PORT[port]))
            while True:
                field = b"X-A: " + b"x" * 60000 + b"\r\n"
                await crowded_daemon.send(writer, field)

        self.crowd(port, CROWD, work, 1.5)

    def large_bodies(self, port, field):
        """Crowd a port with bodies of 50 MiB."""

        async def work(reader, writer):
            writer.write(head(PATH_BY_PORT[port], field) + b"\r\n")
            for _ in range(50):
                if field.startswith("Transfer"):
                    writer.write(b"100000\r\n")
                await crowded_daemon.send(writer, b"x" * MIB)
                if field.startswith("Transfer"):
                    writer.write(b"\r\n")
            await asyncio.sleep(NEVER_S)

        self.crowd(port, CROWD, work, 1.5)


class TestReady(HttpCase):
    """Requests to the port of the load balancer."""

    def test_endless_headers(self):
        """Headers without an end must not fill the memory."""
        self.endless_headers("ready")

    def test_large_bodies(self):
        """Bodies must not fill the memory."""
        self.large_bodies("ready", f"Content-Length: {50 * MIB}")

    def test_chunked_bodies(self):
        """Bodies in chunks must not fill the memory."""
        self.large_bodies("ready", "Transfer-Encoding: chunked")


class TestMetrics(HttpCase):
    """Requests to the port of the metrics."""

    def test_endless_headers(self):
        """Headers without an end must not fill the memory."""
        self.endless_headers("metrics")

    def test_large_bodies(self):
        """Bodies must not fill the memory."""
        self.large_bodies("metrics", f"Content-Length: {50 * MIB}")

    def test_chunked_bodies(self):
        """Bodies in chunks must not fill the memory."""
        self.large_bodies("metrics", "Transfer-Encoding: chunked")


class TestLinkFrames(crowded_daemon.CrowdedDaemonCase):
    """Connections to the port of links that send no greeting."""

    def test_endless_greetings(self):
        """A greeting that never ends must not fill the memory."""

        async def work(reader, writer):
            writer.write(struct.pack("!I12s", 512, bytes(12)))
            for _ in range(50):
                await crowded_daemon.send(writer, b"x" * MIB)

        self.crowd("link", CROWD, work)


class TestStrangers(crowded_daemon.CrowdedDaemonCase):
    """Connections to the port of links that greet without the key."""

    GREETING = frames.encode_greeting(frames.greeting("stranger", "1"))

    async def prepare(self, daemon):
        """Wait until the daemon knows the key and accepts greetings."""
        async with asyncio.timeout(crowded_daemon.START_S):
            answer = b""
            while not answer:
                await asyncio.sleep(crowded_daemon.RETRY_S)
                reader, writer = await asyncio.open_connection(*daemon.link)
                writer.write(self.GREETING)
                answer = await reader.read(100)
                writer.transport.abort()

    def test_endless_frames(self):
        """A stranger's frames must not fill the memory before their MAC."""
        begun = struct.pack("!I12s", frames.MAX_FRAME_BYTES, bytes(12))

        async def work(reader, writer):
            writer.write(self.GREETING + begun)
            await crowded_daemon.send(writer, b"x" * (4 * MIB - 100))
            await asyncio.sleep(NEVER_S)

        self.crowd("link", 2 * CROWD, work, 2.0)


class TestDescriptors(crowded_daemon.CrowdedDaemonCase):
    """Idle connections to ports other than that of clients."""

    max_fds = 400
    CONNECTIONS = 500

    def test_ready(self):
        """Idle connections to the ready port must keep nobody out."""
        self.crowd("ready", self.CONNECTIONS, stay, 1.0)

    def test_metrics(self):
        """Idle connections to the metrics must keep nobody out."""
        self.crowd("metrics", self.CONNECTIONS, stay, 1.0)

    def test_links(self):
        """Idle connections to the link port must keep nobody out."""
        self.crowd("link", self.CONNECTIONS, stay, 1.0)
