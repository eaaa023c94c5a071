"""State of a database group on this daemon, and its queue of work."""

import asyncio
import collections
import functools
from typing import Protocol

import loguru
from returns import result

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart.connection import own_link
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import account_cache
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.gateway.members import evidence_placement
from burdockcart.process.gateway.members import group_queue
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.promotion import commit_guard
from burdockcart.process.gateway.promotion import open_calls
from burdockcart.process.gateway.promotion import primary_tracker
from burdockcart.process.gateway.promotion import promotion_watch
from burdockcart.process.gateway.promotion import put_off_note
from burdockcart.process.gateway.promotion import replica_roster
from burdockcart.request import member_choice
from burdockcart.request import work_queue
from burdockcart.version import manifest

#: Time after which work of an account without a connection is first to get
#: one, in seconds: longer than a handshake (12 ms), and short against the
#: least latency goal (100 ms).
LEFT_OUT_S = 0.03
#: Pause for each piece of queued work before the queue is looked at again
#: without an event, in seconds: a look takes 0.015 ms for each.
LOOK_PAUSE_S = 0.0002


class ConnectionPlan(Protocol):
    """Divides a member's connections among the daemons."""

    def share(
        self,
        member: manifest.MemberEntry,
        connections: int,
        accounts: bool = False,
    ) -> connection_share.Share:
        """Return the limits of this daemon's connections to a member.

        Parameters
        ==========

        accounts : bool
            Whether clients have accounts, which share no connections.

        """

    def holds(self, member: manifest.MemberEntry, connections: int) -> bool:
        """Return whether this daemon connects to a member directly."""


class Group:
    """Connection pools, presumed primary, samples and queue of one group.

    Parameters
    ==========

    domain : DomainName
        Failure domain of this daemon.
    drain_s : float
        Time after which a draining member must get no new work, in seconds.
    calls : OpenCalls
        Promotion calls that may be carried out later.
    first_start : bool
        Whether the whole deployment starts for the first time.

    """

    def __init__(
        self,
        limits: manifest.GroupLimits,
        domain: ids.DomainName,
        drain_s: float,
        connector: member_channel.Connector,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        plan: ConnectionPlan,
        link: own_link.OwnLink,
        calls: open_calls.OpenCalls,
        metrics: gateway_metrics.GatewayMetrics,
        promotions_fenced: bool = True,
        first_start: bool = False,
    ):
        self.id = limits.id
        self.limits = limits
        #: Whether clients have accounts, which share no connections.
        self.accounts = False
        self.promotions_fenced = promotions_fenced
        self.pool_by_member: dict[ids.MemberId, member_pool.MemberPool] = {}
        self.roster = replica_roster.ReplicaRoster(first_start)
        self.primary = primary_tracker.PrimaryTracker(
            limits.id,
            self.pool_by_member,
            promotions_fenced,
            loop_clock,
            boot_clock,
            self.dispatch,
        )
        self.watch = promotion_watch.PromotionWatch(
            limits.id, self.pool_by_member, loop_clock, metrics
        )
        self.put_off = put_off_note.PutOffNote(loop_clock)
        self.commits = commit_guard.CommitGuard(
            limits.id,
            self.pool_by_member,
            self.primary,
            loop_clock,
            calls,
            self.watch.pass_on,
            link,
        )
        self.placement = evidence_placement.EvidencePlacement(
            limits.id,
            self.pool_by_member,
            self.primary,
            loop_clock,
            self.dispatch,
            metrics,
        )
        self.queue = work_queue.WorkQueue()
        #: Whether no other failure domain is reachable.
        self.isolated = False
        self._plan = plan
        self._link = link
        self._domain = domain
        self._drain_s = drain_s
        self._connector = connector
        self._clock = loop_clock
        self._metrics = metrics
        #: Whether the queue has work of accounts.
        self._mixed = False
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self._group_queue = group_queue.GroupQueue(
            self, self.queue, domain, drain_s, loop_clock
        )

    # Members

    def use_limits(
        self, limits: manifest.GroupLimits, accounts: bool = False
    ) -> None:
        """Apply new limits.

        Parameters
        ==========

        accounts : bool
            Whether clients of the group have accounts.

        """
        self.limits = limits
        self.accounts = accounts
        self.commits.active = limits.synchronous
        self.apply_shares()

    def apply_shares(self) -> None:
        """Apply the plan for connections to each member."""
        changed = [
            self._apply_share(pool) for pool in self.pool_by_member.values()
        ]
        if any(changed):
            self.dispatch()

    def _apply_share(self, pool: member_pool.MemberPool) -> bool:
        """Apply the plan to one member; True if that changed its share."""
        connections = self.limits.connections
        share = self._plan.share(pool.entry, connections, self.accounts)
        direct = self._plan.holds(pool.entry, connections)
        pool.limit.needed = connection_share.statements_needed(
            share, connections, pool.entry.slots
        )
        if (share, direct) == (pool.share, pool.direct):
            return False
        pool.resize(share, direct)
        return True

    def use_member(
        self, entry: manifest.MemberEntry, known_until: float | None = None
    ) -> None:
        """Add a member or use its new entry.

        Parameters
        ==========

        known_until : float or None
            Time at which the previous state of the store was asked for.

        """
        pool = self.pool_by_member.get(entry.id)
        if pool is not None and _restarted(pool.entry, entry):
            self.drop_member(entry.id, "started again")
            pool = None
        if pool is None:
            pool = member_pool.MemberPool(
                entry,
                self._connector,
                self._clock,
                self.dispatch,
                self._link,
                self.watch.observe,
                functools.partial(self._metrics.account_connection, self.id),
            )
            self._apply_share(pool)
            self.pool_by_member[entry.id] = pool
        elif pool.entry != entry:
            pool.use_entry(entry, known_until)
        if entry.leads:
            self.primary.suggest(entry.id)
        self.dispatch()

    def drop_member(self, member: ids.MemberId, cause: str) -> None:
        """Stop using a member that has left."""
        pool = self.pool_by_member.pop(member, None)
        if pool is not None:
            pool.retire()
            self.placement.forget(member)
            self.primary.record_departure(member)
            loguru.logger.info(
                "event=member_dropped group={} member={} cause={!r}",
                self.id,
                member,
                cause,
            )

    def restart_timers(self) -> None:
        """Ignore how long members were silent until now."""
        now = self._clock.now()
        for pool in self.pool_by_member.values():
            pool.health.restart_timers(now)

    # Queue

    async def acquire(
        self, work: work_queue.Work
    ) -> result.Result[pooled_connection.PooledConnection, errors.Failure]:
        """Wait for a connection to a member that can run the work."""
        return await self._group_queue.acquire(work)

    def refuse_unservable(self) -> None:
        """Refuse queued work whose deadline is before the next primary."""
        self._group_queue.refuse_unservable()

    def has_free(self, work: work_queue.Work) -> bool:
        """Return whether a connection is free for work."""
        return any(
            pool.has_idle_for(work.account) and pool.has_room(work.account)
            for pool in self._eligible_pools(work, self._clock.now())
        )

    def trim(self) -> None:
        """Close idle connections above the soft limit after a burst."""
        for pool in self.pool_by_member.values():
            pool.trim()

    def release(self, connection: pooled_connection.PooledConnection) -> None:
        """Return a connection to its pool after the work."""
        now = self._clock.now()
        held_s = now - connection.taken_at
        if connection.served:
            self.queue.record_hold_time(held_s)
        account, connection.charged_to = connection.charged_to, None
        if account is not None:
            self.queue.record_end(
                account, connection.expected_hold_s, held_s, now
            )
            self._metrics.slot_used(account, held_s)
        connection.pool.give_back(connection)

    def dispatch(self) -> None:
        """Assign idle connections to the queued work, most urgent first."""
        now = self._clock.now()
        if not self.queue:
            return
        lacking: collections.Counter[
            tuple[ids.MemberId, ids.AccountName | None]
        ] = collections.Counter()
        in_order = self._in_order(now)
        self._note_awaited(in_order)
        unassigned = sum(work.account is None for work in in_order)
        for work in in_order:
            if work.connection.done():
                # Its wait has ended, but its task has not run since.
                continue
            pools = self._eligible_pools(work, now)
            preferred = self._choose(pools, now, work.account)
            if preferred is None:
                continue
            account = work.account
            if not preferred.has_idle_for(account) and preferred.has_room(
                account
            ):
                lacking[preferred.entry.id, account] += 1
                wanted = lacking[preferred.entry.id, account]
                if account is None:
                    wanted = unassigned + 1
                self._open_if_needed(preferred, work, wanted, now)
            free = [
                pool
                for pool in pools
                if pool.has_idle_for(account) and pool.has_room(account)
            ]
            chosen = (
                preferred
                if len(free) == len(pools)
                else self._choose(free, now, work.account)
            )
            if chosen is None or (
                chosen is not preferred and self._awaits(work, preferred, now)
            ):
                continue
            self.placement.record_taken(chosen, work, now)
            connection = chosen.take(work.value_by_name, work.shape, account)
            connection.charged_to, connection.served = work.account, False
            connection.expected_hold_s = self.queue.record_start(work, now)
            connection.channel.set_urgency(
                work.priority, work.goal_at - now, work.give_up_at - now
            )
            self.queue.remove(work)
            unassigned -= account is None
            work.connection.set_result(result.Success(connection))
        if self._mixed and self.queue and self._dispatch_timer is None:
            self._dispatch_timer = asyncio.get_running_loop().call_later(
                max(LEFT_OUT_S / 2, LOOK_PAUSE_S * len(self.queue)),
                self._dispatch_again,
            )

    def _awaits(
        self,
        work: work_queue.Work,
        pool: member_pool.MemberPool,
        now: float,
    ) -> bool:
        """Return whether work waits for a connection that is being opened.

        Otherwise the connection of its account might never be used.
        """
        return (
            work.account is not None
            and pool.opening_for(work.account) > 0
            and self._group_queue.waited_s(work, now) < LEFT_OUT_S
        )

    def _dispatch_again(self) -> None:
        """Look again at queued work.

        Whether it may close another account's connection depends on time,
        and nothing else may happen until then.
        """
        self._dispatch_timer = None
        self.dispatch()

    def _in_order(self, now: float) -> list[work_queue.Work]:
        """Return the queued work, that of accounts left out first.

        The order of the queue may prefer other accounts' work for ever.  It
        is served by connections that are returned, so an account without one
        would never get one.
        """
        alone = len(self.queue) == 1
        running_s = 0.0 if alone else self._min_latency_s(now)
        in_order = self.queue.in_order(now, running_s)
        self._mixed = any(work.account is not None for work in in_order)
        if alone or not self._mixed:
            return in_order
        return sorted(in_order, key=lambda work: not self._left_out(work, now))

    def _note_awaited(self, works: list[work_queue.Work]) -> None:
        """Tell the pools which accounts' connections are about to be used."""
        for pool in self.pool_by_member.values():
            pool.awaited = set()
        # Without accounts one stands for all: a long queue costs nothing.
        for work in works if self._mixed else works[:1]:
            for pool in self.possible_pools(work):
                pool.awaited.add(work.account)

    def _left_out(self, work: work_queue.Work, now: float) -> bool:
        """Return whether work has waited as its account has no connection."""
        if not self._mixed or (
            self._group_queue.waited_s(work, now) < LEFT_OUT_S
        ):
            return False
        return not any(
            pool.has_connection(work.account)
            for pool in self.possible_pools(work)
        )

    def possible_pools(
        self, work: work_queue.Work
    ) -> list[member_pool.MemberPool]:
        """Return the pools of the members that work may be meant for."""
        only = work.member
        if only is None and work.primary_only:
            only = self.primary.leadership.member
        return [
            pool
            for pool in self.pool_by_member.values()
            if (only is None and not work.primary_only)
            or pool.entry.id == only
        ]

    def _min_latency_s(self, now: float) -> float:
        """Return the expected latency of the fastest member."""
        return min(
            (
                pool.health.latency_s(now)
                for pool in self.pool_by_member.values()
                if not pool.health.failing
            ),
            default=0.0,
        )

    def _eligible_pools(
        self, work: work_queue.Work, now: float
    ) -> list[member_pool.MemberPool]:
        """Return the pools of the members that can run the work."""
        if work.member is not None:
            pool = self.pool_by_member.get(work.member)
            return [] if pool is None else [pool]
        if work.primary_only:
            pool = self.primary.pool()
            if pool is None or not pool.takes_new_work(self._drain_s):
                return []
            return self.placement.primary_pools(pool, work, now)
        usable = [
            pool
            for pool in self.pool_by_member.values()
            if pool.entry.id not in work.excluded
            and pool.health.usable(now)
            and pool.takes_new_work(self._drain_s)
        ]
        queued_at = now - self._group_queue.waited_s(work, now)
        found = self.placement.read_pools(usable, work, queued_at, now)
        return [
            pool
            for pool in found
            if pool.has_idle_for(work.account)
            or pool.may_open(work.account, self._left_out(work, now))
        ]

    def _choose(
        self,
        pools: list[member_pool.MemberPool],
        now: float,
        account: ids.AccountName | None,
    ) -> member_pool.MemberPool | None:
        if len(pools) == 1:
            return pools[0]
        connected = self._connected(pools, account)
        found = member_choice.best(
            member_choice.Candidate(
                id=pool.entry.id,
                latency_s=pool.health.latency_s(now),
                running=pool.health.running,
                slots=pool.entry.slots,
                same_domain=pool.entry.domain == self._domain,
                leads=pool.entry.id == self.primary.leadership.member,
                connected=connected is None or pool.entry.id in connected,
                handshake_s=pool.handshake_s,
            )
            for pool in pools
        )
        return None if found is None else self.pool_by_member[found]

    def _connected(
        self,
        pools: list[member_pool.MemberPool],
        account: ids.AccountName | None,
    ) -> set[ids.MemberId] | None:
        """Return members where a read of an account needs no handshake.

        None stands for all.

        The primary counts as one that needs it: writes open a connection
        there, which must not draw the account's reads.  This daemon does not
        know what holders have; so for each domain it expects an account at
        one replica, which is the same for all daemons.
        """
        if account is None or len(pools) < 2:
            return None
        replicas = [
            pool
            for pool in pools
            if pool.entry.id != self.primary.leadership.member
        ]
        relayed_by_domain: dict[ids.DomainName, list[ids.MemberId]] = {}
        for pool in replicas:
            if not pool.direct:
                relayed_by_domain.setdefault(pool.entry.domain, []).append(
                    pool.entry.id
                )
        return {
            pool.entry.id
            for pool in replicas
            if pool.direct
            and (pool.has_idle_for(account) or pool.opening_for(account))
        } | {
            account_cache.expected_at(account, members)
            for members in relayed_by_domain.values()
        }

    def _open_if_needed(
        self,
        pool: member_pool.MemberPool,
        work: work_queue.Work,
        wanted: int,
        now: float,
    ) -> None:
        """Open a connection unless enough of them are being opened.

        Parameters
        ==========

        wanted : int
            Connections of the account to open at the same time.

        """
        account = work.account
        if pool.opening_for(account) >= wanted or not pool.may_open(
            account, self._left_out(work, now)
        ):
            return
        waited_s = self._group_queue.waited_s(work, now)
        if (
            account is None
            or waited_s >= member_choice.HANDSHAKE_S
            or not pool.returns_soon(account, wanted)
        ):
            pool.open(account, self._left_out(work, now))

    def close(self) -> None:
        """Close all connections."""
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
        self.placement.close()
        self.commits.close()
        self.watch.close()
        for pool in self.pool_by_member.values():
            pool.retire()


def _restarted(
    known: manifest.MemberEntry, entry: manifest.MemberEntry
) -> bool:
    """Return whether a member has restarted since its known entry.

    A restart loses the state of its connections, and what was observed about
    the member before is no longer valid.
    """
    return (
        known.address != entry.address or known.started_ms != entry.started_ms
    )
