"""Guards the signature and the size of session tokens."""

from hypothesis import given
from hypothesis import strategies
import testtools

from burdockcart.connection import session_token
from burdockcart import errors

KEYS = {"old": b"0" * 16, "new": b"1" * 16}


class TestSessionTokens(testtools.TestCase):
    """Tokens carry marks unchanged and cannot be forged."""

    def setUp(self):
        super().setUp()
        self.tokens = session_token.SessionTokens(KEYS)

    def assert_kind(self, kind, checked):
        self.assertEqual(kind, checked.failure().kind)

    def test_token_of_older_key_is_accepted(self):
        """Guards against a key rotation that ends open sessions."""
        older = session_token.SessionTokens({"old": KEYS["old"]})
        marks = {"g": session_token.Mark(2, 7)}
        token = older.issue(marks).unwrap()
        self.assertEqual(marks, self.tokens.check(token).unwrap())

    def test_unknown_key_is_refused(self):
        """Guards against tokens signed with a foreign key."""
        foreign = session_token.SessionTokens({"x": b"2" * 16})
        token = foreign.issue({}).unwrap()
        self.assert_kind(
            errors.ErrorKind.SESSION_INVALID, self.tokens.check(token)
        )

    def test_any_changed_byte_is_refused(self):
        """Guards against a forged position."""
        token = self.tokens.issue({"g": session_token.Mark(1, 1)}).unwrap()
        for index in range(len(token) - 2):
            other = "A" if token[index] != "A" else "B"
            forged = token[:index] + other + token[index + 1 :]
            self.assert_kind(
                errors.ErrorKind.SESSION_INVALID, self.tokens.check(forged)
            )

    @given(strategies.text())
    def test_any_text_gives_a_clear_error(self, text):
        """Guards against a crash on bad input."""
        self.assert_kind(
            errors.ErrorKind.SESSION_INVALID, self.tokens.check(text)
        )

    def test_token_of_most_groups_fits(self):
        """Guards the size bound that the caller server relies on."""
        marks = {
            f"group-{n:016d}": session_token.Mark(2**31, 2**62)
            for n in range(session_token.MAX_GROUPS)
        }
        token = self.tokens.issue(marks).unwrap()
        self.assertEqual(marks, self.tokens.check(token).unwrap())
        marks["one-more"] = session_token.Mark(1, 1)
        self.assert_kind(
            errors.ErrorKind.SESSION_TOO_LARGE, self.tokens.issue(marks)
        )
