"""Counts the operations of accounts against their rates over all daemons."""

import asyncio
import random
import secrets
from typing import Awaitable
from typing import Callable
from typing import Mapping

from burdockcart import clock
from burdockcart import errors
from burdockcart import event_wait
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import census_requests
from burdockcart.process.rates import census_terms
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import rate_metrics
from burdockcart.process.rates import rate_reserve
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import reserve_requests
from burdockcart.process.rates import shard_keeper
from burdockcart.process.rates import shard_offers
from burdockcart.process.rates import shard_order
from burdockcart.process.rates import shard_reports
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates import share_terms
from burdockcart.version import manifest

#: Least and largest factor of the retry time in an error: callers that were
#: refused together should not return together.
JITTER = (1.0, 2.0)


class AccountRates:
    """The rates of all accounts, as one daemon takes part in them.

    Explanation
    ===========

    Nothing runs before a manifest has an account with a rate.  A shard
    without active accounts causes no messages; its owner renews its lease.

    Parameters
    ==========

    daemons : callable
        Returns the entries of the registered daemons.
    first_start : bool
        Whether the whole deployment starts for the first time.
    policy : ReservePolicy or None
        Policy of the rate reserve; None without one.
    covers : callable
        Tells whether the list of daemons has had this process since it sent a
        report; not asked without a reserve.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        carrier: shard_reports.Carrier,
        offers: shard_offers.Carrier,
        daemons: Callable[[], Mapping[ids.DaemonId, coordination.DaemonEntry]],
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        rng: random.Random,
        metrics: rate_metrics.RateMetrics,
        first_start: bool,
        policy: reserve_policy.ReservePolicy | None,
        reserve_carrier: reserve_requests.Carrier,
        covers: local_shares.Covers,
        census_carrier: census_requests.Carrier,
    ):
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._rng = rng
        self._metrics = metrics
        self._local = local_shares.LocalShares(
            local_shares.always_listed if policy is None else covers
        )
        self._limit_by_account: dict[ids.AccountName, share_ledger.Limit] = {}
        self._enabled = asyncio.Event()
        self._instance = secrets.randbits(48)
        holder = share_terms.Holder((daemon, self._instance))
        shards = [share_terms.Shard(n) for n in range(share_terms.SHARDS)]
        self._keepers = {
            shard: shard_keeper.ShardKeeper(
                shard, daemon, platform, daemons, boot_clock, first_start
            )
            for shard in shards
        }
        self._orders = {
            shard: shard_order.ShardOrder(shard, daemons) for shard in shards
        }
        self._offers = {
            shard: shard_offers.ShardOffers(
                shard,
                daemon,
                keeper,
                platform,
                offers,
                daemons,
                boot_clock,
                metrics,
            )
            for shard, keeper in self._keepers.items()
        }
        self._reports = {
            shard: shard_reports.ShardReports(
                shard,
                holder,
                self._keepers[shard],
                self._local,
                carrier,
                daemons,
                self._orders[shard],
                loop_clock,
                boot_clock,
            )
            for shard in shards
        }
        #: The rate reserve, if it is enabled.
        self.reserve: rate_reserve.RateReserve | None = None
        self._census: list[census_requests.CensusRequests] = []
        if policy is not None:
            self._census = [
                census_requests.CensusRequests(
                    shard,
                    daemon,
                    keeper,
                    platform,
                    census_carrier,
                    self._held,
                    boot_clock,
                )
                for shard, keeper in self._keepers.items()
            ]
            self.reserve = rate_reserve.RateReserve(
                daemon,
                policy,
                self._orders,
                self._keepers,
                self._reports,
                self._local,
                reserve_carrier,
                daemons,
                loop_clock,
                boot_clock,
                covers,
            )

    # What the daemon learns

    def use_manifest(self, found: manifest.Manifest) -> None:
        """Use the limits of a manifest."""
        self._limit_by_account = {
            name: share_ledger.Limit(
                # Less than one token could never admit anything.
                account.rate_per_s,
                max(1.0, account.burst),
            )
            for name, account in found.account_by_name.items()
            if account.rate_per_s is not None
        }
        for keeper in self._keepers.values():
            keeper.use_limits(self._limit_by_account)
        if self.reserve is not None:
            self.reserve.use_limits(self._limit_by_account)
        if self._limit_by_account:
            self._enabled.set()

    def use_owners(
        self,
        owner_by_shard: Mapping[int, coordination.ShardOwner],
        position: ids.StorePosition,
        complete: bool,
    ) -> None:
        """Note the owners of shards; see StoreListener.owners_changed."""
        for shard, keeper in self._keepers.items():
            owner = owner_by_shard.get(shard)
            if owner is not None:
                keeper.found(owner.position, owner.daemon)
            elif complete:
                keeper.found(position, None)
            keeper.use_daemons()

    def use_daemons(self) -> None:
        """Note that the list of daemons has changed."""
        for order in self._orders.values():
            order.use_daemons()
        if self._limit_by_account:
            for keeper in self._keepers.values():
                keeper.use_daemons()

    def note_era(self) -> None:
        """Note that the store is in another era."""
        for keeper in self._keepers.values():
            keeper.note_era()

    def leave(self) -> None:
        """Prepare to shut down: let other daemons own the shards."""
        for keeper in self._keepers.values():
            keeper.leave()
        if self.reserve is not None:
            self.reserve.leave()

    def reported(
        self, daemon: ids.DaemonId, report: share_terms.Report
    ) -> share_terms.Answer:
        """Answer the report of another daemon."""
        keeper = self._keepers.get(report.shard)
        if keeper is None:
            return share_terms.Answer(None, ids.StorePosition(-1))
        holder = share_terms.Holder((daemon, report.instance))
        return keeper.answer(holder, report)

    async def offered(self, offer: share_terms.Offer) -> bool:
        """Answer an owner that offers its shard; see ShardOffers."""
        offers = self._offers.get(offer.shard)
        return offers is not None and await offers.offered(offer)

    def held(
        self, shard: share_terms.Shard, position: ids.StorePosition
    ) -> census_terms.Held | None:
        """Answer a new owner that asks what this process holds.

        None without a reserve: then shares outlive the registration.
        """
        if self.reserve is None or shard not in self._keepers:
            return None
        return self._held(shard, position)

    def _held(
        self, shard: share_terms.Shard, position: ids.StorePosition
    ) -> census_terms.Held:
        now = self._boot_clock.now()
        permit = None if self.reserve is None else self.reserve.held(shard)
        return census_terms.Held(
            self._instance, self._local.held(shard, position, now), permit
        )

    async def run(self) -> None:
        """Own shards and report demand until cancelled."""
        await self._enabled.wait()
        async with asyncio.TaskGroup() as group:
            for keeper in self._keepers.values():
                group.create_task(_unending(keeper.run), name="shard_keeper")
            for offers in self._offers.values():
                group.create_task(_unending(offers.run), name="shard_offers")
            for census in self._census:
                group.create_task(_unending(census.run), name="shard_census")
            for reports in self._reports.values():
                group.create_task(_unending(reports.run), name="shard_reports")
            if self.reserve is not None:
                group.create_task(_unending(self.reserve.run), name="reserve")

    # Operations

    async def begin_operation(
        self, account: ids.AccountName, limit_s: float
    ) -> errors.Failure | None:
        """Count an operation of an account; return why it may not run.

        Parameters
        ==========

        limit_s : float
            Longest time to wait for a token, in seconds.

        """
        if account not in self._limit_by_account:
            return None
        now = self._boot_clock.now()
        share = self._local.share(account, now)
        share.offered(now)
        if share.spend(now) or await self._wait(account, share, limit_s):
            self._metrics.count(account, "used")
            return None
        return self._refused(account, share)

    async def _wait(
        self,
        account: ids.AccountName,
        share: local_shares.LocalShare,
        limit_s: float,
    ) -> bool:
        """Wait for a token; return whether there was one.

        While the owner has none, one operation may wait for the next token.
        """
        reports = self._reports[share_terms.shard_of(account)]
        until = self._clock.now() + limit_s
        share.waiting += 1
        try:
            while (left_s := until - self._clock.now()) > 0:
                now = self._boot_clock.now()
                if share.spend(now):
                    return True
                reserved, again_s = self._reserved(account, share)
                if reserved:
                    return True
                exhausted_s = share.exhausted_s(now)
                if exhausted_s > 0:
                    no_token = share.waiting > 1 or exhausted_s >= left_s
                    if no_token and again_s is None:
                        return False
                else:
                    reports.ask()
                    exhausted_s = left_s
                await event_wait.until_set(
                    reports.answered,
                    min(
                        left_s,
                        exhausted_s,
                        left_s if again_s is None else again_s,
                        share.wait_s(now),
                    ),
                )
            return share.spend(self._boot_clock.now())
        finally:
            share.waiting -= 1

    def _reserved(
        self, account: ids.AccountName, share: local_shares.LocalShare
    ) -> tuple[bool, float | None]:
        """Return whether the reserve admits an operation.

        Also returns when to look again, in seconds; None if it has no token.
        """
        if self.reserve is None:
            return False, None
        if not self.reserve.applies(account, share):
            if share.exhausted_s(self._boot_clock.now()) > 0:
                return False, None
            return False, self.reserve.applies_in_s(account)
        if self.reserve.spend(account, share):
            self._metrics.count_reserved(account)
            return True, None
        if self.reserve.empty(account):
            return False, None
        return False, reserve_requests.NEXT_S

    def _refused(
        self, account: ids.AccountName, share: local_shares.LocalShare
    ) -> errors.Failure:
        now = self._boot_clock.now()
        over = share.exhausted_s(now) > 0 and not share.early
        self._metrics.count(account, "over_rate" if over else "below_rate")
        retry_ms = share.retry_ms(now) * self._rng.uniform(*JITTER)
        text = (
            f"account {account!r} is over its rate"
            if over
            else f"no share of the rate of account {account!r} is available"
        )
        return errors.Failure(
            errors.ErrorKind.RATE_LIMITED, text, int(retry_ms) + 1
        )

    def operation_unsent(self, account: ids.AccountName) -> None:
        """Give back an operation that never left the daemon."""
        share = self._local.known(account)
        if share is not None:
            share.refund(self._boot_clock.now())
            self._metrics.count(account, "unsent")

    def measure(self) -> None:
        """Update the gauges."""
        self._metrics.set_granted(
            self._local.granted_rates(self._boot_clock.now())
        )


async def _unending(run: Callable[[], Awaitable[None]]) -> None:
    """Run a loop; fail if something that it waits for was cancelled.

    A task group takes a cancelled task for one that has ended as it should.
    """
    try:
        await run()
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise RuntimeError("a loop was cancelled") from error
