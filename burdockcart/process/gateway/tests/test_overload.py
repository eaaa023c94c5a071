"""Replays load patterns in which members were overloaded or lagged."""

import asyncio

import testtools

from burdockcart.connection import member_channel
from burdockcart.connection import member_health
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

scenario = test_sessions.scenario


class TestBusyPrimary(testtools.TestCase):
    """A primary has a long queue under peak load.

    Queued statements were given up after 0.16 s, and the busy primary was
    replaced.
    """

    def test_busy_primary_stays(self):
        """A primary that is merely slow must not be replaced."""

        async def check(deployment):
            clients = [await deployment.client("live") for _ in range(40)]
            await asyncio.sleep(6.0)
            primary = deployment.group.primary
            primary.work_s = 0.3
            await asyncio.gather(*(each.read() for each in clients))
            await asyncio.sleep(1.0)
            self.assertIs(primary, deployment.group.primary)

        scenario(check, daemons=8)

    def test_given_up_statement_is_no_failure(self):
        """A busy member must not count as failed."""
        health = member_health.MemberHealth(now=0.0)
        ticket = health.record_sent(1.0)
        health.record_ended(ticket, 1.2, member_channel.MemberFault.SILENT)
        self.assertFalse(health.failing)
        self.assertTrue(health.needs_probe(1.21, wait_s=0.08))
        health.record_answer(1.3)
        self.assertFalse(health.needs_probe(1.31, wait_s=0.08))

    def test_member_that_answers_is_not_checked(self):
        """A long statement must not cause checks of its member.

        A check costs as much as a new connection, and such checks raised
        their number from 120 to 261.
        """
        health = member_health.MemberHealth(now=0.0)
        health.record_sent(1.0)
        health.record_ended(health.record_sent(1.05), 1.1, None)
        self.assertFalse(health.needs_probe(1.15, wait_s=0.1))
        self.assertTrue(health.needs_probe(1.25, wait_s=0.1))

    def test_long_read_is_finished(self):
        """A daemon must not abort its own long reads."""

        async def check(deployment):
            client = await deployment.client("archive", 1)
            await client.read()
            for member in deployment.members:
                member.work_s = 0.27
            began = len(deployment.group.runs)
            self.assertTrue(gateway_deployment.ok(await client.read()))
            self.assertLess(len(deployment.group.runs) - began, 3)

        scenario(check, daemons=2)


class TestLagThatEnds(testtools.TestCase):
    """A replica lags far behind for some seconds.

    A replica that had lagged for 6 s got no reads for the rest of the run.
    """

    def test_replica_is_used_again(self):
        """A replica that has caught up must get reads again."""

        async def check(deployment):
            writer = await deployment.client("layers", 0)
            reader = await deployment.client("archive", 1)
            near = deployment.members[1]

            async def reads(seconds):
                began = len(deployment.group.runs)
                for _ in range(int(seconds / 0.05)):
                    await writer.write()
                    await reader.read()
                    await asyncio.sleep(0.04)
                return [
                    run.member
                    for run in deployment.group.runs[began:]
                    if run.kind is command.CommandKind.READ
                ]

            await reads(2.0)
            near.lag_s = 9.0
            await reads(6.0)
            near.lag_s = 0.06
            near.pending.clear()
            after = await reads(4.0)
            self.assertGreater(after[-40:].count(near.id), 30)

        scenario(check, daemons=2)


class TestBurst(testtools.TestCase):
    """More statements arrive for some seconds than the members can run.

    Of 5,434 requests, 850 were answered within their latency goal and 3,444
    after it.
    """

    def test_most_of_the_capacity_is_in_time(self):
        """A backlog of late requests must not delay all the others."""

        async def check(deployment):
            deployment.platform.put_tables(
                gateway_deployment.tables(2, connections=64)
            )
            await asyncio.sleep(6.0)
            loop = asyncio.get_running_loop()
            for member in deployment.members:
                member.work_s = 0.015
            # Three members with two slots each.
            capacity_per_s, seconds = 3 * 2 / 0.015, 4.0
            offered = int(1.4 * capacity_per_s * seconds)
            clients = [
                await deployment.client("layers", n % 4) for n in range(600)
            ]
            timely = []

            async def one(number):
                await asyncio.sleep(number / offered * seconds)
                began = loop.time()
                reply = await clients[number % len(clients)].read()
                timely.append(
                    gateway_deployment.ok(reply)
                    and loop.time() - began
                    <= gateway_deployment.GOAL_S["layers"]
                )

            await asyncio.gather(*map(one, range(offered)))
            possible = capacity_per_s * seconds
            self.assertGreater(sum(timely), 0.7 * possible)

        scenario(check, daemons=4, connection_limit=64)


class TestReplicasFarBehind(testtools.TestCase):
    """All replicas of a group lag, so that the primary gets all reads.

    Replicas applied each commit 13 s late, and a group was overloaded for
    the rest of the run unless a replica happened to be promoted.
    """

    def test_replica_takes_over(self):
        """A primary that is overloaded by all reads must be replaced."""

        async def check(deployment):
            deployment.platform.put_tables(
                gateway_deployment.tables(2, connections=64)
            )
            await asyncio.sleep(6.0)
            old = deployment.group.primary
            for member in deployment.members:
                member.work_s = 0.015
                member.lag_s = 0.06 if member is old else 30.0
            writers = [await deployment.client("layers", n) for n in range(4)]
            readers = [
                await deployment.client("layers", number % 4)
                for number in range(40)
            ]

            async def use(client, call, gap_s):
                outcomes = []
                for _ in range(int(8.0 / gap_s)):
                    outcomes.append(gateway_deployment.ok(await call(client)))
                    await asyncio.sleep(gap_s)
                return outcomes[-len(outcomes) // 4 :]

            outcomes = await asyncio.gather(
                *(use(each, lambda c: c.write(), 0.2) for each in writers),
                *(use(each, lambda c: c.read(), 0.2) for each in readers),
            )
            self.assertIsNot(old, deployment.group.primary)
            self.assertEqual(0, sum(each.count(False) for each in outcomes))

        scenario(check, daemons=4, connection_limit=64)


class TestFullQueues(testtools.TestCase):
    """Many daemons send more statements than a member can queue."""

    def test_refusals_lower_what_is_sent(self):
        """Refusals must lower the number of statements that are sent.

        Each daemon may try one more statement about twice a second.
        """

        async def check(deployment):
            deployment.platform.put_tables(
                gateway_deployment.tables(2, connections=64)
            )
            await asyncio.sleep(6.0)
            deployment.group.primary.work_s = 0.01
            clients = [
                await deployment.client("live", number % 8)
                for number in range(56)
            ]

            async def write_on(client):
                for _ in range(30):
                    await client.write()

            await asyncio.gather(*map(write_on, clients))
            self.assertLess(deployment.group.primary.refused, 0.1 * 30 * 56)

        scenario(check, daemons=8, connection_limit=64)
