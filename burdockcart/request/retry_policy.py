"""Next step after a failed attempt to run a statement on a member."""

import enum

from burdockcart.connection import member_channel
from burdockcart import errors

#: Attempts per statement, including the first; more would only add load to a
#: group whose members all refuse.
MAX_ATTEMPTS = 5
#: Attempts after which a primary without evidence of its term is not tried
#: again: the replicas that could give it are unreachable.
MAX_UNCONFIRMED_ATTEMPTS = 2


class NextStep(enum.Enum):
    """What to do with a statement after a fault."""

    OTHER_MEMBER = "try another member"
    SAME_CONNECTION = "try the same connection after a pause"
    GIVE_UP = "tell the client"


#: Faults after which the same member may accept the statement shortly after.
_TRANSIENT = frozenset({member_channel.MemberFault.QUEUE_FULL})


def max_attempts(fault: member_channel.MemberFault) -> int:
    """Return the number of attempts after which a fault is final."""
    if fault is member_channel.MemberFault.UNCONFIRMED:
        return MAX_UNCONFIRMED_ATTEMPTS
    return MAX_ATTEMPTS


def next_step_single(
    fault: member_channel.MemberFault, writes: bool, attempt: int
) -> NextStep:
    """Return the next step of a statement outside of a transaction.

    A read may run twice; a write is retried only if it certainly did not run.

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
        # Not counted against MAX_ATTEMPTS: it costs the members nothing and
        # is bounded by the time that the statement may wait.
        return NextStep.OTHER_MEMBER
    if attempt >= max_attempts(fault):
        return NextStep.GIVE_UP
    if fault in member_channel.NOT_RUN or not writes:
        return NextStep.OTHER_MEMBER
    return NextStep.GIVE_UP


def next_step_in_transaction(
    fault: member_channel.MemberFault, attempt: int, first: bool
) -> NextStep:
    """Return the next step of a statement in a transaction.

    Only the first statement can move to another member: the results of
    earlier ones have reached the client.
    """
    if attempt >= MAX_ATTEMPTS:
        return NextStep.GIVE_UP
    if first and fault in member_channel.NOT_RUN:
        return NextStep.OTHER_MEMBER
    if fault in _TRANSIENT:
        return NextStep.SAME_CONNECTION
    return NextStep.GIVE_UP


_KIND_BY_FAULT = {
    member_channel.MemberFault.QUEUE_FULL: errors.ErrorKind.OVERLOADED,
    member_channel.MemberFault.BEHIND: errors.ErrorKind.NO_FRESH_MEMBER,
    member_channel.MemberFault.NOT_PRIMARY: errors.ErrorKind.NO_PRIMARY,
    member_channel.MemberFault.UNCONFIRMED: errors.ErrorKind.NO_PRIMARY,
    member_channel.MemberFault.OTHER_MEMBER: errors.ErrorKind.OVERLOADED,
    member_channel.MemberFault.CONNECTIONS_EXHAUSTED: (
        errors.ErrorKind.OVERLOADED
    ),
    member_channel.MemberFault.REFUSED: errors.ErrorKind.OVERLOADED,
    member_channel.MemberFault.RELAY_REFUSED: errors.ErrorKind.OVERLOADED,
    member_channel.MemberFault.NOT_SENT: errors.ErrorKind.OVERLOADED,
    # Whether it was rolled back is not known.
    member_channel.MemberFault.OUTSIDE: errors.ErrorKind.OUTCOME_UNKNOWN,
    member_channel.MemberFault.ROLLED_BACK: errors.ErrorKind.TRANSACTION_LOST,
    # The proxy prepares a statement before it runs it, so the member has lost
    # its prepared statements; this one was not run.
    member_channel.MemberFault.UNKNOWN_NAME: errors.ErrorKind.OVERLOADED,
    member_channel.MemberFault.FAILED: errors.ErrorKind.STATEMENT_FAILED,
    member_channel.MemberFault.TIMED_OUT: errors.ErrorKind.STATEMENT_TIMEOUT,
}


def failure_of(
    fault: member_channel.MemberFault, text: str, may_persist: bool
) -> errors.Failure:
    """Return the failure that is reported to the client.

    Parameters
    ==========

    may_persist : bool
        Whether the statement, if it ran, has a lasting effect: a single
        write, or the commit of a transaction that wrote.

    """
    kind = _KIND_BY_FAULT.get(fault)
    if kind is None:
        kind = (
            errors.ErrorKind.OUTCOME_UNKNOWN
            if may_persist
            else errors.ErrorKind.TRANSACTION_LOST
        )
    return errors.Failure(kind, text or fault.value)
