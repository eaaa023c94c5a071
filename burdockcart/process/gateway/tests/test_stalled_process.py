"""Tests holders and registration while a daemon itself is at fault."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_own_link
from burdockcart.process.peers.tests import relay_case
from burdockcart.tests import gateway_deployment


class TestHolders(testtools.TestCase):
    """A relaying daemon whose own link or process is at fault.

    It took its holders for silent, and connected to all members itself.
    """

    def check_holders(self, disturb):
        """Disturb a relaying daemon under load; it must keep its holders."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            daemon = deployment.daemons[number]
            pools = daemon.group_by_id[
                gateway_deployment.GROUP
            ].pool_by_member.values()
            held = [pool.direct for pool in pools]
            load = test_own_link.Load(deployment, 3.0, number)
            await asyncio.sleep(0.5)
            with test_own_link.logged(
                "member_held", "holder_unreachable"
            ) as lines:
                await disturb(deployment, number)
                await load.replies()
            self.assertEqual([], lines)
            self.assertEqual(held, [pool.direct for pool in pools])

        relay_case.scenario(check)

    def test_full_link(self):
        """Holders are not silent because the daemon's link is full."""

        async def disturb(deployment, number):
            for queue_s in (0.3, 0.4, 0.5):
                await test_own_link.fill(deployment, 0.3, queue_s, number)
                await asyncio.sleep(0.05)

        self.check_holders(disturb)

    def test_stalled_process(self):
        """Holders are not silent because the daemon's process stands."""

        async def disturb(deployment, number):
            loop = asyncio.get_running_loop()
            for step in range(15):
                await asyncio.sleep(0.1 + 0.0017 * step)
                loop.block(0.4)

        self.check_holders(disturb)


class TestStalledProcess(testtools.TestCase):
    """The process of a daemon gets no processor time for a while.

    The answers of that time lie unread in its sockets.
    """

    def check_block(self, duration_s, **options):
        """Block the event loop several times under load."""

        async def check(deployment):
            loop = asyncio.get_running_loop()
            number = (
                relay_case.relaying_daemon(
                    deployment, deployment.group.primary
                )
                if options["daemons"] > 4
                else 0
            )
            load = test_own_link.Load(deployment, 6.0, number)
            await asyncio.sleep(0.5)
            given_up = test_own_link.aborted(deployment, number)
            with test_own_link.logged(
                "attempt_failed",
                "member_unreachable",
                "member_connect_failed",
                "holder_unreachable",
                "promotion_begun",
            ) as lines:
                for step in range(20):
                    # At another step of the statements each time.
                    await asyncio.sleep(0.1 + 0.0017 * step)
                    loop.block(duration_s)
                reads, writes = await load.replies()
            self.assertEqual([], given_up)
            self.assertEqual([], lines)
            self.assertNotIn(False, map(gateway_deployment.ok, reads + writes))

        relay_case.scenario(check, **options)

    def test_blocked_event_loop(self):
        """Answers that arrived meanwhile must be used."""
        for duration_s in (0.07, 0.15, 0.25, 0.4):
            with self.subTest(duration_s=duration_s):
                self.check_block(duration_s, daemons=1)

    def test_blocked_event_loop_of_a_relaying_daemon(self):
        """The holders of a daemon are not silent because it is."""
        for duration_s in (0.07, 0.15, 0.25, 0.4):
            with self.subTest(duration_s=duration_s):
                self.check_block(duration_s, daemons=9)


class TestLapsedLease(testtools.TestCase):
    """The store does not answer a daemon for a while."""

    def check_cut(self, cut_s):
        """Cut a daemon off from the store; it must stay on the list."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            holder = relay_case.holder_in_use(
                deployment,
                deployment.daemons[number],
                deployment.group.primary,
            )
            load = test_own_link.Load(deployment, cut_s + 4.0, number)
            known = set(deployment.daemons[number].tables.daemons)
            holder.link.cut = True
            listed = [known]
            loop = asyncio.get_running_loop()
            until = loop.time() + cut_s
            while loop.time() < until + 3.0:
                holder.link.cut = loop.time() < until
                listed.append(set(deployment.daemons[number].tables.daemons))
                await asyncio.sleep(0.1)
            reads, writes = await load.replies()
            self.assertEqual([], test_own_link.refused(reads + writes))
            self.assertEqual([], [each for each in listed if each != known])

        relay_case.scenario(check)

    def test_short_cut(self):
        """Two renewals without an answer must not end the registration."""
        for cut_s in (2.5, 4.0, 5.0):
            with self.subTest(cut_s=cut_s):
                self.check_cut(cut_s)
