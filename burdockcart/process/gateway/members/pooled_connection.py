"""Connection of a pool, and what it is used for."""

import itertools
from typing import TYPE_CHECKING

from burdockcart.connection import member_channel
from burdockcart.connection import member_session
from burdockcart import ids

if TYPE_CHECKING:
    from burdockcart.process.gateway.members import member_pool


class PooledConnection:
    """A connection and the session state that it holds."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        pool: "member_pool.MemberPool",
        channel: member_channel.Channel,
        account: ids.AccountName | None = None,
    ):
        #: Client account that it was opened for; None for the daemon's own
        #: name.  The member counts all statements on it as this account's.
        self.account = account
        #: Names the connection in the log of this daemon.
        self.number = next(self._numbers)
        self.pool = pool
        self.channel = channel
        self.session_state = member_session.MemberSession()
        #: Whether the shape of the current statement was prepared for it.
        self.just_prepared = False
        #: Whether a statement has run on it.
        self.used = False
        self.taken_at = 0.0
        #: Account that it was taken for, and the expected hold time.
        self.charged_to: ids.AccountName | None = None
        self.expected_hold_s = 0.0
        #: Whether a member has run a statement of its work.  What a member
        #: refuses takes no time and says nothing about that of other work.
        self.served = False
        self.idle_since = 0.0
        #: Whether a statement runs or is about to; False while a transaction
        #: is idle.
        self.active = False
        #: Whether it must be closed after its work: it was opened before the
        #: pool changed between direct and relayed connections.
        self.stale = False
        #: Whether the running statement can be retried on another member.
        self.retryable = False
        #: Client's statement that runs on it.
        self.statement: ids.StatementId | None = None
        #: Whether this daemon aborted the running statement.
        self.aborted_locally = False

    def begin_statement(
        self, statement: ids.StatementId, waits_for_replica: bool
    ) -> None:
        """Record that a client's statement runs on it."""
        self.active, self.statement = True, statement
        # A statement of a transaction cannot be repeated by itself.
        self.retryable = not (waits_for_replica or self.channel.in_transaction)

    def end_statement(self) -> None:
        """Record that the statement has ended."""
        self.active, self.statement = False, None
        self.retryable = False
