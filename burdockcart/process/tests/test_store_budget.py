"""Guards the store against overload by the daemons' calls."""

import asyncio
import random

import testtools

from burdockcart import clock
from burdockcart.process import store_budget
from burdockcart.tests import fake_store
from burdockcart.tests import fakes
from burdockcart.tests import virtual_time


class TestStoreBudget(testtools.TestCase):
    """A daemon keeps to its share and backs off after failures."""

    def calls_of(self, fleet_size, seconds, outage=False):
        """Return the times at which a busy daemon called the store."""

        async def body():
            store = fake_store.FakeStore("d", fakes.Wire())
            store.outage = outage
            at = []
            get = store.get

            async def counted(key):
                at.append(asyncio.get_running_loop().time())
                return await get(key)

            store.get = counted
            budget = store_budget.BudgetedStore(
                store, lambda: fleet_size, random.Random(7), clock.LoopClock()
            )
            try:
                async with asyncio.timeout(seconds):
                    while True:
                        await budget.get("k")
            except asyncio.TimeoutError:
                return at

        return virtual_time.run(body())

    def test_share_shrinks_with_the_fleet(self):
        """Guards against a fleet that exceeds the rate of the store."""
        limit = store_budget.LIMIT_BY_CALL["read"]
        few, many = self.calls_of(5, 60), self.calls_of(4800, 600)
        self.assertLessEqual(len(few), 60 * limit.rate + limit.burst)
        allowed = 600 * limit.fleet_rate / 4800 + limit.burst
        self.assertLessEqual(len(many), allowed + 1)
        self.assertGreater(len(many), allowed - 3)

    def test_limits_of_the_whole_fleet_are_below_the_store(self):
        """Guards against limits that together exceed the store's rate."""
        rate = {c: l.fleet_rate for c, l in store_budget.LIMIT_BY_CALL.items()}
        self.assertLess(rate["hosts"] + rate["watch"] + rate["read"], 2000)
        self.assertLess(rate["write"], 300)

    def test_outage_is_met_with_jittered_back_off(self):
        """Guards against a fleet that retries in step after an outage."""
        at = self.calls_of(5, 120, outage=True)
        gaps = [b - a for a, b in zip(at, at[1:])]
        longest = store_budget.LIMIT_BY_CALL["read"].backoff_s
        self.assertLess(gaps[0], 0.2)
        self.assertTrue(all(gap <= longest + 0.1 for gap in gaps))
        late = gaps[8:]
        self.assertGreater(min(late), longest / 2 - 0.1)
        self.assertGreater(max(late) - min(late), longest / 4)

    def test_watchers_notice_the_end_of_an_outage_in_time(self):
        """Guards against a backoff that delays a change past its bound."""
        self.assertLess(store_budget.LIMIT_BY_CALL["watch"].backoff_s, 2.0)
