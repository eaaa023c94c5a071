"""Table tasks of several daemons on fakes, for failure tests."""

import asyncio
import random

import msgspec

from burdockcart import clock
from burdockcart.cmd import table_operations
from burdockcart.process import executors
from burdockcart.process import store_budget
from burdockcart.process import table_task
from burdockcart.tests import fake_store
from burdockcart.tests import fakes
from burdockcart.tests import small_deployment

START_S = 3.0


class EditableDaemonList:
    """List of live daemons that a test edits."""

    def __init__(self):
        self.daemon_by_id = {}


class TableFleet:
    """Table tasks, the store and one operator."""

    def __init__(self, per_domain=4, domains=("d1", "d2", "d3"), seed=0):
        self.wire = fakes.Wire(seed)
        self.peers_by_id = {}
        self.fleet = EditableDaemonList()
        self.operator = fake_store.FakeStore("operator", self.wire)
        self.used_by_id = {}
        self.reverts = []
        self.task_by_id = {}
        self.store_by_id = {}
        self.version = 0
        self._running = {}
        for domain in domains:
            for number in range(per_domain):
                name = f"{domain}-{number}"
                self.fleet.daemon_by_id[name] = executors.Daemon(
                    name, domain, name
                )

    async def start(self):
        """Start every daemon and bring version 1 into force."""
        for name in self.fleet.daemon_by_id:
            self.start_daemon(name)
        await asyncio.sleep(START_S)
        await self.apply()
        await asyncio.sleep(1.0)

    def start_daemon(self, name, live=None):
        """Start a daemon without state; ``live`` replaces the common list."""
        live = live or self.fleet
        peers = fakes.FakePeers(name, self.wire, self.peers_by_id)
        store = fake_store.FakeStore(name, self.wire, self.operator.store)
        store.outage = self.operator.outage
        self.store_by_id[name] = store
        time = clock.LoopClock()
        source = random.Random(name)
        task = table_task.TableTask(
            self.fleet.daemon_by_id[name],
            live,
            peers,
            store_budget.BudgetedStore(
                store, lambda: len(self.fleet.daemon_by_id), source, time
            ),
            lambda tables: self._record_version(name, tables.version),
            source,
            time,
        )
        self.task_by_id[name] = task
        self._running[name] = asyncio.ensure_future(task.run())

    def _record_version(self, name, version):
        if version <= self.used_by_id.get(name, 0):
            self.reverts.append((name, version))
        self.used_by_id[name] = version

    async def stop_daemon(self, name):
        """End a daemon; its state is lost."""
        self.peers_by_id.pop(name, None)
        task = self._running.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop(self):
        """End all daemons."""
        for name in list(self._running):
            await self.stop_daemon(name)

    def set_outage(self, outage):
        """Start or end an outage of the store for all daemons."""
        for store in (self.operator, *self.store_by_id.values()):
            store.outage = outage

    def domain(self, name):
        """Return the daemons of a failure domain."""
        found = self.fleet.daemon_by_id.values()
        return [each.id for each in found if each.domain == name]

    async def apply(self, store=None, **fields):
        """Apply the next version and return the outcome."""
        slots = 2 + (self.version + 1) % 7
        wanted = usable_tables(slots)
        request = table_operations.Request(
            author="ana",
            time="2026-12-04T07:00:00.000+00:00",
            change_id=fields.pop("change_id", f"change-{self.version}"),
            base=fields.pop("base", self.version),
            allow_risky=True,
            **fields,
        )
        command_result = await table_operations.apply_tables(
            store or self.operator, request, wanted
        )
        if command_result.version:
            self.version = command_result.version
        return command_result

    def versions(self, names=None):
        """Return the versions in force on some daemons."""
        return {
            self.used_by_id.get(name, 0) for name in names or self.task_by_id
        }

    async def wait_in_force(self, version, limit_s, names=None):
        """Return the seconds until a version is in force, or None."""
        started = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < started + limit_s:
            if self.versions(names) == {version}:
                return asyncio.get_running_loop().time() - started
            await asyncio.sleep(0.02)
        return None


def usable_tables(slots):
    """Return valid tables with the given slots per member."""
    found = small_deployment.tables(version=0, slots=slots)
    pool = found.pool_by_name["p"]
    groups = tuple(
        msgspec.structs.replace(
            group,
            members=tuple(
                msgspec.structs.replace(
                    member, address=f"10.0.{number}.1:{5000 + index}"
                )
                for index, member in enumerate(group.members)
            ),
        )
        for number, group in enumerate(pool.groups)
    )
    pool = msgspec.structs.replace(pool, groups=groups)
    return msgspec.structs.replace(found, pool_by_name={"p": pool})
