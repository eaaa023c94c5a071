"""The daemon: its components and their life cycle."""

import asyncio
import dataclasses
import functools
import random
from typing import Any
from typing import Callable
from typing import Coroutine

import loguru

from burdockcart import clock
from burdockcart.connection import caller_server
from burdockcart.connection import session_token
from burdockcart.connection import target_connection
from burdockcart.connection import tls
from burdockcart import ids
from burdockcart.process import coordinator
from burdockcart.process import entry
from burdockcart.process import executors
from burdockcart.process import fleet
from burdockcart.process import groups
from burdockcart.process import member_client
from burdockcart.process import metrics
from burdockcart.process import peer_link
from burdockcart.process import peer_transport
from burdockcart.process import request_ids
from burdockcart.process import request_metrics
from burdockcart.process import settings
from burdockcart.process import statements
from burdockcart.process import store_budget
from burdockcart.process import store_client
from burdockcart.process import table_task
from burdockcart.process import transactions
from burdockcart.version import rows

HOST_LIST_INTERVAL_S = 0.5
#: Time for all peers to learn that the daemon leaves: at least one heartbeat
#: interval for those that the first messages do not reach.
LEAVING_NOTICE_S = 0.5
DRAIN_TIMEOUT_S = 30.0
DRAIN_POLL_S = 0.02


@dataclasses.dataclass(frozen=True)
class Transports:
    """Network transports of a daemon; tests and benchmarks pass their own."""

    peers: peer_transport.Peers
    connector: target_connection.Connector
    store: store_client.Store


def network_transports(config: settings.Settings) -> Transports:
    """Return the transports over pyzmq and HTTP/1.1."""
    keys = None
    if config.peer_secrets:
        keys = peer_link.PeerKeys(config.peer_secrets)
    else:
        loguru.logger.warning("event=peer_encryption_off id={}", config.id)
    return Transports(
        peer_transport.ZmqPeers(
            config.id,
            f"{config.ip}:{config.peer_port}",
            keys,
            metrics.Metrics(config.statsd),
        ),
        target_connection.HttpConnector(config.ip),
        store_client.HttpStore(config.platform, config.ip),
    )


class Application:
    """One daemon.

    Explanation
    ===========

    :meth:`start` opens all sockets, :meth:`drain` stops accepting work and
    waits for the open work, :meth:`stop` closes everything.

    Parameters
    ==========

    config : Settings
        Validated settings.
    transports : Transports
        Transports to peers, targets and the platform.
    listen : bool
        Whether to listen for callers; a benchmark may call the entry
        directly.

    """

    def __init__(
        self,
        config: settings.Settings,
        transports: Transports,
        listen: bool = True,
    ):
        self._listen = listen
        self._settings = config
        self._clock = clock.LoopClock()
        peer_address = f"{config.ip}:{config.peer_port}"
        self.own = executors.Daemon(config.id, config.domain, peer_address)
        self.peers = transports.peers
        self.metrics = metrics.Metrics(config.statsd)
        self.fleet = fleet.Fleet(
            self.own,
            self.peers,
            self._clock,
            random.Random(config.seed),
            config.seeds,
            self.metrics,
        )
        # Jitter has to differ between daemons that start together.
        source = random.Random(config.id)
        self.store = store_budget.BudgetedStore(
            transports.store,
            lambda: len(self.fleet.daemon_by_id),
            source,
            self._clock,
        )
        self._create_execution(transports)
        self._create_serving()
        self.tables = table_task.TableTask(
            self.own,
            self.fleet,
            self.peers,
            self.store,
            self._use_tables,
            source,
            self._clock,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self.fleet.on_change = self.groups.assign
        self.fleet.on_stall = self._close_idle
        self.fleet.on_peer_version = self.tables.on_peer_version
        self.fleet.table_version = lambda: self.tables.local_tables.version
        # The heartbeats carry the version.
        self.tables.announces = False

    def _create_execution(self, transports: Transports) -> None:
        """Create the components that run statements on members."""
        own = self.own.id
        self.groups = groups.Groups(
            own,
            self.fleet,
            self.peers,
            transports.connector,
            self._clock,
            self.metrics,
        )
        self.request_ids = request_ids.RequestIds(
            own, self.fleet, self.peers, self._clock
        )
        self.transactions = transactions.TransactionRunner(
            own, self.groups, self._clock
        )
        self.statements = statements.Statements(
            self.groups,
            self.request_ids,
            self.transactions,
            self.peers,
            self._clock,
        )
        self.coordinator = self._new_coordinator(transports)

    def _create_serving(self) -> None:
        """Create the components that serve callers."""
        config = self._settings
        self.entry = entry.Entry(
            self.own,
            session_token.SessionTokens(config.key_by_id),
            self.fleet,
            self.peers,
            self.groups,
            self.request_ids,
            self._clock,
        )
        self.callers = caller_server.CallerServer(
            caller_server.Credentials(config.secret_by_caller),
            request_metrics.count_answers(self.entry.handle, self.metrics),
            self.status,
            self.entry,
            operators=_operators(config),
            on_failure=functools.partial(
                request_metrics.add_error, self.metrics
            ),
        )

    def _new_coordinator(
        self, transports: Transports
    ) -> coordinator.Coordinator:
        link = member_client.MemberClient(
            self.groups, self.fleet, self.peers, transports.connector
        )
        return coordinator.Coordinator(
            self.own.id,
            self.groups,
            self.fleet,
            self.peers,
            link,
            self.store,
            self._clock,
            random.Random(self.own.id),
            self.metrics,
        )

    async def start(self) -> None:
        """Open all sockets and start the tasks."""
        self.peers.start()
        self._spawn(self.fleet.run())
        self._spawn(self._follow_hosts())
        self._spawn(self.tables.run())
        self._spawn(self.request_ids.watch())
        self._spawn(self.transactions.watch())
        self._spawn(self.coordinator.run())
        if self._listen:
            self._start_callers()
        loguru.logger.info(
            "event=daemon_started id={} failure_domain={} ip={}",
            self.own.id,
            self.own.domain,
            self._settings.ip,
        )

    def _start_callers(self) -> None:
        config, context = self._settings, None
        if config.tls_certificate and config.tls_key:
            certificate = tls.Certificate(
                config.tls_certificate, config.tls_key
            )
            self._spawn(certificate.follow())
            context = certificate.context
        self.callers.start(config.caller_port, config.ip, context)

    async def drain(self) -> None:
        """Stop accepting work, finish open work and hand over all roles."""
        self.callers.ready = False
        loguru.logger.info("event=drain_started id={}", self.own.id)
        await asyncio.sleep(self._settings.balancer_notice_s)
        await self._wait_while(
            lambda: self.callers.open_requests
            or len(self.transactions.table.by_id)
        )
        # Without an await before the announcement starts, so that no request
        # id is registered here after the hand-over.
        self.request_ids.transfer_ids()
        await self.fleet.leave()
        # Peers that have not yet learned of the shutdown still forward
        # statements, which this daemon redirects.
        await asyncio.sleep(LEAVING_NOTICE_S)
        await self._wait_while(lambda: self.peers.open_requests)
        await self._wait_while(lambda: self.callers.open_requests)
        loguru.logger.info("event=drain_finished id={}", self.own.id)

    async def _wait_while(self, count: Callable[[], int]) -> None:
        deadline = self._clock.now() + DRAIN_TIMEOUT_S
        while count() and self._clock.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.callers.stop()
        self.transactions.stop()
        self.groups.stop()
        self.fleet.stop()
        self.peers.stop()
        self.metrics.close()
        loguru.logger.info("event=daemon_stopped id={}", self.own.id)

    def status(self) -> dict[str, Any]:
        """Return the status of this daemon for operators."""
        tables = self.entry.tables
        return {
            "daemon": self.own.id,
            "failure_domain": self.own.domain,
            "ready": self.callers.ready,
            "table_version": tables.version if tables else 0,
            "daemons": sorted(self.fleet.daemon_by_id),
            "executor_of": sorted(self.groups.executor_by_member),
            "queues": self.groups.queues(),
            "groups": {
                group: {
                    "term": view.term,
                    "primary": getattr(view.primary(), "id", None),
                    "positions": {
                        member: seen.state.position
                        for member, seen in view.observed_by_member.items()
                    },
                }
                for group, view in self.groups.view_by_group.items()
            },
        }

    def _close_idle(self) -> None:
        for executor in self.groups.executor_by_member.values():
            executor.close_idle()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        name = getattr(coroutine, "__qualname__", None)
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(_report_failure)
        self._tasks.append(task)

    async def _follow_hosts(self) -> None:
        while True:
            listed = (await self.store.hosts()).value_or(None)
            if listed is not None:
                self.fleet.use_list(listed)
                self.coordinator.use_hosts(listed)
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    def _use_tables(self, tables: rows.Tables) -> None:
        self.groups.use_tables(tables)
        self.entry.tables = tables
        self.metrics.gauge("tables.version", tables.version)
        loguru.logger.info(
            "event=tables_in_force id={} version={}",
            ids.DaemonId(self.own.id),
            tables.version,
        )


def _operators(config: settings.Settings) -> caller_server.Credentials | None:
    if config.secret_by_operator is None:
        return None
    return caller_server.Credentials(config.secret_by_operator)


def _report_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error(
            "event=task_failed task={}", task.get_name()
        )
