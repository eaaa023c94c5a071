"""Budget and backoff of retries."""

import random

#: Retries that each new request adds to the budget.
TOKENS_PER_REQUEST = 0.1
#: Capacity of the budget: a daemon with little traffic can retry at all, and a
#: burst after a quiet time stays small.
MAX_TOKENS = 20.0
PAUSE_MIN_S = 0.02
PAUSE_MAX_S = 0.5


class RetryBudget:
    """Token bucket for retries, filled by requests.

    Examples
    ========

    >>> from burdockcart.request import retry
    >>> budget = retry.RetryBudget(tokens=0.0)
    >>> budget.spend()
    False
    >>> for _ in range(10):
    ...     budget.earn()
    >>> budget.spend(), budget.spend()
    (True, False)

    """

    def __init__(self, tokens: float = MAX_TOKENS):
        self._tokens = tokens

    def earn(self) -> None:
        """Count a new request of a caller."""
        self._tokens = min(self._tokens + TOKENS_PER_REQUEST, MAX_TOKENS)

    def spend(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        # The sum of ten times 0.1 is less than 1 by a rounding error.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        return True


def pause_s(attempt: int, source: random.Random) -> float:
    """Return the exponential backoff before a retry, with jitter.

    Parameters
    ==========

    attempt : int
        Number of the retry, from 0.

    """
    max_pause_s = min(PAUSE_MIN_S * 2**attempt, PAUSE_MAX_S)
    return source.uniform(PAUSE_MIN_S / 2, max_pause_s)
