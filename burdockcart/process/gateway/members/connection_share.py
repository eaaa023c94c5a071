"""Divides the connections that a member accepts among the daemons.

Explanation
===========

After a power failure all daemons restart at the same time.  A member keeps
the connections of the dead processes for some seconds, and refuses new ones
above its limit.  So all daemons together keep at most half of a member's
connections open.  A burst may use more, which are closed when it is over.

With client accounts a connection serves one account only, and closing one
after a burst costs a handshake for the next statement of its account.  Then
the share of a burst stays open, and while a member may keep connections of
dead processes, a daemon opens only what its limit leaves beside them;
docs/design/account-connections.md compares the two.

"""

import collections
import math

import msgspec

#: Share of a member's connections that all daemons together keep open.
STEADY_SHARE = 0.5
#: Share that they use in a burst; the rest is for new daemons that are not
#: counted yet.  The hard limit is at least one above the soft limit, or in a
#: large fleet one idle transaction would block all other clients of a daemon.
BURST_SHARE = 0.75
#: Share that the connections of former and new processes have together after
#: a restart with accounts; the rest is for queries of the daemons themselves.
RESTART_SHARE = 0.95
#: Idle time after which a connection above the soft limit is closed, in
#: seconds; a burst may pause for a moment without the cost of new handshakes.
BURST_IDLE_S = 1.0
#: Time after the start in which a daemon opens one connection per member, in
#: seconds: all daemons start within 0.3 s of each other.
SLOW_START_S = 0.5
#: Time after the start in which members may hold connections of dead
#: processes, in seconds; they drop them after 3 s.
STALE_CONNECTIONS_S = 3.2
#: Window for the highest count of daemons, in seconds: a daemon that is no
#: longer registered may only be cut off from the store and still hold
#: connections.
COUNT_WINDOW_S = 15.0


class Share(msgspec.Struct, frozen=True):
    """Limits of the connections to one member: kept open, and in a burst."""

    soft_limit: int
    hard_limit: int


def share_of(
    connections: int, daemons: int, uptime_s: float, accounts: bool = False
) -> Share:
    """Return this daemon's share of a member's connections.

    A daemon starts with one connection, so that all daemons that start at the
    same time get one while the member still holds stale connections.

    Parameters
    ==========

    accounts : bool
        Whether clients have accounts, which share no connections.

    Examples
    ========

    >>> from burdockcart.process.gateway.members import connection_share
    >>> connection_share.share_of(16, 4, uptime_s=60.0)
    Share(soft_limit=2, hard_limit=3)
    >>> connection_share.share_of(16, 4, uptime_s=1.0)
    Share(soft_limit=2, hard_limit=2)
    >>> connection_share.share_of(16, 4, uptime_s=0.1)
    Share(soft_limit=1, hard_limit=1)
    >>> connection_share.share_of(46, 31, uptime_s=60.0)
    Share(soft_limit=1, hard_limit=2)
    >>> connection_share.share_of(70, 5, uptime_s=60.0)
    Share(soft_limit=7, hard_limit=10)
    >>> connection_share.share_of(70, 5, uptime_s=60.0, accounts=True)
    Share(soft_limit=10, hard_limit=10)
    >>> connection_share.share_of(70, 5, uptime_s=1.0, accounts=True)
    Share(soft_limit=3, hard_limit=3)

    """
    if uptime_s < SLOW_START_S:
        return Share(1, 1)
    daemons = max(daemons, 1)
    soft_limit = max(int(STEADY_SHARE * connections / daemons), 1)
    hard_limit = max(int(BURST_SHARE * connections / daemons), soft_limit + 1)
    if uptime_s < STALE_CONNECTIONS_S:
        if accounts:
            left = int(RESTART_SHARE * connections / daemons) - hard_limit
            soft_limit = max(left, 1)
        return Share(soft_limit, soft_limit)
    return Share(hard_limit if accounts else soft_limit, hard_limit)


def statements_needed(share: Share, connections: int, slots: int) -> int:
    """Return how many statements a daemon needs to use its part of the slots.

    Two more wait at the member, so that no slot is idle until the next one
    arrives.  With one more, a full link of this daemon, which delays all
    answers from other domains, moved so much work to the member in its own
    domain that the daemon took itself for isolated (test_own_link.py).

    Parameters
    ==========

    connections : int
        Connections that the member accepts.

    Examples
    ========

    >>> from burdockcart.process.gateway.members import connection_share
    >>> share = connection_share.share_of(70, 5, uptime_s=60.0)
    >>> connection_share.statements_needed(share, 70, slots=4)
    3
    >>> share = connection_share.share_of(16, 1, uptime_s=60.0)
    >>> connection_share.statements_needed(share, 16, slots=4)
    6

    """
    part = share.hard_limit / max(BURST_SHARE * connections, 1.0)
    return math.ceil(min(part, 1.0) * slots) + 2


class DaemonCount:
    """Highest number of daemons in a sliding window.

    Examples
    ========

    >>> from burdockcart.process.gateway.members import connection_share
    >>> count = connection_share.DaemonCount(4, now=0.0)
    >>> count.record_count(3, now=1.0)
    4
    >>> count.record_count(3, now=30.0)
    3

    """

    def __init__(self, initial: int, now: float):
        #: Counts above all later ones, the oldest and highest first.
        self._counts = collections.deque([(now, initial)])

    def record_count(self, count: int, now: float) -> int:
        """Record a count and return the highest one in the window."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while now - self._counts[0][0] > COUNT_WINDOW_S:
            self._counts.popleft()
        return self._counts[0][1]
