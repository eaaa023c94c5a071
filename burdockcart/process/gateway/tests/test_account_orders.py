"""Tests statements of several accounts in random orders."""

import asyncio

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart.process.gateway.tests import account_case
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

GROUP = account_case.GROUP
A, B, C, *_ = account_case.ACCOUNTS

#: A statement: account, daemon, what is sent, and the pause before the next
#: one, in seconds.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((A, B, C, None)),
        strategies.integers(0, 1),
        strategies.sampled_from(("read", "write", "transaction", "control")),
        strategies.sampled_from((0.0, 0.002, 0.02, 0.3)),
    ),
    min_size=5,
    max_size=30,
)


class TestOrders(testtools.TestCase):
    """Random orders of statements on the virtual clock."""

    @hypothesis.settings(
        max_examples=40, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(steps=STEPS, late=strategies.booleans())
    def test_each_statement_keeps_its_account(self, steps, late):
        """A member must never see a statement under another name.

        Daemons start with one connection to each member, so that accounts
        take turns; later there are evictions and status queries between.
        """

        async def check(deployment):
            if late:
                await asyncio.sleep(4.0)
            clients = {}
            running = []
            for account, daemon, kind, pause_s in steps:
                if kind == "control":
                    running += [
                        asyncio.create_task(pool.observe(0.1))
                        for pool in deployment.daemons[daemon]
                        .group_by_id[GROUP]
                        .pool_by_member.values()
                    ]
                    continue
                client = await account_case.client_of(
                    deployment, account, "layers", daemon
                )
                clients[id(client)] = client
                sends = {
                    "read": client.read,
                    "write": client.write,
                    "transaction": lambda each=client: (
                        account_case.run_transaction(each)
                    ),
                }
                running.append(asyncio.create_task(sends[kind]()))
                await asyncio.sleep(pause_s)
            await asyncio.gather(*running)
            self.assertEqual(
                [], account_case.mixed_up(deployment, clients.values())
            )
            for member in deployment.members:
                self.assertLessEqual(
                    len(member.connections), member.connection_limit
                )

        test_sessions.scenario(check)


class TestLoad(testtools.TestCase):
    """More accounts than connections."""

    def test_all_accounts_make_progress(self):
        """No account may wait for ever while others use the connections.

        Eight accounts share three connections of each daemon; one of them
        has six clients that never pause.
        """

        async def check(deployment):
            for group in (
                each.group_by_id[GROUP] for each in deployment.daemons
            ):
                group.accounts = True
                group.apply_shares()
            await asyncio.sleep(4.0)
            hot, *others = account_case.ACCOUNTS
            clients = [
                await account_case.client_of(deployment, account)
                for account in [hot] * 6 + others
            ]
            loop = asyncio.get_running_loop()
            until = loop.time() + 5.0

            async def send(client):
                replies = []
                while loop.time() < until:
                    replies.append(await client.write())
                    if client.account != hot:
                        await asyncio.sleep(0.25)
                return replies

            replies = await asyncio.gather(*map(send, clients))
            self.assertEqual([], account_case.mixed_up(deployment, clients))
            for client, each in zip(clients, replies, strict=True):
                share = account_case.answered(each) / len(each)
                self.assertGreater(share, 0.5, client.account)

        test_sessions.scenario(check, daemons=4)

    def test_restart_of_all_daemons(self):
        """Daemons must connect while a member keeps dead connections.

        All daemons restart at once; with accounts more connections are open
        before, and the member drops them after 3 s only.
        """

        async def check(deployment):
            for group in (
                each.group_by_id[GROUP] for each in deployment.daemons
            ):
                group.accounts = True
                group.apply_shares()
            for member in deployment.members:
                member.half_open_connections = 12
            clients = [
                await account_case.client_of(
                    deployment, account, "live", daemon
                )
                for account in (A, B)
                for daemon in range(4)
            ]
            replies = await asyncio.gather(
                *(account_case.repeat(each, 20, 0.1) for each in clients)
            )
            for each in replies:
                self.assertGreater(account_case.answered(each), 18)
            for each in clients:
                self.assertTrue(gateway_deployment.ok(await each.write()))

        test_sessions.scenario(check, daemons=4)
