"""Permits of one shard on several daemons and owners, without I/O.

The store and the ownership are those of :mod:`share_world`; owners grant
permits instead of shares.
"""

import itertools
import random

from burdockcart.process.rates import local_permit
from burdockcart.process.rates import permit_ledger
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import shard_ownership
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates import share_terms
from burdockcart.process.rates.tests import share_world

DAEMONS = 3
ACCOUNT = share_world.ACCOUNT
LIMIT = share_ledger.Limit(1.0, 1.0)
#: A reserve of 4 operations, 2 for each permit.
POLICY = reserve_policy.ReservePolicy(5.0, 0.0, 6.0)

#: Validity of a token, in seconds; a variant changes it.
VALID_S = share_terms.TOKEN_S
#: Time of a walk without disturbances in each cycle, and the cycle's, in
#: seconds.
CALM_S, CYCLE_S = 18.0, 28.0


class Daemon:
    """The decisions of one process."""

    def __init__(self, index, instance):
        self.name = f"d{index}"
        self.holder = share_terms.Holder((self.name, instance))
        self.permit = local_permit.LocalPermit(POLICY)
        self.ownership = shard_ownership.ShardOwnership(self.name)
        self.permits = permit_ledger.ShardPermits(self.name, POLICY, self)
        self.era = None
        self.sent = 0
        #: Times until which it sends no reports, and is suspended.
        self.mute_until = self.suspended_until = 0.0

    def preferred(self, owner):
        """Let each daemon get a permit, so that indexes move."""
        return [f"d{index}" for index in range(DAEMONS)]

    def domain_by_id(self):
        """Return failure domains: an owner with a permit lets it move."""
        return {f"d{index}": f"x{index}" for index in range(DAEMONS)}

    def era_seen(self, era, now):
        if era != self.era:
            self.era = era
            self.ownership.era_seen(now, era > 0)


class World:
    """All processes; each step is that of one of them."""

    def __init__(self, first_start=False):
        self.now = 100.0
        self.store = share_world.Store()
        self.instances = itertools.count(1)
        self.daemons = [self._new(index) for index in range(DAEMONS)]
        self.messages = []
        self.late = []
        self.grants = 0
        #: Positions at which the key was written, in order.
        self.terms = []
        #: Whether owners look for former ones in the history of the store.
        self.first_start = first_start
        #: Time, index of the permit, process.
        self.issued = []
        self.spent = []

    def _new(self, index):
        return Daemon(index, next(self.instances))

    def first_term(self):
        """Return the position of the first key in the store's history."""
        return self.terms[0]

    def _written(self, daemon):
        """Write the key, and return what the store answers."""
        answer = self.store.acquire(daemon.name, self.now)
        if answer is not None:
            self.terms.append(answer[1])
        return answer

    def restart(self, index):
        self.daemons[index] = self._new(index)

    def acquire(self, index):
        """Write the key; the answer is under way."""
        daemon = self.daemons[index]
        daemon.ownership.asked(self.now, 0.0)
        if daemon.ownership.attempting(self.now):
            content = self._written(daemon), self.store.era, self.now
            self.messages.append(("acquired", daemon, content))

    def renew(self, index):
        daemon = self.daemons[index]
        lease = daemon.ownership.renewing(self.now)
        if lease is not None:
            done = self.store.renew(lease, self.now)
            content = lease, done, self.store.era, self.now
            self.messages.append(("renewed", daemon, content))

    def mute(self, index, duration_s):
        self.daemons[index].mute_until = self.now + duration_s

    def suspend(self, index, duration_s):
        self.daemons[index].suspended_until = self.now + duration_s

    def runs(self, index):
        return self.now >= self.daemons[index].suspended_until

    def stall(self, position):
        """Delay a message; it may overtake none, or many."""
        if position < len(self.messages):
            self.late.append(self.messages.pop(position))

    def arrive(self):
        """Let the oldest delayed message go on."""
        if self.late:
            self.messages.append(self.late.pop(0))

    def report(self, index, target):
        daemon = self.daemons[index]
        if self.now < daemon.mute_until:
            return
        daemon.sent += 1
        claim = daemon.permit.claim(self.now)
        content = daemon, daemon.sent, claim, self.now
        self.messages.append(("report", self.daemons[target], content))

    def hand_over(self, index, target):
        """Transfer the shard: the owner steps down first."""
        former, daemon = self.daemons[index], self.daemons[target]
        own = former.ownership.own
        if own is None or not former.ownership.owns(self.now):
            return
        if self.store.key is None or self.store.key[2] != own.term:
            return
        former.ownership.lose(self.now)
        self.store.key = None
        content = self._written(daemon), self.store.era, self.now
        self.messages.append(("acquired", daemon, content))

    def restore(self):
        self.store.restore()

    def ask(self, index, target, wanted):
        """Have a daemon issue tokens; they arrive later, or are lost."""
        daemon = self.daemons[target]
        count = daemon.permit.issue(ACCOUNT, wanted, LIMIT, self.now)
        for _ in range(count):
            self.issued.append((self.now, daemon.permit.index, daemon.holder))
        self.messages.append(("tokens", None, (count, self.now)))

    def deliver(self, position):
        kind, daemon, content = self.messages.pop(position)
        if daemon is not None and self.now < daemon.suspended_until:
            self.late.append((kind, daemon, content))
        else:
            getattr(self, "_on_" + kind)(daemon, *content)

    def lose(self, position):
        self.messages.pop(position)

    def _on_acquired(self, daemon, answer, era, sent_at):
        if daemon.era is not None and era < daemon.era:
            return
        daemon.era_seen(era, self.now)
        if answer is None:
            daemon.ownership.refused(self.now, True)
            return
        lease, position = answer
        daemon.ownership.acquired(lease, position, sent_at)
        renews_from, _ = daemon.ownership.grant_times(self.now)
        daemon.permits.acquired(position, renews_from)
        if self.first_start and era == 0:
            daemon.permits.first_owner_found(self.first_term())

    def _on_renewed(self, daemon, lease, done, era, sent_at):
        if daemon.era is not None and era < daemon.era:
            return
        daemon.era_seen(era, self.now)
        own = daemon.ownership.own
        if done and era == lease.era:
            daemon.ownership.renewed(lease, sent_at)
        elif own is not None and own.lease == lease:
            daemon.ownership.lose(self.now)

    def _on_report(self, owner, daemon, number, claim, sent_at):
        own = owner.ownership.own
        if own is None or not owner.ownership.owns(self.now):
            return
        grant, _ = owner.permits.answer(
            daemon.holder, claim, own.term, own.authority_until, self.now
        )
        if grant is not None:
            self.messages.append(("grant", daemon, (number, grant, sent_at)))

    def _on_grant(self, daemon, number, grant, sent_at):
        if number == daemon.sent:
            self.grants += 1
            daemon.permit.apply(grant, sent_at, self.now)

    def _on_tokens(self, daemon, count, sent_at):
        if self.now < sent_at + VALID_S:
            self.spent.extend([self.now] * count)

    def check(self):
        """Raise an error if any window breaks the rules of the reserve."""
        window_s = POLICY.window_s
        most = POLICY.permit_size(LIMIT)
        for first, (at, index, holder) in enumerate(self.issued):
            count = 0
            for later, other, process in self.issued[first:]:
                if later - at > window_s:
                    break
                assert index != other or holder == process, (
                    f"permit {index} of {holder} at {at} "
                    f"and {process} at {later}"
                )
                count += index == other
            assert count <= most, f"{count} tokens of {index} from {at} on"
        size = POLICY.size(LIMIT)
        for first, at in enumerate(self.spent[:-size]):
            assert (
                self.spent[first + size] - at > window_s
            ), f"more than {size} operations from {at} on"


def random_step(rng, world):
    """Return a step of a walk in which much goes well.

    Times without disturbances let an owner wait until it may grant.
    """
    index, target = rng.randrange(DAEMONS), rng.randrange(DAEMONS)
    key = world.store.holder(world.now)
    owner = int(key[0][1:]) if key else target
    disturbed = world.now % CYCLE_S > CALM_S
    weight_by_step = {
        ("wait", rng.choice([0.05, 0.1, 0.15, 0.25])): 20,
        ("wait", rng.choice([0.9, 2.4, 3.1, 4.9])): 0.6 * disturbed,
        ("ask", target, index, rng.randrange(1, 4)): 14,
        ("report", index, owner): 16,
        ("report", index, target): 2 * disturbed,
        ("acquire", index): 6,
        ("renew", owner): 26,
        ("settle",): 16,
        ("deliver", rng.randrange(4)): 8 * disturbed,
        ("lose", rng.randrange(4)): 2 * disturbed,
        ("restart", index): 0.6 * disturbed,
        ("mute", index, rng.choice([9.0, 12.0, 16.0])): 0.6 * disturbed,
        ("suspend", index, rng.choice([0.5, 9.0, 16.0])): 0.3 * disturbed,
        ("stall", rng.randrange(4)): 2 * disturbed,
        ("arrive",): 1,
        ("hand_over", owner, target): 0.6 * disturbed,
        ("restore",): 0.05 * disturbed,
    }
    steps = list(weight_by_step)
    return rng.choices(steps, weights=list(weight_by_step.values()))[0]


def do(world, step):
    """Carry out one step."""
    kind, *arguments = step
    match kind:
        case "wait":
            world.now += arguments[0]
        case "settle":
            while world.messages:
                world.now += 0.001
                world.deliver(0)
        case "deliver" | "lose":
            if arguments[0] < len(world.messages):
                getattr(world, kind)(arguments[0])
        case "report" | "acquire" | "renew" | "hand_over":
            if world.runs(arguments[0]):
                getattr(world, kind)(*arguments)
        case "ask":
            if world.runs(arguments[1]):
                world.ask(*arguments)
        case _:
            getattr(world, kind)(*arguments)


def walk(seed, steps, first_start=False):
    """Return the world after a random walk; raise for a broken rule."""
    rng = random.Random(seed)
    world = World(first_start)
    for _ in range(steps):
        do(world, random_step(rng, world))
    world.check()
    return world
