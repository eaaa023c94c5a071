"""Tests what a planned stop finds at its end: open connections, a report."""

import asyncio

import loguru
import testtools

from burdockcart.platform.tests import memory_clients


class TestStart(testtools.TestCase):
    """Connections without a session at the end of a planned stop."""

    def test_client_that_has_not_started(self):
        """A client without a session must get an error, not a reset."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            ending = asyncio.create_task(deployment.end(daemon))
            await asyncio.sleep(1.0)
            client = memory_clients.Client(daemon.clients)
            await ending
            await asyncio.sleep(0.1)
            self.assertTrue(client.ended)
            self.assertFalse(client.reset)
            self.assertEqual("ERROR BUSY", client.unsolicited[0][:10])

        memory_clients.scenario(check, daemons=1)

    def test_late_start_is_refused(self):
        """A session that could not run anything must not open."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            ending = asyncio.create_task(deployment.end(daemon))
            await asyncio.sleep(2.0)
            keeper = await deployment.connect("live")
            await keeper.query("BEGIN")
            await asyncio.sleep(3.1)
            client = memory_clients.Client(daemon.clients)
            self.assertFalse(await client.start())
            self.assertEqual("BUSY", client.answers[0].error)
            await ending
            self.assertFalse(client.reset)

        memory_clients.scenario(check, daemons=1)


class TestReport(testtools.TestCase):
    """What a stop leaves behind is logged and counted."""

    def test_cut_statement_is_reported(self):
        """A statement that the end of the process cuts must be logged."""
        lines = []
        sink = loguru.logger.add(
            lambda line: lines.append(line.strip()),
            format="{level} {message}",
        )
        self.addCleanup(loguru.logger.remove, sink)

        async def check(deployment):
            daemon = deployment.daemons[0]
            ending = asyncio.create_task(deployment.end(daemon))
            await asyncio.sleep(1.0)
            client = await deployment.connect("layers")
            client.takes_after_s = 100.0
            query = asyncio.create_task(client.query("READ 1a4"))
            await ending
            answer = await query
            cut = [line for line in lines if "event=statement_cut" in line]
            self.assertEqual(1, len(cut))
            self.assertIn(f"ERROR event=statement_cut id={answer.id} ", cut[0])
            self.assertIn("kind='read' phase=answering age_ms=4", cut[0])
            finished = [line for line in lines if "drain_finished" in line]
            self.assertIn(
                "left=1 starting=0 idle=0 in_transaction=0 running=0 "
                "answering=1 closing=0 relayed=0",
                finished[0],
            )
            self.assertIn(
                b'burdockcart_statements_cut_total{phase="answering"} 1.0',
                daemon.measure(),
            )

        memory_clients.scenario(check, daemons=1)
