"""Tests the table of clients' keys."""

import testtools

from burdockcart.version import account_keys
from burdockcart.version import manifest


def accounts(count, keys_each):
    """Return accounts with distinct keys."""
    return [
        manifest.Account(
            name=f"a{number}",
            keys=frozenset(f"key-{number}-{n}" for n in range(keys_each)),
        )
        for number in range(count)
    ]


class TestAccountKeys(testtools.TestCase):
    """Lookup of keys."""

    def test_thousands_of_keys(self):
        """Guards against a key that leads to another account or to none."""
        listed = accounts(2500, 2)
        keys = account_keys.AccountKeys(listed)
        found = [
            (account.name, keys.account_of(key))
            for account in listed
            for key in account.keys
        ]
        self.assertEqual(5000, len(found))
        self.assertEqual([], [pair for pair in found if pair[0] != pair[1]])

    def test_similar_keys_are_unknown(self):
        """Guards against a match of a part of a key, or of no key."""
        keys = account_keys.AccountKeys(accounts(1, 1))
        for key in ("", "key-0-", "key-0-00", "KEY-0-0", " key-0-0", "\udcff"):
            self.assertIsNone(keys.account_of(key))
        self.assertIsNone(keys.account_of_digest(None))

    def test_lookup_does_not_compare_keys(self):
        """Guards against a table of keys in clear text.

        Comparing them would take longer the more of a key is right, and a
        dump of the process would show them.
        """
        keys = account_keys.AccountKeys(accounts(3, 2))
        held = vars(keys)
        self.assertNotIn("key-", repr(held))
        (table,) = held.values()
        self.assertEqual([32] * 6, [len(bytes(each)) for each in table])

    def test_digest_survives_another_manifest(self):
        """Guards against sessions that lose their key with each manifest."""
        digest = account_keys.digest("key-1-0")
        for count in (2, 5):
            keys = account_keys.AccountKeys(accounts(count, 1))
            self.assertEqual("a1", keys.account_of_digest(digest))

    def test_texts_without_keys(self):
        """Guards against keys in log lines that quote a manifest."""
        found = manifest.Manifest(
            version=1,
            route_by_database={},
            limits_by_group={},
            transaction_idle_s=1.0,
            account_by_name={each.name: each for each in accounts(2, 2)},
        )
        self.assertNotIn("key-", f"{found} {found!r}")
