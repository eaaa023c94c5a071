"""Tests holders that die, freeze, leave or have no way to a member."""

import asyncio

import testtools

from burdockcart import errors
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.peers.tests import relay_case
from burdockcart.tests import gateway_deployment


class TestLostHolder(testtools.TestCase):
    """A holder that dies, freezes or leaves."""

    def test_write_without_answer_is_not_repeated(self):
        """A write whose holder died must end in doubt and run once."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            client = await deployment.client("live", number)
            await client.write()
            daemon = deployment.daemons[number]
            holder = relay_case.holder_in_use(
                deployment, daemon, deployment.group.primary
            )
            deployment.group.primary.work_s = 0.2
            running = asyncio.create_task(client.write())
            await asyncio.sleep(0.1)
            holder.relay.stop()
            reply = await running
            self.assertIs(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                gateway_deployment.kind_of(reply),
            )
            deployment.group.primary.work_s = 0.005
            self.assertTrue(gateway_deployment.ok(await client.write()))
            ran = test_sessions.runs_of(deployment, client.sent[-2])
            self.assertLessEqual(len(ran), 1)

        relay_case.scenario(check)

    def test_frozen_holder(self):
        """Other statements must go through another holder.

        The write that the frozen holder has keeps running.
        """

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            client = await deployment.client("live", number)
            other = await deployment.client("live", number)
            await client.write()
            daemon = deployment.daemons[number]
            holder = relay_case.holder_in_use(
                deployment, daemon, deployment.group.primary
            )
            deployment.peers.frozen.add(holder._settings.daemon)
            running = asyncio.create_task(client.write())
            await asyncio.sleep(0.4)
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertTrue(gateway_deployment.ok(await other.write()))
            self.assertLess(loop.time() - began, 0.2)
            self.assertFalse(running.done())
            deployment.peers.frozen.clear()
            self.assertTrue(gateway_deployment.ok(await running))
            ran = test_sessions.runs_of(deployment, client.sent[-1])
            self.assertEqual(1, len(ran))

        relay_case.scenario(check)

    def test_leaving_holder(self):
        """A holder that shuts down must cut no statement."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            clients = [
                await deployment.client("live", number) for _ in range(4)
            ]
            await asyncio.gather(*(each.write() for each in clients))
            holder = relay_case.holder_in_use(
                deployment,
                deployment.daemons[number],
                deployment.group.primary,
            )
            tasks = [
                asyncio.create_task(
                    test_failover.writes_for(deployment, 4.0, number, 0.01)
                )
                for _ in range(4)
            ]
            await asyncio.sleep(0.3)
            await holder.drain()
            await holder.stop()
            deployment.daemons.remove(holder)
            replies = [
                reply
                for found in await asyncio.gather(*tasks)
                for _, reply in found
            ]
            self.assertGreater(len(replies), 100)
            self.assertNotIn(False, map(gateway_deployment.ok, replies))

        relay_case.scenario(check)

    def test_no_holder_can_be_reached(self):
        """A daemon without holders must connect to the member itself."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            daemon = deployment.daemons[number]
            own = daemon._settings.daemon
            deployment.peers.cut |= {
                frozenset((own, each._settings.daemon))
                for each in deployment.daemons
                if each is not daemon
            }
            client = await deployment.client("live", number)
            until = asyncio.get_running_loop().time() + 3.0
            while asyncio.get_running_loop().time() < until:
                reply = await client.write()
                await asyncio.sleep(0.05)
            self.assertTrue(gateway_deployment.ok(reply))
            self.assertTrue(relay_case.holds(daemon, deployment.group.primary))

        relay_case.scenario(check)

    def test_lost_primary(self):
        """A lost primary must be replaced although few daemons hold it."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            task = asyncio.create_task(
                test_failover.writes_for(deployment, 4.0, number)
            )
            await asyncio.sleep(0.5)
            lost = deployment.group.primary
            crashed_at = asyncio.get_running_loop().time()
            lost.crash()
            replies = await task
            served = [
                at
                for at, reply in replies
                if gateway_deployment.ok(reply) and at > crashed_at
            ]
            self.assertLess(served[0] - crashed_at, 2.5)
            self.assertEqual([], test_failover.lost_commits(deployment))
            self.assertEqual(1, len(deployment.platform.promotions))

        relay_case.scenario(check)

    def test_holder_without_a_way(self):
        """A holder that is cut off from a member must not have it replaced.

        Its refusals counted as those of the member, and two of them replaced
        a healthy primary.
        """

        async def check(deployment):
            primary = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, primary)
            client = await deployment.client("live", number)
            await client.write()
            holder = relay_case.holder_in_use(
                deployment, deployment.daemons[number], primary
            )
            # The holder alone cannot reach it, and cannot promote either.
            holder.connector.cut.add(primary.id)
            holder.link.cut = True
            deployment.peers.cut |= {
                frozenset((holder._settings.daemon, each._settings.daemon))
                for each in deployment.daemons
                if each is not deployment.daemons[number]
            }
            replies = await test_failover.writes_for(deployment, 4.0, number)
            kept = [gateway_deployment.ok(reply) for _, reply in replies]
            self.assertGreater(sum(kept[-50:]), 45)
            self.assertEqual([], deployment.platform.promotions)

        relay_case.scenario(check)

    def test_dead_holder_is_no_dead_primary(self):
        """The loss of a holder must not replace the primary."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            client = await deployment.client("live", number)
            await client.write()
            holder = relay_case.holder_in_use(
                deployment,
                deployment.daemons[number],
                deployment.group.primary,
            )
            holder.relay.stop()
            replies = await test_failover.writes_for(deployment, 3.0, number)
            kept = [gateway_deployment.ok(reply) for _, reply in replies]
            self.assertGreater(sum(kept), 0.9 * len(kept))
            self.assertEqual([], deployment.platform.promotions)

        relay_case.scenario(check)


class TestDetour(testtools.TestCase):
    """A member that some daemons cannot reach themselves."""

    def served_behind_a_cut(self, cut_peers):
        """Return the replies of a daemon that is cut off from the primary."""
        found = []

        async def check(deployment):
            # Until the daemons know each other.
            await asyncio.sleep(3.0)
            daemon = deployment.daemons[0]
            primary = deployment.group.primary
            client = await deployment.client("live", 0)
            await client.write()
            daemon.connector.cut.add(primary.id)
            if cut_peers:
                deployment.peers.cut.add(frozenset(("d0", "d1")))
            deployment.platform.outage = True
            await asyncio.sleep(0.7)
            for _ in range(20):
                found.append(gateway_deployment.ok(await client.write()))
                await asyncio.sleep(0.05)
            self.assertEqual([], deployment.platform.promotions)

        test_sessions.scenario(check, daemons=2)
        return found

    def test_through_another_daemon(self):
        """Statements must take the way through a daemon that reaches it.

        Three of four daemons were cut off from a new primary for 7 s, and
        refused the statements of their clients.
        """
        served = self.served_behind_a_cut(cut_peers=False)
        self.assertGreater(sum(served), 0.9 * len(served))

    def test_no_other_way(self):
        """Without another daemon the statements must be refused."""
        self.assertEqual(0, sum(self.served_behind_a_cut(cut_peers=True)))
