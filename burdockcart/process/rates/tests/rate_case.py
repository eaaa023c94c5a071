"""Daemons on an emulated platform whose clients send at given rates."""

import asyncio
import collections
import dataclasses
import random

import msgspec

from burdockcart.emulator import wire_platform
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.rates import share_terms
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

ACCOUNT = ids.AccountName("a")
#: Share of the latency goal (0.1 to 0.5 s) for which operations wait.
LIMIT_S = 0.05
#: Usual demand of an account, relative to its rate.
CALM = 1 / 1.6


def account(name, rate, burst=None):
    """Return an account with a rate."""
    return manifest.Account(
        name=ids.AccountName(name),
        rate_per_s=rate,
        burst=rate if burst is None else burst,
    )


def with_accounts(tables, accounts, version=None):
    """Return a manifest with accounts."""
    return msgspec.structs.replace(
        tables,
        version=version or tables.version,
        account_by_name={each.name: each for each in accounts},
    )


@dataclasses.dataclass
class Tally:
    """What became of operations."""

    sent_at: list[float] = dataclasses.field(default_factory=list)
    admitted_at: list[float] = dataclasses.field(default_factory=list)
    refused: list[tuple[float, errors.Failure]] = dataclasses.field(
        default_factory=list
    )
    longest_wait_s: float = 0.0

    @property
    def refused_share(self):
        return len(self.refused) / max(1, len(self.sent_at))

    def between(self, since, until):
        """Return sent, admitted and refused operations of a time span."""
        refused = [at for at, _ in self.refused]
        return tuple(
            sum(since <= at < until for at in each)
            for each in (self.sent_at, self.admitted_at, refused)
        )


def worst_excess(admitted_at, rate, burst):
    """Return by how much the fullest window exceeds the bound.

    A window that ends with an operation holds most of them if the bucket
    that refills at the rate is emptiest there.
    """
    worst = used = 0.0
    last = None
    for at in sorted(admitted_at):
        if last is not None:
            used = max(0.0, used - rate * (at - last))
        last = at
        used += 1
        worst = max(worst, used - burst)
    return worst


def ideal_refusals(sent_at, rate, burst):
    """Return how many operations one bucket for all daemons refuses."""
    level, last, refused = burst, None, 0
    for at in sorted(sent_at):
        if last is not None:
            level = min(burst, level + rate * (at - last))
        last = at
        if level >= 1:
            level -= 1
        else:
            refused += 1
    return refused


class RateDeployment(gateway_deployment.GatewayDeployment):
    """Daemons with accounts."""

    def __init__(self, accounts, **options):
        super().__init__(**options)
        self.platform.put_tables(
            with_accounts(self.platform.tables, accounts, 2)
        )
        self.tally = collections.defaultdict(Tally)
        self.version = 2

    def put_accounts(self, accounts):
        """Write a manifest with other accounts."""
        self.version += 1
        self.platform.put_tables(
            with_accounts(self.platform.tables, accounts, self.version)
        )

    async def settle(self, after_s=4.0):
        """Start, and wait until every shard has an owner that may grant."""
        await self.start()
        await asyncio.sleep(after_s)

    async def one(self, number, name=ACCOUNT, limit_s=LIMIT_S):
        """Begin an operation at a daemon."""
        loop = asyncio.get_running_loop()
        tally, began_at = self.tally[name], loop.time()
        tally.sent_at.append(began_at)
        failure = await self.daemons[number].rates.begin_operation(
            name, limit_s
        )
        now = loop.time()
        tally.longest_wait_s = max(tally.longest_wait_s, now - began_at)
        if failure is None:
            tally.admitted_at.append(now)
        else:
            tally.refused.append((now, failure))

    async def send(self, number, rate, for_s, seed=0, name=ACCOUNT):
        """Let clients of a daemon send operations as a Poisson process."""
        rng = random.Random(f"{seed} {number} {name}")
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        tasks = []
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            if loop.time() >= until:
                break
            tasks.append(asyncio.create_task(self.one(number, name)))
        await asyncio.gather(*tasks)

    def owner(self, name=ACCOUNT):
        """Return the number of the daemon that owns an account's shard."""
        shard = share_terms.shard_of(name)
        owner = self.platform.shards.owner(shard, self.platform.era)
        return int(owner.daemon[1:])

    def lose(self, number):
        """End a daemon's process without any farewell."""
        daemon = self.daemons[number]
        daemon.link.cut = True
        for task in daemon._tasks._tasks:
            task.cancel()
        daemon.relay.stop()

    async def restart(self, number):
        """Start a daemon that was lost again, under the same id."""
        daemon = self.daemon(number)
        daemon.clients = self.listener(daemon)
        self.daemons[number] = daemon
        await daemon.start(daemon.clients)

    def cut_off(self, number):
        """Cut a daemon off from the store and from all other daemons."""
        self.daemons[number].link.cut = True
        own = self.daemons[number].link
        assert isinstance(own, wire_platform.EmulatedPlatformClient)
        self.peers.cut |= {
            frozenset((f"d{number}", f"d{other}"))
            for other in range(len(self.daemons))
            if other != number
        }
