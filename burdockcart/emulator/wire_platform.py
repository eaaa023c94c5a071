"""In-memory platform of a gateway: store, promotions, list of daemons."""

import asyncio
import contextvars
import copy
from typing import Any
from typing import Collection

import msgspec
from returns import result

from burdockcart.emulator import host_link
from burdockcart.emulator import shard_keys
from burdockcart.emulator import wire_member
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era
from burdockcart.version import manifest

CallFault = coordination.CallFault
PromotionFault = coordination.PromotionFault


#: Attributes of :class:`EmulatedPlatform` that its store keeps.
STORED = (
    "revision",
    "tables",
    "history",
    "entry_by_id",
    "entry_changes",
    "record_by_group",
    "roster_by_group",
    "operator_promotions",
    "daemon_by_id",
    "daemon_changes",
    "fleet_key",
    "complete_since",
    "_daemon_by_lease",
    "_lease_ends_at",
    "shards",
)


class EmulatedPlatform:
    """The platform that all daemons of a test share.

    Parameters
    ==========

    group_by_id : dict of GroupId to EmulatedGroup
        Groups whose members can be promoted.

    """

    def __init__(
        self,
        tables: manifest.Manifest,
        group_by_id: dict[ids.GroupId, wire_member.EmulatedGroup],
    ):
        self.group_by_id = group_by_id
        self.era = ids.StoreEra(0)
        self.eras = store_era.EraWatch()
        self.complete_since: ids.StoreEra | None = self.era
        self.revision = 99
        self.tables: manifest.Manifest | None = tables
        self.history: list[tuple[int, manifest.Manifest | None]] = [
            (self.revision, tables)
        ]
        self.oldest_kept = 0
        #: Size of a manifest in an answer, and the rate of the link to each
        #: daemon, in bytes and bytes a second.
        self.manifest_bytes = 0
        self.link_bytes_per_s = float("inf")
        #: Bytes of manifests that answers have brought.
        self.manifest_bytes_sent = 0
        self.entry_by_id: dict[ids.MemberId, manifest.MemberEntry] = {}
        self.entry_changes: list[
            tuple[int, ids.MemberId, manifest.MemberEntry | None]
        ] = []
        self.record_by_group: dict[
            ids.GroupId, tuple[coordination.PromotionRecord, int]
        ] = {}
        self.roster_by_group: dict[
            ids.GroupId, tuple[coordination.Roster, int]
        ] = {}
        self.operator_promotions: dict[
            tuple[ids.GroupId, ids.FencingToken],
            coordination.OperatorPromotion,
        ] = {}
        self.token_by_group: dict[ids.GroupId, ids.FencingToken] = {}
        self.promotions: list[tuple[ids.GroupId, ids.MemberId, int]] = []
        #: Calls with a token that was lower than that of another call.
        self.refused: list[tuple[ids.GroupId, ids.MemberId, int]] = []
        self.daemon_by_id: dict[ids.DaemonId, coordination.DaemonEntry] = {}
        self.daemon_changes: list[
            tuple[int, ids.DaemonId, coordination.DaemonEntry | None]
        ] = []
        self._fleet_key: bytes | None = None
        self._fleet_key_revision = 0
        #: Faults: the store is unavailable, that many answers to claims or
        #: promotions are lost, lost promotions take effect late.
        self.outage = False
        self.lose_claims = 0
        self.lose_promotions = 0
        self.late_s = 0.0
        self._daemon_by_lease: dict[int, ids.DaemonId] = {}
        #: Time at which a lease ends, and its length, in seconds.
        self._lease_ends_at: dict[int, tuple[float, float]] = {}
        self.shards = shard_keys.ShardKeys()
        self._late_promotions: set[asyncio.Task[None]] = set()
        #: Promotions are carried out although their caller is paused.
        self._context = contextvars.copy_context()

    def _next_revision(self) -> int:
        self.revision += 1
        return self.revision

    def copy(self) -> dict[str, Any]:
        """Return a copy of the store's data."""
        return {name: copy.copy(getattr(self, name)) for name in STORED}

    def restore(self, copied: dict[str, Any]) -> None:
        """Go back to a copy; what was acknowledged since is lost.

        Revisions are given out again, and so are leases.
        """
        for name, value in copied.items():
            setattr(self, name, copy.copy(value))
        self.era = ids.StoreEra(self.era + 1)

    @property
    def fleet_key(self) -> bytes | None:
        """The key of the links; a new value is a change of the store."""
        return self._fleet_key

    @fleet_key.setter
    def fleet_key(self, key: bytes | None) -> None:
        self._fleet_key = key
        self._fleet_key_revision = self._next_revision()

    def put_tables(self, tables: manifest.Manifest) -> None:
        """Write a manifest, as the operator does."""
        self.tables = tables
        self.history.append((self._next_revision(), tables))

    def put_unreadable_tables(self) -> None:
        """Write a value that no daemon can read as a manifest."""
        self.tables = None
        self.history.append((self._next_revision(), None))

    def put_member(self, entry: manifest.MemberEntry) -> None:
        """Write a member's entry."""
        self.entry_by_id[entry.id] = entry
        self.entry_changes.append((self._next_revision(), entry.id, entry))

    def remove_member(self, member: ids.MemberId) -> None:
        """Remove a member's entry."""
        del self.entry_by_id[member]
        self.entry_changes.append((self._next_revision(), member, None))

    def record_roster(
        self,
        group: ids.GroupId,
        members: list[wire_member.EmulatedMember],
    ) -> None:
        """Write a roster of members whose entries are in the store."""
        starts = sorted(
            coordination.RosterMember(
                entry.id, entry.started_ms, entry.address
            )
            for entry in (self.entry_by_id[each.id] for each in members)
        )
        self.roster_by_group[group] = (
            coordination.Roster(tuple(starts)),
            self._next_revision(),
        )

    def _end_leases(self) -> None:
        """Remove the daemons whose leases have ended."""
        now = asyncio.get_running_loop().time()
        for lease, (ends_at, _) in list(self._lease_ends_at.items()):
            if ends_at <= now:
                self._end_lease(lease)
        for shard in self.shards.ended(now):
            self.shards.remove(shard, self._next_revision())

    def _end_lease(self, lease: int) -> None:
        self._lease_ends_at.pop(lease, None)
        daemon = self._daemon_by_lease.pop(lease, None)
        if daemon and daemon not in self._daemon_by_lease.values():
            self._remove_daemon(daemon)

    def _remove_daemon(self, daemon: ids.DaemonId) -> None:
        if self.daemon_by_id.pop(daemon, None) is not None:
            revision = self._next_revision()
            self.daemon_changes.append((revision, daemon, None))

    def _start_lease(self, lease: int, ttl_s: float) -> None:
        now = asyncio.get_running_loop().time()
        self._lease_ends_at[lease] = (now + ttl_s, ttl_s)

    async def _store_fault(self, era: ids.StoreEra | None = None):
        """Return why a call, in an era if it needs one, is not executed."""
        await asyncio.sleep(0.004)
        self._end_leases()
        if self.outage:
            return result.Failure(CallFault.UNAVAILABLE)
        if era not in (None, self.era):
            return result.Failure(CallFault.RESTORED)
        return None

    def _position(self, revision: int) -> ids.StorePosition:
        return store_era.position(self.era, revision)

    async def _send_manifests(self, count: int) -> None:
        """Wait until that many manifests are transferred."""
        size = count * self.manifest_bytes
        self.manifest_bytes_sent += size
        await asyncio.sleep(size / self.link_bytes_per_s)

    async def read_store(self):
        """Return what the store holds."""
        fault = await self._store_fault()
        if fault is not None:
            return fault
        found = self._snapshot()
        await self._send_manifests(1)
        return result.Success(found)

    async def read_state(self, era: ids.StoreEra):
        """Return what the store holds without the manifest."""
        return await self._store_fault(era) or result.Success(
            msgspec.structs.replace(
                self._snapshot(), tables=None, tables_read=False
            )
        )

    async def read_manifest(self, era: ids.StoreEra):
        """Return the manifest in the store."""
        fault = await self._store_fault(era)
        if fault is not None:
            return fault
        found = coordination.StoredManifest(self.tables)
        await self._send_manifests(1)
        return result.Success(found)

    def _snapshot(self) -> coordination.StoreSnapshot:
        return coordination.StoreSnapshot(
            tables=self.tables,
            entry_by_member=dict(self.entry_by_id),
            daemon_by_id=dict(self.daemon_by_id),
            fleet_key=self.fleet_key,
            fleet_key_position=(
                None
                if self.fleet_key is None
                else self._position(self._fleet_key_revision)
            ),
            position=self._position(self.revision),
            complete_since=self.complete_since,
            roster_by_group=self._rosters(),
            promotion_by_group=self._promotions(),
            owner_by_shard=self.shards.owners(self.era),
        )

    async def changes(
        self, position: ids.StorePosition, limit_bytes: int | None = None
    ):
        """Return what changed after a position."""
        fault = await self._store_fault(store_era.era_of(position))
        if fault is not None:
            return fault
        after = store_era.revision_of(position)
        if after < self.oldest_kept or after > self.revision:
            return result.Failure(CallFault.HISTORY_LOST)
        written = [
            tables for revision, tables in self.history if revision > after
        ]
        size = len(written) * self.manifest_bytes
        if limit_bytes is not None and size > limit_bytes:
            return result.Failure(CallFault.TOO_LONG)
        found = coordination.StoreChanges(
            tables=[each for each in written if each is not None],
            tables_unreadable=bool(written) and written[-1] is None,
            versions=len(written),
            entry_by_member={
                member: entry
                for revision, member, entry in self.entry_changes
                if revision > after
            },
            entry_by_daemon={
                daemon: entry
                for revision, daemon, entry in self.daemon_changes
                if revision > after
            },
            fleet_key=(
                self.fleet_key if self._fleet_key_revision > after else None
            ),
            position=self._position(self.revision),
            complete_since=self.complete_since,
            roster_by_group=self._rosters(after),
            promotion_by_group=self._promotions(after),
            owner_by_shard=self.shards.owners(self.era, after),
        )
        await self._send_manifests(len(written))
        return result.Success(found)

    async def claim_promotion(
        self,
        group: ids.GroupId,
        record: coordination.PromotionRecord,
        expected: ids.StorePosition,
    ):
        """Claim a promotion if the record has the expected position."""
        fault = await self._store_fault(store_era.era_of(expected))
        if fault is not None:
            return fault
        known, revision = self.record_by_group.get(group, (None, 0))
        if self._position(revision) != expected:
            return result.Failure(
                coordination.ClaimLost(known, self._position(revision))
            )
        revision = self._next_revision()
        self.record_by_group[group] = (record, revision)
        if self.lose_claims:
            self.lose_claims -= 1
            return result.Failure(CallFault.NO_ANSWER)
        return result.Success(ids.FencingToken(self._position(revision)))

    def _rosters(
        self, after: int = 0
    ) -> dict[ids.GroupId, coordination.StoredRoster]:
        """Return the rosters that were written after a revision."""
        return {
            group: coordination.StoredRoster(roster, self._position(revision))
            for group, (roster, revision) in self.roster_by_group.items()
            if revision > after
        }

    def _promotions(
        self, after: int = 0
    ) -> dict[ids.GroupId, coordination.StoredPromotion]:
        """Return the promotion records that were written after a revision."""
        return {
            group: coordination.StoredPromotion(
                record, self._position(revision)
            )
            for group, (record, revision) in self.record_by_group.items()
            if revision > after
        }

    async def record_operator_promotion(
        self, record: coordination.OperatorPromotion, era: ids.StoreEra
    ):
        """Write the audit record of an operator's promotion."""
        fault = await self._store_fault(era)
        if fault is not None:
            return fault
        self.operator_promotions[record.group, record.token] = record
        self._next_revision()
        return result.Success(None)

    async def write_roster(
        self,
        group: ids.GroupId,
        roster: coordination.Roster,
        expected: ids.StorePosition,
    ):
        """Replace a group's roster if it is still at the position."""
        fault = await self._store_fault(store_era.era_of(expected))
        if fault is not None:
            return fault
        _, revision = self.roster_by_group.get(group, (None, 0))
        if self._position(revision) != expected:
            return result.Failure(CallFault.CONFLICT)
        revision = self._next_revision()
        self.roster_by_group[group] = (roster, revision)
        return result.Success(self._position(revision))

    async def promote(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        holder: ids.DaemonId,
        token: ids.FencingToken,
    ):
        """Make a member the primary of its group."""
        await asyncio.sleep(0.004)
        if self.lose_promotions:
            self.lose_promotions -= 1
            task = asyncio.create_task(
                self._promote_later(group, member, token),
                context=self._context,
            )
            self._late_promotions.add(task)
            return result.Failure(PromotionFault.NO_ANSWER)
        return self.apply_promotion(group, member, token)

    async def _promote_later(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        token: ids.FencingToken,
    ) -> None:
        await asyncio.sleep(self.late_s)
        self.apply_promotion(group, member, token)

    def apply_promotion(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        token: ids.FencingToken,
    ):
        """Start a promotion unless its token is old or the member is down."""
        if token < self.token_by_group.get(group, 0):
            self.refused.append((group, member, token))
            return result.Failure(PromotionFault.REJECTED)
        emulated = self.group_by_id[group]
        target = emulated.member_by_id[member]
        if target.crashed:
            return result.Failure(PromotionFault.REJECTED)
        self.token_by_group[group] = token
        self.promotions.append((group, member, token))
        if not target.leads:
            asyncio.get_running_loop().call_later(
                emulated.promotion_s,
                emulated.promote,
                target,
                context=self._context,
            )
        return result.Success(None)

    async def write_fleet_key(self, key: bytes, withdrawn: Collection[bytes]):
        """Write the key that all daemons share unless there is a valid one."""
        fault = await self._store_fault()
        if fault is not None:
            return fault
        if self.fleet_key is None or self.fleet_key in withdrawn:
            self.fleet_key = key
        return result.Success(self.fleet_key)

    async def record_complete(self, era: ids.StoreEra):
        """Record that the store knows all open promotions in an era."""
        fault = await self._store_fault(era)
        if fault is not None:
            return fault
        self.complete_since = era
        self._next_revision()
        return result.Success(None)

    async def unregister_daemon(self, lease: coordination.Lease):
        """Remove the daemon with a lease from the list."""
        fault = await self._store_fault(lease.era)
        if fault is not None:
            return fault
        if lease.number not in self._daemon_by_lease:
            return result.Failure(CallFault.MISSING)
        self._end_lease(lease.number)
        return result.Success(None)

    async def withdraw_daemon(self, entry: coordination.DaemonEntry):
        """Remove an entry of an incarnation from the list."""
        fault = await self._store_fault()
        if fault is not None:
            return fault
        known = self.daemon_by_id.get(entry.id)
        if known is None or known.incarnation != entry.incarnation:
            return result.Failure(CallFault.MISSING)
        self._remove_daemon(entry.id)
        return result.Success(None)

    async def register_daemon(
        self, daemon: coordination.DaemonEntry, ttl_s: float
    ):
        """Add a daemon to the list."""
        fault = await self._store_fault(daemon.era)
        if fault is not None:
            return fault
        daemon = msgspec.structs.replace(daemon, era=self.era)
        self.daemon_by_id[daemon.id] = daemon
        lease = self._next_revision()
        self.daemon_changes.append((lease, daemon.id, daemon))
        self._daemon_by_lease[lease] = daemon.id
        self._start_lease(lease, ttl_s)
        return result.Success(coordination.Lease(self.era, lease))

    async def renew_daemon(self, lease: coordination.Lease):
        """Renew a daemon's lease in the list."""
        fault = await self._store_fault(lease.era)
        if fault is not None:
            return fault
        if lease.number not in self._daemon_by_lease:
            return result.Failure(CallFault.MISSING)
        _, ttl_s = self._lease_ends_at[lease.number]
        self._start_lease(lease.number, ttl_s)
        return result.Success(None)

    async def acquire_shard(
        self,
        shard: int,
        daemon: ids.DaemonId,
        ttl_s: float,
        expected: ids.StorePosition | None = None,
    ):
        """Write the key of a shard, if there is none but the expected one."""
        era = None if expected is None else store_era.era_of(expected)
        fault = await self._store_fault(era)
        if fault is not None:
            return fault
        self.shards.attempts += 1
        owner = self.shards.owner(shard, self.era)
        found = None if owner is None else owner.position
        if found != expected:
            return result.Failure(owner or CallFault.CONFLICT)
        lease, revision = self._next_revision(), self._next_revision()
        now = asyncio.get_running_loop().time()
        self.shards.write(shard, daemon, lease, revision, now, ttl_s)
        return result.Success(
            coordination.ShardHold(
                coordination.Lease(self.era, lease), self._position(revision)
            )
        )

    async def read_shard(self, shard: int):
        """Return the owner of a shard."""
        fault = await self._store_fault()
        if fault is not None:
            return fault
        self.shards.reads += 1
        owner = self.shards.owner(shard, self.era)
        if owner is None:
            return result.Failure(CallFault.MISSING)
        return result.Success(owner)

    async def read_first_owner(self, shard: int):
        """Return the first owner of a shard in the history."""
        fault = await self._store_fault()
        if fault is not None:
            return fault
        if self.oldest_kept > 0:
            return result.Failure(CallFault.HISTORY_LOST)
        owner = self.shards.first_owner(shard, self.era)
        if owner is None:
            return result.Failure(CallFault.MISSING)
        return result.Success(owner)

    async def renew_shard(self, lease: coordination.Lease):
        """Renew the lease of a shard's key."""
        fault = await self._store_fault(lease.era)
        if fault is not None:
            return fault
        self.shards.renewals += 1
        now = asyncio.get_running_loop().time()
        if self.shards.renew(lease.number, now):
            return result.Success(None)
        return result.Failure(CallFault.MISSING)

    async def reachable(self):
        """Return whether the store answers at all."""
        return await self._store_fault() is None


class EmulatedPlatformClient:
    """One daemon's access to the platform, which a test can cut."""

    def __init__(self, platform: EmulatedPlatform, link: host_link.HostLink):
        self._platform = platform
        self._link = link
        self.cut = False
        #: Whether only promotions reach the platform.
        self.store_cut = False
        #: Time that each call takes longer, in seconds.
        self.delay_s = 0.0
        self.eras = store_era.EraWatch()

    def __getattr__(self, name: str):
        method = getattr(self._platform, name)

        async def call(*arguments):
            cut = self.cut or (self.store_cut and name != "promote")
            if not cut:
                answer = await method(*arguments)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._link.arrive()
                if not self._platform.outage and name != "promote":
                    self.eras.observe(self._platform.era)
                return answer
            await asyncio.sleep(0.5)
            if name == "reachable":
                return False
            if name == "promote":
                return result.Failure(PromotionFault.NO_ANSWER)
            return result.Failure(CallFault.NO_ANSWER)

        return call
