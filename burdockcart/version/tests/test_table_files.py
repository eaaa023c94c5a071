"""Guards the parser of the tables against invalid input."""

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
from returns import result
import testtools

from burdockcart.emulator import deployment
from burdockcart.version import table_files

POOLS = """\
[p]
slots_per_member = 2
connections_per_member = 16
group.g = m1 d1 10.0.0.1:5000, m2 d2 10.0.0.2:5000
"""
ROUTES = """\
[push]
caller = studio
kind = push
pool = p
deadline_ms = 2000
"""


class TestParse(testtools.TestCase):
    """Every mistake is reported with its table, line, section and key."""

    def faults(self, routes=ROUTES, pools=POOLS):
        parsed = table_files.parse(routes, pools, 1)
        return [str(each) for each in parsed.swap().value_or([])]

    def test_good_tables_have_no_fault(self):
        """Guards against checks that refuse valid tables."""
        self.assertEqual([], self.faults())

    def test_fault_names_line_and_likely_spelling(self):
        """Guards against a fault that operators cannot locate in the file."""
        expected = {
            ROUTES.replace("deadline_ms", "deadlin_ms"): (
                "routes:5 [push] deadlin_ms: unknown key, "
                "did you mean 'deadline_ms'?"
            ),
            ROUTES.replace("pool = p", "pool = q"): (
                "routes:4 [push] pool: no pool 'q'"
            ),
            ROUTES
            + "cost = shrt\n": (
                "routes:6 [push] cost: 'shrt' is not one of auto, short, "
                "long, did you mean 'short'?"
            ),
            ROUTES
            + "cost = long\ncost = long\n": (
                "routes:7 [push] cost: key appears twice"
            ),
            ROUTES + ROUTES: "routes:6 [push] -: section appears twice",
            "x = 1\n": "routes:1 [-] -: no [section] before 'x = 1'",
            "": "routes [-] -: file has no section",
            ROUTES.replace("pool = p\n", ""): (
                "routes:1 [push] pool: key is missing"
            ),
        }
        for text, fault in expected.items():
            self.assertEqual([fault], self.faults(routes=text))

    def test_values_outside_their_bounds(self):
        """Guards against pools and routes that cannot serve any work."""
        for old, new in [
            ("slots_per_member = 2", "slots_per_member = 0"),
            ("connections_per_member = 16", "connections_per_member = 1"),
            ("10.0.0.1:5000", "db.example:5000"),
            ("10.0.0.1:5000", "10.0.0.1:0"),
            ("10.0.0.1:5000", "10.0.0.1"),
            ("m1 d1", "m1"),
        ]:
            self.assertEqual(
                1, len(self.faults(pools=POOLS.replace(old, new)))
            )
        for old, new in [
            ("deadline_ms = 2000", "deadline_ms = 0"),
            ("deadline_ms = 2000", "deadline_ms = soon"),
            ("deadline_ms = 2000", "max_age_ms = -1"),
            ("kind = push", "kind = [push"),
            ("kind = push", "kind ="),
        ]:
            self.assertEqual(
                1, len(self.faults(routes=ROUTES.replace(old, new)))
            )

    def test_member_or_address_in_two_pools(self):
        """Guards against two executors whose slots add up on one member."""
        second = POOLS.replace("[p]", "[q]").replace("group.g", "group.h")
        faults = self.faults(pools=POOLS + second)
        self.assertEqual(4, len(faults))
        self.assertIn("member 'm1' is already in pool 'p'", faults[0])

    def test_two_equally_specific_routes_for_the_same_work(self):
        """Guards against routing that depends on the order in the file."""
        other = ROUTES.replace("[push]", "[other]")
        self.assertEqual(1, len(self.faults(routes=ROUTES + other)))
        clash = "[a]\ncaller = *\nkind = map-*\npool = p\n"
        clash += "[b]\ncaller = *\nkind = *-map\npool = p\n"
        self.assertEqual(1, len(self.faults(routes=clash)))
        clash = clash.replace("*-map", "[!m]ap-*").replace("map-*", "map-?*")
        self.assertEqual([], self.faults(routes=clash))

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(strategies.text(max_size=200), strategies.booleans())
    def test_any_text_gives_faults_or_tables(self, text, append):
        """Guards against an unhandled exception on invalid input."""
        routes = ROUTES + text if append else text
        parsed = table_files.parse(routes, POOLS, 1)
        self.assertIsInstance(parsed, result.Result)


class TestRead(testtools.TestCase):
    """Files that cannot be read are reported as faults."""

    def read(self, routes):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "pools.ini").write_text(POOLS)
            if routes is not None:
                (folder / "routes.ini").write_bytes(routes)
            return table_files.read(folder, 1)

    def test_unreadable_files(self):
        """Guards against an exception on a missing, binary or large file."""
        for data, text in [
            (None, "No such file"),
            (b"[push]\nkind = \xff\n", "routes:2 [-] -: byte 14 is not UTF-8"),
            (b"#" * (33 * 1024 * 1024), "larger than"),
        ]:
            faults = self.read(data).failure()
            self.assertIn(text, str(faults[0]))

    def test_formatted_tables_read_back(self):
        """Guards against values lost by `show --to`."""
        for each in deployment.BY_NAME.values():
            files = deployment.Files(each, pathlib.Path("-"), 7000)
            tables = table_files.parse(each.routes, files._pools(), 1)
            again = table_files.parse(
                table_files.format_routes(tables.unwrap()),
                table_files.format_pools(tables.unwrap()),
                1,
            )
            self.assertEqual(tables, again)
