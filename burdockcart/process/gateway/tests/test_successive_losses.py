"""Tests groups that lose several members within seconds.

A crashed member refuses connections at its address; its entry stays for a
while.
"""

import asyncio
import contextlib

import loguru
import testtools

from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP
scenario = test_sessions.scenario


@contextlib.contextmanager
def log_lines():
    """Collect the log lines of all daemons."""
    lines = []
    sink = loguru.logger.add(lines.append, format="{message}", level="INFO")
    try:
        yield lines
    finally:
        loguru.logger.remove(sink)


def cut_off(deployment, member):
    """Cut a member off from all daemons, not from the other members."""
    for daemon in deployment.daemons:
        daemon.connector.cut.add(member.id)


async def join(deployment):
    """Let a fourth member join, and wait until the roster names it."""
    joined = test_replica_rosters.new_member(deployment, "m-d")
    await test_failover.writes_for(deployment, 4.0)
    return joined


async def lose_primary(deployment):
    """Crash the primary for good; return the time without one."""
    loop = asyncio.get_running_loop()
    lost, lost_at = deployment.group.primary, loop.time()
    lost.crash()
    await gateway_deployment.until(
        lambda: deployment.group.primary is not lost
    )
    return loop.time() - lost_at


def roster_ids(deployment):
    """Return the ids of the members that the stored roster names."""
    stored, _ = deployment.platform.roster_by_group[GROUP]
    return {each.id for each in stored.members}


class TestPutOff(testtools.TestCase):
    """What the log tells of a promotion that is put off."""

    def test_line_without_the_missing_members(self):
        """An operator must see who is missing, and why."""

        async def check(deployment):
            primary, first, lost = deployment.members
            await test_failover.writes_for(deployment, 0.5)
            lost.crash()
            primary.crash()
            deployment.platform.remove_member(lost.id)
            with log_lines() as lines:
                await asyncio.sleep(12.0)
            put_off = [
                each for each in lines if "event=promotion_put_off" in each
            ]
            self.assertIn(
                "members=m-a/1:primary,m-c/1:not_listed", "".join(put_off)
            )

        scenario(check, daemons=2)

    def test_line_without_the_replica_that_cannot_be_asked(self):
        """The same for a replica that is listed."""

        async def check(deployment):
            primary, first, lost = deployment.members
            await test_failover.writes_for(deployment, 0.5)
            cut_off(deployment, lost)
            primary.crash()
            with log_lines() as lines:
                await asyncio.sleep(3.0)
            self.assertIn("members=m-c/1:not_reached", "".join(lines))

        scenario(check, daemons=2)


class TestSecondLoss(testtools.TestCase):
    """Members are lost for good, one soon after the other."""

    def test_next_primary_is_lost_for_good(self):
        """The group must not wait for the first primary for good."""

        async def check(deployment):
            await join(deployment)
            await lose_primary(deployment)
            await test_failover.writes_for(deployment, 1.5)
            self.assertLess(await lose_primary(deployment), 3.0)
            self.assertEqual([], test_failover.lost_commits(deployment))
            self.assertEqual(2, len(deployment.platform.promotions))

        scenario(check, daemons=3)

    def test_replica_is_lost_before_the_primary(self):
        """The group must not wait for a replica that is gone for good."""

        async def check(deployment):
            await join(deployment)
            deployment.members[2].crash()
            await test_failover.writes_for(deployment, 1.5)
            self.assertLess(await lose_primary(deployment), 3.0)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=3)

    def test_daemons_that_start_between_the_losses(self):
        """They must know from the store that a member needn't be asked."""

        async def check(deployment):
            await join(deployment)
            deployment.members[2].crash()
            await test_failover.writes_for(deployment, 1.5)
            await test_replica_rosters.restart_all(deployment)
            await test_failover.writes_for(deployment, 1.0)
            self.assertLess(await lose_primary(deployment), 8.0)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=3)


class TestMemberThatMayRun(testtools.TestCase):
    """Members that daemons do not reach, and that may hold commits alone."""

    def test_replica_that_only_daemons_lose(self):
        """It acknowledges alone; its silence proves nothing."""

        async def check(deployment):
            primary, deaf, cut = deployment.members
            await test_failover.writes_for(deployment, 0.5)
            cut_off(deployment, cut)
            await test_failover.writes_for(deployment, 4.0)
            self.assertIn(cut.id, roster_ids(deployment))
            deaf.replication_cut = True
            await test_failover.writes_for(deployment, 1.0)
            self.assertNotEqual(deaf.received(), cut.received())
            primary.crash()
            await asyncio.sleep(15.0)
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=2)

    def test_replica_is_lost_beside_commits_that_it_held_alone(self):
        """Only a position that others hold covers them."""

        async def check(deployment):
            primary, deaf, member = deployment.members
            other = await join(deployment)
            deaf.replication_cut = other.replication_cut = True
            await test_failover.writes_for(deployment, 0.5)
            member.crash()
            await test_failover.writes_for(deployment, 3.0)
            self.assertIn(member.id, roster_ids(deployment))
            primary.crash()
            await asyncio.sleep(10.0)
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=2)


def hang_after_first_call(platform):
    """Carry out the next call, and leave it without an answer."""
    promote = platform.promote

    async def call_and_hang(*arguments):
        platform.promote = promote
        await promote(*arguments)
        await asyncio.sleep(60.0)

    platform.promote = call_and_hang


class TestSpentCall(testtools.TestCase):
    """The member of a call without an answer leads, and is lost then."""

    def test_call_counts_as_open_after_its_effect(self):
        """The group must not wait for the member of a call that is spent."""

        async def check(deployment):
            await join(deployment)
            hang_after_first_call(deployment.platform)
            await lose_primary(deployment)
            await test_failover.writes_for(deployment, 1.5)
            # The daemon that waits refuses the next notice.
            self.assertLess(await lose_primary(deployment), 5.0)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=3)

    def test_record_that_names_a_spent_call(self):
        """A daemon that claims finds the record of the caller again."""

        async def check(deployment):
            await join(deployment)
            hang_after_first_call(deployment.platform)
            await lose_primary(deployment)
            await test_failover.writes_for(deployment, 1.5)
            now = asyncio.get_running_loop().time()
            record, position = deployment.platform.record_by_group[GROUP]
            others = [
                each._failover.claims
                for each in deployment.daemons
                if each._failover._daemon != record.holder
            ]
            self.assertIsNotNone(record.candidate)
            for claims in others:
                lost = coordination.ClaimLost(record, position + 1)
                claims.lost(GROUP, lost, record.claimed_at_ms, now)
                self.assertIsNone(claims.candidate(GROUP, now))

        scenario(check, daemons=3)

    def test_call_whose_effect_was_not_seen(self):
        """It stays open: its member may be promoted at any time."""

        async def check(deployment):
            await join(deployment)
            platform = deployment.platform
            promote = platform.promote
            called = []

            async def call_late(group, member, *arguments):
                called.append(member)
                platform.promote = promote
                await asyncio.sleep(6.0)
                await promote(group, member, *arguments)
                await asyncio.sleep(60.0)

            platform.promote = call_late
            deployment.group.primary.crash()
            await gateway_deployment.until(lambda: called)
            await asyncio.sleep(3.0)
            now = asyncio.get_running_loop().time()
            for daemon in deployment.daemons:
                self.assertEqual(
                    called[0], daemon._failover.claims.candidate(GROUP, now)
                )
            await asyncio.sleep(10.0)
            self.assertEqual(called[0], deployment.platform.promotions[-1][1])
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=3)
