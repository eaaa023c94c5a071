"""Tests the guarantees that the gateway gives to client sessions."""

import asyncio

import loguru
import testtools

from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart.request import command
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

Kind = command.CommandKind
Error = errors.ErrorKind
State = member_channel.TransactionState


def scenario(check, **options):
    """Run a check in an emulated deployment."""

    async def whole():
        deployment = await gateway_deployment.GatewayDeployment(
            **options
        ).start()
        try:
            await check(deployment)
        finally:
            await deployment.stop()

    gateway_deployment.run(whole())


def runs_of(deployment, reply_pair):
    """Return the executions of a statement that members recorded."""
    statement = reply_pair[0]
    return [
        run for run in deployment.group.runs if run.statement == statement.id
    ]


class TestFreshness(testtools.TestCase):
    """Reads see the commits that their route guarantees."""

    def test_session_reads_its_write(self):
        """A session must not read from a replica that lacks its write."""

        async def check(deployment):
            client = await deployment.client("layers")
            for _ in range(30):
                self.assertTrue(gateway_deployment.ok(await client.write()))
                wrote = deployment.group.primary.received()
                reply = await client.read()
                self.assertTrue(gateway_deployment.ok(reply))
                run = runs_of(deployment, client.sent[-1])[-1]
                self.assertGreaterEqual(run.position, wrote)

        scenario(check, lag_s=0.3)

    def test_bounded_read_sees_old_commits(self):
        """A read must not use a replica that lags more than allowed."""

        async def check(deployment):
            writer = await deployment.client("live")
            reader = await deployment.client("archive")
            deployment.members[1].replication_cut = True
            for _ in range(60):
                await writer.write()
                await asyncio.sleep(0.05)
                began = asyncio.get_running_loop().time()
                await reader.read()
                run = runs_of(deployment, reader.sent[-1])[-1]
                required = [
                    commit.position
                    for commit in deployment.group.primary.log
                    if commit.at <= began - 1.5
                ]
                for position in required:
                    self.assertGreaterEqual(run.position, position)

        scenario(check, lag_s=0.2)

    def test_bounded_reads_use_replicas(self):
        """Reads that replicas can run must not take the primary's slots."""

        async def check(deployment):
            reader = await deployment.client("archive", daemon=1)
            # Wait until there are samples that are old enough.
            await asyncio.sleep(0.5)
            # The first reads use the connections that are already open.
            for _ in range(25):
                await reader.read()
            members = {
                run.member
                for sent in reader.sent[5:]
                for run in runs_of(deployment, sent)
            }
            self.assertNotIn(deployment.group.primary.id, members)

        scenario(check, daemons=2)

    def test_old_primary_gives_no_primary_read(self):
        """A primary read must not run on a former primary."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.write()
            old = deployment.group.primary
            deployment.group.promote(deployment.members[1])
            other = await deployment.client("live", daemon=1)
            await other.write()
            reply = await client.read()
            self.assertTrue(gateway_deployment.ok(reply))
            used = runs_of(deployment, client.sent[-1])[-1]
            self.assertNotEqual(old.id, used.member)

        scenario(check)

    def test_position_that_a_promotion_discarded(self):
        """A session must not wait for a commit that was discarded."""

        async def check(deployment):
            client = await deployment.client("layers")
            await client.write()
            primary = deployment.group.primary
            for member in deployment.members[1:]:
                member.replication_cut = True
            primary.commit([("unacknowledged", "WRITE 1 x")])
            # Wait until all remaining samples include the commit.
            await asyncio.sleep(3.5)
            for member in deployment.members[1:]:
                member.replication_cut = False
            deployment.group.promote(deployment.members[1])
            await asyncio.sleep(0.3)
            reply = await client.read()
            self.assertTrue(gateway_deployment.ok(reply))

        scenario(check)

    def test_no_sample_needs_the_primary(self):
        """Reads must not be stale when the primary is unreachable."""

        async def check(deployment):
            reader = await deployment.client("archive")
            deployment.platform.outage = True
            deployment.daemons[0].connector.cut.add(deployment.members[0].id)
            for channel in list(deployment.members[0].connections):
                channel.close()
            await asyncio.sleep(0.7)
            self.assertTrue(gateway_deployment.ok(await reader.read()))
            await asyncio.sleep(2.0)
            reply = await reader.read()
            self.assertFalse(gateway_deployment.ok(reply))

        scenario(check, daemons=1)


class TestOutcomes(testtools.TestCase):
    """Clients get the true outcome of a failed statement."""

    def test_lost_answer_to_write(self):
        """A write without an answer must not be sent again."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.write()
            primary = deployment.group.primary
            statement = f"s{int(client.sent[-1][0].id[1:]) + 1}"
            primary.lost_answer_ids.add(statement)
            reply = await client.write()
            self.assertIs(
                Error.OUTCOME_UNKNOWN, gateway_deployment.kind_of(reply)
            )
            self.assertEqual(1, len(runs_of(deployment, client.sent[-1])))

        scenario(check)

    def test_lost_answer_to_read(self):
        """A read without an answer must soon be retried."""

        async def check(deployment):
            client = await deployment.client("archive")
            await client.read()
            upcoming = f"s{int(client.sent[-1][0].id[1:]) + 1}"
            near = deployment.members[0]
            for member in deployment.members:
                if member is not near:
                    member.lost_answer_ids.add(upcoming)
            began = asyncio.get_running_loop().time()
            reply = await client.read()
            took = asyncio.get_running_loop().time() - began
            self.assertTrue(gateway_deployment.ok(reply))
            self.assertLess(took, 0.3)

        scenario(check)

    def test_lost_answer_to_commit(self):
        """A commit without an answer must not be reported as failed."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.send(Kind.BEGIN)
            await client.write()
            upcoming = f"s{int(client.sent[-1][0].id[1:]) + 1}"
            deployment.group.primary.lost_answer_ids.add(upcoming)
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertIs(
                Error.OUTCOME_UNKNOWN, gateway_deployment.kind_of(reply)
            )
            self.assertIs(State.IDLE, reply.state)

        scenario(check)

    def test_refused_transaction_keeps_nothing(self):
        """An aborted transaction must have no effect."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.send(Kind.BEGIN)
            self.assertTrue(gateway_deployment.ok(await client.write()))
            deployment.group.promote(deployment.members[1])
            reply = await client.write()
            self.assertIs(Error.NO_PRIMARY, gateway_deployment.kind_of(reply))
            self.assertIs(State.FAILED, reply.state)
            reply = await client.send(Kind.ROLLBACK, "ROLLBACK")
            self.assertIs(State.IDLE, reply.state)
            for member in deployment.members:
                self.assertEqual([], member.log)

        scenario(check)

    def test_unknown_database(self):
        """A session must not open without a route."""

        async def check(deployment):
            opened = await deployment.daemons[0].open_session("nowhere", "-")
            self.assertIs(Error.NO_ROUTE, opened.failure().kind)

        scenario(check)

    def test_dropped_route(self):
        """Statements must be refused after their route was removed."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.write()
            left = {"layers": gateway_deployment.ROUTES["layers"]}
            deployment.platform.put_tables(gateway_deployment.tables(2, left))
            # A manifest must be in force within 3 s.
            await asyncio.sleep(2.0)
            reply = await client.write()
            self.assertIs(Error.NO_ROUTE, gateway_deployment.kind_of(reply))

        scenario(check)


class TestSharedConnections(testtools.TestCase):
    """Sessions that share connections are isolated from each other."""

    def test_values_and_names(self):
        """Session values and prepared statements must not leak."""

        async def check(deployment):
            clients = [
                await deployment.client("layers", number % 2)
                for number in range(6)
            ]
            shapes = [
                command.Shape(False, f"q{number}") for number in range(6)
            ]
            for number, client in enumerate(clients):
                await client.send(Kind.SET, name="zone", argument=str(number))
                if number % 2:
                    await client.send(Kind.SET, name="odd", argument="1")
                await client.send(
                    Kind.PREPARE, name="s1", shape=shapes[number]
                )
            for _ in range(5):
                await asyncio.gather(
                    *(
                        client.send(
                            Kind.EXECUTE,
                            "EXECUTE s1 1a4",
                            name="s1",
                            argument="1a4",
                        )
                        for client in clients
                    )
                )
            for number, client in enumerate(clients):
                expected = {("zone", str(number))}
                if number % 2:
                    expected.add(("odd", "1"))
                for sent in client.sent[2 + number % 2 :]:
                    for run in runs_of(deployment, sent):
                        self.assertEqual(expected, set(run.value_by_name))
                        self.assertEqual(shapes[number], run.shape)

        scenario(check)

    def test_lost_prepared_names(self):
        """Guards against an acknowledged name that is unknown at a member.

        All connections of a member may have lost what was prepared on them.
        """

        async def check(deployment):
            shapes = [command.Shape(writes, "q a") for writes in (False, True)]
            deployment.platform.put_tables(
                gateway_deployment.tables(2, connections=64)
            )
            # The daemons have their whole share of the connections by then.
            await asyncio.sleep(16)
            clients = [
                await deployment.client(daemon=number % 2)
                for number in range(16)
            ]
            for client in clients:
                for shape in shapes:
                    await client.send(
                        Kind.PREPARE, name=f"s{shape.writes}", shape=shape
                    )

            async def execute(client, shape):
                name = f"s{shape.writes}"
                reply = await client.send(
                    Kind.EXECUTE, f"EXECUTE {name} 1a4", name, "1a4"
                )
                self.assertTrue(gateway_deployment.ok(reply), reply)
                (run,) = runs_of(deployment, client.sent[-1])
                self.assertEqual(shape, run.shape)

            for shape in shapes * 5:
                # Each transaction prepares on a connection of its own.
                for client in clients:
                    await client.send(Kind.BEGIN)
                    await execute(client, shape)
                for client in clients:
                    await client.send(Kind.ROLLBACK)
                for member in deployment.members:
                    for channel in member.connections:
                        channel.prepared.clear()
                await execute(clients[0], shape)
            self.assertIn("event=prepared_name_unknown id=s", "".join(lines))
            self.assertIn(" just_prepared=False", "".join(lines))

        lines = []
        sink = loguru.logger.add(lines.append, level="WARNING")
        self.addCleanup(loguru.logger.remove, sink)
        scenario(check, connection_limit=64)

    def test_name_that_a_member_never_knows(self):
        """Guards against closing all connections for one odd shape."""

        class Forgetful(set):
            """Prepared shapes that are lost at once."""

            def add(self, shape):
                """Do not keep it."""

        async def check(deployment):
            client = await deployment.client("live")
            shape = command.Shape(True, "q")
            await client.send(Kind.PREPARE, name="s", shape=shape)
            others = [await deployment.client("live") for _ in range(6)]
            for other in others:
                await other.send(Kind.BEGIN)
                await other.read()
            for other in others:
                await other.send(Kind.ROLLBACK)
            before = set(deployment.group.primary.connections)
            for channel in before:
                channel.prepared = Forgetful()
            reply = await client.send(
                Kind.EXECUTE, "EXECUTE s 1a4", "s", "1a4"
            )
            # A promise: the member says that it did not run.
            self.assertIs(Error.OVERLOADED, gateway_deployment.kind_of(reply))
            after = deployment.group.primary.connections
            self.assertGreater(len(before), 5)
            self.assertEqual(5, len(before - after))

        async def settled(deployment):
            deployment.platform.put_tables(
                gateway_deployment.tables(2, connections=64)
            )
            await asyncio.sleep(16)
            await check(deployment)

        scenario(settled, connection_limit=64)

    def test_transactions_do_not_mix(self):
        """A statement must not run in another client's transaction."""

        async def check(deployment):
            async def transaction(client):
                await client.send(Kind.BEGIN)
                for _ in range(4):
                    await client.write()
                    await asyncio.sleep(0.01)
                await client.send(Kind.COMMIT, "COMMIT")

            clients = [await deployment.client("live") for _ in range(5)]
            await asyncio.gather(*(transaction(each) for each in clients))
            for client in clients:
                inside = {
                    run.transaction
                    for sent in client.sent
                    for run in runs_of(deployment, sent)
                }
                self.assertEqual(1, len(inside))
                self.assertNotIn(None, inside)
            commits = [
                commit.writes for commit in deployment.group.primary.log
            ]
            self.assertEqual(5, len(commits))

        scenario(check)

    def test_refused_statement_fails_its_transaction(self):
        """Guards against a commit without a statement that was refused."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.send(Kind.BEGIN)
            self.assertTrue(gateway_deployment.ok(await client.write()))
            failure = errors.Failure(Error.BAD_REQUEST, "unknown statement")
            reply = client.session.refuse_unread(failure)
            self.assertIs(State.FAILED, reply.state)
            # Longer than a transaction may be idle.
            await asyncio.sleep(4.0)
            for kind in (Kind.SET, Kind.PREPARE, Kind.READ, Kind.BEGIN):
                reply = await client.send(kind, name="s", argument="a")
                self.assertIs(State.FAILED, reply.state)
                self.assertIs(
                    Error.BAD_REQUEST, gateway_deployment.kind_of(reply)
                )
            reply = await client.send(Kind.COMMIT)
            self.assertIs(
                Error.TRANSACTION_LOST, gateway_deployment.kind_of(reply)
            )
            self.assertIs(State.IDLE, reply.state)
            self.assertEqual([], deployment.group.acknowledged)

        scenario(check)

    def test_idle_transaction_is_ended(self):
        """An idle transaction must not keep its connection."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.send(Kind.BEGIN)
            await client.write()
            await asyncio.sleep(3.5)
            reply = await client.write()
            self.assertIs(
                Error.TRANSACTION_LOST, gateway_deployment.kind_of(reply)
            )
            self.assertIs(State.FAILED, reply.state)
            reply = await client.send(Kind.ROLLBACK, "ROLLBACK")
            self.assertIs(State.IDLE, reply.state)
            self.assertTrue(gateway_deployment.ok(await client.write()))

        scenario(check)

    def test_client_that_leaves_inside(self):
        """A transaction must end when its client disconnects."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.send(Kind.BEGIN)
            await client.write()
            client.session.close()
            await asyncio.sleep(0.1)
            channels = [
                channel.state
                for member in deployment.members
                for channel in member.connections
            ]
            self.assertNotIn(State.OPEN, channels)

        scenario(check)


class TestDraining(testtools.TestCase):
    """Draining members get no new work after the time limit."""

    def test_no_work_after_the_limit(self):
        """A draining replica must get no reads after the time limit.

        A read reached a replica 7.15 s after it had announced its draining,
        as no other member held the data (random run, seed 351449853111).
        """

        async def check(deployment):
            near = deployment.members[1]
            client = await deployment.client("archive", 1)
            await asyncio.sleep(0.5)
            for _ in range(10):
                await client.read()
            loop = asyncio.get_running_loop()
            drains_at = loop.time()
            deployment.enter(near, manifest.MemberState.DRAINING)
            deployment.members[2].crash()
            group = deployment.daemons[1].group_by_id[gateway_deployment.GROUP]
            primary = group.pool_by_member[deployment.members[0].id]
            while loop.time() < drains_at + 9:
                # Keep all connections to the primary busy.
                while primary.has_idle():
                    primary.take({}, None)
                group.primary.samples.add(
                    loop.time(), deployment.group.primary.received()
                )
                await client.read()
                await asyncio.sleep(0.05)
            elapsed_s = [
                run.at - drains_at
                for run in deployment.group.runs
                if run.member == near.id
            ]
            self.assertLess(max(elapsed_s), 7.0)

        scenario(check, daemons=2)

    def test_draining_primary_that_cannot_be_replaced(self):
        """The time limit must hold even if no promotion is possible."""

        async def check(deployment):
            loop = asyncio.get_running_loop()
            client = await deployment.client("live")
            drains_at = loop.time()
            # A promotion needs an answer of every replica.
            deployment.members[2].unresponsive = True
            deployment.enter(
                deployment.members[0], manifest.MemberState.DRAINING
            )
            while loop.time() < drains_at + 9:
                await client.write()
                await asyncio.sleep(0.05)
            elapsed_s = [
                run.at - drains_at
                for run in deployment.group.runs
                if run.member == deployment.members[0].id
            ]
            self.assertLess(max(elapsed_s), 7.0)

        scenario(check, daemons=1)
