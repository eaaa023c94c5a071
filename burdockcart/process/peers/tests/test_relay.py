"""Tests statements that daemons relay through the holders of members."""

import asyncio

import testtools

from burdockcart import clock
from burdockcart import errors
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.peers import frames
from burdockcart.process.peers import holder_choice
from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_service
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP
Kind = command.CommandKind


def scenario(check, daemons=9, **options):
    """Run a check with more daemons than a member's connections allow."""

    async def settled(deployment):
        # All daemons know the whole list of daemons.
        await asyncio.sleep(4.0)
        await check(deployment)

    test_sessions.scenario(settled, daemons=daemons, **options)


def holds(daemon, member):
    """Return whether a daemon connects to a member directly."""
    return daemon.group_by_id[GROUP].pool_by_member[member.id].direct


def relaying_daemon(deployment, member):
    """Return the number of a daemon that relays to a member."""
    return next(
        number
        for number, daemon in enumerate(deployment.daemons)
        if not holds(daemon, member)
    )


async def relaying_client(deployment, database="live"):
    """Return a client whose statements for the primary are relayed."""
    number = relaying_daemon(deployment, deployment.group.primary)
    return await deployment.client(database, number)


def holder_in_use(deployment, client_daemon, member):
    """Return the daemon through which another one reaches a member."""
    pool = client_daemon.group_by_id[GROUP].pool_by_member[member.id]
    channels = [each.channel for each in pool._idle + list(pool._busy)]
    holder = channels[0]._link.daemon
    return next(
        each for each in deployment.daemons if each._settings.daemon == holder
    )


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

        scenario(check, daemons=40)

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

                async def counted(address, timeout_s, connect=connect):
                    if address.id == member.id:
                        attempts.append(address.id)
                    return await connect(address, timeout_s)

                connector.connect = counted
            await test_failover.writes_for(deployment, 5.0)
            self.assertLess(len(attempts), 12 * len(deployment.daemons))

        scenario(check, daemons=4)


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

        scenario(check, daemons=40)


class TestStatements(testtools.TestCase):
    """Relayed statements behave like direct ones."""

    def test_sessions(self):
        """Values, prepared statements and transactions must work."""

        async def check(deployment):
            client = await relaying_client(deployment)
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

        scenario(check)

    def test_rolled_back_transaction(self):
        """The connection of a transaction must be clean afterwards."""

        async def check(deployment):
            client = await relaying_client(deployment)
            await client.send(Kind.BEGIN)
            await client.write()
            await client.send(Kind.ROLLBACK)
            await asyncio.sleep(0.1)
            self.assertEqual([], deployment.group.acknowledged)
            other = await relaying_client(deployment)
            self.assertTrue(gateway_deployment.ok(await other.write()))
            self.assertEqual(1, len(deployment.group.acknowledged))

        scenario(check)

    def test_abandoned_transaction(self):
        """A daemon that dies must leave no transaction open."""

        async def check(deployment):
            number = relaying_daemon(deployment, deployment.group.primary)
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

        scenario(check)

    def test_own_writes_are_read(self):
        """A session must read its writes, whoever relays."""

        async def check(deployment):
            client = await relaying_client(deployment, "layers")
            for _ in range(20):
                self.assertTrue(gateway_deployment.ok(await client.write()))
                wrote = deployment.group.primary.received()
                self.assertTrue(gateway_deployment.ok(await client.read()))
                run = test_sessions.runs_of(deployment, client.sent[-1])[-1]
                self.assertGreaterEqual(run.position, wrote)

        scenario(check, lag_s=0.3)


class TestGivenUp(testtools.TestCase):
    """Statements whose sender does not wait any longer."""

    async def relayed(self, deployment):
        """Return a channel to the primary, and the holder behind it."""
        primary = deployment.group.primary
        number = relaying_daemon(deployment, primary)
        client = await deployment.client("live", number)
        await client.write()
        daemon = deployment.daemons[number]
        holder = holder_in_use(deployment, daemon, primary)
        pool = daemon.group_by_id[GROUP].pool_by_member[primary.id]
        return pool.take({}, None).channel, holder

    def test_begin_that_came_too_late(self):
        """A transaction that was given up while it began must not stay open.

        Its connection would have been kept until the link ended.
        """

        async def check(deployment):
            channel, _ = await self.relayed(deployment)
            for each in deployment.group.primary.connections:
                each.latency_s = 0.1
            beginning = asyncio.create_task(channel.begin(False, 0.4))
            await asyncio.sleep(0.05)
            channel.close()
            await beginning
            await asyncio.sleep(1.0)
            states = {
                each.state.value
                for each in deployment.group.primary.connections
            }
            self.assertEqual({"idle"}, states)

        scenario(check)

    def test_queued_statement_does_not_run_late(self):
        """What its sender has given up must not load a member later."""

        async def check(deployment):
            channel, _ = await self.relayed(deployment)
            primary = deployment.group.primary
            primary.work_s = 0.3
            busy = [
                asyncio.create_task(
                    (await deployment.client("live", number)).write()
                )
                for number in range(len(deployment.daemons))
                for _ in range(3)
            ]
            await asyncio.sleep(0.05)
            channel.set_urgency(1, 0.1, 2.0)
            statement = command.Command("late", Kind.READ, "READ 1")
            answer = await channel.run(statement, None, 0.05)
            self.assertIsNotNone(answer.fault)
            await asyncio.gather(*busy)
            await asyncio.sleep(2.0)
            ran = [run.statement for run in deployment.group.runs]
            self.assertNotIn("late", ran)

        scenario(check)


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
                if not holds(daemon, member)
                and not holds(daemon, deployment.group.primary)
            )
            daemon = deployment.daemons[number]
            daemon._renew_samples = lambda: None
            client = await deployment.client("archive", number)
            await asyncio.sleep(2.0)
            tracker = daemon.group_by_id[GROUP].primary
            loop = asyncio.get_running_loop()
            for _ in range(10):
                self.assertTrue(gateway_deployment.ok(await client.read()))
                await asyncio.sleep(0.2)
            self.assertLess(loop.time() - tracker.samples.newest_at, 1.0)

        scenario(check)

    def test_sample_is_not_too_young(self):
        """A sample must not count as younger than it is at the holder."""

        async def check(deployment):
            number = relaying_daemon(deployment, deployment.group.primary)
            daemon = deployment.daemons[number]
            tracker = daemon.group_by_id[GROUP].primary
            tracker.samples.clear()
            position = deployment.group.primary.received()
            daemon.relay.use_sample(
                GROUP, 10.0, (700, position.term, position.number)
            )
            self.assertEqual(9.3, tracker.samples.newest_at)

        scenario(check)


class TestLostHolder(testtools.TestCase):
    """A holder that dies, freezes or leaves."""

    def test_write_without_answer_is_not_repeated(self):
        """A write whose holder died must end in doubt and run once."""

        async def check(deployment):
            number = relaying_daemon(deployment, deployment.group.primary)
            client = await deployment.client("live", number)
            await client.write()
            daemon = deployment.daemons[number]
            holder = holder_in_use(
                deployment, daemon, deployment.group.primary
            )
            deployment.group.primary.work_s = 0.2
            running = asyncio.create_task(client.write())
            await asyncio.sleep(0.1)
            holder.relay.stop()
            reply = await running
            self.assertIs(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                gateway_deployment.kind_of(reply),
            )
            deployment.group.primary.work_s = 0.005
            self.assertTrue(gateway_deployment.ok(await client.write()))
            ran = test_sessions.runs_of(deployment, client.sent[-2])
            self.assertLessEqual(len(ran), 1)

        scenario(check)

    def test_frozen_holder(self):
        """Other statements must go through another holder.

        The write that the frozen holder has keeps running.
        """

        async def check(deployment):
            number = relaying_daemon(deployment, deployment.group.primary)
            client = await deployment.client("live", number)
            other = await deployment.client("live", number)
            await client.write()
            daemon = deployment.daemons[number]
            holder = holder_in_use(
                deployment, daemon, deployment.group.primary
            )
            deployment.peers.frozen.add(holder._settings.daemon)
            running = asyncio.create_task(client.write())
            await asyncio.sleep(0.4)
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertTrue(gateway_deployment.ok(await other.write()))
            self.assertLess(loop.time() - began, 0.2)
            self.assertFalse(running.done())
            deployment.peers.frozen.clear()
            self.assertTrue(gateway_deployment.ok(await running))
            ran = test_sessions.runs_of(deployment, client.sent[-1])
            self.assertEqual(1, len(ran))

        scenario(check)

    def test_leaving_holder(self):
        """A holder that shuts down must cut no statement."""

        async def check(deployment):
            number = relaying_daemon(deployment, deployment.group.primary)
            clients = [
                await deployment.client("live", number) for _ in range(4)
            ]
            await asyncio.gather(*(each.write() for each in clients))
            holder = holder_in_use(
                deployment,
                deployment.daemons[number],
                deployment.group.primary,
            )
            tasks = [
                asyncio.create_task(
                    test_failover.writes_for(deployment, 4.0, number, 0.01)
                )
                for _ in range(4)
            ]
            await asyncio.sleep(0.3)
            await holder.drain()
            await holder.stop()
            deployment.daemons.remove(holder)
            replies = [
                reply
                for found in await asyncio.gather(*tasks)
                for _, reply in found
            ]
            self.assertGreater(len(replies), 100)
            self.assertNotIn(False, map(gateway_deployment.ok, replies))

        scenario(check)

    def test_no_holder_can_be_reached(self):
        """A daemon without holders must connect to the member itself."""

        async def check(deployment):
            number = relaying_daemon(deployment, deployment.group.primary)
            daemon = deployment.daemons[number]
            own = daemon._settings.daemon
            deployment.peers.cut |= {
                frozenset((own, each._settings.daemon))
                for each in deployment.daemons
                if each is not daemon
            }
            client = await deployment.client("live", number)
            until = asyncio.get_running_loop().time() + 3.0
            while asyncio.get_running_loop().time() < until:
                reply = await client.write()
                await asyncio.sleep(0.05)
            self.assertTrue(gateway_deployment.ok(reply))
            self.assertTrue(holds(daemon, deployment.group.primary))

        scenario(check)

    def test_lost_primary(self):
        """A lost primary must be replaced although few daemons hold it."""

        async def check(deployment):
            number = relaying_daemon(deployment, deployment.group.primary)
            task = asyncio.create_task(
                test_failover.writes_for(deployment, 4.0, number)
            )
            await asyncio.sleep(0.5)
            lost = deployment.group.primary
            crashed_at = asyncio.get_running_loop().time()
            lost.crash()
            replies = await task
            served = [
                at
                for at, reply in replies
                if gateway_deployment.ok(reply) and at > crashed_at
            ]
            self.assertLess(served[0] - crashed_at, 2.5)
            self.assertEqual([], test_failover.lost_commits(deployment))
            self.assertEqual(1, len(deployment.platform.promotions))

        scenario(check)

    def test_holder_without_a_way(self):
        """A holder that is cut off from a member must not have it replaced.

        Its refusals counted as those of the member, and two of them replaced
        a healthy primary.
        """

        async def check(deployment):
            primary = deployment.group.primary
            number = relaying_daemon(deployment, primary)
            client = await deployment.client("live", number)
            await client.write()
            holder = holder_in_use(
                deployment, deployment.daemons[number], primary
            )
            # The holder alone cannot reach it, and cannot promote either.
            holder.connector.cut.add(primary.id)
            holder.link.cut = True
            deployment.peers.cut |= {
                frozenset((holder._settings.daemon, each._settings.daemon))
                for each in deployment.daemons
                if each is not deployment.daemons[number]
            }
            replies = await test_failover.writes_for(deployment, 4.0, number)
            kept = [gateway_deployment.ok(reply) for _, reply in replies]
            self.assertGreater(sum(kept[-50:]), 45)
            self.assertEqual([], deployment.platform.promotions)

        scenario(check)

    def test_dead_holder_is_no_dead_primary(self):
        """The loss of a holder must not replace the primary."""

        async def check(deployment):
            number = relaying_daemon(deployment, deployment.group.primary)
            client = await deployment.client("live", number)
            await client.write()
            holder = holder_in_use(
                deployment,
                deployment.daemons[number],
                deployment.group.primary,
            )
            holder.relay.stop()
            replies = await test_failover.writes_for(deployment, 3.0, number)
            kept = [gateway_deployment.ok(reply) for _, reply in replies]
            self.assertGreater(sum(kept), 0.9 * len(kept))
            self.assertEqual([], deployment.platform.promotions)

        scenario(check)


class TestDetour(testtools.TestCase):
    """A member that some daemons cannot reach themselves."""

    def served_behind_a_cut(self, cut_peers):
        """Return the replies of a daemon that is cut off from the primary."""
        found = []

        async def check(deployment):
            # Until the daemons know each other.
            await asyncio.sleep(3.0)
            daemon = deployment.daemons[0]
            primary = deployment.group.primary
            client = await deployment.client("live", 0)
            await client.write()
            daemon.connector.cut.add(primary.id)
            if cut_peers:
                deployment.peers.cut.add(frozenset(("d0", "d1")))
            deployment.platform.outage = True
            await asyncio.sleep(0.7)
            for _ in range(20):
                found.append(gateway_deployment.ok(await client.write()))
                await asyncio.sleep(0.05)
            self.assertEqual([], deployment.platform.promotions)

        test_sessions.scenario(check, daemons=2)
        return found

    def test_through_another_daemon(self):
        """Statements must take the way through a daemon that reaches it.

        Three of four daemons were cut off from a new primary for 7 s, and
        refused the statements of their clients.
        """
        served = self.served_behind_a_cut(cut_peers=False)
        self.assertGreater(sum(served), 0.9 * len(served))

    def test_no_other_way(self):
        """Without another daemon the statements must be refused."""
        self.assertEqual(0, sum(self.served_behind_a_cut(cut_peers=True)))


class Outbox:
    """Transport of a relay session that records what it sends."""

    is_closed = False

    def __init__(self):
        self.sent = []

    def send(self, content):
        """Record a message."""
        self.sent.append(messages.reply_decoder.decode(content))

    def close(self):
        """Record the end."""
        self.is_closed = True


class TestSession(testtools.TestCase):
    """Invalid and late requests on one link."""

    def session(self):
        """Return a session without groups, and its outbox."""

        class NoPools:
            def held_pool(self, group, member):
                return None

            def newest_sample(self, group):
                return None

        service = relay_service.RelayService(
            NoPools(), None, clock.LoopClock()
        )
        outbox = Outbox()
        return service.accept("d1", outbox), outbox

    def run_message(self, number):
        """Return a request to run a read."""
        return messages.encode(
            messages.Run(
                number,
                "g",
                "m",
                0,
                "s1",
                Kind.READ,
                "READ 1",
                "",
                None,
                {},
                None,
                False,
                100,
                messages.Urgency(1, 100, 100),
            )
        )

    def test_not_a_message(self):
        """A frame that is no request must end the link."""
        session, _ = self.session()
        for content in (b"", b"\x01", messages.encode([99, 1]), b"\xc1"):
            self.assertRaises(frames.FrameError, session.received, content)

    def test_repeated_request(self):
        """A request that arrives twice must run once."""

        async def check():
            session, outbox = self.session()
            session.received(self.run_message(7))
            await asyncio.sleep(0.01)
            self.assertEqual(
                ["not sent by the relaying daemon"],
                [each.fault.value for each in outbox.sent],
            )
            for number in (7, 3):
                self.assertRaises(
                    frames.FrameError,
                    session.received,
                    self.run_message(number),
                )

        asyncio.run(check())

    def test_unknown_transaction(self):
        """A statement of an unknown transaction must not run outside."""

        async def check():
            session, outbox = self.session()
            message = messages.request_decoder.decode(self.run_message(1))
            content = messages.encode(
                messages.Run(
                    *(
                        4 if name == "transaction" else getattr(message, name)
                        for name in message.__struct_fields__
                    )
                )
            )
            session.received(content)
            await asyncio.sleep(0.01)
            self.assertEqual(
                ["lost by the relaying daemon"],
                [each.fault.value for each in outbox.sent],
            )

        asyncio.run(check())
