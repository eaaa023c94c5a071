"""Guards the reading of statements by the member of the stand-in."""

import random

import testtools

from burdockcart.platform.standin import client_statements
from burdockcart.platform.standin import member_statements
from burdockcart.request import command
from burdockcart.request import log_position


def read(text):
    """Return a statement of a gateway."""
    return member_statements.read(f"QUERY - {text}".encode())


class TestReading(testtools.TestCase):
    """Fields of statements."""

    def test_last_field(self):
        """Guards against a last field that ends at a space."""
        self.assertEqual("i1 x ", read("READ i1 x ").item)
        self.assertEqual(" d  e ", read("WRITE i1  d  e ").data)
        self.assertEqual("a b", read("SET zone a b").value)
        prepare = read("PREPARE p1 WRITE q2c a")
        self.assertEqual(
            ("p1", "WRITE", "q2c a"),
            (prepare.name, prepare.kind, prepare.shape),
        )

    def test_data(self):
        """Guards against empty data that is taken for none."""
        for text, data in [("i1", None), ("i1 ", ""), ("i1  d", " d")]:
            found = read(f"EXECUTE p1 {text}")
            self.assertEqual(("i1", data), (found.item, found.data))

    def test_name_with_a_space(self):
        """Guards against a shape in a name that is read as one field."""
        prepare = read("PREPARE w_q2c a WRITE q2c a")
        self.assertEqual(
            ("w_q2c", "a", "WRITE q2c a"),
            (prepare.name, prepare.kind, prepare.shape),
        )
        found = read("EXECUTE w_q2c a i1 d")
        self.assertEqual(
            ("w_q2c", "a", "i1 d"), (found.name, found.item, found.data)
        )

    def test_after(self):
        """Guards against a prefix that counts as text."""
        found = read("AFTER 3.12 READ i1")
        self.assertEqual(log_position.LogPosition(3, 12), found.after)
        self.assertEqual("READ i1", found.text)
        data = read("WRITE i1 AFTER 1.1 READ i1").data
        self.assertEqual("AFTER 1.1 READ i1", data)

    def test_malformed(self):
        """Guards against a line that is taken for a statement."""
        for line in [
            b"QUERY -",
            b"STARTUP a b c",
            b"QUERY - SET zone",
            b"QUERY - PREPARE p1 READ",
            b"QUERY - EXECUTE p1",
            b"QUERY - AFTER x READ i1",
            b"QUERY - READ \xff",
        ]:
            self.assertRaises(
                member_statements.Malformed, member_statements.read, line
            )
        self.assertIsNone(member_statements.read(b"TERMINATE"))

    def test_clients(self):
        """Guards against clients whose record differs from what they say."""
        generator = client_statements.Generator(random.Random(1), False)
        prepared = {}
        for _ in range(2000):
            name, shape = generator.preparing()
            prepared[name] = shape
            sent = client_statements.preparing(name, shape)
            found = read(sent.text)
            kind = "WRITE" if shape.writes else "READ"
            self.assertEqual((name, kind), (found.name, found.kind))
            self.assertEqual(shape.text, found.shape)
            for sent in [
                generator.read(),
                generator.write(),
                generator.execution(prepared),
            ]:
                found = read(sent.text)
                self.assertEqual(
                    (sent.item, sent.data), (found.item, found.data), sent
                )

    def test_spaces_in_shapes(self):
        """Guards the plain shapes, which have no space."""
        for plain in (True, False):
            generator = client_statements.Generator(random.Random(1), plain)
            shapes = {generator.preparing()[1].text for _ in range(500)}
            self.assertEqual(plain, not any(" " in each for each in shapes))


class TestSession(testtools.TestCase):
    """Values and prepared names of a connection."""

    def test_names(self):
        """Guards against a name that stands for an earlier shape."""
        session = member_statements.Session()
        execute = read("EXECUTE p1 i1")
        self.assertIsNone(session.meaning(execute))
        session.apply(read("PREPARE p1 READ q1"))
        session.apply(read("PREPARE p1 WRITE q2"))
        self.assertEqual(("WRITE", "q2"), session.meaning(execute))
        session.apply(read("DEALLOC p1"))
        self.assertIsNone(session.meaning(execute))

    def test_reset(self):
        """Guards against values or names that outlive RESET."""
        session = member_statements.Session()
        session.apply(read("SET zone a b"))
        session.apply(read("PREPARE p1 READ q1"))
        self.assertEqual((("zone", "a b"),), session.values())
        session.apply(read("RESET"))
        self.assertEqual((), session.values())
        self.assertIsNone(session.meaning(read("EXECUTE p1 i1")))

    def test_other_statements(self):
        """Guards against a statement that is passed over."""
        session = member_statements.Session()
        self.assertRaises(
            member_statements.Malformed, session.apply, read("NAP 1")
        )


class TestKinds(testtools.TestCase):
    """Statements that members run for clients."""

    def test_kinds(self):
        """Guards the kinds of forwarded statements."""
        self.assertIs(
            command.CommandKind.EXECUTE, read("EXECUTE p1 i1").client_kind
        )
        self.assertIsNone(read("BEGIN READ").client_kind)
