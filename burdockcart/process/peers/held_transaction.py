"""Transaction of another daemon on a connection of this one."""

import enum

import loguru

from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import pooled_connection

State = member_channel.TransactionState


class Phase(enum.Enum):
    """How far a transaction has come."""

    BEGINNING = "beginning"
    OPEN = "open"
    ENDED = "ended"


class HeldTransaction:
    """Owns a connection from its begin to its end.

    Explanation
    ===========

    The connection is released once, whichever comes first: the answer that
    ends the transaction, or the word of the other daemon that it was given
    up.  Afterwards nothing reaches the connection through the transaction.

    Parameters
    ==========

    number : int
        Number on the link of the other daemon.

    """

    def __init__(self, daemon: ids.DaemonId, number: int):
        self.number = number
        self.phase = Phase.BEGINNING
        #: Whether a write has been sent in it.
        self.wrote = False
        self._daemon = daemon
        self._group: groups.Group | None = None
        self._connection: pooled_connection.PooledConnection | None = None

    @property
    def connection(self) -> pooled_connection.PooledConnection | None:
        """The connection of an open transaction; None for any other."""
        return self._connection if self.phase is Phase.OPEN else None

    @property
    def group(self) -> ids.GroupId | None:
        """Group that it runs in; None until it has begun."""
        return None if self._group is None else self._group.id

    def begun(
        self,
        group: groups.Group,
        connection: pooled_connection.PooledConnection,
    ) -> None:
        """Take over the connection on which it has begun."""
        connection.active = False
        if self.phase is Phase.BEGINNING and connection.channel.in_transaction:
            self.phase = Phase.OPEN
            self._group, self._connection = group, connection
            return
        if connection.channel.in_transaction:
            self._log_discarded("it was given up while it began")
        self.phase = Phase.ENDED
        connection.channel.close()
        group.release(connection)

    def settle(self) -> None:
        """Release the connection if the last answer ended the transaction."""
        connection = self.connection
        if connection is not None and not connection.channel.in_transaction:
            self._release()

    def discard(self, cause: str) -> None:
        """Close the connection, which rolls the transaction back."""
        connection = self.connection
        if connection is None:
            self.phase = Phase.ENDED
            return
        self._log_discarded(cause)
        connection.aborted_locally = True
        connection.channel.close()
        self._release()

    def _log_discarded(self, cause: str) -> None:
        loguru.logger.info(
            "event=transaction_discarded daemon={} transaction={} cause={!r}",
            self._daemon,
            self.number,
            cause,
        )

    async def roll_back(self, timeout_s: float) -> member_channel.Answer:
        """Roll back and release the connection."""
        connection = self.connection
        if connection is None:
            self.phase = Phase.ENDED
            return member_channel.Answer()
        answer = await connection.channel.roll_back(timeout_s)
        if answer.fault is not None:
            connection.channel.close()
        if self.phase is Phase.OPEN:
            self._release()
        return answer

    def _release(self) -> None:
        assert self._group is not None and self._connection is not None
        self.phase = Phase.ENDED
        self._group.release(self._connection)
