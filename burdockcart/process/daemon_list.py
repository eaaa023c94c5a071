"""List of all known daemons, with its digest and heartbeat ring."""

import enum
from typing import Iterable
from typing import Iterator

import msgspec
import xxhash

from burdockcart import ids
from burdockcart.process import executors
from burdockcart.process import ring

#: Dead daemons are kept this long, so that a delayed message does not revive
#: them.
FORGET_AFTER_S = 600.0
#: Bounds the memory that peers can make this daemon use.
MAX_DAEMONS = 20_000


class State(enum.Enum):
    """State of a daemon as another daemon knows it."""

    JOINING = 0
    LIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


class DaemonEntry(msgspec.Struct):
    """What is known of one daemon.

    A leaving daemon has ``leaving`` set and stays live or suspect, so that
    its failure is detected like that of any other.
    """

    daemon: executors.Daemon
    last_seen_at: float
    incarnation: int = 0
    state: State = State.JOINING
    boot_id: int = 0
    leaving: bool = False
    listed: bool = False
    died_at: float = 0.0

    @property
    def reachable(self) -> bool:
        """Return whether the daemon is live, leaving or suspect."""
        return self.state in (State.LIVE, State.SUSPECT)

    @property
    def in_use(self) -> bool:
        """Return whether the daemon may have roles."""
        return self.reachable and not self.leaving


class DaemonList:
    """All known daemons except this one.

    ``version`` grows with each change of a state or incarnation.
    """

    def __init__(self, own: executors.Daemon):
        self._own = own
        self.entry_by_id: dict[ids.DaemonId, DaemonEntry] = {}
        self.version = 0
        self.changed_at = 0.0
        self._digest: int | None = None
        self._ring: ring.Ring | None = None

    def __iter__(self) -> Iterator[DaemonEntry]:
        return iter(self.entry_by_id.values())

    def add(self, daemon: executors.Daemon, now: float) -> DaemonEntry:
        """Return the entry of a daemon; an unknown one is added as joining."""
        entry = self.entry_by_id.get(daemon.id)
        if entry is None:
            entry = DaemonEntry(daemon, now)
            if daemon.id != self._own.id and (
                len(self.entry_by_id) < MAX_DAEMONS
            ):
                self.entry_by_id[daemon.id] = entry
                self.version += 1
        return entry

    def use_list(self, hosts: Iterable[executors.Daemon], now: float) -> None:
        """Mark the listed daemons; drop joining ones no longer listed."""
        listed = {each.id for each in hosts}
        for each in hosts:
            entry = self.add(each, now)
            if entry.state is State.JOINING:
                entry.daemon = each
        for name, entry in list(self.entry_by_id.items()):
            entry.listed = name in listed
            if entry.state is State.JOINING and not entry.listed:
                del self.entry_by_id[name]
                self.version += 1

    def changed(self, now: float) -> None:
        """Record that the state or incarnation of an entry changed."""
        self.version += 1
        self.changed_at = now
        self._digest = self._ring = None

    def in_state(self, state: State) -> list[executors.Daemon]:
        """Return the daemons in a state."""
        return [each.daemon for each in self if each.state is state]

    def reachable_daemons(self) -> list[executors.Daemon]:
        """Return the live, leaving and suspect daemons."""
        return [each.daemon for each in self if each.reachable]

    def unreachable_daemons(self) -> list[executors.Daemon]:
        """Return the joining and dead daemons, to be contacted again."""
        return [each.daemon for each in self if not each.reachable]

    def forget(self, now: float) -> None:
        """Drop daemons that died long ago and are not listed."""
        for name, entry in list(self.entry_by_id.items()):
            old = now - entry.died_at > FORGET_AFTER_S
            if entry.state is State.DEAD and old and not entry.listed:
                del self.entry_by_id[name]

    def ring(self) -> ring.Ring:
        """Return the heartbeat ring of the reachable daemons."""
        if self._ring is None:
            self._ring = ring.Ring([self._own, *self.reachable_daemons()])
        return self._ring

    def digest(self, own_incarnation: int, own_leaving: bool) -> int:
        """Return a hash of the reachable daemons, this one included."""
        if self._digest is None:
            self._digest = 0
            for each in self:
                if each.reachable:
                    self._digest ^= _hash(
                        each.daemon.id, each.incarnation, each.leaving
                    )
        return self._digest ^ _hash(self._own.id, own_incarnation, own_leaving)


def _hash(daemon: ids.DaemonId, incarnation: int, leaving: bool) -> int:
    text = f"{daemon}\0{incarnation}\0{leaving}"
    return xxhash.xxh3_64_intdigest(text.encode())
