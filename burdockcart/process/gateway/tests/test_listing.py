"""Tests that a daemon that has left stays out of the list of daemons."""

import asyncio
import random

import testtools

from burdockcart import clock
from burdockcart.emulator import wire_platform
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import listing as listings
from burdockcart.process.gateway.store import registration_time
from burdockcart.tests import gateway_deployment

ENTRY = coordination.DaemonEntry(
    ids.DaemonId("d1"), "d1:7440", ids.DomainName("a"), ids.Incarnation("1")
)


async def prepare():
    """Return the entry to register."""
    return ENTRY


class SlowPlatform(wire_platform.EmulatedPlatform):
    """A store whose answer to a registration takes a while."""

    register_s = 0.0

    async def register_daemon(self, daemon, ttl_s):
        """Register the daemon late."""
        await asyncio.sleep(self.register_s)
        return await super().register_daemon(daemon, ttl_s)


class TestLeaving(testtools.TestCase):
    """A daemon that shuts down at an odd moment."""

    def run_listing(self, check):
        """Run a check with the listing of one daemon."""

        async def run():
            platform = SlowPlatform(gateway_deployment.tables(), {})
            times = registration_time.RegistrationTime(clock.LoopClock(), 8.0)
            listing = listings.Listing(
                platform, random.Random(1), prepare, times
            )
            await check(platform, listing)

        gateway_deployment.run(run())

    def test_while_registering(self):
        """A registration under way must end as soon as it is answered.

        Others used the daemon until the lease ran out, 8 s later.
        """

        async def check(platform, listing):
            platform.register_s = 0.5
            running = asyncio.create_task(listing.run())
            await asyncio.sleep(0.2)
            await listing.leave()
            await running
            self.assertEqual({}, platform.daemon_by_id)

        self.run_listing(check)

    def test_while_the_store_is_away(self):
        """A daemon must try again to leave."""

        async def check(platform, listing):
            running = asyncio.create_task(listing.run())
            await asyncio.sleep(0.2)
            self.assertEqual(["d1"], list(platform.daemon_by_id))
            platform.outage = True
            leaving = asyncio.create_task(listing.leave())
            await asyncio.sleep(1.0)
            platform.outage = False
            await leaving
            self.assertEqual({}, platform.daemon_by_id)
            await asyncio.sleep(10.0)
            self.assertTrue(running.done())
            self.assertEqual({}, platform.daemon_by_id)

        self.run_listing(check)

    def test_while_the_lease_is_lost(self):
        """A daemon that registers again while it leaves must leave again."""

        async def check(platform, listing):
            running = asyncio.create_task(listing.run())
            await asyncio.sleep(0.2)
            platform._daemon_by_lease.clear()
            platform.daemon_by_id.clear()
            platform.register_s = 0.5
            # Until the renewal has failed and the daemon registers again.
            await asyncio.sleep(2.1)
            await listing.leave()
            await running
            self.assertEqual({}, platform.daemon_by_id)

        self.run_listing(check)
