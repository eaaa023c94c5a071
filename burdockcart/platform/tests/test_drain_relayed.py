"""Tests planned stops of daemons that relay statements through each other."""

import asyncio

import loguru
import testtools

from burdockcart.platform.tests import memory_clients

DAEMONS = 9
#: Time between two signals, in seconds.
BETWEEN_S = 0.3
KINDS = (
    ("archive", ("READ 1a4",)),
    ("live", ("READ 1a4",)),
    ("live", ("WRITE 1a4 x",)),
    ("live", ("BEGIN", "WRITE 1a4 x", "READ 1a4", "COMMIT")),
)


async def press(daemon, database, texts, clients):
    """Run operations until a daemon accepts no connection."""
    while daemon.clients.accepts:
        client = memory_clients.Client(daemon.clients)
        clients.append(client)
        if not await client.start(database):
            await asyncio.sleep(0.1)
            continue
        while not client.closed:
            await operate(client, texts)
            await asyncio.sleep(0.1)


async def operate(client, texts):
    """Run one operation; stop at the first error."""
    for text in texts:
        answer = await client.query(text)
        if answer.error is not None:
            if answer.end != "I" and not client.closed:
                await client.query("ROLLBACK")
            return
        await asyncio.sleep(0.02)
        if client.closed:
            return


class TestRelayed(testtools.TestCase):
    """All daemons of a deployment with holders stop within seconds."""

    def test_nothing_is_cut(self):
        """Every statement must be answered, by holders that stop as well."""
        loguru.logger.disable("burdockcart")
        self.addCleanup(loguru.logger.enable, "burdockcart")
        clients = []

        async def end(deployment, number, daemon):
            await asyncio.sleep(number * BETWEEN_S)
            return await deployment.end(daemon)

        async def check(deployment):
            # All daemons know the whole list of daemons.
            await asyncio.sleep(3.0)
            daemons = list(deployment.daemons)
            pressing = [
                asyncio.create_task(press(daemon, *kind, clients))
                for daemon in daemons
                for kind in KINDS
            ]
            await asyncio.sleep(0.5)
            took_s = await asyncio.gather(
                *(
                    end(deployment, number, daemon)
                    for number, daemon in enumerate(daemons)
                )
            )
            await asyncio.gather(*pressing)
            self.assertLess(max(took_s), 5.6)
            answers = [each for one in clients for each in one.answers]
            self.assertEqual([], [each for each in answers if not each.end])
            self.assertFalse(any(client.reset for client in clients))
            kept = {
                statement
                for commit in deployment.group.primary.log
                for statement, _ in commit.writes
            }
            promised = {
                each.id
                for each in answers
                if each.error in ("BUSY", "ABORTED", "READONLY")
            }
            self.assertEqual(set(), kept & promised)
            self.assertGreater(sum(each.complete for each in answers), 500)

        memory_clients.scenario(check, daemons=DAEMONS)
