"""One version of the operators' routes and groups."""

import enum

import msgspec

from burdockcart import ids


class Consistency(enum.Enum):
    """Which commits a read on a route must see."""

    PRIMARY = "every acknowledged commit"
    BOUNDED = "commits older than the allowed age"
    READ_YOUR_WRITES = "the session's commits, others up to the allowed age"


class DatabaseRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Group and limits for the sessions of one database name.

    Parameters
    ==========

    max_age_s : float
        Largest age of the data that a read may see, in seconds; 0 for
        PRIMARY.
    timeout_s : float
        Timeout of a single statement, in seconds.
    latency_goal_s : float
        Latency goal of a whole operation, in seconds.
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
    #: Whether clients need no key, so that sessions have no account.
    anonymous: bool = False


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account: who clients are, and how much they may send.

    Parameters
    ==========

    keys : frozenset of str
        Keys that its clients send; they must not be logged.
    priority : int
        0 has the largest share of a member that is full.
    rate_per_s : float or None
        Operations per second of all daemons together; None for no limit.
    burst : float
        Operations that may exceed the rate at once.

    """

    name: ids.AccountName
    keys: frozenset[str] = frozenset()
    priority: int = 0
    rate_per_s: float | None = None
    burst: float = 0.0

    def __repr__(self) -> str:
        """Return a text without the keys."""
        return f"Account({self.name!r}, keys={len(self.keys)})"


class GroupLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a database group.

    ``connections`` is the maximum that a member accepts from all daemons
    together.  If ``synchronous`` is true, a commit is acknowledged only after
    a replica has received it.
    """

    id: ids.GroupId
    connections: int
    synchronous: bool


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """Routes, groups and limits that take effect together."""

    version: int
    route_by_database: dict[ids.DatabaseName, DatabaseRoute]
    limits_by_group: dict[ids.GroupId, GroupLimits]
    transaction_idle_s: float
    #: Empty if the deployment has no accounts.
    account_by_name: dict[ids.AccountName, Account] = msgspec.field(
        default_factory=dict
    )


class MemberState(enum.Enum):
    """Lifecycle state that a member reports."""

    READY = "ready"
    DRAINING = "draining"


class MemberEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Registration record that a member wrote.

    ``started_ms`` is the wall-clock time of its start.  A member that restarts
    under the same id has lost all state that daemons had set on it.
    ``sequence`` counts the entries since that start.
    """

    id: ids.MemberId
    group: ids.GroupId
    address: str
    domain: ids.DomainName
    slots: int
    state: MemberState
    leads: bool
    started_ms: int
    sequence: int = 0
