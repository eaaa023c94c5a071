"""Checks docs/design.md against the modules and messages in the source."""

import ast
import pathlib

import msgspec
import testtools

from burdockcart.process import peer_messages

PACKAGE = pathlib.Path(__file__).parent.parent
PAGE = PACKAGE.parent / "docs" / "design.md"


def modules():
    """Return one table row per module: package, name and summary."""
    rows = []
    for path in sorted(PACKAGE.rglob("*.py")):
        if "tests" in path.parts or path.name.startswith("__"):
            continue
        tree = ast.parse(path.read_text(encoding="utf-8"))
        first = ast.get_docstring(tree).splitlines()[0].rstrip(".")
        package = path.parent.relative_to(PACKAGE.parent)
        name = ".".join(package.parts)
        rows.append(f"| {name} | `{path.stem}` | {first.replace('``', '`')} |")
    return rows


class TestDesignPage(testtools.TestCase):
    """The page and the source have the same names."""

    def setUp(self):
        super().setUp()
        self.page = PAGE.read_text(encoding="utf-8")

    def test_modules(self):
        """Guards against a module table that differs from the source."""
        section = self.page.split("\n## 3. Modules\n")[1]
        table = section.split("\n### ")[0]
        listed = [
            row
            for row in table.splitlines()
            if row.startswith("| burdockcart")
        ]
        self.assertEqual(modules(), listed)

    def test_messages(self):
        """Guards against a message that the page does not name."""
        section = self.page.split("\n### 3.2 Peer messages\n")[1]
        section = section.split("\n### ")[0]
        for message in peer_messages.Message.__subclasses__():
            self.assertTrue(issubclass(message, msgspec.Struct))
            self.assertIn(f"`{message.__name__}`", section)
