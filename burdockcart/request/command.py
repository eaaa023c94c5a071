"""Statement of a client session, decoded from the wire."""

import enum

import msgspec

from burdockcart import ids


class CommandKind(enum.Enum):
    """Type of a client's statement."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class Shape(msgspec.Struct, frozen=True):
    """Prepared statement, whatever name a session gave it."""

    writes: bool
    text: str

    @property
    def member_name(self) -> str:
        """Name on member connections, the same for every session.

        Names chosen by sessions may collide; a name derived from the shape
        lets all sessions share the statements prepared on a connection.
        """
        return ("w_" if self.writes else "r_") + self.text


class Command(msgspec.Struct, frozen=True):
    """One statement.

    Parameters
    ==========

    text : str
        The statement as the client sent it; forwarded unchanged.
    name : str
        Session value of SET; prepared name of PREPARE, EXECUTE and
        DEALLOCATE.
    argument : str
        Value of SET; arguments of EXECUTE.
    shape : Shape or None
        Statement that PREPARE defines.

    """

    id: ids.StatementId
    kind: CommandKind
    text: str
    name: str = ""
    argument: str = ""
    shape: Shape | None = None
