"""Daemons that are registered in the platform's store."""

from burdockcart import ids
from burdockcart.process.gateway.store import coordination

#: Time for which an entry that the restored store lacks stays in use, in
#: seconds: the lifetime of a registration.  A daemon that runs registers
#: again as soon as it sees the new era.
MISSING_S = 8.0
#: Time for which daemons that left are remembered, in seconds: copies from
#: which a store is restored are some seconds old.
LEFT_MEMORY_S = 120.0


class DaemonCatalog:
    """Entries in use; see also :class:`member_catalog.MemberCatalog`.

    Explanation
    ===========

    The list of a restored store lacks daemons that registered after the copy
    was made, and holds some that have left since.  Shares of connections and
    holders of members must not follow it.

    Examples
    ========

    >>> from burdockcart.process.gateway.store import coordination
    >>> from burdockcart.process.gateway.store import daemon_catalog
    >>> catalog = daemon_catalog.DaemonCatalog()
    >>> entry = coordination.DaemonEntry("a", "a:1", "z", "boot-1", 1)
    >>> catalog.changed({"a": entry}, now=0.0)
    >>> catalog.restored({}, 2, now=1.0)
    >>> sorted(catalog.entry_by_id)
    ['a']
    >>> catalog.remove_missing(now=9.5)
    True
    >>> sorted(catalog.entry_by_id)
    []

    """

    def __init__(self) -> None:
        self.entry_by_id: dict[ids.DaemonId, coordination.DaemonEntry] = {}
        self._daemons: frozenset[ids.DaemonId] = frozenset()
        self._missing_since: dict[ids.DaemonId, float] = {}
        #: Incarnations that left or were replaced, and when.
        self._left_at: dict[tuple[ids.DaemonId, ids.Incarnation], float] = {}
        #: Restored entries of incarnations that had left.
        self._ended: dict[ids.DaemonId, coordination.DaemonEntry] = {}

    @property
    def daemons(self) -> frozenset[ids.DaemonId]:
        """The daemons that have an entry; the same object until they change.

        The scans of all groups ask for them.
        """
        if self._daemons != self.entry_by_id.keys():
            self._daemons = frozenset(self.entry_by_id)
        return self._daemons

    def listed(
        self,
        entry_by_id: dict[ids.DaemonId, coordination.DaemonEntry],
        now: float,
    ) -> None:
        """Replace all entries but those that a restored store may lack."""
        valid = {
            daemon: entry
            for daemon, entry in entry_by_id.items()
            if self._ended.get(daemon) != entry
        }
        gone = self.entry_by_id.keys() - entry_by_id.keys()
        removed = dict.fromkeys(gone - self._missing_since.keys())
        self.changed({**valid, **removed}, now)

    def restored(
        self,
        entry_by_id: dict[ids.DaemonId, coordination.DaemonEntry],
        era: ids.StoreEra,
        now: float,
    ) -> None:
        """Use the first list of a new era."""
        valid: dict[ids.DaemonId, coordination.DaemonEntry | None] = {
            daemon: entry
            for daemon, entry in entry_by_id.items()
            if entry.era == era
            or (daemon, entry.incarnation) not in self._left_at
        }
        for daemon in self.entry_by_id.keys() - valid.keys():
            self._missing_since.setdefault(daemon, now)
        self.changed(valid, now)
        self._ended = {
            daemon: entry
            for daemon, entry in entry_by_id.items()
            if daemon not in valid
        }

    def changed(
        self,
        entry_by_id: dict[ids.DaemonId, coordination.DaemonEntry | None],
        now: float,
    ) -> None:
        """Apply changes; None stands for a removed entry."""
        for daemon, entry in entry_by_id.items():
            known = self.entry_by_id.pop(daemon, None)
            if known is not None and (
                entry is None or entry.incarnation != known.incarnation
            ):
                self._left_at[daemon, known.incarnation] = now
            if entry is not None:
                self.entry_by_id[daemon] = entry
                self._left_at.pop((daemon, entry.incarnation), None)
            self._missing_since.pop(daemon, None)
            self._ended.pop(daemon, None)

    def remove_missing(self, now: float) -> bool:
        """Remove entries that stay missing; True if there were any."""
        self._left_at = {
            left: at
            for left, at in self._left_at.items()
            if now - at < LEFT_MEMORY_S
        }
        missing = [
            daemon
            for daemon, since in self._missing_since.items()
            if now - since >= MISSING_S
        ]
        self.changed(dict.fromkeys(missing), now)
        return bool(missing)
