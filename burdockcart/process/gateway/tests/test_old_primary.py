"""Tests platforms on which an old primary goes on after a promotion."""

import asyncio

import testtools

from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import command
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP


def scenario(check, fenced=False, **options):
    """Run a check on a platform that deposes no primary."""
    test_sessions.scenario(check, fenced=fenced, deposes=False, **options)


def cut(daemon, members):
    """Cut a daemon off from members: open connections get no answers."""
    daemon.connector.cut |= {member.id for member in members}


def stale_reads(deployment, began_by_statement):
    """Return reads that ran without a commit acknowledged before them."""
    commits = [
        (commit.at, commit.position)
        for commit in deployment.group.primary.log
        if commit.position in deployment.group.acknowledged
    ]
    return [
        run
        for run in deployment.group.runs
        if run.statement in began_by_statement
        and any(
            at < began_by_statement[run.statement] and run.position < position
            for at, position in commits
        )
    ]


async def promote_behind_a_cut(deployment):
    """Cut the primary and daemon 0 off; daemon 1 replaces the primary."""
    old, *replicas = deployment.members
    old.replication_cut = True
    cut(deployment.daemons[0], replicas)
    cut(deployment.daemons[1], [old])
    deployment.peers.cut.add(frozenset(("d0", "d1")))
    await gateway_deployment.until(lambda: deployment.group.primary is not old)
    writer = await deployment.client("live", daemon=1)
    async with asyncio.timeout(5.0):
        while not gateway_deployment.ok(await writer.write()):
            await asyncio.sleep(0.05)
    return old


class TestOldPrimary(testtools.TestCase):
    """Reads and writes while two members consider themselves the primary."""

    def stale_after_promotion(self, fenced, kind):
        """Return the stale reads of clients behind a cut."""
        found = []

        async def check(deployment):
            client = await deployment.client("live", daemon=0)
            await client.write()
            await promote_behind_a_cut(deployment)
            loop = asyncio.get_running_loop()
            began_by_statement = {}
            for _ in range(20):
                began = loop.time()
                if kind is command.CommandKind.BEGIN:
                    await client.send(kind)
                await client.read()
                began_by_statement[client.sent[-1][0].id] = began
                if kind is command.CommandKind.BEGIN:
                    await client.send(command.CommandKind.ROLLBACK)
                await asyncio.sleep(0.02)
            found.extend(stale_reads(deployment, began_by_statement))

        scenario(check, fenced=fenced)
        return found

    def test_old_primary_serves_no_read(self):
        """A read must not run at a primary that has been replaced."""
        self.assertEqual(
            [], self.stale_after_promotion(False, command.CommandKind.READ)
        )

    def test_old_primary_serves_no_transaction(self):
        """A transaction must not begin at a replaced primary."""
        self.assertEqual(
            [], self.stale_after_promotion(False, command.CommandKind.BEGIN)
        )

    def test_its_own_word_is_no_proof(self):
        """With the old proof, BEGIN at the member, reads are stale."""
        self.assertNotEqual(
            [], self.stale_after_promotion(True, command.CommandKind.READ)
        )

    def test_its_positions_are_no_samples(self):
        """Positions of a replaced primary must not age as if confirmed."""

        async def check(deployment):
            client = await deployment.client("live", daemon=0)
            await client.write()
            await promote_behind_a_cut(deployment)
            group = deployment.daemons[0].group_by_id[GROUP]
            newest = group.primary.samples.newest_at
            await asyncio.sleep(1.0)
            self.assertEqual(newest, group.primary.samples.newest_at)

        scenario(check)

    def test_old_primary_is_demoted(self):
        """A daemon that reaches both primaries demotes the old one."""

        async def check(deployment):
            writer = await deployment.client("live", daemon=1)
            await writer.write()
            old = deployment.members[0]
            # The new primary does not reach it.
            old.replication_cut = True
            deployment.enter(old, manifest.MemberState.DRAINING)
            await gateway_deployment.until(
                lambda: deployment.group.primary is not old
            )
            await asyncio.sleep(0.5)
            self.assertFalse(old.leads)
            self.assertTrue(gateway_deployment.ok(await writer.write()))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check)

    def test_calm_reads_of_the_primary(self):
        """Reads of the primary must succeed while nothing is wrong."""

        async def check(deployment):
            client = await deployment.client("live", daemon=0)
            for _ in range(20):
                self.assertTrue(gateway_deployment.ok(await client.write()))
                self.assertTrue(gateway_deployment.ok(await client.read()))

        scenario(check)

    def test_no_replica_can_be_asked(self):
        """A read without evidence must be refused as not run."""

        async def check(deployment):
            client = await deployment.client("live", daemon=0)
            await client.write()
            cut(deployment.daemons[0], deployment.members[1:])
            for channel in list(deployment.daemons[0].connector.channels):
                if channel.member is not deployment.members[0]:
                    channel.close()
            loop = asyncio.get_running_loop()
            began = loop.time()
            reply = await client.read()
            # The time for which a statement may wait, of a timeout of 0.8 s.
            self.assertLess(loop.time() - began, 0.48)
            kind = gateway_deployment.kind_of(reply)
            self.assertIs(errors.ErrorKind.NO_PRIMARY, kind)
            self.assertIs(
                errors.Effect.NOT_RUN, errors.answer_for(kind).effect
            )

        scenario(check)


class TestUnfencedCalls(testtools.TestCase):
    """Calls that land late on a platform that checks no tokens."""

    def test_late_call_finds_no_other_primary(self):
        """After an unanswered call only its candidate may be promoted.

        Otherwise the late call deposes a newer primary in favour of a member
        that lacks its commits.
        """

        async def check(deployment):
            platform = deployment.platform
            platform.lose_promotions, platform.late_s = 1, 4.0
            writer = await deployment.client("live", daemon=1)
            await writer.write()
            deployment.members[0].crash()
            loop = asyncio.get_running_loop()
            until = loop.time() + 12.0
            while loop.time() < until:
                await writer.write()
                await asyncio.sleep(0.02)
            self.assertEqual(1, len({each[1] for each in platform.promotions}))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check)

    def test_tokens_ascend(self):
        """No call must carry a lower token than an earlier one."""

        async def check(deployment):
            writer = await deployment.client("live", daemon=1)
            for _ in range(3):
                await writer.write()
                old = deployment.group.primary
                old.crash()
                await gateway_deployment.until(
                    lambda: deployment.group.primary is not old
                )
                old.crashed = False
                old.follow(deployment.group.primary)
                await asyncio.sleep(6.0)
            tokens = [each[2] for each in deployment.platform.promotions]
            self.assertEqual(sorted(set(tokens)), tokens)
            self.assertGreaterEqual(len(tokens), 3)

        scenario(check)

    def test_pin_expires(self):
        """A pinned candidate must not block a group for ever.

        The platform executes a call without an answer up to 12 s later.
        """
        claims = promotion_claims.PromotionClaims("d0", 3.0)
        claims.call_begins(GROUP, "m-b", wall_ms=0, now=9.0)
        claims.call_unanswered(GROUP, now=10.0)
        self.assertEqual("m-b", claims.candidate(GROUP, 22.0))
        self.assertIsNone(claims.candidate(GROUP, 23.5))


class TestUnconfirmed(testtools.TestCase):
    """The fault of a statement that was not sent for lack of evidence."""

    def test_was_not_run(self):
        """The fault promises that nothing was run."""
        self.assertIn(
            member_channel.MemberFault.UNCONFIRMED, member_channel.NOT_RUN
        )
