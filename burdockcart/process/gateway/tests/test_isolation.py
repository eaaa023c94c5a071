"""Tests how daemons react to a partition between failure domains."""

import asyncio

import testtools

from burdockcart.connection import member_channel
from burdockcart.process.gateway.members import isolation
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

scenario = test_sessions.scenario


async def when_not_ready(daemon):
    """Return the time at which a daemon is no longer ready."""
    await gateway_deployment.until(lambda: not daemon.ready())
    return asyncio.get_running_loop().time()


class TestCutDomain(testtools.TestCase):
    """A failure domain is partitioned while clients still reach it.

    Without a reaction, a third of the clients were not served for 5 s.
    """

    def test_clients_are_sent_elsewhere(self):
        """An isolated daemon must send its clients elsewhere."""

        async def check(deployment):
            loop = asyncio.get_running_loop()
            # The primary is in another failure domain.
            daemon = deployment.daemons[1]
            client = await deployment.client("layers", 1)
            await client.write()
            held = [
                gateway_deployment.IdleConnection(daemon.clients)
                for _ in range(10)
            ]
            cut_at = loop.time()
            daemon.link.cut = True
            deployment.peers.cut |= {
                frozenset(("d1", other)) for other in ("d0", "d2")
            }
            for member in (deployment.members[0], deployment.members[2]):
                daemon.connector.cut.add(member.id)
                for channel in list(daemon.connector.channels):
                    if channel.member is member:
                        channel.close()
            left_at = asyncio.create_task(when_not_ready(daemon))
            for _ in range(8):
                await client.write()
                await client.read()
                await asyncio.sleep(0.2)
            self.assertFalse(daemon.ready())
            # Two checks of each member, without waiting for the store.
            self.assertLess(await left_at - cut_at, 0.6)
            await gateway_deployment.until(
                lambda: not daemon.clients.connections
            )
            closed = [each.closed_at - cut_at for each in held]
            self.assertGreater(min(closed), 2.0)
            self.assertLess(max(closed), 4.5)
            daemon.link.cut = False
            daemon.connector.cut.clear()
            healed_at = loop.time()
            await gateway_deployment.until(daemon.ready)
            self.assertLess(loop.time() - healed_at, 1.5)
            for _ in range(20):
                await client.write()
                await asyncio.sleep(0.1)
            # The primary was healthy all the time and must not have been
            # replaced.
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=3)

    def test_failures_of_a_cut_are_forgotten(self):
        """Failures seen while isolated must not replace a primary.

        A daemon replaced the primaries of three groups as soon as its
        isolation had ended.
        """

        async def check(deployment):
            daemon = deployment.daemons[0]
            pool = daemon.group_by_id[gateway_deployment.GROUP].primary.pool()
            now = asyncio.get_running_loop().time()
            daemon._isolation.set_isolated(now)
            for _ in range(3):
                pool.health.record_failure(
                    now, member_channel.MemberFault.SILENT
                )
            daemon._isolation.set_isolated(None)
            self.assertFalse(pool.health.failing)

        scenario(check, daemons=1)

    def test_members_that_answered_shortly_before(self):
        """A cut must show although all members answered just before it.

        Members that had answered less than 0.15 s before the first failure
        were not checked, so a daemon without traffic to them never noticed.
        """

        async def check(deployment):
            daemon = deployment.daemons[1]
            group = daemon.group_by_id[gateway_deployment.GROUP]
            daemon._renew_samples = lambda: None
            remote = [deployment.members[0], deployment.members[2]]
            await asyncio.sleep(1.0)
            now = asyncio.get_running_loop().time()
            deployment.peers.cut |= {
                frozenset(("d1", other)) for other in ("d0", "d2")
            }
            daemon.link.cut = True
            for member in remote:
                daemon.connector.cut.add(member.id)
                group.pool_by_member[member.id].health.record_answer(now)
            group.pool_by_member[remote[0].id].health.record_failure(
                now, member_channel.MemberFault.SILENT
            )
            await gateway_deployment.until(
                lambda: not daemon.ready(), within_s=1.0
            )

        scenario(check, daemons=3)

    def test_quiet_member_may_be_well(self):
        """Members without recent traffic must not count as failed.

        Daemons with little traffic outside of the partitioned failure domain
        sent their clients away.
        """
        lost = isolation.RemoteMember(failing=True, last_answer_at=1.0)
        quiet = isolation.RemoteMember(failing=False, last_answer_at=1.0)
        self.assertFalse(isolation.suspected([lost, lost, quiet], now=2.0))
        self.assertTrue(isolation.suspected([lost, lost, lost], now=2.0))

    def test_store_alone_is_away(self):
        """An outage of the store alone must not isolate a daemon."""

        async def check(deployment):
            client = await deployment.client("layers", 1)
            deployment.daemons[1].link.cut = True
            for _ in range(20):
                self.assertTrue(gateway_deployment.ok(await client.write()))
                await asyncio.sleep(0.2)
            self.assertTrue(deployment.daemons[1].ready())

        scenario(check, daemons=3)
