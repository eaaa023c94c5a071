"""Keys of the owners of shards in the emulated store."""

import copy

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era


class ShardKeys:
    """Keys under leases of their own, and the history of their owners."""

    def __init__(self) -> None:
        #: Owner, revision and lease, by shard.
        self._key_by_shard: dict[int, tuple[ids.DaemonId, int, int]] = {}
        #: Time at which a lease ends, and its length, in seconds.
        self._lease_ends_at: dict[int, tuple[float, float]] = {}
        self._changes: list[tuple[int, int, ids.DaemonId | None]] = []
        #: Calls that were executed, for tests.
        self.attempts = self.renewals = self.reads = 0

    def __copy__(self) -> "ShardKeys":
        copied = ShardKeys()
        copied._key_by_shard = copy.copy(self._key_by_shard)
        copied._lease_ends_at = copy.copy(self._lease_ends_at)
        copied._changes = copy.copy(self._changes)
        copied.attempts = self.attempts
        copied.renewals = self.renewals
        copied.reads = self.reads
        return copied

    def ended(self, now: float) -> list[int]:
        """Return the shards whose leases have ended."""
        return [
            shard
            for shard, (_, _, lease) in self._key_by_shard.items()
            if self._lease_ends_at[lease][0] <= now
        ]

    def remove(self, shard: int, revision: int) -> None:
        """Remove the key of a shard."""
        _, _, lease = self._key_by_shard.pop(shard)
        del self._lease_ends_at[lease]
        self._changes.append((revision, shard, None))

    def owner(
        self, shard: int, era: ids.StoreEra
    ) -> coordination.ShardOwner | None:
        """Return the owner of a shard."""
        found = self._key_by_shard.get(shard)
        if found is None:
            return None
        position = store_era.position(era, found[1])
        return coordination.ShardOwner(found[0], position)

    def first_owner(
        self, shard: int, era: ids.StoreEra
    ) -> coordination.ShardOwner | None:
        """Return the first owner of a shard in the history."""
        for revision, number, daemon in self._changes:
            if number == shard:
                position = store_era.position(era, revision)
                return coordination.ShardOwner(daemon, position)
        return None

    def write(
        self,
        shard: int,
        daemon: ids.DaemonId,
        lease: int,
        revision: int,
        now: float,
        ttl_s: float,
    ) -> None:
        """Write the key of a shard, under another lease than before."""
        self._key_by_shard[shard] = daemon, revision, lease
        self._lease_ends_at[lease] = now + ttl_s, ttl_s
        self._changes.append((revision, shard, daemon))

    def renew(self, lease: int, now: float) -> bool:
        """Renew a lease; False if it has ended."""
        if lease not in self._lease_ends_at:
            return False
        _, ttl_s = self._lease_ends_at[lease]
        self._lease_ends_at[lease] = now + ttl_s, ttl_s
        return True

    def owners(
        self, era: ids.StoreEra, after: int = -1
    ) -> dict[int, coordination.ShardOwner]:
        """Return the owners that changed after a revision."""
        return {
            shard: coordination.ShardOwner(
                daemon, store_era.position(era, revision)
            )
            for revision, shard, daemon in self._changes
            if revision > after
        }
