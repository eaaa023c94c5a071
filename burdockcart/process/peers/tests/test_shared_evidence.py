"""Tests evidence on relayed answers, and what daemons do by it."""

import asyncio
import collections
import contextlib
from unittest import mock

import testtools

from burdockcart import errors
from burdockcart.process.gateway.members import evidence_placement
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.peers import messages
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import member_evidence
from burdockcart.tests import gateway_deployment

Error = errors.ErrorKind


@contextlib.contextmanager
def counted_attempts():
    """Count the failed attempts of all daemons by fault."""
    counts = collections.Counter()
    failed = attempts.StatementSender.attempt_failed

    def count(self, request, connection, answer, *others):
        counts[answer.fault] += 1
        failed(self, request, connection, answer, *others)

    with mock.patch.object(attempts.StatementSender, "attempt_failed", count):
        yield counts


def without_evidence():
    """Make daemons ignore evidence."""
    return mock.patch.object(
        evidence_placement.EvidencePlacement,
        "record",
        lambda self, holder, evidence: None,
    )


async def send_for(deployment, number, seconds, database, write):
    """Send a statement each 0.05 s on one daemon; return the replies."""
    loop = asyncio.get_running_loop()
    until, tasks = loop.time() + seconds, []
    while loop.time() < until:
        client = await deployment.client(database, number)
        tasks.append(
            asyncio.create_task(client.write() if write else client.read())
        )
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


class TestMessage(testtools.TestCase):
    """The field of an answer."""

    def test_answer_of_an_older_daemon(self):
        """An answer without evidence must remain valid."""
        encoded = messages.encode([20, 7, None, "", [], "-", "idle", None])
        message = messages.reply_decoder.decode(encoded)
        self.assertIsNone(message.evidence)

    def test_restarted_member(self):
        """Evidence about an earlier start of a member must not be used."""

        async def check(deployment):
            primary = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, primary)
            group = deployment.daemons[number].group_by_id[relay_case.GROUP]
            pool = group.pool_by_member[primary.id]
            known = pool.reports.position
            for started_ms, expected in ((2, known), (1, (9, 9))):
                group.placement.record(
                    "d1",
                    [
                        member_evidence.MemberEvidence(
                            primary.id, started_ms, None, 0, (9, 9)
                        )
                    ],
                )
                self.assertEqual(expected, pool.reports.position)

        relay_case.scenario(check)


class TestUnreachedPrimary(testtools.TestCase):
    """A primary that is cut off from its holders."""

    def replies(self, ended):
        """Return the replies and attempts while the primary is cut off."""
        found = []

        async def check(deployment):
            primary = deployment.group.primary
            number = relay_case.relaying_daemon(deployment, primary)
            await (await deployment.client("live", number)).write()
            for daemon in deployment.daemons:
                if relay_case.holds(daemon, primary):
                    daemon.connector.cut.add(primary.id)
            # The holders notice it.
            await send_for(deployment, number, 1.0, "live", True)
            with counted_attempts() as counts:
                replies = await send_for(deployment, number, 3.0, "live", True)
            found.extend((replies, counts))
            for daemon in deployment.daemons:
                daemon.connector.cut.clear()
            await asyncio.sleep(0.5)
            await ended(deployment, number)

        relay_case.scenario(check, daemons=20)
        return found

    async def writes_succeed(self, deployment, number):
        """Check that the primary is used again."""
        await send_for(deployment, number, 0.5, "live", True)
        replies = await send_for(deployment, number, 1.0, "live", True)
        self.assertNotIn(False, map(gateway_deployment.ok, replies))

    def test_few_attempts(self):
        """Writes must not use up their attempts at the primary.

        Senders made 1,316 such attempts in one second, and told clients that
        the members were overloaded.
        """
        with without_evidence():
            _, before = self.replies(self.writes_succeed)
        replies, counts = self.replies(self.writes_succeed)
        self.assertLess(2 * counts.total(), before.total())
        kinds = collections.Counter(
            gateway_deployment.kind_of(each)
            for each in replies
            if not gateway_deployment.ok(each)
        )
        self.assertLess(kinds[Error.OVERLOADED], 0.1 * len(replies))


class TestReplicasBehind(testtools.TestCase):
    """Replicas that receive nothing, without a primary to read from."""

    def behind(self):
        """Return the attempts at replicas that lacked the position."""
        found = []

        async def check(deployment):
            primary = deployment.group.primary
            replicas = [
                each for each in deployment.members if each is not primary
            ]
            number = next(
                number
                for number, daemon in enumerate(deployment.daemons)
                if not any(
                    relay_case.holds(daemon, each)
                    for each in deployment.members
                )
            )
            clients = [
                await deployment.client("layers", number) for _ in range(8)
            ]
            deployment.group.synchronous = False
            for each in replicas:
                each.replication_cut = True
            for client in clients:
                self.assertTrue(gateway_deployment.ok(await client.write()))
            primary.unresponsive = True
            # The first answers tell what the replicas lack.
            await asyncio.gather(*(each.read() for each in clients))
            with counted_attempts() as counts:
                await asyncio.gather(*(each.read() for each in clients))
            found.append(
                sum(
                    count
                    for fault, count in counts.items()
                    if fault.name == "BEHIND"
                )
            )

        relay_case.scenario(check, daemons=20)
        return found[0]

    def test_few_attempts(self):
        """Waiting reads must not try such replicas one after the other."""
        self.assertLess(self.behind(), 8)
