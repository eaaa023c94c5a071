"""Whether a shard's key was written by a former process of this daemon."""

from burdockcart import ids
from burdockcart.process.rates import share_terms


class ShardSuccession:
    """What one process knows of the key that a former one has left.

    Explanation
    ===========

    A daemon's processes run one after the other.  So a key that names this
    daemon, and that this process has not written, belongs to a process that
    has ended: nobody has authority, and this process may replace the key.
    Only what the store itself has answered counts.  A hint of another daemon
    names an owner's successor together with the position of that owner's own
    key, whose shares may still be in use.

    Parameters
    ==========

    started_at : float
        A time of the boot clock since this process has started, in seconds.

    """

    def __init__(self, daemon: ids.DaemonId, started_at: float):
        self._daemon = daemon
        self._position: ids.StorePosition | None = None
        #: Whether the key may have been written by this process.
        self._written = self._written_before = False
        #: Time at which the last share that a former process has granted, or
        #: has known of, expires, in seconds.  Its last renewal was sent
        #: before this process started.
        self.shares_end_at = (
            started_at + share_terms.LEASE_S + share_terms.GRACE_S
        )

    @property
    def position(self) -> ids.StorePosition | None:
        """Position of the key that a former process has left, if any."""
        return None if self._written else self._position

    def found(
        self, position: ids.StorePosition, owner: ids.DaemonId | None
    ) -> None:
        """Note the owner that the store has at a position."""
        self._position = position if owner == self._daemon else None

    def write_sent(self) -> None:
        """Note that the key is being written by this process."""
        self._written_before, self._written = self._written, True

    def not_written(self) -> None:
        """Note that the store has refused the last write."""
        self._written = self._written_before
