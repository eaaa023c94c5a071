"""Guards the search for the cause of a failed request by its id."""

import contextlib
import io
import pathlib
import tempfile

import testtools

from burdockcart.cmd import main
from burdockcart.cmd import trace

FIRST = """time=2026-01-01T10:00:00.100 level=INFO event=primary_known group=g member=m-a term=1
time=2026-01-01T10:00:01.000 level=INFO event=placed id=5c0e member=m-a
time=2026-01-01T10:00:01.400 level=INFO event=statement_failed id=5c0e error=outcome_unknown message='no answer'
"""  # noqa: E501
SECOND = """time=2026-01-01T10:00:01.200 level=INFO event=promotion_begun group=g primary=m-a cause='is silent'
time=2026-01-01T10:00:01.300 level=INFO event=placed id=7777 member=m-b
time=2026-01-01T10:00:02.500 level=INFO event=placed id=5c0e member=m-b
"""  # noqa: E501


class TestTrace(testtools.TestCase):
    """Lines of one request from several logs."""

    def trace(self, request, *names):
        """Run the command; return its exit code and what it printed."""
        folder = pathlib.Path(self._folder())
        for name, text in (("d1.log", FIRST), ("d2.log", SECOND)):
            (folder / name).write_text(text, encoding="utf-8")
        printed = io.StringIO()
        paths = [str(folder / name) for name in names]
        with contextlib.redirect_stdout(printed):
            with contextlib.redirect_stderr(printed):
                code = main.main(["trace", request, *paths])
        return code, printed.getvalue()

    def _folder(self):
        """Return a folder that is removed after the test."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_order_and_context(self):
        """Guards the order of the lines of all daemons."""
        code, text = self.trace("5c0e", "d1.log", "d2.log")
        self.assertEqual(0, code)
        events = [
            trace.fields(line.partition(": ")[2])["event"]
            for line in text.splitlines()
        ]
        self.assertEqual(
            [
                "primary_known",
                "placed",
                "statement_failed",
                "promotion_begun",
                "placed",
            ],
            events,
        )
        self.assertNotIn("7777", text)

    def test_unknown_request(self):
        """Guards against an empty answer that looks like a success."""
        code, text = self.trace("9999", "d1.log")
        self.assertEqual(1, code)
        self.assertIn("9999", text)

    def test_missing_file(self):
        """Guards against a log that is silently left out."""
        code, text = self.trace("5c0e", "d1.log", "d3.log")
        self.assertEqual(2, code)
        self.assertIn("d3.log", text)
