"""Messages between a daemon and the holder of a member's connections.

They are encoded as msgpack arrays.  ``number`` connects an answer to its
request and increases on each link.  Durations are milliseconds.
"""

from typing import Union

import msgspec

from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.peers import rate_messages
from burdockcart.request import command
from burdockcart.request import log_position
from burdockcart.request import member_evidence


class Urgency(msgspec.Struct, frozen=True, array_like=True):
    """How a statement is ordered among the waiting ones.

    Parameters
    ==========

    goal_ms, wait_ms : int
        Time left until its latency goal, and until it may no longer wait for
        a connection.

    """

    priority: int = 0
    goal_ms: int = 0
    wait_ms: int = 0


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """A client's statement, and the session's state that it needs."""

    id: ids.StatementId
    kind: command.CommandKind
    text: str
    argument: str
    shape: tuple[bool, str] | None
    value_by_name: dict[str, str]


class Run(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Run a client's statement outside of a transaction."""

    number: int
    group: ids.GroupId
    member: ids.MemberId
    statement: Statement
    after: tuple[int, int] | None
    prove: bool
    timeout_ms: int
    urgency: Urgency
    account: ids.AccountName | None = None


class RunInTransaction(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Run a client's statement in an open transaction, or its COMMIT.

    Parameters
    ==========

    transaction : int
        Transaction that was begun on this link and has not ended.

    """

    number: int
    transaction: int
    statement: Statement
    timeout_ms: int


class Begin(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Begin a transaction on a connection of its own."""

    number: int
    group: ids.GroupId
    member: ids.MemberId
    transaction: int
    read_only: bool
    value_by_name: dict[str, str]
    after: tuple[int, int] | None
    timeout_ms: int
    urgency: Urgency
    account: ids.AccountName | None = None


class RollBack(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """End a transaction and return its connection; it is answered."""

    number: int
    transaction: int
    timeout_ms: int


class Discard(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Close the connection of a transaction; there is no answer."""

    transaction: int


class Action(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Query or change the replication state of a member.

    Parameters
    ==========

    action : str
        Name of a method of :class:`member_channel.Channel`.

    """

    number: int
    group: ids.GroupId
    member: ids.MemberId
    action: str
    term: int
    timeout_ms: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Ask whether the other daemon is running."""

    number: int


class CallNotice(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Tell that the platform is about to be called to promote a member.

    Parameters
    ==========

    candidate : MemberId
        The member.
    called_at_ms : int
        By the wall clock of the sender.
    position : StorePosition
        Position of the sender's claim.

    """

    number: int
    group: ids.GroupId
    candidate: ids.MemberId
    called_at_ms: int
    position: ids.StorePosition


class Withdrawal(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Tell that a call was not sent; there is no answer."""

    group: ids.GroupId
    candidate: ids.MemberId
    position: ids.StorePosition


class PollRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Ask for the changes of the store after a position."""

    number: int
    after: ids.StorePosition


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Answer of a member, or the reason why it has none.

    Parameters
    ==========

    sample : tuple of int, or None
        The holder's newest sample of the group's primary: age when the answer
        was sent, term and number.
    call : tuple, or None
        The open promotion call that the holder goes by: member, time of the
        call, and the position of a record in the store.
    evidence : tuple of MemberEvidence, or None
        What the holder knows of the members of the group.

    """

    number: int
    fault: member_channel.MemberFault | None
    text: str
    rows: tuple[str, ...]
    receipt: str
    state: member_channel.TransactionState
    position: tuple[int, int] | None
    sample: tuple[int, int, int] | None = None
    call: tuple[ids.MemberId, int, ids.StorePosition] | None = None
    evidence: tuple[member_evidence.MemberEvidence, ...] | None = None


class Status(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Status of a member."""

    number: int
    role: member_channel.Role
    term: int
    received: tuple[int, int]
    held_term: int = 0


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Answer to a ping."""

    number: int


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """The sender is shutting down and takes no new statements."""


class Closing(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """The sender ends the link.

    Parameters
    ==========

    number : int
        The last request that it has received; later ones are not run.

    """

    number: int


class Noticed(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Answer to the notice of a call.

    Parameters
    ==========

    agreed : bool
        Whether the daemon passes on the success of a commit from now on only
        if the candidate has it.
    newest : tuple of int, or None
        Position that covers all commits whose success it has passed on.
    age_ms : int
        Time since it passed on the last one.
    certain : tuple of int, or None
        A log without this position lacks one of these commits.

    """

    number: int
    agreed: bool
    newest: tuple[int, int] | None = None
    age_ms: int = 0
    certain: tuple[int, int] | None = None


class Polled(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """Answer to the question for changes of the store.

    Parameters
    ==========

    next_ms : int
        Time until the next poll.
    changes : bytes or None
        The encoded changes by a poll that began after the question arrived;
        None if the daemon has to ask the store itself.
    version : int
        Version of the manifest in force on the sender; 0 for none.
    state : bytes or None
        In place of the changes, the encoded state of the store without the
        manifest; the daemon has to read that itself.

    """

    number: int
    next_ms: int
    changes: bytes | None
    version: int = 0
    state: bytes | None = None


#: What daemons ask each other besides statements, and each answer.
PeerRequest = (
    CallNotice
    | PollRequest
    | rate_messages.ShareReport
    | rate_messages.ShardOffer
    | rate_messages.ReserveRequest
    | rate_messages.ShardCensus
)
PeerReply = (
    Noticed
    | Polled
    | rate_messages.Shares
    | rate_messages.ShardOffered
    | rate_messages.ReserveTokens
    | rate_messages.ShardHeld
)
Request = Union[
    Run,
    RunInTransaction,
    Begin,
    RollBack,
    Discard,
    Action,
    Ping,
    Withdrawal,
    PeerRequest,
]
Reply = Union[Answered, Status, Pong, Leaving, Closing, PeerReply]

encode = msgspec.msgpack.Encoder().encode
request_decoder: msgspec.msgpack.Decoder[Request] = msgspec.msgpack.Decoder(
    Request
)
reply_decoder: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)


def position_pair(
    position: log_position.LogPosition | None,
) -> tuple[int, int] | None:
    """Return a log position as it is sent."""
    return None if position is None else (position.term, position.number)


def read_position(
    pair: tuple[int, int] | None,
) -> log_position.LogPosition | None:
    """Return a log position that was received."""
    return None if pair is None else log_position.LogPosition(*pair)


def shape_pair(shape: command.Shape | None) -> tuple[bool, str] | None:
    """Return a prepared shape as it is sent."""
    return None if shape is None else (shape.writes, shape.text)


def read_shape(pair: tuple[bool, str] | None) -> command.Shape | None:
    """Return a prepared shape that was received."""
    return None if pair is None else command.Shape(*pair)


def statement_of(
    sent: command.Command,
    shape: command.Shape | None,
    value_by_name: dict[str, str],
) -> Statement:
    """Return a client's statement as it is sent."""
    return Statement(
        sent.id,
        sent.kind,
        sent.text,
        sent.argument,
        shape_pair(shape),
        value_by_name,
    )


def read_statement(statement: Statement) -> command.Command:
    """Return a client's statement that was received."""
    return command.Command(
        statement.id,
        statement.kind,
        statement.text,
        argument=statement.argument,
        shape=read_shape(statement.shape),
    )


def answered(
    number: int,
    answer: member_channel.Answer,
    sample: tuple[int, int, int] | None = None,
    call: tuple[ids.MemberId, int, ids.StorePosition] | None = None,
    evidence: tuple[member_evidence.MemberEvidence, ...] | None = None,
) -> Answered:
    """Return the message for an answer."""
    return Answered(
        number,
        answer.fault,
        answer.text,
        answer.rows,
        answer.receipt,
        answer.state,
        position_pair(answer.position),
        sample,
        call,
        evidence,
    )


def read_answer(message: Answered) -> member_channel.Answer:
    """Return the answer in a message."""
    return member_channel.Answer(
        rows=message.rows,
        receipt=message.receipt,
        fault=message.fault,
        text=message.text,
        state=message.state,
        position=read_position(message.position),
    )
