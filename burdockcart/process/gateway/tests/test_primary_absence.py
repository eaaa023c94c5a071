"""Tests the metric that tells for how long a group has had no primary."""

import asyncio
import re

import testtools

from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

scenario = test_sessions.scenario
SAMPLE = re.compile(
    r'^burdockcart_primary_missing_seconds\{group="g",reason="(.*)"\} (\S+)$',
    re.MULTILINE,
)
GAP = "more members than a primary were not asked"


def samples(daemon):
    """Return the reasons and seconds that a daemon's metrics show."""
    found = SAMPLE.findall(daemon.measure().decode())
    return [(reason, float(seconds)) for reason, seconds in found]


class TestPrimaryMissing(testtools.TestCase):
    """Seconds without a primary, with one reason for each group."""

    def test_primary_that_leads(self):
        """Guards against an alert for a primary without traffic."""

        async def check(deployment):
            for _ in range(50):
                await asyncio.sleep(0.11)
                for daemon in deployment.daemons:
                    self.assertEqual([("none", 0.0)], samples(daemon))

        scenario(check)

    def test_replaced_primary(self):
        """The time must end with the promotion, on each daemon."""

        async def check(deployment):
            deployment.group.primary.crash()
            await asyncio.sleep(0.5)
            shown = [samples(each) for each in deployment.daemons]
            for ((reason, seconds),) in shown:
                self.assertNotEqual("none", reason)
                self.assertGreater(seconds, 0.3)
            await asyncio.sleep(4.0)
            for daemon in deployment.daemons:
                self.assertEqual([("none", 0.0)], samples(daemon))

        scenario(check, daemons=3)

    def test_promotion_that_cannot_be_proved(self):
        """The time must grow, with the reason for which it is put off.

        The primary and a replica that may have had commits alone are gone.
        """

        async def check(deployment):
            primary, deaf, lost = deployment.members
            deaf.replication_cut = True
            await test_failover.writes_for(deployment, 1.0)
            for each in (primary, lost):
                each.crash()
                deployment.platform.remove_member(each.id)
            for waited_s in (10.0, 20.0):
                await asyncio.sleep(10.0)
                shown = [samples(each) for each in deployment.daemons]
                for ((_, seconds),) in shown:
                    self.assertGreater(seconds, waited_s - 1.0)
                    self.assertLess(seconds, waited_s + 1.5)
                self.assertIn(GAP, [each[0][0] for each in shown])

        scenario(check)

    def test_daemon_that_is_cut_off(self):
        """One daemon that reaches nothing must not look like a lost primary.

        The alert takes the least time among all daemons.
        """

        async def check(deployment):
            first, second = deployment.daemons
            first.connector.cut |= {each.id for each in deployment.members}
            first.link.cut = True
            deployment.peers.cut.add(frozenset(("d0", "d1")))
            await asyncio.sleep(6.0)
            ((reason, seconds),) = samples(first)
            self.assertEqual("this daemon is cut off", reason)
            self.assertGreater(seconds, 4.0)
            self.assertEqual([("none", 0.0)], samples(second))

        scenario(check)

    def test_stalled_process(self):
        """A pause of the daemon alone must not end the time."""

        async def check(deployment):
            primary, _, lost = deployment.members
            await test_failover.writes_for(deployment, 1.0)
            for each in (primary, lost):
                each.crash()
                deployment.platform.remove_member(each.id)
            await asyncio.sleep(6.0)
            (daemon,) = deployment.daemons
            daemon._failover._after_stall(1.0)
            await asyncio.sleep(0.2)
            ((_, seconds),) = samples(daemon)
            self.assertGreater(seconds, 5.0)

        scenario(check, daemons=1)

    def test_group_that_was_removed(self):
        """A group that no manifest names must leave the metrics."""

        async def check(deployment):
            (daemon,) = deployment.daemons
            daemon.measure()
            daemon.group_by_id.pop(gateway_deployment.GROUP).close()
            self.assertEqual([], samples(daemon))

        scenario(check, daemons=1)
