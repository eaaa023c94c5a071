"""Hash ring that decides which daemons exchange heartbeats.

Explanation
===========

A daemon sends heartbeats to its successors on the ring of its own failure
domain and to one daemon of another failure domain.  The sender and the
receiver compute the same pairs, so the receiver knows whose heartbeats to
expect.

"""

import bisect
import itertools
from typing import Iterable

import xxhash

from burdockcart import ids
from burdockcart.process import executors

SUCCESSORS = 4
#: Up to this number of peers, each daemon sends heartbeats to all of them; 8
#: heartbeats of 140 B every 0.4 s stay below the bound of 4 KB/s.
MAX_MESH_PEERS = 8

_Point = tuple[int, ids.DaemonId]


def _point(daemon: ids.DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(daemon.encode())


class Ring:
    """Heartbeat pairs among a fixed set of daemons."""

    def __init__(self, daemons: Iterable[executors.Daemon]):
        self._domain_by_id = {each.id: each.domain for each in daemons}
        self._points_by_domain: dict[ids.DomainName, list[_Point]] = {}
        for each, domain in self._domain_by_id.items():
            self._points_by_domain.setdefault(domain, []).append(
                (_point(each), each)
            )
        for points in self._points_by_domain.values():
            points.sort()
        self._domains = sorted(self._points_by_domain)
        self._mesh = len(self._domain_by_id) <= MAX_MESH_PEERS + 1

    def receivers(self, sender: ids.DaemonId) -> list[ids.DaemonId]:
        """Return the daemons that a daemon sends heartbeats to."""
        if self._mesh:
            return [each for each in self._domain_by_id if each != sender]
        local = self._neighbours(sender, 1)
        remote = self.remote_receiver(sender)
        return local if remote is None else [*local, remote]

    def senders(self, receiver: ids.DaemonId) -> list[ids.DaemonId]:
        """Return the daemons that send heartbeats to a daemon."""
        if self._mesh:
            return [each for each in self._domain_by_id if each != receiver]
        own = self._domain_by_id[receiver]
        remote = [
            each
            for each, domain in self._domain_by_id.items()
            if domain != own and self.remote_receiver(each) == receiver
        ]
        return self._neighbours(receiver, -1) + remote

    def remote_receiver(self, sender: ids.DaemonId) -> ids.DaemonId | None:
        """Return the receiver in another failure domain, if there is one."""
        domain = self.remote_domain(sender)
        if domain is None:
            return None
        points = self._points_by_domain[domain]
        index = bisect.bisect_left(points, (_point(sender), sender))
        return points[index % len(points)][1]

    def remote_domain(self, sender: ids.DaemonId) -> ids.DomainName | None:
        """Return the other failure domain that a daemon sends heartbeats to.

        Returns None if there is only one failure domain.
        """
        own = self._domain_by_id[sender]
        others = [domain for domain in self._domains if domain != own]
        if not others:
            return None
        return others[_point(sender) % len(others)]

    def senders_by_domain(
        self, receiver: ids.DomainName
    ) -> dict[ids.DomainName, list[ids.DaemonId]]:
        """Return the senders to a failure domain, by their own domain."""
        found: dict[ids.DomainName, list[ids.DaemonId]] = {}
        for each, domain in self._domain_by_id.items():
            if self._mesh or self.remote_domain(each) == receiver:
                found.setdefault(domain, []).append(each)
        found.pop(receiver, None)
        return found

    def _neighbours(
        self, daemon: ids.DaemonId, step: int
    ) -> list[ids.DaemonId]:
        points = self._points_by_domain[self._domain_by_id[daemon]]
        index = bisect.bisect_left(points, (_point(daemon), daemon))
        count = min(SUCCESSORS, len(points) - 1)
        steps = itertools.islice(itertools.count(1), count)
        return [points[(index + step * n) % len(points)][1] for n in steps]
