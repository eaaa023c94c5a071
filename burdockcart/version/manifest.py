"""One version of the operators' routes and groups."""

import enum

import msgspec

from burdockcart import ids


class Consistency(enum.Enum):
    """What a read on a route must see."""

    PRIMARY = "every acknowledged commit"
    BOUNDED = "commits older than the allowed age"
    READ_YOUR_WRITES = "the session's commits, others up to the allowed age"


class DatabaseRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Where the sessions of one database name go.

    Parameters
    ==========

    max_age_s : float
        How far behind a read may be, in seconds; 0 for PRIMARY.
    timeout_s : float
        Limit of a single statement, in seconds.
    latency_goal_s : float
        Time within which a whole operation should be answered, in seconds.
    priority : int
        0 is served first.

    """

    name: ids.RouteName
    database: ids.DatabaseName
    group: ids.GroupId
    consistency: Consistency
    max_age_s: float = 0.0
    timeout_s: float = 1.0
    latency_goal_s: float = 0.2
    priority: int = 0


class GroupLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What the operators say of a database group.

    ``connections`` is the most that a member takes from all daemons
    together.  ``synchronous`` says that a commit is acknowledged only when a
    replica has received it.
    """

    id: ids.GroupId
    connections: int
    synchronous: bool


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """Routes, groups and limits, in force together."""

    version: int
    route_by_database: dict[ids.DatabaseName, DatabaseRoute]
    limits_by_group: dict[ids.GroupId, GroupLimits]
    transaction_idle_s: float


class MemberState(enum.Enum):
    """What a member says of its life."""

    READY = "ready"
    DRAINING = "draining"


class MemberEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A member as it registered itself.

    ``started_ms`` is the wall-clock time of its start: a member that starts
    again under its id has forgotten everything that it was told.
    """

    id: ids.MemberId
    group: ids.GroupId
    address: str
    domain: ids.DomainName
    slots: int
    state: MemberState
    leads: bool
    started_ms: int
