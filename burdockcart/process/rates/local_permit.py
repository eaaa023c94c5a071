"""A daemon's permit of a shard: its validity and the tokens it issues."""

import collections
import math

from burdockcart import ids
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import share_ledger


class LocalPermit:
    """The permit of one process; all times are of the boot clock.

    Explanation
    ===========

    The times of issued tokens outlive the permit: the process may get it, or
    the other one, again within the window.

    Parameters
    ==========

    covers : callable
        See :data:`local_shares.Covers`.  A permit that is not covered is not
        used: an owner that does not know it could grant it again.

    """

    def __init__(
        self,
        policy: reserve_policy.ReservePolicy,
        covers: local_shares.Covers = local_shares.always_listed,
    ):
        self._policy = policy
        self._covers = covers
        #: Time at which the report was sent that the owner has answered.
        self._sent_at = -math.inf
        self._index: int | None = None
        self._until = -math.inf
        self._issued_by_account: dict[
            ids.AccountName, collections.deque[float]
        ] = {}

    @property
    def index(self) -> int | None:
        """The permit that it got last."""
        return self._index

    def valid(self, now: float) -> bool:
        """Return whether it may issue tokens."""
        return now < self._until and self._covers(self._sent_at, now)

    def held(self, now: float) -> int | None:
        """Return the index of the permit; give it up if it is not valid.

        A permit that is not covered now could be covered again later.
        """
        if not self.valid(now):
            self._until = -math.inf
            return None
        return self._index

    def claim(self, now: float) -> permit_terms.PermitClaim:
        """Return what to report."""
        return permit_terms.PermitClaim(
            self._index if self.valid(now) else None
        )

    def apply(
        self, grant: permit_terms.PermitGrant, sent_at: float, now: float
    ) -> None:
        """Use the permit in the answer to the last report.

        Parameters
        ==========

        sent_at : float
            Time at which the report was sent, in seconds.

        """
        until = sent_at + grant.valid_ms / 1000
        held = self.valid(now) and self._index == grant.index
        if now >= until or (grant.renews and not held):
            # What it continues may have been granted to another daemon.
            return
        self._index, self._until = grant.index, until
        self._sent_at = sent_at

    def issue(
        self,
        account: ids.AccountName,
        wanted: int,
        limit: share_ledger.Limit,
        now: float,
    ) -> int:
        """Issue up to a number of tokens of an account; return how many."""
        if not self.valid(now):
            return 0
        issued = self._issued_by_account.setdefault(
            account, collections.deque()
        )
        while issued and issued[0] < now - self._policy.issue_window_s:
            issued.popleft()
        free = self._policy.permit_size(limit) - len(issued)
        count = max(0, min(wanted, free))
        issued.extend([now] * count)
        return count
