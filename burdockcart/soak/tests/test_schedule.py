"""Guards the schedule of faults."""

import testtools

from burdockcart.soak import schedule

Kind = schedule.Kind
DAEMON_KINDS = (
    Kind.STOP,
    Kind.RELOAD,
    Kind.FREEZE,
    Kind.KILL,
    Kind.CUT_PRIMARY,
)


def faults(unplanned):
    """Return the faults of many seeds."""
    return [
        fault
        for seed in range(50)
        for fault in schedule.generate(
            seed, 60.0, 4, unplanned, unplanned, unplanned, unplanned
        )
    ]


class TestSchedule(testtools.TestCase):
    """Seeded faults."""

    def test_same_seed(self):
        """Guards against a run that its seed does not repeat."""
        self.assertEqual(
            schedule.generate(3, 60.0, 4), schedule.generate(3, 60.0, 4)
        )
        self.assertNotEqual(
            schedule.generate(3, 60.0, 4), schedule.generate(4, 60.0, 4)
        )

    def test_others_stay(self):
        """Guards against seeds that mean another run than before."""
        for seed in range(50):
            others = schedule.generate(seed, 60.0, 4)
            both = schedule.generate(
                seed, 60.0, 4, restores=True, odd_entries=True, cuts=True
            )
            self.assertLess(len(others), len(both))
            self.assertEqual([], [each for each in others if each not in both])

    def test_every_kind_occurs(self):
        """Guards against a fault that is never injected."""
        self.assertEqual(set(Kind), {fault.kind for fault in faults(True)})

    def test_planned_work_only(self):
        """Guards against an unplanned fault that excuses cut requests."""
        self.assertEqual(
            schedule.PLANNED, {fault.kind for fault in faults(False)}
        )

    def test_targets_and_times(self):
        """Guards against faults of daemons or members that do not exist."""
        for fault in faults(True):
            self.assertTrue(0 <= fault.at_s < 60.0)
            targets = [-1]
            if fault.kind in DAEMON_KINDS:
                targets = range(4)
            elif fault.kind.value.startswith("link"):
                targets = range(schedule.MEMBERS)
            elif fault.kind is Kind.ODD_ENTRY:
                targets = range(schedule.ODD_ENTRIES)
            self.assertIn(fault.target, targets)
