"""Tests what a daemon makes of a store that was restored from a copy."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.gateway.tests import test_store_follower
from burdockcart.tests import gateway_deployment

scenario = test_sessions.scenario
version = test_store_follower.version


class TestManifest(testtools.TestCase):
    """The manifest in force after a restore."""

    def test_manifest_written_again_is_not_missed(self):
        """A revision of the earlier history must not hide a manifest.

        The manifest was written again below the revision that the daemons
        had seen, and later writes brought the store past it.
        """

        async def check(deployment):
            platform = deployment.platform
            copied = platform.copy()
            for member in deployment.members:
                deployment.enter(member)
            await asyncio.sleep(2.0)
            platform.restore(copied)
            platform.put_tables(gateway_deployment.tables(2))
            for member in deployment.members * 2:
                deployment.enter(member)
            await asyncio.sleep(2.5)
            self.assertEqual(
                [2, 2], [version(deployment, each) for each in (0, 1)]
            )

        scenario(check)
