"""Interface of a connection to a member."""

import enum
from typing import Protocol

import msgspec

from burdockcart.connection import member_session
from burdockcart import ids
from burdockcart.request import command
from burdockcart.request import log_position


class TransactionState(enum.Enum):
    """State of a connection's transaction after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class MemberFault(enum.Enum):
    """Why a statement was refused, failed or was not answered."""

    QUEUE_FULL = "queue full"
    BEHIND = "behind the position asked for"
    NOT_PRIMARY = "not the primary"
    OTHER_MEMBER = "another member at this address"
    CONNECTIONS_EXHAUSTED = "connections exhausted"
    UNKNOWN_NAME = "unknown prepared name"
    UNCONFIRMED = "no replica confirmed the primary's term"
    UNCOVERED = "the member that may be promoted has not reported the commit"
    FAILED = "failed"
    TIMED_OUT = "timed out at the member"
    REFUSED = "connection refused"
    SILENT = "no answer"
    BROKEN = "connection lost"
    RELAY_REFUSED = "not sent by the relaying daemon"
    RELAY_LOST = "lost by the relaying daemon"
    NOT_SENT = "not sent on this connection"
    OUTSIDE = "ran outside of its transaction"
    ROLLED_BACK = "not sent, and its transaction rolled back"
    OTHER = "other"


#: Faults that prove that the statement was not run.
NOT_RUN = frozenset(
    {
        MemberFault.QUEUE_FULL,
        MemberFault.BEHIND,
        MemberFault.NOT_PRIMARY,
        MemberFault.OTHER_MEMBER,
        MemberFault.CONNECTIONS_EXHAUSTED,
        MemberFault.UNKNOWN_NAME,
        MemberFault.UNCONFIRMED,
        MemberFault.REFUSED,
        MemberFault.RELAY_REFUSED,
        MemberFault.NOT_SENT,
        MemberFault.ROLLED_BACK,
    }
)
#: Faults after which the connection cannot be used.
NO_ANSWER = frozenset({MemberFault.SILENT, MemberFault.BROKEN})
#: Faults of a relaying daemon, which say nothing about the member.
OF_RELAY = frozenset(
    {
        MemberFault.RELAY_REFUSED,
        MemberFault.RELAY_LOST,
        MemberFault.ROLLED_BACK,
    }
)


class Answer(msgspec.Struct, frozen=True):
    """Answer of a member to one statement.

    Parameters
    ==========

    receipt : str
        The member's proof that it ran the statement; clients check it.
    fault : MemberFault or None
        None for success.
    text : str
        The member's description of the fault.
    position : LogPosition or None
        Position of the member's log, if reported.

    """

    rows: tuple[str, ...] = ()
    receipt: str = "-"
    fault: MemberFault | None = None
    text: str = ""
    state: TransactionState = TransactionState.IDLE
    position: log_position.LogPosition | None = None


class Role(enum.Enum):
    """Role of a member in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class MemberStatus(msgspec.Struct, frozen=True):
    """Status that a member reports.

    ``received`` is the position of its log on disk, which may be ahead of
    the position that is visible to reads.  ``term`` is the newest term that
    the member knows, for a primary the one that it leads; it exceeds the
    term of the position until the first commit of a new primary.
    ``held_term`` is the term with which it was put on hold, 0 if it was not.
    """

    role: Role
    term: int
    received: log_position.LogPosition
    held_term: int = 0


class Channel(Protocol):
    """One open connection to a member, owned by one statement or transaction.

    Explanation
    ===========

    All kinds of channels keep the same contract, see
    :mod:`burdockcart.connection.channel_state`:

    - One call runs at a time.  A call that does not fit the state of the
      channel, or comes while another one runs, is not sent; its answer is
      the fault ``NOT_SENT``, or ``ROLLED_BACK`` if the connection has ended in
      a transaction.
    - A statement of a transaction is sent by :meth:`run_in_transaction`, and
      only between a successful :meth:`begin` and the end of the transaction.
      Any other statement is sent by :meth:`run`, and only outside of one.
    - After a success the member's connection is in the expected state: in the
      transaction after :meth:`begin` and its statements, else in none.
      Otherwise the answer is a fault and the channel is closed.
    - After an answer with a fault of ``NO_ANSWER`` the channel is closed.
    - A closed channel sends nothing.  An answer that arrives after the
      channel was closed is a success only for a single statement or a COMMIT,
      whose outcome it tells.
    - Only a channel that is ``free`` may be handed to another owner.

    """

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""

    @property
    def free(self) -> bool:
        """Whether it is open, without a transaction or a running call."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on it."""

    @property
    def direct(self) -> bool:
        """Whether it is a connection to the member itself."""

    def relay_silent(self) -> bool:
        """Return whether a daemon that relays statements is silent."""

    def set_urgency(self, priority: int, goal_s: float, wait_s: float) -> None:
        """Set how the next statements are ordered if they are relayed.

        Parameters
        ==========

        goal_s, wait_s : float
            Seconds left until the latency goal, and until a statement may no
            longer wait for a connection.

        """

    async def prepare(
        self, steps: list[member_session.Step], timeout_s: float
    ) -> list[Answer]:
        """Run setup statements; the answers stop at the first fault."""

    async def run(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
        prove: bool = False,
    ) -> Answer:
        """Run a client's statement outside of a transaction.

        With ``prove`` the member first confirms that it is the primary;
        otherwise the answer is NOT_PRIMARY, whatever the statement returned.
        """

    async def run_in_transaction(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
    ) -> Answer:
        """Run a client's statement in the open transaction, or its COMMIT."""

    async def begin(
        self,
        read_only: bool,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
    ) -> Answer:
        """Begin a transaction."""

    async def roll_back(self, timeout_s: float) -> Answer:
        """Roll back the open transaction."""

    async def observe(self, timeout_s: float) -> MemberStatus | MemberFault:
        """Ask for the member's status; takes none of its slots."""

    async def demote(
        self, term: int, timeout_s: float
    ) -> MemberStatus | MemberFault:
        """Make the member a replica if it leads a term below ``term``."""

    async def hold_replication(
        self, term: int, timeout_s: float
    ) -> MemberStatus | MemberFault:
        """Pause replication on a replica until it is released or promoted."""

    async def release_replication(self, timeout_s: float) -> Answer:
        """Resume replication on a replica."""

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""


class MemberAddress(msgspec.Struct, frozen=True):
    """Identity and address of a member."""

    id: ids.MemberId
    group: ids.GroupId
    address: str


class Connector(Protocol):
    """Opens connections to members."""

    async def connect(
        self,
        member: MemberAddress,
        timeout_s: float,
        account: ids.AccountName | None = None,
    ) -> Channel | MemberFault:
        """Open a connection and check which member answers.

        Parameters
        ==========

        account : AccountName or None
            Client account whose statements will run on it; None for the
            daemon's own and for clients without an account.

        """

    async def detour(
        self, member: MemberAddress, account: ids.AccountName | None = None
    ) -> Channel | None:
        """Find a way to a member that this daemon cannot reach itself."""

    async def reach(
        self, member: MemberAddress, timeout_s: float
    ) -> MemberFault | None:
        """Probe a member; return why it accepts no connection, or None.

        The probe takes no slot, so a member that is merely busy passes.
        """
