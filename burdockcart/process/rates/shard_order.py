"""The order of the daemons that may own a shard, kept between changes."""

from typing import Mapping
from typing import Protocol

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import permit_placement
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import shard_ownership
from burdockcart.process.rates import share_terms


class Daemons(Protocol):
    """The registered daemons."""

    def __call__(self) -> Mapping[ids.DaemonId, coordination.DaemonEntry]:
        """Return their entries."""


class ShardOrder:
    """The daemons in the order in which they should own a shard.

    The order is kept until the list of daemons changes: it costs a hash for
    each daemon, and is looked up with each report.
    """

    def __init__(self, shard: share_terms.Shard, daemons: Daemons):
        self._shard = shard
        self._daemons = daemons
        self._order: list[ids.DaemonId] | None = None
        self._domain_by_id: permit_placement.DomainById | None = None
        self._preferred_by_owner: dict[
            ids.DaemonId | None, list[ids.DaemonId]
        ] = {}

    def use_daemons(self) -> None:
        """Note that the list of daemons has changed."""
        self._order = self._domain_by_id = None
        self._preferred_by_owner.clear()

    def daemons(self) -> list[ids.DaemonId]:
        """Return all daemons in order."""
        if self._order is None:
            self._order = shard_ownership.in_order(
                self._shard, self._daemons()
            )
        return self._order

    def followers(self, owner: ids.DaemonId | None) -> list[ids.DaemonId]:
        """Return the daemons that follow an owner, the next one first.

        Without a known owner, those that follow the first in order.
        """
        return shard_ownership.following(
            self.daemons(), self._expected_owner(owner)
        )

    def _expected_owner(
        self, owner: ids.DaemonId | None
    ) -> ids.DaemonId | None:
        """Return a known owner, or else the first daemon in order."""
        order = self.daemons()
        return owner if owner in order else next(iter(order), None)

    def domain_by_id(self) -> permit_placement.DomainById:
        """Return the failure domains of all daemons."""
        if self._domain_by_id is None:
            self._domain_by_id = {
                daemon: entry.domain
                for daemon, entry in self._daemons().items()
            }
        return self._domain_by_id

    def preferred(self, owner: ids.DaemonId | None) -> list[ids.DaemonId]:
        """Return the daemons that should have the permits under an owner."""
        if owner not in self._preferred_by_owner:
            self._preferred_by_owner[owner] = permit_placement.preferred(
                self.followers(owner),
                self.domain_by_id(),
                self._expected_owner(owner),
                reserve_policy.PERMITS,
            )
        return self._preferred_by_owner[owner]
