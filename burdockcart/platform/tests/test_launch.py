"""Guards the reload of a daemon's settings."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import testtools

from burdockcart.platform import launch
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
                    launch.watch_settings(path, platform)
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
