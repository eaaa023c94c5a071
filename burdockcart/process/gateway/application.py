"""Gateway daemon: creates its components and runs their life cycle."""

import asyncio
import itertools
import random
import time

import loguru
from returns import result

from burdockcart import clock
from burdockcart.connection.client_limits import memory_budget
from burdockcart.connection import client_session
from burdockcart.connection import member_channel
from burdockcart.connection import own_link
from burdockcart import errors
from burdockcart import event_wait
from burdockcart import ids
from burdockcart.process.accounts import key_evidence
from burdockcart.process.accounts import key_metrics
from burdockcart.process.accounts import keyed_access
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway import loop_lag
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import isolation_monitor
from burdockcart.process.gateway.members import reachability
from burdockcart.process.gateway.promotion import failover
from burdockcart.process.gateway.promotion import group_look
from burdockcart.process.gateway.promotion import open_calls
from burdockcart.process.gateway.promotion import reserved_claims
from burdockcart.process.gateway.promotion import roster_keeper
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.gateway.sessions import client_listener
from burdockcart.process.gateway.sessions import drain
from burdockcart.process.gateway.sessions import shutdown_steps
from burdockcart.process.gateway.sessions import statement_runner
from burdockcart.process.gateway.sessions import stop_admission
from burdockcart.process.gateway.sessions import transaction_runner
from burdockcart.process.gateway import settings
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import link_key
from burdockcart.process.gateway.store import listing
from burdockcart.process.gateway.store import registration_time
from burdockcart.process.gateway.store import restore_wait
from burdockcart.process.gateway.store import store_follower
from burdockcart.process.gateway import task_keeper
from burdockcart.process.peers import fleet_key
from burdockcart.process.peers import relay
from burdockcart.process.rates import account_rates
from burdockcart.process.rates import rate_metrics
from burdockcart.version import manifest

#: Time for which a new session waits for the first manifest, in seconds;
#: clients time out after 2 s.
MANIFEST_WAIT_S = 1.5
#: Age at which a sample is renewed without traffic, in seconds; a quarter of
#: the shortest staleness that the routes allow (1.5 s).
MAX_SAMPLE_AGE_S = 0.4
#: The same if the query is relayed, in seconds: it must leave a sample within
#: the shortest staleness less the margin for the arrival (1.25 s), and most
#: queries of a large fleet are of daemons with little traffic.
MAX_RELAYED_SAMPLE_AGE_S = 0.9
#: Interval of watching the members, in seconds; half of the shortest time
#: after which a failing primary is replaced.
SCAN_INTERVAL_S = 0.05
SCANS_PER_RENEWAL = 2
TICK_S = 0.1
#: Interval of dividing the connections anew, in seconds; the shares also
#: depend on the time since the start.
DIVIDE_INTERVAL_S = 0.5
#: Time after the start from which on members are contacted although the list
#: of daemons may be incomplete, in seconds.
SETTLE_TIMEOUT_S = 5.0


class GatewayApplication:
    """One gateway daemon.

    Explanation
    ===========

    Life cycle: :meth:`start` opens all sockets, :meth:`drain` waits until the
    load balancer and the clients use other daemons, :meth:`stop` closes the
    rest.

    Parameters
    ==========

    boot_clock : Clock
        Also counts the time while the host is suspended.
    memory : Memory or None
        Accounts relayed statements; None for no limit.

    """

    def __init__(
        self,
        config: settings.GatewaySettings,
        platform: coordination.Platform,
        connector: member_channel.Connector,
        boot_clock: clock.Clock,
        peers: relay.Peers,
        key: fleet_key.FleetKey,
        incarnation: ids.Incarnation,
        memory: memory_budget.Memory | None = None,
    ):
        self._settings = config
        self._platform = platform
        self._clock = clock.LoopClock()
        self._boot_clock = boot_clock
        rng = random.Random(config.daemon)
        self._rng = rng
        self._divided_at = self._clock.now()
        self._lag = loop_lag.LoopLag(self._clock)
        self._link = own_link.OwnLink(self._clock.now())
        self._store = self._link.source()
        self._started_at = self._clock.now()
        self.group_by_id: dict[ids.GroupId, groups.Group] = {}
        self.metrics = gateway_metrics.GatewayMetrics()
        self._tasks = task_keeper.TaskKeeper(self._clock, self.metrics)
        shared = attempts.StatementSender(
            self._clock, self._boot_clock, self.metrics
        )
        self.statements = statement_runner.StatementRunner(
            self.group_by_id, shared
        )
        self.transactions = transaction_runner.TransactionRunner(
            self.group_by_id, shared
        )
        self.relay = relay.Relay(
            config.daemon,
            config.domain,
            platform,
            peers,
            connector,
            self.group_by_id,
            shared,
            self._clock,
            self._boot_clock,
            rng,
            self._link,
            memory,
        )
        self._link_key = link_key.LinkKey(
            platform, key, self.relay.close_links, rng
        )
        self._admission = stop_admission.StopAdmission(
            config.shutdown_s, self._clock
        )
        self._drain = drain.Drain(
            self._admission,
            self._clock,
            lambda: self.relay.service.pending,
            self._busy_for_others,
            self.metrics,
        )
        evidence = key_evidence.KeyEvidence(
            config.key_bound_s, config.manifest_s
        )
        self.authenticator = keyed_access.Authenticator(
            evidence,
            boot_clock,
            key_metrics.KeyMetrics(self.metrics.registry),
            rng,
        )
        self.tables = store_follower.StoreFollower(
            platform,
            self,
            self._clock,
            rng,
            config.manifest_s,
            config.first_start,
            self._store,
            self.relay.polls,
            evidence,
            boot_clock,
        )
        self.relay.polls.follower = self.tables
        registration = registration_time.RegistrationTime(
            boot_clock, listing.REGISTRATION_TTL_S
        )
        self.rates = account_rates.AccountRates(
            config.daemon,
            platform,
            self.relay.shares,
            self.relay.offers,
            lambda: self.tables.entry_by_daemon,
            self._clock,
            self._boot_clock,
            rng,
            rate_metrics.RateMetrics(self.metrics.registry),
            config.first_start,
            config.reserve,
            self.relay.reserve,
            registration.covers,
            self.relay.census,
        )
        self.relay.shares.serve(self.rates.reported)
        self.relay.offers.serve(self.rates.offered)
        self.relay.census.serve(self.rates.held)
        if self.rates.reserve is not None:
            self.relay.reserve.serve(self.rates.reserve.served)
        self.authenticator.limits = self.rates
        self._restore_wait = restore_wait.RestoreWait(
            config.daemon,
            platform,
            self.tables,
            self._clock,
            config.promotion_claim_s,
            config.promotions_fenced,
            config.first_start,
        )
        self._incarnation = incarnation
        self._listing = listing.Listing(
            platform, rng, self._prepare_registration, registration
        )
        self._isolation = isolation_monitor.IsolationMonitor(
            config.domain,
            self.group_by_id,
            self._store_answers,
            self._idle_connections,
            self._link,
        )
        self._reachability = reachability.Reachability(
            self.group_by_id, self._clock, self._link
        )
        self._reserved = reserved_claims.ReservedClaims(
            config.daemon,
            self.group_by_id,
            platform,
            self._token_holders,
            self._clock,
            _wall_ms,
            config.promotion_claim_s,
            self._restore_wait,
        )
        self._failover = failover.Failover(
            config.daemon,
            self.group_by_id,
            platform,
            self._clock,
            self._boot_clock,
            config.promotion_claim_s,
            _wall_ms,
            self.metrics,
            self._reserved,
            lambda: self.tables.daemons,
            self._restore_wait,
            connector,
            self.tables.refresh,
            self.tables.notice_s,
            self.relay.notices,
        )
        self._open_calls = open_calls.KnownCalls(
            self._failover.claims, self.tables, self._clock, _wall_ms
        )
        self._rosters = roster_keeper.RosterKeeper(
            config.daemon,
            self.group_by_id,
            platform,
            connector,
            self._clock,
            lambda: self.tables.daemons,
        )

    async def start(self, clients: client_listener.ClientListener) -> None:
        """Open all sockets and start the tasks."""
        self._clients = clients
        clients.listen_on(self._settings.client_address)
        await self.relay.start(self._settings.peer_address)
        self._tasks.run_always(self.tables.run)
        self._tasks.run_always(self.tables.manifests.run)
        self._tasks.run_always(self._link_key.run)
        self._tasks.run_to_end(self._listing.run)
        self._tasks.run_always(self._supervise)
        self._tasks.run_always(self._rosters.run)
        self._tasks.run_always(self._run_rates)
        if self._settings.promotions_fenced:
            # Without fencing, a token claimed in advance could be used after
            # a higher one.
            self._tasks.run_always(self._reserved.run)
        loguru.logger.info(
            "event=daemon_started id={} failure_domain={}",
            self._settings.daemon,
            self._settings.domain,
        )

    async def _settled(self) -> None:
        """Wait until the list of daemons is likely to be complete.

        Before that, this daemon does not know which members it holds.
        """
        await event_wait.until_set(self.tables.settled, SETTLE_TIMEOUT_S)

    async def _run_rates(self) -> None:
        """Take part in the rates of accounts until cancelled.

        With an incomplete list of daemons, those that registered first would
        own all shards.
        """
        await self._settled()
        await self.rates.run()

    async def drain(self) -> None:
        """Close sessions gradually, within the time granted for shutdown."""
        if not self._admission.stopping:
            # A drain that failed is tried again.
            self._admission.begin()
            self._tasks.run_to_end(self._listing.leave)
            self.relay.leave(self._settings.shutdown_s)
            self._failover.leave(self._settings.shutdown_s)
            self.rates.leave()
        await self._drain.run(self._clients)

    def _token_holders(self) -> frozenset[ids.DaemonId]:
        """Return the daemons that may hold reserved tokens.

        Once this one has left the list, others hold its tokens.
        """
        if not self._listing.ended:
            return self.tables.daemons
        return self.tables.daemons - {self._settings.daemon}

    def _busy_for_others(self) -> bool:
        """Return whether other daemons or a group need this daemon."""
        return self.relay.service.in_use or self._failover.promoting

    def _connections(self) -> list[client_listener.Client]:
        return list(self._clients.connections)

    def _idle_connections(self) -> list[client_listener.Client]:
        """Return the connections that isolation may close."""
        if self._admission.stopping:
            return []
        return [each for each in self._connections() if each.idle]

    async def stop(self) -> None:
        """Close everything."""
        await shutdown_steps.run(
            self._clients.stop,
            self._tasks.stop,
            self._failover.stop,
            *(group.close for group in self.group_by_id.values()),
            self.relay.end,
        )
        loguru.logger.info("event=daemon_stopped id={}", self._settings.daemon)

    def ready(self) -> bool:
        """Return whether the load balancer should send new clients."""
        return (
            not self._admission.stopping
            and not self._isolation.isolated
            and not self._tasks.failing
            and self.tables.current is not None
            and self.tables.has_read
            and self._up_to_date()
        )

    def _up_to_date(self) -> bool:
        """Return whether no other daemon is known to use a newer manifest.

        A restored store may hold an older one.  The operator has written the
        newer one again after the time in which a manifest must be in force.
        """
        assert self.tables.current is not None
        if self._clock.now() - self._started_at >= self._settings.manifest_s:
            return True
        return self.tables.current.version >= max(
            (
                entry.manifest_version
                for entry in self.tables.entry_by_daemon.values()
            ),
            default=0,
        )

    async def open_session(
        self, database: ids.DatabaseName, key: str
    ) -> result.Result[client_session.ClientSession, errors.Failure]:
        """Open a session, or return why that is not possible.

        Parameters
        ==========

        key : str
            What the client sent as its key; it is not kept.

        """
        refused = self._admission.refusal_to_open()
        if refused is not None:
            return result.Failure(refused)
        until = self._clock.now() + MANIFEST_WAIT_S
        while self.tables.current is None and self._clock.now() < until:
            await asyncio.sleep(TICK_S)
        current = self.tables.current
        if current is None:
            return result.Failure(
                errors.Failure(
                    errors.ErrorKind.DRAINING, "no manifest has been read yet"
                )
            )
        if database not in current.route_by_database:
            return result.Failure(self.tables.no_route(database))
        return self.authenticator.open(database, key).map(
            lambda access: client_session.ClientSession(
                database,
                self.tables,
                self.statements,
                self.transactions,
                self._admission,
                self._clock,
                self._boot_clock,
                self.metrics,
                access,
            )
        )

    def manifest_changed(self, found: manifest.Manifest) -> None:
        """Apply a new manifest."""
        self.authenticator.use_manifest(found)
        self.rates.use_manifest(found)
        for limits in found.limits_by_group.values():
            group = self.group_by_id.get(limits.id)
            if group is None:
                group = groups.Group(
                    limits,
                    self._settings.domain,
                    self._settings.drain_s,
                    self.relay.connector,
                    self._clock,
                    self._boot_clock,
                    self.relay.holding,
                    self._link,
                    self._open_calls,
                    self.metrics,
                    self._settings.promotions_fenced,
                    self._settings.first_start,
                )
                self.group_by_id[limits.id] = group
                self._use_roster(group)
                for entry in self.tables.catalog.entry_by_id.values():
                    if entry.group == limits.id:
                        group.use_member(entry)
            group.use_limits(limits, _has_accounts(found, limits.id))
            group.queue.shares.use_accounts(found.account_by_name)
        for removed in self.group_by_id.keys() - found.limits_by_group.keys():
            self.group_by_id.pop(removed).close()

    def measure(self) -> bytes:
        """Update the gauges and return all metrics."""
        self.rates.measure()
        current = self.tables.current
        self.metrics.sessions.set(len(self._connections()))
        self.metrics.ready.set(self.ready())
        self.metrics.manifest_version.set(current.version if current else 0)
        self.metrics.tasks_failing.set(len(self._tasks.failing))
        self.metrics.store_age.set(self.tables.age_s)
        self.metrics.manifest_known_version.set(self.tables.known_version)
        self.metrics.manifest_age.set(self.tables.manifest_age_s)
        self.metrics.manifests_skipped.set(self.tables.versions_skipped)
        self.metrics.loop_lag.set(self._lag.take())
        self.authenticator.measure()
        for group in self.group_by_id.values():
            pools = group.pool_by_member.values()
            open_count = sum(pool.open_count for pool in pools)
            busy_count = sum(pool.busy_count for pool in pools)
            gauge = self.metrics.connections
            gauge.labels(group.id, "open").set(open_count)
            gauge.labels(group.id, "busy").set(busy_count)
            self.metrics.waiting.labels(group.id).set(len(group.queue))
            self.metrics.call_open.labels(group.id).set(
                self._open_calls.candidate(group.id) is not None
            )
            self.metrics.commits_blocked.labels(group.id).set(
                group.commits.blocked
            )
        self.metrics.primaries_missing(
            {
                group.id: (found.missing_s, found.reason)
                for group in self.group_by_id.values()
                for found in [self._failover.absence(group)]
            }
        )
        self.metrics.links.labels("this").set(self.relay.open_links)
        self.metrics.links.labels("other").set(self.relay.service.links)
        self.metrics.relayed.set(self.relay.service.pending)
        self.metrics.members_held.set(
            sum(
                pool.direct
                for group in self.group_by_id.values()
                for pool in group.pool_by_member.values()
            )
        )
        return self.metrics.text()

    def members_changed(
        self,
        entries: list[manifest.MemberEntry],
        left: list[ids.MemberId],
    ) -> None:
        """Apply new entries and remove members that have left."""
        for entry in entries:
            group = self.group_by_id.get(entry.group)
            if group is not None:
                group.use_member(entry, self.tables.known_until)
        for group in self.group_by_id.values():
            for member in left:
                group.drop_member(member, "left")

    def rosters_changed(
        self, stored_by_group: dict[ids.GroupId, coordination.StoredRoster]
    ) -> None:
        """Apply new rosters of groups."""
        for group in self.group_by_id.values():
            self._use_roster(group)

    def promotions_changed(
        self,
        stored_by_group: dict[ids.GroupId, coordination.StoredPromotion],
    ) -> None:
        """Note which promotion calls may be carried out later."""
        now = self._clock.now()
        for group, stored in stored_by_group.items():
            self._failover.claims.polled(group, stored, _wall_ms(), now)
            if stored.record.holder.startswith(group_look.HOLDER_PREFIX):
                loguru.logger.warning(
                    "event=operator_promotion_seen group={} holder={} "
                    "member={} called={} settled={}",
                    group,
                    stored.record.holder,
                    stored.record.candidate or stored.record.prepared,
                    stored.record.candidate is not None,
                    stored.record.settled,
                )

    def owners_changed(
        self,
        owner_by_shard: dict[int, coordination.ShardOwner],
        position: ids.StorePosition,
        complete: bool,
    ) -> None:
        """Note the owners of shards up to a position of the store."""
        self.rates.use_owners(owner_by_shard, position, complete)

    def store_listed(self) -> None:
        """Note that the whole store has been read."""
        for group in self.group_by_id.values():
            group.roster.store_read()

    def _use_roster(self, group: groups.Group) -> None:
        stored = self.tables.roster_by_group.get(group.id)
        if stored is not None:
            group.roster.use(stored)
        if self.tables.has_read:
            group.roster.store_read()

    def daemons_changed(
        self, entry_by_id: dict[ids.DaemonId, coordination.DaemonEntry]
    ) -> None:
        """Apply a new list of the registered daemons."""
        self.relay.use_daemons(entry_by_id)
        self.rates.use_daemons()
        loguru.logger.info("event=daemons_listed count={}", len(entry_by_id))
        self._divide_connections()

    def era_changed(self, era: ids.StoreEra) -> None:
        """Forget positions of other eras of the store."""
        self.authenticator.evidence.era_changed(self._boot_clock.now())
        self._failover.era_changed(era)
        self.rates.note_era()
        if self._restore_wait.begin(era):
            self.metrics.store_restores.inc()
            for group in self.group_by_id.values():
                group.roster.restored()

    async def _prepare_registration(self) -> coordination.DaemonEntry | None:
        """Return the entry to register once the store knows open promotions.

        None if the store did not answer.
        """
        era = None
        if self.tables.has_read:
            era = self._platform.eras.current
        if not await self._failover.restate():
            return None
        current = self.tables.current
        return coordination.DaemonEntry(
            self._settings.daemon,
            self._settings.peer_address,
            self._settings.domain,
            self._incarnation,
            era,
            current.version if current else 0,
        )

    def fleet_key_changed(self, key: bytes) -> None:
        """Use another key for links between daemons."""
        self._link_key.found(key)

    def fleet_key_missing(self) -> None:
        """Write the key of links between daemons, unless there is one."""
        self._link_key.missing()

    def _divide_connections(self) -> None:
        self.relay.holding.recount()
        for group in self.group_by_id.values():
            group.apply_shares()

    def awaits_primary(self) -> bool:
        """Return whether a group waits for a new primary."""
        return any(
            group.primary.pool() is None
            or group.primary.failing()
            or self._failover.awaits_call(group)
            for group in self.group_by_id.values()
            if self._failover.acts_early(group.id)
        )

    async def _supervise(self) -> None:
        """Watch the members, and renew samples, until cancelled.

        One loop for all: each wake-up costs, and a large fleet has many
        daemons that are mostly idle.
        """
        await self._settled()
        maintenance: asyncio.Task[None] | None = None
        for step in itertools.count():
            await self._lag.sleep(SCAN_INTERVAL_S)
            # The failover first: it leaves out time in which the process
            # stood still.
            self._failover.scan()
            self._reachability.scan()
            if step % SCANS_PER_RENEWAL == 0:
                self._renew_samples()
                if maintenance is None or maintenance.done():
                    # It may wait for the store, which must not delay the
                    # next scan.
                    maintenance = asyncio.create_task(self._maintain())

    def _renew_samples(self) -> None:
        """Renew the samples of groups without traffic to their primary."""
        now = self._boot_clock.now()
        for group in list(self.group_by_id.values()):
            pool = group.primary.pool()
            if pool is None:
                continue
            newest = group.primary.samples.newest_at
            max_age_s = (
                MAX_SAMPLE_AGE_S if pool.direct else MAX_RELAYED_SAMPLE_AGE_S
            )
            if newest is None or now - newest >= max_age_s:
                group.primary.start_check(pool)

    async def _maintain(self) -> None:
        """Divide connections, close idle ones and check for isolation."""
        now = self._clock.now()
        if now - self._divided_at >= DIVIDE_INTERVAL_S:
            self._divided_at = now
            self._divide_connections()
            await self._restore_wait.record()
        for group in self.group_by_id.values():
            group.trim()
        await self._isolation.check(now)

    async def _store_answers(self) -> bool:
        """Return whether the store answers at all."""
        sent_at = self._clock.now()
        answers = await self._platform.reachable()
        if answers:
            self._store.record_answer(sent_at, self._clock.now())
        return answers


def _wall_ms() -> int:
    return int(time.time() * 1000)


def _has_accounts(found: manifest.Manifest, group: ids.GroupId) -> bool:
    """Return whether clients of a group have accounts."""
    return bool(found.account_by_name) and any(
        route.group == group and not route.anonymous
        for route in found.route_by_database.values()
    )
