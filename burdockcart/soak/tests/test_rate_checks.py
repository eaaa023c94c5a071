"""Guards the check of operations in a window; each has a good history."""

import testtools

from burdockcart.request import command
from burdockcart.soak import account_history
from burdockcart.soak import checks
from burdockcart.soak import history as histories
from burdockcart.soak.tests import test_account_checks
from burdockcart.soak.tests import test_checks

Kind = command.CommandKind
KEY = test_account_checks.KEY
#: (10 x 5 + 10) x 1.1 + 20.
BOUND = 86
#: (2 x 5 + 2) x 1.1 + 20, rounded down.
LOWERED_BOUND = 33


def accounts(rate_per_s, *keys):
    """Return one account whose burst is its rate."""
    return test_account_checks.account(
        "a1", *(keys or [KEY]), rate_per_s=rate_per_s, burst=rate_per_s or 0
    )


def version(at, rate_per_s, *keys):
    """Return a manifest of one account."""
    return test_account_checks.version(at, accounts(rate_per_s, *keys))


def operations(count, begin=100.0, length_s=4.9, **fields):
    """Return single statements that are spread over a time, and arrived."""
    sent = [
        test_account_checks.client(
            f"q{begin}-{place}",
            sent_at=begin + length_s * place / count,
            attempt=int(begin * 1000) + place,
            **fields,
        )
        for place in range(count)
    ]
    return [(each, test_account_checks.arrival(each)) for each in sent]


def fault(begin, end, kind="store down"):
    """Return an unplanned fault."""
    return histories.Disturbance(kind, "-1", begin, end, False)


class TestRate(testtools.TestCase):
    """RATE: operations in a window."""

    def rules(self, arrived, versions=(), disturbances=()):
        """Return the broken rules."""
        history = histories.History(
            requests=[sent for sent, _ in arrived],
            statements=[each for _, each in arrived],
            disturbances=list(disturbances),
            accounts=account_history.AccountRecord(
                versions=list(versions or [version(1.0, 10.0)])
            ),
        )
        found = checks.violations(history, test_checks.LIMITS)
        return [each.rule for each in found]

    def test_bound(self):
        """Guards against another bound than that of the page."""
        self.assertEqual([], self.rules(operations(BOUND)))
        self.assertEqual(["RATE"], self.rules(operations(BOUND + 1)))

    def test_across_fixed_windows(self):
        """Guards against windows that begin at multiples of their length."""
        arrived = operations(BOUND + 1, begin=102.6)
        self.assertEqual(["RATE"], self.rules(arrived))

    def test_excess_later(self):
        """Guards against windows that begin at the first operation only."""
        arrived = operations(1, begin=50.0) + operations(BOUND + 1)
        self.assertEqual(["RATE"], self.rules(arrived))

    def test_transactions_that_last(self):
        """Guards against transactions that count when they end."""
        first = operations(BOUND + 1, in_transaction=True)
        last = operations(BOUND + 1, 110.0, 60.0, in_transaction=True)
        for place, ((sent, begun), (end, ended)) in enumerate(
            zip(first, last)
        ):
            sent.attempt = end.attempt = place
            begun.transaction = ended.transaction = place
        self.assertEqual(["RATE"], self.rules(first + last))

    def test_two_windows(self):
        """Guards against a count of more than one window."""
        arrived = operations(BOUND) + operations(BOUND, begin=105.1)
        self.assertEqual([], self.rules(arrived))

    def test_sent_before_the_window(self):
        """Guards against a count of arrivals after a fault of the network."""
        waited = operations(BOUND, begin=90.0)
        for place, (_, each) in enumerate(waited):
            each.at = 100.0 + place / 100
        arrived = waited + operations(BOUND)
        self.assertEqual([], self.rules(arrived))

    def test_arrived_after_the_window(self):
        """Guards against a count of what was sent only."""
        arrived = operations(2 * BOUND)
        for _, each in arrived[BOUND:]:
            each.at += 15.0
        self.assertEqual([], self.rules(arrived))

    def test_transaction_counts_once(self):
        """Guards against a count of the statements of a transaction."""
        inside = operations(BOUND + 1, in_transaction=True)
        for place, (sent, each) in enumerate(inside):
            sent.attempt = each.transaction = place // 2
        self.assertEqual([], self.rules(inside))

    def test_statement_that_is_sent_twice(self):
        """Guards against a count of the daemon's own repetitions."""
        arrived = operations(BOUND)
        repeated = [
            (sent, test_account_checks.arrival(sent, after_s=0.01))
            for sent, _ in arrived
        ]
        for _, each in repeated:
            each.fault = "BUSY"
        self.assertEqual([], self.rules(arrived + repeated))

    def test_sum_of_all_keys_and_daemons(self):
        """Guards against a bound for each key or daemon."""
        arrived = operations(50) + operations(
            50, begin=100.05, key="key-three", session=2, daemon="d1"
        )
        versions = [version(1.0, 10.0, KEY, "key-three")]
        self.assertEqual(["RATE"], self.rules(arrived, versions))
        self.assertEqual([], self.rules(arrived[14:], versions))

    def test_no_limit(self):
        """Guards against a missing rate that counts as none at all."""
        versions = [version(1.0, None)]
        self.assertEqual([], self.rules(operations(500), versions))

    def test_raised_limit(self):
        """Guards against a raised limit that counts too late."""
        versions = [version(1.0, 2.0), version(99.0, 10.0)]
        self.assertEqual([], self.rules(operations(BOUND), versions))
        versions = [version(1.0, 2.0), version(110.0, 10.0)]
        self.assertEqual(["RATE"], self.rules(operations(BOUND), versions))

    def lowered(self, begin, disturbances=()):
        """Return the rules broken some time after a limit was lowered."""
        versions = [version(1.0, 10.0), version(50.0, 2.0)]
        arrived = operations(LOWERED_BOUND + 1, begin=begin)
        return self.rules(arrived, versions, disturbances)

    def test_lowered_limit(self):
        """Guards against a lowered limit that never counts, or too early."""
        self.assertEqual([], self.lowered(57.9))
        self.assertEqual(["RATE"], self.lowered(58.1))

    def test_lowered_limit_within_its_bound(self):
        """Guards against a bound below the lowered limit."""
        versions = [version(1.0, 10.0), version(50.0, 2.0)]
        arrived = operations(LOWERED_BOUND, begin=58.1)
        self.assertEqual([], self.rules(arrived, versions))

    def test_lowered_limit_during_a_fault(self):
        """Guards against daemons that must know what they cannot read."""
        down = [fault(51.0, 56.0), fault(60.0, 61.0)]
        # In contact from 63.0 to 66.0, and one window later.
        self.assertEqual([], self.lowered(70.9, down))
        self.assertEqual(["RATE"], self.lowered(71.1, down))

    def test_lowered_limit_during_another_fault(self):
        """Guards against faults of members that put off a lowered limit."""
        silent = [fault(51.0, 90.0, "link silent")]
        self.assertEqual(["RATE"], self.lowered(58.1, silent))

    def test_worst_window_only(self):
        """Guards against one violation for each of many windows."""
        arrived = operations(400, length_s=15.0)
        self.assertEqual(["RATE"], self.rules(arrived))
