"""What all daemons hold of a shard whose owner is new."""

from typing import Collection

from burdockcart import ids
from burdockcart.process.rates import census_terms
from burdockcart.process.rates import share_terms

#: Most listed daemons that are asked; each costs two messages.
MAX_DAEMONS = 400
#: Time after which a daemon is asked again, in seconds.
TIMEOUT_S = 0.5
#: Time after the end of a former owner after which no process that is not
#: listed uses a share of it, in seconds: TOKEN_S, and as much for the clocks.
UNLISTED_S = 2 * share_terms.TOKEN_S


class ShardCensus:
    """The answers of all daemons that one read of the store has listed.

    Explanation
    ===========

    A process uses shares for longer than a token only while it is listed, and
    having answered it accepts none of former owners.  So when all daemons of
    a list that was read after the key was acquired have answered, the answers
    name all shares of former owners that can still be used.

    Parameters
    ==========

    daemons : collection of DaemonId
        The daemons that the store lists.

    """

    def __init__(self, daemons: Collection[ids.DaemonId]):
        self._daemons = frozenset(daemons)
        self._held_by_daemon: dict[ids.DaemonId, census_terms.Held] = {}

    @property
    def possible(self) -> bool:
        """Whether there are few enough daemons to ask."""
        return 0 < len(self._daemons) <= MAX_DAEMONS

    @property
    def missing(self) -> list[ids.DaemonId]:
        """The daemons that have not answered."""
        return sorted(self._daemons - self._held_by_daemon.keys())

    def answered(self, daemon: ids.DaemonId, held: census_terms.Held) -> None:
        """Note the answer of a daemon."""
        self._held_by_daemon[daemon] = held

    def accounts(self) -> frozenset[ids.AccountName]:
        """Return the accounts of which a process holds a share."""
        return frozenset(
            account
            for held in self._held_by_daemon.values()
            for account, _, _ in held.shares
        )
