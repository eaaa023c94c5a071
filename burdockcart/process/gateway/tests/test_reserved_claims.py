"""Tests promotions during an outage of the platform's store."""

import asyncio

import testtools

from burdockcart.emulator import wire_platform
from burdockcart.process.gateway.promotion import reserved_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

scenario = test_sessions.scenario
GROUP = gateway_deployment.GROUP


class TestStoreAway(testtools.TestCase):
    """A primary fails during an outage of the store.

    Without reserved tokens, a failure domain was partitioned while the store
    did not answer, and the groups with primaries in it accepted no writes for
    2 to 3 s.
    """

    def lose_primary(self, **options):
        """Crash a primary during an outage of the store.

        Returns the deployment.
        """
        deployments = []

        async def check(deployment):
            deployments.append(deployment)
            await asyncio.sleep(5.0)
            loop = asyncio.get_running_loop()
            deployment.platform.outage = True
            old = deployment.group.primary
            old.crash()
            crashed_at = loop.time()
            for name, fault in options.items():
                setattr(deployment.platform, name, fault)
            replies = await test_failover.writes_for(deployment, 6.0)
            served = [
                at for at, reply in replies if gateway_deployment.ok(reply)
            ]
            self.assertTrue(served)
            self.assertLess(served[0] - crashed_at, 3.0)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=3)
        return deployments[0]

    def test_primary_is_replaced(self):
        """An outage of the store must not prevent a promotion."""
        deployment = self.lose_primary()
        self.assertEqual(1, len(deployment.platform.promotions))

    def test_unanswered_call_drops_the_token(self):
        """A token must not be used again after an unanswered call.

        The first holder's call is executed late; the second holder's token
        is higher.
        """
        deployment = self.lose_primary(lose_promotions=1, late_s=0.2)
        tokens = [token for _, _, token in deployment.platform.promotions]
        self.assertEqual(len(tokens), len(set(tokens)))

    def test_primary_that_is_well_stays(self):
        """An outage of the store alone must not replace a primary."""

        async def check(deployment):
            await asyncio.sleep(5.0)
            deployment.platform.outage = True
            replies = await test_failover.writes_for(deployment, 5.0)
            self.assertNotIn(
                False, [gateway_deployment.ok(reply) for _, reply in replies]
            )
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=3)


class TestClaims(testtools.TestCase):
    """Reserved claims together with claims for promotions."""

    def test_turn_of_a_promotion_is_kept(self):
        """A reserved claim must not overwrite the record of a promotion."""

        async def check(deployment):
            await asyncio.sleep(5.0)
            platform = deployment.platform
            revision = platform.record_by_group[GROUP][1]
            record = coordination.PromotionRecord("other", "x", 0)
            await platform.claim_promotion(GROUP, record, revision)
            for daemon in deployment.daemons:
                daemon._reserved.drop_token(GROUP)
            await asyncio.sleep(2.0)
            self.assertEqual(record, platform.record_by_group[GROUP][0])
            await asyncio.sleep(4.0)
            self.assertTrue(platform.record_by_group[GROUP][0].reserved)

        scenario(check, daemons=2)

    def test_open_call_is_kept(self):
        """A reserved claim must not hide a call that may be carried out."""

        async def check(deployment):
            await asyncio.sleep(5.0)
            platform = deployment.platform
            revision = platform.record_by_group[GROUP][1]
            record = coordination.PromotionRecord("other", "x", 7, False, "m")
            await platform.claim_promotion(GROUP, record, revision)
            for daemon in deployment.daemons:
                daemon._reserved.drop_token(GROUP)
            await asyncio.sleep(6.0)
            found = platform.record_by_group[GROUP][0]
            self.assertTrue(found.reserved)
            self.assertEqual("m", found.candidate)

        scenario(check, daemons=2)

    def test_reserved_record_stops_no_promotion(self):
        """A reserved record must not delay the replacement of a primary."""

        async def check(deployment):
            await asyncio.sleep(1.5)
            deployment.group.primary.crash()
            replies = await test_failover.writes_for(deployment, 3.0)
            served = [
                at for at, reply in replies if gateway_deployment.ok(reply)
            ]
            self.assertLess(served[0], 3.2)

        scenario(check, daemons=2)

    def test_daemon_that_left_uses_no_token(self):
        """A daemon that has left the list must leave its turn to the next.

        It knew itself as the first holder for one more poll, while the next
        one was the first by the new list: both promoted, 60 ms apart.
        """

        async def check(deployment):
            await asyncio.sleep(5.0)
            fleet = {each.tables.daemons for each in deployment.daemons}
            (names,) = fleet
            first = next(
                each
                for each in deployment.daemons
                if reserved_claims.rank(each._failover._daemon, GROUP, names)
                == 0
            )
            group = first.group_by_id[GROUP]
            since = asyncio.get_running_loop().time() - 9.0
            self.assertIsNotNone(first._reserved.token(group, since))
            await first._listing.leave()
            self.assertIsNone(first._reserved.token(group, since))

        scenario(check, daemons=3)

    def test_two_holders(self):
        """A group must not depend on a single holder of a token."""
        fleet = [f"d{number}" for number in range(9)]
        for group in ("g", "h", "i"):
            ranks = [
                reserved_claims.rank(each, group, fleet) for each in fleet
            ]
            self.assertEqual(
                [0, 1], sorted(each for each in ranks if each is not None)
            )

    def test_emulated_platform_refuses_a_lower_token(self):
        """The emulated platform must refuse a lower token."""

        async def check(deployment):
            platform = deployment.platform
            member = deployment.members[1].id
            await platform.promote(GROUP, member, "d", 500)
            refused = await platform.promote(GROUP, member, "d", 400)
            self.assertIs(
                wire_platform.PromotionFault.REJECTED, refused.failure()
            )

        scenario(check, daemons=1)
