"""Tests the accounting of members' responses over sockets."""

import asyncio
import contextlib

import testtools

from burdockcart.connection.client_limits import limits
from burdockcart.connection.client_limits import memory_budget
from burdockcart.connection import member_channel
from burdockcart.platform import client_limiter
from burdockcart.platform import member_wire
from burdockcart.request import command

MIB = 1024 * 1024
ROW = b"DATAROW " + b"x" * 16000 + b"\r\n"
END = b"COMPLETE r-1\r\nREADY I\r\n"


class TestResponses(testtools.TestCase):
    """A large response, with and without room in the budget."""

    def run_read(self, held):
        """Return the answer, the limiter and the applied limits."""
        return asyncio.run(self._run_read(held))

    async def _run_read(self, held):
        applied, ended = [], asyncio.Event()

        async def member(reader, writer):
            """Answer each statement with a megabyte of rows."""
            with contextlib.suppress(OSError):
                await reader.readline()
                writer.write(b"READY I\r\n")
                while await reader.readline():
                    writer.write(ROW * 64 + END)
            writer.transport.abort()
            ended.set()

        limiter = client_limiter.ClientLimiter(
            limits.derive(96, 4300), lambda *args: applied.append(args)
        )
        limiter.budget.hold(0, memory_budget.Use.MESSAGE, held)
        server = await asyncio.start_server(member, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        channel = await member_wire.WireConnector(limiter).connect(
            member_channel.MemberAddress("m", "g", f"{host}:{port}"), 10.0
        )
        statement = command.Command("q1", command.CommandKind.READ, "READ a")
        answer = await channel.run(statement, None, 10.0)
        channel.close()
        server.close()
        await ended.wait()
        return answer, limiter, applied

    def test_response_that_fits(self):
        """A response that fits must arrive, and count no longer after."""
        answer, limiter, applied = self.run_read(0)
        self.assertEqual((None, 64), (answer.fault, len(answer.rows)))
        self.assertEqual((0, []), (limiter.budget.used, applied))

    def test_response_without_room(self):
        """A response must not be received when the budget is used up."""
        held = limits.MIN_CLIENT_BYTES - MIB
        answer, limiter, applied = self.run_read(held)
        self.assertIs(member_channel.MemberFault.OTHER, answer.fault)
        self.assertEqual(
            (held, [("member", "memory")]), (limiter.budget.used, applied)
        )
