"""The owner's side: which shares of an account may still be spent."""

import itertools
import math
from typing import Collection
from typing import Iterable
from typing import Mapping

import msgspec

from burdockcart import ids
from burdockcart.process.rates import division
from burdockcart.process.rates import outstanding_shares
from burdockcart.process.rates import share_terms
from burdockcart.process.rates import token_bucket

#: Time after which a daemon asks again if the owner has no rate left, in
#: milliseconds, and if other daemons are to have smaller shares soon.
EXHAUSTED_MS = 500
SHRINKING_MS = 100


class Limit(msgspec.Struct, frozen=True):
    """Rate (per second) and burst of an account over all daemons."""

    rate: float
    burst: float


class AccountLedger:
    """Shares of one account.

    Explanation
    ===========

    What no share may spend is a token bucket of the owner, the pool.  The
    rates and bursts of the pool and of all shares that may still be spent
    sum to at most the limit.  Tokens move from the pool to a daemon with a
    share, and back with the report that acknowledges a smaller one.

    Parameters
    ==========

    renews_from, grants_from : float
        Times from which on no former owner has authority, and from which on
        no share of one can be spent; between them such shares are only
        continued.

    """

    def __init__(
        self,
        limit: Limit,
        renews_from: float,
        grants_from: float,
        now: float,
    ):
        self._limit = limit
        self._renews_from = renews_from
        self._grants_from = grants_from
        self._by_holder: dict[
            share_terms.Holder, outstanding_shares.OutstandingShares
        ] = {}
        self._pool = token_bucket.TokenBucket(
            limit.rate, limit.burst, grants_from
        )
        self._pool.level(now)
        self._serial = 0

    @property
    def grants_from(self) -> float:
        """Time from which on no share of a former owner can be spent."""
        return self._grants_from

    def grant_from(self, now: float) -> None:
        """Grant from now on: no share of a former owner can be used."""
        if now < self._grants_from:
            self._grants_from = now
            self._pool = token_bucket.TokenBucket(*self._free(), now)

    def use_limit(self, limit: Limit, now: float) -> None:
        """Use another limit from now on."""
        if limit != self._limit:
            self._limit = limit
            self._settle_pool(now)

    @property
    def ends_at(self) -> float:
        """Time at which the last share expires, in seconds."""
        shares = self._by_holder.values()
        ends = itertools.chain.from_iterable(each.ends() for each in shares)
        return max(ends, default=-math.inf)

    @property
    def granted_rate(self) -> float:
        """Sum of the rates of all shares that may be spent."""
        return sum(each.rate for each in self._by_holder.values())

    @property
    def granted_burst(self) -> float:
        """Sum of the bursts of all shares that may be spent."""
        return sum(each.burst for each in self._by_holder.values())

    def pool(self, now: float) -> tuple[float, float, float]:
        """Return rate, burst and tokens of what is not granted."""
        self._expire(now)
        return *self._free(), self._pool.level(now)

    def _free(self) -> tuple[float, float]:
        return (
            max(0.0, self._limit.rate - self.granted_rate),
            max(0.0, self._limit.burst - self.granted_burst),
        )

    def _settle_pool(self, now: float) -> None:
        """Let the pool have what is not granted."""
        self._pool.set_limits(*self._free(), now)

    def _expire(self, now: float) -> None:
        """Let the pool have what has expired, from the time at which it did.

        A pool that was full would otherwise not refill until the next report.
        """
        ends = itertools.chain.from_iterable(
            each.ends() for each in self._by_holder.values()
        )
        for ended_at in sorted({each for each in ends if each <= now}):
            for each in self._by_holder.values():
                each.expire(ended_at)
            self._settle_pool(ended_at)
        for holder, each in list(self._by_holder.items()):
            if each.empty and each.demand_at + share_terms.IDLE_S <= now:
                del self._by_holder[holder]

    def answer(
        self,
        holder: share_terms.Holder,
        demand: share_terms.Demand,
        own_term: bool,
        ends_at: float,
        now: float,
    ) -> share_terms.Share:
        """Return the share of a daemon that reports its demand.

        Parameters
        ==========

        own_term : bool
            Whether the share that it holds was granted by this owner.
        ends_at : float
            Time at which the new share expires, in seconds.

        """
        self._expire(now)
        found = self._by_holder.setdefault(
            holder, outstanding_shares.OutstandingShares()
        )
        in_force = found.acknowledged(
            demand.serial if own_term else 0, demand.per_s <= 0
        )
        self._settle_pool(now)
        found.demand, found.demand_at = demand.per_s, now
        if now < self._grants_from:
            claimed = not own_term and demand.serial > 0
            if found.burst > 0 or (claimed and now >= self._renews_from):
                renewed = self._renew(found, demand, claimed, ends_at, now)
                return msgspec.structs.replace(renewed, early=True)
            return self._nothing(demand.account, now)
        if in_force:
            self._pool.add(demand.returned, now)
        return self._grant(holder, found, demand, ends_at, now)

    def _nothing(
        self, account: ids.AccountName, now: float
    ) -> share_terms.Share:
        wait_ms = math.ceil(1000 * (self._grants_from - now))
        self._serial += 1
        return share_terms.Share(
            account, self._serial, 0, 0, 0, wait_ms, early=True
        )

    def _renew(
        self,
        found: outstanding_shares.OutstandingShares,
        demand: share_terms.Demand,
        claimed: bool,
        ends_at: float,
        now: float,
    ) -> share_terms.Share:
        """Continue a share of a former owner, or one continued already."""
        rate, burst = self._free()
        return self._add(
            found,
            demand,
            min(demand.rate, found.rate + rate),
            min(demand.burst, found.burst + burst),
            0.0,
            ends_at,
            now,
            renews=claimed,
        )

    def _grant(
        self,
        holder: share_terms.Holder,
        found: outstanding_shares.OutstandingShares,
        demand: share_terms.Demand,
        ends_at: float,
        now: float,
    ) -> share_terms.Share:
        """Grant what the division gives and other shares leave."""
        active = {
            each: outstanding.demand
            for each, outstanding in self._by_holder.items()
            if outstanding.demand > share_terms.TOKENS_ONLY
            and now - outstanding.demand_at < share_terms.IDLE_S
        }
        bursts = division.divide_burst(self._limit.burst, active)
        rates = division.divide_rate(
            self._limit.rate,
            {each: active[each] for each in active if bursts[each] > 0},
        )
        free_rate, free_burst = self._free()
        target = bursts.get(holder, 0.0)
        burst = min(target, found.burst + free_burst)
        rate = min(rates.get(holder, 0.0), found.rate + free_rate)
        # A new share begins with the tokens that it is to hold, unless they
        # would leave too few for others.
        level = self._pool.level(now)
        growth = min(burst - found.burst, level / 2)
        # Parts of tokens would let several daemons have none at all.
        whole = math.floor(level + token_bucket.EPSILON)
        tokens = self._pool.take(max(growth, min(demand.wanted, whole)), now)
        return self._add(
            found,
            demand,
            rate,
            max(burst, min(tokens, found.burst + free_burst)),
            tokens,
            ends_at,
            now,
            shrinking=rate < rates.get(holder, 0.0) - token_bucket.EPSILON,
        )

    def _add(
        self,
        found: outstanding_shares.OutstandingShares,
        demand: share_terms.Demand,
        rate: float,
        burst: float,
        tokens: float,
        ends_at: float,
        now: float,
        renews: bool = False,
        shrinking: bool = False,
    ) -> share_terms.Share:
        self._serial += 1
        valid_ms = 0
        divided = division.is_divided(self._limit.burst)
        # The next owner relies on it that no share of an account that is not
        # divided outlives this one, also if it was continued.
        if not divided or (rate <= 0 and not renews):
            valid_ms = int(1000 * share_terms.TOKEN_S)
            ends_at = min(ends_at, now + share_terms.TOKEN_S)
        found.add(
            outstanding_shares.Grant(
                self._serial, rate, burst, tokens, ends_at
            )
        )
        self._settle_pool(now)
        next_ms = 0
        if demand.wanted > tokens + token_bucket.EPSILON:
            next_ms = min(
                self._next_ms(now),
                SHRINKING_MS if shrinking else EXHAUSTED_MS,
            )
        return share_terms.Share(
            demand.account,
            self._serial,
            rate,
            burst,
            tokens,
            next_ms,
            valid_ms,
            renews,
        )

    def _next_ms(self, now: float) -> int:
        wait_s = self._pool.wait_s(now)
        if math.isinf(wait_s):
            return EXHAUSTED_MS
        return max(1, min(EXHAUSTED_MS, math.ceil(1000 * wait_s)))


class ShareLedger:
    """Shares of all accounts of one shard, under one owner.

    Parameters
    ==========

    renews_from, grants_from : float
        See :class:`AccountLedger`.
    undivided : collection of AccountName
        Accounts of which a former owner has granted single tokens only.

    """

    def __init__(
        self,
        term: share_terms.Term,
        renews_from: float,
        grants_from: float,
        undivided: Collection[ids.AccountName] = (),
    ):
        self.term = term
        self._undivided = frozenset(undivided)
        self._renews_from = renews_from
        self._grants_from = grants_from
        self._limit_by_account: dict[ids.AccountName, Limit] = {}
        self._ledger_by_account: dict[ids.AccountName, AccountLedger] = {}
        self._sequence_by_holder: dict[share_terms.Holder, int] = {}
        #: Accounts of which shares of former owners may be in use, once they
        #: are known.
        self._held: Collection[ids.AccountName] | None = None

    def use_limits(
        self, limit_by_account: Mapping[ids.AccountName, Limit], now: float
    ) -> None:
        """Use the limits of a manifest.

        An account that is gone keeps its ledger: it may come back while
        shares of it are in use.
        """
        self._limit_by_account = dict(limit_by_account)
        for account, ledger in self._ledger_by_account.items():
            limit = limit_by_account.get(account)
            if limit is not None:
                ledger.use_limit(limit, now)

    def _ledger(
        self, account: ids.AccountName, now: float
    ) -> AccountLedger | None:
        ledger = self._ledger_by_account.get(account)
        limit = self._limit_by_account.get(account)
        if ledger is None and limit is not None:
            grants_from = self._grants_from
            if account in self._undivided:
                # No share outlives a former owner for the grace period.
                grants_from = self._renews_from + share_terms.TOKEN_S
            ledger = AccountLedger(limit, self._renews_from, grants_from, now)
            self._ledger_by_account[account] = ledger
            if self._held is not None and account not in self._held:
                ledger.grant_from(now)
        return ledger

    @property
    def grants_from(self) -> float:
        """Time from which on no share of a former owner is in use."""
        return self._grants_from

    def use_census(
        self, held: Collection[ids.AccountName], now: float
    ) -> None:
        """Grant other accounts than those of which daemons hold shares.

        Those are continued as before: if new ones were granted besides, as
        much as the former ones leave, daemons would have less until these
        expire.
        """
        self._held = held
        for account, ledger in self._ledger_by_account.items():
            if account not in held:
                ledger.grant_from(now)

    def answer(
        self,
        holder: share_terms.Holder,
        sequence: int,
        demands: Iterable[share_terms.Demand],
        ends_at: float,
        now: float,
    ) -> list[share_terms.Share] | None:
        """Return the shares for a report; None if it came after a later one.

        Parameters
        ==========

        sequence : int
            Number of the report; the daemon has given up all with a smaller
            one.
        ends_at : float
            Time at which the shares expire, in seconds.

        """
        if sequence <= self._sequence_by_holder.get(holder, 0):
            return None
        self._sequence_by_holder[holder] = sequence
        return [
            ledger.answer(
                holder, demand, demand.term == self.term, ends_at, now
            )
            for demand in demands
            if (ledger := self._ledger(demand.account, now)) is not None
        ]

    def shares_end_at(self) -> float:
        """Return when the last share expires, in seconds.

        Those of former owners count, too.
        """
        ledgers = self._ledger_by_account.values()
        return max([self._grants_from, *(each.ends_at for each in ledgers)])

    def pools(self, now: float) -> list[tuple[float, float, float]]:
        """Return rate, burst and tokens of all that may be granted."""
        return [
            each.pool(now)
            for each in self._ledger_by_account.values()
            if now >= each.grants_from
        ]
