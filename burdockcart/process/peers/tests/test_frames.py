"""Tests the authentication of links against hostile input."""

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart.connection import session_names
from burdockcart.process.peers import frames
from burdockcart.process.peers import messages
from burdockcart.request import command

MEBIBYTE = 1024 * 1024


def pair(sender_key=b"key", receiver_key=b"key"):
    """Return the sealers of both ends of one direction."""
    return (
        frames.Sealer(sender_key, b"a" * 16, b"b" * 16),
        frames.Sealer(receiver_key, b"a" * 16, b"b" * 16),
    )


class TestSizes(testtools.TestCase):
    """Limits of a frame and of what it carries."""

    def test_largest_statement(self):
        """Guards the link of all clients against a large session of one."""
        values = {}
        names = session_names.SessionNames(values)
        half = "x" * (MEBIBYTE // 2)
        kinds = command.CommandKind
        for name in ("a", "b"):
            names.change(
                command.Command("1", kinds.SET, "", name, half + name)
            )
            shape = command.Shape(True, half + name)
            names.change(
                command.Command("1", kinds.PREPARE, "", name, "", shape)
            )
        argument = "y" * (MEBIBYTE - 100)
        for name in ("a", "b", "c"):
            statement = command.Command(
                "1",
                kinds.EXECUTE,
                f"EXECUTE {name} {argument}",
                name,
                argument,
            )
            sent = messages.encode(
                messages.Run(
                    1,
                    "g" * 200,
                    "m" * 200,
                    messages.statement_of(
                        statement, names.shape_of(statement), values
                    ),
                    (10**18, 10**18),
                    False,
                    1,
                    messages.Urgency(),
                )
            )
            reader = frames.FrameReader()
            reader.feed(frames.encode(b"greeting", bytes(12)))
            framed = frames.encode(sent, bytes(12))
            self.assertEqual([(sent, bytes(12))], reader.feed(framed))


class TestSealer(testtools.TestCase):
    """Only frames of this link, in order, are accepted."""

    def test_other_key(self):
        """A daemon with a withdrawn key must not be heard."""
        sender, receiver = pair(sender_key=b"withdrawn")
        self.assertRaises(
            frames.FrameError, receiver.verify, b"x", sender.seal(b"x")
        )

    def test_other_link(self):
        """A frame recorded on one link must not be accepted on another."""
        sender, _ = pair()
        other = frames.Sealer(b"key", b"a" * 16, b"c" * 16)
        self.assertRaises(
            frames.FrameError, other.verify, b"x", sender.seal(b"x")
        )

    def test_reordered(self):
        """Frames must arrive in the order in which they were sent."""
        sender, receiver = pair()
        sender.seal(b"first")
        second = sender.seal(b"second")
        self.assertRaises(
            frames.FrameError, receiver.verify, b"second", second
        )

    @hypothesis.given(
        strategies.binary(min_size=1, max_size=64), strategies.data()
    )
    def test_altered(self, content, data):
        """A frame with any changed bit must be refused."""
        sender, receiver = pair()
        mac = sender.seal(content)
        bit = data.draw(strategies.integers(0, 8 * len(content) - 1))
        altered = bytearray(content)
        altered[bit // 8] ^= 1 << bit % 8
        self.assertRaises(
            frames.FrameError, receiver.verify, bytes(altered), mac
        )


class TestReader(testtools.TestCase):
    """Splitting of received bytes."""

    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=80), max_size=6),
        strategies.integers(1, 40),
    )
    def test_any_pieces(self, contents, size):
        """Frames must be found however the bytes are cut."""
        data = b"".join(
            frames.encode(each, bytes(frames.MAC_BYTES)) for each in contents
        )
        reader = frames.FrameReader()
        found = []
        for start in range(0, len(data), size):
            found += reader.feed(data[start : start + size])
        self.assertEqual(contents, [content for content, _ in found])

    @hypothesis.given(strategies.binary(max_size=400))
    def test_garbage(self, data):
        """Garbage must end in frames or in FrameError, nothing else."""
        reader = frames.FrameReader()
        try:
            for content, _ in reader.feed(data):
                frames.read_greeting(content)
        except frames.FrameError:
            pass

    def test_large_greeting(self):
        """A stranger must not make a daemon buffer a large frame."""
        reader = frames.FrameReader()
        data = frames.encode(b"", bytes(12))[:0] + (2**20).to_bytes(4, "big")
        self.assertRaises(
            frames.FrameError, reader.feed, data + bytes(frames.MAC_BYTES)
        )


class TestGreeting(testtools.TestCase):
    """The first frame of a link."""

    def test_other_version(self):
        """A greeting of an unknown version must be refused."""
        sent = frames.Greeting(99, "d", "i", bytes(frames.NONCE_BYTES))
        content = frames.encode_greeting(sent)[16:]
        self.assertRaises(frames.FrameError, frames.read_greeting, content)

    def test_short_nonce(self):
        """A short nonce would make session keys repeat."""
        sent = frames.Greeting(frames.PROTOCOL_VERSION, "d", "i", b"x")
        content = frames.encode_greeting(sent)[16:]
        self.assertRaises(frames.FrameError, frames.read_greeting, content)
