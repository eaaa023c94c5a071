"""Guards the line protocol against hostile and malformed messages."""

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart.connection import member_channel
from burdockcart.connection import member_session
from burdockcart import errors
from burdockcart.platform import wire
from burdockcart.request import command
from burdockcart.request import log_position

Kind = command.CommandKind
Fault = member_channel.MemberFault


class TestRequests(testtools.TestCase):
    """Messages of clients."""

    def test_statements(self):
        """Guards against a statement parsed as another kind."""
        expected_by_text = {
            "BEGIN": Kind.BEGIN,
            "BEGIN READ": Kind.BEGIN_READ_ONLY,
            "COMMIT": Kind.COMMIT,
            "ROLLBACK": Kind.ROLLBACK,
            "READ 1a4": Kind.READ,
            "WRITE 1a4 some data": Kind.WRITE,
            "SET zone a b": Kind.SET,
            "PREPARE s1 WRITE q2c": Kind.PREPARE,
            "EXECUTE s1 1a4 data": Kind.EXECUTE,
            "DEALLOC s1": Kind.DEALLOCATE,
        }
        for text, kind in expected_by_text.items():
            read = wire.read_request(f"QUERY 5c0e {text}".encode())
            self.assertIs(kind, read.kind)
            self.assertEqual(text, read.text)

    def test_refused(self):
        """Guards members against statements that clients must not send."""
        for line in (
            b"QUERY 5c0e STATUS",
            b"QUERY 5c0e AFTER 3.1 READ 1a4",
            b"QUERY 5c0e PAUSE 9",
            b"QUERY 5c0e RESET",
            b"QUERY 5c0e DEMOTE 9",
            b"QUERY - READ 1a4",
            b"QUERY 5c0e",
            b"QUERY",
            b"",
            b"STARTUP db who",
            b"READ 1a4",
            b"QUERY 5c0e READ 1a4\nQUERY 5c0f WRITE 1a4 x",
            b"QUERY 5c0e READ \xff\xfe",
            b"QUERY 5c0e READ 1\x00",
            b"QUERY 5c0e PREPARE s1 DROP q",
            b"QUERY 5c0e COMMIT now",
            b"QUERY 5c0e COMMIT ",
            b"QUERY 5c0e ROLLBACK ",
            b"QUERY 5c0e BEGIN ",
            b"QUERY 5c0e WRITE  data",
            b"QUERY 5c0e WRITE ",
            b"QUERY 5c0e DEALLOC s1 s2",
            b"QUERY 5c0e DEALLOC s1 ",
            b"QUERY 5c0e SET zone",
            b"QUERY 5c0e SET  a",
            b"QUERY 5c0e EXECUTE s1",
            b"QUERY 5c0e EXECUTE s1 ",
            b"QUERY 5c0e EXECUTE s1  data",
        ):
            self.assertRaises(wire.ProtocolError, wire.read_request, line)

    def test_longer_line_for_a_member(self):
        """Guards against a line over 1 MiB that the proxy itself makes."""
        position = log_position.LogPosition(10**17, 10**17)
        shape = command.Shape(True, "q")
        for start in ("READ ", "EXECUTE s ", "PREPARE s WRITE ", "WRITE 1 "):
            head = f"QUERY i {start}"
            for growth in (0, 10, 45, 80, 200):
                size = wire.MAX_MESSAGE_BYTES - len(head) - 2 - growth
                try:
                    read = wire.read_request((head + "x" * size).encode())
                except wire.RefusedStatement as refused:
                    self.assertIs(
                        errors.ErrorKind.REQUEST_TOO_LARGE,
                        refused.failure.kind,
                    )
                    self.assertLess(growth, 200)
                    self.assertNotEqual("WRITE 1 ", start)
                    continue
                text = wire.member_text(
                    read, shape if read.kind is Kind.EXECUTE else None
                )
                after = None if read.kind is Kind.WRITE else position
                if read.shape is not None:
                    step = member_session.Step(
                        member_session.StepKind.PREPARE, "", "", read.shape
                    )
                    text, after = wire.step_text(step), None
                line = wire.query_line("i", text, after)
                self.assertLessEqual(len(line), wire.MAX_MESSAGE_BYTES)

    def test_startup(self):
        """Guards against a session without a database."""
        self.assertEqual(
            "lepu270", wire.read_startup(b"STARTUP lepu270 u3f1").database
        )
        for line in (b"STARTUP", b"STARTUP ", b"QUERY 1 READ 2", b"\x80"):
            self.assertRaises(wire.ProtocolError, wire.read_startup, line)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes(self, line):
        """Guards against an unhandled exception on arbitrary bytes."""
        for read in (wire.read_request, wire.read_startup):
            try:
                read(line)
            except wire.ProtocolError:
                pass


class TestMembers(testtools.TestCase):
    """Messages to and from members."""

    def test_text_stays(self):
        """Guards against a changed text on the way to a member."""
        text = "WRITE 1a4  two  blanks "
        read = wire.read_request(f"QUERY 5c0e {text}".encode())
        self.assertEqual(text, wire.member_text(read, None))

    def test_only_the_prepared_name_changes(self):
        """Guards against changed arguments of a prepared statement."""
        read = wire.read_request(b"QUERY 5c0e EXECUTE s1 1a4 some data")
        shape = command.Shape(True, "q2c")
        name = shape.member_name
        self.assertEqual(
            f"EXECUTE {name} 1a4 some data", wire.member_text(read, shape)
        )
        self.assertEqual(
            f"PREPARE {name} WRITE q2c",
            wire.step_text(
                member_session.Step(
                    member_session.StepKind.PREPARE, name, "", shape
                )
            ),
        )

    def test_shapes_with_blanks(self):
        """Guards against a name that a member reads as several fields."""
        shapes = [
            command.Shape(writes, text)
            for writes in (False, True)
            for text in ("q2c", "q2c a", "q2c  a", " q2c", "q" * 10**6, "ß")
        ]
        names = {shape.member_name for shape in shapes}
        self.assertEqual(len(shapes), len(names))
        for name in names:
            self.assertRegex(name, r"^[!-~]{1,40}\Z")

    def test_answer(self):
        """Guards against wrongly decoded fields of an answer."""
        answer = wire.read_answer(
            b"DATAROW a b\r\nDATAROW c\r\nCOMPLETE 7.1f3\r\nREADY T 3.9\r\n"
        )
        self.assertEqual(("a b", "c"), answer.rows)
        self.assertEqual("7.1f3", answer.receipt)
        self.assertIs(member_channel.TransactionState.OPEN, answer.state)
        self.assertEqual(log_position.LogPosition(3, 9), answer.position)
        self.assertEqual(
            b"DATAROW a b\r\nDATAROW c\r\nCOMPLETE 7.1f3\r\n",
            wire.answer_lines(answer),
        )

    def test_faults(self):
        """Guards against an error code mapped to a wrong fault."""
        expected_by_word = {
            "BUSY": Fault.QUEUE_FULL,
            "LAGGING": Fault.BEHIND,
            "READONLY": Fault.NOT_PRIMARY,
            "WRONGNODE": Fault.OTHER_MEMBER,
            "TOOMANYCON": Fault.CONNECTIONS_EXHAUSTED,
            "FAILED": Fault.FAILED,
            "NEWWORD": Fault.OTHER,
        }
        for word, fault in expected_by_word.items():
            data = f"ERROR {word} text\r\nREADY I -\r\n".encode()
            self.assertIs(fault, wire.read_answer(data).fault)

    def test_no_answer(self):
        """Guards against malformed data taken for an answer."""
        for data in (b"", b"HELLO\r\n", b"READY X 3.1\r\n"):
            self.assertRaises(wire.ProtocolError, wire.read_answer, data)

    def test_status(self):
        """Guards the log position that promotions compare."""
        answer = member_channel.Answer(
            rows=("replica 3 3.1209 0 12 2 17",),
            position=log_position.LogPosition(3, 1204),
        )
        status = wire.read_status(answer)
        self.assertIs(member_channel.Role.REPLICA, status.role)
        self.assertEqual(log_position.LogPosition(3, 1209), status.received)
        broken = member_channel.Answer(rows=("replica",))
        self.assertRaises(wire.ProtocolError, wire.read_status, broken)


class TestErrors(testtools.TestCase):
    """Errors that are reported to clients."""

    #: Codes that promise that the attempt had no effect.
    PROMISES = ("BUSY", "LAGGING", "READONLY", "ABORTED")

    def test_every_kind_has_a_word(self):
        """Guards against an error kind without a code."""
        raised = [
            kind
            for kind in errors.ErrorKind
            if not kind.value.startswith(("session_", "request_timeout"))
            and kind is not errors.ErrorKind.UNAUTHORIZED
        ]
        for kind in raised:
            line = wire.error_line(errors.Failure(kind, "text")).decode()
            if kind not in (
                errors.ErrorKind.OUTCOME_UNKNOWN,
                errors.ErrorKind.INTERNAL,
            ):
                self.assertNotIn("INDOUBT", line)

    def test_promises_are_for_what_did_not_run(self):
        """Guards against a false promise that a statement had no effect."""
        for kind in errors.ErrorKind:
            line = wire.error_line(errors.Failure(kind, "text")).decode()
            word = line.split(" ")[1]
            if word in self.PROMISES:
                self.assertIs(
                    errors.Effect.NOT_RUN, errors.answer_for(kind).effect
                )

    def test_retry_delay(self):
        """Guards the retry delay that a refused client receives."""
        failure = errors.Failure(errors.ErrorKind.OVERLOADED, "full", 120)
        self.assertEqual(
            b"ERROR BUSY full, retry after 120 ms\r\n",
            wire.error_line(failure),
        )
