"""Guards the named cases of accounts."""

import testtools

from burdockcart.soak import account_cases
from burdockcart.soak import account_schedule
from burdockcart.soak import schedule

CaseName = account_cases.CaseName
Kind = schedule.Kind
DAEMONS = 4
SEEDS = range(50)
REMOVALS = frozenset({Kind.KEY_REMOVED, Kind.KEYS_REMOVED})


def of_kind(faults, *kinds):
    """Return the faults of some kinds."""
    return [each for each in faults if each.kind in kinds]


class TestCases(testtools.TestCase):
    """Faults of each case for many seeds."""

    def runs(self, name):
        """Return the faults of a case, by seed."""
        return [account_cases.generate(name, seed, DAEMONS) for seed in SEEDS]

    def test_every_name_has_a_case(self):
        """Guards against a name that cannot be run."""
        self.assertEqual(set(CaseName), set(account_cases.CASE_BY_NAME))

    def test_same_seed(self):
        """Guards against a case that its seed does not repeat."""
        for name in set(CaseName) - {CaseName.UNDISTURBED}:
            self.assertEqual(self.runs(name), self.runs(name))
            self.assertNotEqual(
                account_cases.generate(name, 1, DAEMONS),
                account_cases.generate(name, 2, DAEMONS),
            )

    def test_times_and_targets(self):
        """Guards against faults before the first shares or after the end."""
        for name in CaseName:
            for fault in (each for run in self.runs(name) for each in run):
                self.assertGreater(fault.at_s, account_cases.SETTLED_S)
                self.assertLess(fault.at_s, account_cases.seconds(name))
                targets = range(DAEMONS)
                if fault.kind in schedule.PLANNED_OF_ACCOUNTS:
                    targets = range(account_schedule.ACCOUNTS)
                elif fault.kind is Kind.KILL_OWNER:
                    targets = range(account_cases.SHARDS)
                elif fault.kind is Kind.STORE_RESTORED:
                    targets = [-1]
                self.assertIn(fault.target, targets)

    def test_kinds(self):
        """Guards against a case with a fault that its name does not say."""
        removed = REMOVALS | {Kind.KEYS_RETURNED}
        kinds_by_name = {
            CaseName.UNDISTURBED: set(),
            CaseName.REVOKED_ONE_CUT: removed | {Kind.STORE_CUT},
            CaseName.REVOKED_HALF_CUT: removed | {Kind.STORE_CUT},
            CaseName.REVOKED_ALL_CUT: removed | {Kind.STORE_CUT},
            CaseName.REVOKED_SUSPENDED: removed | {Kind.FREEZE},
            CaseName.REVOKED_RESTORED: removed | {Kind.STORE_RESTORED},
            CaseName.HOT_ALL_KILLED: {Kind.HOT_ACCOUNT, Kind.KILL},
            CaseName.LOWERED_HALF_CUT: {
                Kind.STORE_CUT,
                Kind.HOT_ACCOUNT,
                Kind.RATE_LOWERED,
            },
            CaseName.OWNER_KILLED: {Kind.KILL_OWNER},
            CaseName.DEMAND_MOVES: {Kind.DEMAND_AT},
        }
        for name in CaseName:
            for run in self.runs(name):
                self.assertEqual(
                    kinds_by_name[name], {each.kind for each in run}, name
                )

    def test_daemons_that_are_cut_off(self):
        """Guards against a cut of fewer daemons than the name says."""
        count_by_name = {
            CaseName.REVOKED_ONE_CUT: 1,
            CaseName.REVOKED_HALF_CUT: 2,
            CaseName.REVOKED_ALL_CUT: 4,
            CaseName.LOWERED_HALF_CUT: 2,
        }
        for name, count in count_by_name.items():
            for run in self.runs(name):
                cuts = of_kind(run, Kind.STORE_CUT)
                self.assertEqual(count, len({each.target for each in cuts}))

    def test_removed_while_cut_off(self):
        """Guards against cuts that end before a removed key must not work.

        A key must not be used 5 s after its removal.
        """
        for name in (
            CaseName.REVOKED_ONE_CUT,
            CaseName.REVOKED_HALF_CUT,
            CaseName.REVOKED_ALL_CUT,
        ):
            for run in self.runs(name):
                ends = [
                    each.at_s + each.length_s
                    for each in of_kind(run, Kind.STORE_CUT)
                ]
                removed = [each.at_s for each in of_kind(run, *REMOVALS)]
                back = [each.at_s for each in of_kind(run, Kind.KEYS_RETURNED)]
                self.assertGreater(min(ends), max(removed) + 5.5)
                self.assertGreater(min(back), max(ends))

    def test_restored_keys(self):
        """Guards against a copy of the store without the removed keys."""
        for run in self.runs(CaseName.REVOKED_RESTORED):
            (restore,) = of_kind(run, Kind.STORE_RESTORED)
            for removal in of_kind(run, *REMOVALS):
                self.assertGreater(removal.at_s, restore.at_s - restore.age_s)
                self.assertLess(removal.at_s, restore.at_s)

    def test_killed_at_once(self):
        """Guards against daemons that take over from the killed ones."""
        for run in self.runs(CaseName.HOT_ALL_KILLED):
            killed = of_kind(run, Kind.KILL)
            (hot,) = of_kind(run, Kind.HOT_ACCOUNT)
            self.assertEqual(DAEMONS, len({each.target for each in killed}))
            self.assertEqual(1, len({each.at_s for each in killed}))
            self.assertEqual(7.0, hot.factor)
            self.assertGreater(hot.at_s + hot.length_s, killed[0].at_s + 8.0)

    def test_lowered_limit_has_demand(self):
        """Guards against a lowered limit that nobody wants to exceed."""
        for run in self.runs(CaseName.LOWERED_HALF_CUT):
            (lowered,) = of_kind(run, Kind.RATE_LOWERED)
            (hot,) = of_kind(run, Kind.HOT_ACCOUNT)
            self.assertEqual(lowered.target, hot.target)
            self.assertLess(lowered.factor, 1.0)
            # From then on only the lowered limit is allowed.
            ends = [
                each.at_s + each.length_s
                for each in of_kind(run, Kind.STORE_CUT)
            ]
            allowed_s = max(ends) + 2.0 + 3.0 + 5.0
            self.assertGreater(hot.at_s + hot.length_s, allowed_s + 5.0)

    def test_demand_moves(self):
        """Guards against demand that stays at one daemon."""
        for run in self.runs(CaseName.DEMAND_MOVES):
            self.assertEqual(3, len({each.target for each in run}))
