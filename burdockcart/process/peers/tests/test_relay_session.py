"""Tests invalid, late and given up requests on one link."""

import asyncio

import msgspec
import testtools

from burdockcart import clock
from burdockcart.process.peers import frames
from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_service
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command

Kind = command.CommandKind

STATEMENT = messages.Statement("s1", Kind.READ, "READ 1", "", None, {})


class Outbox:
    """Transport of a relay session that records what it sends."""

    is_closed = False

    def __init__(self):
        self.sent = []

    def send(self, content):
        """Record a message."""
        self.sent.append(messages.reply_decoder.decode(content))

    def close(self):
        """Record the end."""
        self.is_closed = True


class SmallMemory:
    """Memory that one large statement fills."""

    def __init__(self):
        self.applied = []
        self.size_by_user = {}

    def hold(self, client, use, size):
        """Account the first one only."""
        if not size:
            self.size_by_user.pop(client)
        elif self.size_by_user:
            return False
        else:
            self.size_by_user[client] = size
        return True

    def limited(self, *args):
        """Record what was applied."""
        self.applied.append(args)


class TestSession(testtools.TestCase):
    """Invalid and late requests on one link."""

    def session(self, memory=None):
        """Return a session without groups, and its outbox."""

        class NoPools:
            def held_pool(self, group, member):
                return None

            def newest_sample(self, group):
                return None

            def open_call(self, group):
                return None

            def evidence(self, group, pacer):
                return None

        service = relay_service.RelayService(
            NoPools(), None, clock.LoopClock(), memory
        )
        outbox = Outbox()
        return service.accept("d1", outbox), outbox

    def run_message(self, number, statement=STATEMENT):
        """Return a request to run a read."""
        return messages.encode(
            messages.Run(
                number,
                "g",
                "m",
                statement,
                None,
                False,
                100,
                messages.Urgency(1, 100, 100),
            )
        )

    def test_not_a_message(self):
        """A frame that is no request must end the link."""
        session, _ = self.session()
        for content in (b"", b"\x01", messages.encode([99, 1]), b"\xc1"):
            self.assertRaises(frames.FrameError, session.received, content)

    def test_repeated_request(self):
        """A request that arrives twice must run once."""

        async def check():
            session, outbox = self.session()
            session.received(self.run_message(7))
            await asyncio.sleep(0.01)
            self.assertEqual(
                ["not sent by the relaying daemon"],
                [each.fault.value for each in outbox.sent],
            )
            for number in (7, 3):
                self.assertRaises(
                    frames.FrameError,
                    session.received,
                    self.run_message(number),
                )

        asyncio.run(check())

    def test_values_without_memory(self):
        """Large values must wait at a holder only within its budget."""
        large = msgspec.structs.replace(
            STATEMENT, value_by_name={"zone": "x" * 100_000}
        )

        async def check():
            memory = SmallMemory()
            session, outbox = self.session(memory)
            session.received(self.run_message(1, large))
            session.received(self.run_message(2, large))
            self.assertEqual([("memory", "refused", "link")], memory.applied)
            self.assertEqual(
                "no memory for the statement", outbox.sent[0].text
            )
            session.received(self.run_message(3))
            await asyncio.sleep(0.01)
            self.assertEqual(3, len(outbox.sent))
            self.assertEqual({}, memory.size_by_user)
            session.received(self.run_message(4, large))
            self.assertEqual(1, len(memory.applied))
            await asyncio.sleep(0.01)

        asyncio.run(check())

    def test_unknown_transaction(self):
        """A statement of an unknown transaction must not run outside."""

        async def check():
            session, outbox = self.session()
            session.received(
                messages.encode(
                    messages.RunInTransaction(1, 4, STATEMENT, 100)
                )
            )
            await asyncio.sleep(0.01)
            self.assertEqual(
                ["lost by the relaying daemon"],
                [each.fault.value for each in outbox.sent],
            )

        asyncio.run(check())


class TestGivenUp(testtools.TestCase):
    """Statements whose sender does not wait any longer."""

    async def relayed(self, deployment):
        """Return a channel to the primary, and the holder behind it."""
        primary = deployment.group.primary
        number = relay_case.relaying_daemon(deployment, primary)
        client = await deployment.client("live", number)
        await client.write()
        daemon = deployment.daemons[number]
        holder = relay_case.holder_in_use(deployment, daemon, primary)
        pool = daemon.group_by_id[relay_case.GROUP].pool_by_member[primary.id]
        return pool.take({}, None).channel, holder

    def test_begin_that_came_too_late(self):
        """A transaction that was given up while it began must not stay open.

        Its connection would have been kept until the link ended.
        """

        async def check(deployment):
            channel, _ = await self.relayed(deployment)
            for each in deployment.group.primary.connections:
                each.latency_s = 0.1
            beginning = asyncio.create_task(channel.begin(False, 0.4))
            await asyncio.sleep(0.05)
            channel.close()
            await beginning
            await asyncio.sleep(1.0)
            states = {
                each.state.value
                for each in deployment.group.primary.connections
            }
            self.assertEqual({"idle"}, states)

        relay_case.scenario(check)

    def test_queued_statement_does_not_run_late(self):
        """What its sender has given up must not load a member later."""

        async def check(deployment):
            channel, _ = await self.relayed(deployment)
            primary = deployment.group.primary
            primary.work_s = 0.3
            busy = [
                asyncio.create_task(
                    (await deployment.client("live", number)).write()
                )
                for number in range(len(deployment.daemons))
                for _ in range(3)
            ]
            await asyncio.sleep(0.05)
            channel.set_urgency(1, 0.1, 2.0)
            statement = command.Command("late", Kind.READ, "READ 1")
            answer = await channel.run(statement, None, 0.05)
            self.assertIsNotNone(answer.fault)
            await asyncio.gather(*busy)
            await asyncio.sleep(2.0)
            ran = [run.statement for run in deployment.group.runs]
            self.assertNotIn("late", ran)

        relay_case.scenario(check)
