"""Tests a planned replacement whose candidate lags after the call.

All daemons know the candidate ahead, and read the store all the time.  A
replica joins once the others are on hold.
"""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
#: Time between the starts of two daemons, in seconds: their polls of the store
#: differ in phase.
STARTS_APART_S = 0.55
#: Times from the last start until the primary drains, in seconds.
DRAINS_AFTER_S = (4.0, 4.3, 4.6, 4.9, 5.2, 5.5)


class TestLaggingCandidate(testtools.TestCase):
    """Only the caller has seen the record of the call when others block."""

    def play(self, drains_after_s):
        """Replace the primary; return the acknowledged writes that are lost.

        The candidate lags until it leads.
        """
        lost = []

        async def check(deployment):
            for number in (1, 2):
                await asyncio.sleep(STARTS_APART_S)
                await deployment.join(number)
            writers = test_open_calls.Writers(deployment, range(3))
            calls = test_open_calls.Calls(deployment, 1.0, all_late=True)
            await asyncio.sleep(drains_after_s)
            deployment.enter(
                deployment.group.primary, manifest.MemberState.DRAINING
            )
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            candidate = deployment.group.member_by_id[name]
            await asyncio.sleep(0.05)
            candidate.replication_cut = True
            test_replica_rosters.new_member(deployment, "m-d").catch_up()
            await gateway_deployment.until(lambda: candidate.leads)
            await asyncio.sleep(1.0)
            writers.stop()
            self.assertGreater(len(writers.told), 50)
            lost.extend(writers.lost(candidate))

        test_sessions.scenario(check, daemons=1)
        return lost

    def test_prepared_member_that_has_been_called(self):
        """Daemons must go by it until they know what became of the call."""
        lost_by_time = {each: self.play(each) for each in DRAINS_AFTER_S}
        self.assertEqual({each: [] for each in DRAINS_AFTER_S}, lost_by_time)
