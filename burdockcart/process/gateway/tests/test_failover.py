"""Tests the replacement of primaries by gateway daemons."""

import asyncio

import testtools

from burdockcart.emulator import wire_member
from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import log_position
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

scenario = test_sessions.scenario


def view(**changed):
    """Return the view of a healthy primary with the given changes."""
    fields = {
        "leads_since": 0.0,
        "draining": False,
        "failures": 0,
        "refusals": 0,
        "first_failure_at": None,
        "last_answer_at": 100.0,
        "oldest_write_at": None,
        "last_write_answer_at": 100.0,
        **changed,
    }
    return failover_rule.PrimaryView(**fields)


async def writes_for(deployment, seconds, daemon=0, gap_s=0.02):
    """Write repeatedly for a time; return the replies with their times."""
    replies = []
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    client = await deployment.client("live", daemon)
    while loop.time() < until:
        reply = await client.write()
        replies.append((loop.time(), reply))
        await asyncio.sleep(gap_s)
    return replies


def lost_commits(deployment):
    """Return the acknowledged commits that the primary's log lacks."""
    kept = {commit.position for commit in deployment.group.primary.log}
    return [each for each in deployment.group.acknowledged if each not in kept]


class TestRule(testtools.TestCase):
    """Rules for when a primary is replaced."""

    def test_one_failure_is_not_enough(self):
        """A single reset connection must not replace a primary."""
        seen = view(
            failures=1,
            refusals=1,
            first_failure_at=100.0,
            last_answer_at=99.0,
        )
        self.assertIsNone(failover_rule.cause_to_replace(seen, 101.0))

    def test_failures_before_it_led(self):
        """Failures from before a member became the primary must not count.

        A daemon that had been cut off replaced the new primary as soon as it
        learned of it.
        """
        seen = view(
            leads_since=109.9,
            failures=6,
            first_failure_at=101.0,
            last_answer_at=101.0,
        )
        self.assertIsNone(failover_rule.cause_to_replace(seen, 110.0))
        self.assertIs(
            failover_rule.Cause.SILENT,
            failover_rule.cause_to_replace(seen, 110.5),
        )

    def test_slow_primary_stays(self):
        """A primary that answers but accepts no connections must stay."""
        seen = view(failures=3, first_failure_at=100.0, last_answer_at=100.9)
        self.assertIsNone(failover_rule.cause_to_replace(seen, 101.0))

    def test_reset_connections(self):
        """Simultaneous resets of connections must not cause refusals."""
        seen = view(failures=3, first_failure_at=100.0, last_answer_at=99.98)
        self.assertFalse(failover_rule.is_lost(seen, 100.0))
        self.assertTrue(failover_rule.is_lost(seen, 100.2))
        refused = view(
            failures=2, refusals=2, first_failure_at=100.0, last_answer_at=99.9
        )
        self.assertTrue(failover_rule.is_lost(refused, 100.0))

    def test_lagging_replicas_change_no_new_primary(self):
        """Lag of all replicas must not cause repeated promotions."""
        seen = view(queue_full=True, replicas_behind_since=90.0)
        self.assertIs(
            failover_rule.Cause.REPLICAS_BEHIND,
            failover_rule.cause_to_replace(seen, 100.0),
        )
        new = view(
            leads_since=95.0, queue_full=True, replicas_behind_since=90.0
        )
        self.assertIsNone(failover_rule.cause_to_replace(new, 100.0))

    def test_writes_that_stall(self):
        """A primary from which no replica receives must be replaced."""
        seen = view(oldest_write_at=100.0, last_write_answer_at=99.0)
        self.assertIs(
            failover_rule.Cause.STALLED,
            failover_rule.cause_to_replace(seen, 101.0),
        )

    def test_writes_that_are_only_slow(self):
        """A primary that slowly finishes writes must stay."""
        seen = view(oldest_write_at=100.0, last_write_answer_at=100.8)
        self.assertIsNone(failover_rule.cause_to_replace(seen, 101.0))

    def test_candidate_must_hold_all(self):
        """Commits that only one replica received must not be lost."""
        position = log_position.LogPosition
        behind = failover_rule.ReplicaView("a", position(1, 4), False)
        ahead = failover_rule.ReplicaView("b", position(1, 5), False)
        self.assertFalse(failover_rule.holds_all(behind, [ahead]))
        self.assertTrue(failover_rule.holds_all(ahead, [behind]))


class TestFailover(testtools.TestCase):
    """Effects of a replacement on clients and logs."""

    def test_crashed_primary(self):
        """A crashed primary must be replaced in time, without lost commits."""

        async def check(deployment):
            loop = asyncio.get_running_loop()
            task = asyncio.create_task(writes_for(deployment, 4.0))
            await asyncio.sleep(1.0)
            crashed_at = loop.time()
            deployment.group.primary.crash()
            replies = await task
            served = [
                at for at, each in replies if gateway_deployment.ok(each)
            ]
            gap_s = min(at for at in served if at > crashed_at + 0.3)
            self.assertLess(gap_s - crashed_at, 1.5)
            self.assertEqual([], lost_commits(deployment))
            self.assertEqual(1, len(deployment.platform.promotions))

        scenario(check, daemons=3)

    def test_unresponsive_primary(self):
        """A primary that answers nothing must be replaced in time."""

        async def check(deployment):
            loop = asyncio.get_running_loop()
            task = asyncio.create_task(writes_for(deployment, 4.0))
            await asyncio.sleep(1.0)
            silent_at = loop.time()
            deployment.group.primary.unresponsive = True
            replies = await task
            served = [
                at for at, each in replies if gateway_deployment.ok(each)
            ]
            next_at = min(at for at in served if at > silent_at + 0.3)
            self.assertLess(next_at - silent_at, 2.0)
            self.assertEqual([], lost_commits(deployment))

        scenario(check, daemons=3)

    def test_replica_that_is_behind_is_not_promoted(self):
        """Commits that only the other replica received must not be lost."""

        async def check(deployment):
            deployment.members[1].replication_cut = True
            task = asyncio.create_task(writes_for(deployment, 4.0))
            await asyncio.sleep(1.0)
            deployment.group.primary.crash()
            await task
            self.assertEqual([], lost_commits(deployment))
            self.assertIs(deployment.members[2], deployment.group.primary)

        scenario(check, daemons=2)

    def test_no_promotion_without_all_replicas(self):
        """Commits that only an unreachable replica may hold must be safe."""

        async def check(deployment):
            task = asyncio.create_task(writes_for(deployment, 3.0))
            await asyncio.sleep(1.0)
            deployment.members[2].unresponsive = True
            deployment.group.primary.crash()
            await task
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=2)

    def test_draining_primary_is_replaced_without_a_gap(self):
        """A planned replacement must not interrupt writes."""

        async def check(deployment):
            task = asyncio.create_task(writes_for(deployment, 5.0))
            await asyncio.sleep(1.0)
            old = deployment.group.primary
            deployment.enter(old, manifest.MemberState.DRAINING)
            replies = await task
            self.assertIsNot(old, deployment.group.primary)
            self.assertEqual([], lost_commits(deployment))
            served = [
                at for at, each in replies if gateway_deployment.ok(each)
            ]
            gaps = [
                later - earlier
                for earlier, later in zip(served, served[1:], strict=False)
            ]
            self.assertLess(max(gaps), 0.3)

        scenario(check, daemons=2)

    def test_unanswered_promotion_is_fenced(self):
        """A late execution of an unanswered promotion must be fenced off."""

        async def check(deployment):
            deployment.platform.lose_promotions = 1
            deployment.platform.late_s = 5.0
            task = asyncio.create_task(writes_for(deployment, 9.0))
            await asyncio.sleep(1.0)
            deployment.group.primary.crash()
            await task
            tokens = [token for _, _, token in deployment.platform.promotions]
            self.assertEqual(sorted(tokens), tokens)
            self.assertEqual(1, len(deployment.platform.promotions))
            self.assertEqual([], lost_commits(deployment))

        scenario(check, daemons=2)

    def test_commit_that_only_a_departed_replica_received(self):
        """Commits of a replica that has left must not be lost.

        A draining replica received commits alone and left, another one was
        unreachable, and the remaining new member was promoted without the
        commits (found by a random run with seed 149693447379).
        """

        async def check(deployment):
            late = wire_member.EmulatedMember("m-d", "a")
            late.group, late.replication_cut = deployment.group, True
            deployment.group.member_by_id[late.id] = late
            for daemon in deployment.daemons:
                daemon.connector.member_by_id[late.id] = late
            deployment.enter(late)
            await asyncio.sleep(2.0)
            primary, leaving, unresponsive = deployment.members
            unresponsive.unresponsive = True
            deployment.enter(leaving, manifest.MemberState.DRAINING)
            await writes_for(deployment, 2.0)
            self.assertNotEqual([], deployment.group.acknowledged)
            # The primary keeps running but is unreachable for these daemons.
            for daemon in deployment.daemons:
                daemon.connector.cut.add(primary.id)
            for channel in list(primary.connections):
                channel.close()
            leaving.crash()
            deployment.platform.remove_member(leaving.id)
            deployment.platform.remove_member(unresponsive.id)
            await writes_for(deployment, 12.0)
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual([], lost_commits(deployment))

        scenario(check, daemons=2)

    def test_primary_lost_before_its_first_commit(self):
        """A term without commits, so absent from the logs, must be known."""

        async def check(deployment):
            await writes_for(deployment, 0.3)
            for _ in range(3):
                lost = deployment.group.primary
                lost.crash()
                await gateway_deployment.until(lambda: not lost.leads)
                lost.crashed = False
                # No write; the next primary fails after the claim expired.
                await asyncio.sleep(6.0)
            self.assertEqual([], lost_commits(deployment))
            self.assertEqual(3, len(deployment.platform.promotions))

        scenario(check, daemons=2)

    def test_lost_answer_to_the_claim(self):
        """A claim whose answer is lost must not lock out its holder."""

        async def check(deployment):
            deployment.platform.lose_claims = 1
            task = asyncio.create_task(writes_for(deployment, 4.0))
            await asyncio.sleep(1.0)
            deployment.group.primary.crash()
            replies = await task
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))

        scenario(check, daemons=1)

    def test_daemons_take_turns(self):
        """Two daemons must not promote at the same time."""

        async def check(deployment):
            tasks = [
                asyncio.create_task(writes_for(deployment, 4.0, daemon))
                for daemon in range(3)
            ]
            await asyncio.sleep(1.0)
            deployment.group.primary.crash()
            await asyncio.gather(*tasks)
            self.assertEqual(1, len(deployment.platform.promotions))
            self.assertEqual([], lost_commits(deployment))

        scenario(check, daemons=3)

    def test_primary_that_comes_back_stays(self):
        """A primary that recovers during a replacement must stay."""

        async def check(deployment):
            primary = deployment.group.primary
            daemon = deployment.daemons[0]
            await writes_for(deployment, 0.3)
            daemon.connector.cut.add(primary.id)
            for channel in list(primary.connections):
                channel.close()
            await asyncio.sleep(0.25)
            daemon.connector.cut.clear()
            replies = await writes_for(deployment, 2.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], deployment.platform.promotions)
            held = [member.held_term for member in deployment.members]
            self.assertEqual([None] * 3, held)

        scenario(check, daemons=1)

    def test_suspended_daemon_replaces_no_primary(self):
        """A daemon that was suspended must not replace the primary."""

        async def check(deployment):
            health = (
                deployment.daemons[0]
                .group_by_id[gateway_deployment.GROUP]
                .primary.pool()
                .health
            )
            loop = asyncio.get_running_loop()
            ticket = health.record_sent(loop.time(), waits_for_replica=True)
            await asyncio.sleep(0.01)
            # The loop's time jumps as after a suspension of the process.
            loop._skipping.now += 5.0
            await asyncio.sleep(0.2)
            health.record_ended(ticket, loop.time(), None)
            await asyncio.sleep(1.0)
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=1)
