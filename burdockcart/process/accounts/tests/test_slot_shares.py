"""Tests which accounts the slots of members are counted for."""

import asyncio

import testtools

from burdockcart import ids
from burdockcart.process.accounts.tests import test_keyed_sessions
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
Kind = command.CommandKind
ok = gateway_deployment.ok


def used_s(daemon, account):
    """Return the recent slot time of an account at a daemon."""
    shares = daemon.group_by_id[GROUP].queue.shares
    return shares.used_s(account, asyncio.get_running_loop().time())


async def finish(clients, duration_s, text):
    """Write in a closed loop; return the waits of each client."""
    loop = asyncio.get_running_loop()
    until = loop.time() + duration_s

    async def press(client):
        waits = []
        while loop.time() < until:
            began_at = loop.time()
            if ok(await client.send(Kind.WRITE, text)):
                waits.append(loop.time() - began_at)
            else:
                await asyncio.sleep(0.05)
        return waits

    return await asyncio.gather(*map(press, clients))


class TestSlotTime(testtools.TestCase):
    """Slot time by account."""

    def test_direct(self):
        """Guards against work that no account is charged for."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live", key="k-old")
            self.assertTrue(ok(await client.write()))
            self.assertGreater(used_s(daemon, "acme"), 0.0)
            self.assertEqual(0.0, used_s(daemon, "zeta"))
            line = (
                b'burdockcart_account_slot_seconds_total{account="acme"} 0.0'
            )
            self.assertIn(line, daemon.measure())

        test_keyed_sessions.scenario(check)

    def test_transaction(self):
        """Guards against transactions that are charged for no more."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live", key="k-old")
            for kind in (Kind.BEGIN, Kind.WRITE):
                self.assertTrue(ok(await client.send(kind, "WRITE 1a4 x")))
            await asyncio.sleep(1.0)
            before = used_s(daemon, "acme")
            self.assertTrue(ok(await client.send(Kind.COMMIT)))
            self.assertGreater(used_s(daemon, "acme"), before + 0.2)

        test_keyed_sessions.scenario(check)

    def test_relayed(self):
        """Guards against a holder that charges nobody for relayed work."""

        async def check(deployment):
            primary = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, primary)
            sender = deployment.daemons[number]
            address = sender.group_by_id[GROUP].pool_by_member[primary.id]
            channel = await sender.relay.connector.connect(
                address.address, 1.0, ids.AccountName("acme")
            )
            self.assertFalse(channel.direct)
            write = command.Command("s", Kind.WRITE, "WRITE 1a4 x")
            answer = await channel.run(write, None, 1.0)
            self.assertIsNone(answer.fault)
            charged = [
                each
                for each in deployment.daemons
                if used_s(each, "acme") > 0.0
            ]
            self.assertEqual(1, len(charged))
            self.assertTrue(relay_case.holds(charged[0], primary))

        relay_case.scenario(
            check, accounts=test_keyed_sessions.FIRST, strict_revoke=True
        )

    def test_priorities_follow_the_manifest(self):
        """Guards against weights of an earlier manifest."""

        async def check(deployment):
            shares = deployment.daemons[0].group_by_id[GROUP].queue.shares
            self.assertEqual(1.0, shares._weight("acme"))
            changed = manifest.Account(
                name="acme", keys=frozenset({"k-old"}), priority=2
            )
            test_keyed_sessions.put(deployment, 2, (changed,))
            await asyncio.sleep(2.0)
            self.assertEqual(0.25, shares._weight("acme"))

        test_keyed_sessions.scenario(check)

    def test_no_accounts(self):
        """Guards against a cost where there are no accounts."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live")
            self.assertTrue(ok(await client.write()))
            shares = daemon.group_by_id[GROUP].queue.shares
            self.assertEqual({}, shares._used_by_account)
            self.assertNotIn(b"slot_seconds_total{", daemon.measure())

        test_keyed_sessions.scenario(check, accounts=())

    def test_hot_account_at_a_full_member(self):
        """Guards against small accounts that wait behind a hot one.

        One account has 40 clients that send without a pause, two others have
        one each.  The daemon has its full share of the connections, so that
        slots are scarce and not connections.
        """

        async def check(deployment):
            await asyncio.sleep(connection_share.COUNT_WINDOW_S + 1.0)
            hot = [
                await deployment.client("live", key="k-hot") for _ in range(40)
            ]
            small = [
                await deployment.client("live", key=key)
                for key in ("k-old", "k-zeta")
            ]
            waits = await finish(hot + small, 5.0, "WRITE 1a4 x")
            hot_count = sum(map(len, waits[:40])) / 40
            for each in waits[40:]:
                self.assertGreater(len(each), 5 * hot_count)
                self.assertLess(sum(each) / len(each), 0.05)

        accounts = (
            *test_keyed_sessions.FIRST,
            test_keyed_sessions.account("hot", "k-hot"),
        )
        test_keyed_sessions.scenario(
            check, accounts=accounts, daemons=1, work_s=0.02
        )

    def test_labels_are_bounded(self):
        """Guards against a metric for each of thousands of accounts."""
        metrics = gateway_metrics.GatewayMetrics()
        for number in range(5000):
            metrics.slot_used(f"a{number}", 0.5)
        text = metrics.text()
        self.assertIn(b'slot_seconds_total{account="other"} 2400.0', text)
        self.assertEqual(
            gateway_metrics.MAX_ACCOUNTS + 1,
            text.count(b"burdockcart_account_slot_seconds_total{"),
        )
