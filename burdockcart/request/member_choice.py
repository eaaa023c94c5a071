"""Choice of the member that runs a read.

Explanation
===========

Load pattern: three members with few slots each, of which the primary alone
can take writes; replicas lag, and a member may become slow or unresponsive
while its health check passes.  A read goes to the member with the lowest
expected response time.  Members in other failure domains add latency and
billed traffic; the primary's slots are preferably left to writes.  A client
account needs connections of its own, and opening one takes time of a slot; so
its reads go to the replica where it has one, unless that is farther away,
which would cost each time, or its load costs more than a handshake.

"""

from typing import Iterable
from typing import Sequence

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
#: Time assumed for opening a connection, in seconds, before it was measured.
HANDSHAKE_S = 0.012


class Candidate(msgspec.Struct, frozen=True):
    """A member that could run a read now.

    Parameters
    ==========

    connected : bool
        Whether the read needs no new connection, as far as is known.
    handshake_s : float
        Time that opening a connection takes, in seconds.

    """

    id: ids.MemberId
    latency_s: float
    running: int
    slots: int
    same_domain: bool
    leads: bool
    connected: bool = True
    handshake_s: float = HANDSHAKE_S


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


def connecting_s(candidate: Candidate, others: Sequence[Candidate]) -> float:
    """Return the time lost if a new connection is opened at a member.

    None is lost if all members with a connection are farther away.

    Examples
    ========

    >>> from burdockcart.request import member_choice
    >>> new = member_choice.Candidate("a", 0.01, 0, 2, True, False, False)
    >>> near = member_choice.Candidate("b", 0.01, 0, 2, True, False)
    >>> far = member_choice.Candidate("c", 0.01, 0, 2, False, False)
    >>> member_choice.connecting_s(new, [new, near])
    0.012
    >>> member_choice.connecting_s(new, [new, far])
    0.0

    """
    if candidate.connected or not any(
        each.connected and each.same_domain >= candidate.same_domain
        for each in others
    ):
        return 0.0
    return candidate.handshake_s


def best(candidates: Iterable[Candidate]) -> ids.MemberId | None:
    """Return the member with the lowest expected time; None without any."""
    found = list(candidates)
    if not found:
        return None
    return min(
        found,
        key=lambda each: (
            expected_s(each) + connecting_s(each, found),
            each.id,
        ),
    ).id
