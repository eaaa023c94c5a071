"""Runs daemons as processes and injects faults; takes two minutes."""

import asyncio
import pathlib
import tempfile

import testtools

from burdockcart.platform.standin import soak
from burdockcart.soak import history as histories

DAEMONS = 4


class TestSoak(testtools.TestCase):
    """Daemons, members, store and clients over sockets."""

    def check(self, seed, unplanned, restores=False):
        """Run a seed and check that no rule was broken."""
        with tempfile.TemporaryDirectory() as folder:
            run = soak.Soak(
                seed,
                25.0,
                DAEMONS,
                pathlib.Path(folder),
                unplanned,
                restores=restores,
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
