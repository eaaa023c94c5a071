"""Detects that this daemon is cut off from the other failure domains.

Explanation
===========

When a failure domain is partitioned from the others, its clients may still
reach its daemons.  These daemons cannot serve writes of a group whose primary
is elsewhere, and can serve reads only until their position samples are too
old.  A daemon that reports that it is not ready makes the load balancer send
clients to other failure domains, and clients whose sessions it closes
reconnect there.

"""

import math
from typing import Iterable
from typing import Sequence
from typing import TypeVar

import msgspec

T = TypeVar("T")

#: Time without an answer of any member in another failure domain after which
#: the daemon suspects that it is cut off, in seconds: two checks of each
#: member (reachability.py) must fit.  An answer of the store refutes it.
SILENT_FOR_S = 0.25
#: Members in other failure domains that must fail; a single one may itself
#: be down.
MIN_FAILING = 2
#: Time until the load balancer sends new clients elsewhere, in seconds: two
#: readiness checks one second apart, and their network latency.
BALANCER_DELAY_S = 2.1
#: Period over which idle sessions are closed, in seconds; short, since their
#: requests cannot be served here.
CLOSE_PERIOD_S = 0.4


class RemoteMember(msgspec.Struct, frozen=True):
    """Observed state of a member in another failure domain."""

    failing: bool
    last_answer_at: float


def suspected(members: Iterable[RemoteMember], now: float) -> bool:
    """Return whether all members in other failure domains are silent.

    Examples
    ========

    >>> from burdockcart.process.gateway.members import isolation
    >>> down = isolation.RemoteMember(True, last_answer_at=1.0)
    >>> well = isolation.RemoteMember(False, last_answer_at=1.9)
    >>> isolation.suspected([down, down], now=2.0)
    True
    >>> isolation.suspected([down, down, well], now=2.0)
    False

    """
    known = list(members)
    if len(known) < MIN_FAILING or not all(each.failing for each in known):
        # A member that was merely not used recently may be healthy.
        return False
    newest = max(member.last_answer_at for member in known)
    return now - newest >= SILENT_FOR_S


def sessions_to_close(
    isolated_for_s: float, idle: Sequence[T], step_s: float
) -> list[T]:
    """Return the idle sessions to close in the current step.

    Examples
    ========

    >>> from burdockcart.process.gateway.members import isolation
    >>> isolation.sessions_to_close(1.0, ["a", "b"], 0.1)
    []
    >>> isolation.sessions_to_close(3.0, ["a", "b"], 0.1)
    ['a', 'b']

    """
    if isolated_for_s < BALANCER_DELAY_S:
        return []
    left_s = BALANCER_DELAY_S + CLOSE_PERIOD_S - isolated_for_s
    steps = max(left_s / step_s, 1.0)
    return list(idle[: math.ceil(len(idle) / steps)])
