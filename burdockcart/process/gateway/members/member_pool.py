"""Connection pool of this daemon for one member."""

import asyncio
import collections
import itertools
import random
from typing import Awaitable
from typing import Callable

import loguru
import msgspec

from burdockcart import clock
from burdockcart.connection import backoff
from burdockcart.connection import member_channel
from burdockcart.connection import member_health
from burdockcart.connection import own_link
from burdockcart import ids
from burdockcart.process.gateway.members import account_cache
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.request import command
from burdockcart.request import member_choice
from burdockcart.request import member_evidence
from burdockcart.request import member_limit
from burdockcart.request import replica_lag
from burdockcart.version import manifest

#: Timeout for opening a connection, in seconds: ten times the longest
#: handshake (27 ms), since a handshake may queue behind statements.
CONNECT_TIMEOUT_S = 0.3
#: Share of the granted time for which a draining member still gets work that
#: no other member can run, counted from when it may have announced it at the
#: earliest: a daemon learns of it late.  The rest covers the time that a
#: statement needs to reach the member.
DRAIN_SHARE = 0.8
#: The same, counted from when this daemon learned of it, if it cannot tell
#: when the member may have announced it.
FIRST_SEEN_DRAIN_SHARE = 0.5
#: Backoff after a member reported that its connections are exhausted, in
#: seconds, with jitter.  Daemons that tried again after a fixed pause kept a
#: member busy with up to 1,000 refusals a second.
EXHAUSTED_MIN_S = 0.1
EXHAUSTED_MAX_S = 3.2
#: Maximum number of statements that one line of the log names.
LISTED = 8
#: Weight of a new answer time of a status query in its moving average.
OBSERVED_WEIGHT = 0.2
#: Weight of a new time of opening a connection in its moving average.
HANDSHAKE_WEIGHT = 0.2
#: Time for which accounts go on to use detours after one was found, in
#: seconds; as long as an unused detour lasts.
DETOUR_KNOWN_S = 1.0

#: Time for which a connection without a statement yet is not closed in favor
#: of another account, in seconds.  With two accounts and one connection, each
#: closed what the other had just opened, and neither was served.
UNUSED_KEPT_S = 0.1


class _Opening(msgspec.Struct, frozen=True):
    """A connection that is being opened."""

    account: ids.AccountName | None
    since: float


class MemberPool:
    """Idle and busy connections to one member.

    Parameters
    ==========

    changed : callable
        Called when a connection becomes free or opening one has ended.
    link : OwnLink
        What this daemon receives from all members.
    observed : callable
        Called with each status that the member reports.
    count : callable
        Called with what happened to an account's direct connections: "hit" or
        "miss" for each use, and "eviction".

    """

    def __init__(
        self,
        entry: manifest.MemberEntry,
        connector: member_channel.Connector,
        loop_clock: clock.Clock,
        changed: Callable[[], None],
        link: own_link.OwnLink,
        observed: Callable[[ids.MemberId, member_channel.MemberStatus], None],
        count: Callable[[str], None] = lambda outcome: None,
    ):
        self._count = count
        self.entry = entry
        self.share = connection_share.Share(1, 1)
        #: Whether its connections go to the member and not to a holder.
        self.direct = True
        self.lag = replica_lag.ReplicaLag()
        #: Positions that the member has reported to any daemon.
        self.reports = member_evidence.PositionReports()
        self.retired = False
        self._draining_since: float | None = None
        #: Time after which the member announced that it will leave.
        #: When the last state of the store in which it did not drain was
        #: asked for; None if there is none.
        self._ready_until: float | None = None
        self._connector = connector
        self._clock = loop_clock
        self._listed_at = loop_clock.now()
        self._changed = changed
        self._observed = observed
        self._idle: list[pooled_connection.PooledConnection] = []
        self._busy: set[pooled_connection.PooledConnection] = set()
        self._opening: dict[asyncio.Task[None], _Opening] = {}
        self._exhausted_until = 0.0
        self._exhausted_count = 0
        self._detour_task: asyncio.Task[None] | None = None
        #: Until when accounts use a detour instead of the direct way.
        self._detour_until = 0.0
        #: Moving average of the time for opening a connection, in seconds.
        self.handshake_s = member_choice.HANDSHAKE_S
        self._demand = account_cache.AccountDemand()
        #: Accounts whose queued work may take a connection.
        self.awaited: set[ids.AccountName | None] = set()
        self._rng = random.Random(f"{entry.id}/{id(self)}")
        #: Moving average of the answer time of status queries, in seconds.
        self.observed_s = 0.0
        self.limit = member_limit.MemberLimit(self.share.hard_limit)
        self.health = member_health.MemberHealth(
            loop_clock.now(), member_choice.INITIAL_LATENCY_S, link.source()
        )
        self.use_entry(entry)

    def use_entry(
        self, entry: manifest.MemberEntry, known_until: float | None = None
    ) -> None:
        """Use a new entry of the same member.

        Parameters
        ==========

        known_until : float or None
            Time at which the previous state of the store was asked for; None
            if this daemon knows of none.

        """
        self.entry = entry
        if entry.state is not manifest.MemberState.DRAINING:
            self._draining_since = None
        elif self._draining_since is None:
            self._draining_since = self._clock.now()
            self._ready_until = known_until

    @property
    def listed_for_s(self) -> float:
        """Time for which the member has been in the list, in seconds."""
        return self._clock.now() - self._listed_at

    @property
    def draining(self) -> bool:
        """Whether the member has announced that it will leave."""
        return self._draining_since is not None

    def takes_new_work(self, drain_s: float) -> bool:
        """Return whether statements may still be sent to the member.

        Parameters
        ==========

        drain_s : float
            Time after which a draining member must get no new work.

        """
        if self._draining_since is None:
            return True
        now = self._clock.now()
        if self._ready_until is None:
            limit_s = FIRST_SEEN_DRAIN_SHARE * drain_s
            return now - self._draining_since < limit_s
        return now - self._ready_until < DRAIN_SHARE * drain_s

    @property
    def address(self) -> member_channel.MemberAddress:
        """Member and address that the connections are opened to."""
        entry = self.entry
        return member_channel.MemberAddress(
            entry.id, entry.group, entry.address
        )

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + len(self._opening)

    @property
    def has_detour(self) -> bool:
        """Whether a connection goes through another daemon."""
        return any(
            not each.channel.direct
            for each in itertools.chain(self._idle, self._busy)
        )

    @property
    def opening_count(self) -> int:
        """Connections that are being opened."""
        return len(self._opening)

    @property
    def awaits_answer(self) -> bool:
        """Whether the member owes an answer, or has failed to give one."""
        return bool(self._opening) or self.health.awaits_answer

    def opening_for_s(self, now: float) -> float:
        """Return the age of the oldest attempt to open a connection."""
        return now - min(
            (each.since for each in self._opening.values()), default=now
        )

    @property
    def busy_count(self) -> int:
        """Connections in use."""
        return len(self._busy)

    def opening_for(self, account: ids.AccountName | None) -> int:
        """Return how many connections of an account are being opened."""
        return sum(each.account == account for each in self._opening.values())

    def returns_soon(
        self, account: ids.AccountName | None, count: int
    ) -> bool:
        """Return whether as many of an account's connections are running.

        Its statements are over in about the time of a handshake, so at the
        limit no other account's connection is closed at once.
        """
        return (
            self.open_count >= self.share.hard_limit
            and self._running(account) >= count
        )

    def has_connection(self, account: ids.AccountName | None) -> bool:
        """Return whether an account has a connection or soon gets one."""
        return self.opening_for(account) > 0 or any(
            each.account == account
            for each in itertools.chain(self._idle, self._busy)
        )

    def has_idle(self) -> bool:
        """Return whether a connection is idle; drop closed ones."""
        if not self._idle:
            return False
        dropped = [each for each in self._idle if each.channel.closed]
        for each in dropped:
            self._idle.remove(each)
        return bool(self._idle)

    def has_idle_for(self, account: ids.AccountName | None) -> bool:
        """Return whether a connection of an account is idle.

        Drops closed ones, which also makes room for new connections; those of
        other accounts only if the account has no open one.
        """
        own = [each for each in self._idle if each.account == account]
        if own and not any(each.channel.closed for each in own):
            return True
        self.has_idle()
        return any(each.account == account for each in self._idle)

    def has_room(self, account: ids.AccountName | None = None) -> bool:
        """Return whether the limit allows another statement of an account.

        What a member has accepted waits there in the order of arrival, so no
        account may have more statements at a member than that has slots.
        """
        active = sum(connection.active for connection in self._busy)
        if active >= self.limit.statements:
            return False
        if account is None or not self.direct:
            return True
        return self._running(account) < self.entry.slots

    def _running(self, account: ids.AccountName | None) -> int:
        """Return the statements of an account that run on the member."""
        return sum(
            each.active for each in self._busy if each.account == account
        )

    def may_open(
        self, account: ids.AccountName | None = None, left_out: bool = False
    ) -> bool:
        """Return whether another connection may be opened now.

        At the limit, an idle connection of another account makes room.

        Parameters
        ==========

        left_out : bool
            Whether the account has long waited for its first connection.

        """
        now = self._clock.now()
        return (
            not self.retired
            and (
                self.open_count < self.share.hard_limit
                or (
                    self.open_count == self.share.hard_limit
                    and self._victim(account, left_out) is not None
                )
            )
            and now >= self._exhausted_until
            and self.health.usable(now)
            and not (self.health.failing and self._opening)
        )

    def _fills_slots(self, account: ids.AccountName | None) -> bool:
        """Return whether an account could use no further connection.

        A hot account would otherwise close the connections of the others,
        which then need a handshake for each statement.
        """
        running = self._running(account) + self.opening_for(account)
        return running >= self.entry.slots

    def _victim(
        self, account: ids.AccountName | None, left_out: bool
    ) -> pooled_connection.PooledConnection | None:
        """Return the idle connection to close in favor of an account.

        One that queued work is about to take is closed for an account only
        that would not be served at all.
        """
        if not self._idle or (self.direct and self._fills_slots(account)):
            return None
        now = self._clock.now()
        return self._least_useful(
            [
                each
                for each in self._idle
                if each.account != account
                and (left_out or each.account not in self.awaited)
                and (each.used or now - each.idle_since >= UNUSED_KEPT_S)
            ]
        )

    def _least_useful(
        self, idle: list[pooled_connection.PooledConnection]
    ) -> pooled_connection.PooledConnection | None:
        """Return which of some idle connections should be closed first."""
        if not idle:
            return None
        open_by_account = collections.Counter(
            each.account for each in itertools.chain(self._idle, self._busy)
        )
        index = account_cache.least_useful(
            [
                account_cache.IdleConnection(each.account, each.idle_since)
                for each in idle
            ],
            open_by_account,
            self._demand,
            self._clock.now(),
        )
        return idle[index]

    def take(
        self,
        value_by_name: dict[str, str],
        shape: command.Shape | None,
        account: ids.AccountName | None = None,
    ) -> pooled_connection.PooledConnection:
        """Take the account's connection that needs the fewest preparing steps.

        Raises
        ======

        ValueError
            If no connection of the account is idle.

        """
        # Among equals the one used last, so that the others stay idle and can
        # be closed.
        best = min(
            (each for each in reversed(self._idle) if each.account == account),
            key=lambda each: len(
                each.session_state.steps(value_by_name, shape)
            ),
        )
        if account is not None and best.channel.direct:
            self._count("hit" if best.used else "miss")
        best.used = True
        self._demand.record_use(account, self._clock.now())
        return self._take(best)

    def _take_any(self) -> pooled_connection.PooledConnection:
        """Take an idle connection for control, preferably of no account."""
        return self._take(
            min(
                reversed(self._idle),
                key=lambda each: (
                    each.account is not None,
                    len(each.session_state.steps({}, None)),
                ),
            )
        )

    def _take(
        self, best: pooled_connection.PooledConnection
    ) -> pooled_connection.PooledConnection:
        self._idle.remove(best)
        self._busy.add(best)
        best.taken_at = self._clock.now()
        best.active = True
        return best

    def give_back(
        self, connection: pooled_connection.PooledConnection
    ) -> None:
        """Return a connection; close it if it cannot be reused.

        Only a free one may be handed on: the next owner would run inside the
        transaction of the last one, or get the answer to its statement.
        """
        if connection not in self._busy:
            loguru.logger.error(
                "event=connection_returned_twice group={} member={}",
                self.entry.group,
                self.entry.id,
            )
            connection.channel.close()
            return
        self._busy.remove(connection)
        if (
            connection.channel.closed
            or not connection.channel.free
            or connection.stale
            or self.retired
            or self.open_count >= self.share.hard_limit
        ):
            connection.channel.close()
        else:
            connection.idle_since = self._clock.now()
            self._idle.append(connection)
        self._changed()

    def open(
        self, account: ids.AccountName | None = None, left_out: bool = False
    ) -> None:
        """Start opening a connection; make room for it at the limit."""
        if self.open_count >= self.share.hard_limit:
            self._evict(account, left_out)
        task = asyncio.create_task(self._open(account), name="open_connection")
        self._opening[task] = _Opening(account, self._clock.now())

    def _evict(
        self, account: ids.AccountName | None, left_out: bool = False
    ) -> None:
        """Close an idle connection of another account."""
        victim = self._victim(account, left_out)
        if victim is None:
            return
        self._idle.remove(victim)
        victim.channel.close()
        if victim.channel.direct:
            self._count("eviction")
        loguru.logger.debug(
            "event=connection_evicted group={} member={} connection={}",
            self.entry.group,
            self.entry.id,
            victim.number,
        )

    async def _open(self, account: ids.AccountName | None) -> None:
        task = asyncio.current_task()
        assert task is not None
        try:
            opened = await self.connect(account=account)
        finally:
            self._opening.pop(task, None)
        if opened is not None:
            if self.retired or self.open_count >= self.share.hard_limit:
                opened.close()
            else:
                self._add_idle(opened, account)
        self._changed()

    def _add_idle(
        self,
        channel: member_channel.Channel,
        account: ids.AccountName | None,
    ) -> None:
        connection = pooled_connection.PooledConnection(self, channel, account)
        connection.idle_since = self._clock.now()
        self._idle.append(connection)

    async def connect(
        self,
        timeout_s: float = CONNECT_TIMEOUT_S,
        account: ids.AccountName | None = None,
    ) -> member_channel.Channel | None:
        """Open a connection that the pool does not count; update health."""
        if account is not None and self._clock.now() < self._detour_until:
            # The direct way is blocked, and a detour is made for one account.
            detour = await self._connector.detour(self.address, account)
            if detour is not None:
                self.health.record_answer(self._clock.now())
                return detour
        sent_at = self._clock.now()
        opened = await self._connector.connect(
            self.address, timeout_s, account
        )
        now = self._clock.now()
        if not isinstance(opened, member_channel.MemberFault):
            # A relayed connection is opened without asking the member.
            self.health.record_answer(now, sent_at if opened.direct else None)
            if opened.direct:
                self.handshake_s += HANDSHAKE_WEIGHT * (
                    now - sent_at - self.handshake_s
                )
            self._exhausted_count = 0
            return opened
        if opened is member_channel.MemberFault.CONNECTIONS_EXHAUSTED:
            self._exhausted_until = now + self._exhausted_pause_s()
            self.health.record_answer(now)
            self._log_connect_failure(opened)
            self._evict(account)
        else:
            self._record_failure(opened, sent_at, account)
            self._log_connect_failure(opened)
        return None

    def _start_detour(self, account: ids.AccountName | None) -> None:
        """Look for a way to the member through another daemon."""
        if self.direct and (
            self._detour_task is None or self._detour_task.done()
        ):
            self._detour_task = asyncio.create_task(
                self._detour(account), name="detour"
            )

    async def _detour(self, account: ids.AccountName | None) -> None:
        channel = await self._connector.detour(self.address, account)
        if channel is None:
            return
        # Another daemon reaches the member, so it is not lost.
        now = self._clock.now()
        self.health.record_answer(now)
        self._detour_until = now + DETOUR_KNOWN_S
        self._add_idle(channel, account)
        self._changed()

    def _log_connect_failure(self, fault: member_channel.MemberFault) -> None:
        loguru.logger.info(
            "event=member_connect_failed member={} cause={!r} failures={} "
            "open={} limit={}",
            self.entry.id,
            fault.value,
            self.health.failures,
            self.open_count,
            self.share.hard_limit,
        )

    def _record_failure(
        self,
        fault: member_channel.MemberFault,
        sent_at: float,
        account: ids.AccountName | None = None,
    ) -> None:
        """Record a failed attempt; look for another way if that can help."""
        others_answer = self.health.record_failure(
            self._clock.now(), fault, sent_at
        )
        if others_answer and fault is member_channel.MemberFault.SILENT:
            self._start_detour(account)

    def _exhausted_pause_s(self) -> float:
        """Return the pause after another refusal for lack of connections."""
        self._exhausted_count += 1
        longest_s = backoff.longest_s(
            EXHAUSTED_MIN_S, self._exhausted_count, EXHAUSTED_MAX_S
        )
        return self._rng.uniform(EXHAUSTED_MIN_S, longest_s)

    async def reach(
        self, timeout_s: float
    ) -> member_channel.MemberFault | None:
        """Check whether the member accepts connections; update health."""
        sent_at = self._clock.now()
        fault = await self._connector.reach(self.address, timeout_s)
        now = self._clock.now()
        if fault is None:
            self.health.record_answer(now, sent_at)
            self._changed()
        else:
            self._record_failure(fault, sent_at)
        return fault

    def abort_reads(self) -> None:
        """Abort the statements that can be retried on another member.

        Those of a transaction cannot, and a relayed one is not lost if this
        daemon alone does not reach the member.
        """
        aborted = [
            each
            for each in self._busy
            if each.retryable and each.channel.direct
        ]
        if not aborted:
            return
        loguru.logger.info(
            "event=statements_aborted group={} member={} count={} "
            "statements={}",
            self.entry.group,
            self.entry.id,
            len(aborted),
            ",".join(str(each.statement) for each in aborted[:LISTED]),
        )
        for connection in aborted:
            connection.aborted_locally = True
            connection.channel.close()

    async def observe(
        self, timeout_s: float
    ) -> member_channel.MemberStatus | member_channel.MemberFault:
        """Ask for the member's status; takes none of its slots."""
        status = await self.query(lambda channel: channel.observe(timeout_s))
        if isinstance(status, member_channel.MemberStatus):
            self._observed(self.entry.id, status)
        return status

    async def demote(
        self, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | member_channel.MemberFault:
        """Make the member a replica if it leads a term below ``term``."""
        loguru.logger.info(
            "event=primary_demoted group={} member={} term={}",
            self.entry.group,
            self.entry.id,
            term,
        )
        return await self.query(
            lambda channel: channel.demote(term, timeout_s)
        )

    async def query(
        self,
        query: Callable[
            [member_channel.Channel],
            Awaitable[
                member_channel.MemberStatus | member_channel.MemberFault
            ],
        ],
        direct: bool = False,
    ) -> member_channel.MemberStatus | member_channel.MemberFault:
        """Run a query that takes no slot; update health.

        Parameters
        ==========

        direct : bool
            Whether a relayed connection may not be used.

        """
        if not self.has_idle() and not self.health.usable(self._clock.now()):
            return member_channel.MemberFault.REFUSED
        connection = await self.take_or_open()
        if connection is None:
            return member_channel.MemberFault.REFUSED
        if direct and not connection.channel.direct:
            self.give_back(connection)
            return member_channel.MemberFault.RELAY_REFUSED
        sent_at = self._clock.now()
        ticket = self.health.record_sent(sent_at)
        fault: member_channel.MemberFault | None = (
            member_channel.MemberFault.SILENT
        )
        try:
            answer = await query(connection.channel)
            fault = None
            if isinstance(answer, member_channel.MemberFault):
                fault = answer
        finally:
            now = self._clock.now()
            self.health.record_ended(ticket, now, fault)
            self.give_back(connection)
        if fault is member_channel.MemberFault.SILENT:
            # The query needs no slot, so even a busy member answers it.
            self.health.record_failure(now, fault, sent_at)
        elif fault is None:
            self.observed_s += OBSERVED_WEIGHT * (
                now - sent_at - self.observed_s
            )
        return answer

    async def take_or_open(self) -> pooled_connection.PooledConnection | None:
        """Take a connection for control, above the limit if necessary."""
        if self.has_idle():
            return self._take_any()
        if self._clock.now() < self._exhausted_until:
            return None
        opened = await self.connect()
        if opened is None:
            return None
        connection = pooled_connection.PooledConnection(self, opened)
        self._busy.add(connection)
        return connection

    def resize(
        self, share: connection_share.Share, direct: bool = True
    ) -> None:
        """Apply a new share; close idle connections above it.

        Parameters
        ==========

        direct : bool
            Whether connections go to the member and not to a holder; those of
            the other kind are closed after their work.

        """
        if direct != self.direct:
            self.direct = direct
            self.replace_connections()
        self.share = share
        self.limit.set_maximum(share.hard_limit)
        while self._idle and self.open_count > share.hard_limit:
            self._close_least_useful(self._idle)

    def replace_connections(self) -> None:
        """Close all connections, those in use after their work."""
        for connection in self._busy:
            connection.stale = True
        while self._idle:
            self._idle.pop().channel.close()

    def trim(self) -> None:
        """Close idle connections above the soft limit after a burst."""
        if self.open_count <= self.share.soft_limit:
            return
        latest = self._clock.now() - connection_share.BURST_IDLE_S
        while self.open_count > self.share.soft_limit:
            unused = [each for each in self._idle if each.idle_since <= latest]
            if not unused:
                return
            self._close_least_useful(unused)

    def _close_least_useful(
        self, idle: list[pooled_connection.PooledConnection]
    ) -> None:
        closed = self._least_useful(idle)
        assert closed is not None
        self._idle.remove(closed)
        closed.channel.close()

    def retire(self) -> None:
        """Close idle connections and open no more."""
        self.retired = True
        while self._idle:
            self._idle.pop().channel.close()
