"""Tests what the soak's client takes for a closed session."""

import asyncio

import testtools

from burdockcart.platform.standin import client_session

REFUSED = b"READY IDLE -\r\nERROR NOAUTH -1 the key is not valid\r\n"


class TestClosed(testtools.TestCase):
    """Answers after the refusal of a key."""

    def closes(self, data, unanswered, end=True):
        """Return whether data counts as the end of a session."""

        async def check():
            session = object.__new__(client_session.Session)
            session._reader = asyncio.StreamReader()
            session._reader.feed_data(data)
            if end:
                session._reader.feed_eof()
            return await session._closes(unanswered)

        return asyncio.run(check())

    def test_statements_that_were_sent_at_once(self):
        """Guards against a refusal that is taken for an open session."""
        self.assertTrue(self.closes(2 * REFUSED, unanswered=2))

    def test_more_answers_than_statements(self):
        """Guards against a daemon that goes on after its refusals."""
        self.assertFalse(self.closes(2 * REFUSED, unanswered=1))

    def test_rows(self):
        """Guards against a statement that runs after the refusal."""
        self.assertFalse(self.closes(b"ROW 1\r\n" + REFUSED, unanswered=1))

    def test_session_that_stays_open(self):
        """Guards against a session that is not closed after a refusal."""
        self.assertFalse(self.closes(REFUSED, unanswered=1, end=False))
