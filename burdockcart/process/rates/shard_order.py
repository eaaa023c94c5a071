"""Which daemons should have the permits of a shard."""

from typing import Mapping
from typing import Protocol

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import shard_ownership
from burdockcart.process.rates import share_terms


class Daemons(Protocol):
    """The registered daemons."""

    def __call__(self) -> Mapping[ids.DaemonId, coordination.DaemonEntry]:
        """Return their entries."""


class ReserveOrder:
    """The daemons that follow the owner of a shard, which have the permits.

    The order is kept until the list of daemons changes: it costs a hash for
    each daemon, and is looked up with each report.
    """

    def __init__(self, shard: share_terms.Shard, daemons: Daemons):
        self._shard = shard
        self._daemons = daemons
        self._order: list[ids.DaemonId] | None = None

    def use_daemons(self) -> None:
        """Note that the list of daemons has changed."""
        self._order = None

    def followers(self, owner: ids.DaemonId | None) -> list[ids.DaemonId]:
        """Return the daemons that follow an owner, the next one first.

        Without a known owner, those that follow the first in order.
        """
        if self._order is None:
            self._order = shard_ownership.in_order(
                self._shard, self._daemons()
            )
        order = self._order
        position = order.index(owner) if owner in order else 0
        rotated = order[position + 1 :] + order[:position]
        return rotated[: reserve_policy.PERMITS]
