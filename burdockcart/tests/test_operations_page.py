"""Checks that docs/OPERATIONS.md and the source have the same names."""

import ast
import pathlib
import re

import testtools

from burdockcart.process import peer_transport
from burdockcart.process import settings

PACKAGE = pathlib.Path(__file__).parent.parent
PAGE = PACKAGE.parent / "docs" / "OPERATIONS.md"
#: Subpackages that neither a daemon nor an operator's command runs.
OTHER = ("tests", "measure", "emulator")
EVENT = re.compile(r"\bevent=(\S+)")
METRIC = re.compile(r"^[a-z]+(\.[a-z_{}]+)+$")
METRIC_CALLS = ("count", "gauge", "timing")
ATTEMPTS = {"promotion_ended", "handover_ended"}
LINK_EVENTS = {*peer_transport.MONITORED.values(), peer_transport.OTHER_EVENT}


def trees():
    """Return the syntax tree of each module that operators run."""
    for path in sorted(PACKAGE.rglob("*.py")):
        if not set(path.relative_to(PACKAGE).parts) & set(OTHER):
            yield ast.parse(path.read_text(encoding="utf-8"))


def nodes(kind):
    """Return all nodes of a kind."""
    for tree in trees():
        yield from (n for n in ast.walk(tree) if isinstance(n, kind))


def text_of(node):
    """Return a string with ``{}`` for each formatted value, or None."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        return "".join(text_of(part) or "{}" for part in node.values)
    return None


def names_of(expression):
    """Return the possible values of an argument that is a string."""
    if isinstance(expression, ast.IfExp):
        return names_of(expression.body) | names_of(expression.orelse)
    text = text_of(expression)
    return set() if text is None else {text}


def membership_events():
    """Return the events that the membership records."""
    return {
        text_of(call.args[0])
        for call in nodes(ast.Call)
        if isinstance(call.func, ast.Name)
        and call.func.id == "RecordEvent"
        and call.args
    }


def events():
    """Return the names of all log events in the source."""
    formatted = {
        "{}": membership_events() | LINK_EVENTS,
        "{}_ended": ATTEMPTS,
    }
    found = set()
    for node in nodes((ast.Constant, ast.JoinedStr)):
        for name in EVENT.findall(text_of(node) or ""):
            found |= formatted.get(name, {name})
    return found


def metrics():
    """Return the names of all metrics in the source."""
    formatted = {
        "membership.{}": {f"membership.{e}" for e in membership_events()},
        "peers.{}": {f"peers.{e}" for e in LINK_EVENTS},
        "requests.error.{}": {"requests.error.KIND"},
    }
    found = set()
    for call in nodes(ast.Call):
        called = getattr(call.func, "attr", None)
        if called not in METRIC_CALLS or not call.args:
            continue
        for name in names_of(call.args[0]):
            if METRIC.match(name):
                found |= formatted.get(name, {name})
    return found


def column(title, number=0):
    """Return the cells of a column of the first table below a title."""
    section = PAGE.read_text(encoding="utf-8").split(f"\n## {title}\n")[1]
    section = section.split("\n## ")[0]
    rows = [line for line in section.splitlines() if line.startswith("| `")]
    return [row.split(" | ")[number].strip("|` ") for row in rows]


class TestOperatingPage(testtools.TestCase):
    """The page and the source have the same names."""

    def assert_same(self, listed, found):
        self.assertEqual(sorted(found), listed)
        self.assertGreater(len(found), 10)

    def test_events(self):
        """Guards against an event that only the source or the page has."""
        self.assert_same(column("Log events"), events())

    def test_metrics(self):
        """Guards against a metric that only the source or the page has."""
        self.assert_same(column("Metrics"), metrics())

    def test_settings(self):
        """Guards against a setting that only the source or the page has."""
        listed = list(
            zip(column("Settings"), column("Settings", 1), strict=True)
        )
        known = {**settings._REQUIRED, **settings._OPTIONAL}
        fixed = [
            pair for pair in listed if pair[0] not in settings._FREE_SECTIONS
        ]
        self.assertEqual(sorted(known), sorted(fixed))
        free = [each[0] for each in listed if each not in fixed]
        self.assertEqual(sorted(settings._FREE_SECTIONS), sorted(free))
