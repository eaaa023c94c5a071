"""Tests that a holder keeps no transaction that its daemon has given up."""

import asyncio

import testtools

from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_session
from burdockcart.process.peers.tests import relay_case
from burdockcart.process.peers.tests import test_aborted_transaction
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind


async def link_of(deployment):
    """Return the holder's session of a link and the sender's channel."""
    primary = deployment.group.primary
    number = relay_case.relaying_daemon(deployment, primary)
    client = await deployment.client("live", number)
    await client.write()
    daemon = deployment.daemons[number]
    holder = relay_case.holder_in_use(deployment, daemon, primary)
    own = daemon._settings.daemon
    session = next(
        each for each in holder.relay.service._sessions if each._daemon == own
    )
    pool = daemon.group_by_id[relay_case.GROUP].pool_by_member[primary.id]
    return session, pool.take({}, None).channel


def open_transactions(deployment):
    """Return the transactions that are open at the primary."""
    return [
        each.transaction
        for each in deployment.group.primary.connections
        if each.transaction is not None
    ]


class TestEnds(testtools.TestCase):
    """Whatever ends a transaction, its connection comes back."""

    def test_begin_and_discard_arrive_together(self):
        """A transaction must not stay that was given up before it began.

        On a slow link both messages arrive at once.  The second one found no
        transaction, and the first one then began one that nobody ended.
        """

        async def check(deployment):
            session, channel = await link_of(deployment)
            member = deployment.group.primary
            begin = messages.Begin(
                next(channel._link._numbers),
                relay_case.GROUP,
                member.id,
                100,
                False,
                {},
                None,
                400,
                messages.Urgency(1, 100, 400),
            )
            sent = []
            self.patch(session, "_send", sent.append)
            session.received(messages.encode(begin))
            session.received(messages.encode(messages.Discard(100)))
            await asyncio.sleep(1.0)
            self.assertEqual(
                ["given up before it began"],
                [each.text for each in sent if each.number == begin.number],
            )
            self.assertEqual([], open_transactions(deployment))
            self.assertEqual(0, session.pending)

        relay_case.scenario(check)

    def test_refused_rollback(self):
        """A holder that takes no more requests must not keep a transaction.

        The sender had forgotten it when the answer came, so it stayed open
        until the link ended.
        """

        async def check(deployment):
            session, channel = await link_of(deployment)
            begun = await channel.begin(False, 0.4)
            self.assertIsNone(begun.fault)
            self.patch(relay_session, "MAX_STATEMENTS", 0)
            answer = await channel.roll_back(0.4)
            self.assertIsNotNone(answer.fault)
            channel.close()
            await asyncio.sleep(1.0)
            self.assertEqual([], open_transactions(deployment))
            self.assertEqual(0, session.pending)

        relay_case.scenario(check)

    def test_rollback_beside_a_statement(self):
        """A statement that runs meanwhile must not end in another one."""

        async def check(deployment):
            session, channel = await link_of(deployment)
            await channel.begin(False, 0.4)
            number = channel._transaction
            member = deployment.group.primary
            member.work_s = 0.1
            statement = command.Command("s-own", Kind.READ, "READ 1")
            running = asyncio.create_task(
                channel.run_in_transaction(statement, None, 0.5)
            )
            await asyncio.sleep(0.05)
            session.received(
                messages.encode(
                    messages.RollBack(
                        next(channel._link._numbers), number, 400
                    )
                )
            )
            answer = await running
            self.assertIsNotNone(answer.fault)
            await asyncio.sleep(1.0)
            self.assertEqual([], open_transactions(deployment))
            self.assertEqual(0, session.pending)

        relay_case.scenario(check)

    def test_daemon_off_the_list_keeps_its_transactions(self):
        """A link must not be closed while a transaction is idle on it."""

        async def check(deployment):
            opened = await test_aborted_transaction.open_transaction(
                deployment
            )
            client, connection = opened
            primary = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, primary)
            deployment.daemons[number].relay._links.keep(set())
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertTrue(gateway_deployment.ok(reply))

        relay_case.scenario(check)

    def test_statement_carries_a_sample(self):
        """Transactions must renew the sender's samples, too.

        They would else cost queries of the primary.
        """

        async def check(deployment):
            session, channel = await link_of(deployment)
            await channel.begin(False, 0.4)
            sent = []
            send = session._send

            def record(message):
                sent.append(message)
                send(message)

            self.patch(session, "_send", record)
            statement = command.Command("s-own", Kind.READ, "READ 1")
            await channel.run_in_transaction(statement, None, 0.5)
            statement = command.Command("s-own", Kind.COMMIT, "COMMIT")
            await channel.run_in_transaction(statement, None, 0.5)
            self.assertEqual(2, len(sent))
            self.assertNotIn(None, [each.sample for each in sent])

        relay_case.scenario(check)
