"""Guards the calls for the keys of shards of the accounts."""

import base64

import testtools

from burdockcart import ids
from burdockcart.platform import store_messages
from burdockcart.platform import store_values
from burdockcart.platform.tests import test_calls
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era

CallFault = coordination.CallFault
KEY = {
    "key": "quota/2",
    "value": base64.b64encode(b"d7").decode(),
    "revision": 40,
}


def acquire(store, expected=None):
    """Return a call that acquires a shard."""
    return store.client.acquire_shard(2, ids.DaemonId("d1"), 3.0, expected)


class TestShardCalls(testtools.TestCase):
    """Acquiring and renewing a key, and reading its owner."""

    def test_acquired(self):
        """The key must be written under its own lease, only if absent."""

        async def check(store):
            store.era = 1
            store.answer_by_path["/api/kv-lease"] = (200, {"lease": 9})
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 41})
            hold = (await acquire(store)).unwrap()
            self.assertEqual(coordination.Lease(1, 9), hold.lease)
            self.assertEqual(store_era.position(1, 41), hold.position)
            body = store.seen[-1].body
            self.assertIn(b'{"key":"quota/2","revision":0}', body)
            self.assertIn(b'"lease":9', body)

        test_calls.run(check)

    def test_taken(self):
        """The owner whose key there is must be told."""

        async def check(store):
            store.answer_by_path["/api/kv-lease"] = (200, {"lease": 9})
            store.answer_by_path["/api/kv-txn"] = (412, {"items": [KEY]})
            owner = (await acquire(store)).failure()
            self.assertEqual(coordination.ShardOwner("d7", 40), owner)

        test_calls.run(check)

    def test_without_an_answer(self):
        """A write that may have been executed must not make an owner."""

        async def check(store):
            store.answer_by_path["/api/kv-lease"] = (200, {"lease": 9})
            self.assertIs(
                CallFault.NO_ANSWER, (await acquire(store)).failure()
            )
            store.answer_by_path["/api/kv-txn"] = (500, {})
            self.assertIs(
                CallFault.NO_ANSWER, (await acquire(store)).failure()
            )

        test_calls.run(check)

    def test_restored_meanwhile(self):
        """A lease of another era must not hold the key, nor be renewed."""

        async def check(store):
            store.eras = iter([1, 2])
            store.answer_by_path["/api/kv-lease"] = (200, {"lease": 9})
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 41})
            self.assertIs(CallFault.RESTORED, (await acquire(store)).failure())
            renewed = await store.client.renew_shard(coordination.Lease(1, 9))
            self.assertIs(CallFault.RESTORED, renewed.failure())

        test_calls.run(check)

    def test_owners_among_changes(self):
        """A removed key must be told, and an unreadable one ignored."""
        rows = [
            KEY,
            {"key": "quota/3", "revision": 41, "tombstone": True},
            {"key": "quota/x", "revision": 42, "value": ""},
            {"key": "quota/1", "revision": 43, "value": "/w=="},
            {"key": "daemons/d1", "revision": 44, "value": ""},
        ]
        items = [store_messages.StoredItem(**row) for row in rows]
        owners = store_values.read_owners(items, ids.StoreEra(0))
        expected = {
            2: coordination.ShardOwner("d7", 40),
            3: coordination.ShardOwner(None, 41),
        }
        self.assertEqual(expected, owners)

    def test_first_owner(self):
        """The first change of this key must be returned, or the fault."""

        async def check(store):
            rows = [
                {"key": "quota/21", "revision": 30, "value": "ZDc="},
                {"key": "quota/2", "revision": 41, "tombstone": True},
                KEY,
            ]
            path = "/api/kv-watch"
            body = {"events": rows, "store-revision": 41}
            store.answer_by_path[path] = (200, body)
            first = (await store.client.read_first_owner(2)).unwrap()
            self.assertEqual(coordination.ShardOwner("d7", 40), first)
            self.assertIn("after=0", store.seen[-1].uri)
            found = await store.client.read_first_owner(3)
            self.assertIs(CallFault.MISSING, found.failure())
            store.answer_by_path[path] = (410, {})
            found = await store.client.read_first_owner(2)
            self.assertIs(CallFault.HISTORY_LOST, found.failure())

        test_calls.run(check)

    def test_taken_over(self):
        """A successor must replace only the key that it was offered."""

        async def check(store):
            store.era = 1
            offered = store_era.position(1, 40)
            store.client.eras.observe(ids.StoreEra(1))
            store.answer_by_path["/api/kv-lease"] = (200, {"lease": 9})
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 41})
            hold = await acquire(store, offered)
            self.assertEqual(store_era.position(1, 41), hold.unwrap().position)
            self.assertIn(
                b'{"key":"quota/2","revision":40}', store.seen[-1].body
            )
            store.answer_by_path["/api/kv-txn"] = (412, {"items": []})
            gone = await acquire(store, offered)
            self.assertIs(CallFault.CONFLICT, gone.failure())

        test_calls.run(check)

    def test_taken_over_after_a_restore(self):
        """A position of a former era must not match the restored key."""

        async def check(store):
            store.era = 2
            store.answer_by_path["/api/kv-lease"] = (200, {"lease": 9})
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 41})
            for _ in range(2):
                taken = await acquire(store, store_era.position(1, 40))
                self.assertIs(CallFault.RESTORED, taken.failure())
            paths = {request.path for request in store.seen}
            self.assertNotIn("/api/kv-txn", paths)

        test_calls.run(check)

    def test_read(self):
        """The position must be of the era that the answer shows."""

        async def check(store):
            store.era = 1
            store.answer_by_path["/api/kv-key"] = (200, KEY)
            owner = (await store.client.read_shard(2)).unwrap()
            position = store_era.position(1, 40)
            self.assertEqual(coordination.ShardOwner("d7", position), owner)
            self.assertEqual("key=quota%2F2", store.seen[-1].query)
            store.answer_by_path["/api/kv-key"] = (404, {})
            missing = await store.client.read_shard(2)
            self.assertIs(CallFault.MISSING, missing.failure())

        test_calls.run(check)
