"""Tests planned stops of holders and of the daemons that relay to them."""

import asyncio

import testtools

from burdockcart import errors
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind
Error = errors.ErrorKind


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
    await asyncio.gather(*(each.drain() for each in daemons))
    await asyncio.gather(*(each.stop() for each in daemons))


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
