"""Tests what a daemon makes of a store that was restored from a copy."""

import asyncio

import testtools

from burdockcart.process.gateway.promotion import reserved_claims
from burdockcart.process.gateway.store import store_era
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.gateway.tests import test_store_follower
from burdockcart.tests import gateway_deployment

scenario = test_sessions.scenario
version = test_store_follower.version
GROUP = gateway_deployment.GROUP


class TestManifest(testtools.TestCase):
    """The manifest in force after a restore."""

    def test_manifest_written_again_is_not_missed(self):
        """A revision of the earlier history must not hide a manifest.

        The manifest was written again below the revision that the daemons
        had seen, and later writes brought the store past it.
        """

        async def check(deployment):
            platform = deployment.platform
            copied = platform.copy()
            for member in deployment.members:
                deployment.enter(member)
            await asyncio.sleep(2.0)
            platform.restore(copied)
            platform.put_tables(gateway_deployment.tables(2))
            for member in deployment.members * 2:
                deployment.enter(member)
            await asyncio.sleep(2.5)
            self.assertEqual(
                [2, 2], [version(deployment, each) for each in (0, 1)]
            )

        scenario(check)

    def test_daemon_that_starts_waits_for_the_newer_manifest(self):
        """A daemon must not begin with a manifest that others have left."""

        async def check(deployment):
            platform = deployment.platform
            copied = platform.copy()
            platform.put_tables(gateway_deployment.tables(2))
            await asyncio.sleep(2.0)
            platform.restore(copied)
            # Until the running daemons have registered again.
            await asyncio.sleep(2.6)
            late = await deployment.join(2)
            await asyncio.sleep(1.0)
            self.assertFalse(late.ready())
            platform.put_tables(gateway_deployment.tables(2))
            await gateway_deployment.until(late.ready, within_s=1.7)
            self.assertEqual(2, version(deployment, 2))

        scenario(check)


class TestPromotions(testtools.TestCase):
    """Tokens, records and open calls of promotions after a restore."""

    def promotions(self, fenced):
        """Lose a primary before and after a restore; return the tokens."""
        tokens = []

        async def check(deployment):
            platform = deployment.platform
            copied = platform.copy()
            await asyncio.sleep(3.0)
            old = deployment.group.primary
            old.crash()
            await test_failover.writes_for(deployment, 4.0)
            platform.restore(copied)
            for member in deployment.members:
                deployment.enter(member)
            await asyncio.sleep(12.0)
            old.crashed = False
            old.follow(deployment.group.primary)
            deployment.enter(old)
            await asyncio.sleep(3.0)
            deployment.group.primary.crash()
            replies = await test_failover.writes_for(deployment, 6.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], test_failover.lost_commits(deployment))
            self.assertEqual([], platform.refused)
            tokens.extend(token for _, _, token in platform.promotions)

        scenario(check, daemons=3, fenced=fenced)
        return tokens

    def test_token_after_a_restore_is_higher(self):
        """Tokens must rise though revisions are given out again.

        The platform refuses a lower one, so that the group gets no primary;
        where it checks none, two daemons could use the same one.
        """
        for fenced in (True, False):
            tokens = self.promotions(fenced)
            self.assertGreater(len(tokens), 1)
            self.assertEqual(sorted(set(tokens)), tokens)

    def test_open_call_is_written_again(self):
        """A call that may be executed late must stay known after a restore.

        Without its record another daemon promotes another member meanwhile.
        """

        async def check(deployment):
            platform = deployment.platform
            copied = platform.copy()
            daemon = deployment.daemons[0]
            claims = daemon._failover.claims
            candidate = deployment.members[1].id
            now = asyncio.get_running_loop().time()
            claims.call_begins(GROUP, candidate, wall_ms=0, now=now)
            claims.call_unanswered(GROUP, now)
            platform.restore(copied)
            await asyncio.sleep(2.6)
            record, _ = platform.record_by_group[GROUP]
            self.assertEqual(candidate, record.candidate)

        scenario(check, daemons=3, fenced=False)

    def test_no_claim_before_all_have_registered_again(self):
        """A promotion that the store has forgotten may still go on."""

        async def check(deployment):
            platform = deployment.platform
            await asyncio.sleep(3.0)
            copied = platform.copy()
            # It runs, but does not reach the store for a while.
            deployment.daemons[0].link.store_cut = True
            await asyncio.sleep(0.5)
            platform.restore(copied)
            # A copy that is older than the registrations and their leases.
            platform.daemon_by_id.clear()
            platform._daemon_by_lease.clear()
            await asyncio.sleep(3.0)
            waits = [each._restore_wait for each in deployment.daemons[1:]]
            self.assertEqual([False] * 2, [each.over() for each in waits])
            deployment.daemons[0].link.store_cut = False
            await asyncio.sleep(3.5)
            self.assertEqual([True] * 2, [each.over() for each in waits])

        scenario(check, daemons=3, fenced=False)

    def test_no_reserved_token_during_the_wait(self):
        """While the store answers, the wait holds for all tokens.

        Lists of daemons differ most after a restore, and with them who may
        use a reserved token first.
        """

        async def check(deployment):
            platform = deployment.platform
            await asyncio.sleep(5.0)
            copied = platform.copy()
            cut = next(
                each
                for each in deployment.daemons
                if reserved_claims.rank(
                    each._failover._daemon, GROUP, each.tables.daemons
                )
                is None
            )
            cut.link.store_cut = True
            platform.restore(copied)
            await asyncio.sleep(0.1)
            deployment.group.primary.crash()
            await asyncio.sleep(2.8)
            self.assertEqual([], platform.promotions)
            await asyncio.sleep(3.0)
            self.assertEqual(1, len(platform.promotions))

        scenario(check, daemons=3)

    def test_list_without_the_daemon_itself_is_incomplete(self):
        """Lapsed registrations must not look like daemons that are gone."""

        async def check(deployment):
            platform = deployment.platform
            await asyncio.sleep(3.0)
            for daemon in deployment.daemons:
                daemon.tables._daemons.entry_by_id.clear()
            platform.restore(platform.copy())
            await asyncio.sleep(4.0)
            waits = [each._restore_wait for each in deployment.daemons]
            self.assertEqual([False] * 3, [each.over() for each in waits])

        scenario(check, daemons=3, fenced=False)

    def test_daemon_that_starts_after_a_restore_waits(self):
        """A daemon that knows only the copy must not claim at once."""

        async def check(deployment):
            platform = deployment.platform
            copied = platform.copy()
            for daemon in deployment.daemons:
                daemon.link.store_cut = True
            platform.restore(copied)
            late = await deployment.join(2)
            await asyncio.sleep(12.9)
            self.assertFalse(late._restore_wait.over())
            await asyncio.sleep(1.0)
            self.assertTrue(late._restore_wait.over())
            self.assertEqual(platform.era, platform.complete_since)

        scenario(check, daemons=2, fenced=False)


class TestPositions(testtools.TestCase):
    """Positions in the store over several eras."""

    def test_positions_of_two_eras_differ(self):
        """A revision that is given out again must be another position."""
        self.assertNotEqual(
            store_era.position(1, 90), store_era.position(2, 90)
        )

    def test_revision_out_of_range(self):
        """A revision must not reach into the next era."""
        for revision in (-1, 1 << store_era.REVISION_BITS):
            self.assertRaises(ValueError, store_era.position, 1, revision)
