"""Guards the measures of the tables."""

import pathlib
import tempfile
from unittest import mock

import testtools

from burdockcart.emulator import deployment
from burdockcart.measure import slopes
from burdockcart.measure import tables
from burdockcart.tests import virtual_time


class TestTables(testtools.TestCase):
    """The scenarios run to their end and their figures are plausible."""

    def test_scenarios_hold_their_bounds(self):
        """Guards against a bench whose faults have no effect."""
        sized = virtual_time.run(tables.scenarios(deployment.WEATHER, 9, 7))
        lines = tables.lines_of(deployment.WEATHER, sized, 7)
        self.assertEqual(9, len(lines))
        self.assertEqual([], [str(each) for each in lines if not each.holds])
        # Each change reaches each daemon at least once.
        self.assertGreaterEqual(sized.messages, 1.0 - 2 / 9)
        self.assertGreater(sized.bytes, 100 * sized.messages)

    def test_late_change_breaks_the_bound(self):
        """Guards against a measure that can't fail."""
        sized = virtual_time.run(tables.scenarios(deployment.WEATHER, 3, 7))
        with mock.patch.object(tables, "IN_FORCE_BOUND_S", -1.0):
            lines = tables.lines_of(deployment.WEATHER, sized, 7)
        missed = {each.measure for each in lines if not each.holds}
        self.assertEqual({"table_in_force_worst_s"}, missed)

    def test_slopes_are_written(self):
        """Guards against a file that the capacity page can't read."""
        found = [
            tables.SizeResult(size, (), 0, 1.0, 2.0 * size, 3.0)
            for size in (10, 30)
        ]
        with tempfile.TemporaryDirectory() as name:
            report = pathlib.Path(name)
            folder = report / "none" / "slopes"
            with mock.patch.object(slopes, "FOLDER", folder):
                tables.write_slopes(deployment.WEATHER, found, report)
            text = (report / "tables.json").read_text()
        self.assertIn('"slope_per_daemon": 2.0', text)
