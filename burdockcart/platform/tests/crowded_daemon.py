"""A daemon process with a store and members, and clients that crowd it."""

import asyncio
import contextlib
import os
import pathlib
import resource
import sys
import tempfile

import testtools

from burdockcart.platform import launch
from burdockcart.platform import ready
from burdockcart.platform.standin import daemons
from burdockcart.platform.standin import site
from burdockcart.platform.standin import site_start
from burdockcart.soak import history as histories

DATABASE = b"live1"
STARTUP = b"STARTUP " + DATABASE + b" user\r\n"
#: Time after which an ordinary client gives up, in seconds.
GIVE_UP_S = 60.0
RETRY_S = 0.25
#: Time in which the daemon must answer its first request, in seconds.
START_S = 30.0
#: Smallest host of the platform, and its descriptors.
MEMORY_MB = 200
MAX_FDS = 4300
MIB = 1024 * 1024
MEMBER_CONNECTIONS = 40


async def start_site(connections=MEMBER_CONNECTIONS):
    """Start a store, and members with some connections, on free addresses."""
    return await site_start.start_on_free_addresses(
        lambda prefix: site.Site(
            prefix,
            histories.History(),
            lambda *args, **fields: None,
            connections,
            lambda host, port: {},
        )
    )


class Refused(Exception):
    """The daemon closed or refused an ordinary session."""


class DaemonProcess:
    """The daemon under test, on an address of its own.

    Parameters
    ==========

    prefix : str
        First three bytes of all addresses of the test.
    max_fds : int
        ``limits.max-fds``, and RLIMIT_NOFILE of the process.
    extra : str
        Further lines of the settings.
    number, zone : int, str
        Part of its name and address, and its failure domain.

    """

    def __init__(
        self,
        prefix,
        folder,
        max_fds,
        extra="",
        number=1,
        zone=site.ZONES[0],
    ):
        self.name = f"d{number}"
        self.host = f"{prefix}.{number}"
        self.client = (self.host, daemons.CLIENT_PORT)
        self.ready = (self.host, daemons.READY_PORT)
        self.metrics = (self.host, ready.METRICS_PORT)
        self.link = (self.host, daemons.PEER_PORT)
        self.max_fds = max_fds
        self.peak_fds = 0
        self.process = None
        self._prefix = prefix
        self._folder = pathlib.Path(folder)
        self._extra = extra
        self._zone = zone

    def _settings(self):
        return daemons.SETTINGS.format(
            name=self.name,
            zone=self._zone,
            host=self.host,
            client_port=daemons.CLIENT_PORT,
            ready_port=daemons.READY_PORT,
            peer_port=daemons.PEER_PORT,
            store=f"{self._prefix}.250:{site.STORE_PORT}",
            bootstrap="true",
            grace_s=2,
            drain_ms=2000,
        ) + (
            f"limits.memory-mb={MEMORY_MB}\n"
            f"limits.max-fds={self.max_fds}\n" + self._extra
        )

    async def start(self):
        """Start the process and wait until it answers a request."""
        path = self._folder / f"{self.name}.conf"
        path.write_text(self._settings(), encoding="utf-8")
        limit = (self.max_fds, self.max_fds)
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "burdockcart.platform",
                stdout=log,
                stderr=log,
                cwd=daemons.ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(daemons.ROOT),
                    launch.SETTINGS_VARIABLE: str(path),
                },
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, limit
                ),
            )
        await self.request(START_S)

    async def stop(self):
        """End the process."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def log(self):
        """Return what the process has logged so far."""
        return (self._folder / f"{self.name}.log").read_text()

    @property
    def peak_kb(self):
        """Largest resident memory so far, in kilobytes; 0 if it ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = [line for line in text.splitlines() if "VmHWM" in line]
        return int(found[0].split()[1]) if found else 0

    async def watch_fds(self):
        """Note the most descriptors that the process has open."""
        while True:
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
                self.peak_fds = max(self.peak_fds, count)
            await asyncio.sleep(0.1)

    async def request(self, give_up_s=GIVE_UP_S, text=b"READ a"):
        """Run a statement on a new session, and try again until it works."""
        async with asyncio.timeout(give_up_s):
            while True:
                try:
                    return await self._request(text)
                except (OSError, EOFError, Refused):
                    await asyncio.sleep(RETRY_S)

    async def _request(self, text):
        reader, writer = await asyncio.open_connection(
            *self.client, limit=8 * MIB
        )
        try:
            writer.write(STARTUP)
            await self._answer(reader)
            writer.write(b"QUERY ordinary " + text + b"\r\n")
            return await self._answer(reader)
        finally:
            writer.transport.abort()

    async def _answer(self, reader):
        lines = []
        while not lines or not lines[-1].startswith(b"READY"):
            lines.append(await reader.readuntil(b"\r\n"))
            if lines[-1].startswith(b"ERROR"):
                raise Refused(lines[-1])
        return lines

    async def http(self, address, path, give_up_s=GIVE_UP_S):
        """Return the status line of an HTTP request, tried until answered."""
        async with asyncio.timeout(give_up_s):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(*address)
                    try:
                        writer.write(
                            f"GET {path} HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\n\r\n".encode()
                        )
                        line = await reader.readline()
                        if line:
                            return line
                    finally:
                        writer.transport.abort()
                await asyncio.sleep(RETRY_S)

    async def metrics_text(self):
        """Return what the metrics port answers."""
        reader, writer = await asyncio.open_connection(*self.metrics)
        try:
            writer.write(
                f"GET {ready.METRICS_PATH} HTTP/1.1\r\nHost: a\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            return (await reader.read()).decode()
        finally:
            writer.transport.abort()


class Crowd:
    """Connections that stay open until the test ends.

    Parameters
    ==========

    address : (str, int)
        Port of the daemon that is crowded.

    """

    def __init__(self, address):
        self._address = address
        self._writers = []

    async def join(self, count, work, work_s):
        """Let some clients work at the same time for at most ``work_s``.

        ``work`` is called with the reader and the writer of a connection.
        """
        await asyncio.gather(
            *(self._one(work, work_s) for _ in range(count)),
        )

    async def _one(self, work, work_s):
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(work_s):
                reader, writer = await asyncio.open_connection(
                    *self._address, limit=64 * 1024
                )
                self._writers.append(writer)
                await work(reader, writer)

    def leave(self):
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()


async def send(writer, data, piece=256 * 1024):
    """Send data, as fast as the daemon reads it."""
    for place in range(0, len(data), piece):
        writer.write(data[place : place + piece])
        await writer.drain()


async def open_session(reader, writer):
    """Open a session and wait until it is open."""
    writer.write(STARTUP)
    while not (await reader.readuntil(b"\r\n")).startswith(b"READY"):
        pass


class CrowdedDaemonCase(testtools.TestCase):
    """Crowds a daemon and checks that it survives and still serves."""

    max_fds = MAX_FDS
    settings = ""
    connections = MEMBER_CONNECTIONS

    def crowd(self, port, count, work, work_s=3.0):
        """Crowd one port (an attribute of DaemonProcess) of a new daemon."""

        async def play(daemon):
            crowd = Crowd(getattr(daemon, port))
            try:
                await crowd.join(count, work, work_s)
                await self.check(daemon)
            finally:
                crowd.leave()

        self.play(play)

    def play(self, act):
        """Run a daemon, its store and its members, and act on it."""
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._play(act, folder))

    async def _play(self, act, folder):
        place = self.place = await start_site(self.connections)
        beat = asyncio.create_task(place.run())
        daemon = DaemonProcess(
            place.prefix, folder, self.max_fds, self.settings
        )
        watch = None
        try:
            await daemon.start()
            await self.prepare(daemon)
            watch = asyncio.create_task(daemon.watch_fds())
            await act(daemon)
        finally:
            beat.cancel()
            if watch is not None:
                watch.cancel()
            if daemon.process is not None:
                await daemon.stop()
            place.stop()

    async def prepare(self, daemon):
        """Wait for what the test needs besides a served request."""

    async def check(self, daemon):
        """Check that the daemon lives, is bounded, and serves a new client.

        The memory of the host and the descriptors are the stated limits.
        """
        self.assert_bounded(daemon)
        await daemon.request()
        line = await daemon.http(daemon.ready, ready.READY_PATH)
        self.assertIn(b" 200 ", line)
        self.assert_bounded(daemon)

    def assert_bounded(self, daemon):
        """Check the process, its memory and its descriptors."""
        self.assertIsNone(daemon.process.returncode)
        self.assertLess(daemon.peak_kb, MEMORY_MB * 1024)
        self.assertLess(daemon.peak_fds, self.max_fds)
