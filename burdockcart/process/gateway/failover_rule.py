"""When a primary is to be replaced, and by which member.

Explanation
===========

Nobody reports that a primary is dead.  It is judged by this daemon's own
traffic: connections refused (its process is gone), silence towards new
connections (it is dark or cut off), writes that stay unanswered although
it accepts connections (no replica receives them), or a full queue while all
replicas are too far behind to take reads off it.  A replacement that was
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
#: Silence after which a primary that accepts no connection is replaced, in
#: seconds: time for two checks (reachability.py), one after the other.
SILENT_FOR_S = 0.25
#: Time for which a write stays unanswered although the member accepts
#: connections, in seconds; above the time that replicas need under load.
STALLED_FOR_S = 0.7
#: Time for which no replica can run reads and the primary refuses statements,
#: in seconds, after which a replica is promoted: it leads with all that it
#: has received, and the old primary becomes a replica that is not behind.
#: Ten times the usual lag (0.15 s), so that a short one passes by itself.
BEHIND_FOR_S = 1.5
#: Time for which a primary leads before it is replaced for that cause, in
#: seconds: where every replica lags, promotions would follow each other.
STEADY_FOR_S = 8.0
#: Silence from which on failures tell more than that connections were reset,
#: in seconds: more than one check takes.
RESET_FOR_S = 0.15
#: Least time between two promotions of a group by unplanned causes, in
#: seconds: the effect of one must show before the next.
UNPLANNED_GAP_S = 5.0


class Cause(enum.Enum):
    """Why a primary is to be replaced."""

    REFUSED = "refuses connections"
    SILENT = "is silent"
    STALLED = "does not finish writes"
    DRAINING = "drains"
    REPLICAS_BEHIND = "is overloaded while its replicas lag"


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
    #: Whether its queue was full a short time ago.
    queue_full: bool = False
    #: Since when no replica has been able to run a read; None if one can.
    replicas_behind_since: float | None = None


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
    if _carries_all_reads(view, now):
        return Cause.REPLICAS_BEHIND
    return None


def _carries_all_reads(view: PrimaryView, now: float) -> bool:
    """Return whether a primary is overloaded because its replicas lag."""
    return (
        view.replicas_behind_since is not None
        and now - view.replicas_behind_since >= BEHIND_FOR_S
        and now - view.leads_since >= STEADY_FOR_S
        and view.queue_full
    )


def is_lost(view: PrimaryView, now: float) -> bool:
    """Return whether a primary will have to be replaced, as it looks.

    Connections that were reset at once fail together, and the primary is
    well.
    """
    return view.failures >= MIN_FAILURES and (
        view.refusals >= MIN_FAILURES
        or now - view.last_answer_at >= RESET_FOR_S
    )


def estimate_primary_at(
    first_failure_at: float,
    attempt_failed_at: float | None,
    promotion_s: float,
    now: float,
) -> float:
    """Return when a group whose primary fails is expected to have one.

    Work that cannot wait for it is refused.  Once that time has passed, as
    long again is expected: something stands in the way.

    Examples
    ========

    >>> from burdockcart.process.gateway import failover_rule
    >>> failover_rule.estimate_primary_at(1.0, None, promotion_s=0.6, now=1.1)
    1.85
    >>> failover_rule.estimate_primary_at(1.0, None, promotion_s=0.6, now=2.85)
    3.85

    """
    began_at = first_failure_at
    if attempt_failed_at is not None:
        began_at = max(began_at, attempt_failed_at)
    expected_at = began_at + SILENT_FOR_S + promotion_s
    return max(expected_at, now + (now - expected_at))


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
