"""Tests that direct and relayed channels keep the same contract."""

import testtools

from burdockcart.connection import member_channel
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command

Fault = member_channel.MemberFault
Kind = command.CommandKind

READ = command.Command("s-read", Kind.READ, "READ 1")
COMMIT = command.Command("s-commit", Kind.COMMIT, "COMMIT")


class TestContract(testtools.TestCase):
    """What :class:`member_channel.Channel` promises."""

    def with_channels(self, check):
        """Run a check with a direct and with a relayed channel."""

        async def with_each(deployment):
            primary = deployment.group.primary
            for relayed in (False, True):
                number = next(
                    number
                    for number, daemon in enumerate(deployment.daemons)
                    if relay_case.holds(daemon, primary) is not relayed
                )
                client = await deployment.client("live", number)
                await client.write()
                pool = (
                    deployment.daemons[number]
                    .group_by_id[relay_case.GROUP]
                    .pool_by_member[primary.id]
                )
                channel = pool.take({}, None).channel
                self.assertIs(not relayed, channel.direct)
                await check(deployment, channel)

        relay_case.scenario(with_each)

    async def refused(self, deployment, channel, calls):
        """Check that calls are answered by NOT_SENT and reach no member."""
        ran = len(deployment.group.runs)
        for call in calls:
            answer = await call
            fault = getattr(answer, "fault", answer)
            self.assertIs(Fault.NOT_SENT, fault)
        self.assertEqual(ran, len(deployment.group.runs))

    def test_closed(self):
        """A closed channel must send nothing."""

        async def check(deployment, channel):
            channel.close()
            self.assertTrue(channel.closed)
            self.assertFalse(channel.free)
            await self.refused(
                deployment,
                channel,
                [
                    channel.run(READ, None, 0.5),
                    channel.begin(False, 0.5),
                    channel.run_in_transaction(READ, None, 0.5),
                    channel.run_in_transaction(COMMIT, None, 0.5),
                    channel.roll_back(0.5),
                    channel.observe(0.5),
                ],
            )

        self.with_channels(check)

    def test_outside_of_a_transaction(self):
        """A statement of a transaction needs an open one."""

        async def check(deployment, channel):
            await self.refused(
                deployment,
                channel,
                [
                    channel.run_in_transaction(READ, None, 0.5),
                    channel.run_in_transaction(COMMIT, None, 0.5),
                    channel.roll_back(0.5),
                ],
            )
            self.assertTrue(channel.free)

        self.with_channels(check)

    def test_inside_of_a_transaction(self):
        """Nothing else may run in an open transaction."""

        async def check(deployment, channel):
            self.assertIsNone((await channel.begin(False, 0.5)).fault)
            self.assertTrue(channel.in_transaction)
            self.assertFalse(channel.free)
            await self.refused(
                deployment,
                channel,
                [
                    channel.run(READ, None, 0.5),
                    channel.begin(False, 0.5),
                    channel.observe(0.5),
                ],
            )
            answer = await channel.run_in_transaction(READ, None, 0.5)
            self.assertIsNone(answer.fault)
            answer = await channel.run_in_transaction(COMMIT, None, 0.5)
            self.assertIsNone(answer.fault)
            self.assertTrue(channel.free)

        self.with_channels(check)

    def test_lost_transaction(self):
        """Statements must not go on when the member has ended it."""

        async def check(deployment, channel):
            await channel.begin(False, 0.5)
            for each in list(deployment.group.primary.connections):
                if each.transaction is not None:
                    each.transaction = None
                    each.state = member_channel.TransactionState.IDLE
            answer = await channel.run_in_transaction(READ, None, 0.5)
            self.assertIsNotNone(answer.fault)
            self.assertTrue(channel.closed)

        self.with_channels(check)
