"""Tests promotions beside daemons and replicas that their caller misses."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.gateway.tests import test_unplanned_calls
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP


class TestReservedCall(testtools.TestCase):
    """A call with a reserved token, which no record of the store names."""

    def test_other_holder_of_a_token(self):
        """One that is told must go by the call, whatever it has reserved."""

        async def check(deployment):
            primary = deployment.group.primary
            writers = test_open_calls.Writers(deployment, range(2))
            calls = test_open_calls.Calls(deployment, 7.0, all_late=True)
            await asyncio.sleep(4.0)
            for daemon in deployment.daemons:
                daemon.link.store_cut = True
            # No detour, so that the cause lasts until a token may be used.
            for daemon in deployment.daemons:
                daemon.connector.cut.add(primary.id)
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            writers.stop()
            self.assertEqual(
                [name] * 3,
                [
                    each._open_calls.candidate(GROUP)
                    for each in deployment.daemons
                ],
            )

        test_sessions.scenario(check, daemons=3)

    def test_daemon_with_the_store_that_is_not_told(self):
        """What it passes on, the candidate of a reserved call may lack."""

        async def check(deployment):
            primary = deployment.group.primary
            writers = test_open_calls.Writers(deployment, [2])
            calls = test_open_calls.Calls(deployment, 7.0, all_late=True)
            await asyncio.sleep(4.0)
            test_unplanned_calls.cut_links(deployment, 2)
            for daemon in deployment.daemons[:2]:
                daemon.link.store_cut = True
                daemon.connector.cut.add(primary.id)
            await asyncio.wait({calls.first}, timeout=4.0)
            if calls.first.done():
                name, _ = calls.first.result()
                deployment.group.member_by_id[name].replication_cut = True
            test_replica_rosters.new_member(deployment, "m-d").catch_up()
            await asyncio.sleep(8.0)
            writers.stop()
            self.assertGreater(len(writers.told), 50)
            self.assertEqual([], writers.lost(deployment.group.primary))

        test_sessions.scenario(check, daemons=3)


class TestCallThatIsPutOff(testtools.TestCase):
    """A call that is recorded, and not sent for a silent daemon."""

    def test_call_that_is_put_off_for_a_silent_daemon(self):
        """Who has polled its record must not hold writes back for it."""
        for begins_s in (0.0, 0.15, 0.3, 0.45, 0.6, 0.75):
            with self.subTest(begins_s=begins_s):
                self.put_off(begins_s)

    def put_off(self, begins_s):
        """Let a call wait for a silent daemon until its cause has gone."""

        async def check(deployment):
            await asyncio.sleep(2.0 + begins_s)
            primary = deployment.group.primary
            test_unplanned_calls.cut_links(deployment, 2)
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
            record = deployment.platform.record_by_group
            await gateway_deployment.until(
                lambda: GROUP in record
                and record[GROUP][0].prepared is not None
            )
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.clear()
            await asyncio.sleep(3.0)
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual(
                [None] * 3,
                [
                    each._failover.claims.candidate(
                        GROUP, asyncio.get_running_loop().time()
                    )
                    for each in deployment.daemons
                ],
            )

        test_sessions.scenario(check, daemons=3)


class TestEndOfADaemon(testtools.TestCase):
    """A daemon ends between the hold and the notice."""

    def test_process_that_ends_after_the_hold(self):
        """What it has passed on since then the candidate may lack."""

        async def check(deployment):
            primary = deployment.group.primary
            last = deployment.daemons[2]
            writers = test_open_calls.Writers(deployment, [2])

            def end_before(covers_all):
                async def covered(group, old, asked, comparison, candidate):
                    done = await covers_all(
                        group, old, asked, comparison, candidate
                    )
                    if done and not last_ended:
                        deaf = deployment.group.member_by_id[candidate]
                        deaf.replication_cut = True
                        last_ended.append(deaf)
                        test_replica_rosters.new_member(deployment, "m-d")
                        await asyncio.sleep(0.1)
                        writers.stop()
                        last.relay.stop()
                    return done

                return covered

            last_ended = []
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
                promoter = daemon._failover._promoter
                promoter._covers_all = end_before(promoter._covers_all)
            await gateway_deployment.until(
                lambda: deployment.group.primary is not primary
            )
            self.assertEqual([], writers.lost(deployment.group.primary))

        test_sessions.scenario(check, daemons=3)


class TestDaemonWithoutReplicas(testtools.TestCase):
    """A daemon that knows no replica, as the store has turned it away."""

    def test_commits_that_no_replica_shows(self):
        """It must not pass on what no replica was asked for."""

        async def check(deployment):
            primary, *replicas = deployment.members
            third = deployment.daemons[2]
            calls = test_open_calls.Calls(deployment, 7.0, all_late=True)
            await asyncio.sleep(2.0)
            # Their entries have expired, and come back.
            for member in replicas:
                deployment.platform.remove_member(member.id)
            await gateway_deployment.until(
                lambda: set(third.group_by_id[GROUP].pool_by_member)
                == {primary.id}
            )
            third.link.store_cut = True
            for member in replicas:
                deployment.enter(member)
            await asyncio.sleep(4.0)
            test_unplanned_calls.cut_links(deployment, 2)
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            candidate = deployment.group.member_by_id[name]
            candidate.replication_cut = True
            writers = test_open_calls.Writers(deployment, [2])
            test_replica_rosters.new_member(deployment, "m-d").catch_up()
            await asyncio.sleep(3.0)
            writers.stop()
            await gateway_deployment.until(
                lambda: deployment.group.primary is candidate
            )
            self.assertEqual([], writers.lost(candidate))

        test_sessions.scenario(check, daemons=3)
