"""Record of a soak: what clients, members and the platform saw.

Times are seconds of one steady clock.
"""

import dataclasses
import enum

from burdockcart.emulator import wire_member
from burdockcart.request import command
from burdockcart.soak import account_history


class Outcome(enum.Enum):
    """How a request of a client ended.

    ``PROMISE`` is an error after which nothing of the attempt is kept;
    ``LEFT`` means that the client did not wait for an answer.
    """

    SUCCESS = "success"
    PROMISE = "promise"
    ERROR = "error"
    CLOSED = "closed"
    GAVE_UP = "gave up"
    LEFT = "left"


class Freshness(enum.Enum):
    """Which commits a read must see."""

    ALL = "all"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclasses.dataclass(kw_only=True)
class Request:
    """One statement that a client sent.

    Parameters
    ==========

    attempt : int
        Serial number of the client's transaction or single statement.
    in_transaction : bool
        Whether it is a statement between BEGIN and its end.
    began_at : float
        When the first byte of the attempt was sent.
    values : tuple
        Session values that had been acknowledged, sorted by name.
    shape : Shape or None
        What EXECUTE must run, and what PREPARE prepares.
    item, data : str and str or None
        Arguments of EXECUTE.
    allowed : bool
        Whether a member may run it: its line was ended, and the protocol
        allows it.
    timeout_s : float
        Time limit of the statement.
    receipt : str
        Names the statement and, after a point, the place of its run.
    key : str
        Second field of the session's first message.
    rows, position : tuple of str and str
        Rows of the answer, and the position in READY.

    """

    id: str
    session: int
    daemon: str
    kind: command.CommandKind
    text: str
    attempt: int
    in_transaction: bool
    freshness: Freshness
    max_age_s: float
    timeout_s: float
    began_at: float
    sent_at: float
    values: tuple[tuple[str, str], ...] = ()
    shape: command.Shape | None = None
    item: str = ""
    data: str | None = None
    allowed: bool = True
    key: str = ""
    ended_at: float = 0.0
    outcome: Outcome | None = None
    detail: str = ""
    receipt: str = ""
    rows: tuple[str, ...] = ()
    position: str = ""


@dataclasses.dataclass(kw_only=True)
class MemberStatement:
    """One statement that reached a member, whether or not it ran.

    Parameters
    ==========

    connection : int
        Serial number of the connection, unique among all members.
    statement : str
        Id in the message; ``-`` for statements that the gateway issued.
    text : str
        Text as it arrived, without AFTER.
    prepared : tuple of str or None
        Kind and shape that EXECUTE ran or PREPARE prepared; None for a name
        that was not prepared on the connection.
    transaction : int or None
        Transaction of the connection when the statement arrived.
    fault : str
        Code of the error that was answered; empty for a success.
    answered : bool
        Whether the member came to an answer.
    who : str
        Name with which the connection was opened.

    """

    member: str
    connection: int
    statement: str
    word: str
    text: str
    at: float
    name: str = ""
    value: str = ""
    prepared: tuple[str, str] | None = None
    item: str = ""
    data: str | None = None
    values: tuple[tuple[str, str], ...] = ()
    transaction: int | None = None
    answered: bool = False
    fault: str = ""
    receipt: str = ""
    rows: tuple[str, ...] = ()
    position: str = ""
    who: str = ""


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """One fault from outside, from its begin to its end."""

    kind: str
    target: str
    begin: float
    end: float
    planned: bool


@dataclasses.dataclass(frozen=True)
class Promotion:
    """One accepted promotion."""

    member: str
    holder: str
    token: int
    at: float


@dataclasses.dataclass(frozen=True)
class Takeover:
    """Begin of a member's lead.

    ``missing`` are the statement ids of the writes that were in the log of
    the primary before it, acknowledged or not, and that the member lacked.
    """

    member: str
    at: float
    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Probe:
    """Whether a daemon knew a database that only one manifest has."""

    daemon: str
    version: int
    sent_at: float
    ended_at: float
    accepted: bool


@dataclasses.dataclass(frozen=True)
class ProcessEnd:
    """End of a daemon process.

    ``asked_at`` is the time of SIGTERM, or None; ``killed`` tells whether
    SIGKILL ended it, which the schedule or the end of the grace asked for.
    ``served`` tells whether the daemon has been ready; before that, SIGTERM
    may end the process at once.
    """

    daemon: str
    pid: int
    asked_at: float | None
    ended_at: float
    code: int
    killed: bool = False
    overdue: bool = False
    served: bool = True


@dataclasses.dataclass
class History:
    """All records of one soak."""

    requests: list[Request] = dataclasses.field(default_factory=list)
    runs: list[wire_member.Run] = dataclasses.field(default_factory=list)
    statements: list[MemberStatement] = dataclasses.field(default_factory=list)
    #: Member, line and reason of lines that are not statements.
    malformed: list[tuple[str, str, str]] = dataclasses.field(
        default_factory=list
    )
    received_at_by_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    #: Log of the last primary.
    log: list[wire_member.Commit] = dataclasses.field(default_factory=list)
    promotions: list[Promotion] = dataclasses.field(default_factory=list)
    takeovers: list[Takeover] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    #: When the store accepted each version of the manifest, in order.
    manifests: list[tuple[int, float]] = dataclasses.field(
        default_factory=list
    )
    probes: list[Probe] = dataclasses.field(default_factory=list)
    #: Members that ended after they drained, and when.
    member_ends: list[tuple[str, float]] = dataclasses.field(
        default_factory=list
    )
    #: When the store accepted that a member drains.
    drain_at_by_member: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    process_ends: list[ProcessEnd] = dataclasses.field(default_factory=list)
    #: When the soak's own event loop was late, and by how much.
    stalls: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    tracebacks: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    #: None if the manifest has no accounts.
    accounts: account_history.AccountRecord | None = None
