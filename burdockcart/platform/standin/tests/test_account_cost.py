"""Guards the accounts whose cost is measured."""

import json

import testtools

from burdockcart.platform import formats
from burdockcart.platform.standin import account_cost

Variant = account_cost.Variant


def account(variant):
    """Return the accounts as a daemon reads them."""
    book = account_cost._accounts(variant, 1)
    body = {
        "version": 1,
        "routes": [],
        "services": [],
        "tenants": book.tenants(),
    }
    tables = formats.read_manifest(json.dumps(body).encode())
    return list(tables.account_by_name.values())


class TestAccounts(testtools.TestCase):
    """Accounts of each variant."""

    def test_limits(self):
        """Guards against a variant that measures another one's cost."""
        self.assertIsNone(account_cost._accounts(Variant.NONE, 1))
        limits_by_variant = {
            variant: {(each.rate_per_s, each.burst) for each in found}
            for variant in set(Variant) - {Variant.NONE}
            for found in [account(variant)]
        }
        self.assertEqual(
            {
                Variant.UNLIMITED: {(None, 0.0)},
                Variant.DIVIDED: {(1000.0, 1000.0)},
                Variant.SMALL: {(1000.0, 7.0)},
            },
            limits_by_variant,
        )

    def test_every_session_has_an_account(self):
        """Guards against sessions that share the tokens of one account."""
        found = account(Variant.SMALL)
        self.assertEqual(account_cost.SESSIONS, len(found))
        self.assertEqual([1] * len(found), [len(e.keys) for e in found])
