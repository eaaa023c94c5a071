"""Typed rows of the two tables."""

import enum
import fnmatch
from typing import Iterable
from typing import Mapping

import msgspec

from burdockcart import ids


class Acknowledge(enum.Enum):
    """What a write waits for before it is acknowledged."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Cost(enum.Enum):
    """Cost class of a kind of work; AUTO learns it from measurements."""

    AUTO = "auto"
    SHORT = "short"
    LONG = "long"


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Pool, deadline and consistency for the work of some callers.

    Explanation
    ===========

    ``caller`` and ``kind`` are shell-style patterns.  ``max_age_ms`` bounds
    the age of the data that a read may see; 0 requires the primary.
    With ``repeatable`` None, reads may run more than once and writes may
    not.

    """

    name: ids.RouteName
    caller: str
    kind: str
    pool: ids.PoolName
    max_age_ms: int = 0
    deadline_ms: int = 2000
    repeatable: bool | None = None
    cost: Cost = Cost.AUTO
    acknowledge: Acknowledge = Acknowledge.PRIMARY

    def matches(self, caller: str, kind: str) -> bool:
        """Return whether the route serves this caller and kind of work."""
        return fnmatch.fnmatchcase(caller, self.caller) and (
            fnmatch.fnmatchcase(kind, self.kind)
        )


class Member(msgspec.Struct, frozen=True):
    """One database server of a group."""

    id: ids.MemberId
    domain: ids.DomainName
    address: str


class Group(msgspec.Struct, frozen=True):
    """A replicated database: one primary and its replicas."""

    id: ids.GroupId
    members: tuple[Member, ...]

    @property
    def majority(self) -> int:
        """Return the number of members that form a majority."""
        return len(self.members) // 2 + 1


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """Database groups that share limits and serve the same routes."""

    name: ids.PoolName
    groups: tuple[Group, ...]
    slots_per_member: int
    connections_per_member: int
    connect_ms: int = 10


class Tables(msgspec.Struct, frozen=True):
    """Both tables at one version."""

    version: ids.TableVersion
    route_by_name: Mapping[str, Route]
    pool_by_name: Mapping[str, Pool]

    def routes_for(self, caller: str) -> Iterable[Route]:
        """Return the routes that may match the work of a caller."""
        return self.route_by_name.values()
