"""Interface to the platform: manifest, members and promotions."""

import enum
from typing import Protocol

import msgspec
from returns import result

from burdockcart import ids
from burdockcart.version import manifest


class CallFault(enum.Enum):
    """Reason why a call to the platform failed.

    After NO_ANSWER the call may have been executed, or may be later.
    """

    NO_ANSWER = "no answer"
    UNAVAILABLE = "unavailable, nothing was done"
    MISSING = "missing"
    HISTORY_LOST = "history no longer kept"
    UNREADABLE = "unreadable"


class DaemonEntry(msgspec.Struct, frozen=True):
    """Registration of one daemon.

    Parameters
    ==========

    address : str
        ``ip:port`` on which it accepts links of other daemons.

    """

    id: ids.DaemonId
    address: str
    domain: ids.DomainName
    incarnation: ids.Incarnation


class StoreSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The gateway's data in the store at a revision."""

    tables: manifest.Manifest | None
    entry_by_member: dict[ids.MemberId, manifest.MemberEntry]
    daemon_by_id: dict[ids.DaemonId, DaemonEntry]
    fleet_key: bytes | None
    revision: int


class StoreChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of the store up to a revision; None for a removed entry.

    ``tables`` holds the manifests in the order in which they were written;
    ``fleet_key`` is None if the key has not changed.
    """

    tables: list[manifest.Manifest]
    entry_by_member: dict[ids.MemberId, manifest.MemberEntry | None]
    entry_by_daemon: dict[ids.DaemonId, DaemonEntry | None]
    fleet_key: bytes | None
    revision: int


class PromotionRecord(msgspec.Struct, frozen=True):
    """The last claim of the right to promote in a group.

    ``claimed_at_ms`` is the holder's wall-clock time, for operators and as an
    estimate of the record's age; clocks may differ by seconds.  ``reserved``
    marks a claim in advance, whose holder does not promote now.
    ``candidate`` is the member that the holder calls the platform for, if the
    platform checks no tokens; ``settled`` tells that each call was answered,
    so that none can be executed later.
    """

    holder: ids.DaemonId
    attempt: str
    claimed_at_ms: int
    reserved: bool = False
    candidate: ids.MemberId | None = None
    settled: bool = False


class ClaimLost(msgspec.Struct, frozen=True):
    """The current record and revision, if the claim lost to another."""

    record: PromotionRecord | None
    revision: int


class PromotionFault(enum.Enum):
    """Reason why a promotion was not confirmed.

    After NO_ANSWER it may still be executed, until a call with a higher
    fencing token has been answered.
    """

    REJECTED = "a higher token was used, or the member is not running"
    UNAVAILABLE = "unavailable, nothing was done"
    NO_ANSWER = "no answer"


class Platform(Protocol):
    """The platform's store and its promotion service."""

    async def read_store(self) -> result.Result[StoreSnapshot, CallFault]:
        """Read all data of the store."""

    async def changes(
        self, after: int
    ) -> result.Result[StoreChanges, CallFault]:
        """Return the changes since a revision."""

    async def claim_promotion(
        self, group: ids.GroupId, record: PromotionRecord, expected: int
    ) -> result.Result[ids.FencingToken, ClaimLost | CallFault]:
        """Claim the right to promote if the record's revision matches."""

    async def promote(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        holder: ids.DaemonId,
        token: ids.FencingToken,
    ) -> result.Result[None, PromotionFault]:
        """Make a member the primary of its group."""

    async def create_fleet_key(
        self, key: bytes
    ) -> result.Result[bytes, CallFault]:
        """Write the key that all daemons share unless there is one.

        Returns the key that is in force.
        """

    async def register_daemon(
        self, entry: DaemonEntry, ttl_s: float
    ) -> result.Result[int, CallFault]:
        """Register a daemon for a limited time; return its lease."""

    async def renew_daemon(self, lease: int) -> result.Result[None, CallFault]:
        """Renew the lease of a registered daemon."""

    async def unregister_daemon(
        self, lease: int
    ) -> result.Result[None, CallFault]:
        """End the lease of a registered daemon that is shutting down."""

    async def reachable(self) -> bool:
        """Return whether the store answers."""
