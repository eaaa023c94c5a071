"""Daemons of one small deployment on fakes, for focused failure tests."""

import asyncio

import msgspec

from burdockcart import ids
from burdockcart.process import application
from burdockcart.process import settings
from burdockcart.process import store_client
from burdockcart.request import statement
from burdockcart.tests import fake_store
from burdockcart.tests import fakes
from burdockcart.tests import virtual_time
from burdockcart.version import rows
from burdockcart.version import table_store

DOMAINS = ("d1", "d2", "d3")
START_S = 2.0
CALLER = ids.CallerId("caller")

PUSH = rows.Route(
    name="push", caller="*", kind="push", pool="p", repeatable=True
)
ARCHIVE = rows.Route(
    name="archive", caller="*", kind="archive", pool="p", max_age_ms=5000
)


def tables(groups=("g",), routes=(PUSH, ARCHIVE), version=1, slots=2):
    """Return tables with one member of each group per failure domain."""
    pool = rows.Pool(
        name="p",
        groups=tuple(
            rows.Group(
                group,
                tuple(
                    rows.Member(f"{group}-{d}", d, f"{group}-{d}:1")
                    for d in DOMAINS
                ),
            )
            for group in groups
        ),
        slots_per_member=slots,
        connections_per_member=16,
    )
    by_name = {route.name: route for route in routes}
    return rows.Tables(version, by_name, {"p": pool})


class SmallDeployment:
    """One daemon per failure domain, and the groups of the tables."""

    def __init__(self, content=None, seed=0, daemons=DOMAINS):
        self.tables = content or tables()
        self.wire = fakes.Wire(seed)
        self.targets = fakes.FakeTargets(self.wire)
        self.peers_by_id = {}
        self.store = fake_store.FakeStore("operator", self.wire)
        self.domain_by_daemon = {
            f"{d}-{n}": d for n, d in enumerate(daemons, 1)
        }
        self.daemon_by_id = {}
        self.killed = []
        self.store_by_daemon = {}

    async def start(self):
        """Start targets and daemons and wait until they can serve."""
        for pool in self.tables.pool_by_name.values():
            for group in pool.groups:
                first = group.members[0].address
                for each in group.members:
                    primary = None if each.address == first else first
                    self.targets.add(
                        each.id, each.address, primary, pool.slots_per_member
                    )
        self.store.host_rows.extend(
            store_client.Host(daemon, "daemon", domain, daemon, "live")
            for daemon, domain in self.domain_by_daemon.items()
        )
        await self.store.put(
            table_store.HEAD_KEY, table_store.encode(self.tables), 0
        )
        for daemon in self.domain_by_daemon:
            await self.start_daemon(daemon)
        await asyncio.sleep(START_S)

    async def start_daemon(self, daemon):
        """Start one daemon on its own edges."""
        config = settings.Settings(
            id=ids.DaemonId(daemon),
            domain=self.domain_by_daemon[daemon],
            ip="127.0.0.1",
            caller_port=1,
            peer_port=1,
            platform="-",
            key_by_id={"k": b"0123456789abcdef"},
            secret_by_caller={},
            seed=len(self.daemon_by_id),
        )
        edges = application.Transports(
            fakes.FakePeers(daemon, self.wire, self.peers_by_id),
            fakes.FakeConnector(daemon, self.targets),
            fake_store.FakeStore(
                daemon, self.wire, self.store.store, self.store.host_rows
            ),
        )
        self.store_by_daemon[daemon] = edges.store
        self.daemon_by_id[daemon] = application.Application(
            config, edges, listen=False
        )
        await self.run_on(daemon, self.daemon_by_id[daemon].start())

    async def run_on(self, daemon, coroutine):
        """Run a coroutine as a task of one daemon."""
        return await asyncio.get_running_loop().create_task(
            coroutine, context=virtual_time.context_of(daemon)
        )

    async def kill(self, daemon):
        """End a daemon without notice; its peers learn it from the list.

        Its tasks never run again, and its connections are closed as the
        kernel does it for a process that ended.
        """
        asyncio.get_running_loop().paused.add(daemon)
        self.peers_by_id.pop(daemon, None)
        self.targets.close_from(daemon)
        self.killed.append((daemon, self.daemon_by_id.pop(daemon)))
        self.store.host_rows[:] = [
            host for host in self.store.host_rows if host.id != daemon
        ]

    def mark_leaving(self, daemon):
        """Mark a daemon as leaving in the platform's list."""
        self.store.host_rows[:] = [
            (
                msgspec.structs.replace(host, state="leaving")
                if host.id == daemon
                else host
            )
            for host in self.store.host_rows
        ]

    async def stop(self):
        """Stop everything."""
        for name, daemon in self.killed:
            asyncio.get_running_loop().resume(name)
            await daemon.stop()
        for daemon in self.daemon_by_id.values():
            await daemon.stop()
        self.targets.stop()

    def target(self, name):
        """Return the emulated member of a name."""
        return next(
            each
            for each in self.targets.by_address.values()
            if each.name == name
        )

    async def send(
        self, daemon, request_id, operation, caller=CALLER, **fields
    ):
        """Send a statement to one daemon and return its Result."""
        body = {
            "kind": "push" if operation == "write" else "archive",
            "statement": {"op": "get", "key": "k"},
            **fields,
        }
        request = statement.Request(
            request_id=request_id,
            operation=statement.Operation(operation),
            **body,
        )
        handle = self.daemon_by_id[daemon].callers.handle
        return await self.run_on(daemon, handle(caller, request))

    async def begin(self, daemon, request_id, caller=CALLER, **fields):
        """Open a transaction and return its Result."""
        request = statement.BeginRequest(
            request_id=request_id, kind="push", **fields
        )
        entry = self.daemon_by_id[daemon].entry
        return await self.run_on(daemon, entry.begin(caller, request))

    async def end(
        self,
        daemon,
        request_id,
        transaction,
        action="commit",
        caller=CALLER,
        session=None,
    ):
        """Commit or roll back a transaction and return its Result."""
        ended = self.daemon_by_id[daemon].entry.end(
            caller,
            transaction,
            statement.Action(action),
            statement.EndRequest(request_id=request_id, session=session),
        )
        return await self.run_on(daemon, ended)

    async def replace_primary(self, name, pause_s=0.5, unreached=()):
        """Make a member the primary as a promotion does it.

        The members in ``unreached`` get none of the commands.
        """
        group = name.rsplit("-", 1)[0]
        members = [
            each
            for each in self.targets.by_address.values()
            if each.name.startswith(group + "-") and each.name not in unreached
        ]
        term = 1 + max(each.member.state.term for each in members)
        for each in members:
            each.member.state.adopt(term, "test")
        await asyncio.sleep(pause_s)
        chosen = self.target(name)
        chosen.member.state.promote(term, "test")
        for each in members:
            if each is not chosen:
                each.member.state.follow(term, chosen.address)
        return asyncio.get_running_loop().time()

    def ran(self, request_id):
        """Return the rows of all members' records for a request id."""
        return [
            row
            for target in self.targets.by_address.values()
            for row in target.member.record
            if row["request_id"] == request_id
        ]

    async def put(self, daemon, request_id, value, **fields):
        """Write the key ``k``."""
        change = {"op": "put", "key": "k", "value": value}
        return await self.send(
            daemon, request_id, "write", statement=change, **fields
        )
