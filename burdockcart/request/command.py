"""Statement of a client session, decoded from the wire."""

import enum
import functools
import hashlib

import msgspec

from burdockcart import ids

#: Size of the digest in a prepared name, in bytes: collisions stay out of
#: reach for clients that look for them.
NAME_BYTES = 16
#: Length of a prepared name on member connections, in characters.
NAME_LENGTH = 2 + 2 * NAME_BYTES


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


class Shape(msgspec.Struct, frozen=True, dict=True):
    """Prepared statement, whatever name a session gave it.

    Examples
    ========

    >>> from burdockcart.request import command
    >>> command.Shape(True, "q2c a").member_name
    'w_c6cd5ade3fb7d4f96f937d837cd597d2'

    """

    writes: bool
    text: str

    @functools.cached_property
    def member_name(self) -> str:
        """Name on member connections, the same for every session.

        Names chosen by sessions may collide; a name derived from the shape
        lets all sessions share the statements prepared on a connection.  It
        is one word of a fixed length, whatever the text holds, and still
        right on a connection whose prepared statements were lost.
        """
        digest = hashlib.blake2b(self.text.encode(), digest_size=NAME_BYTES)
        return ("w_" if self.writes else "r_") + digest.hexdigest()


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
