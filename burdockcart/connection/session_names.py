"""Values and prepared names of one client session."""

from returns import result

from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart.process.gateway import attempts
from burdockcart.request import command

#: Maximum number of prepared names and values in one session; bounds the
#: memory that one client can use.
MAX_NAMES = 1000

#: Kinds of the statements that change only values or names.
KINDS = frozenset(
    {
        command.CommandKind.SET,
        command.CommandKind.PREPARE,
        command.CommandKind.DEALLOCATE,
    }
)


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
            return result.Success(member_channel.Answer())
        if len(values) + len(shapes) >= MAX_NAMES:
            return result.Failure(
                errors.Failure(
                    errors.ErrorKind.REQUEST_TOO_LARGE,
                    f"a session keeps at most {MAX_NAMES} names",
                )
            )
        if statement.kind is command.CommandKind.SET:
            values[statement.name] = statement.argument
        elif statement.shape is not None:
            shapes[statement.name] = statement.shape
        return result.Success(member_channel.Answer())


def unknown(name: str) -> errors.Failure:
    """Return the failure of a statement with an unknown name."""
    return errors.Failure(
        errors.ErrorKind.UNKNOWN_STATEMENT,
        f"no statement is prepared as {name[:40]!r}",
    )
