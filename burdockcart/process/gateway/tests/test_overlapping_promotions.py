"""Tests attempts to replace a primary while another one is under way.

The platform carries out a promotion some hundred milliseconds after its call.
Until then the other replicas must stay on hold: the old primary still serves,
and a commit that only they receive is lost.
"""

import asyncio

from returns import result
import testtools

from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.process.gateway.promotion import reserved_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP
Cause = failover_rule.Cause


def replace(daemon, cause, old):
    """Start to replace a primary as the failover of a daemon does."""
    return asyncio.create_task(
        daemon._failover._promoter.replace(
            daemon.group_by_id[GROUP], old.id, cause
        )
    )


def unavailable():
    """Return the answer of a platform that has done nothing."""
    return result.Failure(coordination.PromotionFault.UNAVAILABLE)


async def call_accepted(deployment):
    """Wait until the platform has accepted a call to promote a member.

    Returns that member.
    """
    platform = deployment.platform
    await gateway_deployment.until(lambda: platform.promotions)
    _, promoted, _ = platform.promotions[-1]
    return deployment.group.member_by_id[promoted]


class TestPendingPromotion(testtools.TestCase):
    """A second daemon gives up while the first one's call is pending."""

    async def prepared(self, deployment):
        """Return the daemon that uses its reserved token first, and the other.

        Both have reserved one by then.
        """
        deployment.group.promotion_s = 2.0
        await (await deployment.client("live")).write()
        await asyncio.sleep(3.0)
        fleet = [each._settings.daemon for each in deployment.daemons]
        return sorted(
            deployment.daemons,
            key=lambda each: reserved_claims.rank(
                each._settings.daemon, GROUP, fleet
            ),
        )

    async def begin(self, daemon, deployment):
        """Let a daemon call the platform; return its task.

        The member to be promoted receives nothing from then on.
        """
        running = replace(daemon, Cause.DRAINING, deployment.group.primary)
        candidate = await call_accepted(deployment)
        candidate.replication_cut = True
        return running

    async def check_no_commit_lost(self, deployment, running):
        """A commit before the pending promotion takes effect must stay."""
        old = deployment.group.primary
        self.assertFalse(running.done())
        old.commit([("late", "WRITE 1a4 x")])
        await running
        self.assertFalse(old.leads)
        self.assertEqual([], test_failover.lost_commits(deployment))

    def test_call_with_a_lower_token(self):
        """A daemon whose call is refused must not release the replicas.

        It is cut off from the store and uses the token that it has reserved;
        the other daemon's token is higher.
        """

        async def check(deployment):
            second, first = await self.prepared(deployment)
            old = deployment.group.primary
            second.link.store_cut = True
            reserved = second._reserved._token_by_group[GROUP]
            # The time for which the token must wait has passed.
            promoter = second._failover._promoter
            promoter._reserved_token = lambda group: reserved
            running = await self.begin(first, deployment)
            await replace(second, Cause.STALLED, old)
            self.assertEqual(
                [reserved],
                [token for _, _, token in deployment.platform.refused],
            )
            await self.check_no_commit_lost(deployment, running)

        test_sessions.scenario(check, daemons=2)

    def test_claim_of_another_daemon(self):
        """A daemon whose claim has expired must not release the replicas.

        It stalled between its claim and the end of its attempt; another one
        has claimed the promotion since then.
        """

        async def check(deployment):
            second, first = await self.prepared(deployment)
            old = deployment.group.primary
            promoter = second._failover._promoter
            group = second.group_by_id[GROUP]
            await promoter._record.claim(GROUP)
            await asyncio.sleep(3.5)
            first._failover.claims.lost(
                GROUP,
                coordination.ClaimLost(
                    *deployment.platform.record_by_group[GROUP]
                ),
                0,
                asyncio.get_running_loop().time() - 3.5,
            )
            running = await self.begin(first, deployment)
            connections = [
                await pool.take_or_open()
                for pool in group.pool_by_member.values()
                if pool.entry.id != old.id
            ]
            await promoter._release(
                group,
                {each.pool.entry.id: each.channel for each in connections},
            )
            await self.check_no_commit_lost(deployment, running)

        test_sessions.scenario(check, daemons=2)

    def test_stop_after_the_call(self):
        """A daemon that stops must not release them while its call is open."""

        async def check(deployment):
            _, first = await self.prepared(deployment)
            old = deployment.group.primary
            platform = deployment.platform
            promote = platform.promote

            async def promote_slowly(*arguments):
                answer = await promote(*arguments)
                await asyncio.sleep(1.0)
                return answer

            platform.promote = promote_slowly
            running = await self.begin(first, deployment)
            running.cancel()
            await asyncio.wait([running])
            old.commit([("late", "WRITE 1a4 x")])
            await gateway_deployment.until(lambda: not old.leads)
            self.assertEqual([], test_failover.lost_commits(deployment))

        test_sessions.scenario(check, daemons=2)


class TestGivenUp(testtools.TestCase):
    """An attempt that no other daemon's attempt overlaps."""

    def test_replicas_receive_again(self):
        """Replicas must not stay on hold after a promotion was given up."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live")
            await client.write()
            running = replace(daemon, Cause.SILENT, deployment.group.primary)
            await client.read()
            await running
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual(
                [True, True],
                [
                    each.receives
                    for each in deployment.members
                    if each is not deployment.group.primary
                ],
            )
            self.assertTrue(gateway_deployment.ok(await client.write()))

        test_sessions.scenario(check)

    def check_released(self, hinder, restore):
        """Replicas must receive soon after a renewal that failed.

        The attempt is given up, as the primary answers again.
        """

        async def check(deployment):
            daemon = deployment.daemons[0]
            primary = deployment.group.primary
            client = await deployment.client("live")
            await client.write()
            record = daemon._failover._promoter._record
            claim = record.claim

            async def claim_then_hinder(group):
                token = await claim(group)
                hinder(deployment)
                return token

            record.claim = claim_then_hinder
            running = replace(daemon, Cause.SILENT, primary)
            await client.read()
            await running
            record.claim = claim
            await asyncio.sleep(1.0)
            restore(deployment)
            replicas = [
                each for each in deployment.members if each is not primary
            ]
            await gateway_deployment.until(
                lambda: all(each.receives for each in replicas)
            )
            self.assertEqual([], deployment.platform.promotions)

        test_sessions.scenario(check)

    def test_store_is_away_at_the_renewal(self):
        """An outage of the store must not leave replicas on hold.

        The renewal of the claim was tried once; one replica received nothing
        for the rest of its life, and no write could be acknowledged once the
        other one crashed.
        """

        def set_outage(value):
            def change(deployment):
                deployment.platform.outage = value

            return change

        self.check_released(set_outage(True), set_outage(False))

    def test_release_beside_a_crashed_replica(self):
        """One replica that is gone must not keep another one on hold."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            group = daemon.group_by_id[GROUP]
            await (await deployment.client("live")).write()
            held, gone = [
                each for each in deployment.members if not each.leads
            ]
            held.held_term = 2
            daemon._failover._promoter._leave_on_hold(
                group, [held.id, gone.id]
            )
            gone.crash()
            await gateway_deployment.until(lambda: held.receives)
            # Nothing more is claimed for the one that is gone.
            platform = deployment.platform
            claim, claims = platform.claim_promotion, []

            async def record_claim(group, record, expected):
                if not record.reserved:
                    claims.append(record)
                return await claim(group, record, expected)

            platform.claim_promotion = record_claim
            await asyncio.sleep(5.0)
            self.assertEqual([], claims)

        test_sessions.scenario(check)

    def test_release_without_answer(self):
        """A release that a replica did not answer must be repeated."""

        def set_unresponsive(value):
            def change(deployment):
                for each in deployment.members:
                    each.unresponsive = value and not each.leads

            return change

        self.check_released(set_unresponsive(True), set_unresponsive(False))

    def test_renewal_that_took_too_long(self):
        """Replicas must stay on hold after a renewal that may have expired."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            await (await deployment.client("live")).write()
            promoter = daemon._failover._promoter
            await promoter._record.claim(GROUP)
            link = promoter._record._platform

            class SlowStore:
                async def claim_promotion(self, *arguments):
                    claimed = await link.claim_promotion(*arguments)
                    await asyncio.sleep(2.0)
                    return claimed

            promoter._record._platform = SlowStore()
            self.assertFalse(await promoter._record.renew(GROUP))

        test_sessions.scenario(check)
