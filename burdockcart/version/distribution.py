"""Decisions on how a version of the tables reaches every daemon.

Explanation
===========

Few daemons of each failure domain watch the store.  They push a change into
a tree over the daemons of their failure domain.  Every daemon announces its
version to some peers now and then; a daemon that hears of a higher version
pulls what it lacks, which covers lost pushes, dead daemons and partitions.
"""

import collections
import enum
from typing import Iterable
from typing import Sequence
from typing import TypeVar

from returns import result

from burdockcart import ids
from burdockcart.version import change
from burdockcart.version import table_image
from burdockcart.version import table_store

WATCHERS_PER_DOMAIN = 2
FAN_OUT = 3
#: Successors on the ring of the failure domain that hear each announcement;
#: one daemon of another failure domain hears it as well.
ANNOUNCED_SUCCESSORS = 3

#: Changes kept for peers that lack them, and their rows in total.
KEPT_CHANGES = 256
KEPT_ROWS = 2000
#: Shards of one message; a message may have 4 MB.
SNAPSHOT_PART_BYTES = 512 * 1024

_Daemon = TypeVar("_Daemon")


class ApplyResult(enum.Enum):
    """What became of an offered change."""

    ACCEPTED = "accepted"
    STALE = "stale"
    GAP = "gap"
    INVALID = "invalid"


class LocalTables:
    """Version in force and what is kept for peers; it never goes back."""

    def __init__(self) -> None:
        self.image = table_image.TableImage.empty()
        self._recent: collections.deque[change.Change] = collections.deque()
        self.last_refusal = ""

    @property
    def version(self) -> ids.TableVersion:
        """Return the version in force."""
        return self.image.version

    def apply(self, each: change.Change) -> ApplyResult:
        """Take a change over if it is valid and follows the version."""
        if each.version <= self.version:
            return ApplyResult.STALE
        if each.parent not in (self.version, change.EMPTY.version):
            return ApplyResult.GAP
        made = self.image.after(each)
        if isinstance(made, result.Failure):
            self.last_refusal = made.failure()
            return ApplyResult.INVALID
        self.image = made.unwrap()
        self._keep(each)
        return ApplyResult.ACCEPTED

    def install_snapshot(self, image: table_image.TableImage) -> ApplyResult:
        """Take a checked image over if it is newer."""
        if image.version <= self.version:
            return ApplyResult.STALE
        self.image = image
        self._recent.clear()
        return ApplyResult.ACCEPTED

    def changes_after(self, version: int) -> tuple[change.Change, ...] | None:
        """Return the changes that a peer lacks; None if not all are kept."""
        if version >= self.version:
            return ()
        found = table_store.changes_between(
            self._recent, version, self.version
        )
        if isinstance(found, result.Failure):
            return None
        return tuple(found.unwrap())

    def shards_from(self, first: int) -> tuple[bytes, ...]:
        """Return shards from a number on, as many as one message takes."""
        found: list[bytes] = []
        size = 0
        for blob in self.image.blobs[max(first, 0) :]:
            size += len(blob)
            if found and size > SNAPSHOT_PART_BYTES:
                break
            found.append(blob)
        return tuple(found)

    def _keep(self, each: change.Change) -> None:
        self._recent.append(each)
        kept = sum(len(one.edits) for one in self._recent)
        while len(self._recent) > 1 and (
            len(self._recent) > KEPT_CHANGES or kept > KEPT_ROWS
        ):
            kept -= len(self._recent.popleft().edits)


def push_targets(ranked: Sequence[_Daemon]) -> list[_Daemon]:
    """Return the daemons that a watcher pushes to.

    They are the root of the tree and its children, so that one dead daemon
    at the top does not hold up the failure domain.

    """
    return list(ranked[: 1 + FAN_OUT])


def forward_targets(ranked: Sequence[_Daemon], own: _Daemon) -> list[_Daemon]:
    """Return the daemons that a daemon forwards a push to.

    Examples
    ========

    >>> from burdockcart.version import distribution
    >>> distribution.forward_targets("abcdefgh", "b")
    ['e', 'f', 'g']
    >>> distribution.forward_targets("abcdefgh", "h")
    []

    """
    if own not in ranked:
        return []
    first = ranked.index(own) * FAN_OUT + 1
    return list(ranked[first : first + FAN_OUT])


def announce_targets(
    own: ids.DaemonId,
    local: Iterable[ids.DaemonId],
    remote: Iterable[ids.DaemonId],
    number: int,
) -> list[ids.DaemonId]:
    """Return who hears the announcement of a number.

    Parameters
    ==========

    local, remote : iterable of DaemonId
        Daemons of the own and of other failure domains.
    number : int
        Number of the announcement; it selects the remote daemon in turn.

    """
    ring = sorted({*local, own})
    at = ring.index(own)
    successors = (ring[at + 1 :] + ring[:at])[:ANNOUNCED_SUCCESSORS]
    others = sorted(remote)
    if others:
        successors.append(others[(number + at) % len(others)])
    return successors
