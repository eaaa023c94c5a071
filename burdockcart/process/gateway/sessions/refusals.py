"""Refusals by this daemon, and what faults of an attempt mean."""

from returns import result

from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.version import manifest

#: First pause before retrying a member with a full queue, in seconds; about
#: the running time of one statement.  Doubles with each refusal.
QUEUE_FULL_PAUSE_S = 0.008
#: Retry hint for clients of a primary with stalled writes, in milliseconds;
#: about the time until the next write is tried.
STALLED_RETRY_MS = 400
#: A statement that was not sent, because no replica confirmed that the
#: presumed primary has not been replaced.
UNCONFIRMED = member_channel.Answer(
    fault=member_channel.MemberFault.UNCONFIRMED,
    text="no replica confirms the primary's term",
)
#: A commit that a promotion may discard; whether it will is not known.
UNCOVERED = member_channel.Answer(
    fault=member_channel.MemberFault.UNCOVERED,
    text="the member that may be promoted has not reported the commit",
)
#: A statement whose call did not end.
SILENT = member_channel.Answer(fault=member_channel.MemberFault.SILENT)

Outcome = result.Result[member_channel.Answer, errors.Failure]


def fault_of_member(
    connection: pooled_connection.PooledConnection,
    answer: member_channel.Answer,
) -> member_channel.MemberFault | None:
    """Return the fault as far as it says something about the member."""
    if connection.aborted_locally:
        # The member is known to be unreachable, so this is no new failure.
        return member_channel.MemberFault.SILENT
    if (
        answer.fault is member_channel.MemberFault.NOT_SENT
        and not connection.channel.direct
    ):
        return member_channel.MemberFault.RELAY_REFUSED
    return answer.fault


def queue_full_pause_s(attempt: int) -> float:
    """Return the pause after an attempt that found the queue full."""
    return QUEUE_FULL_PAUSE_S * 2 ** (attempt - 1)


def writes_stalled(group: groups.Group) -> Outcome:
    """Refuse a write whose outcome would stay unknown."""
    return result.Failure(
        errors.Failure(
            errors.ErrorKind.NO_PRIMARY,
            f"writes to the primary of group {group.id} are stalled",
            retry_after_ms=STALLED_RETRY_MS,
        )
    )


def commits_blocked(group: groups.Group) -> Outcome:
    """Refuse a write that a pending promotion would discard."""
    return result.Failure(
        errors.Failure(
            errors.ErrorKind.NO_PRIMARY,
            f"a replica of group {group.id} that may be promoted lags",
            retry_after_ms=STALLED_RETRY_MS,
        )
    )


def primary_lacks_position(
    group: groups.Group,
    connection: pooled_connection.PooledConnection,
    answer: member_channel.Answer,
) -> bool:
    """Return whether the primary itself lacks the position of a read."""
    return (
        answer.fault is member_channel.MemberFault.BEHIND
        and connection.pool.entry.id == group.primary.leadership.member
    )


def no_group(route: manifest.DatabaseRoute) -> Outcome:
    """Refuse a statement whose route names an unknown group."""
    return result.Failure(
        errors.Failure(
            errors.ErrorKind.NO_ROUTE,
            f"route {route.name} refers to an unknown group",
        )
    )
