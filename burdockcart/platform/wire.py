"""Line protocol of clients and members: bytes to typed messages and back.

Explanation
===========

A message is a keyword and its fields, separated by spaces and ended by CR LF;
the last field extends to the end of the line.

"""

import msgspec

from burdockcart.connection import member_channel
from burdockcart.connection import member_session
from burdockcart import errors
from burdockcart import ids
from burdockcart.request import command
from burdockcart.request import log_position

END = b"\r\n"
#: Maximum size of a message, in bytes, as specified by the platform.
MAX_MESSAGE_BYTES = 1024 * 1024
#: Digits of the largest term or number of a log.
MAX_DIGITS = 18
#: Length of the longest prefix that a read or EXECUTE gets for a member.
_AFTER_LENGTH = len("AFTER . ") + 2 * MAX_DIGITS
#: Who connects to a member where no client account does.
OWN_NAME = "burdockcart"
#: Id of the statements that the proxy itself issues.
PROXY_STATEMENT_ID = "-"

_STATE_BY_LETTER = {
    "I": member_channel.TransactionState.IDLE,
    "T": member_channel.TransactionState.OPEN,
    "E": member_channel.TransactionState.FAILED,
}
_LETTER_BY_STATE = {state: name for name, state in _STATE_BY_LETTER.items()}

_FAULT_BY_WORD = {
    "BUSY": member_channel.MemberFault.QUEUE_FULL,
    "LAGGING": member_channel.MemberFault.BEHIND,
    "READONLY": member_channel.MemberFault.NOT_PRIMARY,
    "WRONGNODE": member_channel.MemberFault.OTHER_MEMBER,
    "TOOMANYCON": member_channel.MemberFault.CONNECTIONS_EXHAUSTED,
    "UNKNOWN": member_channel.MemberFault.UNKNOWN_NAME,
    "FAILED": member_channel.MemberFault.FAILED,
    "TIMEOUT": member_channel.MemberFault.TIMED_OUT,
}

#: BUSY, LAGGING, READONLY and ABORTED promise the client that its attempt had
#: no effect, so only error kinds whose effect is "not run" map to them.
_WORD_BY_ERROR = {
    errors.ErrorKind.BAD_REQUEST: "MALFORMED",
    errors.ErrorKind.REQUEST_TOO_LARGE: "TOOLARGE",
    errors.ErrorKind.UNAUTHORIZED: "NOAUTH",
    errors.ErrorKind.NO_ROUTE: "NODB",
    errors.ErrorKind.RATE_LIMITED: "BUSY",
    errors.ErrorKind.CREDENTIALS_UNCONFIRMED: "BUSY",
    errors.ErrorKind.ROUTES_UNCONFIRMED: "BUSY",
    errors.ErrorKind.OVERLOADED: "BUSY",
    errors.ErrorKind.DEADLINE_UNREACHABLE: "BUSY",
    errors.ErrorKind.DRAINING: "BUSY",
    errors.ErrorKind.NO_PRIMARY: "READONLY",
    errors.ErrorKind.NO_FRESH_MEMBER: "LAGGING",
    errors.ErrorKind.TRANSACTION_LOST: "ABORTED",
    errors.ErrorKind.UNKNOWN_STATEMENT: "UNKNOWN",
    errors.ErrorKind.STATEMENT_FAILED: "FAILED",
    errors.ErrorKind.STATEMENT_TIMEOUT: "TIMEOUT",
    errors.ErrorKind.OUTCOME_UNKNOWN: "INDOUBT",
    errors.ErrorKind.INTERNAL: "INDOUBT",
}


class ProtocolError(Exception):
    """A message that does not follow the protocol."""


class RefusedStatement(ProtocolError):
    """A statement that is not run; its connection can go on.

    Parameters
    ==========

    failure : Failure
        What the client is told.

    """

    def __init__(self, statement_id: ids.StatementId, failure: errors.Failure):
        super().__init__(failure.message)
        self.statement_id = statement_id
        self.failure = failure


class Startup(msgspec.Struct, frozen=True):
    """First message from a client."""

    database: ids.DatabaseName
    #: Key of the client, where the manifest has accounts.
    user: str

    def __repr__(self) -> str:
        """Return a text without the key."""
        return f"Startup({self.database!r})"


class Terminate(msgspec.Struct, frozen=True):
    """Last message from a client."""


def _text(line: bytes) -> str:
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError:
        raise ProtocolError("the message is not UTF-8 text") from None
    # A member with a less strict parser could end the line at a bare CR or
    # LF, which would allow a second statement to be injected.
    if any(character in text for character in "\r\n\0"):
        raise ProtocolError("the message contains a control character")
    return text


def read_startup(line: bytes) -> Startup:
    """Decode the first message of a client."""
    word, _, rest = _text(line).partition(" ")
    database, _, user = rest.partition(" ")
    if word != "STARTUP" or not database:
        raise ProtocolError("the first message is not STARTUP with a database")
    return Startup(ids.DatabaseName(database), user)


def read_request(line: bytes) -> command.Command | Terminate:
    """Decode a later message of a client.

    Raises
    ======

    RefusedStatement
        If the protocol does not allow the statement.
    ProtocolError
        If it is no message at all.

    """
    word, _, rest = _text(line).partition(" ")
    if word == "TERMINATE":
        return Terminate()
    if word != "QUERY":
        raise ProtocolError(f"unknown message {word[:20]!r}")
    statement_id, _, text = rest.partition(" ")
    if not statement_id or statement_id == PROXY_STATEMENT_ID:
        raise ProtocolError("QUERY needs an id other than '-'")
    known = ids.StatementId(statement_id)
    try:
        statement = read_statement(known, text)
    except ProtocolError as error:
        raise RefusedStatement(
            known,
            errors.Failure(errors.ErrorKind.BAD_REQUEST, str(error)),
        ) from None
    if len(line) + len(END) + _growth(statement) > MAX_MESSAGE_BYTES:
        raise RefusedStatement(
            known,
            errors.Failure(
                errors.ErrorKind.REQUEST_TOO_LARGE,
                "message over 1 MiB with the fields that a member needs",
            ),
        )
    return statement


def _growth(statement: command.Command) -> int:
    """Return by how many bytes the line for a member may be longer."""
    if statement.kind is command.CommandKind.READ:
        return _AFTER_LENGTH
    longer_name = command.NAME_LENGTH - len(statement.name.encode())
    if statement.kind is command.CommandKind.EXECUTE:
        return max(longer_name + _AFTER_LENGTH, 0)
    if statement.kind is command.CommandKind.PREPARE:
        return max(longer_name, 0)
    return 0


def read_statement(
    statement_id: ids.StatementId, text: str
) -> command.Command:
    """Parse the text of a statement."""
    word, _, rest = text.partition(" ")
    read = _READER_BY_WORD.get(word)
    if read is None:
        raise ProtocolError(f"unknown statement {word[:20]!r}")
    return read(statement_id, text, rest)


def _read_begin(
    statement_id: ids.StatementId, text: str, rest: str
) -> command.Command:
    if text not in ("BEGIN", "BEGIN READ"):
        raise ProtocolError(f"BEGIN takes READ or nothing, not {rest[:20]!r}")
    kind = command.CommandKind.BEGIN
    if rest == "READ":
        kind = command.CommandKind.BEGIN_READ_ONLY
    return command.Command(statement_id, kind, text)


def _reader_without_fields(kind: command.CommandKind):
    def read(
        statement_id: ids.StatementId, text: str, rest: str
    ) -> command.Command:
        if text != kind.name:
            raise ProtocolError(f"{kind.value} takes no fields")
        return command.Command(statement_id, kind, text)

    return read


def _read_read(
    statement_id: ids.StatementId, text: str, rest: str
) -> command.Command:
    if not rest:
        raise ProtocolError("READ needs an item")
    return command.Command(statement_id, command.CommandKind.READ, text)


def _read_write(
    statement_id: ids.StatementId, text: str, rest: str
) -> command.Command:
    if not rest or rest.startswith(" "):
        raise ProtocolError("WRITE needs an item")
    return command.Command(statement_id, command.CommandKind.WRITE, text)


def _read_deallocate(
    statement_id: ids.StatementId, text: str, rest: str
) -> command.Command:
    if not rest or " " in rest:
        raise ProtocolError("DEALLOC needs a name, which is one word")
    return command.Command(
        statement_id, command.CommandKind.DEALLOCATE, text, name=rest
    )


def _read_set(
    statement_id: ids.StatementId, text: str, rest: str
) -> command.Command:
    # The value may be empty, but a field without its blank would be set again
    # with one.
    name, blank, value = rest.partition(" ")
    if not name or not blank:
        raise ProtocolError("SET needs a name and a value")
    return command.Command(
        statement_id,
        command.CommandKind.SET,
        text,
        name=name,
        argument=value,
    )


def _read_execute(
    statement_id: ids.StatementId, text: str, rest: str
) -> command.Command:
    name, _, argument = rest.partition(" ")
    if not name or not argument or argument.startswith(" "):
        raise ProtocolError("EXECUTE needs a name and an item")
    return command.Command(
        statement_id,
        command.CommandKind.EXECUTE,
        text,
        name=name,
        argument=argument,
    )


def _read_prepare(
    statement_id: ids.StatementId, text: str, rest: str
) -> command.Command:
    name, _, definition = rest.partition(" ")
    word, _, shape = definition.partition(" ")
    if not name or word not in ("READ", "WRITE") or not shape:
        raise ProtocolError("PREPARE needs a name, READ or WRITE, and a shape")
    return command.Command(
        statement_id,
        command.CommandKind.PREPARE,
        text,
        name=name,
        shape=command.Shape(word == "WRITE", shape),
    )


_READER_BY_WORD = {
    "BEGIN": _read_begin,
    "COMMIT": _reader_without_fields(command.CommandKind.COMMIT),
    "ROLLBACK": _reader_without_fields(command.CommandKind.ROLLBACK),
    "READ": _read_read,
    "WRITE": _read_write,
    "SET": _read_set,
    "PREPARE": _read_prepare,
    "EXECUTE": _read_execute,
    "DEALLOC": _read_deallocate,
}


def _position_text(position: log_position.LogPosition | None) -> str:
    return "-" if position is None else str(position)


def ready_line(
    state: member_channel.TransactionState,
    position: log_position.LogPosition | None = None,
) -> bytes:
    """Encode the message that ends every answer to a client."""
    return (
        f"READY {_LETTER_BY_STATE[state]} {_position_text(position)}\r\n"
    ).encode()


def answer_lines(answer: member_channel.Answer) -> bytes:
    """Encode a member's answer for the client, without READY."""
    rows = "".join(f"DATAROW {row}\r\n" for row in answer.rows)
    return (rows + f"COMPLETE {answer.receipt}\r\n").encode()


def error_line(failure: errors.Failure) -> bytes:
    """Encode the message that reports a failure to a client."""
    word = _WORD_BY_ERROR.get(failure.kind, "INDOUBT")
    text = failure.message
    if failure.retry_after_ms:
        text += f", retry after {failure.retry_after_ms} ms"
    return f"ERROR {word} {text}\r\n".encode()


def startup_line(
    member: member_channel.MemberAddress,
    account: ids.AccountName | None = None,
) -> bytes:
    """Encode the first message to a member.

    Without an account the connection is the proxy's own.
    """
    who = OWN_NAME if account is None else account
    return f"STARTUP {member.group} {who} {member.id}\r\n".encode()


def query_line(
    statement_id: str,
    text: str,
    after: log_position.LogPosition | None = None,
) -> bytes:
    """Encode a statement for a member."""
    prefix = "" if after is None else f"AFTER {_position_text(after)} "
    return f"QUERY {statement_id} {prefix}{text}\r\n".encode()


def member_text(
    statement: command.Command, shape: command.Shape | None
) -> str:
    """Return the text of a client's statement for a member.

    It is the client's text, except for the name of a prepared statement.
    """
    if shape is None:
        return statement.text
    word, _, *fields = statement.text.split(" ", 2)
    return " ".join([word, shape.member_name, *fields])


def step_text(step: member_session.Step) -> str:
    """Return the text of a statement that sets up a session."""
    if step.kind is member_session.StepKind.RESET:
        return "RESET"
    if step.kind is member_session.StepKind.SET:
        return f"SET {step.name} {step.value}"
    assert step.shape is not None
    word = "WRITE" if step.shape.writes else "READ"
    return f"PREPARE {step.shape.member_name} {word} {step.shape.text}"


def _number(text: str) -> int | None:
    """Return a term or a number of a log; None if the text is not one."""
    digits = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if digits else None


def read_position(text: str) -> log_position.LogPosition | None:
    """Return a log position; None for '-' or if the text is not one."""
    term, point, number = text.partition(".")
    term_number, commit_number = _number(term), _number(number)
    if not point or term_number is None or commit_number is None:
        return None
    return log_position.LogPosition(term_number, commit_number)


def _fault_of(fields: str) -> member_channel.MemberFault:
    """Return the fault for the fields of an ERROR message."""
    code = fields.partition(" ")[0]
    return _FAULT_BY_WORD.get(code, member_channel.MemberFault.OTHER)


def read_answer(data: bytes) -> member_channel.Answer:
    """Decode the answer of a member, from its first line to READY.

    Raises
    ======

    ProtocolError
        If the lines are not a valid answer.

    """
    rows, receipt, fault, text = [], None, None, ""
    lines = data.decode("utf-8", "replace").split("\r\n")[:-1]
    if not lines:
        raise ProtocolError("a member sent an empty answer")
    for line in lines[:-1]:
        word, _, rest = line.partition(" ")
        if word == "DATAROW":
            rows.append(rest)
        elif word == "COMPLETE":
            receipt = rest
        elif word == "ERROR":
            fault, text = _fault_of(rest), rest
    word, _, rest = lines[-1].partition(" ")
    letter, _, position = rest.partition(" ")
    if word == "ERROR":
        # A refused STARTUP ends without READY.
        return member_channel.Answer(fault=_fault_of(rest), text=rest)
    if word != "READY" or letter not in _STATE_BY_LETTER:
        raise ProtocolError(f"unexpected end of an answer: {lines[-1][:40]!r}")
    return member_channel.Answer(
        rows=tuple(rows),
        receipt=receipt or "-",
        fault=fault,
        text=text,
        state=_STATE_BY_LETTER[letter],
        position=read_position(position),
    )


_ROLE_BY_WORD = {
    "primary": member_channel.Role.PRIMARY,
    "replica": member_channel.Role.REPLICA,
}


def read_status(answer: member_channel.Answer) -> member_channel.MemberStatus:
    """Decode the row in the answer to PAUSE or DEMOTE."""
    fields = answer.rows[0].split(" ") if answer.rows else []
    received = read_position(fields[2]) if len(fields) > 2 else None
    role = _ROLE_BY_WORD.get(fields[0]) if fields else None
    term = _number(fields[1]) if len(fields) > 1 else None
    if received is None or role is None or term is None:
        raise ProtocolError(
            f"invalid member status: {answer.rows[0][:200]!r}"
            if answer.rows
            else "no member status"
        )
    held_term = _number(fields[3]) if len(fields) > 3 else None
    return member_channel.MemberStatus(role, term, received, held_term or 0)
