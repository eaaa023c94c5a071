"""Permits and tokens of the reserve, in random orders of all events."""

import math

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from burdockcart.process.rates import local_permit
from burdockcart.process.rates import permit_ledger
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import share_terms
from burdockcart.process.rates.tests import reserve_world

STEPS = 3000
Policy = reserve_policy.ReservePolicy


def _granted_anew(apply):
    """Use each answer as if it did not only continue a permit."""

    def use(permit, grant, sent_at, now):
        grant = msgspec.structs.replace(grant, renews=False)
        apply(permit, grant, sent_at, now)

    return use


def _renews_for_all(claimed):
    """Continue the permit that a report claims, whoever has it."""

    def find(ledger, holder, claim, now):
        index = claimed(ledger, holder, claim, now)
        return claim.index if index is None else index

    return find


def _forgotten(released):
    """Forget a permit that is to move, so that its index is free at once."""

    def find(ledger, now):
        index = released(ledger, now)
        if index is not None:
            del ledger._record_by_index[index]
        return index

    return find


def _forgets(apply):
    """Forget the issued tokens with each permit that begins."""

    def use(permit, grant, sent_at, now):
        if not permit.valid(now):
            permit._issued_by_account.clear()
        apply(permit, grant, sent_at, now)

    return use


def _pass(world, owner, duration_s, *reporters):
    """Let time pass with an owner that renews, and daemons that report."""
    until = world.now + duration_s
    while world.now < until - 0.1:
        world.now += 0.1
        world.renew(owner)
        for index in reporters:
            world.report(index, owner)
        reserve_world.do(world, ("settle",))
    world.now = max(world.now, until)


def _with_stale_claim():
    """Return a world with a claim of an index that was granted again.

    Daemon 0 claimed index 0 just before it expired; the report is delayed.
    Daemon 2 has the index now, and daemon 1 became the owner.
    """
    world = reserve_world.World()
    world.acquire(2)
    reserve_world.do(world, ("settle",))
    _pass(world, 2, 16.0, 0, 1)
    _pass(world, 2, world.daemons[0].permit._until - world.now - 0.01, 1)
    world.report(0, 1)
    world.stall(len(world.messages) - 1)
    _pass(world, 2, 5.6, 1, 2)
    world.ask(1, 2, 1)
    world.hand_over(2, 1)
    reserve_world.do(world, ("settle",))
    return world


def _stale_claim_is_answered():
    """Deliver the claim at once, and let its daemon issue a token."""
    world = _with_stale_claim()
    world.arrive()
    reserve_world.do(world, ("settle",))
    world.ask(1, 0, 1)
    world.check()
    return world


def _stale_claim_after_renewals():
    """Deliver the claim when the owner is about to grant, and use both."""
    world = _with_stale_claim()
    _pass(world, 1, 14.2, 2)
    world.arrive()
    reserve_world.do(world, ("settle",))
    _pass(world, 1, 0.5, 0)
    world.ask(1, 0, 1)
    world.ask(1, 2, 1)
    world.check()
    return world


class TestReserveBound(testtools.TestCase):
    """Guards against more operations than the reserve in any window."""

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_any_order(self, seed):
        """One daemon for an index in a window, and the size of the reserve."""
        reserve_world.walk(seed, STEPS, bool(seed % 2))

    def test_first_start(self):
        """Guards against a reserve that is missing after the first start."""
        for first_start in (True, False):
            world = reserve_world.World(first_start)
            world.acquire(2)
            reserve_world.do(world, ("settle",))
            _pass(world, 2, 1.0, 0, 1)
            valid = [each.permit.valid(world.now) for each in world.daemons]
            self.assertEqual([first_start, first_start, False], valid)

    def test_walks_reach_what_they_guard(self):
        """Guards against walks in which permits never move or are not used."""
        worlds = [reserve_world.walk(seed, STEPS) for seed in range(10)]
        moved = sum(
            len({index for _, index, _ in world.issued}) > 1
            and len({holder for *_, holder in world.issued}) > 2
            for world in worlds
        )
        self.assertGreater(moved, 5)
        self.assertGreater(sum(len(world.spent) for world in worlds), 100)

    def test_claim_that_is_late(self):
        """Guards against an index for the daemon that had it before."""
        for play in (_stale_claim_is_answered, _stale_claim_after_renewals):
            holders = {
                holder[0] for _, index, holder in play().issued if index == 0
            }
            self.assertEqual({"d2"}, holders)


class TestVariants(testtools.TestCase):
    """Each rule must be needed: the walks detect that it is left out."""

    def test_expired_permit_that_is_continued(self):
        permit = local_permit.LocalPermit
        self.patch(permit, "apply", _granted_anew(permit.apply))
        self.assertRaises(AssertionError, _stale_claim_is_answered)

    def test_permit_that_two_daemons_claim(self):
        ledger = permit_ledger.PermitLedger
        self.patch(ledger, "_claimed", _renews_for_all(ledger._claimed))
        self.assertRaises(AssertionError, _stale_claim_after_renewals)

    def _detected(self, *patches, seeds=300, first_start=False):
        for owner, name, value in patches:
            self.patch(owner, name, value)
        for seed in range(seeds):
            try:
                reserve_world.walk(seed, STEPS, first_start)
            except AssertionError:
                return
        self.fail("no walk breaks a rule")

    def test_index_of_a_permit_that_has_not_expired(self):
        self._detected((Policy, "regrant_s", -math.inf))

    def test_index_without_the_window(self):
        self._detected((Policy, "regrant_s", 0.0))

    def test_index_that_moves_without_waiting(self):
        ledger = permit_ledger.PermitLedger
        self._detected((ledger, "_released", _forgotten(ledger._released)))

    def test_new_owner_that_does_not_wait(self):
        self._detected((Policy, "unclaimed_s", 0.0))

    def test_later_owner_that_grants_at_once(self):
        """Use the first start although the shard had an owner before."""
        world = reserve_world.World
        self.patch(world, "first_term", lambda world: world.terms[-1])
        self._detected(first_start=True)

    def test_new_owner_that_waits_for_permits_only(self):
        waits_s = reserve_policy.PERMIT_S
        self._detected((Policy, "unclaimed_s", waits_s))

    def test_permit_that_does_not_expire(self):
        self._detected(
            (
                local_permit.LocalPermit,
                "valid",
                lambda permit, now: permit.index is not None,
            )
        )

    def test_restarted_daemon_that_keeps_its_permit(self):
        self._detected(
            (share_terms, "Holder", lambda holder: (holder[0], 0)),
        )

    def test_tokens_that_a_permit_forgets(self):
        apply = local_permit.LocalPermit.apply
        self._detected((local_permit.LocalPermit, "apply", _forgets(apply)))

    def test_tokens_without_their_validity_in_the_window(self):
        self._detected(
            (Policy, "issue_window_s", reserve_world.POLICY.window_s)
        )

    def test_tokens_that_do_not_expire(self):
        self._detected((reserve_world, "VALID_S", math.inf))
