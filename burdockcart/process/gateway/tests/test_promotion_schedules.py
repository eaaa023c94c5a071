"""Tests seeded schedules of lost primaries, and what they have found."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import promotion_schedule
from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

#: Seeds by the way in which schedules are drawn.
SEEDS = {
    promotion_schedule.draw: (1, 2, 1050),
    promotion_schedule.draw_two_losses: (1, 2, 3),
}


class TestSchedules(testtools.TestCase):
    """Losses of primaries beside other faults."""

    def test_commits_that_clients_were_told_of(self):
        """Each must be in the log of each member that is promoted."""
        promotions = 0
        for draw, seeds in SEEDS.items():
            for seed in seeds:
                with self.subTest(draw=draw.__name__, seed=seed):
                    played = promotion_schedule.play(draw(seed))
                    promotions += played.promotions
                    told = [each for each in played.lost if each.told]
                    self.assertEqual([], told)
        self.assertGreater(promotions, 0)


class TestCommitsOnTheirWay(testtools.TestCase):
    """Commits reach the candidate 30 ms after a replica that has joined."""

    def play(self, join_after_s):
        """Let a replica join after a call that is answered at once.

        Returns the commits that members acknowledged and the promoted member
        lacks.
        """
        lost = []

        async def check(deployment):
            platform, group = deployment.platform, deployment.group
            primary = group.primary
            writers = test_open_calls.Writers(deployment, range(4))
            await asyncio.sleep(2.0)
            deployment.enter(primary, manifest.MemberState.DRAINING)
            await gateway_deployment.until(lambda: platform.promotions)
            await asyncio.sleep(join_after_s)
            test_replica_rosters.new_member(deployment, "m-d").catch_up()
            await gateway_deployment.until(lambda: group.primary.term > 1)
            kept = {each.position for each in group.primary.log}
            lost.extend(
                each for each in group.acknowledged if each not in kept
            )
            await asyncio.sleep(1.0)
            writers.stop()
            self.assertEqual([], writers.lost(group.primary))

        test_sessions.scenario(check, daemons=4, delay_s=0.03)
        return lost

    def test_replica_joins_before_a_promotion_takes_effect(self):
        """What it acknowledges alone must not be discarded."""
        for join_after_s in (0.1, 0.3, 0.5):
            with self.subTest(join_after_s=join_after_s):
                self.assertEqual([], self.play(join_after_s))
