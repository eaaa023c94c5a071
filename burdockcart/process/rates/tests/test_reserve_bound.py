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


def _forgets(apply):
    """Forget the issued tokens with each permit that begins."""

    def use(permit, grant, sent_at, now):
        if not permit.valid(now):
            permit._issued_by_account.clear()
        apply(permit, grant, sent_at, now)

    return use


class TestReserveBound(testtools.TestCase):
    """Guards against more operations than the reserve in any window."""

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_any_order(self, seed):
        """One daemon for an index in a window, and the size of the reserve."""
        reserve_world.walk(seed, STEPS)

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


class TestVariants(testtools.TestCase):
    """Each rule must be needed: the walks detect that it is left out."""

    def _detected(self, *patches, seeds=300):
        for owner, name, value in patches:
            self.patch(owner, name, value)
        for seed in range(seeds):
            try:
                reserve_world.walk(seed, STEPS)
            except AssertionError:
                return
        self.fail("no walk breaks a rule")

    def test_index_of_a_permit_that_has_not_expired(self):
        self._detected((Policy, "regrant_s", -math.inf))

    def test_index_without_the_window(self):
        self._detected((Policy, "regrant_s", 0.0))

    def test_new_owner_that_does_not_wait(self):
        self._detected((Policy, "unclaimed_s", 0.0))

    def test_new_owner_that_waits_for_permits_only(self):
        waits_s = reserve_policy.PERMIT_S
        self._detected((Policy, "unclaimed_s", waits_s))

    def test_expired_permit_that_is_continued(self):
        apply = local_permit.LocalPermit.apply
        self._detected(
            (local_permit.LocalPermit, "apply", _granted_anew(apply))
        )

    def test_permit_that_two_daemons_claim(self):
        ledger = permit_ledger.PermitLedger
        self._detected(
            (ledger, "_claimed", _renews_for_all(ledger._claimed)),
        )

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
