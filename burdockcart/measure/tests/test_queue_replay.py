"""Replays loads that queues handled badly, and checks the replay."""

import msgspec
import testtools

from burdockcart.measure import overload
from burdockcart.measure import queue_loads
from burdockcart.measure import queue_policies
from burdockcart.measure import queue_replay

LIMIT_ONLY = next(
    each for each in queue_policies.POLICIES if each.name == "limit"
)


def load(name, seed=5):
    """Return a load by its name; no policy was chosen with this seed."""
    return next(each for each in queue_loads.loads(seed) if each.name == name)


def row(name, policy, seed=5):
    """Return the figures of a load under a policy."""
    return overload.row(queue_replay.Replay(load(name), policy, seed).run())


def served(figures):
    """Return the share that was answered at all."""
    return figures["in_time"] + figures["late"]


class TestReplay(testtools.TestCase):
    """The replay itself."""

    def test_bound(self):
        """Guards against a bound that real orders exceed or that is loose.

        60 statements of 0.1 s arrive at once for 12 slots: 24 are in time.
        """
        arrivals = tuple(
            queue_loads.Arrival(
                at=0.0,
                kind="read",
                priority=1,
                goal_s=0.2,
                timeout_s=1.0,
                running_s=0.1,
            )
            for _ in range(60)
        )
        burst = queue_loads.Load(name="one burst", arrivals=arrivals)
        self.assertAlmostEqual(24, queue_loads.bound(burst), delta=2.5)
        halved = msgspec.structs.replace(burst, lost=(1, 0.1))
        self.assertAlmostEqual(20, queue_loads.bound(halved), delta=2.5)
        replay = queue_replay.Replay(burst, queue_policies.CURRENT).run()
        in_time = sum(each.how == "in time" for each in replay.outcomes)
        self.assertGreater(in_time, 4)
        self.assertLessEqual(in_time, 24)

    def test_every_arrival_ends_once(self):
        """Guards against statements that the replay loses."""
        for policy in queue_policies.POLICIES:
            lost = load("lost replica")
            replay = queue_replay.Replay(lost, policy).run()
            self.assertEqual(len(lost.arrivals), len(replay.outcomes))
            self.assertNotIn("", {each.how for each in replay.outcomes})


class TestLoads(testtools.TestCase):
    """Loads that the former decisions handled badly."""

    def assert_more_in_time(self, name, gain):
        """Compare the current policy with the former one."""
        former = row(name, queue_policies.FORMER)
        current = row(name, queue_policies.CURRENT)
        self.assertGreater(current["in_time"], former["in_time"] + gain)
        self.assertGreater(served(current), 0.98 * served(former))

    def test_usual_load(self):
        """Guards against slots that stay idle because of the limit."""
        current = row("usual", queue_policies.CURRENT)
        self.assertGreater(current["in_time"], 0.98)

    def test_rise(self):
        """Guards against answers that are late as they wait at a member."""
        self.assert_more_in_time("rise", 0.05)

    def test_hot_account(self):
        """Guards against a hot account's work in the members' queues."""
        self.assert_more_in_time("hot account", 0.05)

    def test_long_statements(self):
        """Guards against short work behind long work at a member."""
        self.assert_more_in_time("long", 0.08)

    def test_lost_replica(self):
        """Guards against full queues at the members that are left."""
        self.assert_more_in_time("lost replica", 0.06)

    def test_refused_clients_come_back_spread(self):
        """Guards against 400 clients that repeat at the same moment."""
        name = "herd with retries"
        former = row(name, LIMIT_ONLY)
        current = row(name, queue_policies.CURRENT)
        self.assertGreater(served(current), served(former) + 0.01)
