"""How many connections to a member this daemon may have.

Explanation
===========

Load pattern: all daemons lose power at once and start again.  A member keeps
the connections of the dead processes for some seconds, and refuses new ones
beyond its limit.  So the daemons together keep no more than half of a
member's connections open; a burst may use more, which are closed again when
it is over.

"""

import collections

import msgspec

#: Share of a member's connections that all daemons keep open.
KEPT = 0.5
#: Share that they use in a burst; the rest is for daemons that just started
#: and are not counted yet.  Each daemon may use at least one connection above
#: the kept ones, or a client that rests inside a transaction would stop all
#: others of a daemon in a large fleet.
BURST = 0.75
#: An idle connection above the kept ones is closed after this time, in
#: seconds; a new one costs its handshake, so a burst may pause for a moment.
IDLE_S = 1.0
#: Time after the start in which a daemon opens one connection to a member, in
#: seconds: all daemons start within 0.3 s of each other.
FIRST_S = 0.5
#: Time after the start in which members may hold the connections of dead
#: processes, in seconds; they drop them after 3 s.
LINGER_S = 3.2
#: A daemon that is no longer listed may just have lost its way to the store
#: and still hold its connections; it counts for this time, in seconds.
REMEMBER_S = 15.0


class Share(msgspec.Struct, frozen=True):
    """Connections to one member: kept open, and at most."""

    soft_limit: int
    hard_limit: int


def share_of(connections: int, daemons: int, uptime_s: float) -> Share:
    """Return this daemon's share of a member's connections.

    A daemon that has just started begins with one connection, so that the
    daemons that start with it get one as well while the members still hold
    those of the dead processes.

    Examples
    ========

    >>> from burdockcart.process.gateway import connection_share
    >>> connection_share.share_of(16, 4, uptime_s=60.0)
    Share(kept=2, most=3)
    >>> connection_share.share_of(16, 4, uptime_s=1.0)
    Share(kept=2, most=2)
    >>> connection_share.share_of(16, 4, uptime_s=0.1)
    Share(kept=1, most=1)
    >>> connection_share.share_of(46, 31, uptime_s=60.0)
    Share(kept=1, most=2)

    """
    if uptime_s < FIRST_S:
        return Share(1, 1)
    daemons = max(daemons, 1)
    soft_limit = max(int(KEPT * connections / daemons), 1)
    if uptime_s < LINGER_S:
        return Share(soft_limit, soft_limit)
    return Share(
        soft_limit, max(int(BURST * connections / daemons), soft_limit + 1)
    )


class DaemonCount:
    """The largest number of daemons that was counted of late.

    Examples
    ========

    >>> from burdockcart.process.gateway import connection_share
    >>> count = connection_share.DaemonCount(4, now=0.0)
    >>> count.counted(3, now=1.0)
    4
    >>> count.counted(3, now=30.0)
    3

    """

    def __init__(self, initial: int, now: float):
        self._seen = collections.deque([(now, initial)])

    def counted(self, count: int, now: float) -> int:
        """Take over a count and return the number to divide by."""
        self._seen.append((now, count))
        while now - self._seen[0][0] > REMEMBER_S:
            self._seen.popleft()
        return max(seen for _, seen in self._seen)
