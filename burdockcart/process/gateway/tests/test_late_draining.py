"""Tests daemons that learn late that a member will leave."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_overlapping_promotions
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.version import manifest

#: Time after which a draining member must get no new work, in seconds.
DRAIN_S = 7.0


class TestLateDraining(testtools.TestCase):
    """A primary drains, and no replica can be promoted."""

    def latest_run_s(self, cut_s):
        """Return how long after its announcement the member ran work."""
        found = []

        async def check(deployment):
            daemon = deployment.daemons[0]

            async def refuse(*arguments):
                return test_overlapping_promotions.unavailable()

            deployment.platform.promote = refuse
            client = await deployment.client("live")
            await client.write()
            loop = asyncio.get_running_loop()
            announced_at = loop.time()
            daemon.link.store_cut = True
            deployment.enter(
                deployment.group.primary, manifest.MemberState.DRAINING
            )
            writes = asyncio.create_task(
                test_failover.writes_for(deployment, 14.0)
            )
            await asyncio.sleep(cut_s)
            daemon.link.store_cut = False
            await writes
            found.append(
                max(run.at for run in deployment.group.runs) - announced_at
            )

        test_sessions.scenario(check, daemons=1)
        return found[0]

    def test_daemon_that_was_cut_off(self):
        """The time to drain must not begin when the daemon hears of it."""
        self.assertLess(self.latest_run_s(cut_s=4.5), DRAIN_S)

    def test_daemon_that_hears_at_once(self):
        """Work that only the member can run must not stop too early."""
        found_s = self.latest_run_s(cut_s=0.0)
        self.assertLess(found_s, DRAIN_S)
        self.assertGreater(found_s, 0.5 * DRAIN_S)
