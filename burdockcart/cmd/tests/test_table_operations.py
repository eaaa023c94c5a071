"""Guards the operators' commands against races and lost answers."""

import asyncio
import pathlib
import tempfile
from unittest import mock

import testtools

from burdockcart.cmd import history
from burdockcart.cmd import main
from burdockcart.cmd import rollback
from burdockcart.cmd import show
from burdockcart.cmd import table_operations
from burdockcart.process import table_reader
from burdockcart.tests import fake_store
from burdockcart.tests import fakes
from burdockcart.tests import table_fleet
from burdockcart.tests import virtual_time
from burdockcart.version import table_files
from burdockcart.version import table_store


def request(change_id, base=0, **fields):
    """Return a request of an operator."""
    return table_operations.Request(
        author=fields.pop("author", "ana"),
        time=f"2026-12-04T07:00:00.{fields.pop('ms', 0):03}+00:00",
        change_id=change_id,
        base=base,
        **fields,
    )


class TestTableOperations(testtools.TestCase):
    """A change takes effect once, or not at all with a reason."""

    def run_with(self, scenario):
        async def body():
            wire = fakes.Wire()
            store = fake_store.FakeStore("operator", wire)
            command_result = await self.apply(store, 2, request("first"))
            self.assertEqual(
                (0, 1), (command_result.code, command_result.version)
            )
            await scenario(store)

        virtual_time.run(body())

    async def apply(self, store, slots, asked):
        return await table_operations.apply_tables(
            store, asked, table_fleet.usable_tables(slots)
        )

    async def slots(self, store):
        read = await table_operations.read_tables(store)
        return read.unwrap()[1].pool_by_name["p"].slots_per_member

    def test_two_operators_race(self):
        """Guards against the second operator undoing the first's change."""

        async def scenario(store):
            other = fake_store.FakeStore("other", store.wire, store.store)
            endings = await asyncio.gather(
                self.apply(store, 3, request("a", 1)),
                self.apply(other, 4, request("b", 1)),
            )
            self.assertEqual([0, 3], sorted(each.code for each in endings))
            winner, loser = sorted(endings, key=lambda each: each.code)
            slots = await self.slots(store)
            self.assertIn(
                f"~ pools [p] slots_per_member: 2 -> {slots}", loser.lines
            )
            self.assertEqual(2, winner.version)

        self.run_with(scenario)

    def test_base_version_that_is_no_longer_in_force(self):
        """Guards against edits that are based on an old version."""

        async def scenario(store):
            await self.apply(store, 3, request("a", 1))
            command_result = await self.apply(store, 4, request("b", 1))
            self.assertEqual(3, command_result.code)
            self.assertIn(
                "~ pools [p] slots_per_member: 2 -> 3", command_result.lines
            )
            command_result = await self.apply(store, 4, request("b", None))
            self.assertEqual(2, command_result.code)
            self.assertEqual(3, await self.slots(store))

        self.run_with(scenario)

    def test_answer_lost_after_the_change_took_effect(self):
        """Guards against a change that is applied twice."""

        async def scenario(store):
            store.lose_answers = 1
            command_result = await self.apply(store, 3, request("a", 1))
            self.assertEqual(
                (0, 2), (command_result.code, command_result.version)
            )
            # The operator's own retry is recognised as well.
            command_result = await self.apply(store, 3, request("a", 1))
            self.assertEqual(
                (0, 2), (command_result.code, command_result.version)
            )
            read = await table_reader.read_snapshot(store)
            self.assertEqual(2, read.unwrap().version)

        self.run_with(scenario)

    def test_answer_lost_and_another_operator_next(self):
        """Guards against a change reported as lost that took effect."""

        async def scenario(store):
            put = store.put

            async def put_and_lose(key, value, expected):
                answer = await put(key, value, expected)
                if key != table_store.HEAD_KEY:
                    return answer
                store.put = put
                other = fake_store.FakeStore("other", store.wire, store.store)
                later = await self.apply(other, 4, request("b", 2))
                self.assertEqual(3, later.version)
                return await fakes_no_answer(store)

            async def fakes_no_answer(store):
                store.outage = True
                answer = await store.get("x")
                store.outage = False
                return answer

            store.put = put_and_lose
            command_result = await self.apply(store, 3, request("a", 1))
            self.assertEqual(
                (0, 2), (command_result.code, command_result.version)
            )

        self.run_with(scenario)

    def test_store_down(self):
        """Guards against an unclear end while the store is down."""

        async def scenario(store):
            store.outage = True
            command_result = await self.apply(store, 3, request("a", 1))
            self.assertEqual(1, command_result.code)
            self.assertIn("nothing changed", command_result.lines[0])
            store.outage = False
            put = store.put

            async def no_put(key, value, expected):
                store.outage = True
                return await put(key, value, expected)

            store.put = no_put
            command_result = await self.apply(store, 3, request("a", 1))
            self.assertEqual(4, command_result.code)
            self.assertIn("--change-id a", command_result.lines[1])

        self.run_with(scenario)

    def test_risky_change_needs_the_flag(self):
        """Guards against a slip that halves a pool."""

        async def scenario(store):
            await self.apply(store, 4, request("a", 1))
            command_result = await self.apply(store, 2, request("b", 2))
            self.assertEqual(5, command_result.code)
            self.assertEqual(4, await self.slots(store))
            asked = request("c", 2, allow_risky=True)
            self.assertEqual(0, (await self.apply(store, 2, asked)).code)

        self.run_with(scenario)

    def test_rollback_writes_a_new_version(self):
        """Guards against a version number that goes back."""

        async def scenario(store):
            await self.apply(store, 3, request("a", 1))
            command_result = await rollback.roll_back(store, request("r"), 1)
            self.assertEqual(
                (0, 3), (command_result.code, command_result.version)
            )
            self.assertEqual(2, await self.slots(store))

        self.run_with(scenario)

    def test_merge_keeps_the_change_of_the_other(self):
        """Guards against a merge that drops or overwrites rows."""

        async def scenario(store):
            await self.apply(store, 3, request("a", 1))
            wanted = table_fleet.usable_tables(2)
            routes = dict(wanted.route_by_name)
            routes.pop("archive")
            asked = request("b", 1, merge=True, allow_risky=True)
            wanted = type(wanted)(0, routes, wanted.pool_by_name)
            command_result = await table_operations.apply_tables(
                store, asked, wanted
            )
            self.assertEqual(0, command_result.code, command_result.lines)
            self.assertEqual(3, await self.slots(store))
            read = await table_operations.read_tables(store)
            self.assertEqual({"push"}, set(read.unwrap()[1].route_by_name))

        self.run_with(scenario)

    def test_audit_trail_offline(self):
        """Guards against a trail that is lost with the store."""

        async def scenario(store):
            await self.apply(store, 4, request("a", 1, ms=1))
            await self.apply(store, 2, request("b", 2, ms=2, author="eva"))
            await self.apply(store, 3, request("c", 1, ms=3))
            with tempfile.TemporaryDirectory() as name:
                file = pathlib.Path(name) / "trail"
                await history.history(store, 0, file)
                entries = history.import_lines(file.read_bytes())
            found = [(e.author, e.parent, e.version) for e in entries]
            self.assertEqual(
                [
                    ("ana", 0, 1),
                    ("ana", 1, 2),
                    ("eva", 2, None),
                    ("ana", 1, None),
                ],
                found,
            )
            self.assertIn("slots fall from", entries[2].reason)
            self.assertEqual(4, len(list(history.lines_of(entries, 9))))

        self.run_with(scenario)

    def test_operator_that_died_after_the_commit(self):
        """Guards against a missing record of a committed change."""

        async def scenario(store):
            store.store.delete(table_store.change_key(1), 0)
            store.store.delete(table_store.audit_key(1), 0)
            await self.apply(store, 3, request("a", 1))
            entries = (await history.read_entries(store)).unwrap()
            self.assertEqual([1, 2], [entry.version for entry in entries])
            read = await table_reader.read_snapshot(store)
            self.assertEqual({1, 2}, read.unwrap().recorded_versions)

        self.run_with(scenario)

    def test_storage_stays_bounded(self):
        """Guards against change records that are never removed."""

        async def scenario(store):
            for version in range(1, 300):
                asked = request(f"c{version}", version)
                command_result = await self.apply(
                    store, 3 + version % 2, asked
                )
                self.assertEqual(0, command_result.code, command_result.lines)
            keys = store.store.item_by_key
            records = [k for k in keys if "change/" in k]
            # Each apply folds 2 of 256 shards, so 128 records are needed.
            self.assertLess(len(records), 128 + 16)
            self.assertEqual(
                table_store.SHARDS, len([k for k in keys if "shard/" in k])
            )
            self.assertEqual(4, await self.slots(store))

        with mock.patch.object(table_store, "KEPT_CHANGES", 16):
            self.run_with(scenario)

    def test_show_to_a_folder_gives_the_base_version(self):
        """Guards against an edit that starts from an unknown version."""

        async def scenario(store):
            with tempfile.TemporaryDirectory() as name:
                folder = pathlib.Path(name)
                await show.show(store, None, folder)
                self.assertEqual(1, table_operations.read_base(folder))
                tables = table_files.read(folder, 0).unwrap()
            self.assertEqual(
                table_fleet.usable_tables(2).pool_by_name, tables.pool_by_name
            )

        self.run_with(scenario)

    def test_bad_folder_ends_with_usage(self):
        """Guards against bad files that reach the store."""
        with tempfile.TemporaryDirectory() as name:
            for command in ("check", "plan", "apply"):
                argv = [command, name]
                if command != "check":
                    # No platform listens there; it must not be contacted.
                    argv += ["--platform", "127.0.0.1:1"]
                self.assertEqual(2, main.main(argv))
