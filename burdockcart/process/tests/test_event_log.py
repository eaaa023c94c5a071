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

    def test_id_of_a_client(self):
        """Guards against lines and fields that a client makes up."""
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            event_log.configure("INFO")
            for blank in "\x85\u2028\x0b\x1c\t\xa0\u2003\x1b":
                name = f"7{blank}event=daemon_stopped{blank}id=d1"
                loguru.logger.info("event=placed id={} attempt=1", name)
            loguru.logger.info("event=placed id={}", "x" * 2**20)
        lines = output.getvalue().splitlines()
        self.assertEqual(9, len(lines))
        for line in lines[:8]:
            fields = [field.partition("=")[0] for field in line.split()]
            self.assertEqual(
                ["time", "level", "event", "id", "attempt"], fields
            )
        self.assertLess(len(lines[8]), 5000)
