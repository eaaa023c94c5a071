"""Runs daemons as processes and injects faults; takes two to three minutes."""

import asyncio
import pathlib
import tempfile

import testtools

from burdockcart.platform.standin import odd_entries
from burdockcart.platform.standin import soak
from burdockcart.soak import history as histories
from burdockcart.soak import schedule

DAEMONS = 4


class TestSoak(testtools.TestCase):
    """Daemons, members, store and clients over sockets."""

    def check(self, seed, unplanned, restores=False, odd_entries=False):
        """Run a seed and check that no rule was broken."""
        with tempfile.TemporaryDirectory() as folder:
            run = soak.Soak(
                seed,
                25.0,
                DAEMONS,
                pathlib.Path(folder),
                unplanned,
                restores=restores,
                odd_entries=odd_entries,
            )
            found = asyncio.run(run.run())
        text = soak.summary(run, found)
        self.assertEqual([], [str(each) for each in found], text)
        succeeded = [
            each
            for each in run.history.requests
            if each.outcome is histories.Outcome.SUCCESS
        ]
        # Otherwise the checks would have had nothing to check.
        self.assertGreater(len(succeeded), 500, text)
        self.assertTrue(run.history.runs and run.history.log, text)

    def test_planned_work(self):
        """Guards against requests cut or mixed up by planned work."""
        self.check(21, unplanned=False)

    def test_mixed_faults(self):
        """Guards against wrong answers after any faults."""
        self.check(12, unplanned=True)

    def test_restored_store(self):
        """Guards against what a restored store has forgotten."""
        self.check(33, unplanned=True, restores=True)

    def test_odd_entries(self):
        """Guards against an entry of another writer that stops a daemon."""
        self.check(3, unplanned=False, odd_entries=True)

    def test_variants(self):
        """Guards against a variant that is never written."""
        entry = {
            "service": "g",
            "address": "127.0.0.1:1",
            "state": "ready",
        }
        self.assertEqual(schedule.ODD_ENTRIES, len(odd_entries.values(entry)))
