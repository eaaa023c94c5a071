"""Owns a shard while the store lets it: its key, lease and ledger."""

import asyncio
import math
from typing import Callable
from typing import Mapping

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart import event_wait
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era
from burdockcart.process.rates import division
from burdockcart.process.rates import permit_ledger
from burdockcart.process.rates import shard_census
from burdockcart.process.rates import shard_ownership
from burdockcart.process.rates import shard_succession
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates import share_terms

CallFault = coordination.CallFault

#: Time after which a former owner knew a limit as well, and shares by an
#: earlier one have expired, in seconds: a manifest is in force within 5 s, and
#: a share is valid for 4 s.
STEADY_S = 10.0

#: Time for the read of a shard's history, in seconds; a renewal waits for it.
HISTORY_S = share_terms.RENEW_S / 2

#: Faults of a renewal after which the lease is known to have ended.
_ENDED = (CallFault.MISSING, CallFault.RESTORED)
Limits = Mapping[ids.AccountName, share_ledger.Limit]


class ShardKeeper:
    """One shard, as a daemon that may own it sees it.

    Parameters
    ==========

    listed : callable
        Returns the ids of the registered daemons.
    first_start : bool
        Whether the whole deployment starts for the first time, so that its
        store cannot have been restored lately.

    """

    def __init__(
        self,
        shard: share_terms.Shard,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        listed: Callable[[], Mapping[ids.DaemonId, coordination.DaemonEntry]],
        boot_clock: clock.Clock,
        first_start: bool,
    ):
        self.ownership = shard_ownership.ShardOwnership(daemon)
        self._succession = shard_succession.ShardSuccession(
            daemon, boot_clock.now()
        )
        self._shard = shard
        self._daemon = daemon
        self._platform = platform
        self._listed = listed
        self._clock = boot_clock
        self._first_start = first_start
        self._era: ids.StoreEra | None = None
        #: Whether the store has the whole history of the deployment.
        self._whole_history = False
        self._ledger: share_ledger.ShareLedger | None = None
        self._limits: Limits = {}
        #: Since when there have been limits.
        self._limited_since = math.inf
        #: When the limit of each account last changed.
        self._changed_at_by_account: dict[ids.AccountName, float] = {}
        self._changed = asyncio.Event()
        #: Set when this daemon has become the owner, or shuts down.
        self.transfer_changed = asyncio.Event()
        #: Set when all daemons should be asked what they hold, and time from
        #: which on only listed ones hold anything.
        self.census_due = asyncio.Event()
        self.census_from = math.inf
        #: Held by the one attempt to acquire the key that may run.
        self._acquiring = asyncio.Lock()
        #: Permits of the reserve that this daemon grants.
        self.permits: permit_ledger.ShardPermits | None = None

    # Hints

    def use_limits(self, limits: Limits) -> None:
        """Use the limits of a manifest."""
        now = self._clock.now()
        self._changed_at_by_account = {
            account: (
                self._changed_at_by_account[account]
                if self._limits.get(account) == limit
                else now
            )
            for account, limit in limits.items()
        }
        if not limits:
            self._limited_since = math.inf
        elif not self._limits:
            self._limited_since = now
        self._limits = limits
        if self._ledger is not None:
            self._ledger.use_limits(limits, self._clock.now())
        self.use_daemons()

    def use_daemons(self) -> None:
        """Note that the list of daemons, or the owner, has changed."""
        entry_by_id = self._listed()
        if self._daemon in entry_by_id:
            order = shard_ownership.in_order(self._shard, entry_by_id)
            rank = order.index(self._daemon)
            self.ownership.use_rank(rank, self._clock.now())
        self._changed.set()

    def hear(
        self, position: ids.StorePosition, owner: ids.DaemonId | None
    ) -> None:
        """Note the owner at a position of the store."""
        self.ownership.hear(position, owner)

    def found(
        self, position: ids.StorePosition, owner: ids.DaemonId | None
    ) -> None:
        """Note the owner that the store itself has named."""
        self.hear(position, owner)
        self._succession.found(position, owner)
        if self._left_position is not None:
            # The owner was a process of this daemon that has ended.
            self.asked(0.0)

    @property
    def _left_position(self) -> ids.StorePosition | None:
        """Position of the key that a former process left, if to be replaced.

        Without a census (no reserve, or an era after a restore) grants would
        begin later than those of a daemon that waits for the end of the lease.
        """
        if (
            self.permits is None
            or self._platform.eras.current != store_era.FIRST
        ):
            return None
        return self._succession.position

    def asked(self, lease_left_s: float) -> None:
        """Note that a daemon takes this one for the next owner."""
        self.ownership.asked(self._clock.now(), lease_left_s)
        self._changed.set()

    def leave(self) -> None:
        """Let other daemons own the shard when the lease has ended."""
        self.ownership.leave()
        self._changed.set()
        self.transfer_changed.set()

    def note_era(self) -> None:
        """Note the era that the store's last answer has shown."""
        era = self._platform.eras.current
        if era != self._era:
            # Before the first era no store has been restored.
            known_first = self._era is None and (
                self._first_start or era == store_era.FIRST
            )
            self._era = era
            self._whole_history = known_first and self._first_start
            self.ownership.era_seen(self._clock.now(), not known_first)

    # Shares

    def answer(
        self,
        holder: share_terms.Holder,
        report: share_terms.Report,
    ) -> share_terms.Answer:
        """Answer a report; without shares if this daemon is not the owner."""
        now = self._clock.now()
        own, ledger = self.ownership.own, self._ledger
        if own is None or ledger is None or not self.ownership.owns(now):
            owner = self.ownership.owner
            if owner in (None, self._daemon, holder[0], report.missed):
                self.asked(report.lease_left_ms / 1000)
            position, owner = self.ownership.heard
            return share_terms.Answer(
                None if owner == self._daemon else owner,
                position,
                leaving=self.ownership.leaving,
                store_silent=self.ownership.store_silent(now),
            )
        ends_at = own.authority_until + share_terms.GRACE_S
        shares = ledger.answer(
            holder, report.sequence, report.demands, ends_at, now
        )
        answer = share_terms.Answer(
            self._daemon,
            ids.StorePosition(own.term),
            int(1000 * (ends_at - now)),
            shares=shares or [],
        )
        if self.permits is None:
            return answer
        # A report that arrives after a later one claims nothing.
        claim = None if shares is None else report.permit
        permit, permitted = self.permits.answer(
            holder, claim, own.term, own.authority_until, now
        )
        return msgspec.structs.replace(
            answer, permit=permit, permitted=permitted
        )

    # Census

    def census_position(self) -> ids.StorePosition | None:
        """Return the position of the key while a census is of use."""
        now, own, ledger = self._clock.now(), self.ownership.own, self._ledger
        if own is None or ledger is None or not self.ownership.owns(now):
            return None
        if now >= ledger.grants_from:
            return None
        return ids.StorePosition(own.term)

    def use_census(
        self, position: ids.StorePosition, census: shard_census.ShardCensus
    ) -> bool:
        """Grant accounts that no daemon holds; return whether it helped."""
        now, ledger = self._clock.now(), self._ledger
        if ledger is None or self.census_position() != position:
            return False
        if now < self.census_from or census.missing:
            return False
        ledger.use_census(census.accounts(), now)
        return True

    # Transfer

    def shares_end_at(self) -> float:
        """Return when the last share that this owner knows of expires."""
        if self._ledger is None:
            return -math.inf
        return self._ledger.shares_end_at()

    def drop_ledger(self) -> None:
        """Forget the shares after the ownership was given up."""
        self._ledger = None
        self._changed.set()

    def may_take(self) -> bool:
        """Return whether an owner may step down for this daemon.

        For a daemon that has just started no account would be steady: small
        accounts would wait for the shares of large ones to expire, longer
        than after the end of a lease.
        """
        steady = self._clock.now() - self._limited_since >= STEADY_S
        leaving = self.ownership.leaving
        return steady and not leaving and self.ownership.own is None

    async def take(
        self, position: ids.StorePosition, shares_end_at: float
    ) -> bool:
        """Take the key from an owner that has stepped down.

        Parameters
        ==========

        position : int
            Position at which the key must still be.
        shares_end_at : float
            Time at which the last share of that owner expires, in seconds.

        """
        if self.may_take():
            await self._acquire(position, shares_end_at)
            self._changed.set()
        own = self.ownership.own
        return own is not None and own.term > position

    # Calls to the store

    async def run(self) -> None:
        """Acquire the key when it is this daemon's turn, and renew it."""
        while True:
            self._changed.clear()
            await self._pause()
            if not self._limits:
                continue
            now = self._clock.now()
            if self.ownership.expired(now):
                self._lose("not renewed in time")
            lease = self.ownership.renewing(now)
            if lease is not None:
                await self._renew(lease)
            elif self.ownership.attempting(now):
                await self._acquire(self._left_position)

    async def _pause(self) -> None:
        """Wait until a call is due; without limits, for limits."""
        due_s = math.inf
        if self._limits:
            due_s = self.ownership.due_at() - self._clock.now()
        if due_s > 0:
            await event_wait.until_set(self._changed, due_s)

    async def _acquire(
        self,
        expected: ids.StorePosition | None,
        shares_end_at: float = -math.inf,
    ) -> None:
        async with self._acquiring:
            if self.ownership.own is None:
                await self._write_key(expected, shares_end_at)

    async def _write_key(
        self, expected: ids.StorePosition | None, shares_end_at: float
    ) -> None:
        sent_at = self._clock.now()
        heard = self.ownership.owner
        self.ownership.attempt_sent(sent_at)
        succeeds = expected is not None and (
            expected == self._succession.position
        )
        self._succession.write_sent()
        acquired = await self._platform.acquire_shard(
            self._shard, self._daemon, share_terms.LEASE_S, expected
        )
        self.note_era()
        now = self._clock.now()
        if isinstance(acquired, result.Failure):
            failure = acquired.failure()
            silent = failure in (CallFault.NO_ANSWER, CallFault.UNAVAILABLE)
            if isinstance(failure, coordination.ShardOwner):
                self.hear(failure.position, failure.daemon)
            self.ownership.refused(now, not silent, silent)
            if failure is CallFault.UNAVAILABLE:
                self._succession.not_written()
            elif isinstance(failure, coordination.ShardOwner):
                self._succession.not_written()
                self.found(failure.position, failure.daemon)
            return
        hold = acquired.unwrap()
        if hold.lease.era != self._platform.eras.current:
            self.ownership.refused(now, False)
            return
        self.ownership.acquired(hold.lease, hold.position, sent_at)
        renews_from, grants_from = self.ownership.grant_times(
            now, shares_end_at
        )
        if succeeds:
            grants_from = max(grants_from, self._succession.shares_end_at)
        term = share_terms.Term(hold.position)
        self._ledger = share_ledger.ShareLedger(
            term, renews_from, grants_from, self._undivided(now)
        )
        if self.permits is not None:
            self.permits.acquired(term, renews_from)
        self._ledger.use_limits(self._limits, now)
        self.transfer_changed.set()
        if (
            self.permits is not None
            and hold.lease.era == store_era.FIRST
            and (expected is None or succeeds)
        ):
            # After a transfer the end of all shares is known.
            self.census_from = renews_from + shard_census.UNLISTED_S
            self.census_due.set()
        loguru.logger.info(
            "event=shard_owned shard={} position={} transferred={} "
            "restarted={}",
            self._shard,
            hold.position,
            expected is not None and not succeeds,
            succeeds,
        )
        if heard is None and expected is None:
            await self._find_former_owners()

    async def _find_former_owners(self) -> None:
        """Let permits be granted at once if the shard had no owner before."""
        if self.permits is None or not self._whole_history:
            return
        try:
            async with asyncio.timeout(HISTORY_S):
                first = await self._platform.read_first_owner(self._shard)
        except TimeoutError:
            return
        self.note_era()
        owner = first.value_or(None)
        if self._whole_history and owner is not None:
            self.permits.first_owner_found(share_terms.Term(owner.position))

    def _undivided(self, now: float) -> list[ids.AccountName]:
        """Return the accounts of which no share can be in use."""
        return [
            account
            for account, limit in self._limits.items()
            if not division.is_divided(limit.burst)
            and now - self._changed_at_by_account[account] >= STEADY_S
        ]

    async def _renew(self, lease: coordination.Lease) -> None:
        sent_at = self._clock.now()
        renewed = await self._platform.renew_shard(lease)
        self.note_era()
        if isinstance(renewed, result.Success):
            self.ownership.renewed(lease, sent_at)
        elif renewed.failure() in _ENDED and self._holds(lease):
            self._lose(renewed.failure().value)

    def _holds(self, lease: coordination.Lease) -> bool:
        """Return whether the shard is still owned under a lease."""
        own = self.ownership.own
        return own is not None and own.lease == lease

    def _lose(self, cause: str) -> None:
        self._ledger = None
        self.ownership.lose(self._clock.now())
        loguru.logger.warning(
            "event=shard_lost shard={} cause={!r}", self._shard, cause
        )
