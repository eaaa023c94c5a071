"""Tests connections that are closed while a transaction uses them."""

import asyncio

import testtools

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
