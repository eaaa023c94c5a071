"""Tests what a daemon tells its clients after a call that it takes for open.

It was told of a call, and has read neither the store nor a notice since.  The
call was carried out, so that its candidate leads; the others call for another
member.
"""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.gateway.tests import test_unplanned_calls
from burdockcart.tests import gateway_deployment

#: Time from the second call until a member joins, in seconds; a daemon that
#: does not read the store looks at the replicas each 0.4 s.
JOIN_AFTER_S = 0.6


class TestCallForThePresentPrimary(testtools.TestCase):
    """The candidate of the call that one daemon knows leads already."""

    def play(self, told):
        """Let the others replace the new primary, too.

        Parameters
        ==========

        told : bool
            Whether the first daemon is told of the first call.

        """

        async def check(deployment):
            platform, group = deployment.platform, deployment.group
            alone, *others = deployment.daemons
            first = group.primary
            writers = test_open_calls.Writers(deployment, range(3))
            await asyncio.sleep(3.0)
            if not told:
                test_unplanned_calls.cut_links(deployment, 0)
                alone.link.store_cut = True
            first.crash()
            await gateway_deployment.until(lambda: platform.promotions)
            test_unplanned_calls.cut_links(deployment, 0)
            alone.link.store_cut = True
            await gateway_deployment.until(lambda: group.primary is not first)
            await test_open_calls.start_again(deployment, first)
            await asyncio.sleep(5.0)
            calls = test_open_calls.Calls(deployment, 5.0, all_late=True)
            second = group.primary
            for daemon in others:
                daemon.connector.cut.add(second.id)
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            candidate = group.member_by_id[name]
            candidate.replication_cut = True
            await asyncio.sleep(JOIN_AFTER_S)
            test_replica_rosters.new_member(deployment, "m-d").catch_up()
            await gateway_deployment.until(lambda: candidate.leads)
            writers.stop()
            self.assertEqual([], writers.lost(candidate))

        test_sessions.scenario(check, daemons=3)

    def test_call_that_was_carried_out(self):
        """It must look at the replicas like one that knows of no call."""
        self.play(told=True)

    def test_daemon_that_knows_no_call(self):
        """Guards the timeline of the test above: here it looks at them."""
        self.play(told=False)
