"""Counts the shares in the reports of accounts that ask for tokens."""

import asyncio
from unittest import mock

import testtools

from burdockcart import ids
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import share_terms
from burdockcart.process.rates.tests import rate_case
from burdockcart.tests import virtual_time

SHARD = share_terms.Shard(0)
#: Accounts of this shard.
NAMES = [
    name
    for name in (ids.AccountName(f"a{number}") for number in range(64))
    if share_terms.shard_of(name) == SHARD
][:6]
RATE = 500.0


class TestReportCost(testtools.TestCase):
    """Reports of a daemon to itself as the owner."""

    def test_shares_in_reports(self):
        """Guards against reports of all accounts whenever one asks.

        They were half of what a divided rate added to the CPU time of a
        statement: each operation without a token causes one.
        """
        counts = {"shares": 0, "reports": 0}
        report = local_shares.LocalShares.report

        def counted(shares, shard, now):
            found = report(shares, shard, now)
            counts["shares"] += len(found)
            counts["reports"] += 1
            return found

        async def play():
            deployment = rate_case.RateDeployment(
                [rate_case.account(name, RATE) for name in NAMES], daemons=2
            )
            await deployment.settle()
            owner = deployment.owner(NAMES[0])
            with mock.patch.object(
                local_shares.LocalShares, "report", counted
            ):
                await asyncio.gather(
                    *(
                        deployment.send(owner, 60.0, 2.0, name=name)
                        for name in NAMES
                    )
                )
            tallies = [deployment.tally[name] for name in NAMES]
            self.assertEqual([], [each for t in tallies for each in t.refused])
            await deployment.stop()

        virtual_time.run(play())
        self.assertGreater(counts["reports"], 100)
        self.assertLess(counts["shares"], 2 * counts["reports"])


class TestDueShares(testtools.TestCase):
    """Which shares a report contains."""

    def setUp(self):
        super().setUp()
        self.shares = local_shares.LocalShares()
        for name in NAMES[:2]:
            self.shares.share(name, 0.0).offered(0.0)

    def reported(self, now):
        """Return the accounts in a report."""
        return [each.account for each in self.shares.report(SHARD, now)]

    def answer(self, now):
        """Use an answer to a report of both accounts."""
        granted = [
            share_terms.Share(name, 1, 5.0, 5.0, 5.0, 0) for name in NAMES[:2]
        ]
        self.shares.apply(SHARD, granted, share_terms.Term(1), now, 3000, now)

    def test_report_without_an_answer(self):
        """A report that was lost must be repeated at once."""
        self.assertEqual(NAMES[:2], self.reported(0.0))
        self.assertEqual(NAMES[:2], self.reported(0.01))

    def test_waiting_operation(self):
        """An account that waits must be reported, whenever it was before."""
        self.answer(0.0)
        self.assertEqual([], self.reported(0.01))
        self.shares.share(NAMES[1], 0.0).waiting += 1
        self.assertEqual(NAMES[1:2], self.reported(0.01))

    def test_interval(self):
        """Each report after a pause must contain all shares.

        Shares that are left out for longer expire, or do not follow demand.
        """
        self.answer(0.0)
        later = local_shares.SETTLED_S
        self.assertLess(later, share_terms.REPORT_S)
        self.assertEqual(NAMES[:2], self.reported(later))

    def test_idle_share(self):
        """An idle share must be given up with the next report."""
        self.answer(share_terms.IDLE_S - 0.01)
        self.assertEqual(NAMES[:2], self.reported(share_terms.IDLE_S))
        self.assertFalse(self.shares.active(SHARD))
        self.assertIsNone(self.shares.known(NAMES[0]))
