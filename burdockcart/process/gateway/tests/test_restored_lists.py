"""Tests daemons, members and the key of the links after a restore."""

import asyncio
import random

from returns import result
import testtools

from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import daemon_catalog
from burdockcart.process.gateway.store import link_key
from burdockcart.process.gateway.store import member_catalog
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.peers import fleet_key
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

scenario = test_sessions.scenario


class TestRegistrations(testtools.TestCase):
    """Daemons, their leases and their key after a restore."""

    def test_lease_of_another_daemon_is_not_renewed(self):
        """Each daemon must register again: leases are given out again.

        A daemon that renewed the lease of another one never registered.
        """

        async def check(deployment):
            platform = deployment.platform
            await asyncio.sleep(3.0)
            platform.restore(platform.copy())
            entries = dict(platform.daemon_by_id)
            platform.daemon_by_id.clear()
            # All leases that the daemons remember belong to somebody else.
            for lease in platform._daemon_by_lease:
                platform._daemon_by_lease[lease] = "somebody"
            await asyncio.sleep(3.0)
            self.assertEqual(set(entries), set(platform.daemon_by_id))
            self.assertEqual(
                {platform.era},
                {each.era for each in platform.daemon_by_id.values()},
            )

        scenario(check, daemons=3)

    def test_key_in_use_is_written_again(self):
        """The key of the links must survive, also for new daemons."""

        async def check(deployment):
            platform = deployment.platform
            copied = platform.copy()
            await asyncio.sleep(4.0)
            key = platform.fleet_key
            self.assertIsNotNone(key)
            platform.restore({**copied, "fleet_key": None})
            await asyncio.sleep(2.6)
            await deployment.join(2)
            await asyncio.sleep(1.0)
            self.assertEqual(key, platform.fleet_key)
            self.assertEqual(
                [key] * 3,
                [each._link_key._key.value for each in deployment.daemons],
            )

        scenario(check)

    def test_withdrawn_key_stays_withdrawn(self):
        """The copy must not bring back a key that was replaced."""

        async def check(deployment):
            platform = deployment.platform
            await asyncio.sleep(3.0)
            copied = platform.copy()
            replaced, key = platform.fleet_key, bytes(32)
            platform.fleet_key = key
            await asyncio.sleep(2.0)
            platform.restore(copied)
            self.assertEqual(replaced, platform.fleet_key)
            await asyncio.sleep(2.6)
            self.assertEqual(key, platform.fleet_key)
            self.assertEqual(
                [key] * 2,
                [each._link_key._key.value for each in deployment.daemons],
            )

        scenario(check)

    def test_value_that_is_no_key_is_not_asked_for_again(self):
        """An unusable key in the store must not cause calls without end."""

        class Platform:
            calls = 0

            async def write_fleet_key(self, key, withdrawn):
                self.calls += 1
                return result.Failure(coordination.CallFault.UNREADABLE)

        async def check():
            platform = Platform()
            keeper = link_key.LinkKey(
                platform, fleet_key.FleetKey(), None, random.Random(1)
            )
            running = asyncio.create_task(keeper.run())
            keeper.missing()
            await asyncio.sleep(60.0)
            running.cancel()
            self.assertEqual(1, platform.calls)

        gateway_deployment.run(check())

    def test_daemon_that_left_stays_away(self):
        """An entry in the copy must not bring a daemon back that has left."""
        catalog = daemon_catalog.DaemonCatalog()
        entry = coordination.DaemonEntry("d", "d:1", "a", "boot-1", 1)
        catalog.changed({"d": entry}, now=1.0)
        catalog.changed({"d": None}, now=2.0)
        catalog.restored({"d": entry}, 2, now=3.0)
        self.assertEqual({}, catalog.entry_by_id)
        # The store is read again, for example after failed polls.
        catalog.listed({"d": entry}, now=3.5)
        self.assertEqual({}, catalog.entry_by_id)
        again = coordination.DaemonEntry("d", "d:1", "a", "boot-1", 2)
        catalog.changed({"d": again}, now=4.0)
        self.assertEqual({"d": again}, catalog.entry_by_id)

    def test_daemon_that_started_again_replaces_its_copy(self):
        """The copy must not bring back an earlier incarnation."""
        catalog = daemon_catalog.DaemonCatalog()
        first = coordination.DaemonEntry("d", "d:1", "a", "boot-1", 1)
        second = coordination.DaemonEntry("d", "d:1", "a", "boot-2", 1)
        catalog.changed({"d": first}, now=1.0)
        catalog.changed({"d": second}, now=2.0)
        catalog.restored({"d": first}, 2, now=3.0)
        self.assertEqual({"d": second}, catalog.entry_by_id)

    def test_daemon_that_the_copy_lacks_stays(self):
        """A missing entry must not take a daemon out of use at once."""

        async def check(deployment):
            platform = deployment.platform
            await asyncio.sleep(3.0)
            copied = platform.copy()
            copied["daemon_by_id"].clear()
            copied["_daemon_by_lease"].clear()
            counts = []
            for daemon in deployment.daemons:
                daemon.relay.use_daemons = lambda entries: counts.append(
                    len(entries)
                )
            platform.restore(copied)
            await asyncio.sleep(12.0)
            self.assertEqual({3}, set(counts))

        scenario(check, daemons=3)


class TestMembers(testtools.TestCase):
    """Entries of members in the first list after a restore."""

    def entry(self, sequence, state=manifest.MemberState.READY, started_ms=1):
        """Return an entry of a member."""
        return manifest.MemberEntry(
            id="m",
            group="g",
            address="a:1",
            domain="a",
            slots=1,
            state=state,
            leads=False,
            started_ms=started_ms,
            sequence=sequence,
        )

    def test_older_entry_is_not_used(self):
        """A member that drains must not be used again."""
        draining = self.entry(7, manifest.MemberState.DRAINING)
        catalog = member_catalog.MemberCatalog()
        catalog.changed({"m": draining}, now=1.0)
        catalog.restored({"m": self.entry(5)}, now=2.0)
        self.assertEqual({"m": draining}, catalog.entry_by_id)
        self.assertEqual([], catalog.remove_departed(now=9.0))

    def test_member_that_left_stays_away(self):
        """The copy must not bring back a member; its address may be reused."""
        catalog = member_catalog.MemberCatalog()
        catalog.changed(
            {"m": self.entry(7, manifest.MemberState.DRAINING)}, now=1.0
        )
        catalog.changed({"m": None}, now=2.0)
        self.assertEqual(["m"], catalog.remove_departed(now=2.0))
        catalog.restored({"m": self.entry(5)}, now=3.0)
        self.assertEqual({}, catalog.entry_by_id)
        again = self.entry(1, started_ms=2)
        catalog.changed({"m": again}, now=4.0)
        self.assertEqual({"m": again}, catalog.entry_by_id)

    def test_member_that_only_lapsed_is_used_again(self):
        """A member that was cut off from the store must not stay unused.

        Its restored entry is the last one that it wrote, and the store tells
        of no change while the member goes on as before.
        """
        catalog = member_catalog.MemberCatalog()
        last = self.entry(7)
        catalog.changed({"m": last}, now=1.0)
        catalog.changed({"m": None}, now=2.0)
        self.assertEqual(["m"], catalog.remove_departed(now=5.0))
        catalog.restored({"m": last}, now=6.0)
        self.assertEqual([], catalog.use_doubted(now=11.0))
        self.assertEqual([last], catalog.use_doubted(now=12.0))
        self.assertEqual({"m": last}, catalog.entry_by_id)
        self.assertEqual([], catalog.use_doubted(now=13.0))

    def test_restored_entry_that_goes_again_is_not_used(self):
        """The entry of a member that has left must go without effect."""
        catalog = member_catalog.MemberCatalog()
        last = self.entry(7, manifest.MemberState.DRAINING)
        catalog.changed({"m": last}, now=1.0)
        catalog.changed({"m": None}, now=2.0)
        catalog.remove_departed(now=2.0)
        catalog.restored({"m": last}, now=6.0)
        # The store is read again, for example after failed polls.
        catalog.listed({"m": last}, now=7.0)
        self.assertEqual({}, catalog.entry_by_id)
        catalog.changed({"m": None}, now=9.0)
        self.assertEqual([], catalog.use_doubted(now=20.0))
        self.assertEqual({}, catalog.entry_by_id)

    def test_draining_member_that_the_copy_lacks_stays(self):
        """A missing entry does not tell that a draining member has left."""
        catalog = member_catalog.MemberCatalog()
        catalog.changed(
            {"m": self.entry(7, manifest.MemberState.DRAINING)}, now=1.0
        )
        catalog.restored({}, now=2.0)
        self.assertEqual([], catalog.remove_departed(now=3.0))
        self.assertEqual(["m"], catalog.remove_departed(now=4.6))
