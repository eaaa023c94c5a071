"""The sum of all shares over restarts of all daemons and censuses."""

import random

import testtools

from burdockcart.process.gateway.store import registration_time
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import shard_census
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates.tests import census_world
from burdockcart.process.rates import token_bucket

DAEMONS = 3
LIMITS = (share_ledger.Limit(8.0, 16.0), share_ledger.Limit(30.0, 25.0))
WALKS = 25
STEPS = 1500


def take(world, rng):
    """Carry out one random step of a walk in which much goes well."""
    index, other = rng.randrange(DAEMONS), rng.randrange(DAEMONS)
    key = world.store.holder(world.now)
    names = [each.name for each in world.daemons]
    owner = names.index(key[0]) if key else 0
    weight_by_step = {
        ("wait", rng.choice([0.01, 0.05, 0.1, 0.25])): 14,
        ("wait", rng.choice([0.9, 2.5, 5.0])): 0.3,
        ("offer", index, rng.choice([1, 4, 20])): 12,
        ("report", index, owner): 16,
        ("acquire", index): 2,
        ("succeed", index): 6,
        ("renew", owner): 14,
        ("register", index): 8,
        ("unregister", index): 0.2,
        ("read_list", owner): 4,
        ("use_census", owner): 10,
        ("settle",): 14,
        ("deliver_any",): 14,
        ("lose_any",): 1,
        ("restart", other): 0.3,
        ("restart_all",): 0.3,
    }
    ((kind, *arguments),) = rng.choices(
        list(weight_by_step), weights=list(weight_by_step.values())
    )
    count = len(world.messages)
    if kind == "wait":
        world.now += arguments[0]
    elif kind == "settle":
        while world.messages:
            world.now += 0.001
            world.deliver(0)
    elif kind in ("deliver_any", "lose_any"):
        if count:
            getattr(world, kind[:-4])(rng.randrange(count))
    else:
        getattr(world, kind)(*arguments)


def walk(seeds=range(WALKS)):
    """Take walks; return the numbers of operations and of censuses."""
    spent = censuses = 0
    for seed in seeds:
        rng = random.Random(seed)
        world = census_world.World(DAEMONS, rng.choice(LIMITS))
        try:
            for _ in range(STEPS):
                take(world, rng)
                world.check_shares()
            world.check()
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from None
        spent += len(world.spent)
        censuses += world.censuses
    return spent, censuses


class TestBound(testtools.TestCase):
    """Guards against more operations than rate x window + burst."""

    def test_protocol(self):
        """Walks must also take censuses, or they prove nothing."""
        spent, censuses = walk()
        self.assertGreater(spent, 2000)
        self.assertGreater(censuses, 50)

    def _finds(self):
        self.assertRaisesRegex(AssertionError, "seed", walk, range(4 * WALKS))

    def test_daemon_that_does_not_answer(self):
        """An owner that ignores it would grant its share again."""
        self.patch(
            shard_census.ShardCensus, "missing", property(lambda self: [])
        )
        self._finds()

    def test_pool_that_starts_full(self):
        """Processes that have ended may have spent a burst just before."""

        def grant_from(ledger, now):
            if now < ledger._grants_from:
                rate, burst = ledger._free()
                ledger._grants_from = now
                ledger._pool = token_bucket.TokenBucket(
                    rate, burst, now, burst
                )

        self.patch(share_ledger.AccountLedger, "grant_from", grant_from)
        self._finds()


class TestFixedOrders(testtools.TestCase):
    """Orders that walks rarely take; each must break without its rule."""

    def setUp(self):
        super().setUp()
        self.world = census_world.World(2, LIMITS[1])
        self._do("register", 0)
        self._do("register", 1)
        self._do("acquire", 0)
        for _ in range(5):
            self.world.now += 0.3
            self._do("renew", 0)
        self.world.offer(1, 10)
        self.world.report(1, 0)

    def _do(self, step, *arguments):
        getattr(self.world, step)(*arguments)
        self._settle()

    def _settle(self, but=None):
        """Deliver all messages but those of a kind."""
        while True:
            kinds = [kind for _, kind, _ in self.world.messages]
            found = [n for n, kind in enumerate(kinds) if kind != but]
            if not found:
                return
            self.world.now += 0.001
            self.world.deliver(found[0])

    def _restart_owner(self, but=None):
        """Let the owner start again, and take a census."""
        self.world.restart(0)
        for step in ("register", "succeed"):
            getattr(self.world, step)(0)
            self._settle(but)
        self.world.now += 0.25
        self.world.read_list(0)
        self._settle(but)
        self.world.use_census(0)
        self.assertEqual(1, self.world.censuses)
        self.world.offer(0, 1)
        self.world.report(0, 0)
        self._settle(but)

    def _unlisted(self):
        self._settle()
        self.world.unregister(1)
        self._restart_owner()

    def _listed_again(self):
        self._unlisted()
        self._do("register", 1)

    def _late_answer(self):
        self._settle("shares")
        self._restart_owner("shares")
        self._settle()

    def _cover(self, covers):
        self.patch(registration_time.RegistrationTime, "covers", covers)

    def test_share_of_an_unlisted_daemon(self):
        """An owner that reads the list does not know of it."""
        self._unlisted()
        self.world.check_shares()

    def test_model_finds_a_share_of_an_unlisted_daemon(self):
        """A daemon that uses its share has to be in the list."""
        self._cover(lambda times, sent_at, now: True)
        self._unlisted()
        self.assertRaises(AssertionError, self.world.check_shares)

    def test_share_of_an_earlier_registration(self):
        """The list may have been read between two registrations."""
        self._listed_again()
        self.world.check_shares()

    def test_model_finds_a_share_of_an_earlier_registration(self):
        """A new registration must not cover earlier reports."""
        self._cover(lambda times, sent_at, now: now < times._until)
        self._listed_again()
        self.assertRaises(AssertionError, self.world.check_shares)

    def test_late_answer(self):
        """What the former owner has sent must have no effect."""
        self._late_answer()
        self.world.check_shares()

    def test_model_finds_a_late_answer(self):
        """A daemon that has answered must accept no older share."""
        self.patch(
            local_shares.LocalShares,
            "accepts",
            lambda local, shard, term: True,
        )
        self._late_answer()
        self.assertRaises(AssertionError, self.world.check_shares)
