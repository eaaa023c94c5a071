"""Guards the reload of a daemon's settings."""

import asyncio
import pathlib
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
