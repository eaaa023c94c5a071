"""Tests which calls a member connection takes in which state."""

import asyncio
import itertools

import loguru
import testtools

from burdockcart.connection import channel_state
from burdockcart.connection import member_channel
from burdockcart.tests import virtual_time

Answer = member_channel.Answer
Call = channel_state.Call
Fault = member_channel.MemberFault
Phase = channel_state.Phase
State = member_channel.TransactionState


class Connection:
    """A connection whose answers a test gives."""

    def __init__(self):
        self.sent = []
        self.lost = False
        self.guard = channel_state.CallGuard(self.close, lambda: self.lost)

    def close(self):
        """Close the connection."""
        self.guard.close()

    async def call(self, call, state=State.IDLE, fault=None, meanwhile=None):
        """Make a call that a member answers; return the answer."""

        async def send():
            self.sent.append(call)
            if meanwhile is not None:
                await meanwhile()
            return Answer(state=state, fault=fault)

        return await self.guard.call(call, send)


class TestState(testtools.TestCase):
    """Calls that do not fit are not sent."""

    def run_check(self, check):
        async def whole():
            await check(Connection())

        virtual_time.run(whole())

    def test_unexpected_state_is_logged(self):
        """Guards against a statement outside of its transaction, unseen."""

        async def check(connection):
            await connection.call(Call.BEGIN, State.OPEN)
            await connection.call(Call.STATEMENT, State.IDLE)

        lines = []
        sink = loguru.logger.add(lines.append, level="WARNING")
        self.addCleanup(loguru.logger.remove, sink)
        self.run_check(check)
        (line,) = lines
        self.assertIn("event=transaction_state_unexpected", line)
        self.assertIn("call='statement of a transaction'", line)
        self.assertIn("before='in a transaction' state=idle", line)

    def test_closed_connection_sends_nothing(self):
        """Neither one that was closed nor one that has ended may send."""

        async def check(_):
            for call, lost in itertools.product(Call, (False, True)):
                connection = Connection()
                connection.lost = lost
                if not lost:
                    connection.close()
                answer = await connection.call(call)
                self.assertIs(Fault.NOT_SENT, answer.fault)
                self.assertEqual([], connection.sent)

        self.run_check(check)

    def test_statement_outside(self):
        """A statement of a transaction must not run without one."""

        async def check(connection):
            for call in (Call.STATEMENT, Call.COMMIT, Call.ROLL_BACK):
                answer = await connection.call(call)
                self.assertIs(Fault.NOT_SENT, answer.fault)
            self.assertEqual([], connection.sent)
            self.assertTrue(connection.guard.free)

        self.run_check(check)

    def test_single_statement_inside(self):
        """A single statement must not run in a transaction."""

        async def check(connection):
            await connection.call(Call.BEGIN, State.OPEN)
            for call in (Call.SINGLE, Call.BEGIN, Call.CONTROL):
                answer = await connection.call(call)
                self.assertIs(Fault.NOT_SENT, answer.fault)
            self.assertEqual([Call.BEGIN], connection.sent)
            self.assertFalse(connection.guard.free)

        self.run_check(check)

    def test_one_call_at_a_time(self):
        """A call beside another one must not be sent."""

        async def check(connection):
            found = []

            async def beside():
                found.append(await connection.call(Call.ROLL_BACK))

            await connection.call(Call.BEGIN, State.OPEN)
            await connection.call(Call.STATEMENT, State.OPEN, meanwhile=beside)
            self.assertIs(Fault.NOT_SENT, found[0].fault)
            self.assertNotIn(Call.ROLL_BACK, connection.sent)

        self.run_check(check)

    def test_unexpected_state(self):
        """A success that leaves an unexpected state is none."""

        async def check(_):
            for call, state, fault in (
                (Call.STATEMENT, State.IDLE, Fault.OUTSIDE),
                (Call.STATEMENT, State.FAILED, Fault.OUTSIDE),
                (Call.COMMIT, State.OPEN, Fault.BROKEN),
                (Call.ROLL_BACK, State.OPEN, Fault.BROKEN),
                (Call.PREPARE, State.IDLE, Fault.BROKEN),
            ):
                connection = Connection()
                await connection.call(Call.BEGIN, State.OPEN)
                answer = await connection.call(call, state)
                self.assertIs(fault, answer.fault, call)
                self.assertTrue(connection.guard.closed)
            for call, state, fault in (
                (Call.SINGLE, State.OPEN, Fault.OUTSIDE),
                (Call.BEGIN, State.IDLE, Fault.BROKEN),
                (Call.PREPARE, State.OPEN, Fault.BROKEN),
            ):
                connection = Connection()
                answer = await connection.call(call, state)
                self.assertIs(fault, answer.fault, call)
                self.assertTrue(connection.guard.closed)

        self.run_check(check)

    def test_answer_after_close(self):
        """Only what became of a COMMIT or a single statement counts."""

        async def check(_):
            for call, state, fault in (
                (Call.STATEMENT, State.OPEN, Fault.BROKEN),
                (Call.COMMIT, State.IDLE, None),
            ):
                connection = Connection()

                async def close(connection=connection):
                    connection.close()

                await connection.call(Call.BEGIN, State.OPEN)
                answer = await connection.call(call, state, meanwhile=close)
                self.assertIs(fault, answer.fault, call)
                self.assertTrue(connection.guard.closed)

        self.run_check(check)

    def test_refused_commit_leaves_no_free_connection(self):
        """Whether the other side has ended the transaction is not known."""

        async def check(connection):
            await connection.call(Call.BEGIN, State.OPEN)
            answer = await connection.call(
                Call.COMMIT, State.IDLE, Fault.NOT_PRIMARY
            )
            self.assertIs(Fault.NOT_PRIMARY, answer.fault)
            self.assertTrue(connection.guard.closed)

        self.run_check(check)

    def test_failed_statement_keeps_the_transaction(self):
        """A transaction that a statement failed in is still to be ended."""

        async def check(connection):
            await connection.call(Call.BEGIN, State.OPEN)
            await connection.call(Call.STATEMENT, State.FAILED, Fault.FAILED)
            self.assertTrue(connection.guard.in_transaction)
            self.assertFalse(connection.guard.free)
            # The member would answer neither by what became of it.
            for call in (Call.STATEMENT, Call.COMMIT):
                answer = await connection.call(call, State.FAILED)
                self.assertIs(Fault.NOT_SENT, answer.fault)
            await connection.call(Call.ROLL_BACK)
            self.assertTrue(connection.guard.free)

        self.run_check(check)

    def test_cancelled_call_closes(self):
        """The answer to a cancelled call must not reach the next one."""

        async def check(connection):
            task = asyncio.create_task(
                connection.call(
                    Call.SINGLE, meanwhile=lambda: asyncio.sleep(1.0)
                )
            )
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self.assertTrue(connection.guard.closed)

        self.run_check(check)
