"""Order in which daemons act on the same observation.

Explanation
===========

Load pattern: all daemons of a fleet notice at once that a primary is lost.
Seventy-seven claims of the right to replace it cost as many calls to the
platform's store, and all but one are refused.  So a few daemons act at once,
and the others only if the primary is still missing when their turn comes.

"""

import hashlib
from typing import Callable
from typing import Collection

from burdockcart import ids

#: Daemons that act at the same time: some may be cut off or lost.
TOGETHER = 4
#: Time between two turns, in seconds; a claim and the comparison of the logs
#: take less.
TURN_S = 0.15
#: Turns that do not wait for the outcome of those before.
EARLY_TURNS = 2
#: Delay of the next turn, in seconds: a whole promotion by an earlier one
#: takes 1.2 s.
LATE_S = 1.5
MAX_DELAY_S = 3.0


def rank(
    daemon: ids.DaemonId,
    group: ids.GroupId,
    daemons: Collection[ids.DaemonId],
) -> int:
    """Return a daemon's place in the order of a group, from 0.

    Uses rendezvous hashing: daemons with the same list agree, and a daemon
    that joins or leaves changes the order of the others little.

    Examples
    ========

    >>> from burdockcart.process.gateway.promotion import turn
    >>> fleet = ["a", "b", "c", "d"]
    >>> sorted(turn.rank(each, "g", fleet) for each in fleet)
    [0, 1, 2, 3]

    """

    def weight(each: ids.DaemonId) -> bytes:
        return hashlib.blake2b(f"{group}/{each}".encode()).digest()

    own = weight(daemon)
    return sum(weight(each) < own for each in daemons)


class Ranks:
    """Places of one daemon, computed once for each list of daemons.

    Explanation
    ===========

    All groups are scanned 20 times a second, and a place takes a hash of
    every daemon.

    Parameters
    ==========

    daemons : callable
        Returns the registered daemons.

    Examples
    ========

    >>> from burdockcart.process.gateway.promotion import turn
    >>> ranks = turn.Ranks("a", lambda: frozenset("abcd"))
    >>> ranks.rank("g") == turn.rank("a", "g", "abcd")
    True

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        daemons: Callable[[], Collection[ids.DaemonId]],
    ):
        self._daemon = daemon
        self._daemons = daemons
        #: List of daemons that the known places are of.
        self._ranked: frozenset[ids.DaemonId] = frozenset()
        self._rank_by_group: dict[ids.GroupId, int] = {}

    def rank(self, group: ids.GroupId) -> int:
        """Return the daemon's place in the order of a group, from 0."""
        # A copy is compared, as a caller may change its collection; a frozen
        # set is not copied.
        daemons = frozenset(self._daemons())
        if daemons is not self._ranked:
            if daemons != self._ranked:
                self._rank_by_group.clear()
            self._ranked = daemons
        found = self._rank_by_group.get(group)
        if found is None:
            found = rank(self._daemon, group, daemons)
            self._rank_by_group[group] = found
        return found


def delay_s(own_rank: int) -> float:
    """Return how long a daemon waits before it acts.

    Examples
    ========

    >>> from burdockcart.process.gateway.promotion import turn
    >>> [turn.delay_s(each) for each in (3, 4, 8, 70)]
    [0.0, 0.15, 1.5, 3.0]

    """
    turns = own_rank // TOGETHER
    if turns < EARLY_TURNS:
        return turns * TURN_S
    return min(LATE_S + (turns - EARLY_TURNS) * TURN_S, MAX_DELAY_S)
