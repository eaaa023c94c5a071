"""Guards the validation of the sections that hold bearer tokens."""

import testtools

from burdockcart.process import settings

BASE = """\
[daemon]
id = d1
failure_domain = north
ip = 127.0.0.1
caller_port = 1001
peer_port = 1002
[platform]
address = 127.0.0.1:1000
[session_keys]
k1 = 00112233445566778899aabbccddeeff
"""


class TestTokens(testtools.TestCase):
    """Sections [callers] and [operators]."""

    def faults(self, text):
        return [str(each) for each in settings.parse(BASE + text).failure()]

    def test_operators_are_optional(self):
        """Guards against a status that needs a token without the section."""
        config = settings.parse(BASE).unwrap()
        self.assertIsNone(config.secret_by_operator)

    def test_operators_are_read(self):
        """Guards against a section that is accepted but ignored."""
        config = settings.parse(BASE + "[operators]\nana = t1\n").unwrap()
        self.assertEqual({"ana": "t1"}, config.secret_by_operator)
        self.assertEqual({}, config.secret_by_caller)

    def test_section_without_tokens(self):
        """Guards against an empty section that closes the status to all."""
        self.assertEqual(
            ["settings [operators] -: no token given"],
            self.faults("[operators]\n"),
        )

    def test_empty_token(self):
        """Guards against a token that matches a request without a token."""
        for section in ("operators", "callers"):
            self.assertEqual(
                [f"settings [{section}] ana: must not be empty"],
                self.faults(f"[{section}]\nana =\n"),
            )
