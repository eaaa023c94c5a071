"""Guards the replacement of primaries by gateway daemons."""

import asyncio

import testtools

from burdockcart.emulator import wire_member
from burdockcart.process.gateway import failover_rule
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import log_position
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

scenario = test_sessions.scenario


def view(**changed):
    """Return a primary that is well but for what a test changes."""
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
    """Write all the time; return the replies with their times."""
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
    """Return acknowledged commits that the primary's log lacks."""
    kept = {commit.position for commit in deployment.group.primary.log}
    return [each for each in deployment.group.acknowledged if each not in kept]


class TestRule(testtools.TestCase):
    """When a primary is replaced."""

    def test_one_failure_is_not_enough(self):
        """Guards against a replacement after one reset connection."""
        seen = view(
            failures=1,
            refusals=1,
            first_failure_at=100.0,
            last_answer_at=99.0,
        )
        self.assertIsNone(failover_rule.cause_to_replace(seen, 101.0))

    def test_failures_before_it_led(self):
        """Guards a member that was out of reach before it led.

        A daemon that had been cut off replaced the new primary as soon as
        it learned of it (trouble-3 of albuquerque-clima at 16.2 s).
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
        """Guards a primary that answers statements but none connects."""
        seen = view(failures=3, first_failure_at=100.0, last_answer_at=100.9)
        self.assertIsNone(failover_rule.cause_to_replace(seen, 101.0))

    def test_reset_connections(self):
        """Guards clients against refusals after a reset of connections."""
        seen = view(failures=3, first_failure_at=100.0, last_answer_at=99.98)
        self.assertFalse(failover_rule.is_lost(seen, 100.0))
        self.assertTrue(failover_rule.is_lost(seen, 100.2))
        refused = view(
            failures=2, refusals=2, first_failure_at=100.0, last_answer_at=99.9
        )
        self.assertTrue(failover_rule.is_lost(refused, 100.0))

    def test_lagging_replicas_change_no_new_primary(self):
        """Guards a group whose replicas all lag against many promotions."""
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
        """Guards against a primary that no replica receives from."""
        seen = view(oldest_write_at=100.0, last_write_answer_at=99.0)
        self.assertIs(
            failover_rule.Cause.STALLED,
            failover_rule.cause_to_replace(seen, 101.0),
        )

    def test_writes_that_are_only_slow(self):
        """Guards a primary that finishes writes, one after the other."""
        seen = view(oldest_write_at=100.0, last_write_answer_at=100.8)
        self.assertIsNone(failover_rule.cause_to_replace(seen, 101.0))

    def test_candidate_must_hold_all(self):
        """Guards acknowledged commits that only one replica received."""
        position = log_position.LogPosition
        behind = failover_rule.ReplicaView("a", position(1, 4), False)
        ahead = failover_rule.ReplicaView("b", position(1, 5), False)
        self.assertFalse(failover_rule.holds_all(behind, [ahead]))
        self.assertTrue(failover_rule.holds_all(ahead, [behind]))


class TestFailover(testtools.TestCase):
    """What clients and logs see of a replacement."""

    def test_crashed_primary(self):
        """Guards against a group that stays without a primary."""

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

    def test_dark_primary(self):
        """Guards against a primary that gives no sign at all."""

        async def check(deployment):
            loop = asyncio.get_running_loop()
            task = asyncio.create_task(writes_for(deployment, 4.0))
            await asyncio.sleep(1.0)
            dark_at = loop.time()
            deployment.group.primary.unresponsive = True
            replies = await task
            served = [
                at for at, each in replies if gateway_deployment.ok(each)
            ]
            next_at = min(at for at in served if at > dark_at + 0.3)
            self.assertLess(next_at - dark_at, 2.0)
            self.assertEqual([], lost_commits(deployment))

        scenario(check, daemons=3)

    def test_replica_that_is_behind_is_not_promoted(self):
        """Guards commits that only the other replica has received."""

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
        """Guards commits that an unreachable replica may hold alone."""

        async def check(deployment):
            task = asyncio.create_task(writes_for(deployment, 3.0))
            await asyncio.sleep(1.0)
            deployment.members[2].unresponsive = True
            deployment.group.primary.crash()
            await task
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=2)

    def test_draining_primary_is_replaced_without_a_gap(self):
        """Guards callers against a planned replacement."""

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

    def test_unanswered_promotion_is_closed(self):
        """Guards against a promotion that is carried out seconds later."""

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
        """Guards commits whose replica left just before the primary failed.

        Seen on a hunted day of campanas-coop (trouble-3, seed 149693447379):
        a draining replica acknowledged commits and left, another was dark,
        and the new member that remained was promoted without them.
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
            # The primary goes on where these daemons cannot reach it.
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
        """Guards against a term that the logs do not show yet."""

        async def check(deployment):
            await writes_for(deployment, 0.3)
            for _ in range(3):
                lost = deployment.group.primary
                lost.crash()
                await gateway_deployment.until(lambda: not lost.leads)
                lost.refuses = False
                # No write; the next loss comes after the turn.
                await asyncio.sleep(6.0)
            self.assertEqual([], lost_commits(deployment))
            self.assertEqual(3, len(deployment.platform.promotions))

        scenario(check, daemons=2)

    def test_lost_answer_to_the_claim(self):
        """Guards against a claim that locks its own holder out."""

        async def check(deployment):
            deployment.platform.lose_claims = 1
            task = asyncio.create_task(writes_for(deployment, 4.0))
            await asyncio.sleep(1.0)
            deployment.group.primary.crash()
            replies = await task
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))

        scenario(check, daemons=1)

    def test_daemons_take_turns(self):
        """Guards against two daemons that promote at the same time."""

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
        """Guards against a replacement that is no longer needed."""

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

    def test_stopped_process_judges_nobody(self):
        """Guards a primary against a daemon that was itself frozen."""

        async def check(deployment):
            health = (
                deployment.daemons[0]
                .group_by_id[gateway_deployment.GROUP]
                .primary_pool()
                .health
            )
            loop = asyncio.get_running_loop()
            ticket = health.record_sent(loop.time(), waits_for_replica=True)
            await asyncio.sleep(0.01)
            # The loop's time jumps as it does for a frozen process.
            loop._skipping.now += 5.0
            await asyncio.sleep(0.2)
            health.record_ended(ticket, loop.time(), None)
            await asyncio.sleep(1.0)
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=1)
