"""Model of the connections of one member, without I/O.

Explanation
===========

Load: 117 operations a second of 75 accounts on a group of three members, that
is 39 at each; demand by a Zipf distribution with exponent 1.2; statements run
for 6 to 30 ms, and opening a connection takes 12 ms of a slot.  Five holders
have the member's connections.  The numbers are random with a fixed seed, so
that a run always gives the same result.

"""

import collections
import random

import msgspec

from burdockcart.process.gateway.members import account_cache
from burdockcart.process.gateway.members import connection_share

ACCOUNTS = 75
ZIPF = 1.2
HOLDERS = 5
OPERATIONS_PER_S = 39.0
HANDSHAKE_S = 0.012
RUNNING_S = (0.006, 0.030)
#: Clients of an account; each sends to one holder if these are not chosen by
#: account.
CLIENTS = 3
#: Time that is not counted, in which connections are opened, in seconds.
WARM_UP_S = 60.0


class Connection(msgspec.Struct, eq=False):
    """A connection of a holder."""

    account: int
    idle_since: float
    busy_until: float = 0.0


class Holder(msgspec.Struct, eq=False):
    """One daemon's connections to the member."""

    soft_limit: int
    hard_limit: int
    demand: account_cache.AccountDemand = msgspec.field(
        default_factory=account_cache.AccountDemand
    )
    connections: list[Connection] = msgspec.field(default_factory=list)

    def idle(self, now: float) -> list[Connection]:
        """Return the connections that run no statement."""
        return [each for each in self.connections if each.busy_until <= now]

    def least_useful(self, idle: list[Connection], now: float) -> Connection:
        """Return the connection that the product's rule closes first."""
        index = account_cache.least_useful(
            [
                account_cache.IdleConnection(each.account, each.idle_since)
                for each in idle
            ],
            collections.Counter(each.account for each in self.connections),
            self.demand,
            now,
        )
        return idle[index]

    def trim(self, now: float) -> None:
        """Close idle connections above the soft limit."""
        latest = now - connection_share.BURST_IDLE_S
        while len(self.connections) > self.soft_limit:
            unused = [
                each for each in self.idle(now) if each.idle_since <= latest
            ]
            if not unused:
                return
            self.connections.remove(self.least_useful(unused, now))

    def run(self, account: int, now: float, running_s: float) -> str:
        """Run a statement; return "hit", "miss", "evicted" or "full"."""
        self.trim(now)
        idle = self.idle(now)
        own = [each for each in idle if each.account == account]
        outcome = "hit"
        if own:
            connection = max(own, key=lambda each: each.idle_since)
        else:
            outcome = "miss"
            if len(self.connections) >= self.hard_limit:
                if not idle:
                    return "full"
                outcome = "evicted"
                self.connections.remove(self.least_useful(idle, now))
            connection = Connection(account, now)
            self.connections.append(connection)
            running_s += HANDSHAKE_S
        self.demand.record_use(account, now)
        connection.busy_until = connection.idle_since = now + running_s
        return outcome


class Result(msgspec.Struct, frozen=True):
    """Shares of the statements by outcome, and slot time lost.

    ``lost_slots`` is the mean number of the member's slots that open
    connections.
    """

    hits: float
    evictions: float
    full: float
    lost_slots: float


def play(
    soft_limit: int,
    hard_limit: int,
    by_account: bool = True,
    duration_s: float = 600.0,
    seed: int = 1,
) -> Result:
    """Run the model.

    Parameters
    ==========

    by_account : bool
        Whether all clients of an account use the same holder.

    """
    rng = random.Random(seed)
    holders = [Holder(soft_limit, hard_limit) for _ in range(HOLDERS)]
    holders_by_account = [
        [rng.randrange(HOLDERS) for _ in range(CLIENTS)]
        for _ in range(ACCOUNTS)
    ]
    weights = [rank**-ZIPF for rank in range(1, ACCOUNTS + 1)]
    counts: collections.Counter[str] = collections.Counter()
    now = 0.0
    while now < WARM_UP_S + duration_s:
        now += rng.expovariate(OPERATIONS_PER_S)
        account = rng.choices(range(ACCOUNTS), weights)[0]
        client = 0 if by_account else rng.randrange(CLIENTS)
        holder = holders[holders_by_account[account][client]]
        outcome = holder.run(account, now, rng.uniform(*RUNNING_S))
        if now > WARM_UP_S:
            counts[outcome] += 1
    total = counts.total()
    opened = counts["miss"] + counts["evicted"]
    return Result(
        hits=counts["hit"] / total,
        evictions=counts["evicted"] / total,
        full=counts["full"] / total,
        lost_slots=opened * HANDSHAKE_S / duration_s,
    )
