"""When a primary is to be replaced, and by which member.

Explanation
===========

Nobody reports that a primary is dead.  It is judged by this daemon's own
traffic: connections refused (its process is gone), silence towards new
connections (it is dark or cut off), or writes that stay unanswered although
it accepts connections (no replica receives them).  A replacement that was
not needed costs a short pause; it breaks no promise, since a member is
promoted only if it holds every acknowledged commit.

"""

import enum

import msgspec

from burdockcart import ids
from burdockcart.request import log_position

#: Attempts that must fail before a primary is replaced: a single failure may
#: be a reset of one connection.
MIN_FAILURES = 2
#: Time between the first and the last refused connection, in seconds: a
#: process that is started again at once is back sooner.
REFUSED_FOR_S = 0.1
#: Silence after which a primary is replaced, in seconds: twice the longest
#: work on the weather firm's sheet (140 ms), during which a member of two
#: slots may answer nothing.
SILENT_FOR_S = 0.35
#: Time for which a write stays unanswered although the member accepts
#: connections, in seconds; above the time that replicas need under load.
STALLED_FOR_S = 0.7
#: Unanswered time after which a new connection is tried, in seconds.
CHECK_AFTER_S = 0.15
#: Least time between two promotions of a group by unplanned causes, in
#: seconds: the effect of one must show before the next.
UNPLANNED_GAP_S = 5.0


class Cause(enum.Enum):
    """Why a primary is to be replaced."""

    REFUSED = "refuses connections"
    SILENT = "is silent"
    STALLED = "does not finish writes"
    DRAINING = "drains"
    GONE = "left"


class PrimaryView(msgspec.Struct, frozen=True, kw_only=True):
    """What this daemon knows of the member that it takes for the primary.

    Times are those of the event loop.  ``leads_since`` is when it was first
    taken for the primary: failures before that are no reason to replace it.
    """

    leads_since: float
    draining: bool
    failures: int
    refusals: int
    first_failure_at: float | None
    last_answer_at: float
    oldest_write_at: float | None
    last_write_answer_at: float


def needs_check(view: PrimaryView, longest_wait_s: float) -> bool:
    """Return whether a new connection should be tried.

    Statements that stay unanswered may wait on a link that went silent while
    new connections work.
    """
    return view.failures > 0 or longest_wait_s >= CHECK_AFTER_S


def cause_to_replace(view: PrimaryView, now: float) -> Cause | None:
    """Return why a primary is to be replaced; None to leave it.

    Examples
    ========

    >>> from burdockcart.process.gateway import failover_rule
    >>> view = failover_rule.PrimaryView(
    ...     leads_since=0.0, draining=False, failures=2, refusals=2,
    ...     first_failure_at=9.8, last_answer_at=9.7, oldest_write_at=None,
    ...     last_write_answer_at=9.7)
    >>> failover_rule.cause_to_replace(view, now=10.0).value
    'refuses connections'

    """
    if view.draining:
        return Cause.DRAINING
    if view.failures >= MIN_FAILURES and view.first_failure_at is not None:
        failing_s = now - max(view.first_failure_at, view.leads_since)
        if view.refusals >= MIN_FAILURES and failing_s >= REFUSED_FOR_S:
            return Cause.REFUSED
        silent_s = now - max(view.last_answer_at, view.leads_since)
        if silent_s >= SILENT_FOR_S:
            return Cause.SILENT
    if view.oldest_write_at is not None:
        quiet_since = max(view.oldest_write_at, view.last_write_answer_at)
        if now - quiet_since >= STALLED_FOR_S:
            return Cause.STALLED
    return None


def still_needed(cause: Cause, began_at: float, last_answer_at: float) -> bool:
    """Return whether a primary that was to be replaced is still to be.

    One that answered after the replacement began was cut off for a moment
    only.
    """
    if cause in (Cause.REFUSED, Cause.SILENT):
        return last_answer_at < began_at
    return True


class ReplicaView(msgspec.Struct, frozen=True):
    """A replica whose log stands still, or the one that goes on receiving."""

    id: ids.MemberId
    received: log_position.LogPosition
    draining: bool
    #: Newest term that the replica knows; a primary that has not committed
    #: yet leads a higher one than its log shows.
    term: int = 0


def first_candidate(
    replicas: list[ReplicaView],
) -> ReplicaView:
    """Return the replica to promote, from the positions seen first.

    One that stays is better than one that drains; then the longest log.
    """
    return max(
        replicas, key=lambda each: (not each.draining, each.received, each.id)
    )


def holds_all(candidate: ReplicaView, held: list[ReplicaView]) -> bool:
    """Return whether a replica has every commit that can be acknowledged.

    A commit is acknowledged once one replica has received it.  The others
    have stopped to receive, so what is acknowledged from now on reaches the
    candidate; what was before is in the log of the candidate or of one of
    the others.
    """
    return all(candidate.received >= each.received for each in held)
