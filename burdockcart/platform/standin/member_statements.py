"""Statements as a member reads them, and the session of its connections.

Explanation
===========

This is written from the protocol and shares no code with the gateway's
reader, so that a line that the gateway reads or writes wrongly does not look
right here.  The words of a line are separated by single spaces, and the last
field extends to the end of the line.  A kind of PREPARE other than READ and
WRITE is kept as it is, for the checks to report.

"""

import dataclasses

from burdockcart.request import command
from burdockcart.request import log_position

END = b"\r\n"
#: Largest message, in bytes.
MAX_LINE_BYTES = 1024 * 1024
#: Id of the statements that the gateway itself issues.
OWN_ID = "-"

_KIND_BY_WORD = {
    "READ": command.CommandKind.READ,
    "WRITE": command.CommandKind.WRITE,
    "EXECUTE": command.CommandKind.EXECUTE,
    "COMMIT": command.CommandKind.COMMIT,
}


class Malformed(Exception):
    """A line that the protocol does not allow."""


@dataclasses.dataclass(frozen=True)
class Statement:
    """One QUERY message.

    Parameters
    ==========

    text : str
        The statement without AFTER and its position.
    word : str
        First word of the text; ``fields`` are the others.
    data : str or None
        What follows the item of WRITE and EXECUTE; None without a space
        after the item.

    """

    id: str
    text: str
    word: str
    after: log_position.LogPosition | None = None
    name: str = ""
    value: str = ""
    kind: str = ""
    shape: str = ""
    item: str = ""
    data: str | None = None

    @property
    def client_kind(self) -> command.CommandKind | None:
        """Kind of a statement that is forwarded for clients, or None."""
        return _KIND_BY_WORD.get(self.word)


def _fields(text: str, count: int) -> list[str]:
    """Split a text into as many fields, of which the last may have spaces."""
    fields = text.split(" ", count - 1)
    if len(fields) < count:
        raise Malformed(f"{count} fields expected in {text[:40]!r}")
    return fields


def _position(text: str) -> log_position.LogPosition:
    term, _, number = text.partition(".")
    try:
        return log_position.LogPosition(int(term), int(number))
    except ValueError:
        raise Malformed(f"not a position: {text[:40]!r}") from None


def read(line: bytes) -> Statement | None:
    """Read a message without its end; return None for TERMINATE."""
    try:
        text = line.decode()
    except UnicodeDecodeError:
        raise Malformed("not UTF-8 text") from None
    if text == "TERMINATE":
        return None
    word, statement_id, text = _fields(text, 3)
    if word != "QUERY":
        raise Malformed(f"unknown message {word[:20]!r}")
    after = None
    if text.startswith("AFTER "):
        _, position, text = _fields(text, 3)
        after = _position(position)
    word, _, rest = text.partition(" ")
    fields = _read_fields(word, rest)
    return Statement(statement_id, text, word, after, **fields)


def _read_fields(word: str, rest: str) -> dict[str, str]:
    if word == "READ":
        return {"item": rest}
    if word == "WRITE":
        return _item_and_data(rest)
    if word == "EXECUTE":
        name, arguments = _fields(rest, 2)
        return {"name": name, **_item_and_data(arguments)}
    if word == "PREPARE":
        return dict(zip(("name", "kind", "shape"), _fields(rest, 3)))
    if word == "SET":
        return dict(zip(("name", "value"), _fields(rest, 2)))
    if word == "DEALLOC":
        return {"name": rest}
    return {"value": rest}


def _item_and_data(text: str) -> dict[str, str]:
    item, space, data = text.partition(" ")
    return {"item": item, "data": data} if space else {"item": item}


class Session:
    """Session values and prepared statements of a connection."""

    def __init__(self) -> None:
        self.value_by_name: dict[str, str] = {}
        #: Kind and shape.
        self.prepared_by_name: dict[str, tuple[str, str]] = {}

    def apply(self, statement: Statement) -> None:
        """Apply RESET, SET, PREPARE or DEALLOC.

        Raises
        ======

        Malformed
            For any other statement.

        """
        if statement.word == "RESET":
            self.value_by_name.clear()
            self.prepared_by_name.clear()
        elif statement.word == "SET":
            self.value_by_name[statement.name] = statement.value
        elif statement.word == "PREPARE":
            self.prepared_by_name[statement.name] = (
                statement.kind,
                statement.shape,
            )
        elif statement.word == "DEALLOC":
            self.prepared_by_name.pop(statement.name, None)
        else:
            raise Malformed(f"unknown statement {statement.word[:20]!r}")

    def meaning(self, statement: Statement) -> tuple[str, str] | None:
        """Return what EXECUTE runs; None for an unknown name."""
        return self.prepared_by_name.get(statement.name)

    def values(self) -> tuple[tuple[str, str], ...]:
        """Return the session values, sorted by name."""
        return tuple(sorted(self.value_by_name.items()))
