"""Compares what is kept for a list of daemons with what the list gives."""

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart.connection import member_health
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.gateway.promotion import turn
from burdockcart.process.gateway.store import daemon_catalog
from burdockcart.process.peers import holder_choice
from burdockcart.process.peers import holding
from burdockcart.process.peers.tests import test_holding

DAEMONS = [f"d{number}" for number in range(12)]
#: Domain and start of each listed daemon.
LISTS = strategies.lists(
    strategies.dictionaries(
        strategies.sampled_from(DAEMONS),
        strategies.tuples(
            strategies.sampled_from("ab"), strategies.sampled_from("12")
        ),
    ),
    min_size=2,
    max_size=6,
)
#: Connections of a member that 12 daemons do not all hold.
CONNECTIONS = (3, 16, 24)


def entries(listed):
    """Return the registrations of a list."""
    return [
        test_holding.coordination.DaemonEntry(each, f"{each}:1", domain, start)
        for each, (domain, start) in listed.items()
    ]


class TestCachedChoices(testtools.TestCase):
    """Kept choices after each change of the list of daemons."""

    @hypothesis.given(LISTS, strategies.data())
    @hypothesis.settings(deadline=None)
    def test_holders(self, lists, data):
        """Guards against holders of an earlier list of daemons."""
        found = holding.Holding("d0", test_holding.Clock())
        for listed in lists:
            found.use_daemons(entries(listed))
            asked = data.draw(strategies.sets(strategies.sampled_from("ab")))
            for domain in sorted(asked):
                member = test_holding.member(domain)
                for connections in CONNECTIONS:
                    self.check_holders(found, member, connections, listed)

    def check_holders(self, found, member, connections, listed):
        """Compare the holders with those ranked from the whole list."""
        holders = found.holders(member, connections)
        if holders is None:
            self.assertTrue(found.holds(member, connections))
            return
        ranked = holder_choice.rank(member.id, member.domain, entries(listed))
        last = holders.count + holding.SUCCESSORS
        self.assertEqual(tuple(ranked[:last]), holders.ranked)
        self.assertEqual(
            "d0" in [each.id for each in ranked[: holders.count]],
            found.holds(member, connections),
        )

    @hypothesis.given(LISTS)
    def test_turns(self, lists):
        """Guards against an order of daemons that are no longer listed."""
        listed = []
        ranks = turn.Ranks("d0", lambda: listed)
        for each in lists:
            # The same list, changed in place.
            listed[:] = each
            for group in ("g", "h", "g"):
                self.assertEqual(
                    turn.rank("d0", group, listed), ranks.rank(group)
                )

    @hypothesis.given(LISTS)
    def test_listed_daemons(self, lists):
        """Guards against a set of daemons that differs from the entries."""
        catalog = daemon_catalog.DaemonCatalog()
        for number, listed in enumerate(lists):
            entry_by_id = {each.id: each for each in entries(listed)}
            catalog.listed(entry_by_id, float(number))
            self.assertEqual(set(listed), catalog.daemons)
            self.assertIs(catalog.daemons, catalog.daemons)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9), strategies.sampled_from((0.5, 4.0))
            )
        )
    )
    def test_highest_count(self, steps):
        """Guards against a highest count that has left the window."""
        count = connection_share.DaemonCount(4, 0.0)
        now, recorded = 0.0, [(0.0, 4)]
        for value, pause_s in steps:
            now += pause_s
            recorded.append((now, value))
            highest = max(
                seen
                for at, seen in recorded
                if now - at <= connection_share.COUNT_WINDOW_S
            )
            self.assertEqual(highest, count.record_count(value, now))


class TestOldestStatement(testtools.TestCase):
    """Age of the oldest statement that only the member can delay."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9),
                strategies.booleans(),
                strategies.sampled_from((None, True, False)),
            )
        )
    )
    def test_oldest(self, statements):
        """Guards against an age of a statement that its relay delays."""
        health = member_health.MemberHealth(0.0)
        for sent_at, writes, silent in statements:
            health.record_sent(
                sent_at,
                writes,
                silent if silent is None else lambda s=silent: s,
            )
        awaited = [each for each in statements if not each[2]]
        self.assertEqual(
            10.0 - min((sent_at for sent_at, _, _ in awaited), default=10.0),
            health.longest_wait_s(10.0),
        )
        self.assertEqual(
            min((at for at, writes, _ in awaited if writes), default=None),
            health.oldest_write_at(),
        )
