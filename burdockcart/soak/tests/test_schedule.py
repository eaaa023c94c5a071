"""Guards the schedule of faults."""

import collections

import testtools

from burdockcart.soak import account_cases
from burdockcart.soak import account_schedule
from burdockcart.soak import schedule

Kind = schedule.Kind
DAEMON_KINDS = (
    Kind.STOP,
    Kind.RELOAD,
    Kind.FREEZE,
    Kind.KILL,
    Kind.CUT_PRIMARY,
    Kind.STORE_CUT,
)
ACCOUNT_KINDS = schedule.PLANNED_OF_ACCOUNTS


def faults(unplanned):
    """Return the faults of many seeds."""
    return [
        fault
        for seed in range(50)
        for fault in schedule.generate(
            seed, 60.0, 4, unplanned, unplanned, unplanned, unplanned, True
        )
    ]


def account_faults(unplanned):
    """Return the changes of accounts of many seeds."""
    return [
        fault
        for seed in range(50)
        for fault in account_schedule.generate(seed, 60.0, 4, unplanned)
    ]


def case_faults():
    """Return the faults of the named cases of many seeds."""
    return [
        fault
        for seed in range(50)
        for name in account_cases.CaseName
        for fault in account_cases.generate(name, seed, 4)
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
                seed,
                60.0,
                4,
                restores=True,
                odd_entries=True,
                cuts=True,
                large_manifests=True,
            )
            self.assertLess(len(others), len(both))
            self.assertEqual([], [each for each in others if each not in both])

    def test_every_kind_occurs(self):
        """Guards against a fault that is never injected."""
        found = faults(True) + account_faults(True) + case_faults()
        self.assertEqual(set(Kind), {fault.kind for fault in found})

    def test_planned_work_only(self):
        """Guards against an unplanned fault that excuses cut requests."""
        self.assertEqual(
            schedule.PLANNED, {fault.kind for fault in faults(False)}
        )
        self.assertEqual(
            schedule.PLANNED_OF_ACCOUNTS,
            {fault.kind for fault in account_faults(False)},
        )

    def test_no_accounts_by_default(self):
        """Guards against a default run that changes accounts."""
        kinds = {fault.kind for fault in faults(True)}
        others = (
            schedule.PLANNED_OF_ACCOUNTS
            | schedule.PLANNED_OF_CASES
            | {Kind.STORE_CUT, Kind.KILL_OWNER}
        )
        self.assertEqual(set(), kinds & others)

    def test_same_changes_of_accounts(self):
        """Guards against changes of accounts that a seed does not repeat."""
        first, again, other = (
            account_schedule.generate(seed, 60.0, 4) for seed in (3, 3, 4)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_restored_keys(self):
        """Guards against a store that never goes back to a removed key."""
        found = account_faults(True)
        restores = [e for e in found if e.kind is Kind.STORE_RESTORED]
        removals = [
            e.at_s
            for e in found
            if e.kind in (Kind.KEY_REMOVED, Kind.KEYS_REMOVED)
        ]
        self.assertTrue(restores)
        for each in restores:
            copied_s = each.at_s - each.age_s
            self.assertTrue(any(copied_s < at <= each.at_s for at in removals))

    def test_cuts_of_one_half_and_all(self):
        """Guards against keys that are never removed during a cut."""
        cuts = collections.Counter(
            (seed, fault.at_s)
            for seed in range(50)
            for fault in account_schedule.generate(seed, 60.0, 4)
            if fault.kind is Kind.STORE_CUT
        )
        self.assertEqual({1, 2, 4}, set(cuts.values()))

    def test_targets_and_times(self):
        """Guards against faults of daemons or members that do not exist."""
        for fault in faults(True) + account_faults(True):
            self.assertTrue(0 <= fault.at_s < 60.0)
            targets = [-1]
            if fault.kind in DAEMON_KINDS:
                targets = range(4)
            elif fault.kind.value.startswith("link"):
                targets = range(schedule.MEMBERS)
            elif fault.kind in ACCOUNT_KINDS:
                targets = range(account_schedule.ACCOUNTS)
            elif fault.kind is Kind.ODD_ENTRY:
                targets = range(schedule.ODD_ENTRIES)
            self.assertIn(fault.target, targets)
