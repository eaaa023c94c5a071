"""What the gateway asks of the platform: tables, members, promotions."""

import enum
from typing import Protocol

import msgspec
from returns import result

from burdockcart import ids
from burdockcart.version import manifest


class CallFault(enum.Enum):
    """Why a call to the platform has no result.

    After NO_ANSWER the call may have been carried out, or may be later.
    """

    NO_ANSWER = "no answer"
    UNAVAILABLE = "unavailable, nothing was done"
    MISSING = "missing"
    HISTORY_LOST = "history no longer kept"
    UNREADABLE = "unreadable"


class StoreSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """What the store holds for the gateway, as of a revision."""

    tables: manifest.Manifest | None
    entry_by_member: dict[ids.MemberId, manifest.MemberEntry]
    daemons: frozenset[ids.DaemonId]
    revision: int


class StoreChanges(msgspec.Struct, frozen=True, kw_only=True):
    """What changed in the store up to a revision; None for what was removed.

    ``tables`` are in the order in which they were written.
    """

    tables: list[manifest.Manifest]
    entry_by_member: dict[ids.MemberId, manifest.MemberEntry | None]
    listed_by_daemon: dict[ids.DaemonId, bool]
    revision: int


class PromotionRecord(msgspec.Struct, frozen=True):
    """Who last claimed the right to promote in a group.

    ``claimed_at_ms`` is wall-clock time of the holder, for people and as a
    hint of the record's age; clocks may differ by seconds.  ``reserved``
    marks a claim ahead of time, whose holder does not promote now.
    """

    holder: ids.DaemonId
    attempt: str
    claimed_at_ms: int
    reserved: bool = False


class ClaimLost(msgspec.Struct, frozen=True):
    """Another daemon claimed first; its record and revision."""

    record: PromotionRecord | None
    revision: int


class PromotionFault(enum.Enum):
    """Why a promotion was not confirmed.

    After NO_ANSWER it may still happen, until a call with a higher token is
    answered.
    """

    REJECTED = "a higher token was used, or the member is not running"
    UNAVAILABLE = "unavailable, nothing was done"
    NO_ANSWER = "no answer"


class Platform(Protocol):
    """The platform's store and its promotion service."""

    async def read_store(self) -> result.Result[StoreSnapshot, CallFault]:
        """Return what the store holds."""

    async def changes(
        self, after: int
    ) -> result.Result[StoreChanges, CallFault]:
        """Return what changed after a revision."""

    async def claim_promotion(
        self, group: ids.GroupId, record: PromotionRecord, expected: int
    ) -> result.Result[ids.FencingToken, ClaimLost | CallFault]:
        """Claim the right to promote if the record is still at a revision."""

    async def promote(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        holder: ids.DaemonId,
        token: ids.FencingToken,
    ) -> result.Result[None, PromotionFault]:
        """Make a member the primary of its group."""

    async def register_daemon(
        self, daemon: ids.DaemonId, ttl_s: float
    ) -> result.Result[int, CallFault]:
        """Enter a daemon into the list for a time; return the lease."""

    async def renew_daemon(self, lease: int) -> result.Result[None, CallFault]:
        """Keep a daemon in the list."""

    async def reachable(self) -> bool:
        """Return whether the store answers at all."""
