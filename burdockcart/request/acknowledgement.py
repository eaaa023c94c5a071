"""Majority check that a write passes before it is acknowledged."""

from typing import Iterable

from burdockcart import ids
from burdockcart.process import peer_messages
from burdockcart.version import rows

#: Validity of a confirmation, in seconds since it was requested.  Must be
#: shorter than the activation delay of a promotion, so that no write of the
#: old primary is acknowledged once the new one takes writes.
CONFIRMATION_VALID_S = 0.25


def confirmed(
    group: rows.Group,
    states: Iterable[peer_messages.MemberState],
    term: ids.Term,
    position: ids.Position,
    acknowledge: rows.Acknowledge,
) -> bool:
    """Return whether a majority of the group confirms a write.

    Parameters
    ==========

    states : iterable of MemberState
        States requested after the primary answered the write.
    term, position : int
        Term and position at which the write ran.
    acknowledge : Acknowledge
        With REPLICA the majority must also hold the position.

    Examples
    ========

    >>> from burdockcart.process import peer_messages
    >>> from burdockcart.request import acknowledgement
    >>> from burdockcart.version import rows
    >>> group = rows.Group("g", tuple(
    ...     rows.Member(name, "d", "") for name in "abc"))
    >>> states = [peer_messages.MemberState(
    ...     member=name, term=2, role="", position=at, log_term=2)
    ...     for name, at in (("a", 5), ("b", 4))]
    >>> acknowledgement.confirmed(
    ...     group, states, 2, 5, rows.Acknowledge.PRIMARY)
    True
    >>> acknowledgement.confirmed(
    ...     group, states, 2, 5, rows.Acknowledge.REPLICA)
    False

    """
    min_position = position if acknowledge is rows.Acknowledge.REPLICA else 0
    confirming = {
        state.member
        for state in states
        if state.term == term and state.position >= min_position
    }
    return len(confirming) >= group.majority
