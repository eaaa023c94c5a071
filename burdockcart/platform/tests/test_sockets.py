"""Guards connections of clients and members over real sockets."""

import asyncio
import errno
import socket
import time

from returns import result
import testtools
from tornado import iostream
from tornado import tcpserver

from burdockcart.connection import client_session
from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart.platform import client_wire
from burdockcart.platform import member_wire
from burdockcart.platform import wire
from burdockcart.process.gateway.sessions import client_listener
from burdockcart.process.gateway.sessions import stop_admission
from burdockcart.request import command
from burdockcart.request import log_position

Fault = member_channel.MemberFault
Address = member_channel.MemberAddress
STEPS_TIMEOUT_S = 5.0


class Session:
    """Answers each statement with its own text."""

    in_transaction = False
    ends = False

    def __init__(self):
        self.closed = False
        self.row = ""

    def closing_failure(self):
        """Return why the session closes."""
        return stop_admission.closing(False)

    def refuse(self, statement, failure):
        """Refuse a statement."""
        return client_session.Reply(
            result.Failure(failure), member_channel.TransactionState.IDLE
        )

    async def handle(self, statement):
        """Return the text of the statement as a row."""
        return client_session.Reply(
            result.Success(
                member_channel.Answer(
                    rows=(self.row or statement.text,), receipt="r"
                )
            ),
            member_channel.TransactionState.IDLE,
        )

    def refuse_unread(self, failure):
        """Refuse a statement that is not allowed."""
        return client_session.Reply(
            result.Failure(failure),
            member_channel.TransactionState.IDLE,
        )

    def close(self):
        """Record that the session is closed."""
        self.closed = True


class Gateway:
    """Opens sessions of any database but one."""

    def __init__(self):
        self.sessions = []

    async def open_session(self, startup):
        """Open a session."""
        if startup.database == "nowhere":
            failure = errors.Failure(errors.ErrorKind.NO_ROUTE, "no route")
            return result.Failure(failure)
        self.sessions.append(Session())
        return result.Success(self.sessions[-1])


def talk(data, read_bytes=65536):
    """Send bytes to a listener; return all that it sends until it closes."""

    async def exchange():
        gateway = Gateway()
        listener = client_wire.ClientListener(gateway)
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen(5)
        listening.setblocking(False)
        listener.add_socket(listening)
        reader, writer = await asyncio.open_connection(
            *listening.getsockname(), limit=2**22
        )
        writer.write(data)
        received = b""
        try:
            async with asyncio.timeout(STEPS_TIMEOUT_S):
                while chunk := await reader.read(read_bytes):
                    received += chunk
        except ConnectionResetError:
            pass
        writer.close()
        listener.stop()
        await asyncio.sleep(0.05)
        return received, gateway

    return asyncio.run(exchange())


class TestClients(testtools.TestCase):
    """Handling of what a client sends to a daemon."""

    def test_session(self):
        """Guards the order of answers to pipelined statements."""
        received, gateway = talk(
            b"STARTUP db who\r\nQUERY 1 READ a\r\nQUERY 2 READ b\r\n"
            b"TERMINATE\r\n"
        )
        answer = b"DATAROW READ %s\r\nCOMPLETE r\r\nREADY I -\r\n"
        self.assertEqual(
            b"READY I -\r\n" + answer % b"a" + answer % b"b", received
        )
        self.assertTrue(gateway.sessions[0].closed)

    def test_unknown_database(self):
        """Guards against a session for a database without a route."""
        received, _ = talk(b"STARTUP nowhere who\r\n")
        self.assertEqual(b"ERROR NODB no route\r\n", received)

    def test_statement_before_startup(self):
        """Guards against a statement before a session is open."""
        received, gateway = talk(b"QUERY 1 READ a\r\n")
        self.assertTrue(received.startswith(b"ERROR MALFORMED"))
        self.assertEqual([], gateway.sessions)

    def test_statement_that_is_not_allowed(self):
        """Guards against an error without READY, and a session that ends."""
        received, gateway = talk(
            b"STARTUP db who\r\nQUERY 1 DROP a\r\nQUERY 2 SET a\r\n"
            b"QUERY 3 READ b\r\nTERMINATE\r\n"
        )
        lines = received.split(b"\r\n")
        self.assertEqual(
            [b"READY", b"ERROR", b"READY", b"ERROR", b"READY", b"DATAROW"],
            [line.partition(b" ")[0] for line in lines[:6]],
        )
        self.assertEqual(2, received.count(b"ERROR MALFORMED"))
        self.assertEqual(b"DATAROW READ b", lines[5])

    def test_not_text(self):
        """Guards members against bytes that are not UTF-8."""
        received, gateway = talk(b"STARTUP db who\r\nQUERY 1 READ \xff\r\n")
        self.assertIn(b"ERROR MALFORMED", received)
        self.assertTrue(gateway.sessions[0].closed)

    def test_line_without_end(self):
        """Guards against buffering a message of more than 1 MiB."""
        received, gateway = talk(
            b"STARTUP db who\r\nQUERY 1 WRITE a " + b"x" * (2**20 + 100)
        )
        self.assertIn(b"READY I -\r\n", received)
        self.assertTrue(gateway.sessions[0].closed)


def listen(gateway):
    """Return a listener and the address of its socket."""
    listener = client_wire.ClientListener(gateway)
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen(5)
    listening.setblocking(False)
    listener.add_socket(listening)
    return listener, listening.getsockname()


def received_by(client):
    """Return all that a blocking socket receives until the other end closes.

    The result ends with ``RESET`` if the connection was reset.
    """
    client.settimeout(STEPS_TIMEOUT_S)
    found = b""
    try:
        while chunk := client.recv(4096):
            found += chunk
    except ConnectionResetError:
        found += b"RESET"
    return found


class TestClosing(testtools.TestCase):
    """Closing of sessions by the daemon, over real sockets."""

    def test_statement_on_its_way(self):
        """Guards a statement that is on its way when its session closes."""

        async def check():
            listener, address = listen(Gateway())
            client = socket.create_connection(address)
            client.sendall(b"STARTUP db who\r\n")
            await asyncio.sleep(0.05)
            self.assertEqual(b"READY I -\r\n", client.recv(100))
            (connection,) = listener.connections
            connection.close_when_idle()
            client.sendall(b"QUERY 1 WRITE a x\r\n")
            await asyncio.sleep(0.1)
            answer = client.recv(4096)
            self.assertRegex(
                answer, rb"^ERROR BUSY [^\r]*\r\nREADY I -\r\nERROR BUSY "
            )
            client.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.05)
            self.assertEqual(b"", received_by(client))
            self.assertEqual([], list(listener.connections))
            client.close()
            listener.stop()

        asyncio.run(check())

    def test_answer_that_is_read_slowly(self):
        """Guards an answer that its client has not read when it closes."""

        async def check():
            gateway = Gateway()
            listener, address = listen(gateway)
            client = socket.create_connection(address)
            client.sendall(b"STARTUP db who\r\n")
            await asyncio.sleep(0.05)
            self.assertEqual(b"READY I -\r\n", client.recv(100))
            row = "x" * 2**24
            gateway.sessions[0].row = row
            client.sendall(b"QUERY 1 READ a\r\n")
            await asyncio.sleep(0.05)
            (connection,) = listener.connections
            self.assertIs(client_listener.Phase.ANSWERING, connection.phase)
            connection.close_when_idle()
            connection.end()
            received = b""
            while not received.endswith(b"retry after 100 ms\r\n"):
                chunk = client.recv(2**20)
                self.assertNotEqual(b"", chunk)
                received += chunk
                await asyncio.sleep(0.001)
            self.assertTrue(
                received.startswith(
                    f"DATAROW {row}\r\nCOMPLETE r\r\nREADY I -\r\n"
                    "ERROR BUSY ".encode()
                )
            )
            client.close()
            await asyncio.sleep(0.05)
            self.assertEqual([], list(listener.connections))
            listener.stop()

        asyncio.run(check())

    def test_connections_that_wait_to_be_accepted(self):
        """Guards against a reset of connections in the listen queue."""

        async def check():
            listener, address = listen(Gateway())
            clients = [socket.create_connection(address) for _ in range(4)]
            for client in clients:
                client.sendall(b"STARTUP nowhere who\r\n")
            listener.stop()
            await asyncio.sleep(0.1)
            for client in clients:
                self.assertEqual(
                    b"ERROR NODB no route\r\n", received_by(client)
                )
                client.close()

        asyncio.run(check())

    def test_end_after_a_refused_start(self):
        """Guards against a second error behind the end of the data."""

        async def check():
            listener, address = listen(Gateway())
            client = socket.create_connection(address)
            client.sendall(b"STARTUP nowhere who\r\n")
            await asyncio.sleep(0.05)
            (connection,) = listener.connections
            self.assertIs(client_listener.Phase.CLOSING, connection.phase)
            connection.end()
            await asyncio.sleep(0.05)
            self.assertEqual([connection], list(listener.connections))
            self.assertEqual(b"ERROR NODB no route\r\n", received_by(client))
            client.close()
            listener.stop()

        asyncio.run(check())

    def test_refused_start_with_a_statement_behind_it(self):
        """Guards against a reset that destroys the reason of a refusal."""

        async def check():
            listener, address = listen(Gateway())
            client = socket.create_connection(address)
            client.sendall(b"STARTUP nowhere who\r\n")
            client.sendall(b"QUERY 1 WRITE a " + b"x" * 100000 + b"\r\n")
            await asyncio.sleep(0.1)
            self.assertEqual(b"ERROR NODB no route\r\n", received_by(client))
            client.close()
            listener.stop()

        asyncio.run(check())


class Member(tcpserver.TCPServer):
    """A member that answers from a script."""

    def __init__(self, script):
        super().__init__()
        self.script = script
        self.received = []

    async def handle_stream(self, stream, address):
        """Answer each line with the next part of the script."""
        try:
            for part in self.script:
                self.received.append(await stream.read_until(b"\r\n"))
                if part is None:
                    await asyncio.sleep(STEPS_TIMEOUT_S)
                if part == b"":
                    stream.close()
                    return
                for piece in part if isinstance(part, list) else [part]:
                    await stream.write(piece)
                    await asyncio.sleep(0)
            await stream.read_until_close()
        except iostream.StreamClosedError:
            pass


def with_member(script, check):
    """Run a check against a scripted member."""

    async def run_check():
        member = Member(script)
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen(5)
        listening.setblocking(False)
        member.add_socket(listening)
        host, port = listening.getsockname()
        address = Address("i-1", "g", f"{host}:{port}")
        try:
            await check(member_wire.WireConnector(), address, member)
        finally:
            member.stop()

    asyncio.run(run_check())


READ = command.Command("5c0e", command.CommandKind.READ, "READ 1a4")
HELLO = b"READY I 3.1\r\n"


class TestMembers(testtools.TestCase):
    """Handling of what a member sends to a daemon."""

    def test_refused_startup(self):
        """Guards against using a member with another id."""

        async def check(connector, address, member):
            opened = await connector.connect(address, 1.0)
            self.assertIs(Fault.OTHER_MEMBER, opened)

        with_member([b"ERROR WRONGNODE i-2\r\n"], check)

    def test_no_listener(self):
        """Guards against taking a refused connection for a timeout."""

        async def check(connector, address, member):
            member.stop()
            opened = await connector.connect(address, 1.0)
            self.assertIs(Fault.REFUSED, opened)

        with_member([], check)

    def test_answer_in_pieces(self):
        """Guards against an answer split into single bytes."""
        whole = b"DATAROW a\r\nCOMPLETE 7\r\nREADY I 3.2\r\n"

        async def check(connector, address, member):
            channel = await connector.connect(address, 1.0)
            answer = await channel.run(READ, None, 1.0)
            self.assertEqual(("a",), answer.rows)

        with_member(
            [HELLO, [whole[at : at + 1] for at in range(len(whole))]], check
        )

    def test_answer_cut_off(self):
        """Guards against a truncated answer taken as complete."""

        async def check(connector, address, member):
            channel = await connector.connect(address, 1.0)
            answer = await channel.run(READ, None, 0.3)
            self.assertIs(Fault.SILENT, answer.fault)
            self.assertTrue(channel.closed)

        with_member([HELLO, b"DATAROW a\r\nCOMPLETE 7\r\nREA"], check)

    def test_connection_lost(self):
        """Guards against waiting for an answer on a closed connection."""

        async def check(connector, address, member):
            channel = await connector.connect(address, 1.0)
            answer = await channel.run(READ, None, 1.0)
            self.assertIs(Fault.BROKEN, answer.fault)

        with_member([HELLO, b""], check)

    def test_connection_timed_out(self):
        """Guards against silence of the link taken for a reset.

        The kernel ends a connection whose data was not acknowledged in time.
        """

        async def check(connector, address, member):
            channel = await connector.connect(address, 1.0)
            timed_out = TimeoutError(errno.ETIMEDOUT, "timed out")
            asyncio.get_running_loop().call_later(
                0.05, channel._stream.close, (TimeoutError, timed_out, None)
            )
            answer = await channel.run(READ, None, 1.0)
            self.assertIs(Fault.SILENT, answer.fault)
            self.assertTrue(channel.closed)

        with_member([HELLO, None], check)

    def test_answer_during_a_stall(self):
        """Guards against a timeout that expired while the process stood."""

        async def check(connector, address, member):
            loop = asyncio.get_running_loop()
            channel = await connector.connect(address, 1.0)
            loop.call_soon(time.sleep, 0.4)
            answer = await channel.run(READ, None, 0.1)
            self.assertIsNone(answer.fault)
            loop.call_soon(time.sleep, 0.4)
            self.assertIsNone(await connector.reach(address, 0.1))

        with_member([HELLO, b"COMPLETE 7\r\nREADY I 3.1\r\n"], check)

    def test_proof_that_fails(self):
        """Guards against a read on a former primary that needs the primary."""

        async def check(connector, address, member):
            channel = await connector.connect(address, 1.0)
            answer = await channel.run(READ, None, 1.0, prove=True)
            self.assertIs(Fault.NOT_PRIMARY, answer.fault)
            self.assertFalse(channel.closed)
            self.assertEqual(
                [b"QUERY - BEGIN\r\n", b"QUERY - ROLLBACK\r\n"],
                member.received[1:3],
            )

        with_member(
            [
                HELLO,
                b"ERROR READONLY i-1\r\nREADY I 3.1\r\n",
                b"COMPLETE -\r\nREADY I 3.1\r\n",
                b"DATAROW old\r\nCOMPLETE 7\r\nREADY I 3.1\r\n",
            ],
            check,
        )

    def test_statement_that_left_its_transaction(self):
        """Guards against a success that the member gave outside."""

        async def check(connector, address, member):
            channel = await connector.connect(address, 1.0)
            begun = await channel.begin(False, 1.0)
            self.assertIsNone(begun.fault)
            answer = await channel.run_in_transaction(READ, None, 1.0)
            self.assertIs(Fault.OUTSIDE, answer.fault)
            self.assertTrue(channel.closed)

        with_member(
            [
                HELLO,
                b"COMPLETE -\r\nREADY T 3.1\r\n",
                b"DATAROW a\r\nCOMPLETE 7\r\nREADY I 3.1\r\n",
            ],
            check,
        )

    def test_statement_without_its_transaction(self):
        """Guards against sending a statement of a transaction outside."""

        async def check(connector, address, member):
            channel = await connector.connect(address, 1.0)
            answer = await channel.run_in_transaction(READ, None, 1.0)
            self.assertIs(Fault.NOT_SENT, answer.fault)
            channel.close()
            answer = await channel.run(READ, None, 1.0)
            self.assertIs(Fault.NOT_SENT, answer.fault)
            self.assertEqual(1, len(member.received))

        with_member([HELLO, None], check)

    def test_cancelled_call_closes(self):
        """Guards against a late answer taken for that of the next call."""

        async def check(connector, address, member):
            channel = await connector.connect(address, 1.0)
            task = asyncio.create_task(channel.run(READ, None, 1.0))
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self.assertTrue(channel.closed)

        with_member([HELLO, None], check)

    def test_position_that_a_replica_checks(self):
        """Guards the encoding of the position that a replica must reach."""
        position = log_position.LogPosition(3, 1207)
        line = wire.query_line("5c0e", "READ 1a4", position)
        self.assertEqual(b"QUERY 5c0e AFTER 3.1207 READ 1a4\r\n", line)
