"""Guards the distribution of the tables to all daemons under failures."""

import asyncio
from unittest import mock

import testtools

from burdockcart.process import peer_messages
from burdockcart.tests import table_fleet
from burdockcart.tests import virtual_time
from burdockcart.version import change
from burdockcart.version import distribution
from burdockcart.version import table_store

#: Bound from apply until the version is in force on every daemon
#: (guarantee P9).
IN_FORCE_S = 4.0


class TestTableTask(testtools.TestCase):
    """A version reaches every daemon and never goes back."""

    def run_with(self, scenario, **fields):
        async def body():
            fleet = table_fleet.TableFleet(**fields)
            await fleet.start()
            try:
                self.assertEqual({1}, fleet.versions())
                await scenario(fleet)
                self.assertEqual([], fleet.reverts)
            finally:
                await fleet.stop()

        virtual_time.run(body())

    async def assert_in_force(self, fleet, version, names=None):
        taken = await fleet.wait_in_force(version, IN_FORCE_S, names)
        self.assertIsNotNone(taken, (version, fleet.used_by_id))

    def test_change_reaches_every_daemon_by_few_watchers(self):
        """Guards against more watches than the store can serve."""

        async def scenario(fleet):
            watchers = [
                name
                for name, task in fleet.task_by_id.items()
                if task.is_watcher
            ]
            self.assertEqual(6, len(watchers))
            calls = {n: s.calls for n, s in fleet.store_by_id.items()}
            await fleet.apply()
            await self.assert_in_force(fleet, 2)
            quiet = set(fleet.task_by_id) - set(watchers)
            for name in quiet:
                self.assertEqual(calls[name], fleet.store_by_id[name].calls)

        self.run_with(scenario, per_domain=6)

    def test_store_down_for_long(self):
        """Guards against lost tables or slow recovery after an outage."""

        async def scenario(fleet):
            fleet.set_outage(True)
            failed = await fleet.apply()
            self.assertEqual(1, failed.code)
            await asyncio.sleep(120)
            self.assertEqual({1}, fleet.versions())
            fleet.set_outage(False)
            await fleet.apply()
            await self.assert_in_force(fleet, 2)

        self.run_with(scenario)

    def test_failure_domain_cut_off(self):
        """Guards against a partitioned domain that loses or keeps old tables.

        It must serve the old version during the partition and get the new
        one after it.
        """

        async def scenario(fleet):
            inside = fleet.domain("d1")
            outside = fleet.domain("d2") + fleet.domain("d3")
            fleet.wire.cut_between(inside, [*outside, "store"])
            await fleet.apply()
            await self.assert_in_force(fleet, 2, outside)
            await asyncio.sleep(60)
            self.assertEqual({1}, fleet.versions(inside))
            fleet.wire.heal()
            await self.assert_in_force(fleet, 2)

        self.run_with(scenario)

    def test_restart_while_store_is_down(self):
        """Guards against a restarted daemon without tables."""

        async def scenario(fleet):
            await fleet.apply()
            await self.assert_in_force(fleet, 2)
            fleet.set_outage(True)
            for name in ("d1-0", "d1-1", "d2-0"):
                await fleet.stop_daemon(name)
                fleet.start_daemon(name)
                fleet.used_by_id[name] = 1
            await self.assert_in_force(fleet, 2)

        self.run_with(scenario)

    def test_restart_before_the_list_of_hosts_arrives(self):
        """Guards against older versions in force while a daemon catches up."""

        async def scenario(fleet):
            for _ in range(5):
                await fleet.apply()
            await self.assert_in_force(fleet, 6)
            name = next(
                name
                for name, task in fleet.task_by_id.items()
                if not task.is_watcher
            )
            await fleet.stop_daemon(name)
            live = table_fleet.EditableDaemonList()
            live.daemon_by_id[name] = fleet.fleet.daemon_by_id[name]
            fleet.used_by_id[name] = 5
            fleet.start_daemon(name, live)
            await asyncio.sleep(0.02)
            live.daemon_by_id = fleet.fleet.daemon_by_id
            await self.assert_in_force(fleet, 6)

        self.run_with(scenario)

    def test_newest_peer_dies_while_a_daemon_starts(self):
        """Guards against an older version in force after a restart."""

        async def scenario(fleet):
            for _ in range(4):
                await fleet.apply()
            await self.assert_in_force(fleet, 5)
            name, newest, stale = fleet.domain("d1")[:3]
            every = [*fleet.task_by_id, "store"]
            fleet.wire.cut_between([stale], every)
            await fleet.apply()
            await self.assert_in_force(
                fleet, 6, set(fleet.task_by_id) - {stale}
            )
            await fleet.stop_daemon(name)
            fleet.wire.heal()
            others = set(every) - {name, newest, stale}
            fleet.wire.cut_between([name, newest, stale], others)
            fleet.wire.cut_between([stale], [newest])
            fleet.used_by_id[name] = 5
            fleet.start_daemon(name)
            await asyncio.sleep(0.03)
            fleet.wire.cut_between([newest], [name])
            await asyncio.sleep(5.0)
            self.assertEqual({5}, fleet.versions([name]))
            fleet.wire.heal()
            await self.assert_in_force(fleet, 6)

        self.run_with(scenario)

    def test_whole_fleet_restarts(self):
        """Guards against all daemons reading the tables from the store."""

        async def scenario(fleet):
            for _ in range(5):
                await fleet.apply()
            await self.assert_in_force(fleet, 6)
            for name in fleet.fleet.daemon_by_id:
                await fleet.stop_daemon(name)
            for name in fleet.fleet.daemon_by_id:
                fleet.used_by_id[name] = 5
                fleet.start_daemon(name)
            await self.assert_in_force(fleet, 6)
            readers = [
                name
                for name, store in fleet.store_by_id.items()
                if store.calls > 5
            ]
            self.assertTrue(
                all(fleet.task_by_id[name].is_watcher for name in readers)
            )

        self.run_with(scenario)

    def test_restart_in_a_cut_off_domain_and_back(self):
        """Guards against a revert after a restart among outdated peers."""

        async def scenario(fleet):
            inside = fleet.domain("d1")
            others = [n for n in fleet.task_by_id if n not in inside]
            fleet.wire.cut_between(inside, [*others, "store"])
            await fleet.apply()
            await fleet.stop_daemon("d1-0")
            fleet.start_daemon("d1-0")
            fleet.used_by_id["d1-0"] = 0
            await asyncio.sleep(10)
            self.assertEqual({1}, fleet.versions(inside))
            fleet.set_outage(True)
            fleet.wire.heal()
            # Only peers of other failure domains have version 2 now.
            await self.assert_in_force(fleet, 2)

        self.run_with(scenario)

    def test_restart_beside_one_peer_that_is_behind(self):
        """Guards against use of the first answer instead of the newest."""

        async def scenario(fleet):
            fleet.wire.cut_between(["d1-1"], [*fleet.task_by_id, "store"])
            await fleet.apply()
            names = set(fleet.task_by_id) - {"d1-1"}
            await self.assert_in_force(fleet, 2, names)
            await fleet.stop_daemon("d1-0")
            fleet.wire.cut_between(["d1-0"], ["store"])
            fleet.wire.cut -= {("d1-0", "d1-1"), ("d1-1", "d1-0")}
            fleet.start_daemon("d1-0")
            await self.assert_in_force(fleet, 2, ["d1-0"])

        self.run_with(scenario)

    def test_both_watchers_of_a_domain_die(self):
        """Guards against a domain that receives no more changes."""

        async def scenario(fleet):
            dead = [
                name
                for name in fleet.domain("d1")
                if fleet.task_by_id[name].is_watcher
            ]
            for name in dead:
                await fleet.stop_daemon(name)
                fleet.task_by_id.pop(name)
            # The list of hosts still names them.
            await fleet.apply()
            await self.assert_in_force(fleet, 2)

        self.run_with(scenario, per_domain=6)

    def test_stale_peer_pushes_an_older_version(self):
        """Guards against a late message that reverts the version."""

        async def scenario(fleet):
            old = table_store.decode_value(
                fleet.operator.store.item_by_key[table_store.HEAD_KEY].value,
                table_store.Head,
            ).unwrap()
            await fleet.apply()
            await self.assert_in_force(fleet, 2)
            sender = fleet.peers_by_id["d1-0"]
            for peer in fleet.task_by_id:
                sender.send(peer, peer_messages.ChangePushed(old.change))
                sender.send(peer, peer_messages.TableVersionIs(1, "d1-0"))
            await asyncio.sleep(5)
            self.assertEqual({2}, fleet.versions())

        self.run_with(scenario)

    def test_corrupt_values_in_the_store(self):
        """Guards against a daemon that crashes on or uses corrupt tables."""

        async def scenario(fleet):
            store = fleet.operator.store
            good = store.item_by_key[table_store.HEAD_KEY].value
            for value in ("", "{", '{"version": 9}', good[:-9], "[" * 99999):
                store.put(table_store.HEAD_KEY, value, None, 0)
                await asyncio.sleep(2)
                self.assertEqual({1}, fleet.versions())
                self.assertEqual(1, (await fleet.apply()).code)
            store.put(table_store.HEAD_KEY, good, None, 0)
            await fleet.apply()
            await self.assert_in_force(fleet, 2)

        self.run_with(scenario, per_domain=2)

    def test_invalid_change_in_the_store_is_refused(self):
        """Guards against a row in force that `check` refuses."""

        async def scenario(fleet):
            wanted = table_fleet.usable_tables(0)
            head = table_store.Head(
                2,
                change.Change(
                    version=2,
                    parent=0,
                    id="x",
                    author="x",
                    time="-",
                    edits=change.difference(change.EMPTY, wanted),
                ),
            )
            value = table_store.encode_value(head)
            fleet.operator.store.put(table_store.HEAD_KEY, value, None, 0)
            await asyncio.sleep(5)
            self.assertEqual({1}, fleet.versions())

        self.run_with(scenario, per_domain=2)

    def test_restarts_during_outage_and_partition(self):
        """Guards against a revert when failures coincide."""

        async def scenario(fleet):
            inside = fleet.domain("d1")
            others = [n for n in fleet.task_by_id if n not in inside]
            for round_number in range(4):
                await fleet.apply()
                await self.assert_in_force(fleet, fleet.version)
                fleet.wire.cut_between(inside, [*others, "store"])
                fleet.set_outage(round_number % 2 == 1)
                for name in (inside[round_number], others[round_number]):
                    await fleet.stop_daemon(name)
                    fleet.start_daemon(name)
                    # It may start with the same version again, not an
                    # older one.
                    fleet.used_by_id[name] -= 1
                await asyncio.sleep(5)
                self.assertEqual({fleet.version}, fleet.versions())
                fleet.wire.heal()
                fleet.set_outage(False)

        self.run_with(scenario)

    def test_daemon_far_behind_takes_the_shards(self):
        """Guards against a daemon that needs changes no peer still has."""

        async def scenario(fleet):
            name = "d1-0"
            fleet.wire.cut_between([name], [*fleet.task_by_id, "store"])
            for _ in range(12):
                await fleet.apply()
            await self.assert_in_force(
                fleet, 13, set(fleet.task_by_id) - {name}
            )
            fleet.set_outage(True)
            fleet.wire.heal()
            await self.assert_in_force(fleet, 13)

        with mock.patch.object(distribution, "KEPT_CHANGES", 4):
            self.run_with(scenario, per_domain=2)
