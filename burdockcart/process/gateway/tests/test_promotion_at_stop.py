"""Tests daemons that are stopped while they replace a primary."""

import asyncio

import testtools

from burdockcart.process.gateway.promotion import log_comparison
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

State = manifest.MemberState
GROUP = gateway_deployment.GROUP


class TestStop(testtools.TestCase):
    """A planned stop in the middle of a promotion."""

    def slow_comparison(self, pause_s):
        """Make the candidate need a while to catch up."""
        wait = log_comparison.LogComparison._wait_for_catch_up

        async def slow(comparison, candidate, held):
            await asyncio.sleep(pause_s)
            return await wait(comparison, candidate, held)

        self.patch(log_comparison.LogComparison, "_wait_for_catch_up", slow)

    async def promoting(self, deployment):
        """Return the daemon that has put a replica on hold."""
        deployment.enter(deployment.group.primary, State.DRAINING)
        await gateway_deployment.until(
            lambda: any(each.held_term for each in deployment.members)
        )
        record, _ = deployment.platform.record_by_group[GROUP]
        return next(
            each
            for each in deployment.daemons
            if each._settings.daemon == record.holder
        )

    async def end(self, deployment, daemon):
        """Stop a daemon and end what is left of it, as its process does."""
        await daemon.stop()
        for task in daemon._failover._task_by_group.values():
            task.cancel()
        deployment.daemons.remove(daemon)

    def test_replicas_receive_again(self):
        """No replica may stay on hold when nobody replaces the primary."""

        async def check(deployment):
            self.slow_comparison(0.8)
            old = deployment.group.primary
            daemon = await self.promoting(deployment)
            deployment.enter(old, State.READY)
            await self.end(deployment, daemon)
            await asyncio.sleep(6.0)
            self.assertIs(old, deployment.group.primary)
            self.assertEqual(
                [], [each.id for each in deployment.members if each.held_term]
            )
            replies = await test_failover.writes_for(deployment, 1.0)
            self.assertNotIn(
                False, [gateway_deployment.ok(each) for _, each in replies]
            )

        test_sessions.scenario(check, daemons=2)

    def test_another_daemon_goes_on(self):
        """Another daemon must replace the primary, and only that one acts."""

        async def check(deployment):
            self.slow_comparison(0.2)
            old = deployment.group.primary
            daemon = await self.promoting(deployment)
            await self.end(deployment, daemon)
            await asyncio.sleep(8.0)
            self.assertIsNot(old, deployment.group.primary)
            self.assertEqual(1, len(deployment.platform.promotions))
            self.assertEqual(
                [], [each.id for each in deployment.members if each.held_term]
            )

        test_sessions.scenario(check, daemons=2)

    def test_drain_waits(self):
        """A daemon must not end in the middle of a promotion."""

        async def check(deployment):
            self.slow_comparison(3.0)
            loop = asyncio.get_running_loop()
            daemon = await self.promoting(deployment)
            began_at = loop.time()
            await daemon.drain()
            self.assertLess(loop.time() - began_at, 5.6)
            self.assertEqual(1, len(deployment.platform.promotions))

        test_sessions.scenario(check, daemons=1)

    def test_late_cause(self):
        """A daemon that ends soon must leave a new promotion to others."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            connection = gateway_deployment.IdleConnection(daemon.clients)
            connection.idle = False
            draining = asyncio.create_task(daemon.drain())
            await asyncio.sleep(4.0)
            deployment.enter(deployment.group.primary, State.DRAINING)
            await draining
            await daemon.stop()
            self.assertEqual([], deployment.platform.promotions)

        test_sessions.scenario(check, daemons=1)
