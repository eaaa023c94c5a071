"""Guards the records of refused keys, and of the names at members."""

import asyncio

import testtools

from burdockcart.emulator import wire_member
from burdockcart.platform.standin import client_session
from burdockcart.platform.standin import client_statements
from burdockcart.platform.standin import member_server
from burdockcart.request import command
from burdockcart.soak import account_history
from burdockcart.soak import history as histories

Outcome = histories.Outcome
HOST = "127.0.0.1"
ROUTE = client_session.Route("live1", histories.Freshness.ALL, 0.0, 0.8)
OPEN = client_session.Route("open4", histories.Freshness.ALL, 0.0, 0.8, True)
READ = client_statements.Statement(
    command.CommandKind.READ, "READ i1", item="i1"
)


class TestSession(testtools.TestCase):
    """A client's session with a daemon that refuses its key."""

    def talk(self, answers, route=ROUTE, closes=True):
        """Return requests and accounts of a session of three statements."""
        requests, accounts = [], account_history.AccountRecord()
        seen, ended = [], asyncio.Event()

        async def serve(reader, writer):
            for answer in answers:
                seen.append(await reader.readline())
                writer.write(answer)
            if not closes:
                await ended.wait()
            writer.close()
            await writer.wait_closed()

        async def run():
            server = await asyncio.start_server(serve, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            session = client_session.Session(
                7, "d0", route, requests.append, "key-one", accounts
            )
            try:
                await session.open(HOST, port)
                await session.send_at_once({n: READ for n in range(3)})
            except client_session.Ended:
                pass
            ended.set()
            server.close()
            await asyncio.sleep(0.05)

        asyncio.run(run())
        self.assertEqual(
            f"STARTUP {route.database} key-one", seen[0][:-2].decode()
        )
        return requests, accounts

    def test_unknown_key(self):
        """Guards against a refused key that is not recorded."""
        _, accounts = self.talk([b"ERROR NOAUTH unknown key\r\n"])
        found = accounts.startups[0]
        self.assertEqual(
            ("d0", "key-one", "NOAUTH", True),
            (found.daemon, found.key, found.answer, found.closed),
        )

    def test_connection_stays(self):
        """Guards against a refused connection that counts as closed."""
        client_session.CLOSED_S, usual_s = 0.1, client_session.CLOSED_S
        self.addCleanup(setattr, client_session, "CLOSED_S", usual_s)
        _, accounts = self.talk([b"ERROR NOAUTH unknown\r\n"], closes=False)
        self.assertFalse(accounts.startups[0].closed)

    def test_key_removed_in_a_session(self):
        """Guards against statements behind NOAUTH that count as cut."""
        ready = b"READY I 1.1\r\n"
        requests, accounts = self.talk(
            [ready, b"COMPLETE r.1\r\n" + ready, b"ERROR NOAUTH x\r\n" + ready]
        )
        self.assertEqual(
            [Outcome.SUCCESS, Outcome.PROMISE, Outcome.LEFT],
            [each.outcome for each in requests],
        )
        self.assertEqual(
            ["READY", "NOAUTH"], [each.answer for each in accounts.startups]
        )

    def test_anonymous_route(self):
        """Guards against a key that is checked where none is needed."""
        _, accounts = self.talk([b"READY I 1.1\r\n"], OPEN)
        self.assertEqual([], accounts.startups)
        self.assertEqual({7}, accounts.anonymous_sessions)


class TestMember(testtools.TestCase):
    """Names of connections at a member."""

    def test_name_of_the_connection(self):
        """Guards against a name that is not that of the connection."""
        history = histories.History(accounts=account_history.AccountRecord())
        member = wire_member.EmulatedMember("m1", "recife", slots=4, lag_s=0)
        wire_member.EmulatedGroup([member])

        async def run():
            server = member_server.MemberServer(
                member, "ledger", HOST, 0, history, lambda host, port: {}
            )
            await server.start()
            port = server._server.sockets[0].getsockname()[1]
            for who in ("tenant-1", "burdockcart"):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(f"STARTUP ledger {who} m1\r\n".encode())
                await reader.readline()
                writer.write(f"QUERY q-{who} READ i1\r\n".encode())
                await reader.readline()
                writer.close()
                await writer.wait_closed()
            server.crash()
            await asyncio.sleep(0.05)

        asyncio.run(run())
        self.assertEqual(
            {"q-tenant-1": "tenant-1", "q-burdockcart": "burdockcart"},
            {each.statement: each.who for each in history.statements},
        )
        texts = [each.text for each in history.accounts.member_lines]
        self.assertIn("STARTUP ledger tenant-1 m1\r\n", texts)
        self.assertIn("QUERY q-tenant-1 READ i1\r\n", texts)
