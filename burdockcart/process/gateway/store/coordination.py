"""Interface to the platform: manifest, members and promotions."""

import enum
from typing import Collection
from typing import Protocol

import msgspec
from returns import result

from burdockcart import ids
from burdockcart.process.gateway.store import store_era
from burdockcart.request import log_position
from burdockcart.version import manifest


class CallFault(enum.Enum):
    """Reason why a call to the platform failed.

    After NO_ANSWER the call may have been executed, or may be later.  After
    RESTORED it was meant for, or answered by, an earlier era of the store, so
    that its outcome may be forgotten.
    """

    NO_ANSWER = "no answer"
    UNAVAILABLE = "unavailable, nothing was done"
    MISSING = "missing"
    HISTORY_LOST = "history no longer kept"
    RESTORED = "the store was restored from a copy"
    UNREADABLE = "unreadable"
    CONFLICT = "another daemon wrote first"
    TOO_LONG = "longer than was asked for"


class DaemonEntry(msgspec.Struct, frozen=True):
    """Registration of one daemon.

    Parameters
    ==========

    address : str
        ``ip:port`` on which it accepts links of other daemons.
    era : StoreEra or None
        Era of the store in which the entry was written.  The daemon had then
        written again which of its promotions were still open.  None if the
        daemon has not seen any yet.
    manifest_version : int
        Version of the manifest that the daemon used then; 0 for none.

    """

    id: ids.DaemonId
    address: str
    domain: ids.DomainName
    incarnation: ids.Incarnation
    era: ids.StoreEra | None = None
    manifest_version: int = 0


class Lease(msgspec.Struct, frozen=True):
    """Lease of a registration, and the era of the store that granted it."""

    era: ids.StoreEra
    number: int


class RosterMember(msgspec.Struct, frozen=True, order=True):
    """One start of a member; it may have acknowledged commits alone."""

    id: ids.MemberId
    started_ms: int
    address: str


class Roster(msgspec.Struct, frozen=True):
    """Members of a group, as recorded in the store.

    Parameters
    ==========

    members : tuple of RosterMember
        All that may hold an acknowledged commit which no other replica holds,
        or may acknowledge one.
    floor : LogPosition or None
        Covers the commits of the members that have been removed: a log that
        lacks this position may lack one of them.

    """

    members: tuple[RosterMember, ...] = ()
    floor: log_position.LogPosition | None = None


class StoredRoster(msgspec.Struct, frozen=True):
    """A roster and its position in the store; None if it is unreadable."""

    roster: Roster | None
    position: ids.StorePosition


class ShardOwner(msgspec.Struct, frozen=True):
    """Owner of a shard of the accounts at a position; None without a key."""

    daemon: ids.DaemonId | None
    position: ids.StorePosition


class ShardHold(msgspec.Struct, frozen=True):
    """Lease of a shard's key, and the position at which it was written."""

    lease: Lease
    position: ids.StorePosition


class StoredPromotion(msgspec.Struct, frozen=True):
    """A group's promotion record and its position in the store."""

    record: "PromotionRecord"
    position: ids.StorePosition


class StoreSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The gateway's data in the store at a position.

    ``complete_since`` is the newest era of which the daemons have recorded
    that no promotion can be open that its store does not know.
    ``tables_read`` is false if the manifest was left out, and
    ``fleet_key_read`` if the key of the links was, which was written at
    ``fleet_key_position``, or is missing.
    ``daemons_unreadable`` tells whether the store has entries of daemons that
    are not in ``daemon_by_id``.
    """

    tables: manifest.Manifest | None
    entry_by_member: dict[ids.MemberId, manifest.MemberEntry]
    daemon_by_id: dict[ids.DaemonId, DaemonEntry]
    fleet_key: bytes | None
    position: ids.StorePosition
    complete_since: ids.StoreEra | None = None
    roster_by_group: dict[ids.GroupId, StoredRoster] = msgspec.field(
        default_factory=dict
    )
    promotion_by_group: dict[ids.GroupId, StoredPromotion] = msgspec.field(
        default_factory=dict
    )
    owner_by_shard: dict[int, ShardOwner] = msgspec.field(default_factory=dict)
    daemons_unreadable: bool = False
    tables_read: bool = True
    fleet_key_read: bool = True
    fleet_key_position: ids.StorePosition | None = None


class StoredManifest(msgspec.Struct, frozen=True):
    """The manifest in the store; None if it is unreadable or missing."""

    tables: manifest.Manifest | None


class StoreChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of the store up to a position; None for a removed entry.

    ``tables`` holds the newest readable one of the manifests that were
    written; ``tables_unreadable`` tells whether a later one is unreadable or
    gone, and ``versions`` how many were written;
    ``fleet_key`` and ``complete_since`` are None if they have not changed.
    """

    tables: list[manifest.Manifest]
    entry_by_member: dict[ids.MemberId, manifest.MemberEntry | None]
    entry_by_daemon: dict[ids.DaemonId, DaemonEntry | None]
    fleet_key: bytes | None
    position: ids.StorePosition
    tables_unreadable: bool = False
    versions: int = 0
    complete_since: ids.StoreEra | None = None
    roster_by_group: dict[ids.GroupId, StoredRoster] = msgspec.field(
        default_factory=dict
    )
    promotion_by_group: dict[ids.GroupId, StoredPromotion] = msgspec.field(
        default_factory=dict
    )
    owner_by_shard: dict[int, ShardOwner] = msgspec.field(default_factory=dict)


#: What a poll of the store brings.
StoreNews = StoreChanges | StoreSnapshot


class PromotionRecord(msgspec.Struct, frozen=True):
    """The last claim of the right to promote in a group.

    ``claimed_at_ms`` is the holder's wall-clock time, for operators and as an
    estimate of the record's age; clocks may differ by seconds.  ``reserved``
    marks a claim in advance, whose holder does not promote now.
    ``candidate`` is the member that the holder calls the platform for;
    ``settled`` tells that each call was answered, so that none can be executed
    later.  ``called_at_ms`` is the time of the last call by the wall clock of
    its sender, which need not be the holder of the record; 0 without a call.
    ``prepared`` is the member that a planned replacement will promote; it has
    not been called for yet.
    """

    holder: ids.DaemonId
    attempt: str
    claimed_at_ms: int
    reserved: bool = False
    candidate: ids.MemberId | None = None
    settled: bool = False
    called_at_ms: int = 0
    prepared: ids.MemberId | None = None


class OperatorPromotion(msgspec.Struct, frozen=True, kw_only=True):
    """Audit record of a promotion that an operator has asked for.

    Parameters
    ==========

    holder : DaemonId
        Name under which the operator has claimed the promotion.
    token : FencingToken
        Token of the claim; the calls have higher ones.
    begun_ms : int
        Wall-clock time of the operator's host.
    accepted : tuple of str
        What the operator has accepted to lose, by name.
    received : LogPosition
        Newest position of the member that is promoted.
    received_by_member : dict of str to LogPosition
        The same of all members that were asked, by id and start.
    outcome : str
        Empty until the command has ended.

    """

    group: ids.GroupId
    member: ids.MemberId
    holder: ids.DaemonId
    token: ids.FencingToken
    begun_ms: int
    accepted: tuple[str, ...]
    received: log_position.LogPosition
    received_by_member: dict[str, log_position.LogPosition]
    outcome: str = ""


class ClaimLost(msgspec.Struct, frozen=True):
    """The current record and its position, if the claim lost to another."""

    record: PromotionRecord | None
    position: ids.StorePosition


class PromotionFault(enum.Enum):
    """Reason why a promotion was not confirmed.

    After NO_ANSWER it may still be executed, until a call with a higher
    fencing token has been answered.
    """

    REJECTED = "a higher token was used, or the member is not running"
    UNAVAILABLE = "unavailable, nothing was done"
    NO_ANSWER = "no answer"


class Platform(Protocol):
    """The platform's store and its promotion service.

    Positions and leases are valid in one era of the store; calls with those
    of an earlier one fail with RESTORED.
    """

    @property
    def eras(self) -> store_era.EraWatch:
        """The eras that the store's answers have shown."""

    async def read_store(self) -> result.Result[StoreSnapshot, CallFault]:
        """Read all data of the store."""

    async def read_state(
        self, era: ids.StoreEra
    ) -> result.Result[StoreSnapshot, CallFault]:
        """Read all data of the store in an era but the manifest."""

    async def read_manifest(
        self, era: ids.StoreEra
    ) -> result.Result[StoredManifest, CallFault]:
        """Read the manifest in an era of the store."""

    async def changes(
        self, after: ids.StorePosition, limit_bytes: int | None = None
    ) -> result.Result[StoreChanges, CallFault]:
        """Return the changes since a position.

        Fails with TOO_LONG if there are more bytes of them than the limit.
        """

    async def claim_promotion(
        self,
        group: ids.GroupId,
        record: PromotionRecord,
        expected: ids.StorePosition,
    ) -> result.Result[ids.FencingToken, ClaimLost | CallFault]:
        """Claim the right to promote if the record's position matches."""

    async def record_operator_promotion(
        self, record: OperatorPromotion, era: ids.StoreEra
    ) -> result.Result[None, CallFault]:
        """Write an audit record; a later one with its token replaces it."""

    async def write_roster(
        self,
        group: ids.GroupId,
        roster: Roster,
        expected: ids.StorePosition,
    ) -> result.Result[ids.StorePosition, CallFault]:
        """Replace a group's roster if it is still at the position."""

    async def promote(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        holder: ids.DaemonId,
        token: ids.FencingToken,
    ) -> result.Result[None, PromotionFault]:
        """Make a member the primary of its group."""

    async def write_fleet_key(
        self, key: bytes, withdrawn: Collection[bytes]
    ) -> result.Result[bytes, CallFault]:
        """Write the key that all daemons share unless there is a valid one.

        Returns the key that is in force.  Fails with UNREADABLE if the store
        holds a value that is no key.
        """

    async def record_complete(
        self, era: ids.StoreEra
    ) -> result.Result[None, CallFault]:
        """Record that the store knows all open promotions in an era."""

    async def register_daemon(
        self, entry: DaemonEntry, ttl_s: float
    ) -> result.Result[Lease, CallFault]:
        """Register a daemon for a limited time; return its lease.

        Fails with RESTORED if the store is in another era than the entry.
        """

    async def renew_daemon(
        self, lease: Lease
    ) -> result.Result[None, CallFault]:
        """Renew the lease of a registered daemon."""

    async def unregister_daemon(
        self, lease: Lease
    ) -> result.Result[None, CallFault]:
        """End the lease of a registered daemon that is shutting down."""

    async def withdraw_daemon(
        self, entry: DaemonEntry
    ) -> result.Result[None, CallFault]:
        """Remove an entry of this incarnation, whatever its lease."""

    async def acquire_shard(
        self,
        shard: int,
        daemon: ids.DaemonId,
        ttl_s: float,
        expected: ids.StorePosition | None = None,
    ) -> result.Result[ShardHold, ShardOwner | CallFault]:
        """Write the key of a shard under a new lease.

        There must be no key, or one at the expected position.  Fails with the
        owner whose key there is.
        """

    async def read_shard(
        self, shard: int
    ) -> result.Result[ShardOwner, CallFault]:
        """Return the owner of a shard; fails with MISSING without a key."""

    async def read_first_owner(
        self, shard: int
    ) -> result.Result[ShardOwner, CallFault]:
        """Return the first owner of a shard in the history of the store.

        Fails with HISTORY_LOST if the store has not kept all of it, and with
        MISSING if the shard never had an owner.
        """

    async def renew_shard(
        self, lease: Lease
    ) -> result.Result[None, CallFault]:
        """Renew the lease of a shard's key."""

    async def reachable(self) -> bool:
        """Return whether the store answers."""
