"""Values and prepared names of one client session."""

import sys

from returns import result

from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart.process.gateway.sessions import attempts
from burdockcart.request import command

#: Maximum number of prepared names and values in one session, and of bytes in
#: all of them, which is that of one message; bounds the memory that one client
#: can use, and the size of what is relayed with each statement.
MAX_NAMES = 1000
MAX_BYTES = 1024 * 1024

#: Kinds of the statements that change only values or names.
KINDS = frozenset(
    {
        command.CommandKind.SET,
        command.CommandKind.PREPARE,
        command.CommandKind.DEALLOCATE,
    }
)


#: Memory of the entries of one name besides its text, in bytes.
ENTRY_BYTES = 512


def bytes_of(statement: command.Command) -> int:
    """Return the memory that a session needs to keep a statement's name."""
    shape = statement.shape
    text = statement.argument if shape is None else shape.text
    return sys.getsizeof(statement.name) + sys.getsizeof(text) + ENTRY_BYTES


class SessionNames:
    """Names that last as long as the session.

    Parameters
    ==========

    value_by_name : dict of str to str
        Also read by the attempts at members.

    """

    def __init__(self, value_by_name: dict[str, str]):
        self._value_by_name = value_by_name
        self._shape_by_name: dict[str, command.Shape] = {}
        self._bytes_by_key: dict[tuple[bool, str], int] = {}
        self._memory_by_key: dict[tuple[bool, str], int] = {}
        #: Memory of all values and prepared names, in bytes; up to four times
        #: that of their encoded texts.
        self.memory_bytes = 0

    def shape_of(self, statement: command.Command) -> command.Shape | None:
        """Return the shape that a statement executes, if there is one."""
        if statement.kind is not command.CommandKind.EXECUTE:
            return None
        return self._shape_by_name.get(statement.name)

    def writes(self, statement: command.Command) -> bool:
        """Return whether a statement writes."""
        shape = self.shape_of(statement)
        return statement.kind is command.CommandKind.WRITE or (
            shape is not None and shape.writes
        )

    def change(self, statement: command.Command) -> attempts.Outcome:
        """Apply a statement that sets, prepares or deallocates a name."""
        values, shapes = self._value_by_name, self._shape_by_name
        if statement.kind is command.CommandKind.DEALLOCATE:
            if shapes.pop(statement.name, None) is None:
                return result.Failure(unknown(statement.name))
            del self._bytes_by_key[False, statement.name]
            self.memory_bytes -= self._memory_by_key.pop(
                (False, statement.name)
            )
            return result.Success(member_channel.Answer())
        if not self._make_room(statement):
            return result.Failure(
                errors.Failure(
                    errors.ErrorKind.REQUEST_TOO_LARGE,
                    f"a session keeps at most {MAX_NAMES} names and "
                    f"{MAX_BYTES} bytes",
                )
            )
        if statement.kind is command.CommandKind.SET:
            values[statement.name] = statement.argument
        elif statement.shape is not None:
            shapes[statement.name] = statement.shape
        return result.Success(member_channel.Answer())

    def _make_room(self, statement: command.Command) -> bool:
        """Count what a statement adds; return whether the session keeps it."""
        shape = statement.shape
        text = statement.argument if shape is None else shape.text
        key = (statement.kind is command.CommandKind.SET, statement.name)
        sizes = self._bytes_by_key
        size = len(statement.name.encode()) + len(text.encode())
        names = len(sizes.keys() | {key})
        total = sum(sizes.values()) - sizes.get(key, 0) + size
        if names > MAX_NAMES or total > MAX_BYTES:
            return False
        sizes[key] = size
        memory = bytes_of(statement)
        self.memory_bytes += memory - self._memory_by_key.get(key, 0)
        self._memory_by_key[key] = memory
        return True


def unknown(name: str) -> errors.Failure:
    """Return the failure of a statement with an unknown name."""
    return errors.Failure(
        errors.ErrorKind.UNKNOWN_STATEMENT,
        f"no statement is prepared as {name[:40]!r}",
    )
