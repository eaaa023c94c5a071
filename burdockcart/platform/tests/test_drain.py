"""Tests the planned stop of a daemon with clients of the line protocol."""

import asyncio

import testtools

from burdockcart.platform.tests import memory_clients
from burdockcart.tests import gateway_deployment


def run_ids(deployment):
    """Return the ids of the statements that members ran."""
    return {run.statement for run in deployment.group.runs}


async def press(deployment, daemon, clients, database="layers"):
    """Send reads until the daemon accepts no more; reconnect at each close.

    Returns all answers, those to the first messages of sessions included.
    """
    while daemon.clients.accepts:
        client = memory_clients.Client(daemon.clients)
        if client.refused:
            break
        clients.append(client)
        if not await client.start(database):
            await asyncio.sleep(0.05)
            continue
        while not client.closed:
            await client.query("READ 1a4")
            await asyncio.sleep(0.01)


class TestStatements(testtools.TestCase):
    """Statements around a planned stop."""

    def test_statement_taken_at_the_end_of_a_drain_is_answered(self):
        """A statement must be answered although all daemons stop at once.

        The clients have no other daemon, so they go on to send until the
        end.  What the daemon had taken by then was cut.
        """

        async def check(deployment):
            daemon = deployment.daemons[0]
            clients = []
            pressing = [
                asyncio.create_task(press(deployment, daemon, clients))
                for _ in range(12)
            ]
            await asyncio.sleep(0.5)
            took_s = await deployment.end(daemon)
            await asyncio.gather(*pressing)
            answers = [each for one in clients for each in one.answers]
            cut = [each for each in answers if each.end is None]
            self.assertEqual([], cut)
            self.assertFalse(any(client.reset for client in clients))
            self.assertLess(took_s, 6.0)
            refused = {each.id for each in answers if each.error == "BUSY"}
            self.assertEqual(set(), refused & run_ids(deployment))

        memory_clients.scenario(check, daemons=1, work_s=0.05)

    def test_statement_that_crosses_the_close_is_refused(self):
        """A client that sends while its session closes must hear of it."""

        async def check(deployment):
            client = await deployment.connect("live")
            (connection,) = deployment.daemons[0].clients.connections
            asyncio.get_running_loop().call_later(
                memory_clients.LATENCY_S / 2, connection.close_when_idle
            )
            answer = await client.query("WRITE 1a4 x")
            self.assertEqual("BUSY", answer.error)
            self.assertEqual("I", answer.end)
            self.assertNotIn(answer.id, run_ids(deployment))
            await asyncio.sleep(0.1)
            self.assertTrue(client.closed)
            self.assertFalse(client.reset)
            self.assertEqual(
                [], list(deployment.daemons[0].clients.connections)
            )

        memory_clients.scenario(check, daemons=1)

    def test_idle_client_is_told_to_close(self):
        """An idle client must get nothing but an error and the end."""

        async def check(deployment):
            client = await deployment.connect("live")
            (connection,) = deployment.daemons[0].clients.connections
            connection.close_when_idle()
            await asyncio.sleep(0.1)
            self.assertTrue(client.closed)
            self.assertEqual(1, len(client.unsolicited))
            self.assertTrue(client.unsolicited[0].startswith("ERROR BUSY "))
            self.assertIn("retry after", client.unsolicited[0])
            self.assertEqual(
                [], list(deployment.daemons[0].clients.connections)
            )

        memory_clients.scenario(check, daemons=1)

    def test_client_that_does_not_close(self):
        """A client that ignores the notice must not keep its connection."""

        async def check(deployment):
            client = await deployment.connect("live")
            client.closed = True
            (connection,) = deployment.daemons[0].clients.connections
            connection.close_when_idle()
            await asyncio.sleep(3.0)
            self.assertTrue(client.ended)
            self.assertEqual(
                [], list(deployment.daemons[0].clients.connections)
            )

        memory_clients.scenario(check, daemons=1)

    def test_slow_reader(self):
        """An answer must be whole before its connection closes."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            ending = asyncio.create_task(deployment.end(daemon))
            await asyncio.sleep(2.0)
            client = await deployment.connect("layers")
            client.takes_after_s = 1.5
            answer = await client.query("READ 1a4")
            await ending
            self.assertTrue(answer.complete)
            self.assertEqual("I", answer.end)

        memory_clients.scenario(check, daemons=1)

    def test_all_daemons_serve_reads_until_the_end(self):
        """Clients without another daemon must be served while time is left.

        Sessions were refused from three quarters of the granted time on, and
        new ones told to close before their first statement.
        """

        async def check(deployment):
            daemon = deployment.daemons[0]
            before = await deployment.connect("archive")
            for _ in range(5):
                self.assertTrue((await before.query("READ 1a4")).complete)
            ending = asyncio.create_task(deployment.end(daemon))
            keeper = await deployment.connect("live")
            await keeper.query("BEGIN")
            await asyncio.sleep(4.55)
            answers = []
            for _ in range(10):
                client = memory_clients.Client(daemon.clients)
                self.assertTrue(await client.start("archive"))
                await asyncio.sleep(0.01)
                answers.append(await client.query("READ 1a4"))
                client.close()
            self.assertEqual([], [each for each in answers if each.error])
            await ending

        memory_clients.scenario(check, daemons=1)

    def test_late_write_is_refused_and_its_session_closes(self):
        """A write that could not be answered must be sent elsewhere."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            ending = asyncio.create_task(deployment.end(daemon))
            keeper = await deployment.connect("live")
            await keeper.query("BEGIN")
            await asyncio.sleep(4.55)
            client = await deployment.connect("live")
            answer = await client.query("WRITE 1a4 x")
            self.assertEqual(("BUSY", "I"), (answer.error, answer.end))
            self.assertNotIn(answer.id, run_ids(deployment))
            await asyncio.sleep(2 * memory_clients.LATENCY_S)
            self.assertTrue(client.closed)
            await ending

        memory_clients.scenario(check, daemons=1)

    def test_grace_shorter_than_the_longest_statement(self):
        """A short time until the kill must not cut statements either."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            clients = []
            pressing = [
                asyncio.create_task(
                    press(deployment, daemon, clients, "archive")
                )
                for _ in range(8)
            ]
            await asyncio.sleep(0.5)
            took_s = await deployment.end(daemon)
            await asyncio.gather(*pressing)
            answers = [each for one in clients for each in one.answers]
            self.assertEqual([], [each for each in answers if not each.end])
            self.assertLess(took_s, 1.0)
            self.assertTrue(any(each.complete for each in answers))

        memory_clients.scenario(check, daemons=1, shutdown_s=1.0, work_s=0.2)


class TestSilentMember(testtools.TestCase):
    """Statements that a member does not answer before the end."""

    def test_answer_at_the_end(self):
        """A client must hear what is known before the process exits."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            writer = await deployment.connect("live")
            reader = await deployment.connect("archive")
            self.assertTrue((await writer.query("WRITE 1a4 x")).complete)
            ending = asyncio.create_task(deployment.end(daemon))
            await asyncio.sleep(2.0)
            for member in deployment.members:
                member.unresponsive = True
            wrote, read = await asyncio.gather(
                writer.query("WRITE 1a4 x"), reader.query("READ 1a4")
            )
            took_s = await ending
            self.assertLess(took_s, 5.6)
            self.assertEqual(("INDOUBT", "I"), (wrote.error, wrote.end))
            self.assertEqual("I", read.end)
            self.assertIsNotNone(read.error)

        long = {
            name: (*route[:2], 20.0, *route[3:])
            for name, route in gateway_deployment.ROUTES.items()
        }
        memory_clients.scenario(check, daemons=1, routes=long)

    def test_running_statement_is_ended(self):
        """A statement that is ended must say truly what is known."""

        async def check(deployment):
            writer = await deployment.connect("live")
            reader = await deployment.connect("archive")
            inside = await deployment.connect("live")
            await inside.query("BEGIN")
            for member in deployment.members:
                member.unresponsive = True
            loop = asyncio.get_running_loop()
            for each in deployment.daemons[0].clients.connections:
                for delay_s in (0.1, 0.11):
                    loop.call_later(delay_s, each.end)
            wrote, read, did = await asyncio.gather(
                writer.query("WRITE 1a4 x"),
                reader.query("READ 1a4"),
                inside.query("WRITE 1a4 x"),
            )
            self.assertEqual(("INDOUBT", "I"), (wrote.error, wrote.end))
            self.assertEqual(("ABORTED", "I"), (read.error, read.end))
            self.assertEqual(("ABORTED", "E"), (did.error, did.end))
            self.assertLess(wrote.ended_at - wrote.sent_at, 0.12)
            self.assertEqual([], deployment.group.acknowledged)

        memory_clients.scenario(check, daemons=1)


class TestTransactions(testtools.TestCase):
    """Transactions around a planned stop."""

    def test_open_transaction_has_half_of_the_time(self):
        """A transaction that is open at the signal must be able to commit."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.connect("live")
            await client.query("BEGIN")
            ending = asyncio.create_task(deployment.end(daemon))
            for _ in range(5):
                answer = await client.query("WRITE 1a4 x")
                self.assertTrue(answer.complete)
                await asyncio.sleep(0.55)
            answer = await client.query("COMMIT")
            self.assertTrue(answer.complete)
            await ending

        memory_clients.scenario(check, daemons=1)

    def test_transaction_that_does_not_end(self):
        """A transaction that is open at the end must be aborted truly."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.connect("live")
            await client.query("BEGIN")
            ending = asyncio.create_task(deployment.end(daemon))
            while not client.closed:
                await client.query("WRITE 1a4 x")
                await asyncio.sleep(0.1)
            took_s = await ending
            self.assertLess(took_s, 6.0)
            self.assertFalse(client.reset)
            self.assertEqual(
                [], [each for each in client.answers if not each.end]
            )
            errors = [each.error for each in client.answers if each.error]
            told = errors + [line.split(" ")[1] for line in client.unsolicited]
            self.assertEqual("ABORTED", told[0])
            self.assertEqual([], deployment.group.acknowledged)

        memory_clients.scenario(check, daemons=1)

    def test_no_transaction_begins_late(self):
        """A transaction that could not end must not begin."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            ending = asyncio.create_task(deployment.end(daemon))
            await asyncio.sleep(2.0)
            keeper = await deployment.connect("live")
            await keeper.query("BEGIN")
            await asyncio.sleep(1.01)
            client = await deployment.connect("live")
            answer = await client.query("BEGIN")
            self.assertEqual(("BUSY", "I"), (answer.error, answer.end))
            await ending

        memory_clients.scenario(check, daemons=1)
