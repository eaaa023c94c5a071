"""Guards the reload of a daemon's settings."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from returns import result
import testtools
from testtools import matchers

from burdockcart.platform import launch
from burdockcart.platform import settings_file
from burdockcart.tests import gateway_deployment

SETTINGS = """\
node-name=front-a-1
zone=a
listen-addrs.front=10.0.0.1:1
listen-addrs.ready=10.0.0.1:2
ip=10.0.0.1
port-range=7440,7455
platform.address={store}
cloud-api.address=10.0.0.3:4
"""


class Platform:
    """Records the addresses of the platform."""

    store_address = "10.0.0.2:3"
    promotion_address = "10.0.0.3:4"


class TestSettings(testtools.TestCase):
    """Settings that change while a daemon runs."""

    def test_change_without_signal(self):
        """Guards against calls to an address that is no longer used."""

        async def check():
            platform = Platform()
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "settings.conf"
                path.write_text(SETTINGS.format(store="10.0.0.2:3"))
                watching = asyncio.create_task(
                    launch.watch_settings(path, platform, path.read_bytes())
                )
                await asyncio.sleep(2.5)
                path.write_text(SETTINGS.format(store="none"))
                await asyncio.sleep(2.0)
                self.assertEqual("10.0.0.2:3", platform.store_address)
                path.write_text(SETTINGS.format(store="10.0.0.9:3"))
                await asyncio.sleep(2.0)
                self.assertEqual("10.0.0.9:3", platform.store_address)
                watching.cancel()

        gateway_deployment.run(check())

    def test_values_that_no_call_can_use(self):
        """Settings that would disable the daemon must not be applied.

        Every call to a port above 65535 raised an error, and a grace time
        that is no number never ended.
        """
        for line in (
            "platform.address=10.0.0.1:65536",
            "platform.address=10.0.0.1:\u00b2",
            "contract-params.grace-s=nan",
            "contract-params.grace-s=inf",
        ):
            parsed = settings_file.parse(
                SETTINGS.format(store="10.0.0.2:3") + line
            )
            self.assertIsInstance(parsed, result.Failure, line)


class FaultyDaemon:
    """A daemon whose shutdown fails in every step."""

    def __init__(self):
        self.steps = []
        self.drains_until = 0.0

    async def drain(self):
        """Fail until a moment, then end."""
        self.steps.append("drain")
        if asyncio.get_running_loop().time() < self.drains_until:
            raise RuntimeError("drain")

    def stop(self):
        """Fail."""
        self.steps.append("stop")
        raise RuntimeError("stop")

    def close(self):
        """Fail."""
        self.steps.append("close")
        raise RuntimeError("close")


class TestShutdown(testtools.TestCase):
    """Faults in the steps of a shutdown."""

    def shut_down(self, drains_until, granted_s=6.0):
        """Return the steps of a shutdown, and how long it took."""

        async def check():
            daemon = FaultyDaemon()
            daemon.drains_until = drains_until
            began_at = asyncio.get_running_loop().time()
            await launch.shut_down(daemon, granted_s, [daemon], daemon)
            took_s = asyncio.get_running_loop().time() - began_at
            return daemon.steps, took_s

        return gateway_deployment.run(check())

    def test_all_steps_follow(self):
        """A step that fails must not skip the others."""
        steps, _ = self.shut_down(0.0)
        self.assertEqual(["drain", "stop", "stop", "close"], steps)

    def test_drain_that_fails_for_a_while(self):
        """A fault in the drain must not end the process early."""
        steps, took_s = self.shut_down(2.0)
        self.assertThat(took_s, matchers.GreaterThan(1.9))
        self.assertThat(took_s, matchers.LessThan(2.5))
        self.assertEqual(["stop", "stop", "close"], steps[-3:])

    def test_drain_that_fails(self):
        """A drain that fails again and again must end in time."""
        _, took_s = self.shut_down(99.0)
        self.assertThat(took_s, matchers.GreaterThan(5.0))
        self.assertThat(took_s, matchers.LessThan(6.0))


class TestStart(testtools.TestCase):
    """Signals during the start of the process."""

    def test_reload_before_the_settings_are_read(self):
        """Guards against a reload that ends a process which starts."""
        # The path is read once the handlers may be set; a FIFO holds the
        # process there until the signal has been sent.
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.conf"
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, "-m", "burdockcart.platform"],
                env={**os.environ, launch.SETTINGS_VARIABLE: str(path)},
                stderr=subprocess.DEVNULL,
            )
            with process, open(path, "w", encoding="utf-8") as settings:
                process.send_signal(signal.SIGHUP)
                settings.write("zone=z\n")
        self.assertEqual(2, process.returncode)
