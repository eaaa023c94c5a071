"""The sum of all shares, over random orders of everything that can happen."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart.process.rates import shard_succession
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates.tests import share_world

DAEMONS = 3
LIMITS = (
    share_ledger.Limit(5.0, 5.0),
    share_ledger.Limit(8.0, 16.0),
    share_ledger.Limit(30.0, 25.0),
    share_ledger.Limit(1.0, 1.0),
)

_index = strategies.integers(0, DAEMONS - 1)
#: Times between steps: messages, report intervals, leases and grace periods.
_pause_s = strategies.sampled_from(
    [0.001, 0.05, 0.2, 0.3, 0.45, 0.5, 0.9, 1.0, 1.2, 2.9, 3.1]
)
_step = strategies.one_of(
    strategies.tuples(strategies.just("wait"), _pause_s),
    strategies.tuples(strategies.just("offer"), _index, _index),
    strategies.tuples(strategies.just("offer"), _index, _index),
    strategies.tuples(strategies.just("report"), _index, _index),
    strategies.tuples(strategies.just("report_to_owner"), _index),
    strategies.tuples(strategies.just("report_to_owner"), _index),
    strategies.tuples(strategies.just("acquire"), _index),
    strategies.tuples(strategies.just("succeed"), _index),
    strategies.tuples(strategies.just("renew"), _index),
    strategies.tuples(strategies.just("transfer"), _index, _index),
    strategies.tuples(strategies.just("deliver"), strategies.integers(0, 9)),
    strategies.tuples(strategies.just("deliver_last")),
    strategies.tuples(strategies.just("settle")),
    strategies.tuples(strategies.just("lose"), strategies.integers(0, 9)),
    strategies.tuples(strategies.just("restart"), _index),
    strategies.tuples(
        strategies.just("limit"), strategies.integers(0, len(LIMITS) - 1)
    ),
    strategies.tuples(strategies.just("read"), _index),
    strategies.tuples(strategies.just("restore")),
)


def do(world, step):
    """Carry out one step."""
    kind, *arguments = step
    match kind:
        case "wait":
            world.now += arguments[0]
        case "offer":
            world.offer(arguments[0], 10 * arguments[1] + 2)
        case "report":
            world.report(*arguments)
        case "report_to_owner":
            key = world.store.holder(world.now)
            names = [each.name for each in world.daemons]
            target = names.index(key[0]) if key else 0
            world.report(arguments[0], target)
        case "acquire":
            world.acquire(arguments[0])
        case "succeed":
            world.succeed(arguments[0])
        case "renew":
            world.renew(arguments[0])
        case "transfer":
            world.transfer(*arguments)
        case "deliver" | "lose":
            if arguments[0] < len(world.messages):
                getattr(world, kind)(arguments[0])
        case "deliver_last":
            if world.messages:
                world.deliver(len(world.messages) - 1)
        case "settle":
            while world.messages:
                world.now += 0.001
                world.deliver(0)
        case "restart":
            world.restart(arguments[0])
        case "limit":
            world.set_limit(LIMITS[arguments[0]])
        case "read":
            world.read_limit(arguments[0])
        case "restore":
            world.store.restore()


def random_step(rng, disturbed):
    """Return a step of a walk in which much goes well.

    Parameters
    ==========

    disturbed : bool
        Whether limits change and stores are restored.

    """
    index = rng.randrange(DAEMONS)
    weight_by_step = {
        ("wait", rng.choice([0.01, 0.05, 0.1, 0.25])): 12,
        ("offer", index, rng.randrange(DAEMONS)): 16,
        ("report_to_owner", index): 14,
        ("report", index, rng.randrange(DAEMONS)): 2,
        ("acquire", index): 6,
        ("succeed", index): 4,
        ("renew", index): 30,
        ("transfer", index, rng.randrange(DAEMONS)): 1,
        ("settle",): 16,
        ("deliver", rng.randrange(4)): 8,
        ("deliver_last",): 6,
        ("lose", rng.randrange(4)): 2,
        ("restart", index): 0.2,
        ("wait", rng.choice([0.9, 2.4, 3.05])): 0.6,
        ("limit", rng.randrange(len(LIMITS))): 0.2 * disturbed,
        ("read", index): 0.6 * disturbed,
        ("restore",): 0.05 * disturbed,
    }
    steps = list(weight_by_step)
    return rng.choices(steps, weights=list(weight_by_step.values()))[0]


class TestBound(testtools.TestCase):
    """Guards against more operations than rate x window + burst."""

    @hypothesis.settings(max_examples=400, deadline=None)
    @hypothesis.given(
        strategies.lists(_step, max_size=80),
        strategies.sampled_from(LIMITS),
    )
    def test_any_order(self, steps, limit):
        world = share_world.World(DAEMONS, limit)
        for step in steps:
            do(world, step)
            world.check_shares()
        world.check()

    def test_long_walks(self):
        """Long walks reach states that short lists of steps do not.

        They must also spend: a world that admits nothing proves nothing.
        """
        spent, owners, successions = self._walk()
        self.assertGreater(spent, 2000)
        self.assertGreater(owners, 100)
        self.assertGreater(successions, 20)

    def test_successor_that_grants_too_early(self):
        """The walks must find shares of a former process that are ignored."""
        create = shard_succession.ShardSuccession

        def create_early(daemon, started_at):
            return create(daemon, started_at - 4.0)

        self.patch(shard_succession, "ShardSuccession", create_early)
        self.assertRaisesRegex(AssertionError, "seed", self._walk)

    def _walk(self):
        spent = owners = successions = 0
        for seed in range(50):
            rng = random.Random(seed)
            world = share_world.World(DAEMONS, rng.choice(LIMITS))
            terms = set()
            try:
                for _ in range(2500):
                    do(world, random_step(rng, disturbed=seed % 2 == 0))
                    world.check_shares()
                    key = world.store.key
                    terms |= {key[2]} if key else set()
                world.check()
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from None
            spent += len(world.spent)
            successions += world.successions
            owners += len(terms)
        return spent, owners, successions
