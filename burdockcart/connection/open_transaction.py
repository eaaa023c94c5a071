"""A client's transaction between BEGIN and its end."""

import enum

from burdockcart import errors
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.version import manifest


class Phase(enum.Enum):
    """How far a transaction has come.

    Until a statement has succeeded, the transaction may still begin on
    another member.
    """

    NEW = "new"
    STARTED = "started"
    OVER = "over"


class OpenTransaction:
    """State of one transaction.

    Explanation
    ===========

    It gets a connection with its first statement and keeps it until it ends,
    so no statement of another client can run inside.  The route is the one
    in force at BEGIN.  ``failure`` is set once it can no longer commit; the
    client's next statement reports it.

    """

    def __init__(
        self,
        route: manifest.DatabaseRoute,
        read_only: bool,
        began_at: float = 0.0,
    ):
        self.route = route
        #: Time of its BEGIN, on the event loop's clock.
        self.began_at = began_at
        self.read_only = read_only
        self.phase = Phase.NEW
        self.connection: pooled_connection.PooledConnection | None = None
        self.failure: errors.Failure | None = None
        #: Whether the failure still has to be reported to the client.
        self.unreported = False
        self.wrote = False
        #: Whether the member may run it only while it is the primary.
        self.needs_primary = False
