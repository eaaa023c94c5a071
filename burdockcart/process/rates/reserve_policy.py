"""Size of the rate reserve, and the times of its permits."""

import math

import msgspec

from burdockcart.process.rates import share_ledger
from burdockcart.process.rates import share_terms

#: Number of permits of a shard.
PERMITS = 2
#: Part of the excess that the reserve uses; the rest covers the delay between
#: the admission of an operation and its arrival at a member.
USED_PART = 0.75
#: Time for which a permit outlives the authority of its owner, in seconds.
PERMIT_S = 6.0
#: Time after the window of an expired permit before its index is granted to
#: another daemon, in seconds: tokens last for TOKEN_S, the rest is for clocks.
REGRANT_MARGIN_S = 0.2
#: The same for an index of a former owner, in seconds.
UNCLAIMED_MARGIN_S = 0.4

#: Time for which a daemon that reported counts as one that can get a permit,
#: in seconds: four reports.
CANDIDATE_S = 4 * share_terms.REPORT_S


class ReservePolicy(msgspec.Struct, frozen=True):
    """Operations over rate and burst that a window may have.

    Parameters
    ==========

    window_s : float
        Length of the window, in seconds.
    excess : float
        Part of rate x window + burst.
    slack : float
        Number of operations.

    Examples
    ========

    >>> from burdockcart.process.rates import reserve_policy
    >>> from burdockcart.process.rates import share_ledger
    >>> policy = reserve_policy.ReservePolicy(5.0, 0.1, 20)
    >>> limit = share_ledger.Limit(5.0, 5.0)
    >>> policy.size(limit), policy.permit_size(limit)
    (17, 8)

    """

    window_s: float
    excess: float
    slack: float

    def size(self, limit: share_ledger.Limit) -> int:
        """Return the operations of an account in any window."""
        operations = limit.rate * self.window_s + limit.burst
        return math.floor(USED_PART * (self.excess * operations + self.slack))

    def permit_size(self, limit: share_ledger.Limit) -> int:
        """Return the operations that one permit allows in its window."""
        return self.size(limit) // PERMITS

    @property
    def issue_window_s(self) -> float:
        """Window in which a daemon counts the tokens that it has issued.

        A token may be spent TOKEN_S after it was issued.
        """
        return self.window_s + share_terms.TOKEN_S

    @property
    def regrant_s(self) -> float:
        """Time after which the index of an expired permit is free."""
        return self.window_s + REGRANT_MARGIN_S

    @property
    def unclaimed_s(self) -> float:
        """Time after which no permit of a former owner counts.

        A shard that was transferred leaves permits that count from an
        authority of up to LEASE_S.
        """
        return (
            share_terms.LEASE_S + PERMIT_S + self.window_s + UNCLAIMED_MARGIN_S
        )
