"""Rules that random orders of events seldom put to the test."""

import asyncio

import msgspec
import testtools

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.rates import division
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import shard_keeper
from burdockcart.process.rates import shard_ownership
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates import share_terms
from burdockcart.tests import gateway_deployment

SHARD = share_terms.Shard(0)
ACCOUNT = ids.AccountName("a")
HOLDERS = [share_terms.Holder((f"d{n}", n)) for n in range(3)]
LIMIT = share_ledger.Limit(20.0, 20.0)


def share(serial, rate=5.0, burst=4.0, tokens=0.0, renews=False):
    """Return a share."""
    return share_terms.Share(
        ACCOUNT, serial, rate, burst, tokens, renews=renews
    )


def demand(serial=0, per_s=4.0, wanted=0, returned=0.0, burst=0.0):
    """Return what a daemon reports."""
    return share_terms.Demand(
        ACCOUNT, 1, serial, per_s, wanted, returned, 5.0, burst
    )


class TestLocalShare(testtools.TestCase):
    """A daemon's share."""

    def setUp(self):
        super().setUp()
        self.local = local_shares.LocalShare(ACCOUNT, 0.0)

    def _admitted(self, now):
        return sum(self.local.spend(now) for _ in range(50))

    def test_continued_share_has_expired(self):
        """Its former owner may have granted it to another daemon."""
        self.local.apply(share(1, tokens=4.0), 1, 3.0, 0.0)
        self.local.apply(share(2, renews=True), 2, 6.0, 3.5)
        self.assertEqual(0, self._admitted(5.0))

    def test_share_that_is_continued_in_time(self):
        """Its tokens must not be lost."""
        self.local.apply(share(1, tokens=4.0), 1, 3.0, 0.0)
        self.local.apply(share(2, renews=True), 2, 6.0, 2.5)
        self.assertEqual(4, self._admitted(2.5))

    def test_share_of_another_owner(self):
        """What is left of an earlier owner's share must not be spent."""
        self.local.apply(share(1, tokens=4.0), 1, 9.0, 0.0)
        self.local.apply(share(1, tokens=1.0), 2, 9.0, 0.0)
        self.assertEqual(1, self._admitted(0.0))

    def test_suspension(self):
        """A host that was suspended must not spend what has expired."""
        self.local.apply(share(1, tokens=4.0), 1, 3.0, 0.0)
        self.assertEqual(0, self._admitted(3600.0))

    def test_refund_of_an_operation_of_an_earlier_share(self):
        """It must not add a token to a share that it was not taken from."""
        self.local.apply(share(1, rate=0.0, tokens=1.0), 1, 3.0, 0.0)
        self.assertEqual(1, self._admitted(2.9))
        self.local.apply(share(2, rate=0.0), 1, 9.0, 3.5)
        self.local.refund(3.6)
        self.assertEqual(0, self._admitted(3.6))

    def test_refund_of_an_operation_of_the_reserve(self):
        """Guards against a share that grows by tokens of the reserve."""
        self.local.apply(share(1, rate=0.0), 1, 99.0, 0.0)
        self.local.reserved(6.0)
        self.local.refund(7.0)
        self.assertEqual(0, self._admitted(7.0))

    def test_smaller_share_returns_tokens(self):
        """Tokens that no longer fit must go back to the owner, once."""
        self.local.apply(share(1, tokens=4.0), 1, 9.0, 0.0)
        self.local.apply(share(2, burst=1.0), 1, 9.0, 0.0)
        self.assertEqual(3.0, self.local.demand(0.0).returned)
        self.assertEqual(0.0, self.local.demand(0.0).returned)


class TestLedger(testtools.TestCase):
    """The owner's side."""

    def setUp(self):
        super().setUp()
        self.ledger = share_ledger.AccountLedger(LIMIT, 0.0, 0.0, 0.0)

    def _answer(self, holder, told, now, ends_at=100.0):
        return self.ledger.answer(HOLDERS[holder], told, True, ends_at, now)

    def test_tokens_of_a_share_that_has_expired(self):
        """They were granted again, and must not come back as well."""
        slow = share_ledger.Limit(2.0, 20.0)
        self.ledger = share_ledger.AccountLedger(slow, 0.0, 0.0, 0.0)
        first = self._answer(0, demand(wanted=9), 10.0, ends_at=10.5)
        self.assertGreater(first.tokens, 5.0)
        _, _, before = self.ledger.pool(10.6)
        self._answer(
            0, demand(first.serial, per_s=0.0, returned=first.tokens), 10.6
        )
        self.assertEqual(before, self.ledger.pool(10.6)[2])

    def test_tokens_that_passed_to_a_later_share(self):
        """They must count although the share that they came with has ended."""
        first = self._answer(0, demand(wanted=4), 1.0, ends_at=3.0)
        before = self.ledger.granted_burst
        told = demand(first.serial, wanted=2)
        later = self._answer(0, told, 2.9, ends_at=6.0)
        _, burst, _ = self.ledger.pool(3.1)
        self.assertAlmostEqual(LIMIT.burst, burst + before + later.tokens)
        self.assertEqual(LIMIT.burst, self.ledger.pool(6.0)[1])

    def test_tokens_of_a_share_that_is_given_up(self):
        """They must be available to other daemons at once."""
        first = self._answer(0, demand(wanted=9), 1.0)
        _, _, before = self.ledger.pool(1.0)
        self._answer(
            0, demand(first.serial, per_s=0.0, returned=first.tokens), 1.0
        )
        self.assertAlmostEqual(before + first.tokens, self.ledger.pool(1.0)[2])

    def test_nothing_is_granted_in_the_grace_period(self):
        """Shares of the former owner may still be spent."""
        ledger = share_ledger.AccountLedger(LIMIT, 0.0, 5.0, 0.0)
        told = demand(wanted=3)
        found = ledger.answer(HOLDERS[0], told, False, 100.0, 4.9)
        self.assertEqual((0, 0, 0), (found.rate, found.burst, found.tokens))
        self.assertGreater(found.next_ms, 0)

    def test_small_accounts_do_not_wait_for_the_grace_period(self):
        """Guards against refusals for a second after each change of owner.

        No share of them can be in use, as their burst is never divided.
        """
        small = share_ledger.Limit(5.0, 5.0)
        ledger = share_ledger.ShareLedger(
            share_terms.Term(9), 10.0, 11.0, {ACCOUNT}
        )
        ledger.use_limits({ACCOUNT: small, "large": LIMIT}, 10.0)
        told = [
            demand(wanted=1),
            msgspec.structs.replace(demand(wanted=1), account="large"),
        ]
        early = ledger.answer(HOLDERS[0], 1, told, 14.0, 10.05)
        self.assertEqual([0.0, 0.0], [each.tokens for each in early])
        later = ledger.answer(HOLDERS[0], 2, told, 14.0, 10.5)
        self.assertEqual([1.0, 0.0], [each.tokens for each in later])

    def test_continued_share_of_a_small_account(self):
        """It must not outlive an owner whose successor grants at once."""
        small = share_ledger.Limit(5.0, 5.0)
        ledger = share_ledger.AccountLedger(small, 10.0, 11.0, 10.0)
        told = demand(serial=7, burst=4.0)
        found = ledger.answer(HOLDERS[0], told, False, 14.0, 10.05)
        self.assertTrue(found.renews)
        self.assertEqual(1000 * share_terms.TOKEN_S, found.valid_ms)
        self.assertAlmostEqual(10.15, ledger.ends_at)

    def test_account_whose_limit_was_lowered_waits(self):
        """Guards against shares of the former limit that are still in use."""

        async def check():
            keeper = shard_keeper.ShardKeeper(
                SHARD, "d0", None, dict, clock.LoopClock(), True
            )
            keeper.use_limits({ACCOUNT: LIMIT})
            await asyncio.sleep(20.0)
            keeper.use_limits({ACCOUNT: share_ledger.Limit(5.0, 5.0)})
            await asyncio.sleep(shard_keeper.STEADY_S - 0.1)
            now = asyncio.get_running_loop().time()
            self.assertEqual([], keeper._undivided(now))
            self.assertEqual([ACCOUNT], keeper._undivided(now + 0.2))

        gateway_deployment.run(check())

    def test_nothing_is_continued_right_after_a_restore(self):
        """The former owner may still grant what its shares give up."""
        ledger = share_ledger.AccountLedger(LIMIT, 3.0, 4.0, 0.0)
        told = demand(serial=7, burst=4.0)
        found = ledger.answer(HOLDERS[0], told, False, 100.0, 2.9)
        self.assertEqual((0, 0), (found.rate, found.burst))
        found = ledger.answer(HOLDERS[0], told, False, 100.0, 3.1)
        self.assertEqual((5.0, 4.0), (found.rate, found.burst))
        self.assertTrue(found.renews)


class TestDivision(testtools.TestCase):
    """Division by demand."""

    def test_each_active_daemon_can_admit_an_operation(self):
        """A daemon with little demand must not be left without a token."""
        demands = {"a": 1000.0, "b": 0.01, "c": 0.01}
        bursts = division.divide_burst(20.0, demands)
        self.assertGreaterEqual(min(bursts.values()), 1)
        self.assertLessEqual(sum(bursts.values()), 10)

    def test_reserve(self):
        """A fifth is left for daemons that join, while demand allows it."""
        shares = division.divide_rate(100.0, {"a": 70.0, "b": 5.0})
        self.assertLessEqual(sum(shares.values()), 80.0)
        shares = division.divide_rate(100.0, {"a": 200.0, "b": 5.0})
        self.assertAlmostEqual(100.0, sum(shares.values()))


class TestOwnership(testtools.TestCase):
    """Who tries to own a shard."""

    def test_daemons_try_in_turn(self):
        """All daemons must not call the store when an owner is lost."""
        waits = []
        for rank in range(10):
            ownership = shard_ownership.ShardOwnership(ids.DaemonId("d"))
            ownership.hear(ids.StorePosition(5), None)
            ownership.use_rank(rank, 10.0)
            waits.append(ownership.due_at() - 10.0)
        self.assertEqual([0.0, 0.5, 1.0, 1.5], waits[:4])
        self.assertEqual({float("inf")}, set(waits[4:]))

    def test_owner_that_is_not_answered(self):
        """Authority must end before the lease does."""
        ownership = shard_ownership.ShardOwnership(ids.DaemonId("d"))
        ownership.acquired("lease", ids.StorePosition(5), 10.0)
        self.assertTrue(ownership.owns(12.79))
        self.assertFalse(ownership.owns(12.81))

    def test_key_of_a_daemon_that_is_alive(self):
        """One that others cannot reach must not cause calls all the time."""
        ownership = shard_ownership.ShardOwnership(ids.DaemonId("d"))
        calls = 0
        for tick in range(1000):
            now = tick / 100
            ownership.asked(now, 0.0)
            if ownership.attempting(now):
                calls += 1
                ownership.hear(ids.StorePosition(5), ids.DaemonId("x"))
                ownership.refused(now, True)
        self.assertLess(calls, 17)
