"""Failure domains of the permits of a shard, with one owner after another."""

import testtools

from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import local_permit
from burdockcart.process.rates import permit_ledger
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import shard_order
from burdockcart.process.rates import share_terms

POLICY = reserve_policy.ReservePolicy(5.0, 0.1, 20)
Ledger = permit_ledger.PermitLedger
#: Time in which an index moves: its permit expires, and a window passes.
MOVED_S = 24.0


class Placed:
    """The permits of one shard; an owner answers at once."""

    def __init__(self, names, shard=0):
        self.now = 100.0
        self.entry_by_id = {
            name: coordination.DaemonEntry(name, "-", name[0], "-")
            for name in names
        }
        self.order = shard_order.ShardOrder(shard, lambda: self.entry_by_id)
        self.permit_by_id = {
            name: local_permit.LocalPermit(POLICY) for name in names
        }
        self.lost = set()
        self.own(self.order.daemons()[0], former=False)

    def own(self, owner, former=True):
        """Let a daemon become the owner."""
        self.owner = owner
        renews_from = self.now if former else self.now - POLICY.unclaimed_s
        self.ledger = Ledger(POLICY, owner, self.order, renews_from)

    def unlist(self, daemon):
        del self.entry_by_id[daemon]
        self.order.use_daemons()

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += share_terms.REPORT_S
            for daemon, permit in self.permit_by_id.items():
                idle = daemon in self.order.preferred(self.owner)
                if daemon in self.lost or not (idle or permit.valid(self.now)):
                    continue
                grant = self.ledger.answer(
                    share_terms.Holder((daemon, 1)),
                    permit.claim(self.now),
                    self.now + 2.8 + reserve_policy.PERMIT_S,
                    self.now,
                )
                if grant is not None:
                    permit.apply(grant, self.now, self.now)

    def holders(self):
        return [
            daemon
            for daemon, permit in self.permit_by_id.items()
            if permit.valid(self.now) and daemon not in self.lost
        ]

    def covered(self):
        """Return the domains of the owner and of the permits."""
        return {daemon[0] for daemon in (self.owner, *self.holders())}


def of_domains(domains, each=10):
    return [f"{domain}{n}" for domain in domains for n in range(each)]


def transferred(names):
    """Return permits whose owner has transferred the shard to a holder."""
    placed = Placed(names)
    placed.run(2.0)
    former = placed.owner
    placed.own(next(d for d in placed.holders() if d[0] != former[0]))
    return placed, former[0]


class TestPermitPlacement(testtools.TestCase):
    """Guards against failure domains without owner and permit."""

    def test_shard_transferred_to_a_holder(self):
        """Guards against a domain without a permit when it is cut off.

        Traced with 32 daemons: the owner in domain x transferred the shard to
        a holder in y; the other permit was in z, and x, when it was cut off
        from the others 37 s later, had none.
        """
        placed, domain = transferred(of_domains("xyz"))
        self.assertEqual("x", domain)
        self.assertEqual({"y", "z"}, placed.covered())
        self.assertIn(placed.owner, placed.holders())
        placed.run(MOVED_S)
        self.assertEqual({"x", "y", "z"}, placed.covered())
        self.assertNotIn(placed.owner, placed.holders())

    def test_next_in_a_covered_domain(self):
        """Guards against an index for the first daemon that reports."""
        placed, _ = transferred(of_domains("zyx"))
        placed.run(MOVED_S)
        self.assertEqual({"x", "y", "z"}, placed.covered())

    def test_never_fewer_than_one_permit(self):
        """Guards against two permits that move at once."""
        placed = Placed(of_domains("xyz"))
        placed.run(2.0)
        placed.own(placed.holders()[0])
        for _ in range(100):
            placed.run(share_terms.REPORT_S)
            self.assertNotEqual([], placed.holders())

    def test_both_permits_in_one_domain(self):
        """Guards against two permits in a domain, with another one free."""
        names = of_domains("xyz")
        placed = Placed(names)
        placed.lost = {name for name in names if name[0] == "z"}
        # While no daemon of z reports, y may have both permits.
        placed.ledger._placement = _Only(placed.order, ["y0", "y1"])
        placed.order, order = placed.ledger._placement, placed.order
        placed.run(2.0)
        self.assertEqual(["y0", "y1"], placed.holders())
        placed.order = placed.ledger._placement = order
        placed.lost = set()
        placed.run(MOVED_S)
        self.assertEqual({"x", "y", "z"}, placed.covered())

    def test_next_daemon_is_lost(self):
        """Guards against an index that waits for a daemon that is lost."""
        placed, _ = transferred(of_domains("xyz"))
        lost = next(
            daemon
            for daemon in placed.order.preferred(placed.owner)
            if daemon[0] == "x"
        )
        placed.lost = {lost}
        placed.run(MOVED_S)
        self.assertEqual(2, len(placed.holders()))
        placed.unlist(lost)
        placed.run(MOVED_S)
        self.assertEqual({"x", "y", "z"}, placed.covered())

    def test_lost_while_an_index_moves(self):
        """Guards against an index without holder after its next one's loss."""
        placed, _ = transferred(of_domains("xyz"))
        placed.run(4.0)
        lost = next(
            daemon
            for daemon in placed.order.preferred(placed.owner)
            if daemon[0] == "x"
        )
        placed.lost = {lost}
        placed.run(MOVED_S)
        self.assertEqual(2, len(placed.holders()))

    def test_domains_of_different_size(self):
        """Guards against permits in the owner's domain at the order's end."""
        names = [*of_domains("x", 8), "y0", "z0"]
        for owner in names:
            placed = Placed(names)
            placed.own(owner, former=False)
            placed.run(2.0)
            self.assertEqual({"x", "y", "z"}, placed.covered())

    def test_fewer_domains(self):
        """Guards against permits that move without need."""
        for domains in ("x", "xy"):
            names = of_domains(domains)
            placed = Placed(names)
            placed.run(2.0)
            before = placed.holders()
            self.assertEqual(2, len(before))
            placed.own(before[0])
            for _ in range(80):
                placed.run(share_terms.REPORT_S)
                self.assertEqual(before, placed.holders())


class TestVariants(testtools.TestCase):
    """Each rule must be needed."""

    def test_permits_that_stay(self):
        self.patch(Ledger, "_released", lambda ledger, now: None)
        placed, _ = transferred(of_domains("xyz"))
        placed.run(60.0)
        self.assertEqual({"y", "z"}, placed.covered())

    def test_index_for_a_daemon_that_covers_nothing(self):
        self.patch(Ledger, "_covers_another", lambda *_: True)
        placed, _ = transferred(of_domains("zyx"))
        placed.run(MOVED_S)
        self.assertEqual({"y", "z"}, placed.covered())


class _Only:
    """An order in which given daemons should have the permits."""

    def __init__(self, order, names):
        self._names = names
        self.domain_by_id = order.domain_by_id

    def preferred(self, owner):
        return self._names
