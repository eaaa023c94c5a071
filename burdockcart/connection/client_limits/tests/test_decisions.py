"""Tests the decisions on the memory and the connections of clients."""

import testtools

from burdockcart.connection.client_limits import eviction
from burdockcart.connection.client_limits import limits
from burdockcart.connection.client_limits import memory_budget

Use = memory_budget.Use


def candidate(client, used=0, idle_s=5.0, greeted=True, working=False):
    """Return a candidate."""
    return eviction.Candidate(client, used, idle_s, greeted, working)


class TestBudget(testtools.TestCase):
    """Accounting of memory."""

    def test_sum_and_release(self):
        """Closing a connection must give back all that it used."""
        budget = memory_budget.MemoryBudget(100)
        budget.hold(1, Use.MESSAGE, 60)
        budget.hold(2, Use.UNSENT, 30)
        self.assertFalse(budget.fits(3, Use.MESSAGE, 11))
        self.assertTrue(budget.fits(1, Use.MESSAGE, 70))
        budget.release(1)
        self.assertEqual(30, budget.used)
        self.assertTrue(budget.fits(3, Use.MESSAGE, 70))

    def test_state_leaves_room(self):
        """State of sessions must not keep statements out."""
        budget = memory_budget.MemoryBudget(100)
        budget.hold(1, Use.STATE, 50)
        self.assertFalse(budget.fits(2, Use.STATE, 1))
        self.assertTrue(budget.fits(2, Use.MESSAGE, 50))

    def test_smaller_size_always_fits(self):
        """A use that shrinks must be allowed although all is used."""
        budget = memory_budget.MemoryBudget(10)
        budget.hold(1, Use.UNSENT, 20)
        self.assertTrue(budget.exceeded)
        self.assertTrue(budget.fits(1, Use.UNSENT, 15))


class TestEviction(testtools.TestCase):
    """Order in which connections are closed."""

    def test_largest_first(self):
        """The largest idle connection must go first."""
        found = eviction.for_memory(
            [
                candidate(1, 100_000, 9.0),
                candidate(2, 900_000, 2.0),
                candidate(3, 900_000, 3.0),
                candidate(4, 5_000_000, 0.1),
                candidate(5, 5_000_000, working=True),
            ],
            1.0,
        )
        self.assertEqual(3, found)

    def test_ordinary_clients_stay(self):
        """A client that uses little must not be closed for memory."""
        found = eviction.for_memory([candidate(1, 1000, 900.0)], 1.0)
        self.assertIsNone(found)

    def test_connections_without_message_first(self):
        """Half-open connections must go before idle sessions."""
        idle, half_open = candidate(1, idle_s=90.0), candidate(
            2, idle_s=2.0, greeted=False
        )
        self.assertEqual(2, eviction.for_connection([idle, half_open], 1.0))
        self.assertEqual(1, eviction.for_connection([idle], 1.0))
        self.assertIsNone(
            eviction.for_connection([candidate(1, working=True)], 1.0)
        )


class TestLimits(testtools.TestCase):
    """Limits that follow from the host."""

    def test_smallest_host(self):
        """The smallest host must hold the sessions of the platform."""
        found = limits.derive(200, 4300)
        self.assertGreater(found.clients, 1000)
        self.assertLess(found.memory_bytes, 200 * limits.MIB)
        self.assertGreater(found.memory_bytes, 32 * limits.MIB)
