"""Guards the accounts of a soak, and the clients that belong to them."""

import asyncio
import itertools
import json
import random

import testtools

from burdockcart.platform.standin import account_book
from burdockcart.platform.standin import identity
from burdockcart.soak import account_history
from burdockcart.soak import schedule

Kind = schedule.Kind


def new_book(seed=1):
    """Return the accounts of a seed."""
    return account_book.AccountBook(
        random.Random(seed), account_history.AccountRecord()
    )


def rngs():
    """Return a generator that is always the same."""
    return random.Random(1)


class TestAccountBook(testtools.TestCase):
    """Keys and rates of the manifest."""

    def change(self, book, kind, target=3, factor=1.0):
        """Change an account and write the manifest."""
        book.change(schedule.Fault(0.0, kind, target, factor=factor))
        book.acknowledged(float(len(book.record.versions)))

    def test_tenants(self):
        """Guards against a manifest without the fields of the page."""
        book = new_book()
        book.retire()
        tenants = json.loads(json.dumps(book.tenants()))
        self.assertEqual(12, len(tenants))
        names = {"name", "api-keys", "priority", "rate-per-s", "burst"}
        for each in tenants:
            self.assertEqual(names, set(each))
            self.assertEqual(2, len(each["api-keys"]))
            self.assertEqual(each["rate-per-s"], each["burst"])
        self.assertEqual(24, len({k for e in tenants for k in e["api-keys"]}))

    def test_record_is_what_is_written(self):
        """Guards against checks that compare with another manifest."""
        book = new_book()
        self.change(book, Kind.RATE_LOWERED, factor=1 / 3)
        for tenant, state in zip(
            book.tenants(), book.record.versions[-1].accounts
        ):
            self.assertEqual(tenant["rate-per-s"], state.rate_per_s)
            self.assertEqual(tenant["api-keys"], sorted(state.keys))

    def test_retired_key(self):
        """Guards against a removed key that no manifest ever had."""
        book = new_book()
        book.acknowledged(0.0)
        book.retire()
        book.acknowledged(1.0)
        first, second = book.record.versions
        self.assertEqual("tenant-0", first.holder(book.retired))
        self.assertIsNone(second.holder(book.retired))

    def test_removed_and_returned(self):
        """Guards against a key that is returned to another account."""
        book = new_book()
        keys = set(book.accounts[3].keys)
        for kind, left in (
            (Kind.KEY_REMOVED, 1),
            (Kind.KEYS_REMOVED, 0),
            (Kind.KEYS_RETURNED, 2),
        ):
            self.change(book, kind)
            found = book.record.versions[-1].account("tenant-3").keys
            self.assertEqual(left, len(found))
        self.assertEqual(keys, found)

    def test_rates(self):
        """Guards against rates below the usual demand, and lost changes."""
        book = new_book()
        account = book.accounts[3]
        usual = account.usual_per_s
        self.assertAlmostEqual(1.6, account.rate_per_s / usual)
        self.change(book, Kind.RATE_LOWERED, factor=0.5)
        self.assertAlmostEqual(0.8, account.rate_per_s / usual)
        self.change(book, Kind.RATE_RAISED, factor=2.0)
        self.assertAlmostEqual(1.6, account.rate_per_s / usual)


class TestIdentities(testtools.TestCase):
    """Keys and demand of the clients."""

    def test_each_key_has_a_client(self):
        """Guards against a removed key that nobody uses."""
        book = new_book()
        book.retire()
        used = {each.key(1) for each in identity.customers(book, rngs)}
        self.assertEqual({k for e in book.accounts for k in e.keys}, used)

    def test_strangers(self):
        """Guards against a bad key that is a real one."""
        book = new_book()
        book.acknowledged(0.0)
        bad = [each.key(1) for each in identity.strangers(book, rngs)]
        known = book.record.keys()
        self.assertEqual(
            [book.retired], [each for each in bad if each in known]
        )
        self.assertIn("", bad)

    def test_removed_key_is_used_on(self):
        """Guards against clients that know of a removal at once."""
        book = new_book()
        customer = next(identity.customers(book, lambda: random.Random(2)))
        removed = book.accounts[0].keys.pop(0)
        used = [customer.key(number) for number in range(100)]
        self.assertEqual(removed, used[0])
        self.assertIn(used[-1], book.accounts[0].keys)

    def test_all_keys_removed(self):
        """Guards against a client that has no key to come with."""
        book = new_book()
        customer = next(identity.customers(book, rngs))
        key = customer.key(1)
        book.accounts[0].keys.clear()
        self.assertEqual({key}, {customer.key(n) for n in range(100)})

    def test_demand(self):
        """Guards against clients that do not send what their account does."""
        book = new_book()
        account = book.accounts[0]
        users = list(
            itertools.takewhile(
                lambda each: each._account is account,
                identity.customers(book, rngs),
            )
        )

        async def mean_s():
            users[0]._due = asyncio.get_running_loop().time()
            begin_s = users[0]._due
            for _ in range(4000):
                users[0].pause_s()
            return (users[0]._due - begin_s) / 4000

        usual_s = len(users) / account.usual_per_s
        self.assertAlmostEqual(1, asyncio.run(mean_s()) / usual_s, 1)
        account.heat = 5.0
        self.assertAlmostEqual(5, usual_s / asyncio.run(mean_s()), 0)
