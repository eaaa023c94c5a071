"""Tests the comparison of the logs of replicas."""

import testtools

from burdockcart.process.gateway.promotion import log_comparison
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP


class TestHold(testtools.TestCase):
    """Replicas that are asked to stop receiving."""

    def test_replica_that_ignores_the_hold(self):
        """One that knows a later term goes on acknowledging alone."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            group = daemon.group_by_id[GROUP]
            pools = [
                group.pool_by_member[each.id] for each in deployment.members
            ][1:]
            connections = [await each.take_or_open() for each in pools]
            channels = {
                each.pool.entry.id: each.channel for each in connections
            }
            comparison = log_comparison.LogComparison(
                group, channels, set(channels), daemon._clock
            )
            observe_all = comparison._query_all

            async def observe_before_a_promotion(asked, query):
                views = await observe_all(asked, query)
                for member in deployment.members:
                    member.term = 5
                return views

            comparison._query_all = observe_before_a_promotion
            self.assertIsNone(await comparison.candidate())
            for each in connections:
                each.pool.give_back(each)

        test_sessions.scenario(check, daemons=1)
