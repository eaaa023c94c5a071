"""Tests planned stops of holders and of the daemons that relay to them."""

import asyncio
import collections

import testtools

from burdockcart import errors
from burdockcart.process.gateway.sessions import client_listener
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind
Error = errors.ErrorKind
#: Connections that the holders of a member open to it in seconds without a
#: drain, as bursts come and go; without holders each daemon opens several.
CALM_CONNECTS = 100


async def open_transaction(deployment):
    """Return a client in a relayed transaction that wrote, and the holder."""
    primary = deployment.group.primary
    number = relay_case.relaying_daemon(deployment, primary)
    client = await deployment.client("live", number)
    await client.send(Kind.BEGIN)
    await client.write()
    holder = relay_case.holder_in_use(
        deployment, deployment.daemons[number], primary
    )
    return client, holder


async def drain(daemons):
    """Stop daemons as the platform does, all at once."""

    async def end(daemon):
        await daemon.drain()
        await daemon.stop()

    await asyncio.gather(*(end(each) for each in daemons))


class TestTransactions(testtools.TestCase):
    """Transactions that a leaving holder has open for others."""

    def test_longer_than_the_registration(self):
        """A transaction must outlive the holder's entry in the list.

        Its link was closed when the list of daemons no longer named the
        holder, as nothing was waiting for an answer at that moment.
        """

        async def check(deployment):
            client, holder = await open_transaction(deployment)
            draining = asyncio.create_task(drain([holder]))
            for _ in range(5):
                await asyncio.sleep(0.5)
                self.assertTrue(gateway_deployment.ok(await client.write()))
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertTrue(gateway_deployment.ok(reply))
            await draining
            deployment.daemons.remove(holder)

        relay_case.scenario(check)

    def test_longer_than_half_of_the_grace_time(self):
        """An idle transaction is rolled back, and its client is told so."""

        async def check(deployment):
            client, holder = await open_transaction(deployment)
            draining = asyncio.create_task(drain([holder]))
            for _ in range(6):
                await asyncio.sleep(0.45)
                self.assertTrue(gateway_deployment.ok(await client.write()))
            await asyncio.sleep(0.5)
            open_states = [
                each.state.value
                for each in deployment.group.primary.connections
                if each.state.value == "open"
            ]
            self.assertEqual([], open_states)
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertIs(
                Error.TRANSACTION_LOST, gateway_deployment.kind_of(reply)
            )
            await draining
            deployment.daemons.remove(holder)

        relay_case.scenario(check)

    def test_commit_after_the_end_of_the_link(self):
        """A COMMIT that was not sent is no doubt: it was rolled back."""

        async def check(deployment):
            client, holder = await open_transaction(deployment)
            holder.relay.stop()
            await asyncio.sleep(0.1)
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertIs(
                Error.TRANSACTION_LOST, gateway_deployment.kind_of(reply)
            )

        relay_case.scenario(check)

    def test_commit_with_a_long_limit(self):
        """A COMMIT must be taken in the first half, whatever its limit.

        Its limit reached past the end of the holder, so it was rolled back
        1.5 s after the signal.
        """

        async def check(deployment):
            client, holder = await open_transaction(deployment)
            draining = asyncio.create_task(drain([holder]))
            await asyncio.sleep(1.5)
            self.assertTrue(gateway_deployment.ok(await client.write()))
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertTrue(gateway_deployment.ok(reply))
            await draining
            deployment.daemons.remove(holder)

        routes = dict(gateway_deployment.ROUTES)
        routes["live"] = (*routes["live"][:2], 5.0, *routes["live"][3:])
        relay_case.scenario(check, routes=routes)

    def test_last_moment(self):
        """What may outlast the holder must go back unsent."""

        async def check(deployment):
            client, holder = await open_transaction(deployment)
            session = next(
                each
                for each in holder.relay.service._sessions
                if each._transaction_by_number
            )
            holder.relay.leave(1.2)
            await asyncio.sleep(0.45)
            # A statement that runs keeps the transaction past the half.
            deployment.group.primary.work_s = 0.25
            self.assertTrue(gateway_deployment.ok(await client.write()))
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertIs(
                Error.TRANSACTION_LOST, gateway_deployment.kind_of(reply)
            )
            self.assertEqual(
                [], test_sessions.runs_of(deployment, client.sent[-1])
            )
            await asyncio.sleep(0.1)
            self.assertEqual(0, session.pending)

        relay_case.scenario(check)


class TestStatements(testtools.TestCase):
    """Statements at a holder that leaves."""

    async def queued(self, deployment):
        """Return a statement that waits at a holder, and the holder."""
        primary = deployment.group.primary
        number = relay_case.relaying_daemon(deployment, primary)
        client = await deployment.client("live", number)
        await client.write()
        daemon = deployment.daemons[number]
        holder = relay_case.holder_in_use(deployment, daemon, primary)
        pool = daemon.group_by_id[relay_case.GROUP].pool_by_member[primary.id]
        channel = pool.take({}, None).channel
        held = holder.group_by_id[relay_case.GROUP].pool_by_member[primary.id]
        held.has_room = lambda account=None: False
        channel.set_urgency(1, 0.1, 0.7)
        statement = command.Command("waits", Kind.READ, "READ 1")
        running = asyncio.create_task(channel.run(statement, None, 0.7))
        await asyncio.sleep(0.05)
        self.assertFalse(running.done())
        return running, holder

    def test_waiting_statement_goes_back(self):
        """What waits at a holder must go back at once, for another one."""

        async def check(deployment):
            running, holder = await self.queued(deployment)
            holder.relay.leave(6.0)
            await asyncio.sleep(0.02)
            self.assertTrue(running.done())
            self.assertEqual(
                "not sent by the relaying daemon", running.result().fault.value
            )

        relay_case.scenario(check)

    def test_request_that_meets_the_end_of_the_link(self):
        """A write that the holder never received must be sent elsewhere.

        It was on its way when the holder closed the link.
        """

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            client = await deployment.client("live", number)
            await client.write()
            holder = relay_case.holder_in_use(
                deployment,
                deployment.daemons[number],
                deployment.group.primary,
            )
            running = asyncio.create_task(client.write())
            await asyncio.sleep(0.0)
            await asyncio.sleep(0.0)
            holder.relay.stop()
            self.assertTrue(gateway_deployment.ok(await running))
            ran = test_sessions.runs_of(deployment, client.sent[-1])
            self.assertEqual(1, len(ran))

        relay_case.scenario(check)

    async def cut(self, deployment, send, work_s):
        """Return the reply to a statement that outlasts its holder."""
        primary = deployment.group.primary
        number = relay_case.relaying_daemon(deployment, primary)
        client = await deployment.client("live", number)
        await client.write()
        holder = relay_case.holder_in_use(
            deployment, deployment.daemons[number], primary
        )
        primary.work_s = work_s
        running = asyncio.create_task(send(client))
        await asyncio.sleep(work_s / 2)
        primary.work_s = 0.005
        # The end of a grace time that is shorter than the statement.
        holder.relay.stop()
        reply = await running
        return reply, test_sessions.runs_of(deployment, client.sent[-1])

    def test_write_that_outlasts_the_holder(self):
        """What still runs at the very end is in doubt and runs once."""

        async def check(deployment):
            reply, ran = await self.cut(
                deployment, lambda client: client.write(), 0.7
            )
            self.assertIs(
                Error.OUTCOME_UNKNOWN, gateway_deployment.kind_of(reply)
            )
            self.assertLessEqual(len(ran), 1)

        relay_case.scenario(check)

    def test_read_that_outlasts_the_holder(self):
        """A read must be sent by way of another holder in time."""

        async def check(deployment):
            reply, _ = await self.cut(
                deployment, lambda client: client.read(), 0.1
            )
            self.assertTrue(gateway_deployment.ok(reply))

        relay_case.scenario(check)

    def test_drain_shorter_than_a_statement(self):
        """A holder must end in its grace time, whatever runs."""

        async def check(deployment):
            primary = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, primary)
            client = await deployment.client("live", number)
            await client.write()
            holder = relay_case.holder_in_use(
                deployment, deployment.daemons[number], primary
            )
            primary.work_s = 5.0
            running = asyncio.create_task(client.write())
            await asyncio.sleep(0.05)
            began_at = asyncio.get_running_loop().time()
            await drain([holder])
            took_s = asyncio.get_running_loop().time() - began_at
            self.assertLess(took_s, 0.55)
            self.assertFalse(gateway_deployment.ok(await running))
            deployment.daemons.remove(holder)

        relay_case.scenario(check, shutdown_s=0.5)

    def test_new_link_to_a_leaving_holder(self):
        """A daemon with an old list must hear that the holder leaves."""

        async def check(deployment):
            holder = deployment.daemons[0]
            holder.relay.leave(6.0)
            links = deployment.daemons[1].relay._links
            links.close()
            links._link_by_daemon.clear()
            link = await links.link(holder._listing._entry)
            await asyncio.sleep(0.01)
            self.assertTrue(link.leaving)

        relay_case.scenario(check)


class BusyConnection(gateway_deployment.IdleConnection):
    """A client connection that runs statements until it has ended."""

    idle = False
    phase = client_listener.Phase.RUNNING

    def close_when_idle(self):
        """Record that the connection was told to close."""
        self.closing = True

    def ended(self):
        """Remove the connection."""
        self.clients.connections.remove(self)


class TestAllAtOnce(testtools.TestCase):
    """Planned stops of many daemons at the same moment."""

    def served(self, deployment, numbers, duration_s):
        """Return tasks that write through some daemons."""

        async def write(number):
            connection = BusyConnection(deployment.daemons[number].clients)
            replies = await test_failover.writes_for(
                deployment, duration_s, number, 0.1
            )
            connection.ended()
            return replies

        return [asyncio.create_task(write(each)) for each in numbers[::3]]

    def count_connects(self, deployment):
        """Return a list to which each connect to the primary is added."""
        attempts = []
        primary = deployment.group.primary.id
        for daemon in deployment.daemons:
            connect = daemon.connector.connect

            async def counted(
                address, timeout_s, account=None, connect=connect
            ):
                if address.id == primary:
                    attempts.append(address.id)
                return await connect(address, timeout_s, account)

            daemon.connector.connect = counted
        return attempts

    def check_replies(self, tasks):
        """Check that all writes were served."""
        replies = [reply for task in tasks for _, reply in task.result()]
        failures = collections.Counter(
            gateway_deployment.kind_of(each).value
            for each in replies
            if not gateway_deployment.ok(each)
        )
        self.assertEqual({}, dict(failures))
        self.assertGreater(len(replies), 20 * len(tasks))

    def test_whole_deployment(self):
        """Statements must be served while all daemons drain.

        No holder took them any more, so every daemon connected to every
        member itself, far above what the members accept.
        """

        async def check(deployment):
            numbers = range(len(deployment.daemons))
            # Until all connections are those of the whole list.
            await asyncio.sleep(6.0)
            tasks = self.served(deployment, numbers, 3.5)
            await asyncio.sleep(0.5)
            connects = self.count_connects(deployment)
            draining = asyncio.create_task(drain(deployment.daemons))
            await asyncio.gather(*tasks)
            await draining
            self.check_replies(tasks)
            self.assertLess(len(connects), CALM_CONNECTS)
            deployment.daemons.clear()

        relay_case.scenario(check, daemons=40)

    def test_transactions_of_the_whole_deployment(self):
        """Open transactions must have half of the grace time everywhere."""

        async def check(deployment):
            clients = [
                await deployment.client("live", number)
                for number in range(len(deployment.daemons))
            ]
            for client, daemon in zip(
                clients, deployment.daemons, strict=True
            ):
                BusyConnection(daemon.clients)
                await client.send(Kind.BEGIN)
                self.assertTrue(gateway_deployment.ok(await client.write()))
            draining = asyncio.create_task(drain(deployment.daemons))
            for _ in range(3):
                await asyncio.sleep(0.8)
                for client in clients:
                    reply = await client.write()
                    self.assertTrue(gateway_deployment.ok(reply))
            for client, daemon in zip(
                clients, deployment.daemons, strict=True
            ):
                reply = await client.send(Kind.COMMIT, "COMMIT")
                self.assertTrue(gateway_deployment.ok(reply))
                daemon.clients.connections.clear()
            await draining
            deployment.daemons.clear()

        relay_case.scenario(check)

    def test_failure_domain(self):
        """The others must go on while all holders of a member drain."""

        async def check(deployment):
            domain = deployment.group.primary.domain
            leaving = [
                each
                for each in deployment.daemons
                if each._settings.domain == domain
            ]
            numbers = [
                number
                for number, each in enumerate(deployment.daemons)
                if each not in leaving
            ]
            # Until all connections are those of the whole list.
            await asyncio.sleep(6.0)
            tasks = self.served(deployment, numbers, 7.0)
            await asyncio.sleep(0.5)
            connects = self.count_connects(deployment)
            await drain(leaving)
            await asyncio.gather(*tasks)
            self.check_replies(tasks)
            self.assertLess(len(connects), CALM_CONNECTS)
            deployment.daemons = [
                each for each in deployment.daemons if each not in leaving
            ]

        relay_case.scenario(check, daemons=40)
