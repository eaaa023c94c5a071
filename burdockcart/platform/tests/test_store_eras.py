"""Tests that positions and leases of one era of the store stay in it."""

import base64

import testtools

from burdockcart.platform import store_values
from burdockcart.platform.tests import test_calls
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era

CallFault = coordination.CallFault
EVENTS = {"events": [], "store-revision": 90}
RECORD = coordination.PromotionRecord("d1", "x", 5)


class TestEras(testtools.TestCase):
    """Calls before and after a restore of the store."""

    def test_poll_of_another_era(self):
        """A poll that a restored store answers must not count.

        Its revision was reached again, so the answer was empty, and the
        manifests below it were never seen.
        """

        async def check(store):
            store.answer_by_path["/api/kv-watch"] = (200, EVENTS)
            store.era = 1
            first = store_era.position(1, 80)
            store.client.eras.observe(1)
            self.assertEqual(
                store_era.position(1, 90),
                (await store.client.changes(first)).unwrap().position,
            )
            store.era = 2
            seen = await store.client.changes(first)
            self.assertIs(CallFault.RESTORED, seen.failure())
            self.assertEqual(2, store.client.eras.current)
            # It is not even asked for once the new era is known.
            asked = len(store.seen)
            seen = await store.client.changes(first)
            self.assertIs(CallFault.RESTORED, seen.failure())
            self.assertEqual(asked, len(store.seen))

        test_calls.run(check)

    def test_late_answer_of_the_era_before(self):
        """An answer that was under way across a restore must not count."""

        async def check(store):
            store.answer_by_path["/api/kv-watch"] = (200, EVENTS)
            store.era = 1
            store.client.eras.observe(2)
            seen = await store.client.changes(store_era.position(2, 10))
            self.assertIs(CallFault.RESTORED, seen.failure())
            self.assertEqual(2, store.client.eras.current)

        test_calls.run(check)

    def test_claim_across_a_restore(self):
        """A record at the expected revision may be another one.

        The claim must fail, and tokens of a later era must be higher.
        """

        async def check(store):
            store.client.eras.observe(1)
            store.era = 1
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 90})
            known = store_era.position(1, 80)
            before = await store.client.claim_promotion("g", RECORD, known)
            store.era = 2
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 41})
            lost = await store.client.claim_promotion("g", RECORD, known)
            self.assertIs(CallFault.RESTORED, lost.failure())
            absent = store_era.position(2, 0)
            after = await store.client.claim_promotion("g", RECORD, absent)
            self.assertGreater(after.unwrap(), before.unwrap())

        test_calls.run(check)

    def test_lease_of_another_era(self):
        """A lease that is given out again belongs to another daemon."""

        async def check(store):
            store.client.eras.observe(2)
            store.era = 2
            lease = coordination.Lease(1, 7)
            for call in (
                store.client.renew_daemon,
                store.client.unregister_daemon,
            ):
                self.assertIs(
                    CallFault.RESTORED, (await call(lease)).failure()
                )
            self.assertEqual([], store.seen)

        test_calls.run(check)

    def test_withdrawal_removes_the_own_entry_only(self):
        """A daemon that leaves after a restore must spare its successor."""
        entry = coordination.DaemonEntry("d1", "10.0.0.1:1", "a", "boot-1")

        async def check(store):
            key = store_values.DAEMON_PREFIX + "d1"
            value = {
                "address": "10.0.0.1:1",
                "domain": "a",
                "incarnation": "boot-2",
            }
            store.answer_by_path["/api/kv-key"] = (
                200,
                test_calls.item(key, value),
            )
            left = await store.client.withdraw_daemon(entry)
            self.assertIs(CallFault.MISSING, left.failure())
            value["incarnation"] = "boot-1"
            store.answer_by_path["/api/kv-key"] = (
                200,
                test_calls.item(key, value, revision=33),
            )
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 41})
            self.assertIsNone(
                (await store.client.withdraw_daemon(entry)).unwrap()
            )
            self.assertIn(b'"revision":33', store.seen[-1].body)

        test_calls.run(check)

    def test_key_that_was_withdrawn_is_replaced(self):
        """A valid key must stay, a withdrawn one must go."""
        old, key = bytes(32), bytes([1] * 32)

        async def check(store):
            found = test_calls.item(store_values.FLEET_KEY, {}, revision=33)
            found["value"] = base64.b64encode(old).decode()
            page = {"items": [found], "store-revision": 40}
            store.answer_by_path["/api/kv-range"] = (200, page)
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 41})
            kept = await store.client.write_fleet_key(key, set())
            self.assertEqual(old, kept.unwrap())
            self.assertEqual(1, len(store.seen))
            await store.client.write_fleet_key(key, {old})
            self.assertIn(b'"revision":33', store.seen[2].body)

        test_calls.run(check)

    def test_value_that_is_no_key_stays(self):
        """A mistake of whoever replaces the key must not be overwritten."""

        async def check(store):
            found = test_calls.item(store_values.FLEET_KEY, {}, revision=33)
            page = {"items": [found], "store-revision": 40}
            store.answer_by_path["/api/kv-range"] = (200, page)
            kept = await store.client.write_fleet_key(bytes(32), set())
            self.assertIs(CallFault.UNREADABLE, kept.failure())
            self.assertEqual(1, len(store.seen))

        test_calls.run(check)

    def test_pages_of_two_eras(self):
        """A list must not mix the stores before and after a restore."""

        async def check(store):
            page = {
                "items": [test_calls.item("servers/a", {})],
                "has-more": True,
                "store-revision": 9,
            }
            store.answer_by_path["/api/kv-range"] = (200, page)
            store.eras = iter([1, 2])
            read = await store.client.read_store()
            self.assertIs(CallFault.RESTORED, read.failure())

        test_calls.run(check)

    def test_store_that_answers_late_is_reachable(self):
        """An answer from before a restore must not isolate the daemon."""

        async def check(store):
            page = {"items": [], "store-revision": 9}
            store.answer_by_path["/api/kv-range"] = (200, page)
            store.era = 1
            store.client.eras.observe(2)
            self.assertTrue(await store.client.reachable())
            del store.answer_by_path["/api/kv-range"]
            self.assertFalse(await store.client.reachable())

        test_calls.run(check)

    def test_unusable_era(self):
        """An unusable header must not take the daemon down."""

        async def check(store):
            store.answer_by_path["/api/kv-watch"] = (200, EVENTS)
            for era in ("", "x", "-1", "9" * 5000, "1.5"):
                store.era = era
                seen = await store.client.changes(5)
                self.assertEqual(90, seen.unwrap().position)

        test_calls.run(check)
