"""Guards the budget of an idle daemon at sizes that are counted quickly."""

import loguru
import testtools

from burdockcart.measure import idle_cost


class TestIdleCost(testtools.TestCase):
    """Counts of 4 and 12 daemons."""

    def setUp(self):
        super().setUp()
        loguru.logger.disable("burdockcart")
        self.addCleanup(loguru.logger.enable, "burdockcart")

    def test_budget(self):
        """Guards against idle work above the budget, or that grows."""
        few, calls = idle_cost.count(4, 4)
        more, _ = idle_cost.count(12, 4)
        self.assertLessEqual(few.calls, idle_cost.CALLS_BUDGET[4])
        # Otherwise the scans are not counted.
        self.assertGreater(
            calls["process/gateway/promotion/failover.py:Failover.scan"], 0
        )
        self.assertLessEqual(
            more.calls, idle_cost.GROWTH_BUDGET * few.calls, (few, more)
        )
        self.assertGreater(few.store_calls, 0)
