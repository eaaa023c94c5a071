"""What follows when a member did not run a statement to success."""

import enum

from burdockcart.connection import member_channel
from burdockcart import errors

#: Attempts of one statement at members, the first included; more would only
#: add load to a group whose members all refuse.
MAX_ATTEMPTS = 5


class NextStep(enum.Enum):
    """How a statement goes on after a fault."""

    OTHER_MEMBER = "try another member"
    AGAIN = "try the same connection after a pause"
    GIVE_UP = "tell the client"


#: Faults after which the same member may run the statement a moment later.
_PASSING = frozenset({member_channel.MemberFault.QUEUE_FULL})


def next_step_single(
    fault: member_channel.MemberFault, writes: bool, attempt: int
) -> NextStep:
    """Decide for a statement outside of a transaction.

    A read may run twice; a write goes on only where it surely was not run.

    Examples
    ========

    >>> from burdockcart.connection import member_channel
    >>> from burdockcart.request import retry_policy
    >>> lost = member_channel.MemberFault.BROKEN
    >>> retry_policy.next_step_single(lost, writes=False, attempt=1).value
    'try another member'
    >>> retry_policy.next_step_single(lost, writes=True, attempt=1).value
    'tell the client'

    """
    if fault is member_channel.MemberFault.BEHIND:
        # Costs the members nothing and ends by itself, within the time that
        # the statement may wait.
        return NextStep.OTHER_MEMBER
    if attempt >= MAX_ATTEMPTS:
        return NextStep.GIVE_UP
    if fault in member_channel.NOT_RUN or not writes:
        return NextStep.OTHER_MEMBER
    return NextStep.GIVE_UP


def next_step_in_transaction(
    fault: member_channel.MemberFault, attempt: int, first: bool
) -> NextStep:
    """Decide for a statement of a transaction.

    Only the first statement can move to another member: the results of
    earlier ones have reached the client.
    """
    if attempt >= MAX_ATTEMPTS:
        return NextStep.GIVE_UP
    if first and fault in member_channel.NOT_RUN:
        return NextStep.OTHER_MEMBER
    if fault in _PASSING:
        return NextStep.AGAIN
    return NextStep.GIVE_UP


_KIND_BY_FAULT = {
    member_channel.MemberFault.QUEUE_FULL: errors.ErrorKind.OVERLOADED,
    member_channel.MemberFault.BEHIND: errors.ErrorKind.NO_FRESH_MEMBER,
    member_channel.MemberFault.NOT_PRIMARY: errors.ErrorKind.NO_PRIMARY,
    member_channel.MemberFault.OTHER_MEMBER: errors.ErrorKind.OVERLOADED,
    member_channel.MemberFault.CONNECTIONS_EXHAUSTED: (
        errors.ErrorKind.OVERLOADED
    ),
    member_channel.MemberFault.REFUSED: errors.ErrorKind.OVERLOADED,
    # The proxy prepares what it sends, so the member lost what it had; the
    # statement was not run.
    member_channel.MemberFault.UNKNOWN_NAME: errors.ErrorKind.OVERLOADED,
    member_channel.MemberFault.FAILED: errors.ErrorKind.STATEMENT_FAILED,
    member_channel.MemberFault.TIMED_OUT: errors.ErrorKind.STATEMENT_TIMEOUT,
}


def failure_of(
    fault: member_channel.MemberFault, text: str, may_be_kept: bool
) -> errors.Failure:
    """Return what a client is told.

    Parameters
    ==========

    may_be_kept : bool
        Whether the statement, if it ran, has an effect that outlives it: a
        single write, or the commit of a transaction that wrote.

    """
    kind = _KIND_BY_FAULT.get(fault)
    if kind is None:
        kind = (
            errors.ErrorKind.OUTCOME_UNKNOWN
            if may_be_kept
            else errors.ErrorKind.TRANSACTION_LOST
        )
    return errors.Failure(kind, text or fault.value)
