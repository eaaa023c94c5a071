"""Rate limit and backoff of the calls to the platform's store.

Explanation
===========

The store serves about two thousand reads and several hundred writes a second
for the whole fleet.  Each daemon keeps to its share with one token bucket for
each kind of call, and backs off after failures.  Failed calls are not retried
here; that is left to the code that makes the call.
"""

import asyncio
import dataclasses
import random
from typing import Any
from typing import Awaitable
from typing import Callable

from returns import result

from burdockcart import clock
from burdockcart.process import store_client

FIRST_BACKOFF_S = 0.1


@dataclasses.dataclass(frozen=True)
class Limit:
    """Limit of one kind of call.

    Parameters
    ==========

    fleet_rate : float
        Calls per second of all daemons together.
    rate : float
        Maximum calls per second of one daemon.
    burst : float
        Calls that one daemon may make at once.
    backoff_s : float
        Maximum wait after failures, in seconds.

    """

    fleet_rate: float
    rate: float
    burst: float
    backoff_s: float


#: The reads add up to less than the 2,000 reads/s of the store.  Only a few
#: daemons watch for changes, so they may retry often enough to apply a change
#: within 4 s after an outage; the list of hosts is a hint and may be read
#: rarely.
LIMIT_BY_CALL = {
    "hosts": Limit(800.0, 2.5, 2.0, 15.0),
    "watch": Limit(400.0, 5.0, 5.0, 1.5),
    "read": Limit(400.0, 20.0, 40.0, 4.0),
    "write": Limit(100.0, 20.0, 40.0, 4.0),
}
#: Fleet size that an operator's command assumes: few commands run at a time.
OPERATOR_FLEET_SIZE = 5

#: Answers of a healthy store, which cause no backoff.
_EXPECTED_FAULTS = (
    store_client.StoreFault.CONFLICT,
    store_client.StoreFault.MISSING,
    store_client.StoreFault.TOO_LARGE,
)


class TokenBucket:
    """Token bucket that fills at a rate, up to a burst.

    Examples
    ========

    >>> from burdockcart.process import store_budget
    >>> bucket = store_budget.TokenBucket(2.0)
    >>> [bucket.take(0.0, rate=4.0) for call in range(4)]
    [0.0, 0.0, 0.25, 0.5]

    """

    def __init__(self, burst: float):
        self._burst = burst
        self._tokens = burst
        self._updated_at: float | None = None

    def take(self, now: float, rate: float) -> float:
        """Take a token and return how long to wait for it, in seconds."""
        passed = now - (now if self._updated_at is None else self._updated_at)
        self._updated_at = now
        self._tokens = min(self._burst, self._tokens + passed * rate) - 1
        return max(0.0, -self._tokens / rate)


class Backoff:
    """Exponential backoff with jitter after consecutive failures."""

    def __init__(self, max_wait_s: float, source: random.Random):
        self._max_wait_s = max_wait_s
        self._random = source
        self._failures = 0
        self._until = 0.0

    def wait_s(self, now: float) -> float:
        """Return how long to wait before the next call, in seconds."""
        return max(0.0, self._until - now)

    def record(self, succeeded: bool, now: float) -> None:
        """Record the outcome of a call."""
        if succeeded:
            self._failures, self._until = 0, 0.0
            return
        wait = FIRST_BACKOFF_S * 2 ** min(self._failures, 20)
        # Jitter over the upper half keeps daemons that failed together from
        # retrying together.
        self._until = now + min(wait, self._max_wait_s) * (
            0.5 + self._random.random() / 2
        )
        self._failures += 1


class BudgetedStore:
    """Store client that keeps to one daemon's share of the store's rate.

    Parameters
    ==========

    fleet_size : callable
        Returns the number of daemons that share the store.
    source : random.Random
        Source of the jitter.

    """

    def __init__(
        self,
        store: store_client.Store,
        fleet_size: Callable[[], int],
        source: random.Random,
        time: clock.Clock,
    ):
        self._store = store
        self._fleet_size = fleet_size
        self._clock = time
        self.calls = 0
        self._bucket_by_call = {
            call: TokenBucket(limit.burst)
            for call, limit in LIMIT_BY_CALL.items()
        }
        self._backoff_by_call = {
            call: Backoff(limit.backoff_s, source)
            for call, limit in LIMIT_BY_CALL.items()
        }

    async def get(
        self, key: str
    ) -> result.Result[store_client.Item, store_client.StoreFault]:
        """Return the item of a key."""
        return await self._call("read", lambda: self._store.get(key))

    async def put(
        self, key: str, value: str, expected: int | None
    ) -> result.Result[store_client.Item, store_client.StoreFault]:
        """Write a key if its revision is ``expected``; 0 for a new key."""
        return await self._call(
            "write", lambda: self._store.put(key, value, expected)
        )

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> result.Result[store_client.Item, store_client.StoreFault]:
        """Wait for a revision higher than ``after``; MISSING if none."""
        return await self._call(
            "watch", lambda: self._store.watch(key, after, timeout_s)
        )

    async def list_prefix(
        self, prefix: str
    ) -> result.Result[list[store_client.Item], store_client.StoreFault]:
        """Return the items whose keys start with a prefix."""
        return await self._call(
            "read", lambda: self._store.list_prefix(prefix)
        )

    async def delete(
        self, key: str
    ) -> result.Result[None, store_client.StoreFault]:
        """Remove a key; it may be missing."""
        return await self._call("write", lambda: self._store.delete(key))

    async def hosts(
        self,
    ) -> result.Result[list[store_client.Host], store_client.StoreFault]:
        """Return the live and leaving hosts; the list may be out of date."""
        return await self._call("hosts", self._store.hosts)

    async def _call(
        self, call: str, make: Callable[[], Awaitable[Any]]
    ) -> result.Result[Any, store_client.StoreFault]:
        limit = LIMIT_BY_CALL[call]
        rate = min(limit.rate, limit.fleet_rate / max(1, self._fleet_size()))
        now = self._clock.now()
        backoff = self._backoff_by_call[call]
        wait = max(
            self._bucket_by_call[call].take(now, rate), backoff.wait_s(now)
        )
        if wait > 0:
            await asyncio.sleep(wait)
        self.calls += 1
        answer = await make()
        fault = answer.swap().value_or(None)
        succeeded = fault is None or fault in _EXPECTED_FAULTS
        backoff.record(succeeded, self._clock.now())
        return answer
