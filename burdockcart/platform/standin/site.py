"""One group of member databases and the platform, with their faults."""

import asyncio
import itertools
import json
from typing import Any
from typing import Callable

from returns import result

from burdockcart.emulator import wire_member
from burdockcart.emulator import wire_platform
from burdockcart import ids
from burdockcart.platform.standin import account_book
from burdockcart.platform.standin import client
from burdockcart.platform.standin import member_link
from burdockcart.platform.standin import member_server
from burdockcart.platform.standin import odd_entries
from burdockcart.platform.standin import store_server
from burdockcart.platform import store_values
from burdockcart.soak import history as histories
from burdockcart.version import manifest

SERVICE = ids.GroupId("ledger")
ZONES = ("recife", "fortaleza", "salvador")
ROUTES = (
    client.Route("live1", histories.Freshness.ALL, 0.0, 0.8),
    client.Route("arch2", histories.Freshness.BOUNDED, 1.5, 1.2),
    client.Route("lay3", histories.Freshness.SESSION, 2.5, 0.8),
)
_KIND_BY_FRESHNESS = {
    histories.Freshness.ALL: "primary",
    histories.Freshness.BOUNDED: "bounded_stale",
    histories.Freshness.SESSION: "read_your_writes",
}
#: Database without keys in a manifest with accounts.
OPEN_DATABASE = "open4"
STORE_PORT = 8783
MEMBER_PORT = 5432
HEARTBEAT_S = 1.2
#: Time that a member serves on after it has reported that it drains, in
#: seconds; it exits a little later.
DRAIN_S = 3.0
#: Time until reads of a replica see a commit, in seconds; members take them
#: in turn.
LAGS_S = (0.05, 0.3, 0.9)


def database_of(version: int) -> str:
    """Return the database that only this version of the manifest has."""
    return f"x{version}"


class RecordedGroup(wire_member.EmulatedGroup):
    """Group that records what a promoted member lacks."""

    def __init__(
        self,
        members: list[wire_member.EmulatedMember],
        history: histories.History,
    ):
        super().__init__(members)
        self._history = history

    def promote(self, member: wire_member.EmulatedMember) -> None:
        """Make a member the primary."""
        held = {commit.position for commit in member.log}
        missing = sorted(
            {
                statement
                for commit in self.primary.log
                if commit.position not in held
                for statement, _ in commit.writes
            }
        )
        now = asyncio.get_running_loop().time()
        self._history.takeovers.append(
            histories.Takeover(member.id, now, tuple(missing))
        )
        super().promote(member)


class Site:
    """Members, store, promotions and manifest of a soak.

    Parameters
    ==========

    prefix : str
        First three bytes of all addresses, such as ``127.3.4``.
    note : callable
        Writes an entry of the journal.
    connections : int
        Most connections that a member accepts.
    owners : callable
        Returns the daemons that have connections to an address, by port.
    book : AccountBook or None
        Accounts of the manifest, if it has any.

    """

    def __init__(
        self,
        prefix: str,
        history: histories.History,
        note: Callable[..., None],
        connections: int,
        owners: member_link.Owners,
        book: account_book.AccountBook | None = None,
    ):
        self.prefix = prefix
        self._history = history
        self._owners = owners
        self._book = book
        #: Time until the manifest is written to a restored store, in seconds.
        self.rewrite_s = 0.0
        self.note = note
        self._connections = connections
        self._serials = itertools.count(1)
        members = [self.new_member(zone) for zone in ZONES]
        self.group = RecordedGroup(members, history)
        history.runs = self.group.runs
        self.servers = [
            self.serve(member, f"{prefix}.{201 + place}")
            for place, member in enumerate(members)
        ]
        self.platform = wire_platform.EmulatedPlatform(
            manifest.Manifest(
                version=0,
                route_by_database={},
                limits_by_group={},
                transaction_idle_s=3.0,
            ),
            {SERVICE: self.group},
        )
        self.store_host = f"{prefix}.250"
        self.store = store_server.Store(
            self._promote,
            member_link.MemberLink(self.store_host, STORE_PORT, owners),
        )
        self.version = 0
        #: Routes that a storm has added to the manifest.
        self.added_routes = 0
        self.changing = False
        self._draining: set[str] = set()
        self._seen_by_member: dict[str, tuple[float, object]] = {}
        self._sequence = itertools.count(1)

    def new_member(self, zone: str) -> wire_member.EmulatedMember:
        """Return a member that is not part of the group yet."""
        serial = next(self._serials)
        return wire_member.EmulatedMember(
            f"i-{serial:08x}",
            zone,
            slots=4,
            lag_s=LAGS_S[serial % len(LAGS_S)],
            connection_limit=self._connections,
        )

    def serve(
        self, member: wire_member.EmulatedMember, host: str
    ) -> member_server.MemberServer:
        """Return a listener of a member, which has not been started."""
        return member_server.MemberServer(
            member,
            SERVICE,
            host,
            MEMBER_PORT,
            self._history,
            self._owners,
        )

    async def start(self) -> None:
        """Listen; raise OSError if the addresses are in use."""
        self.store.start(self.store_host, STORE_PORT)
        for server in self.servers:
            await server.start()
        self.put_manifest()
        self._beat()

    def stop(self) -> None:
        """Close all sockets."""
        self.store.stop()
        for server in self.servers:
            server.crash()

    def put_manifest(self, step: int = 1) -> None:
        """Write the next version of the manifest."""
        self.version += step
        now = asyncio.get_running_loop().time()
        self._put_manifest()
        self._history.manifests.append((self.version, now))
        if self._book is not None:
            self._book.acknowledged(asyncio.get_running_loop().time())

    def _put_manifest(self) -> None:
        """Write the manifest of the current version."""
        routes = [
            {
                "name": f"r-{route.database}",
                "host": route.database,
                "service": SERVICE,
                "route-kind": _KIND_BY_FRESHNESS[route.freshness],
                "timeout-ms": route.timeout_s * 1000,
                "latency-goal-ms": 100 + self.version % 7 * 10,
                "priority": self.version % 3,
                "max-staleness-ms": route.max_age_s * 1000,
            }
            for route in ROUTES
        ]
        routes += [
            dict(routes[0], name=f"r-large{each}", host=f"large{each}")
            for each in range(self.added_routes)
        ]
        extra: dict[str, Any] = dict(
            routes[0], name="r-extra", host=database_of(self.version)
        )
        body: dict[str, Any] = {
            "version": self.version,
            "routes": routes + [extra],
            "services": [
                {
                    "name": SERVICE,
                    "max-conns": self._connections,
                    "sync-replicas": 1,
                }
            ],
            "limits": {"tx-idle-ms": 3000},
        }
        if self._book is not None:
            # Clients of the extra database and of the last one have no key.
            extra["anonymous"] = True
            opened = dict(extra, name="r-open", host=OPEN_DATABASE)
            body["routes"].append(opened)
            body["tenants"] = self._book.tenants()
        self.store.put(store_values.MANIFEST_KEY, json.dumps(body).encode())

    async def run(self) -> None:
        """Write the members' entries until cancelled."""
        while True:
            self._beat()
            await asyncio.sleep(0.05)

    def _beat(self) -> None:
        """Write the entries that changed or are due, if the store answers."""
        if self.store.fault is not store_server.StoreFault.NONE:
            return
        now = asyncio.get_running_loop().time()
        for server in self.servers:
            member = server.member
            state = (member.id in self._draining, member.leads)
            key = store_values.MEMBER_PREFIX + member.id
            at, seen = self._seen_by_member.get(member.id, (0.0, None))
            if member.crashed:
                if now - at > 3 * HEARTBEAT_S:
                    self.store.delete(key)
            elif state != seen or now - at >= HEARTBEAT_S:
                self._seen_by_member[member.id] = (now, state)
                self.store.put(key, json.dumps(self._entry(server)).encode())
                if member.id in self._draining:
                    self._history.drain_at_by_member.setdefault(member.id, now)

    def _entry(self, server: member_server.MemberServer) -> dict[str, Any]:
        member = server.member
        draining = member.id in self._draining
        return {
            "service": SERVICE,
            "address": server.address,
            "zone": member.domain,
            "version": "1",
            "capacity": member.slots,
            "state": "draining" if draining else "ready",
            "warmup-left-ms": 0,
            "seq": next(self._sequence),
            "db-role": "primary" if member.leads else "replica",
            "born": server.started_ms,
        }

    def put_odd_entry(self, variant: int) -> None:
        """Write an entry as another program may have written it."""
        entry = self._entry(self.servers[0])
        value = odd_entries.values(entry)[variant]
        self.store.put(f"{store_values.MEMBER_PREFIX}odd-{variant}", value)

    def _promote(
        self, service: str, member: str, holder: str, token: int
    ) -> int:
        """Run the platform's promotion call and return its status."""
        known = self.group.member_by_id.get(ids.MemberId(member))
        status = 409
        if service == SERVICE and known is not None:
            answer = self.platform.apply_promotion(
                SERVICE, known.id, ids.FencingToken(token)
            )
            status = 200 if isinstance(answer, result.Success) else 409
        if status == 200:
            now = asyncio.get_running_loop().time()
            self._history.promotions.append(
                histories.Promotion(member, holder, token, now)
            )
        self.note(
            "promote", member=member, holder=holder, token=token, status=status
        )
        return status

    def drain(self, member: wire_member.EmulatedMember) -> None:
        """Let a member report that it drains."""
        self._draining.add(member.id)
        self.note("member_draining", member=member.id, leads=member.leads)

    async def replace_member(self, primary: bool) -> None:
        """Let a member drain and end, then start another at its address."""
        server = next(
            (
                each
                for each in self.servers
                if each.member.leads == primary and not each.member.crashed
            ),
            None,
        )
        if self.changing or server is None:
            return
        self.changing = True
        old = server.member
        self.drain(old)
        await asyncio.sleep(DRAIN_S + 1.0)
        while self.store.fault is not store_server.StoreFault.NONE:
            await asyncio.sleep(0.1)
        self.note("member_gone", member=old.id, leads=old.leads)
        server.crash()
        now = asyncio.get_running_loop().time()
        self._history.member_ends.append((old.id, now))
        self.store.delete(store_values.MEMBER_PREFIX + old.id)
        await asyncio.sleep(0.5)
        new = self.new_member(old.domain)
        new.group, new.term = self.group, old.term
        new.log, new.pending = list(old.log), list(old.pending)
        self.group.member_by_id[new.id] = new
        host = server.address.partition(":")[0]
        replacement = self.serve(new, host)
        self.servers[self.servers.index(server)] = replacement
        await replacement.restart()
        self.changing = False

    async def crash_primary(self, seconds: float) -> None:
        """End the primary without notice and start it again later."""
        server = next(
            (each for each in self.servers if each.member.leads), None
        )
        if self.changing or server is None or server.member.crashed:
            return
        self.changing = True
        self.note("member_crashed", member=server.member.id)
        server.crash()
        await asyncio.sleep(seconds)
        await server.restart()
        self.note("member_back", member=server.member.id)
        self.changing = False

    async def fail_link(
        self, place: int, fault: member_link.LinkFault, seconds: float
    ) -> None:
        """Let the network to a member fail for some time."""
        server = self.servers[place]
        server.link.fault = fault
        await asyncio.sleep(seconds)
        server.link.fault = member_link.LinkFault.NONE

    async def cut_replication(self, place: int, seconds: float) -> None:
        """Let a replica receive no commits for some time."""
        member = self.servers[place].member
        member.replication_cut = True
        await asyncio.sleep(seconds)
        member.replication_cut = False
        if not member.crashed and member is not self.group.primary:
            member.follow(self.group.primary)

    async def fail_store(
        self, fault: store_server.StoreFault, seconds: float
    ) -> None:
        """Let the store fail for some time."""
        self.store.fault = fault
        await asyncio.sleep(seconds)
        self.store.fault = store_server.StoreFault.NONE

    async def restore_store(self, age_s: float, seconds: float) -> None:
        """Let the store go away and come back from an older copy.

        The operator and the members write again what they wrote since.
        """
        self.store.fault = store_server.StoreFault.UNAVAILABLE
        await asyncio.sleep(seconds)
        self.store.restore(age_s + seconds)
        self.store.fault = store_server.StoreFault.NONE
        for key in list(self.store.item_by_key):
            member = key.removeprefix(store_values.MEMBER_PREFIX)
            if member != key and member not in self.group.member_by_id:
                self.store.delete(key)
        self._seen_by_member.clear()
        if self.rewrite_s:
            await asyncio.sleep(self.rewrite_s)
        self._put_manifest()
