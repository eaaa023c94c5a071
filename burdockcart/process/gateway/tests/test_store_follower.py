"""Tests how a daemon uses the data in the platform's store."""

import asyncio
import random

import msgspec
from returns import result
import testtools

from burdockcart import clock
from burdockcart import errors
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import listing as listings
from burdockcart.process.gateway.store import member_catalog
from burdockcart.process.gateway.store import registration_time
from burdockcart.process.gateway.store import store_era
from burdockcart.process.gateway.tests import test_listing
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

scenario = test_sessions.scenario


def version(deployment, daemon=0):
    """Return the version of the manifest that a daemon uses."""
    return deployment.daemons[daemon].tables.current.version


class TestManifest(testtools.TestCase):
    """Versions of the manifest."""

    def test_in_force_within_the_limit(self):
        """A new manifest must be in force within the time limit."""

        async def check(deployment):
            deployment.platform.put_tables(gateway_deployment.tables(2))
            await asyncio.sleep(2.5)
            self.assertEqual(
                [2, 2], [version(deployment, each) for each in (0, 1)]
            )

        scenario(check)

    def test_poll_without_an_answer(self):
        """One lost poll must not delay a manifest beyond the limit."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            await gateway_deployment.until(
                lambda: daemon.tables.next_poll_s > 1.5
            )
            deployment.platform.put_tables(gateway_deployment.tables(2))
            await asyncio.sleep(daemon.tables.next_poll_s - 0.05)
            daemon.link.store_cut = True
            await asyncio.sleep(0.3)
            daemon.link.store_cut = False
            await asyncio.sleep(1.2)
            self.assertEqual(2, version(deployment))

        scenario(check)

    def test_versions_only_go_up(self):
        """An older manifest that is read again must be ignored."""

        async def check(deployment):
            deployment.platform.put_tables(gateway_deployment.tables(5))
            await asyncio.sleep(2.0)
            deployment.platform.put_tables(gateway_deployment.tables(4))
            deployment.platform.oldest_kept = deployment.platform.revision + 1
            await asyncio.sleep(4.0)
            self.assertEqual(5, version(deployment))

        scenario(check)

    def test_lost_history(self):
        """A change in history that the store dropped must be found."""

        async def check(deployment):
            deployment.platform.put_tables(gateway_deployment.tables(2))
            deployment.platform.oldest_kept = deployment.platform.revision + 1
            await asyncio.sleep(3.0)
            self.assertEqual(2, version(deployment))

        scenario(check)

    def test_store_away(self):
        """An outage of the store must not stop statements or updates."""

        async def check(deployment):
            client = await deployment.client("layers")
            deployment.platform.outage = True
            for _ in range(20):
                self.assertTrue(gateway_deployment.ok(await client.write()))
                await asyncio.sleep(0.2)
            deployment.platform.put_tables(gateway_deployment.tables(3))
            deployment.platform.outage = False
            await asyncio.sleep(2.0)
            self.assertEqual(3, version(deployment))

        scenario(check)

    def test_added_database_is_said_not_to_exist(self):
        """A daemon that may have missed a route must not deny it for good."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            daemon.link.store_cut = True
            routes = {
                **gateway_deployment.ROUTES,
                "added": gateway_deployment.ROUTES["live"],
            }
            deployment.platform.put_tables(
                gateway_deployment.tables(2, routes=routes)
            )
            kinds = []
            for _ in range(80):
                await asyncio.sleep(0.1)
                opened = await daemon.open_session("added", "-")
                kinds.append(opened.failure().kind)
            # The store is polled each 1.65 s, and a manifest may take 3 s.
            self.assertNotIn(errors.ErrorKind.NO_ROUTE, kinds[30:])
            self.assertIs(errors.ErrorKind.ROUTES_UNCONFIRMED, kinds[-1])
            daemon.link.store_cut = False
            await asyncio.sleep(2.0)
            opened = await daemon.open_session("added", "-")
            self.assertIsInstance(opened, result.Success)
            unknown = await daemon.open_session("unknown", "-")
            self.assertIs(errors.ErrorKind.NO_ROUTE, unknown.failure().kind)

        scenario(check)

    def test_suspended_host_denies_an_added_database(self):
        """Time in suspension must count when a route is denied."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            await asyncio.sleep(1.0)
            daemon._boot_clock.suspended_s = 4.0
            opened = await daemon.open_session("added", "-")
            self.assertIs(
                errors.ErrorKind.ROUTES_UNCONFIRMED, opened.failure().kind
            )

        scenario(check)

    def test_start_without_a_store(self):
        """A daemon must not be ready before it has read the store."""

        async def check(deployment):
            deployment.platform.outage = True
            late = await deployment.join(2)
            await asyncio.sleep(2.0)
            self.assertFalse(late.ready())
            opened = await late.open_session("live", "-")
            self.assertEqual("draining", opened.failure().kind.value)
            deployment.platform.outage = False
            await gateway_deployment.until(late.ready, within_s=2.0)

        scenario(check)


class TestMembers(testtools.TestCase):
    """Entries of members."""

    def test_entry_that_lapsed_with_the_store(self):
        """Members must stay in use if their entries expire in an outage."""

        async def check(deployment):
            client = await deployment.client("layers")
            entries = dict(deployment.platform.entry_by_id)
            deployment.platform.outage = True
            await asyncio.sleep(3.0)
            for member in entries:
                deployment.platform.remove_member(member)
            deployment.platform.outage = False
            for _ in range(9):
                self.assertTrue(gateway_deployment.ok(await client.write()))
                await asyncio.sleep(0.2)
            for entry in entries.values():
                deployment.platform.put_member(entry)
            await asyncio.sleep(4.0)
            group = deployment.daemons[0].group_by_id[gateway_deployment.GROUP]
            self.assertEqual(set(entries), set(group.pool_by_member))

        scenario(check)

    def test_entry_that_stays_away(self):
        """A member whose entry stays missing must be removed."""

        async def check(deployment):
            removed = deployment.members[2].id
            deployment.platform.remove_member(removed)
            await asyncio.sleep(6.0)
            group = deployment.daemons[0].group_by_id[gateway_deployment.GROUP]
            self.assertNotIn(removed, group.pool_by_member)

        scenario(check)

    def test_member_that_started_again(self):
        """Connections from before a member's restart must not be used."""

        async def check(deployment):
            group = deployment.daemons[0].group_by_id[gateway_deployment.GROUP]
            member = deployment.members[0]
            before = group.pool_by_member[member.id]
            entry = deployment.platform.entry_by_id[member.id]
            deployment.platform.put_member(
                msgspec.structs.replace(entry, started_ms=entry.started_ms + 9)
            )
            await asyncio.sleep(3.0)
            after = group.pool_by_member[member.id]
            self.assertIsNot(before, after)
            self.assertTrue(before.retired)
            self.assertFalse(before.has_idle())
            client = await deployment.client("live")
            self.assertTrue(gateway_deployment.ok(await client.write()))

        scenario(check)

    def test_drained_member_leaves_at_once(self):
        """A drained member must be removed at once.

        Its address may be reused.
        """
        entry = manifest.MemberEntry(
            id="m",
            group="g",
            address="a:1",
            domain="a",
            slots=1,
            state=manifest.MemberState.DRAINING,
            leads=False,
            started_ms=1,
        )
        catalog = member_catalog.MemberCatalog()
        catalog.changed({"m": entry}, now=1.0)
        catalog.changed({"m": None}, now=2.0)
        self.assertEqual(["m"], catalog.remove_departed(now=2.0))


class TestTurns(testtools.TestCase):
    """Turns of promotions."""

    def lost(self, holder, claimed_at_ms):
        """Return a lost claim with another holder."""
        record = coordination.PromotionRecord(holder, "x", claimed_at_ms)
        return coordination.ClaimLost(record, 7)

    def test_new_record_is_left_alone(self):
        """A new record of another daemon must delay a promotion."""
        claims = promotion_claims.PromotionClaims("d1", 3.0)
        self.assertFalse(
            claims.lost("g", self.lost("d2", 10_000), 10_500, now=50.0)
        )
        self.assertFalse(claims.may_try("g", planned=False, now=52.0))
        # The age by the other daemon's clock does not shorten the wait.
        self.assertFalse(claims.may_try("g", planned=False, now=52.9))
        self.assertTrue(claims.may_try("g", planned=False, now=53.1))
        self.assertEqual(7, claims.position("g"))

    def test_record_from_the_future(self):
        """A holder whose clock is ahead must not extend its claim."""
        claims = promotion_claims.PromotionClaims("d1", 3.0)
        self.assertFalse(
            claims.lost("g", self.lost("d2", 99_000), 10_000, now=50.0)
        )
        self.assertTrue(claims.may_try("g", planned=False, now=53.1))

    def test_old_record(self):
        """A holder that died must not block promotions."""
        claims = promotion_claims.PromotionClaims("d1", 3.0)
        self.assertTrue(
            claims.lost("g", self.lost("d2", 10_000), 19_000, now=50.0)
        )
        claims = promotion_claims.PromotionClaims("d1", 3.0)
        recent = self.lost("d2", 10_000)
        self.assertFalse(claims.lost("g", recent, 14_000, now=50.0))
        self.assertTrue(claims.lost("g", recent, 17_000, now=53.1))


class LeaseStore:
    """Store with one lease that answers nothing for a while."""

    def __init__(self, silent_from, silent_s):
        self.silent_from = silent_from
        self.silent_until = silent_from + silent_s
        self.eras = store_era.EraWatch()
        self.registered = 0
        self.ends_at = 0.0

    async def _answers(self):
        now = asyncio.get_running_loop().time()
        if self.silent_from <= now < self.silent_until:
            # The timeout of a call.
            await asyncio.sleep(1.0)
            return False
        return True

    async def register_daemon(self, entry, ttl_s):
        """Grant a lease."""
        if not await self._answers():
            return result.Failure(coordination.CallFault.NO_ANSWER)
        self.registered += 1
        self.ends_at = asyncio.get_running_loop().time() + ttl_s
        return result.Success(coordination.Lease(0, 1))

    async def renew_daemon(self, lease):
        """Renew the lease unless it has ended."""
        if not await self._answers():
            return result.Failure(coordination.CallFault.NO_ANSWER)
        now = asyncio.get_running_loop().time()
        if now >= self.ends_at:
            return result.Failure(coordination.CallFault.MISSING)
        self.ends_at = now + listings.REGISTRATION_TTL_S
        return result.Success(None)


class TestListing(testtools.TestCase):
    """Registration of a daemon in the list of daemons."""

    def test_store_is_silent_for_a_while(self):
        """A healthy daemon must stay registered.

        After two renewals without an answer the third came too late, and all
        other daemons chose holders anew.
        """

        async def registrations(seed):
            rng = random.Random(seed)
            store = LeaseStore(10.0 + rng.uniform(0.0, 2.5), 4.0)
            times = registration_time.RegistrationTime(clock.LoopClock(), 8.0)
            listing = listings.Listing(store, rng, test_listing.prepare, times)
            task = asyncio.create_task(listing.run())
            await asyncio.sleep(25.0)
            task.cancel()
            return store.registered

        counts = [
            gateway_deployment.run(registrations(seed)) for seed in range(50)
        ]
        self.assertEqual([1] * 50, counts)
