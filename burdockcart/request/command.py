"""Statement of a client session, decoded from the wire."""

import enum

import msgspec

from burdockcart import ids


class CommandKind(enum.Enum):
    """What a statement asks for."""

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
    """What a prepared statement does."""

    writes: bool
    text: str

    @property
    def member_name(self) -> str:
        """Name on member connections, the same for every session.

        Sessions choose names that collide; a name derived from the shape
        lets all sessions share what a connection has prepared.
        """
        return ("w_" if self.writes else "r_") + self.text


class Command(msgspec.Struct, frozen=True):
    """One statement.

    Parameters
    ==========

    text : str
        The statement as the client sent it; members get it unchanged.
    name : str
        Session value of SET; prepared name of PREPARE, EXECUTE and
        DEALLOCATE.
    argument : str
        Value of SET; arguments of EXECUTE.
    shape : Shape or None
        What PREPARE defines.

    """

    id: ids.StatementId
    kind: CommandKind
    text: str
    name: str = ""
    argument: str = ""
    shape: Shape | None = None
