"""Tests that relayed statements keep to connections of their account."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import account_case
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind
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

    def test_connections_at_one_holder(self):
        """An account's connections at a member must be at one holder.

        With a holder for each sender, every holder opened connections of
        every account, which displaced each other.
        """

        async def check(deployment):
            member = deployment.group.primary
            senders = [
                number
                for number, daemon in enumerate(deployment.daemons)
                if not relay_case.holds(daemon, member)
            ]
            clients = [
                await account_case.client_of(
                    deployment, account, "live", number
                )
                for account in (A, B, C)
                for number in senders
            ]
            for client in clients:
                replies = await account_case.repeat(client, 2, 0.05)
                self.assertEqual(2, account_case.answered(replies))
            for account in (A, B, C):
                holders = {
                    each._settings.daemon
                    for each in deployment.daemons
                    for channel in each.connector.channels
                    if channel.member is member and channel.account == account
                }
                self.assertEqual(1, len(holders))

        relay_case.scenario(check)

    def test_busy_holder(self):
        """A full holder must not stop an account that others can serve.

        Each idle transaction keeps a connection, and a holder has few.
        """

        async def check(deployment):
            member = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, member)
            clients = [
                await account_case.client_of(deployment, A, "live", number)
                for _ in range(9)
            ]
            for client in clients:
                await client.send(Kind.BEGIN)
                self.assertTrue(gateway_deployment.ok(await client.write()))
            for client in clients:
                reply = await client.send(Kind.COMMIT)
                self.assertTrue(gateway_deployment.ok(reply))
            self.assertEqual([], account_case.mixed_up(deployment, clients))

        relay_case.scenario(check)

    def test_many_accounts_at_one_sender(self):
        """Accounts must not wait for each other's relayed connections.

        A daemon has 16 of them to a member; one in use by no statement is
        closed for another account at once.
        """

        async def check(deployment):
            number = relay_case.relaying_daemon(
                deployment, deployment.group.primary
            )
            pool = (
                deployment.daemons[number]
                .group_by_id[relay_case.GROUP]
                .pool_by_member[deployment.group.primary.id]
            )
            loop = asyncio.get_running_loop()
            for serial in range(40):
                client = await account_case.client_of(
                    deployment, f"account-{serial}", "live", number
                )
                begun = loop.time()
                self.assertTrue(gateway_deployment.ok(await client.write()))
                self.assertLess(loop.time() - begun, 0.06)
                self.assertLessEqual(pool.open_count, 16)

        relay_case.scenario(check)

    def test_holder_full_of_other_accounts(self):
        """An account must go to another holder if its own one is full.

        The idle transactions of other accounts keep all connections there.
        """

        async def check(deployment):
            member = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, member)
            relay = deployment.daemons[number].relay

            def first_holder(account):
                return relay.holders_of(member.id, account)[0][0].id

            others = [
                account
                for account in (f"other-{each}" for each in range(40))
                if first_holder(account) == first_holder(A)
            ]
            for account in others[:2]:
                for _ in range(3):
                    client = await account_case.client_of(
                        deployment, account, "live", number
                    )
                    await client.send(Kind.BEGIN)
                    await client.write()
            client = await account_case.client_of(
                deployment, A, "live", number
            )
            replies = [await client.write() for _ in range(2)]
            self.assertTrue(gateway_deployment.ok(replies[-1]))

        relay_case.scenario(check)
