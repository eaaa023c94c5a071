"""Choice of the member that runs a read.

Explanation
===========

Load pattern: three members with few slots each, of which the primary alone
can take writes; replicas lag, and a member may become slow or unresponsive
while its health check passes.  A read goes to the member with the lowest
expected response time.  Members in other failure domains add latency and
billed traffic; the primary's slots are preferably left to writes.

"""

from typing import Iterable

import msgspec

from burdockcart import ids

#: Penalty of a member in another failure domain, in seconds: a round trip of
#: twice 0.9 ms, and the cost of some 500 bytes of traffic, expressed as delay.
REMOTE_PENALTY_S = 0.006
#: Penalty of the primary, in seconds: a write that waits for a slot waits for
#: about half of a read (7.6 ms).
PRIMARY_PENALTY_S = 0.006
#: Running time assumed for a member that has not answered yet, in seconds.
INITIAL_LATENCY_S = 0.01


class Candidate(msgspec.Struct, frozen=True):
    """A member that could run a read now."""

    id: ids.MemberId
    latency_s: float
    running: int
    slots: int
    same_domain: bool
    leads: bool


def expected_s(candidate: Candidate) -> float:
    """Return the expected response time, including the penalties.

    Examples
    ========

    >>> from burdockcart.request import member_choice
    >>> near = member_choice.Candidate("a", 0.010, 0, 2, True, False)
    >>> member_choice.expected_s(near)
    0.01
    >>> busy = member_choice.Candidate("a", 0.010, 2, 2, True, False)
    >>> member_choice.expected_s(busy)
    0.02

    """
    waiting = candidate.running / candidate.slots
    return (
        candidate.latency_s * (1 + waiting)
        + (0.0 if candidate.same_domain else REMOTE_PENALTY_S)
        + (PRIMARY_PENALTY_S if candidate.leads else 0.0)
    )


def best(candidates: Iterable[Candidate]) -> ids.MemberId | None:
    """Return the member with the lowest expected time; None without any."""
    found = min(
        candidates, key=lambda each: (expected_s(each), each.id), default=None
    )
    return None if found is None else found.id
