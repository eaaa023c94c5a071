"""Guards docs/tables.md against missing and obsolete keys."""

import pathlib

import testtools

from burdockcart.version import rows
from burdockcart.version import table_files

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "tables.md"


def listed(title):
    """Return the keys in the table under a heading."""
    section = PAGE.read_text(encoding="utf-8").split(f"\n## {title}\n")[1]
    section = section.split("\n## ")[0]
    return [
        line.split("`")[1]
        for line in section.splitlines()
        if line.startswith("| `")
    ]


class TestTablesPage(testtools.TestCase):
    """The page lists exactly the keys of both files."""

    def test_routes(self):
        """Guards against a column that operators can't find."""
        keys = [key for key in rows.Route.__struct_fields__ if key != "name"]
        self.assertEqual(keys, listed("Routes"))

    def test_pools(self):
        """Guards against a column that operators can't find."""
        known = [*table_files._POOL_KEYS, "group.NAME"]
        self.assertEqual(sorted(known), sorted(listed("Pools")))
