"""A daemon's shares of the accounts' rates: demand, spending and expiry."""

import math
from typing import Callable
from typing import Iterable

from burdockcart import ids
from burdockcart.process.rates import share_terms
from burdockcart.process.rates import token_bucket

#: Time constant of the measured demand, in seconds: shares follow demand
#: within a second.  With 0.5 s, shares that could not change while an owner
#: was replaced were too small by chance.
DEMAND_S = 1.0
#: Age of a share from which on unsent operations are given back, in seconds;
#: longer than any operation.  An operation that was counted in an expired
#: share must not be given back to the next one.
REFUND_AGE_S = 5.0
#: Time after an answer for which reports leave a share out if no operation
#: waits for it, in seconds.  Operations of the other accounts of a shard
#: caused 80 reports a second at its owner, each with all accounts.
SETTLED_S = 0.1
#: Tells whether the store has listed this process from a time at which it sent
#: a report until now.
Covers = Callable[[float, float], bool]
#: Longest retry time in an error, in milliseconds.
MAX_RETRY_MS = 1000


def always_listed(sent_at: float, now: float) -> bool:
    """Return that shares are used whether the daemon is listed or not."""
    return True


class DemandMeter:
    """Operations per second, weighted by their age."""

    def __init__(self, now: float):
        self._per_s = 0.0
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the demand, in operations per second."""
        if now > self._at:
            self._per_s *= math.exp((self._at - now) / DEMAND_S)
            self._at = now
        return self._per_s

    def count(self, now: float) -> None:
        """Count an operation that a client wants to begin."""
        self._per_s = self.per_s(now) + 1 / DEMAND_S


class LocalShare:
    """The daemon's share of one account.

    Parameters
    ==========

    covers : callable
        See :data:`Covers`.  A share that is not covered is used for as long
        as a single token: what an owner has granted ends soon after it, so
        that the next one need not know of this daemon.

    """

    def __init__(
        self,
        account: ids.AccountName,
        now: float,
        covers: Covers = always_listed,
    ):
        self._account = account
        self._covers = covers
        #: Time at which the report was sent that the owner has answered.
        self._sent_at = -math.inf
        self._bucket = token_bucket.TokenBucket(0.0, 0.0, now)
        self._started_at = now
        self._valid_until = -math.inf
        self._term = share_terms.Term(0)
        self._serial = 0
        #: Tokens that are given up with the next report.
        self._returned = 0.0
        self._meter = DemandMeter(now)
        self._offered_at = now
        self._exhausted_until = -math.inf
        self._answered_at = -math.inf
        #: Whether the owner may not grant yet, by its last answer.
        self.early = False
        self._reserved_at = -math.inf
        #: Operations that wait for a token.
        self.waiting = 0

    def _check(self, now: float) -> None:
        """Forget the share if it has expired."""
        if self._serial and not self._usable(
            self._sent_at, self._valid_until, now
        ):
            self._drop(now)

    def _usable(self, sent_at: float, valid_until: float, now: float) -> bool:
        """Return whether a share may be used that answers a report."""
        return now < valid_until and (
            now < sent_at + share_terms.TOKEN_S or self._covers(sent_at, now)
        )

    def _drop(self, now: float) -> None:
        self._bucket = token_bucket.TokenBucket(0.0, 0.0, now)
        self._returned, self._serial = 0.0, 0
        self._valid_until = -math.inf

    def offered(self, now: float) -> None:
        """Count an operation that a client wants to begin."""
        self._meter.count(now)
        self._offered_at = now

    def idle(self, now: float) -> bool:
        """Return whether the share is to be returned."""
        idle_s = now - self._offered_at
        return self.waiting == 0 and idle_s >= share_terms.IDLE_S

    def due(self, now: float) -> bool:
        """Return whether the next report is to contain the share."""
        return (
            self.waiting > 0
            or now - self._answered_at >= SETTLED_S
            or self.idle(now)
        )

    def spend(self, now: float) -> bool:
        """Admit an operation, if there is a token."""
        if now >= self._valid_until:
            self._check(now)
        return self._bucket.spend(now)

    def refund(self, now: float) -> None:
        """Give back a token whose operation never left the daemon."""
        self._check(now)
        taken_from = max(self._started_at, self._reserved_at)
        if self._serial and now - taken_from >= REFUND_AGE_S:
            self._bucket.add(1.0, now)

    def reserved(self, now: float) -> None:
        """Note that a token of the reserve admitted an operation.

        Such tokens are not part of the share and cannot be given back to it.
        """
        self._reserved_at = now

    def exhausted_s(self, now: float) -> float:
        """Return for how long the owner said that it has nothing more."""
        return max(0.0, self._exhausted_until - now)

    def wait_s(self, now: float) -> float:
        """Return the time until there is a token, in seconds."""
        self._check(now)
        return self._bucket.wait_s(now)

    def retry_ms(self, now: float) -> int:
        """Return the time until a token may be free, in milliseconds."""
        wait_s = self.wait_s(now)
        if now < self._exhausted_until:
            wait_s = min(wait_s, self._exhausted_until - now)
        return max(1, int(min(MAX_RETRY_MS, 1000 * wait_s)))

    @property
    def valid_until(self) -> float:
        """Time at which the share expires, in seconds."""
        return self._valid_until

    @property
    def limits(self) -> tuple[float, float]:
        """Rate and burst of the share."""
        return self._bucket.rate, self._bucket.burst

    def held(
        self, position: ids.StorePosition, now: float
    ) -> tuple[float, float] | None:
        """Return rate and burst of a share of an owner before a position."""
        self._check(now)
        if not self._serial or self._term >= position:
            return None
        return self.limits

    def level(self, now: float) -> float:
        """Return the number of tokens, with those that are to be returned."""
        self._check(now)
        return self._bucket.level(now) + self._returned

    def demand(self, now: float) -> share_terms.Demand:
        """Return what to report; an idle share is given up."""
        self._check(now)
        idle = self.idle(now)
        reported = share_terms.Demand(
            self._account,
            self._term,
            self._serial,
            0.0 if idle else self._demand_per_s(now),
            self.waiting,
            self._returned + (self._bucket.level(now) if idle else 0.0),
            self._bucket.rate,
            self._bucket.burst,
        )
        self._returned = 0.0
        if idle:
            self._drop(now)
        return reported

    def _demand_per_s(self, now: float) -> float:
        """Return the demand to report while the account is active."""
        if not self._covers(now, now):
            # Only tokens for operations that wait: those of a share would be
            # lost after TOKEN_S.
            return share_terms.TOKENS_ONLY
        return max(self._meter.per_s(now), 2 * share_terms.TOKENS_ONLY)

    def apply(
        self,
        share: share_terms.Share,
        term: share_terms.Term,
        valid_until: float,
        now: float,
        sent_at: float = -math.inf,
    ) -> None:
        """Use the share in the answer to the last report.

        Parameters
        ==========

        valid_until, sent_at : float
            Time at which the share expires, and at which the report was sent,
            in seconds.

        """
        self._check(now)
        self._answered_at = now
        self.early = share.early
        if share.next_ms:
            self._exhausted_until = now + share.next_ms / 1000
        else:
            self._exhausted_until = -math.inf
        if not self._usable(sent_at, valid_until, now):
            return
        if share.renews:
            if not self._serial:
                # What it continues may have been granted to another daemon.
                return
        elif not self._serial or self._term != term:
            self._drop(now)
            self._started_at = now
        level = self._bucket.take(self._bucket.burst, now) + share.tokens
        self._bucket.set_limits(share.rate, share.burst, now)
        self._bucket.add(level, now)
        self._returned += max(0.0, level - share.burst)
        self._term, self._serial = term, share.serial
        self._sent_at, self._valid_until = sent_at, valid_until


class LocalShares:
    """The daemon's shares of all accounts that are active on it.

    Parameters
    ==========

    covers : callable
        See :class:`LocalShare`.

    """

    def __init__(self, covers: Covers = always_listed) -> None:
        self._covers = covers
        self._by_shard: dict[
            share_terms.Shard, dict[ids.AccountName, LocalShare]
        ] = {share_terms.Shard(n): {} for n in range(share_terms.SHARDS)}
        #: Owners before these are known to have ended.
        self._least_term = {
            shard: share_terms.Term(-1) for shard in self._by_shard
        }
        #: The same shares; the shard of an account is a digest, which takes
        #: longer than the rest of an operation.
        self._by_account: dict[ids.AccountName, LocalShare] = {}
        #: Number of reports; a later one makes the answers to earlier ones
        #: void.
        self._sequence = 0

    def share(self, account: ids.AccountName, now: float) -> LocalShare:
        """Return the share of an account."""
        found = self._by_account.get(account)
        if found is None:
            found = LocalShare(account, now, self._covers)
            self._by_account[account] = found
            self._by_shard[share_terms.shard_of(account)][account] = found
        return found

    def known(self, account: ids.AccountName) -> LocalShare | None:
        """Return the share of an account that is active, if any."""
        return self._by_account.get(account)

    def active(self, shard: share_terms.Shard) -> bool:
        """Return whether there is anything to report."""
        return bool(self._by_shard[shard])

    def valid_until(self, shard: share_terms.Shard) -> float:
        """Return the latest time at which a share expires, in seconds."""
        shares = self._by_shard[shard].values()
        return max((each.valid_until for each in shares), default=-math.inf)

    def granted_rates(self, now: float) -> dict[ids.AccountName, float]:
        """Return the rates of all shares that are valid."""
        return {
            account: each.limits[0]
            for by_account in self._by_shard.values()
            for account, each in by_account.items()
            if now < each.valid_until
        }

    def held(
        self,
        shard: share_terms.Shard,
        position: ids.StorePosition,
        now: float,
    ) -> list[tuple[ids.AccountName, float, float]]:
        """Return the shares of owners before that of a position.

        From now on no share of such an owner is accepted.
        """
        self._least_term[shard] = max(
            self._least_term[shard], share_terms.Term(position)
        )
        return [
            (account, *limits)
            for account, each in self._by_shard[shard].items()
            if (limits := each.held(position, now)) is not None
        ]

    def accepts(
        self, shard: share_terms.Shard, term: share_terms.Term
    ) -> bool:
        """Return whether shares of an owner may still be accepted."""
        return term >= self._least_term[shard]

    def next_sequence(self) -> int:
        """Return the number of the next report."""
        self._sequence += 1
        return self._sequence

    def report(
        self, shard: share_terms.Shard, now: float
    ) -> list[share_terms.Demand]:
        """Return what to report; shares without demand are given up.

        The ledger of each account is independent of the others, so a report
        may leave some out.  One that was not answered is repeated.
        """
        by_account = self._by_shard[shard]
        idle = [
            account for account, each in by_account.items() if each.idle(now)
        ]
        demands = [
            each.demand(now) for each in by_account.values() if each.due(now)
        ]
        for account in idle:
            del by_account[account], self._by_account[account]
        return demands

    def apply(
        self,
        shard: share_terms.Shard,
        shares: Iterable[share_terms.Share],
        term: share_terms.Term,
        sent_at: float,
        valid_ms: int,
        now: float,
    ) -> None:
        """Use the shares in the answer to the last report.

        Parameters
        ==========

        sent_at : float
            Time at which the report was sent, in seconds.
        valid_ms : int
            Time for which they are valid after that, in milliseconds.

        """
        by_account = self._by_shard[shard]
        if not self.accepts(shard, term):
            return
        for share in shares:
            local = by_account.get(share.account)
            if local is not None:
                ms = min(valid_ms, share.valid_ms or valid_ms)
                local.apply(share, term, sent_at + ms / 1000, now, sent_at)
