"""Tests keys of clients over the line protocol."""

import asyncio

import testtools

from burdockcart.platform.tests import memory_clients
from burdockcart.process.accounts.tests import test_keyed_sessions
from burdockcart.tests import gateway_deployment


def scenario(check):
    """Run a check in a deployment with accounts."""
    memory_clients.scenario(
        check, accounts=test_keyed_sessions.FIRST, strict_revoke=True
    )


class TestKeys(testtools.TestCase):
    """What clients are told, and what members see of it."""

    def test_unknown_key(self):
        """Guards against a session, or a statement, without a valid key."""

        async def check(deployment):
            client = memory_clients.Client(deployment.daemons[0].clients)
            self.assertFalse(await client.start(key="k-wrong"))
            self.assertEqual("NOAUTH", client.answers[-1].error)
            self.assertNotIn("k-wrong", client.answers[-1].lines[0])
            await asyncio.sleep(1.0)
            self.assertTrue(client.ended)

        scenario(check)

    def test_removed_key(self):
        """Guards against a connection that stays open without a key.

        A failed transaction must not keep it open.
        """

        async def check(deployment):
            client = memory_clients.Client(deployment.daemons[0].clients)
            self.assertTrue(await client.start(key="k-old"))
            await client.query("BEGIN")
            self.assertTrue((await client.query("WRITE 1a4 x")).complete)
            deployment.platform.put_tables(
                gateway_deployment.tables(
                    2, accounts=test_keyed_sessions.WITHOUT_OLD
                )
            )
            await asyncio.sleep(2.0)
            answer = await client.query("COMMIT")
            self.assertEqual("NOAUTH", answer.error)
            self.assertFalse(answer.complete)
            await asyncio.sleep(0.1)
            self.assertIn("NOAUTH", client.unsolicited[0])
            await asyncio.sleep(1.5)
            self.assertTrue(client.closed)
            self.assertEqual(0, len(deployment.daemons[0].clients.connections))

        scenario(check)

    def test_unconfirmed_key(self):
        """Guards against an answer that does not say "not run"."""

        async def check(deployment):
            client = memory_clients.Client(deployment.daemons[0].clients)
            self.assertTrue(await client.start(key="k-old"))
            deployment.platform.outage = True
            await asyncio.sleep(6.0)
            answer = await client.query("WRITE 1a4 x")
            self.assertEqual("BUSY", answer.error)
            self.assertEqual("I", client.state)
            deployment.platform.outage = False
            await asyncio.sleep(2.0)
            self.assertTrue((await client.query("WRITE 1a4 x")).complete)

        scenario(check)
