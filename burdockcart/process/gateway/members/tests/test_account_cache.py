"""Tests which connections are closed in favor of another account."""

import itertools

import testtools

from burdockcart.process.gateway.members import account_cache
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.gateway.members.tests import cache_model


def demand_of(rate_by_account, duration_s=60.0):
    """Return the demand of accounts with regular statements."""
    demand = account_cache.AccountDemand()
    for account, rate_per_s in rate_by_account.items():
        for number in range(int(duration_s * rate_per_s)):
            demand.record_use(account, (number + 1) / rate_per_s)
    return demand


class TestChoice(testtools.TestCase):
    """The rule on its own."""

    def closed(self, idle, open_by_account, demand, now=60.0):
        """Return the account whose connection is closed."""
        index = account_cache.least_useful(idle, open_by_account, demand, now)
        return idle[index].account

    def test_rare_use_is_closed_first(self):
        """A single statement must not displace an account's ten a second.

        With the least recently used one first, each of many accounts with
        one statement would close a connection that is needed at once.
        """
        demand = demand_of({"often": 10.0, "rare": 0.05})
        idle = [
            account_cache.IdleConnection("often", 59.8),
            account_cache.IdleConnection("rare", 59.9),
        ]
        for often in (1, 2):
            counts = {"often": often, "rare": 1}
            self.assertEqual("rare", self.closed(idle, counts, demand))

    def test_concurrent_statements_keep_connections(self):
        """An account must keep what it needs at the same time, and no more.

        Fifty statements a second that take 20 ms need two connections or
        three, but a sixth one is less useful than another account's first.
        """
        demand = demand_of({"busy": 50.0, "other": 1.0})
        idle = [
            account_cache.IdleConnection("busy", 59.9),
            account_cache.IdleConnection("other", 59.0),
        ]
        for count, closed in ((2, "other"), (3, "other"), (6, "busy")):
            counts = {"busy": count, "other": 1}
            self.assertEqual(closed, self.closed(idle, counts, demand))

    def test_past_demand_is_forgotten(self):
        """An account that has stopped must not keep its connections."""
        demand = demand_of({"was busy": 10.0})
        demand.record_use("new", 170.0)
        idle = [
            account_cache.IdleConnection("was busy", 60.0),
            account_cache.IdleConnection("new", 170.0),
        ]
        counts = {"was busy": 1, "new": 1}
        closed = self.closed(idle, counts, demand, now=171.0)
        self.assertEqual("was busy", closed)

    def test_many_accounts_take_bounded_memory(self):
        """Thousands of accounts must not stay in memory for ever."""
        demand = account_cache.AccountDemand()
        for number in range(20_000):
            demand.record_use(f"account-{number}", number * 0.1)
        self.assertLess(len(demand._uses_by_account), 4_000)

    def test_without_accounts(self):
        """The connection that was idle longest must be closed, as before."""
        demand = demand_of({None: 20.0})
        idle = [
            account_cache.IdleConnection(None, since)
            for since in (59.2, 59.1, 59.3)
        ]
        self.assertEqual(
            1, account_cache.least_useful(idle, {None: 3}, demand, 60.0)
        )


class TestShares(testtools.TestCase):
    """The limits with accounts."""

    def test_more_open_connections(self):
        """Keeping the share of a burst must gain what the page says.

        docs/design/account-connections.md has the whole table.
        """
        today = cache_model.play(7, 10, duration_s=300.0)
        kept = cache_model.play(10, 10, duration_s=300.0)
        self.assertGreater(kept.hits, 0.9)
        self.assertLess(kept.lost_slots, 0.6 * today.lost_slots)

    def test_one_holder_for_an_account(self):
        """Holders that are chosen by daemon must be the worse choice."""
        by_daemon = cache_model.play(10, 10, False, duration_s=300.0)
        by_account = cache_model.play(10, 10, True, duration_s=300.0)
        lost = by_daemon.lost_slots
        self.assertLess(by_account.lost_slots, 0.6 * lost)

    def test_sum_stays_within_the_member(self):
        """All daemons together must fit, also just after they restarted.

        The member still has the connections of the former processes then.
        Shares of one connection each cannot be made smaller.
        """
        sizes = itertools.product((16, 34, 46, 58, 70, 78, 136), range(1, 9))
        for connections, daemons in sizes:
            with self.subTest(connections=connections, daemons=daemons):
                kept, starting = (
                    connection_share.share_of(
                        connections, daemons, uptime_s, accounts=True
                    )
                    for uptime_s in (60.0, 1.0)
                )
                self.assertLessEqual(kept.hard_limit * daemons, connections)
                both = kept.hard_limit + starting.hard_limit
                if starting.hard_limit > 1:
                    self.assertLessEqual(both * daemons, 0.95 * connections)
