"""Typed messages between daemons.

Explanation
===========

Every message is a msgspec struct with a tag, encoded as msgpack inside an
:class:`Envelope`.  A daemon drops messages with an unknown tag, so that two
versions can run side by side during a rolling restart.

"""

from typing import Any
from typing import Self

import msgspec

from burdockcart.connection import session_token
from burdockcart import ids
from burdockcart.request import registry
from burdockcart.request import statement
from burdockcart.version import change
from burdockcart.version import rows

_Action = statement.Action

PRIMARY = "primary"
REPLICA = "replica"


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages between daemons."""


class MemberState(msgspec.Struct, frozen=True, kw_only=True):
    """Replication state of a member as it reported it."""

    member: ids.MemberId
    term: ids.Term
    role: str
    position: ids.Position
    log_term: ids.Term
    history: tuple[tuple[ids.Term, ids.Position], ...] = ()
    connections: int = 0
    running: int = 0
    primary: str | None = None
    #: Statements as a multiple of the slots, set by the executor.
    load: float = 0.0


class Execute(Message, frozen=True, kw_only=True):
    """Run one statement on a member.

    Explanation
    ===========

    ``deadline_ms`` is the time left when the message is sent, so clocks need
    not be synchronised.  ``minimum`` is the session's high-water mark for
    the group.  ``submission`` is the same for all attempts of the entry to
    run one request; ``known`` means that the entry holds the request id from
    an earlier submission, so the statement must not run.

    """

    group: ids.GroupId
    member: ids.MemberId
    caller: ids.CallerId
    route: ids.RouteName
    kind: str
    request_id: ids.RequestId
    operation: statement.Operation
    statement: dict[str, Any]
    deadline_ms: float
    acknowledge: rows.Acknowledge = rows.Acknowledge.PRIMARY
    cost: rows.Cost = rows.Cost.AUTO
    max_age_ms: int = 0
    minimum: session_token.Mark | None = None
    repeatable: bool = True
    attempt: int = 1
    transaction: ids.TransactionId | None = None
    action: _Action = _Action.EXECUTE
    submission: str = ""
    known: bool = False


class Executed(Message, frozen=True, kw_only=True):
    """Result of a statement that ran on a member.

    Explanation
    ===========

    ``confirmed_after_ms`` is the time from the arrival of the request until
    the confirmation that the answer relies on was sent; None if it needs no
    confirmation.

    """

    member: ids.MemberId
    result: Any
    role: str
    term: ids.Term
    log_term: ids.Term
    position: ids.Position
    age_ms: int | None = None
    transaction: ids.TransactionId | None = None
    group: ids.GroupId | None = None
    confirmed_after_ms: float | None = None


class Refused(Message, frozen=True):
    """A statement failed; ``kind`` is the value of an ErrorKind."""

    kind: str
    message: str
    retry_after_ms: int = 0


class Redirect(Message, frozen=True):
    """A statement must be tried on another member or daemon.

    ``ran`` means that it ran, but its result must not be used.
    """

    state: MemberState | None = None
    ran: bool = False


class RegisterRequest(Message, frozen=True):
    """Ask to hold the id of a request before it is sent, or to release it."""

    held: registry.Held
    release: bool = False


class RequestRegistered(Message, frozen=True):
    """Whether the daemon holds the id now."""

    verdict: registry.Verdict


class ListRequests(Message, frozen=True):
    """Ask for the ids of a group that the daemon holds."""

    group: ids.GroupId


class RequestList(Message, frozen=True):
    """Ids that a daemon holds, sent as an answer or before it leaves."""

    held: tuple[registry.Held, ...]


class Confirm(Message, frozen=True):
    """Ask a member for its state now."""

    member: ids.MemberId


class Confirmed(Message, frozen=True):
    """State that a member reported after the request; None if it is down."""

    state: MemberState | None


class ReportedState(msgspec.Struct, frozen=True, array_like=True):
    """State of a member in a report, encoded without field names.

    Reports are the most frequent message; field names would make up two
    thirds of their bytes.
    """

    member: ids.MemberId
    age_ms: int
    term: ids.Term
    is_primary: bool
    position: ids.Position
    log_term: ids.Term
    load: float
    history: tuple[tuple[ids.Term, ids.Position], ...]

    @classmethod
    def of(cls, state: MemberState, age_s: float) -> Self:
        """Return the entry for a state that was probed ``age_s`` ago."""
        return cls(
            state.member,
            int(age_s * 1000),
            state.term,
            state.role == PRIMARY,
            state.position,
            state.log_term,
            round(state.load, 2),
            state.history,
        )

    def state(self) -> MemberState:
        """Return the reported state."""
        return MemberState(
            member=self.member,
            term=self.term,
            role=PRIMARY if self.is_primary else REPLICA,
            position=self.position,
            log_term=self.log_term,
            history=self.history,
            load=self.load,
        )


class MemberReport(Message, frozen=True):
    """States of the members that an executor probes."""

    sights: tuple[ReportedState, ...]


class Adopt(Message, frozen=True):
    """Ask a member to move to a term for a coordinator."""

    member: ids.MemberId
    term: ids.Term
    coordinator: str


class Promote(Message, frozen=True):
    """Make a member the primary of a term that it granted."""

    member: ids.MemberId
    term: ids.Term
    coordinator: str


class Follow(Message, frozen=True):
    """Make a member replicate from the primary of a term."""

    member: ids.MemberId
    term: ids.Term
    primary: str


class Granted(Message, frozen=True):
    """Answer of a member to Adopt, Promote or Follow."""

    granted: bool
    state: MemberState | None = None


class PromotionCheck(Message, frozen=True):
    """Ask an executor for its view of members before a promotion.

    It probes ``member`` now and tells how long ago it reached ``suspect``.
    """

    member: ids.MemberId
    suspect: ids.MemberId | None


class PromotionChecked(Message, frozen=True):
    """Answer to PromotionCheck; None means not reached."""

    state: MemberState | None
    suspect_age_ms: int | None


class GroupChanged(Message, frozen=True):
    """A group has a new primary, which reported ``state``."""

    group: ids.GroupId
    primary: ids.MemberId
    term: ids.Term
    state: MemberState


class DaemonUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Membership update: what the sender knows of one daemon.

    ``state`` is the value of a :class:`membership.State`; ``age_ms`` is the
    time since the last sign of life that the sender knows of.
    """

    id: ids.DaemonId
    incarnation: int
    state: int
    age_ms: int = 0
    domain: ids.DomainName = ids.DomainName("")
    address: str = ""


class HeartbeatData(msgspec.Struct, frozen=True, array_like=True):
    """Content of a heartbeat, an array because heartbeats are frequent.

    ``boot_id`` distinguishes two processes with the same id; ``digest`` is a
    hash of the sender's list of daemons.
    """

    incarnation: int
    boot_id: int
    domain: ids.DomainName
    address: str
    leaving: bool
    table_version: int
    digest: int
    news: tuple[DaemonUpdate, ...] = ()


class Heartbeat(Message, frozen=True):
    """Sign of life of the sender."""

    beat: HeartbeatData


class Suspect(Message, frozen=True):
    """Daemons whose heartbeats were missed."""

    news: tuple[DaemonUpdate, ...]


class Refute(Message, frozen=True):
    """Daemons that are alive, under a higher incarnation."""

    news: tuple[DaemonUpdate, ...]


class Leaving(Message, frozen=True):
    """Daemons that are shutting down and take no new roles."""

    news: tuple[DaemonUpdate, ...]


class PullView(Message, frozen=True):
    """Ask a daemon for its full list of daemons."""


class View(Message, frozen=True):
    """All daemons that the sender knows of."""

    news: tuple[DaemonUpdate, ...]


class ReleaseExecutor(Message, frozen=True):
    """Ask a daemon to stop acting as the executor of members, if it does.

    ``serial`` numbers the claims of the sender; the answer repeats it.
    """

    members: tuple[ids.MemberId, ...]
    serial: int


class ExecutorReleased(Message, frozen=True):
    """The sender is not, or no longer, the executor of these members."""

    members: tuple[ids.MemberId, ...]
    serial: int


class TableVersionIs(Message, frozen=True):
    """The sender has this version of the tables in force.

    ``address`` lets a daemon that has no list of hosts reach the sender.
    """

    version: ids.TableVersion
    address: str


class ChangePushed(Message, frozen=True):
    """A new change of the tables, pushed down the distribution tree."""

    change: change.Change


class PullChanges(Message, frozen=True):
    """Ask for the changes after a version, or for the shards from a number.

    With ``after`` None, only the version is asked for.
    """

    after: ids.TableVersion | None
    first_shard: int | None = None


class Changes(Message, frozen=True):
    """Answer to PullChanges.

    ``changes`` is None if some of them are no longer kept; the shards must
    be asked for instead.
    """

    version: ids.TableVersion
    changes: tuple[change.Change, ...] | None = ()
    shards: tuple[bytes, ...] = ()


AnyMessage = (
    Execute
    | Executed
    | Refused
    | Redirect
    | Confirm
    | Confirmed
    | MemberReport
    | Adopt
    | Promote
    | Follow
    | Granted
    | PromotionCheck
    | PromotionChecked
    | GroupChanged
    | RegisterRequest
    | RequestRegistered
    | ListRequests
    | RequestList
    | Heartbeat
    | Suspect
    | Refute
    | Leaving
    | PullView
    | View
    | ReleaseExecutor
    | ExecutorReleased
    | TableVersionIs
    | ChangePushed
    | PullChanges
    | Changes
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message on the wire.

    ``serial`` numbers a request of its sender; an answer repeats it with
    ``answers`` true.  0 marks a message that expects no answer.
    """

    sender: ids.DaemonId
    serial: int
    answers: bool
    body: AnyMessage
