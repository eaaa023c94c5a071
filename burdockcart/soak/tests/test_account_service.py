"""Guards the report on the service of accounts within their rates."""

import testtools

from burdockcart.request import command
from burdockcart.soak import account_history
from burdockcart.soak import account_service
from burdockcart.soak import history as histories
from burdockcart.soak.tests import test_account_checks as accounts

Kind = command.CommandKind
Outcome = histories.Outcome
BUSY = {"outcome": Outcome.PROMISE, "detail": "BUSY over the rate"}


class TestService(testtools.TestCase):
    """Service of one account with a rate of 2 and a burst of 2."""

    def history(self, requests, disturbances=(), rate_per_s=2.0):
        """Return a history of requests."""
        account = accounts.account(
            "a1", accounts.KEY, rate_per_s=rate_per_s, burst=2.0
        )
        return histories.History(
            requests=requests,
            disturbances=list(disturbances),
            accounts=account_history.AccountRecord(
                versions=[accounts.version(1.0, account)]
            ),
        )

    def services(self, requests, **fields):
        """Return operations inside the rate, and how many were refused."""
        history = self.history(requests, **fields)
        offers = account_service.offers(history, history.accounts)
        found = account_service.services(offers, history.accounts)
        return [(each.inside, each.refused) for each in found]

    def sent(self, sent_at, attempt, **fields):
        """Return a statement."""
        return accounts.client(
            f"q{attempt}", sent_at=sent_at, attempt=attempt, **fields
        )

    def test_over_the_rate(self):
        """Guards against refusals over the rate that count as lost."""
        requests = [self.sent(10.0, n) for n in range(2)]
        requests += [self.sent(10.0, n, **BUSY) for n in range(2, 9)]
        self.assertEqual([(2, 0)], self.services(requests))

    def test_inside_the_rate(self):
        """Guards against refusals within the rate that are not counted."""
        requests = [self.sent(10.0 + n, n, **BUSY) for n in range(4)]
        self.assertEqual([(4, 4)], self.services(requests))

    def test_since_a_time(self):
        """Guards against a case's report of what came before its faults."""
        busy = [
            f"BUSY account 'a1' is over, retry after {n} ms" for n in (5, 7)
        ]
        requests = [self.sent(10.0, 0, **BUSY)]
        requests += [
            self.sent(20.0 + n, n + 1, outcome=Outcome.PROMISE, detail=text)
            for n, text in enumerate(busy)
        ]
        requests += [self.sent(30.0 + n, n + 9) for n in range(2)]
        history = self.history(requests)
        fields = account_service.since(history, 15.0).split()
        self.assertIn("inside_case=4", fields)
        self.assertIn("refused_inside_case=50.0%", fields)
        self.assertEqual(
            [("BUSY account * is over, retry after * ms", 2)],
            account_service.rejections(history, account_service.Since(15.0)),
        )

    def test_without_a_limit(self):
        """Guards against a missing rate that leaves nothing inside."""
        requests = [self.sent(10.0, n) for n in range(9)]
        self.assertEqual([(9, 0)], self.services(requests, rate_per_s=None))

    def test_transaction(self):
        """Guards against a count of the statements of a transaction."""
        begin = self.sent(10.0, 1, kind=Kind.BEGIN)
        refused = self.sent(10.1, 1, in_transaction=True, **BUSY)
        self.assertEqual([(1, 1)], self.services([begin, refused]))

    def test_settings_do_not_count(self):
        """Guards against operations that the daemon itself answers."""
        requests = [self.sent(10.0, n, kind=Kind.SET) for n in range(3)]
        self.assertEqual([], self.services(requests))

    def test_key_that_is_not_held(self):
        """Guards against refused keys that count as lost service."""
        requests = [self.sent(10.0, 1, key="key-none", **BUSY)]
        self.assertEqual([], self.services(requests))

    def test_calm(self):
        """Guards against faults that look like lost service in calm."""
        disturbances = [histories.Disturbance("kill", "1", 8.0, 9.0, False)]
        requests = [self.sent(10.0, 1, **BUSY), self.sent(14.0, 2)]
        text = account_service.summary(self.history(requests, disturbances))
        self.assertIn("inside=2 refused_inside=50.0%", text)
        self.assertIn("inside_calm=1 refused_inside_calm=0.0%", text)
        self.assertIn("worst_tenth=50.0%(a1)", text)

    def test_no_accounts(self):
        """Guards against a report of a run without accounts."""
        self.assertEqual("", account_service.summary(histories.History()))
