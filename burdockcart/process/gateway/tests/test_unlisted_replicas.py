"""Tests promotions beside replicas that no daemon knows yet."""

import asyncio

import testtools

from burdockcart.process.gateway.promotion import passed_commits
from burdockcart.process.gateway.promotion import promotion_call
from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.gateway.tests import test_unplanned_calls
from burdockcart.request import log_position
from burdockcart.tests import gateway_deployment


async def lose_primary(deployment, daemons=range(3)):
    """Lose it after a replica that nobody knows acknowledged alone.

    Returns the writers, clients of some daemons, and that replica.
    """
    primary = deployment.group.primary
    writers = test_open_calls.Writers(deployment, daemons)
    await asyncio.sleep(3.0)
    for member in deployment.members[1:]:
        member.replication_cut = True
    new = test_replica_rosters.new_member(deployment, "m-d", listed=False)
    new.catch_up()
    await asyncio.sleep(0.2)
    primary.crash()
    return writers, new


class TestUnlistedReplica(testtools.TestCase):
    """A replica acknowledges before its entry is in the store."""

    def test_commits_before_the_hold_that_it_has_alone(self):
        """What clients were told must not be promoted away unseen."""

        async def check(deployment):
            writers, new = await lose_primary(deployment)
            new.replication_cut = True
            await asyncio.sleep(1.5)
            deployment.enter(new)
            await asyncio.sleep(3.0)
            writers.stop()
            self.assertEqual([], writers.lost(deployment.group.primary))

        test_sessions.scenario(check, daemons=3)

    def test_commits_of_another_daemon_beside_a_silent_one(self):
        """What others passed on counts also after the wait for that one."""

        async def check(deployment):
            for number in (0, 2):
                deployment.daemons[number]._failover.leave(0.0)
            test_unplanned_calls.cut_links(deployment, 2)
            writers, new = await lose_primary(deployment, (0,))
            new.replication_cut = True
            await asyncio.sleep(4.0)
            deployment.enter(new)
            lost = deployment.members[0]
            await gateway_deployment.until(
                lambda: deployment.group.primary is not lost, 8.0
            )
            writers.stop()
            self.assertGreater(len(writers.told), 50)
            self.assertEqual([], writers.lost(deployment.group.primary))

        test_sessions.scenario(check, daemons=3)

    def test_commits_on_their_way_at_the_loss(self):
        """Commits that were sent side by side are covered one by one.

        The listed replicas receive 10 ms later than the new one.
        """
        for begins_s in (3.0, 3.007, 3.014, 3.042, 3.049):
            with self.subTest(begins_s=begins_s):
                self.lose_on_the_way(begins_s)

    def lose_on_the_way(self, begins_s):
        """Lose the primary after a replica that nobody knows has joined."""

        async def check(deployment):
            primary = deployment.group.primary
            writers = test_open_calls.Writers(deployment, range(3))
            await asyncio.sleep(begins_s)
            new = test_replica_rosters.new_member(
                deployment, "m-d", listed=False
            )
            new.catch_up()
            await asyncio.sleep(0.2)
            primary.crash()
            await asyncio.sleep(1.5)
            deployment.enter(new)
            await asyncio.sleep(3.0)
            writers.stop()
            self.assertIsNot(primary, deployment.group.primary)
            self.assertEqual([], writers.lost(deployment.group.primary))

        test_sessions.scenario(check, daemons=3, delay_s=0.01)

    def test_member_that_is_lost_as_well(self):
        """Guards against a group without a primary for good."""

        async def check(deployment):
            primary = deployment.group.primary
            writers, new = await lose_primary(deployment)
            new.crash()
            waited_s = promotion_call.MISSING_MEMBER_S
            await asyncio.sleep(waited_s - 0.5)
            self.assertIs(primary, deployment.group.primary)
            await asyncio.sleep(4.0)
            writers.stop()
            self.assertIsNot(primary, deployment.group.primary)

        test_sessions.scenario(check, daemons=3)


class TestCertainPosition(testtools.TestCase):
    """What a log must have at least if it has all that was passed on."""

    def setUp(self):
        super().setUp()
        self.time = 0.0
        self.passed = passed_commits.PassedCommits(self)

    def now(self):
        """Return the time of this clock."""
        return self.time

    def add(self, number, asked_at, at, term=1):
        """Pass on a commit with a position of the primary."""
        self.time = at
        position = log_position.LogPosition(term, number)
        self.passed.add(position, asked_at)

    def certain(self):
        """Return the position as a pair; None if there is none."""
        found = self.passed.promise(self.time).certain
        return found and (found.term, found.number)

    def test_reported_end_of_the_log_is_not_certain(self):
        """Guards against a wait for commits that no replica received."""
        self.add(90, asked_at=0.9, at=1.0)
        self.assertIsNone(self.certain())
        # Sent before 90 was known.
        self.add(95, asked_at=0.95, at=1.1)
        self.assertIsNone(self.certain())
        self.add(99, asked_at=1.2, at=1.3)
        self.assertEqual((1, 96), self.certain())

    def test_commit_of_a_new_term(self):
        """Guards against numbers of one term that are used in another."""
        self.add(90, asked_at=0.9, at=1.0)
        self.add(5, asked_at=2.0, at=2.1, term=2)
        self.assertIsNone(self.certain())
        self.add(6, asked_at=2.2, at=2.3, term=2)
        self.assertEqual((2, 6), self.certain())

    def test_commits_at_a_high_rate(self):
        """Guards against positions that are known earlier than they were."""
        for place in range(100):
            at = 1.0 + place * 0.001
            self.add(100 + place, asked_at=at - 0.01, at=at)
            known = 100 + place - 10
            certain = self.certain()
            if certain is not None:
                self.assertLessEqual(certain[1], known + 1)
