"""Tests connections that are closed while a transaction uses them."""

import asyncio

import testtools

from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind

#: Latency of a slow link between two daemons, in seconds.
SLOW_S = 0.1


async def open_transaction(deployment):
    """Return a client in a relayed transaction, and its connection."""
    primary = deployment.group.primary
    number = relay_case.relaying_daemon(deployment, primary)
    client = await deployment.client("live", number)
    await client.write()
    await client.send(Kind.BEGIN)
    assert gateway_deployment.ok(await client.write())
    daemon = deployment.daemons[number]
    pool = daemon.group_by_id[relay_case.GROUP].pool_by_member[primary.id]
    (connection,) = pool._busy
    return client, connection


def run_of(deployment, client):
    """Return how a member recorded the client's last statement, or None."""
    statement, _ = client.sent[-1]
    found = [r for r in deployment.group.runs if r.statement == statement.id]
    return found[-1] if found else None


class TestAborted(testtools.TestCase):
    """A connection that is closed while a statement runs on it."""

    def test_statement_stays_in_its_aborted_transaction(self):
        """No statement may run outside of its transaction.

        The holder had answered when the connection was closed.  The client
        was told that its statement had succeeded, and its next one ran as
        one without a transaction.
        """

        async def check(deployment):
            client, connection = await open_transaction(deployment)
            inside = run_of(deployment, client).transaction
            self.assertIsNotNone(inside)
            deployment.peers.latency_s = SLOW_S
            reading = asyncio.create_task(client.read())
            # The holder has answered, and the answer is on its way.
            await gateway_deployment.until(
                lambda: len(deployment.group.runs) >= 3
            )
            await asyncio.sleep(SLOW_S / 2)
            connection.channel.close()
            told = [gateway_deployment.ok(await reading)]
            self.assertEqual(inside, run_of(deployment, client).transaction)
            deployment.peers.latency_s = 0.001
            told.append(gateway_deployment.ok(await client.write()))
            ran = run_of(deployment, client)
            outside = ran is not None and ran.transaction != inside
            self.assertEqual(
                ([False, False], False),
                (told, outside),
                "told the client, and ran outside of the transaction",
            )

        relay_case.scenario(check)

    def closed_commit(self, after_s):
        """Return the reply to a COMMIT, and whether its write was kept.

        The connection is closed ``after_s`` after the COMMIT has arrived.
        """
        found = []

        async def check(deployment):
            client, connection = await open_transaction(deployment)
            wrote = client.sent[-1][0].id
            deployment.group.primary.work_s = 0.05
            deployment.peers.latency_s = SLOW_S
            committing = asyncio.create_task(
                client.send(Kind.COMMIT, "COMMIT")
            )
            await asyncio.sleep(SLOW_S + after_s)
            connection.channel.close()
            found.append(await committing)
            kept = [
                statement
                for commit in deployment.group.primary.log
                for statement, _ in commit.writes
            ]
            found.append(wrote in kept)

        relay_case.scenario(check)
        return found

    def test_commit_answered_after_the_close(self):
        """The answer to a COMMIT tells its outcome, however late."""
        reply, kept = self.closed_commit(after_s=0.08)
        self.assertTrue(kept)
        self.assertTrue(gateway_deployment.ok(reply))

    def test_commit_that_was_broken_off(self):
        """A COMMIT without an answer must not be promised to be undone."""
        for after_s in (-0.02, 0.0, 0.02):
            reply, kept = self.closed_commit(after_s)
            if gateway_deployment.ok(reply):
                self.assertTrue(kept)
            else:
                self.assertIs(
                    errors.ErrorKind.OUTCOME_UNKNOWN,
                    gateway_deployment.kind_of(reply),
                )


class TestEndedByMember(testtools.TestCase):
    """A transaction that the member has ended by itself."""

    def test_no_promise_after_a_write_outside(self):
        """What ran outside may be kept, so its COMMIT must not deny it."""

        async def check(deployment):
            client, _ = await open_transaction(deployment)
            for each in deployment.group.primary.connections:
                each.transaction = None
                each.state = member_channel.TransactionState.IDLE
            replies = [
                await client.write(),
                await client.send(Kind.COMMIT, "COMMIT"),
            ]
            self.assertEqual(
                [errors.ErrorKind.OUTCOME_UNKNOWN] * 2,
                [gateway_deployment.kind_of(reply) for reply in replies],
            )

        relay_case.scenario(check)


class TestUnreachableMember(testtools.TestCase):
    """A member that one daemon cannot reach, which aborts reads there."""

    def read_during_abort(self, relayed):
        """Return the outcome of a read in a transaction and its commit."""
        found = []

        async def check(deployment):
            primary = deployment.group.primary
            number = next(
                number
                for number, daemon in enumerate(deployment.daemons)
                if relay_case.holds(daemon, primary) is not relayed
            )
            client = await deployment.client("live", number)
            await client.send(Kind.BEGIN)
            await client.write()
            daemon = deployment.daemons[number]
            pool = daemon.group_by_id[relay_case.GROUP].pool_by_member[
                primary.id
            ]
            primary.work_s = 0.05
            reading = asyncio.create_task(client.read())
            await asyncio.sleep(0.02)
            pool.abort_reads()
            found.append(gateway_deployment.ok(await reading))
            reply = await client.send(Kind.COMMIT, "COMMIT")
            found.append(gateway_deployment.ok(reply))

        relay_case.scenario(check)
        return found

    def test_relayed_transaction_goes_on(self):
        """A statement must not be lost whose holder reaches the member."""
        self.assertEqual([True, True], self.read_during_abort(relayed=True))

    def test_direct_transaction_goes_on(self):
        """A read in a transaction cannot go to another member."""
        self.assertEqual([True, True], self.read_during_abort(relayed=False))

    def test_single_read_goes_to_another_member(self):
        """A direct read outside of a transaction must not wait."""

        async def check(deployment):
            members = deployment.members
            daemon = deployment.daemons[0]
            client = await deployment.client("archive", 0)
            await asyncio.sleep(2.0)
            for member in members:
                member.work_s = 0.3
            reading = asyncio.create_task(client.read())
            await asyncio.sleep(0.02)
            for member in members:
                member.work_s = 0.005
            began = asyncio.get_running_loop().time()
            for pool in daemon.group_by_id[
                relay_case.GROUP
            ].pool_by_member.values():
                pool.abort_reads()
            self.assertTrue(gateway_deployment.ok(await reading))
            took_s = asyncio.get_running_loop().time() - began
            self.assertLess(took_s, 0.1)

        test_sessions.scenario(check, daemons=1)
