"""A client's transaction between BEGIN and its end."""

from burdockcart import errors
from burdockcart.process.gateway import member_pool
from burdockcart.version import manifest


class OpenTransaction:
    """State of one transaction.

    Explanation
    ===========

    It gets a connection with its first statement and keeps it to its end, so
    no statement of another client can run inside.  The route is the one in
    force at BEGIN.  ``failure`` is set once nothing of it can be kept; the
    client is told with its next statement.

    """

    def __init__(self, route: manifest.DatabaseRoute, read_only: bool):
        self.route = route
        self.read_only = read_only
        self.connection: member_pool.PooledConnection | None = None
        self.failure: errors.Failure | None = None
        #: Whether the client has yet to be told of the failure.
        self.untold = False
        self.wrote = False
        #: Whether the member runs it only while it leads its group.
        self.needs_leader = False
