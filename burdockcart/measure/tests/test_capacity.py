"""Guards the arithmetic of the capacity page."""

import pathlib

import testtools

from burdockcart.measure import capacity
from burdockcart.measure import capacity_data
from burdockcart.measure import size

ROOT = pathlib.Path(capacity.__file__).parents[2]


class TestCapacity(testtools.TestCase):
    """The page follows from the slopes."""

    def setUp(self):
        super().setUp()
        self.all_slopes = capacity.load(ROOT / "docs" / "slopes")

    def test_page_agrees_with_the_slopes(self):
        """Guards against a page that shows figures of an older build."""
        page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
        computed = capacity.block(capacity.figures(self.all_slopes))
        self.assertEqual(capacity.update(page, computed), page)

    def test_twice_the_probe_cost_shows(self):
        """Guards against a figure that does not use its slope."""
        once = capacity_data.executors(self.all_slopes, size.DESIGN)
        self.all_slopes["executor"]["probe_s"] *= 2
        twice = capacity_data.executors(self.all_slopes, size.DESIGN)
        ratios = {b.quantity: b.value / a.value for a, b in zip(once, twice)}
        self.assertAlmostEqual(2.0, ratios["probes"])
        self.assertAlmostEqual(1.0, ratios["members"])

    def test_page_without_marks_is_refused(self):
        """Guards against losing the text of a page."""
        self.assertRaises(ValueError, capacity.update, "no marks", "x")
