"""CPU time of a statement with a key and a rate, compared with none.

Explanation
===========

Four deployments of two daemons run at once on loopback: one without accounts,
one with accounts without a rate, one with accounts whose rate is divided among
the daemons, and one with accounts whose burst is too small for that, so that
the owner of the shard grants each token.  They take turns in short rounds,
since the speed of a shared machine changes; a value is the median of the
ratios of the rounds.

"""

import argparse
import asyncio
import contextlib
import dataclasses
import enum
import pathlib
import random
import statistics
import sys
import tempfile
from typing import Any
from typing import AsyncIterator
from typing import Iterator
from typing import Mapping

from burdockcart.measure import line
from burdockcart.platform.standin import account_book
from burdockcart.platform.standin import account_play
from burdockcart.platform.standin import daemons
from burdockcart.platform.standin import site as sites
from burdockcart.platform.standin import site_start
from burdockcart.soak import account_history
from burdockcart.soak import history as histories

#: Required: below 5 % more with a key and a rate.
BOUND = 1.05
DAEMONS = 2
#: Sessions of accounts of their own, all with one daemon, so that owners of
#: some shards are remote.
SESSIONS = 16
CONCURRENCY = 4
STATEMENTS, WARM_UP, ROUNDS = 800, 1200, 7
CONNECTIONS = 64
#: Least share of the statements that must not be rejected.  On a machine with
#: three processes for each core a few are, and cost less than others.
LEAST_RUN = 0.98
#: Pause of a session after a rejection, in seconds.
REJECTED_PAUSE_S = 0.05
START_TIMEOUT_S = 30.0
#: Time until the first shares have been granted, in seconds.
SETTLED_S = 6.0
#: Time after which accounts are idle and have returned their shares, in
#: seconds.
UNUSED_S = 3.0
#: Time in which the CPU time without statements is measured, in seconds.
IDLE_S = 3.0
GRACE_S = 2.0
#: No session comes near this rate.
RATE_PER_S = 1000.0
#: Accounts with a smaller burst than 8 are never divided.
SMALL_BURST = 7.0


class Variant(enum.Enum):
    """Accounts of a deployment."""

    NONE = "none"
    UNLIMITED = "unlimited"
    DIVIDED = "divided"
    SMALL = "small"


#: Variants with accounts: rate, None for no limit, and burst.
_LIMIT_BY_VARIANT: Mapping[Variant, tuple[float | None, float]] = {
    Variant.UNLIMITED: (None, 0.0),
    Variant.DIVIDED: (RATE_PER_S, RATE_PER_S),
    Variant.SMALL: (RATE_PER_S, SMALL_BURST),
}


@dataclasses.dataclass
class _Account(account_book.Account):
    """Account with a limit that may be missing, or a burst of its own."""

    limit: tuple[float | None, float] = (None, 0.0)

    def state(self) -> account_history.AccountState:
        """Return what the manifest holds."""
        return account_history.AccountState(
            self.name, frozenset(self.keys), *self.limit
        )


class _Book(account_book.AccountBook):
    """Accounts of which some have no rate."""

    def tenants(self) -> list[dict[str, Any]]:
        """Return the field ``tenants`` of the manifest."""
        return [
            {key: value for key, value in each.items() if value is not None}
            for each in super().tenants()
        ]


class _Session:
    """Connection of a client that sends one read at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer

    async def open(self, key: str) -> None:
        """Send STARTUP; raise RuntimeError if it is refused."""
        await self._exchange(f"STARTUP {sites.ROUTES[0].database} {key}")

    async def read(self, number: int) -> bool:
        """Return whether a read was run; raise RuntimeError if it failed."""
        return await self._exchange(f"QUERY q{number} READ i1")

    async def _exchange(self, text: str) -> bool:
        """Return whether an answer was not BUSY."""
        self._writer.write(f"{text}\r\n".encode())
        run = True
        while True:
            answer = await self._reader.readline()
            if answer.startswith(b"READY"):
                return run
            run = not answer.startswith(b"ERROR BUSY")
            if run and (answer.startswith(b"ERROR") or not answer):
                raise RuntimeError(f"{text!r} was answered with {answer!r}")

    def close(self) -> None:
        """End the session."""
        self._writer.close()


class _Deployment:
    """Two daemons before stand-ins, and sessions with the first one."""

    def __init__(self, started: list[daemons.Daemon]):
        self._daemons = started
        self._sessions: list[_Session] = []
        self._idle = 0.0

    async def open(self, keys: list[str]) -> None:
        """Open a session for each key and send the first statements."""
        host, port = self._daemons[0].host, daemons.CLIENT_PORT
        for key in keys:
            session = _Session(*await asyncio.open_connection(host, port))
            self._sessions.append(session)
            await session.open(key)
        await self._send(WARM_UP)

    def close(self) -> None:
        """End the sessions."""
        for session in self._sessions:
            session.close()

    async def measure_idle(self) -> None:
        """Measure the CPU time of daemons whose accounts are idle."""
        await asyncio.sleep(UNUSED_S)
        spent_s = self._cpu_s()
        await asyncio.sleep(IDLE_S)
        self._idle = (self._cpu_s() - spent_s) / IDLE_S

    async def cost_s(self) -> float:
        """Return the CPU time of a statement in all daemons."""
        loop = asyncio.get_running_loop()
        began_at, spent_s = loop.time(), self._cpu_s()
        run = await self._send(STATEMENTS)
        lasted_s, spent_s = loop.time() - began_at, self._cpu_s() - spent_s
        if run < LEAST_RUN * STATEMENTS:
            raise RuntimeError(f"{run} of {STATEMENTS} statements were run")
        return (spent_s - self._idle * lasted_s) / run

    def _cpu_s(self) -> float:
        """Return the CPU time of the daemons, in seconds.

        The scheduler's counter has a resolution of nanoseconds, that of
        process times is 10 ms.
        """
        paths = (
            path
            for each in self._daemons
            for path in pathlib.Path(f"/proc/{each.pid}/task").iterdir()
        )
        return sum(
            int((path / "schedstat").read_text().split()[0]) / 1e9
            for path in paths
        )

    async def _send(self, count: int) -> int:
        """Send reads with a fixed concurrency, by the sessions in turn.

        Returns how many of them were run.
        """
        numbers, run = iter(range(count)), 0

        async def worker(own: list[_Session]) -> None:
            nonlocal run
            for number in numbers:
                if await own[number % len(own)].read(number):
                    run += 1
                else:
                    await asyncio.sleep(REJECTED_PAUSE_S)

        await asyncio.gather(
            *(
                worker(self._sessions[place::CONCURRENCY])
                for place in range(CONCURRENCY)
            )
        )
        return run


def _accounts(variant: Variant, seed: int) -> account_book.AccountBook | None:
    """Return the accounts of a deployment; None without accounts."""
    limit = _LIMIT_BY_VARIANT.get(variant)
    if limit is None:
        return None
    book = _Book(random.Random(seed), account_history.AccountRecord())
    book.accounts = [
        _Account(
            name=f"tenant-{place}",
            priority=0,
            usual_per_s=RATE_PER_S,
            rate_per_s=RATE_PER_S,
            keys=[book.new_key()],
            limit=limit,
        )
        for place in range(SESSIONS)
    ]
    return book


def _no_owners(_host: str, _port: int) -> dict[int, str]:
    return {}


async def _start_site(book: account_book.AccountBook | None) -> sites.Site:
    """Start stand-ins on free loopback addresses."""
    return await site_start.start_on_free_addresses(
        lambda prefix: sites.Site(
            prefix,
            histories.History(),
            lambda *_args, **_fields: None,
            CONNECTIONS,
            _no_owners,
            book,
        )
    )


def _started(
    prefix: str, folder: pathlib.Path, settings: str
) -> Iterator[daemons.Daemon]:
    for place in range(DAEMONS):
        yield daemons.Daemon(
            f"d{place}",
            sites.ZONES[place],
            f"{prefix}.{place + 1}",
            f"{prefix}.250:{sites.STORE_PORT}",
            folder,
            GRACE_S,
            sites.DRAIN_S,
            histories.History(),
            settings,
        )


@contextlib.asynccontextmanager
async def _running(variant: Variant, seed: int) -> AsyncIterator[_Deployment]:
    """Run a deployment until the context ends."""
    book = _accounts(variant, seed)
    site = await _start_site(book)
    with tempfile.TemporaryDirectory() as folder:
        settings = "" if book is None else account_play.SETTINGS
        started = list(_started(site.prefix, pathlib.Path(folder), settings))
        work = [site.run()]
        work += [each.run() for each in started]
        work += [each.watch_ready() for each in started]
        tasks = [asyncio.create_task(each) for each in work]
        found = _Deployment(started)
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not all(each.ready for each in started):
                    await asyncio.sleep(0.1)
            await asyncio.sleep(SETTLED_S)
            if book is None:
                keys = [f"u{place}" for place in range(SESSIONS)]
            else:
                keys = [each.keys[0] for each in book.accounts]
            await found.open(keys)
            yield found
        finally:
            found.close()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*(each.stop() for each in started))
            site.stop()


async def _run(seed: int) -> Mapping[Variant, list[float]]:
    """Return the CPU time of a statement in each round, in seconds."""
    costs_by_variant: dict[Variant, list[float]] = {e: [] for e in Variant}
    async with contextlib.AsyncExitStack() as stack:
        deployment_by_variant = {
            variant: await stack.enter_async_context(_running(variant, seed))
            for variant in Variant
        }
        await asyncio.gather(
            *(each.measure_idle() for each in deployment_by_variant.values())
        )
        rng = random.Random(seed)
        for _ in range(ROUNDS):
            for variant in rng.sample(list(Variant), len(Variant)):
                cost_s = await deployment_by_variant[variant].cost_s()
                costs_by_variant[variant].append(cost_s)
    return costs_by_variant


def measure(seed: int) -> list[line.Line]:
    """Return ``account_cost`` of unlimited, divided and small accounts.

    Accounts without a rate have no bound.
    """
    costs_by_variant = asyncio.run(_run(seed))
    bare = costs_by_variant[Variant.NONE]
    lines = []
    for variant, (rate_per_s, _) in _LIMIT_BY_VARIANT.items():
        bound = None if rate_per_s is None else BOUND
        costs = costs_by_variant[variant]
        ratios = [cost / other for cost, other in zip(costs, bare)]
        value = statistics.median(ratios)
        lines.append(
            line.Line(
                "account_cost",
                "standin",
                value,
                bound,
                bound is None or value < bound,
                seed,
                extra={
                    "accounts": variant.value,
                    "least": f"{min(ratios):.3f}",
                    "most": f"{max(ratios):.3f}",
                    "statement_us": f"{statistics.median(costs) * 1e6:.0f}",
                    "without_us": f"{statistics.median(bare) * 1e6:.0f}",
                    "rounds": ROUNDS,
                },
            )
        )
    return lines


def main() -> int:
    """Print the measure; return 1 if a bound does not hold."""
    parser = argparse.ArgumentParser(
        prog="python -m burdockcart.platform.standin.account_cost",
        description="Measure the CPU time of a statement with a key and a "
        "rate against one without accounts.",
    )
    parser.add_argument("--seed", type=int, default=1)
    lines = measure(parser.parse_args().seed)
    for each in lines:
        print(each, flush=True)
    return 0 if all(each.holds for each in lines) else 1


if __name__ == "__main__":
    sys.exit(main())
