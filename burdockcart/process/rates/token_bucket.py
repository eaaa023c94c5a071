"""A token bucket: the part of an account's rate that one process may use."""

import math

#: Tolerance for sums of floating-point numbers, in tokens.
EPSILON = 1e-9


class TokenBucket:
    """Tokens that refill at a rate up to a burst.

    Explanation
    ===========

    A change of the limits never adds tokens.  So as long as the rates and
    the bursts of several buckets sum to at most those of the account, what
    they spend together in any window is at most rate x window + burst,
    whatever moves between them.

    Parameters
    ==========

    rate : float
        Tokens per second.
    burst : float
        Most tokens that it holds.
    now : float
        Time from which on it refills, in seconds.

    Examples
    ========

    >>> from burdockcart.process.rates import token_bucket
    >>> bucket = token_bucket.TokenBucket(2.0, 3.0, now=0.0)
    >>> bucket.spend(0.4), bucket.spend(0.5), bucket.spend(0.5)
    (False, True, False)

    """

    def __init__(
        self, rate: float, burst: float, now: float, level: float = 0.0
    ):
        self.rate = rate
        self.burst = burst
        self._level = min(level, burst)
        self._at = now

    def level(self, now: float) -> float:
        """Return the number of tokens."""
        if now > self._at:
            refilled = self._level + self.rate * (now - self._at)
            self._level = min(self.burst, refilled)
            self._at = now
        return self._level

    def set_limits(self, rate: float, burst: float, now: float) -> float:
        """Use other limits; return the tokens that no longer fit."""
        level = self.level(now)
        self.rate, self.burst = rate, burst
        self._level = min(level, burst)
        return level - self._level

    def add(self, tokens: float, now: float) -> None:
        """Add tokens that another bucket has given up."""
        self._level = min(self.burst, self.level(now) + tokens)

    def take(self, tokens: float, now: float) -> float:
        """Remove up to a number of tokens; return how many."""
        taken = max(0.0, min(tokens, self.level(now)))
        self._level -= taken
        return taken

    def spend(self, now: float) -> bool:
        """Remove one token, if there is one."""
        level = self.level(now)
        if level < 1 - EPSILON:
            return False
        # A token that lacks the tolerance leaves none, not less.
        self._level = level - 1 if level > 1 else 0.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the time until there is a token, in seconds."""
        missing = 1 - self.level(now)
        if missing <= EPSILON:
            return 0.0
        if self.rate <= 0 or self.burst < 1 - EPSILON:
            return math.inf
        return missing / self.rate
