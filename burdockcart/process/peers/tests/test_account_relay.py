"""Tests that relayed statements keep to connections of their account."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import account_case
from burdockcart.process.peers.tests import relay_case

A, B, C, *_ = account_case.ACCOUNTS


def relayed_links(deployment):
    """Return the number of links on which daemons relay."""
    return sum(each.relay.open_links for each in deployment.daemons)


class TestRelayed(testtools.TestCase):
    """Statements that a holder runs for other daemons."""

    def test_accounts_share_no_connection(self):
        """A holder must not run a statement on another account's connection.

        It chooses the connection anew for each statement outside of a
        transaction.
        """

        async def check(deployment):
            clients = [
                await account_case.client_of(
                    deployment, account, database, number
                )
                for account in (A, B, None)
                for database in ("live", "layers")
                for number in range(len(deployment.daemons))
            ]
            replies = await asyncio.gather(
                *(account_case.repeat(each, 6, 0.3) for each in clients)
            )
            total = sum(map(account_case.answered, replies))
            self.assertEqual(6 * len(clients), total)
            self.assertGreater(relayed_links(deployment), 0)
            self.assertEqual([], account_case.mixed_up(deployment, clients))

        relay_case.scenario(check, daemons=9)

    def test_transactions(self):
        """A relayed transaction must run under its account."""

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            clients = [
                await account_case.client_of(
                    deployment, account, "live", number
                )
                for account in (A, B, C)
            ]
            for _ in range(3):
                for client in clients:
                    replies = await account_case.run_transaction(client)
                    self.assertEqual(4, account_case.answered(replies))
            self.assertEqual([], account_case.mixed_up(deployment, clients))

        relay_case.scenario(check)

    def test_lost_holder(self):
        """The next holder must open connections of the accounts, too."""

        async def check(deployment):
            primary = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, primary)
            clients = [
                await account_case.client_of(
                    deployment, account, "live", number
                )
                for account in (A, B, C)
            ]
            for client in clients:
                await client.write()
            holder = relay_case.holder_in_use(
                deployment, deployment.daemons[number], primary
            )
            holder.relay.stop()
            replies = await asyncio.gather(
                *(account_case.repeat(each, 40, 0.1) for each in clients)
            )
            for each in replies:
                self.assertGreater(account_case.answered(each), 30)
            self.assertEqual([], account_case.mixed_up(deployment, clients))

        relay_case.scenario(check)
