"""Tests how the list of daemons divides a member's connections."""

import testtools

from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import holder_choice
from burdockcart.process.peers import holding
from burdockcart.version import manifest


class Clock:
    """A clock that the test sets."""

    time = 100.0

    def now(self):
        """Return the set time."""
        return self.time


def entries(count, domain="a"):
    """Return registrations of daemons in one failure domain."""
    return [
        coordination.DaemonEntry(f"d{each}", f"d{each}:1", domain, "1")
        for each in range(count)
    ]


def member(domain="a"):
    """Return a member's entry."""
    return manifest.MemberEntry(
        id="m",
        group="g",
        address="m:1",
        domain=domain,
        slots=4,
        state=manifest.MemberState.READY,
        leads=True,
        started_ms=1,
    )


class TestHolding(testtools.TestCase):
    """Shares of one daemon."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.holding = holding.Holding("d0", self.clock)
        self.clock.time += 60.0

    def test_departed_daemons_count_for_a_while(self):
        """Their connections may stand; later the rest may use them."""
        self.holding.use_daemons(entries(4))
        before = self.holding.share(member(), 32)
        self.holding.use_daemons(entries(2))
        self.assertEqual(before, self.holding.share(member(), 32))
        self.clock.time += 16.0
        self.holding.recount()
        after = self.holding.share(member(), 32)
        self.assertEqual(2 * before.soft_limit, after.soft_limit)

    def test_holders_are_near(self):
        """The holders of a member must be in its failure domain."""
        self.holding.use_daemons(entries(30) + entries(77, "b")[30:])
        found = self.holding.holders(member("a"), 58)
        active = found.ranked[: found.count]
        self.assertEqual({"a"}, {each.domain for each in active})

    def test_all_daemons_agree(self):
        """Daemons with the same list must choose the same holders."""
        other = holding.Holding("d7", self.clock)
        listed = entries(77)
        self.holding.use_daemons(listed)
        other.use_daemons(reversed(listed))
        self.assertEqual(
            self.holding.holders(member(), 58), other.holders(member(), 58)
        )

    def test_lost_holder_changes_one(self):
        """The loss of a holder must leave the others in place."""
        listed = entries(77)
        self.holding.use_daemons(listed)
        found = self.holding.holders(member(), 58)
        lost = found.ranked[0]
        self.holding.use_daemons([each for each in listed if each != lost])
        rest = self.holding.holders(member(), 58)
        self.assertEqual(
            found.ranked[1 : found.count],
            rest.ranked[: found.count - 1],
        )

    def test_drafted_daemon(self):
        """A daemon that others relay through holds the member for a time."""
        self.holding.use_daemons(entries(77))
        found = self.holding.holders(member(), 58)
        outsider = next(
            each.id
            for each in entries(77)
            if each not in found.ranked[: found.count]
        )
        drafted = holding.Holding(outsider, self.clock)
        drafted.use_daemons(entries(77))
        self.assertFalse(drafted.holds(member(), 58))
        drafted.draft("m")
        self.assertTrue(drafted.holds(member(), 58))
        self.clock.time += holding.DRAFTED_S + 0.1
        self.assertFalse(drafted.holds(member(), 58))

    def test_share_of_a_leaving_daemon(self):
        """A leaving holder makes room; without holders its share stays."""
        for count, expected in ((40, (0, 4)), (4, (2, 3))):
            clock = Clock()
            held = holding.Holding("d1", clock)
            clock.time += 60.0
            held.use_daemons(entries(count))
            held.draft("m")
            held.leaving = True
            share = held.share(member(), 16)
            self.assertEqual(expected, (share.soft_limit, share.hard_limit))

    def test_daemons_that_may_connect(self):
        """Who may pass on a commit must be told of a promotion call.

        A daemon that drains leaves the list, and still serves its clients.
        """
        listed = entries(4)
        self.holding.note_listed(listed)
        self.holding.use_daemons(listed)
        self.holding.note_listed(listed[:2])
        self.holding.use_daemons(listed[:2])
        self.assertEqual({"d1", "d2", "d3"}, self.connecting(16))
        # Another process has the address of one of them.
        other = coordination.DaemonEntry("e2", "d2:1", "a", "1")
        self.holding.note_listed([*listed[:2], other])
        self.assertEqual({"d1", "d3", "e2"}, self.connecting(16))
        self.clock.time += holding.LEFT_S + 0.1
        self.assertEqual({"d1", "e2"}, self.connecting(16))

    def test_few_may_connect_in_a_large_fleet(self):
        """Thousands of daemons must not be told."""
        listed = entries(4000)
        self.holding.note_listed(listed)
        self.holding.use_daemons(listed)
        ranked = self.holding.holders(member(), 58).ranked
        self.assertEqual(
            {each.id for each in ranked} - {"d0"}, self.connecting(58)
        )

    def test_holder_of_a_former_list(self):
        """It holds the member by its own list, and by those that relay."""
        listed = entries(300)
        self.holding.note_listed(listed)
        self.holding.use_daemons(listed)
        ranked = self.holding.holders(member(), 58).ranked
        # Daemons start that hold the member from now on.
        more = [
            coordination.DaemonEntry(f"e{each}", f"e{each}:1", "a", "1")
            for each in range(3000)
        ]
        self.holding.note_listed(listed + more)
        self.holding.use_daemons(listed + more)
        former = {each.id for each in ranked}
        self.assertEqual(set(), former - {"d0"} - self.connecting(58))

    def connecting(self, connections):
        """Return the ids of those that may connect directly."""
        found = self.holding.connecting(member(), connections)
        return {each.id for each in found}

    def test_order_by_account(self):
        """All daemons must use the same holder for an account.

        Without accounts each keeps an order of its own, so that the holders
        share the load; accounts must be spread over the holders, too.
        """
        self.holding.use_daemons(entries(77))
        found = self.holding.holders(member(), 58)

        def first(daemon, account=None):
            order, _ = holder_choice.in_order(daemon, "m", found, account)
            return order[0].id

        names = [f"d{each}" for each in range(77)]
        for account in ("one", "other"):
            self.assertEqual(1, len({first(each, account) for each in names}))
        self.assertEqual(found.count, len({first(each) for each in names}))
        used = {first("d0", f"account-{each}") for each in range(75)}
        self.assertEqual(found.count, len(used))
