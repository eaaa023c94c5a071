"""A daemon's part in the reserve of a shard: its permit, and who has one."""

from typing import Mapping

import loguru

from burdockcart import ids
from burdockcart.process.rates import local_permit
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import shard_order
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates import share_terms

Limits = Mapping[ids.AccountName, share_ledger.Limit]


class PermitHolder:
    """The permit of one daemon, and the daemons that it knows to have one."""

    def __init__(
        self,
        shard: share_terms.Shard,
        daemon: ids.DaemonId,
        policy: reserve_policy.ReservePolicy,
        order: shard_order.ShardOrder,
        covers: local_shares.Covers = local_shares.always_listed,
    ):
        self._shard = shard
        self._daemon = daemon
        self._order = order
        self._permit = local_permit.LocalPermit(policy, covers)
        self._limits: Limits = {}
        self._named: list[ids.DaemonId] = []
        #: Permit that was logged as acquired.
        self._logged: int | None = None
        #: Whether the daemon shuts down.
        self.leaving = False

    def use_limits(self, limits: Limits) -> None:
        """Use the limits of a manifest."""
        self._limits = limits

    def claim(self, now: float) -> permit_terms.PermitClaim | None:
        """Return what to report; None while the daemon shuts down."""
        return None if self.leaving else self._permit.claim(now)

    def held(self, now: float) -> int | None:
        """Return the permit to name to a new owner that asks for it."""
        return self._permit.held(now)

    def answered(
        self, answer: share_terms.Answer, sent_at: float, now: float
    ) -> None:
        """Use the owner's answer to the last report."""
        self._named = answer.permitted
        if answer.permit is not None:
            self._permit.apply(answer.permit, sent_at, now)
        self.check(now)

    def check(self, now: float) -> None:
        """Log that the permit was acquired or lost since the last call."""
        index = self._permit.index if self._permit.valid(now) else None
        if index == self._logged:
            return
        if index is None:
            loguru.logger.warning(
                "event=permit_lost shard={} index={}",
                self._shard,
                self._logged,
            )
        else:
            loguru.logger.info(
                "event=permit_acquired shard={} index={}", self._shard, index
            )
        self._logged = index

    def reports_idle(self, owner: ids.DaemonId | None, now: float) -> bool:
        """Return whether to report without demand, to get or keep a permit."""
        if self.leaving or not self._limits:
            return False
        return self._permit.valid(now) or (
            self._daemon in self.preferred(owner)
        )

    def preferred(self, owner: ids.DaemonId | None) -> list[ids.DaemonId]:
        """Return the daemons that should have the permits under an owner."""
        return self._order.preferred(owner)

    def issue(self, account: ids.AccountName, wanted: int, now: float) -> int:
        """Issue up to a number of tokens of an account; return how many."""
        limit = self._limits.get(account)
        if limit is None or share_terms.shard_of(account) != self._shard:
            return 0
        return self._permit.issue(account, wanted, limit, now)

    def permitted(self, now: float) -> bool:
        """Return whether this daemon has a permit."""
        return self._permit.valid(now)

    def others(self, owner: ids.DaemonId | None) -> list[ids.DaemonId]:
        """Return the other daemons that have a permit, or may have one."""
        named = self._named or self.preferred(owner)
        return [each for each in named if each != self._daemon]
