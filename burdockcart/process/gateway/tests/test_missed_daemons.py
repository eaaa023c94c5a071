"""Tests promotions beside daemons and replicas that their caller misses."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.gateway.tests import test_unplanned_calls
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP


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
