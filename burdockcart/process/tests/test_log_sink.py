"""Guards the event loop against a stuck reader of the log."""

import os
import time

import testtools

from burdockcart.process import log_sink


class TestPipeSink(testtools.TestCase):
    """Lines towards a pipe."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.sink = log_sink.PipeSink(self.writer)

    def test_stuck_reader_delays_nothing(self):
        """Guards requests against a reader that has stopped."""
        began = time.monotonic()
        for number in range(20000):
            self.sink.write(f"event=test number={number} {'x' * 80}\n")
        self.assertLess(time.monotonic() - began, 2.0)
        self.assertGreater(self.sink.dropped, 10000)

    def test_drops_are_reported(self):
        """Guards against a gap in the log that nobody sees."""
        for number in range(2000):
            self.sink.write(f"event=test number={number} {'x' * 80}\n")
        dropped = self.sink.dropped
        os.read(self.reader, 10**6)
        self.sink.write("event=after\n")
        # The line that was cut off by the full pipe is completed first.
        read = os.read(self.reader, 10**6).decode()
        self.assertIn(f"event=log_lines_dropped count={dropped}\n", read)
        self.assertTrue(read.endswith("event=after\n"))

    def test_whole_lines(self):
        """Guards against halves of lines mixed with others."""
        for number in range(2000):
            self.sink.write(f"event=test number={number} {'x' * 80}\n")
        text = ""
        for _ in range(5):
            text += os.read(self.reader, 10**6).decode()
            self.sink.write("event=after\n")
        for line in text.splitlines():
            self.assertTrue(line.startswith("event="), line)


class TestLimiter(testtools.TestCase):
    """Number of lines."""

    def test_one_event_does_not_hide_others(self):
        """Guards rare lines against a flood of another kind."""
        limiter = log_sink.LineLimiter(now=lambda: 0.0)
        for _ in range(1000):
            limiter.allows("placed", "INFO")
        self.assertTrue(limiter.allows("promotion_begun", "INFO"))
        self.assertEqual({"placed": 950}, limiter.take_suppressed())
        self.assertEqual({}, limiter.take_suppressed())

    def test_rate(self):
        """Guards the volume over time."""
        now = [0.0]
        limiter = log_sink.LineLimiter(now=lambda: now[0])
        written = 0
        for step in range(10000):
            now[0] = step / 1000
            written += limiter.allows("placed", "INFO")
        self.assertLess(written, 25 * 10 + 51)
