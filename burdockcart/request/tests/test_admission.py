"""Guards the order, the bounds and the refusals of a member's queue."""

import random

import testtools

from burdockcart.request import cost
from burdockcart.request.tests import member_simulation
from burdockcart.version import rows

WORK_S = {"quick": 0.02, "map": 2.0}


def service(kind, running):
    return WORK_S[kind]


def arrivals(source, rate, until):
    at = 0.0
    while (at := at + source.expovariate(rate)) < until:
        yield at


class TestAdmission(testtools.TestCase):
    def simulate(self, slots=2, running_time=service):
        return member_simulation.MemberSimulation(slots, running_time)

    def test_overload_yields_the_capacity_within_deadlines(self):
        """Guards against a queue whose answers all come too late."""
        source = random.Random(7)
        member = self.simulate()
        for at in arrivals(source, 300.0, 20.0):
            member.arrive(at, f"c{source.randrange(5)}", "quick")
        member.run()
        in_time = [w for now, _, w in member.answered if now <= w.deadline]
        self.assertGreater(len(in_time), 0.9 * 100 * 20)
        self.assertEqual(len(member.answered), len(in_time))
        late = [wait for _, wait, _, _ in member.refused if wait > 0.05]
        self.assertLess(len(late), 0.01 * len(member.refused))
        pauses = {failure.retry_after_ms for *_, failure in member.refused}
        self.assertGreater(len(pauses), 20)

    def test_busy_caller_does_not_crowd_out_another(self):
        """Guards against a caller that takes all slots of a member."""
        source = random.Random(8)
        member = self.simulate()
        for at in arrivals(source, 400.0, 10.0):
            member.arrive(at, "busy", "quick")
        for at in arrivals(source, 30.0, 10.0):
            member.arrive(at, "quiet", "quick")
        member.run()
        quiet = [w for _, _, w in member.answered if w.caller == "quiet"]
        lost = [w for _, _, w, _ in member.refused if w.caller == "quiet"]
        self.assertGreater(len(quiet), 0.97 * (len(quiet) + len(lost)))

    def test_earlier_deadline_goes_first(self):
        """Guards against urgent work that waits behind work with more time."""
        member = self.simulate(slots=1)
        member.arrive(0.0, "c", "quick", 9.0)
        member.arrive(0.001, "c", "quick", 5.0)
        member.arrive(0.002, "c", "quick", 1.0)
        member.run()
        order = [work.deadline for _, _, work in member.answered]
        self.assertEqual([9.0, 1.002, 5.001], order)

    def test_short_work_passes_long_work(self):
        """Guards against head-of-line blocking by long work."""
        source = random.Random(9)
        member = self.simulate()
        for at in arrivals(source, 1.0, 30.0):
            member.arrive(at, "desk", "map", 60.0)
        for at in arrivals(source, 10.0, 30.0):
            member.arrive(at, "founder", "quick", 2.0)
        member.run()
        waits = [
            now - arrived
            for now, arrived, work in member.answered
            if work.kind == "quick"
        ]
        self.assertLess(sorted(waits)[int(0.99 * len(waits))], 0.1)

    def test_long_work_finishes_beside_a_flood_of_short_work(self):
        """Guards against long work that never gets a slot."""
        source = random.Random(10)
        member = self.simulate()
        for at in arrivals(source, 200.0, 20.0):
            member.arrive(at, "founder", "quick", 1.0)
        for number in range(4):
            member.arrive(float(number), "desk", "map", 60.0)
        member.run()
        maps = [w for _, _, w in member.answered if w.kind == "map"]
        self.assertEqual(4, len(maps))

    def test_work_that_ran_long_is_long_the_next_time(self):
        """Guards against a declared class that running times contradict."""
        costs = cost.Costs()
        costs.learn("r", "k", 0.01, True)
        self.assertFalse(costs.is_long("r", "k", rows.Cost.SHORT))
        costs.learn("r", "k", cost.SHORT_BOUND_S * 1.5, True)
        self.assertTrue(costs.is_long("r", "k", rows.Cost.SHORT))
        for _ in range(50):
            costs.learn("r", "k", 0.01, True)
        self.assertFalse(costs.is_long("r", "k", rows.Cost.SHORT))

    def test_work_beyond_its_deadline_is_refused_at_once(self):
        """Guards against running work whose answer comes too late."""
        member = self.simulate()
        member.arrive(0.0, "c", "map", 9.0)
        member.arrive(3.0, "c", "map", 1.0)
        member.run()
        self.assertEqual(1, len(member.answered))
        self.assertEqual([0.0], [wait for _, wait, _, _ in member.refused])


class TestConcurrency(testtools.TestCase):
    def goodput(self, adaptive):
        """Return answers in time of a member that slows down under load."""
        source = random.Random(11)
        member = member_simulation.MemberSimulation(
            4, lambda kind, running: 0.01 * running**2
        )
        if not adaptive:
            member.admission.concurrency.observe = lambda *observed: None
        for at in arrivals(source, 60.0, 5.0):
            member.arrive(at, "c", "quick", 0.3)
        for at in arrivals(source, 300.0, 20.0):
            member.arrive(at + 5.0, "c", "quick", 0.3)
        member.run()
        return sum(now <= work.deadline for now, _, work in member.answered)

    def test_adaptive_limit_beats_the_fixed_one_under_contention(self):
        """Guards against a limit that ignores the measured latency."""
        adaptive, fixed = self.goodput(True), self.goodput(False)
        self.assertGreater(adaptive, 1.5 * fixed, (adaptive, fixed))

    def test_adaptive_limit_costs_nothing_without_contention(self):
        """Guards against a limit that leaves slots unused for no reason."""
        source = random.Random(12)
        member = member_simulation.MemberSimulation(
            4, lambda kind, running: source.expovariate(50.0)
        )
        for at in arrivals(source, 600.0, 20.0):
            member.arrive(at, "c", "quick")
        member.run()
        in_time = sum(now <= w.deadline for now, _, w in member.answered)
        self.assertGreater(in_time, 0.9 * 200 * 20)
