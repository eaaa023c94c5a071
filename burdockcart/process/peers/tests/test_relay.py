"""Tests statements that daemons relay through the holders of members."""

import asyncio
import time

import testtools

from burdockcart import errors
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.peers import holder_choice
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind


class TestHolders(testtools.TestCase):
    """Who holds the connections of a member."""

    def test_few_daemons_connect_directly(self):
        """At the sizes of the first deployments nothing is relayed."""
        for connections, daemons in ((16, 4), (46, 5), (34, 4), (136, 25)):
            self.assertEqual(
                daemons, holder_choice.holder_count(connections, daemons)
            )

    def test_holders_do_not_grow_with_the_fleet(self):
        """The work of a holder must depend on its members alone."""
        counts = {
            holder_choice.holder_count(58, daemons)
            for daemons in (77, 300, 4800)
        }
        self.assertEqual({4}, counts)

    def test_connections_of_a_large_fleet(self):
        """All daemons together must keep within what a member accepts.

        With an equal share, 77 daemons wanted 77 to 154 of 58 connections;
        members refused them, and whole daemons had none to a primary.
        """

        async def check(deployment):
            clients = [
                await deployment.client("live", number)
                for number in range(len(deployment.daemons))
            ]
            for _ in range(5):
                replies = await asyncio.gather(
                    *(each.write() for each in clients),
                )
                self.assertNotIn(False, map(gateway_deployment.ok, replies))
            # Daemons that started with an incomplete list have caught up.
            await asyncio.sleep(6.0)
            for member in deployment.members:
                self.assertLessEqual(
                    len(member.connections), member.connection_limit * 3 // 4
                )

        relay_case.scenario(check, daemons=40)

    def test_exhausted_member_is_not_stormed(self):
        """Refused connections must be tried again with growing pauses.

        Three hundred daemons that tried again at once made 113,727
        connections over the limit before the first client came.
        """

        async def check(deployment):
            member = deployment.members[0]
            member.half_open_connections = member.connection_limit
            for channel in list(member.connections):
                channel.close()
            attempts = []
            for daemon in deployment.daemons:
                connector = daemon.connector
                connect = connector.connect

                async def counted(
                    address, timeout_s, account=None, connect=connect
                ):
                    if address.id == member.id:
                        attempts.append(address.id)
                    return await connect(address, timeout_s, account)

                connector.connect = counted
            await test_failover.writes_for(deployment, 5.0)
            self.assertLess(len(attempts), 12 * len(deployment.daemons))

        relay_case.scenario(check, daemons=4)


class TestTurns(testtools.TestCase):
    """Daemons that notice the loss of a primary at the same time."""

    def test_few_claims(self):
        """Not every daemon of a fleet may call the store for one primary."""

        async def check(deployment):
            claims = []
            claim = deployment.platform.claim_promotion

            async def counted(group, record, expected):
                if not record.reserved:
                    claims.append(record.holder)
                return await claim(group, record, expected)

            deployment.platform.claim_promotion = counted
            tasks = [
                asyncio.create_task(
                    test_failover.writes_for(deployment, 3.0, number, 0.1)
                )
                for number in range(len(deployment.daemons))
            ]
            await asyncio.sleep(0.5)
            deployment.group.primary.crash()
            await asyncio.gather(*tasks)
            self.assertEqual(1, len(deployment.platform.promotions))
            self.assertLessEqual(len(set(claims)), 8)

        relay_case.scenario(check, daemons=40)


class TestStatements(testtools.TestCase):
    """Relayed statements behave like direct ones."""

    def test_sessions(self):
        """Values, prepared statements and transactions must work."""

        async def check(deployment):
            client = await relay_case.relaying_client(deployment)
            shape = command.Shape(True, "q1")
            await client.send(Kind.SET, "SET a 1", name="a", argument="1")
            await client.send(
                Kind.PREPARE, "PREPARE s WRITE q1", name="s", shape=shape
            )
            await client.send(Kind.BEGIN)
            self.assertTrue(gateway_deployment.ok(await client.read()))
            reply = await client.send(
                Kind.EXECUTE, "EXECUTE s x", name="s", argument="x"
            )
            self.assertTrue(gateway_deployment.ok(reply))
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertTrue(gateway_deployment.ok(reply))
            runs = deployment.group.runs[-3:]
            self.assertEqual({(("a", "1"),)}, {r.value_by_name for r in runs})
            self.assertEqual(1, len({run.transaction for run in runs}))
            self.assertIsNotNone(runs[0].transaction)

        relay_case.scenario(check)

    def test_rolled_back_transaction(self):
        """The connection of a transaction must be clean afterwards."""

        async def check(deployment):
            client = await relay_case.relaying_client(deployment)
            await client.send(Kind.BEGIN)
            await client.write()
            await client.send(Kind.ROLLBACK)
            await asyncio.sleep(0.1)
            self.assertEqual([], deployment.group.acknowledged)
            other = await relay_case.relaying_client(deployment)
            self.assertTrue(gateway_deployment.ok(await other.write()))
            self.assertEqual(1, len(deployment.group.acknowledged))

        relay_case.scenario(check)

    def test_abandoned_transaction(self):
        """A daemon that dies must leave no transaction open."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            client = await deployment.client("live", number)
            await client.send(Kind.BEGIN)
            await client.write()
            await deployment.daemons[number].stop()
            await asyncio.sleep(0.2)
            states = {
                channel.state.value
                for channel in deployment.group.primary.connections
            }
            self.assertEqual({"idle"}, states)
            del deployment.daemons[number]

        relay_case.scenario(check)

    def test_own_writes_are_read(self):
        """A session must read its writes, whoever relays."""

        async def check(deployment):
            client = await relay_case.relaying_client(deployment, "layers")
            for _ in range(20):
                self.assertTrue(gateway_deployment.ok(await client.write()))
                wrote = deployment.group.primary.received()
                self.assertTrue(gateway_deployment.ok(await client.read()))
                run = test_sessions.runs_of(deployment, client.sent[-1])[-1]
                self.assertGreaterEqual(run.position, wrote)

        relay_case.scenario(check, lag_s=0.3)


class TestSamples(testtools.TestCase):
    """Positions of the primary that travel with answers."""

    def test_answers_renew_samples(self):
        """Reads of a replica must renew samples without queries.

        With 77 daemons and 10 groups the queries were more than the
        statements.
        """

        async def check(deployment):
            member = deployment.members[1]
            number = next(
                number
                for number, daemon in enumerate(deployment.daemons)
                if not relay_case.holds(daemon, member)
                and not relay_case.holds(daemon, deployment.group.primary)
            )
            daemon = deployment.daemons[number]
            daemon._renew_samples = lambda: None
            client = await deployment.client("archive", number)
            await asyncio.sleep(2.0)
            tracker = daemon.group_by_id[relay_case.GROUP].primary
            loop = asyncio.get_running_loop()
            for _ in range(10):
                self.assertTrue(gateway_deployment.ok(await client.read()))
                await asyncio.sleep(0.2)
            self.assertLess(loop.time() - tracker.samples.newest_at, 1.0)

        relay_case.scenario(check)

    def test_call_that_a_holder_knows(self):
        """A daemon must not pass on what its holder would hold back.

        Daemons that are no holders are not told of a call.
        """

        async def check(deployment):
            primary = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, primary)
            daemon = deployment.daemons[number]
            claims = daemon._failover.claims
            for transaction in (False, True):
                client = await deployment.client("live", number)
                self.assertTrue(gateway_deployment.ok(await client.write()))
                if transaction:
                    await client.send(Kind.BEGIN, "BEGIN")
                    await client.write()
                candidate, other = deployment.members[1:]
                candidate.replication_cut = True
                holder = relay_case.holder_in_use(deployment, daemon, primary)
                holder.relay.use_call(
                    relay_case.GROUP,
                    (candidate.id, int(time.time() * 1000), 1 << 39),
                )
                self.assertIsNone(daemon._open_calls.candidate("g"))
                if transaction:
                    reply = await client.send(Kind.COMMIT, "COMMIT")
                else:
                    reply = await client.write()
                self.assertIs(
                    errors.ErrorKind.OUTCOME_UNKNOWN,
                    gateway_deployment.kind_of(reply),
                )
                self.assertEqual(
                    candidate.id, daemon._open_calls.candidate("g")
                )
                candidate.replication_cut = False
                candidate.catch_up()
                for each in (daemon, holder):
                    each._failover.claims.none_open(relay_case.GROUP)
                await asyncio.sleep(0.5)
            self.assertIsNone(claims.candidate(relay_case.GROUP, 0.0))

        relay_case.scenario(check)

    def test_sample_is_not_too_young(self):
        """A sample must not count as younger than it is at the holder."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            daemon = deployment.daemons[number]
            tracker = daemon.group_by_id[relay_case.GROUP].primary
            tracker.samples.clear()
            position = deployment.group.primary.received()
            daemon.relay.use_sample(
                relay_case.GROUP, 10.0, (700, position.term, position.number)
            )
            self.assertEqual(9.3, tracker.samples.newest_at)

        relay_case.scenario(check)
