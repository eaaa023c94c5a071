"""Admits operations from the reserve while a shard's owner grants nothing."""

import asyncio
from typing import Mapping

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import permit_holder
from burdockcart.process.rates import permit_ledger
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import reserve_requests
from burdockcart.process.rates import shard_keeper
from burdockcart.process.rates import shard_order
from burdockcart.process.rates import shard_reports
from burdockcart.process.rates import share_terms

#: Time for which the owner leaves a report unanswered before the reserve is
#: used, in seconds; an answer usually takes a few milliseconds.
UNANSWERED_S = 0.02


class RateReserve:
    """The reserve of all shards, as one daemon takes part in it.

    Parameters
    ==========

    orders, keepers, reports : mapping
        Those of the daemon, by shard.
    covers : callable
        See :data:`local_shares.Covers`.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        policy: reserve_policy.ReservePolicy,
        orders: Mapping[share_terms.Shard, shard_order.ShardOrder],
        keepers: Mapping[share_terms.Shard, shard_keeper.ShardKeeper],
        reports: Mapping[share_terms.Shard, shard_reports.ShardReports],
        local: local_shares.LocalShares,
        carrier: reserve_requests.Carrier,
        daemons: shard_order.Daemons,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        covers: local_shares.Covers,
    ):
        self._boot_clock = boot_clock
        self._keepers = keepers
        self._reports = reports
        self._holders = {
            shard: permit_holder.PermitHolder(
                shard, daemon, policy, order, covers
            )
            for shard, order in orders.items()
        }
        self._requests = {
            shard: reserve_requests.ReserveRequests(
                shard,
                self._holders[shard],
                keepers[shard],
                reports[shard],
                local,
                carrier,
                daemons,
                loop_clock,
                boot_clock,
            )
            for shard in keepers
        }
        for shard, keeper in keepers.items():
            keeper.permits = permit_ledger.ShardPermits(
                daemon, policy, orders[shard]
            )
            reports[shard].reserve = self._holders[shard]

    def use_limits(self, limits: permit_holder.Limits) -> None:
        """Use the limits of a manifest."""
        for holder in self._holders.values():
            holder.use_limits(limits)

    def leave(self) -> None:
        """Prepare to shut down: let other daemons have the permits."""
        for holder in self._holders.values():
            holder.leaving = True

    def served(
        self, shard: share_terms.Shard, counts: permit_terms.Counts
    ) -> permit_terms.Tokens:
        """Issue tokens to another daemon."""
        holder = self._holders.get(shard)
        if holder is None:
            return permit_terms.Tokens([], False)
        now = self._boot_clock.now()
        issued = [
            (account, holder.issue(account, wanted, now))
            for account, wanted in counts
        ]
        return permit_terms.Tokens(issued, holder.permitted(now))

    def held(self, shard: share_terms.Shard) -> int | None:
        """Return this daemon's permit of a shard."""
        return self._holders[shard].held(self._boot_clock.now())

    async def run(self) -> None:
        """Report where this daemon has a permit, or should get one."""
        async with asyncio.TaskGroup() as group:
            for requests in self._requests.values():
                group.create_task(requests.run(), name="reserve_requests")
            while True:
                now = self._boot_clock.now()
                for shard, holder in self._holders.items():
                    holder.check(now)
                    owner = self._keepers[shard].ownership.owner
                    if holder.reports_idle(owner, now):
                        self._reports[shard].ask()
                await asyncio.sleep(share_terms.REPORT_S)

    # Operations

    def applies(
        self, account: ids.AccountName, share: local_shares.LocalShare
    ) -> bool:
        """Return whether the owner does not answer, or may not grant yet."""
        reports = self._reports[share_terms.shard_of(account)]
        return share.early or reports.unanswered_s() >= UNANSWERED_S

    def applies_in_s(self, account: ids.AccountName) -> float:
        """Return when to look again, unless the owner answers, in seconds."""
        reports = self._reports[share_terms.shard_of(account)]
        return max(0.001, UNANSWERED_S - reports.unanswered_s())

    def spend(
        self, account: ids.AccountName, share: local_shares.LocalShare
    ) -> bool:
        """Admit an operation, if there is a token; else ask for one."""
        requests = self._requests[share_terms.shard_of(account)]
        if requests.spend(account):
            share.reserved(self._boot_clock.now())
            return True
        requests.ask(account)
        return False

    def empty(self, account: ids.AccountName) -> bool:
        """Return whether no token is to be expected soon."""
        return self._requests[share_terms.shard_of(account)].empty(account)
