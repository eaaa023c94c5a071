"""Guards the format of the log lines."""

import contextlib
import io

import loguru
import testtools

from burdockcart.process import event_log


class TestEventLog(testtools.TestCase):
    """Each event is one line."""

    def test_exception_stays_on_one_line(self):
        """Guards against tracebacks that spread over many lines."""
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            event_log.configure("INFO")
            try:
                raise ValueError("a value\nof {two} lines")
            except ValueError:
                loguru.logger.exception("event=request_failed id={}", "d1")
            loguru.logger.info("event=daemon_stopped id={}", "d1")
        lines = output.getvalue().splitlines()
        self.assertEqual(2, len(lines))
        self.assertIn("event=request_failed id=d1 trace=", lines[0])
        self.assertIn("of {two} lines", lines[0])
        self.assertIn("level=INFO event=daemon_stopped id=d1", lines[1])
