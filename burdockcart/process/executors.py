"""Rendezvous choice of the daemons that take a role.

Explanation
===========

Each daemon computes the choice from the list of live daemons that it knows,
without messages.  When a daemon leaves, only its own roles move.

"""

from typing import Iterable
from typing import Protocol

import msgspec
import xxhash

from burdockcart import ids
from burdockcart.version import rows


class Daemon(msgspec.Struct, frozen=True):
    """A daemon that can take roles."""

    id: ids.DaemonId
    domain: ids.DomainName
    address: str


def weight(key: str, daemon: ids.DaemonId) -> int:
    """Return the rendezvous weight of a daemon for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{daemon}".encode())


def ranked(key: str, daemons: Iterable[Daemon]) -> list[Daemon]:
    """Return the daemons in order of preference for a key.

    Examples
    ========

    >>> from burdockcart.process import executors
    >>> fleet = [executors.Daemon(f"d{n}", "x", "") for n in range(3)]
    >>> order = executors.ranked("north-1", fleet)
    >>> order == executors.ranked("north-1", reversed(fleet))
    True

    """
    return sorted(daemons, key=lambda d: weight(key, d.id), reverse=True)


def executor_of(
    member: rows.Member, daemons: Iterable[Daemon]
) -> Daemon | None:
    """Return the daemon that connects to a member.

    A daemon in the member's failure domain is preferred, because a
    partition between failure domains then leaves both together.

    """
    known = list(daemons)
    local = [each for each in known if each.domain == member.domain]
    candidates = local or known
    if not candidates:
        return None
    return max(candidates, key=lambda d: weight(member.id, d.id))


class ExecutorCache:
    """Chosen executors, kept up to date as daemons come and go.

    Explanation
    ===========

    A change of one daemon moves only the members that it gains or loses, so
    a choice is not computed anew for each request.

    """

    def __init__(self) -> None:
        self._daemons: dict[ids.DaemonId, Daemon] = {}
        self._local: dict[ids.DomainName, list[Daemon]] = {}
        self._chosen: dict[ids.MemberId, tuple[rows.Member, Daemon]] = {}

    def use(self, daemons: Iterable[Daemon]) -> None:
        """Take over the daemons that may be chosen."""
        now = {each.id: each for each in daemons}
        before, self._daemons = self._daemons, now
        came = [d for d in now.values() if before.get(d.id) != d]
        gone = {d.id for d in before.values() if now.get(d.id) != d}
        self._local = {}
        for each in now.values():
            self._local.setdefault(each.domain, []).append(each)
        self._chosen = {
            name: (member, chosen)
            for name, (member, chosen) in self._chosen.items()
            if chosen.id not in gone
        }
        for name, (member, chosen) in self._chosen.items() if came else ():
            best = executor_of(member, [chosen, *came])
            assert best is not None
            self._chosen[name] = member, best

    def of(self, member: rows.Member) -> Daemon | None:
        """Return the daemon that connects to a member."""
        kept = self._chosen.get(member.id)
        if kept is not None and kept[0] == member:
            return kept[1]
        local = self._local.get(member.domain)
        found = executor_of(member, local or self._daemons.values())
        if found is not None:
            self._chosen[member.id] = member, found
        return found


class Directory(Protocol):
    """Answers which daemon has which role now."""

    def executor_of(self, member: rows.Member) -> Daemon | None:
        """Return the daemon that connects to a member."""

    def others(self) -> list[ids.DaemonId]:
        """Return the ids of the other live daemons."""

    def claim(self, members: Iterable[rows.Member]) -> None:
        """Want to act as the executor of exactly these members."""

    def may_act(self, member: ids.MemberId) -> bool:
        """Return whether this daemon may start work on a member now."""

    def holds(self, member: ids.MemberId) -> bool:
        """Return whether this daemon is the executor of a member."""

    def released(self, member: ids.MemberId) -> None:
        """Note that no work of this daemon runs on a member any more."""
