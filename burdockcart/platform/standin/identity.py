"""Who a client of the soak is, and how often it sends."""

import asyncio
import itertools
import random
from typing import Callable
from typing import Iterator
from typing import Protocol

from burdockcart.platform.standin import account_book

#: Mean pause before a client connects again, in seconds.
RECONNECT_PAUSE_S = 0.02
#: The same for clients that may have been refused.
REFUSED_PAUSE_S = 0.3
#: Mean pause between the operations of clients with a bad key, in seconds.
BAD_PAUSE_S = 0.5
#: Operations that are late by more than this are not made up for.
MOST_LATE_S = 1.0
#: Shortest pause, in seconds.
LEAST_PAUSE_S = 0.001
#: Probability that a client whose key was removed takes another one.
SWITCH = 0.3


class Identity(Protocol):
    """Second field of STARTUP, and pauses in seconds."""

    def key(self, session: int) -> str:
        """Return the second field of a session's STARTUP."""

    def reconnect_pause_s(self) -> float:
        """Return how long to wait before a session."""

    def pause_s(self) -> float:
        """Return how long to wait after an operation."""


class Anybody:
    """Client without an account, whose name is that of its session.

    Parameters
    ==========

    mean_s : float
        Mean pause between operations.

    """

    def __init__(self, rng: random.Random, mean_s: float):
        self._rng = rng
        self._mean_s = mean_s

    def key(self, session: int) -> str:
        """Return a name."""
        return f"u{session}"

    def reconnect_pause_s(self) -> float:
        """Return a short pause."""
        return self._rng.expovariate(1 / RECONNECT_PAUSE_S)

    def pause_s(self) -> float:
        """Return a random pause."""
        return self._rng.expovariate(1 / self._mean_s)


class FixedKey:
    """Client that comes with the same key again and again."""

    def __init__(self, rng: random.Random, key: str):
        self._rng = rng
        self._key = key

    def key(self, session: int) -> str:
        """Return the key."""
        return self._key

    def reconnect_pause_s(self) -> float:
        """Return a pause that does not flood the daemons."""
        return self._rng.expovariate(1 / REFUSED_PAUSE_S)

    def pause_s(self) -> float:
        """Return a random pause."""
        return self._rng.expovariate(1 / BAD_PAUSE_S)


class Customer:
    """Client of an account, which offers a share of its demand.

    Explanation
    ===========

    Operations are due at random times that do not depend on how long the
    earlier ones took, so that slow answers do not lower the demand.

    Parameters
    ==========

    share : float
        Share of the account's demand.
    place : int
        Which of the keys it uses first.

    """

    def __init__(
        self,
        rng: random.Random,
        account: account_book.Account,
        share: float,
        place: int,
    ):
        self._rng = rng
        self._account = account
        self._share = share
        self._key = account.keys[place % len(account.keys)]
        self._due = 0.0

    def key(self, session: int) -> str:
        """Return the last key; another one at times if it was removed."""
        keys = self._account.keys
        if self._key not in keys and keys and self._rng.random() < SWITCH:
            self._key = self._rng.choice(keys)
        return self._key

    def reconnect_pause_s(self) -> float:
        """Return a short pause; a longer one if the key was removed."""
        held = self._key in self._account.keys
        mean_s = RECONNECT_PAUSE_S if held else REFUSED_PAUSE_S
        return self._rng.expovariate(1 / mean_s)

    def pause_s(self) -> float:
        """Return the time until the next operation is due."""
        now = asyncio.get_running_loop().time()
        account = self._account
        rate_per_s = account.usual_per_s * account.heat * self._share
        self._due = max(self._due, now - MOST_LATE_S)
        self._due += self._rng.expovariate(rate_per_s)
        return max(self._due - now, LEAST_PAUSE_S)


def customers(
    book: account_book.AccountBook, rngs: Callable[[], random.Random]
) -> Iterator[Identity]:
    """Return one client for each key, and more for those that send more."""
    for account in book.accounts:
        more = int(account.usual_per_s / 2)
        count = account_book.KEYS_PER_ACCOUNT + more
        for place in range(count):
            yield Customer(rngs(), account, 1 / count, place)


def strangers(
    book: account_book.AccountBook, rngs: Callable[[], random.Random]
) -> Iterator[Identity]:
    """Return clients with a removed key, and with keys that never were."""
    real = book.accounts[0].keys[0]
    bad = [book.retired, book.new_key(), real[:-1], real + "0", ""]
    return itertools.starmap(FixedKey, ((rngs(), key) for key in bad))
