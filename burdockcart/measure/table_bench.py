"""Table tasks of many daemons in one process, for measures."""

import asyncio
import dataclasses
import random
import statistics
from typing import Any

import msgspec
from returns import result

from burdockcart import clock
from burdockcart.cmd import table_operations
from burdockcart.emulator import deployment as deployments
from burdockcart import ids
from burdockcart.measure import memory_network
from burdockcart.process import executors
from burdockcart.process import fleet
from burdockcart.process import store_budget
from burdockcart.process import store_client
from burdockcart.process import table_start
from burdockcart.process import table_task
from burdockcart.version import rows

HOST_LIST_INTERVAL_S = 0.5
POLL_S = 0.005
#: Longest wait for a version; a change that takes longer counts as this.
LIMIT_S = 12.0
START_LIMIT_S = 20.0
PAUSE_S = 0.25


@dataclasses.dataclass(frozen=True)
class Times:
    """Seconds from apply to in force in one scenario, and store calls."""

    scenario: str
    taken_s: tuple[float, ...]
    calls_per_s: float
    calls_by_kind: dict[str, int]

    @property
    def worst_s(self) -> float:
        """Return the longest time in seconds."""
        return max(self.taken_s)

    @property
    def median_s(self) -> float:
        """Return the median time in seconds."""
        return statistics.median(self.taken_s)


class ListedDaemons:
    """Daemons as the platform's list names them, without heartbeats."""

    def __init__(self, own: executors.Daemon):
        self.daemon_by_id = {own.id: own}

    def use_list(self, hosts: list[store_client.Host]) -> None:
        """Take over the platform's list."""
        self.daemon_by_id = {
            ids.DaemonId(host.id): executors.Daemon(
                ids.DaemonId(host.id),
                ids.DomainName(host.domain),
                host.address,
            )
            for host in hosts
        }


class TableBench:
    """Daemons that run the table task and read the list of hosts.

    Parameters
    ==========

    daemons : int
        Number of daemons, spread over the failure domains.
    domains : tuple of str
        Failure domains.
    one_way_s : float
        Latency between failure domains, in seconds.

    """

    def __init__(
        self,
        daemons: int,
        domains: tuple[str, ...],
        one_way_s: float,
        tables: rows.Tables,
        seed: int,
    ):
        self.network = memory_network.Network(one_way_s)
        self.shared = memory_network.SharedStore()
        self.domains = domains
        self.reverts = 0
        self.version = 0
        self._seed = seed
        self._random = random.Random(seed)
        self._tables = tables
        self._highest_by_daemon: dict[ids.DaemonId, int] = {}
        self._used_by_daemon: dict[ids.DaemonId, int] = {}
        self._running: dict[ids.DaemonId, list[asyncio.Task[None]]] = {}
        self._operator = memory_network.MemoryStore(
            self.shared, "operator", lambda: False
        )
        for number in range(daemons):
            name = ids.DaemonId(f"d{number}")
            self.network.domain_by_daemon[name] = domains[
                number % len(domains)
            ]
            self.shared.hosts.append(
                store_client.Host(
                    name,
                    fleet.DAEMON_ROLE,
                    self.network.domain_by_daemon[name],
                    f"{name}:1",
                    "live",
                )
            )

    async def start(self) -> None:
        """Start all daemons and bring the first version into force."""
        for name in self.network.domain_by_daemon:
            self._start_daemon(name)
        await asyncio.sleep(table_start.START_S)
        await self._apply()
        await self._wait(self.network.domain_by_daemon, START_LIMIT_S)
        # Warning messages of the start and pulls in flight end.
        await asyncio.sleep(1.0)

    async def stop(self) -> None:
        """Stop all daemons."""
        for name in list(self._running):
            await self._stop_daemon(name)

    def _start_daemon(self, name: ids.DaemonId) -> None:
        domain = self.network.domain_by_daemon[name]
        own = executors.Daemon(name, ids.DomainName(domain), f"{name}:1")
        live = ListedDaemons(own)
        source = random.Random(f"{self._seed}-{name}")
        time = clock.LoopClock()
        store = store_budget.BudgetedStore(
            memory_network.MemoryStore(
                self.shared,
                "daemon",
                lambda: domain in self.network.partitioned_domains,
            ),
            lambda: len(live.daemon_by_id),
            source,
            time,
        )
        peers = memory_network.MemoryPeers(name, self.network)
        task = table_task.TableTask(
            own,
            live,
            peers,
            store,
            lambda tables: self._used(name, tables.version),
            source,
            time,
        )
        peers.start()
        self._running[name] = [
            asyncio.create_task(self._follow_hosts(live, store)),
            asyncio.create_task(task.run()),
        ]

    async def _follow_hosts(
        self, live: ListedDaemons, store: store_client.Store
    ) -> None:
        while True:
            listed = (await store.hosts()).value_or(None)
            if listed is not None:
                live.use_list(listed)
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    async def _stop_daemon(self, name: ids.DaemonId) -> None:
        self.network.peers_by_daemon[name].stop()
        tasks = self._running.pop(name)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._used_by_daemon.pop(name, None)

    def _used(self, name: ids.DaemonId, version: int) -> None:
        highest = self._highest_by_daemon.get(name, 0)
        # After a restart the version of before may come into force again.
        if version < highest or version == self._used_by_daemon.get(name):
            self.reverts += 1
        self._highest_by_daemon[name] = max(version, highest)
        self._used_by_daemon[name] = version

    async def _apply(self) -> float:
        """Apply the next version and return when the command started."""
        started = asyncio.get_running_loop().time()
        pools = {
            name: msgspec.structs.replace(
                pool, slots_per_member=2 + self.version % 5
            )
            for name, pool in self._tables.pool_by_name.items()
        }
        asked = table_operations.Request(
            author="measure",
            time="-",
            change_id=f"measure-{self.version}",
            base=self.version,
            allow_risky=True,
        )
        command_result = await table_operations.apply_tables(
            self._operator,
            asked,
            msgspec.structs.replace(self._tables, pool_by_name=pools),
        )
        if command_result.version is None:
            raise RuntimeError(f"apply failed: {command_result.lines}")
        self.version = command_result.version
        return started

    async def _wait(self, names: Any, limit_s: float = LIMIT_S) -> float:
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        left = set(names)
        while left and loop.time() < until:
            await asyncio.sleep(POLL_S)
            left = {
                name
                for name in left
                if self._used_by_daemon.get(name) != self.version
            }
        return loop.time()

    async def _timed(self, names: Any = None) -> float:
        started = await self._apply()
        every = self.network.domain_by_daemon
        return await self._wait(names or every) - started

    async def plain(self, changes: int) -> list[float]:
        """Apply changes while nothing fails."""
        taken = []
        for _ in range(changes):
            taken.append(await self._timed())
            await asyncio.sleep(PAUSE_S)
        return taken

    async def outage(self, seconds: float) -> list[float]:
        """Apply a change right after an outage of the store."""
        faults = self.shared.platform.faults
        faults.outage = True
        read = await table_operations.read_tables(self._operator)
        if not isinstance(read, result.Failure):
            raise RuntimeError("the store answered during its outage")
        await asyncio.sleep(seconds)
        faults.outage = False
        return [await self._timed()]

    async def partition(self, seconds: float) -> list[float]:
        """Apply a change while a failure domain is cut off.

        Returns the time to all daemons outside, and from the end of the
        partition to all daemons inside.

        """
        cut = self.domains[0]
        inside = {n for n, d in self.network.domain_by_daemon.items()}
        inside = {n for n in inside if self.network.domain_by_daemon[n] == cut}
        self.network.partitioned_domains = {cut}
        outside = set(self.network.domain_by_daemon) - inside
        taken = await self._timed(outside)
        await asyncio.sleep(max(0.0, seconds - taken))
        if any(self._used_by_daemon[n] == self.version for n in inside):
            raise RuntimeError("the partition lets messages through")
        self.network.partitioned_domains = set()
        healed = asyncio.get_running_loop().time()
        return [taken, await self._wait(inside) - healed]

    async def restart(self, share: float) -> list[float]:
        """Apply a change while a share of the daemons restarts at once."""
        names = sorted(self.network.domain_by_daemon)
        chosen = self._random.sample(names, max(1, int(len(names) * share)))
        await asyncio.gather(*(self._stop_daemon(name) for name in chosen))
        for name in chosen:
            self._start_daemon(name)
        return [await self._timed()]

    async def timed(self, scenario: str, work: Any) -> Times:
        """Run a scenario and return its times and store calls."""
        before = dict(self.shared.platform.count_by_call)
        started = asyncio.get_running_loop().time()
        taken = await work
        passed = asyncio.get_running_loop().time() - started
        calls = {
            kind.removeprefix("daemon-"): count - before.get(kind, 0)
            for kind, count in self.shared.platform.count_by_call.items()
            if kind.startswith("daemon-")
        }
        return Times(
            scenario, tuple(taken), sum(calls.values()) / passed, calls
        )


def tables_of(deployment: deployments.Deployment) -> rows.Tables:
    """Return the tables of a deployment.

    The addresses are those that the deployment's files name.

    """
    pool = rows.Pool(
        name=ids.PoolName(deployment.pool),
        groups=tuple(
            rows.Group(
                ids.GroupId(group),
                tuple(
                    rows.Member(
                        ids.MemberId(f"{group}-{domain}"),
                        ids.DomainName(domain),
                        f"127.{10 + place}.0.{100 + index}:21703",
                    )
                    for place, domain in enumerate(deployment.domains)
                ),
            )
            for index, group in enumerate(deployment.groups)
        ),
        slots_per_member=deployment.slots,
        connections_per_member=deployment.connections,
    )
    route = rows.Route(
        name=ids.RouteName("any"), caller="*", kind="*", pool=pool.name
    )
    return rows.Tables(
        ids.TableVersion(0), {route.name: route}, {pool.name: pool}
    )
