"""Runs the soak of one seed: daemons, stand-ins, clients and faults."""

import asyncio
import itertools
import json
import pathlib
import random
import signal
import time
from typing import Any
from typing import Coroutine
from typing import Iterator

from burdockcart.platform.standin import account_play
from burdockcart.platform.standin import client
from burdockcart.platform.standin import daemons
from burdockcart.platform.standin import identity
from burdockcart.platform.standin import ingress
from burdockcart.platform.standin import member_link
from burdockcart.platform.standin import peer_processes
from burdockcart.platform.standin import site as sites
from burdockcart.platform.standin import site_faults
from burdockcart.platform.standin import site_start
from burdockcart.platform.standin import store_server
from burdockcart.soak import account_cases
from burdockcart.soak import account_schedule
from burdockcart.soak import checks
from burdockcart.soak import history as histories
from burdockcart.soak import schedule

Kind = schedule.Kind

GRACE_S = 6.0
CLIENTS_PER_DAEMON = 12
MAX_CLIENTS = 60
#: Mean pause between the operations of a session, in seconds, and whether a
#: session serves a single operation; the clients take them in turn.
HABITS = ((0.3, False), (0.3, False), (0.02, False), (0.05, True))
START_TIMEOUT_S = 30.0
#: Time without faults after the schedule, in seconds.
CALM_S = 11.0
STALL_PROBE_S = 0.02
PROBE_INTERVAL_S = 0.1
#: Time in which a manifest must be in force, in seconds.
APPLY_S = checks.Limits.apply_s

_OF_DAEMON = frozenset({Kind.STOP, Kind.RELOAD, Kind.FREEZE, Kind.KILL})
_OF_ACCOUNTS = schedule.PLANNED_OF_ACCOUNTS
_PLANNED = schedule.PLANNED | _OF_ACCOUNTS | schedule.PLANNED_OF_CASES
_LINK_FAULT_BY_KIND = {
    Kind.LINK_DELAYED: member_link.LinkFault.DELAYED,
    Kind.LINK_SILENT: member_link.LinkFault.SILENT,
    Kind.LINK_ANSWERS_LOST: member_link.LinkFault.ANSWERS_LOST,
}
#: Fault of the calls that follow a late one.
_CALL_FAULT_BY_KIND = {
    Kind.CALLS_LATE: store_server.CallFault.LATE,
    Kind.CALLS_REFUSED: store_server.CallFault.REFUSED,
}
_STORE_FAULT_BY_KIND = {
    Kind.STORE_DOWN: store_server.StoreFault.UNAVAILABLE,
    Kind.STORE_SILENT: store_server.StoreFault.SILENT,
}


class Soak:
    """One run.

    Parameters
    ==========

    folder : Path
        Where the daemons' logs and the journal are written.
    case : CaseName or None
        Case of accounts that is run in place of a random schedule; its own
        length replaces ``seconds``.

    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        count: int,
        folder: pathlib.Path,
        unplanned: bool,
        connections: int = 24,
        restores: bool = False,
        odd_entries: bool = False,
        plain_shapes: bool = False,
        cuts: bool = False,
        large_manifests: bool = False,
        accounts: bool = False,
        case: account_cases.CaseName | None = None,
    ):
        self.seed = seed
        self.case = case
        #: Time of the event loop from which a case is reported.
        self.settled_at = 0.0
        self.folder = folder
        self.history = histories.History()
        self._seconds = (
            seconds if case is None else account_cases.seconds(case)
        )
        self._unplanned = unplanned
        self._restores = restores
        self._odd_entries = odd_entries
        self._plain_shapes = plain_shapes
        self._cuts = cuts
        self._large_manifests = large_manifests
        self._accounts = (
            account_play.AccountPlay(seed, self.history)
            if accounts or case is not None
            else None
        )
        self._count = count
        self._connections = connections
        self._tasks: list[asyncio.Task[None]] = []
        self._journal = open(folder / "journal.jsonl", "w", encoding="utf-8")
        self.daemons: list[daemons.Daemon] = []
        self._ingress = ingress.Ingress(self.daemons)

    def note(self, name: str, **fields: Any) -> None:
        """Write an entry of the journal."""
        entry = {
            "at": round(asyncio.get_running_loop().time(), 3),
            "wall": round(time.time(), 3),
            "what": name,
            **fields,
        }
        self._journal.write(json.dumps(entry) + "\n")
        self._journal.flush()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def run(self) -> list[checks.Violation]:
        """Run the schedule and return what was violated."""
        task = asyncio.current_task()
        assert task is not None
        # The daemons must not outlive this process.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        self._site = await self._start_site()
        try:
            self._start_daemons()
            await self._wait_ready()
            self._start_clients()
            self._spawn(self._watch_stalls())
            self._spawn(self._probe_manifests())
            await self._play()
            await asyncio.sleep(CALM_S)
            if self._accounts is not None:
                await self._accounts.collect_metrics(self.daemons)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*(each.stop() for each in self.daemons))
            self._site.stop()
            self._journal.close()
        self.history.log = self._site.group.primary.log
        self.history.tracebacks = [
            (each.name, text)
            for each in self.daemons
            for text in each.tracebacks()
        ]
        if self._accounts is not None:
            self._accounts.collect(self._site, self.daemons)
        return checks.violations(
            self.history,
            checks.Limits(
                grace_s=GRACE_S,
                drain_s=sites.DRAIN_S,
                restart_s=daemons.RESTART_S,
            ),
        )

    async def _start_site(self) -> sites.Site:
        """Start the stand-ins on loopback addresses that are free."""
        site = await site_start.start_on_free_addresses(
            lambda prefix: sites.Site(
                prefix,
                self.history,
                self.note,
                self._connections,
                self._owners,
                None if self._accounts is None else self._accounts.book,
            )
        )
        if self._accounts is not None:
            self._accounts.begin(site)
        self._spawn(site.run())
        return site

    def _owners(self, host: str, port: int) -> dict[int, str]:
        """Return the daemons that have connections to a member, by port."""
        pid_by_name = {
            each.name: each.pid
            for each in self.daemons
            if each.pid is not None
        }
        return peer_processes.owner_by_port(host, port, pid_by_name)

    def _start_daemons(self) -> None:
        store = f"{self._site.store_host}:{sites.STORE_PORT}"
        self.daemons += [
            daemons.Daemon(
                f"d{place}",
                sites.ZONES[place % len(sites.ZONES)],
                f"{self._site.prefix}.{place + 1}",
                store,
                self.folder,
                GRACE_S,
                sites.DRAIN_S,
                self.history,
                account_play.SETTINGS if self._accounts else "",
            )
            for place in range(self._count)
        ]
        for each in self.daemons:
            self._spawn(each.run())
            self._spawn(each.watch_ready())

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(each.ready for each in self.daemons):
                await asyncio.sleep(0.1)

    def _start_clients(self) -> None:
        numbers = itertools.count(1)
        for rng, who, routes, single in self._users():
            user = client.Client(
                rng,
                routes,
                self._ingress.pick_for_client,
                self.history.requests.append,
                numbers,
                who,
                single,
                self._plain_shapes,
                self.history.accounts,
                self._ingress.keeps,
            )
            self._spawn(user.run())

    def _users(self) -> Iterator[account_play.User]:
        """Return generator, identity, routes and habit of the clients."""
        if self._accounts is not None:
            yield from self._accounts.users()
            return
        for place in range(min(CLIENTS_PER_DAEMON * self._count, MAX_CLIENTS)):
            rng = random.Random(self.seed * 1000 + place)
            pause_s, single = HABITS[place % len(HABITS)]
            who = identity.Anybody(rng, pause_s)
            yield rng, who, list(sites.ROUTES), single

    async def _probe_manifests(self) -> None:
        """Ask daemons for the database of a new or an old manifest."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            picked = self._ingress.pick(rng)
            if picked is None:
                continue
            daemon, host, port = picked
            version, _ = rng.choice(self._probed_versions())
            sent_at = loop.time()
            accepted = await client.probe(
                host, port, sites.database_of(version)
            )
            if accepted is not None:
                self.history.probes.append(
                    histories.Probe(
                        daemon, version, sent_at, loop.time(), accepted
                    )
                )

    def _probed_versions(self) -> list[tuple[int, float]]:
        """Return two versions, one of which a daemon should not use.

        During a storm, those of the last seconds may all be in force.
        """
        written = self.history.manifests
        if not self._large_manifests:
            return written[-2:]
        due_before = asyncio.get_running_loop().time() - APPLY_S
        out_of_force = [
            each
            for each, (_, replaced_at) in zip(written, written[1:])
            if replaced_at < due_before
        ]
        return written[-1:] + out_of_force[-1:]

    async def _watch_stalls(self) -> None:
        """Record how late this process is at times."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + STALL_PROBE_S
            await asyncio.sleep(STALL_PROBE_S)
            late_s = loop.time() - due
            if late_s > STALL_PROBE_S:
                self.history.stalls.append((loop.time(), late_s))

    async def _play(self) -> None:
        """Inject the faults of the schedule."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.note("started", seed=self.seed, daemons=self._count)
        self.settled_at = start + account_cases.SETTLED_S
        for fault in self._faults():
            await asyncio.sleep(start + fault.at_s - loop.time())
            self.note(
                "fault",
                kind=fault.kind.value,
                target=fault.target,
                length_s=round(fault.length_s, 3),
                age_s=round(fault.age_s, 3),
                **({} if fault.factor == 1 else {"factor": fault.factor}),
            )
            self._spawn(self._inject(fault))
        await asyncio.sleep(start + self._seconds - loop.time())

    def _faults(self) -> list[schedule.Fault]:
        """Return the faults in the order of their times."""
        if self.case is not None:
            return account_cases.generate(self.case, self.seed, self._count)
        faults = schedule.generate(
            self.seed,
            self._seconds,
            self._count,
            self._unplanned,
            self._restores,
            self._odd_entries,
            self._cuts,
            self._large_manifests,
        )
        if self._accounts is not None:
            faults += account_schedule.generate(
                self.seed, self._seconds, self._count, self._unplanned
            )
        return sorted(faults)

    async def _inject(self, fault: schedule.Fault) -> None:
        """Inject one fault and record how long it lasted."""
        if fault.kind is Kind.KILL_OWNER:
            # The checks know it as the end of a daemon.
            fault = await site_faults.kill_of_owner(
                self._site, self.daemons, fault
            )
        begin = asyncio.get_running_loop().time()
        disturbance = histories.Disturbance(
            fault.kind.value,
            str(fault.target),
            begin,
            float("inf"),
            fault.kind in _PLANNED,
        )
        place = len(self.history.disturbances)
        self.history.disturbances.append(disturbance)
        await self._act(fault)
        self.history.disturbances[place] = histories.Disturbance(
            disturbance.kind,
            disturbance.target,
            begin,
            asyncio.get_running_loop().time(),
            disturbance.planned,
        )

    async def _act(self, fault: schedule.Fault) -> None:
        kind, site = fault.kind, self._site
        if kind in _OF_DAEMON:
            await site_faults.disturb(self.daemons[fault.target], fault)
        elif kind is Kind.DEMAND_AT:
            daemon = self.daemons[fault.target]
            await self._ingress.concentrate(daemon, fault.length_s)
        elif kind is Kind.MANIFEST:
            site.put_manifest()
        elif kind is Kind.MANIFEST_STORM:
            await site_faults.manifest_storm(site, fault.gap_s, fault.length_s)
        elif kind is Kind.ODD_ENTRY:
            site.put_odd_entry(fault.target)
        elif kind is Kind.CUT_PRIMARY:
            name = self.daemons[fault.target].name
            await site_faults.cut_primary(site, name, fault.length_s)
        elif kind is Kind.STORE_CUT:
            name = self.daemons[fault.target].name
            await site_faults.cut_store(site, name, fault.length_s)
        elif self._accounts is not None and kind in _OF_ACCOUNTS:
            await self._accounts.act(site, fault)
        elif kind in _CALL_FAULT_BY_KIND:
            await site_faults.delay_calls(
                site, _CALL_FAULT_BY_KIND[kind], fault.length_s
            )
        elif kind is Kind.JOIN_REPLICA:
            await site_faults.join_replica(site, fault.length_s)
        elif kind is Kind.RESTART_REPLICA:
            await site_faults.restart_replica(site)
        elif kind is Kind.CRASH_PRIMARY:
            await site.crash_primary(fault.length_s)
        elif kind in (Kind.REPLACE_PRIMARY, Kind.REPLACE_REPLICA):
            await site.replace_member(kind is Kind.REPLACE_PRIMARY)
        elif kind is Kind.LINK_RESET:
            site.servers[fault.target].reset_connections()
        elif kind is Kind.LINK_REPLICATION:
            await site.cut_replication(fault.target, fault.length_s)
        elif kind is Kind.STORE_RESTORED:
            await site.restore_store(fault.age_s, fault.length_s)
        elif kind in _LINK_FAULT_BY_KIND:
            await site.fail_link(
                fault.target, _LINK_FAULT_BY_KIND[kind], fault.length_s
            )
        else:
            await site.fail_store(_STORE_FAULT_BY_KIND[kind], fault.length_s)
