"""Tests how promotions by several daemons are kept apart."""

import testtools

from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era

GROUP = "g"


def lost(revision, claimed_at_ms, **fields):
    """Return another daemon's claim at a revision."""
    record = coordination.PromotionRecord(
        "other", "x", claimed_at_ms, **fields
    )
    return coordination.ClaimLost(record, revision)


class TestExpiry(testtools.TestCase):
    """When another daemon's claim no longer counts."""

    def setUp(self):
        super().setUp()
        self.claims = promotion_claims.PromotionClaims("own", 3.0)

    def test_clock_ahead(self):
        """A clock that is ahead must not end another daemon's claim.

        With clocks 4.8 s apart a claim of the same moment looked expired, and
        two daemons compared the logs at the same time.
        """
        found = lost(5, claimed_at_ms=100_000)
        self.assertFalse(self.claims.lost(GROUP, found, 104_800, now=50.0))
        self.assertFalse(self.claims.may_try(GROUP, False, 52.9))

    def test_expires_by_own_clock(self):
        """A claim must expire after its lifetime, whatever clocks say."""
        found = lost(5, claimed_at_ms=100_000)
        self.assertFalse(self.claims.lost(GROUP, found, 90_000, now=50.0))
        self.assertTrue(self.claims.lost(GROUP, found, 93_000, now=53.0))

    def test_newer_claim_starts_anew(self):
        """Another claim of the other daemon has a lifetime of its own."""
        self.claims.lost(GROUP, lost(5, 100_000), 100_000, now=50.0)
        newer = lost(6, 102_000)
        self.assertFalse(self.claims.lost(GROUP, newer, 103_000, now=53.0))

    def test_old_claim(self):
        """The claim of an earlier failover must not delay the next one."""
        found = lost(5, claimed_at_ms=100_000)
        self.assertTrue(self.claims.lost(GROUP, found, 160_000, now=50.0))

    def test_settled_claim(self):
        """A claim that has ended must not delay the next one."""
        found = lost(5, claimed_at_ms=100_000, settled=True)
        self.assertTrue(self.claims.lost(GROUP, found, 100_500, now=50.0))

    def test_candidate_of_an_open_call(self):
        """The member of another daemon's open call must be remembered."""
        found = lost(5, claimed_at_ms=100_000, candidate="m-b")
        self.claims.lost(GROUP, found, 100_000, now=50.0)
        self.assertEqual("m-b", self.claims.candidate(GROUP, 54.0))
        self.claims.lost(GROUP, lost(6, 104_000, settled=True), 104_000, 54.0)
        self.assertIsNone(self.claims.candidate(GROUP, 54.0))

    def test_call_that_is_passed_on(self):
        """Records of several daemons must not keep a call open for ever.

        Each daemon names the call of the record that it replaces.
        """
        for second in range(0, 40, 2):
            found = lost(
                5 + second,
                claimed_at_ms=1000 * second,
                candidate="m-b",
                called_at_ms=1,
            )
            now = float(second)
            self.claims.lost(GROUP, found, 1000 * second, now)
            if second < 12:
                self.assertEqual("m-b", self.claims.candidate(GROUP, now))
        self.assertIsNone(self.claims.candidate(GROUP, 40.0))

    def test_record_of_a_poll(self):
        """A call must be known before this daemon wants to claim."""
        found = lost(5, claimed_at_ms=100_000, candidate="m-b")
        stored = coordination.StoredPromotion(found.record, found.position)
        self.claims.polled(GROUP, stored, 100_000, now=50.0)
        self.assertEqual("m-b", self.claims.candidate(GROUP, 60.0))
        # Read again, as after lost history of the store.
        self.claims.polled(GROUP, stored, 100_000, now=70.0)
        self.assertIsNone(self.claims.candidate(GROUP, 70.0))

    def poll(self, position, **fields):
        """Read a record in the store."""
        fields = {"claimed_at_ms": 100_000} | fields
        found = lost(position, **fields)
        stored = coordination.StoredPromotion(found.record, found.position)
        self.claims.polled(GROUP, stored, 100_000, now=50.0)

    def notice(self, position, member="m-b", called_at_ms=100_000, now=50.0):
        """Hear of a call from another daemon."""
        call = (member, called_at_ms, position)
        return self.claims.noticed(GROUP, call, 100_000, now)

    def test_notice_of_a_call(self):
        """It must count for as long as a call may be open, and no longer."""
        self.assertTrue(self.notice(5))
        self.assertEqual("m-b", self.claims.candidate(GROUP, 62.9))
        self.assertIsNone(self.claims.candidate(GROUP, 63.1))

    def test_record_before_a_notice(self):
        """A late answer of the store must not end a call heard of since."""
        self.notice(5)
        for position in (4, 5):
            self.poll(position, settled=True)
            self.assertEqual("m-b", self.claims.candidate(GROUP, 51.0))

    def test_record_after_a_notice(self):
        """A call that was not sent must not bind until it would expire."""
        for fields in ({}, {"settled": True}):
            self.claims = promotion_claims.PromotionClaims("own", 3.0)
            self.notice(5)
            self.poll(6, **fields)
            self.assertIsNone(self.claims.candidate(GROUP, 51.0))

    def test_notice_that_is_withdrawn(self):
        """What was open before must be open again."""
        self.poll(4, candidate="m-b")
        self.notice(5)
        self.claims.notice_withdrawn(GROUP, "m-b", 4)
        self.claims.notice_withdrawn(GROUP, "m-b", 5)
        self.assertEqual("m-b", self.claims.candidate(GROUP, 51.0))
        self.assertIsNone(self.claims.candidate(GROUP, 63.1))
        self.notice(6, now=64.0)
        self.claims.notice_withdrawn(GROUP, "m-b", 6)
        self.assertIsNone(self.claims.candidate(GROUP, 65.0))

    def test_notice_that_is_out_of_date(self):
        """A daemon must not promise what it does not keep."""
        self.poll(6, candidate="m-c")
        self.assertFalse(self.notice(5))
        self.assertEqual("m-c", self.claims.candidate(GROUP, 51.0))
        self.assertTrue(self.notice(5, "m-c"))
        self.assertFalse(self.notice(7, called_at_ms=80_000))
        self.claims.call_begins(GROUP, "m-c", 100_000, 52.0)
        self.assertFalse(self.notice(7))

    def test_notice_after_a_restore(self):
        """An older record of a restored store must not end a call."""
        self.notice(5)
        self.poll(store_era.position(1, 4))
        self.assertEqual("m-b", self.claims.candidate(GROUP, 51.0))

    def test_call_for_other_daemons(self):
        """Who hears of a call from a holder must go by the same records."""
        self.assertIsNone(self.claims.known_call(GROUP, 50.0))
        self.notice(5)
        self.assertEqual(
            ("m-b", 100_000, 5), self.claims.known_call(GROUP, 50.0)
        )
        self.poll(7, candidate="m-b", called_at_ms=100_000)
        self.assertEqual(
            ("m-b", 100_000, 7), self.claims.known_call(GROUP, 50.0)
        )

    def test_old_record_of_a_poll(self):
        """A daemon that starts must not take an old call for open."""
        found = lost(5, claimed_at_ms=100_000, candidate="m-b")
        stored = coordination.StoredPromotion(found.record, found.position)
        self.claims.polled(GROUP, stored, 160_000, now=1.0)
        self.assertIsNone(self.claims.candidate(GROUP, 1.0))

    def test_reservation_before_a_notice(self):
        """A call with the lower one of two reserved tokens must bind.

        Each holder's reservation replaces the record of the other one.
        """
        self.poll(7, reserved=True)
        self.poll(8, reserved=True)
        self.assertTrue(self.notice(7))
        self.assertEqual("m-b", self.claims.candidate(GROUP, 51.0))

    def test_reservation_that_names_another_call(self):
        """A call that may be carried out must not be forgotten for it."""
        self.poll(8, reserved=True, candidate="m-c", called_at_ms=100_000)
        self.assertFalse(self.notice(7))
        self.assertEqual("m-c", self.claims.candidate(GROUP, 51.0))

    def test_claim_before_a_reservation(self):
        """A call that rests on an earlier claim must not bind."""
        self.poll(8)
        self.poll(9, reserved=True)
        self.assertFalse(self.notice(7))

    def test_reservation_after_a_notice(self):
        """It copies the record before it, which does not name the call."""
        self.notice(7)
        self.poll(8, reserved=True)
        self.assertEqual("m-b", self.claims.candidate(GROUP, 51.0))
        self.poll(9)
        self.assertIsNone(self.claims.candidate(GROUP, 51.0))

    def test_reservation_that_passes_on_a_later_call(self):
        """A call of which the store tells must not be hidden by a notice."""
        self.notice(5)
        self.poll(8, reserved=True, candidate="m-c", called_at_ms=100_000)
        self.assertEqual("m-c", self.claims.candidate(GROUP, 51.0))

    def test_call_that_was_recorded_and_not_sent(self):
        """It must not bind daemons that have read its record by chance.

        Its sender writes the next record without it.
        """
        self.poll(5)
        self.poll(6, candidate="m-b", called_at_ms=100_000)
        self.assertEqual("m-b", self.claims.candidate(GROUP, 50.0))
        self.poll(7)
        self.assertIsNone(self.claims.candidate(GROUP, 50.0))

    def test_records_that_do_not_tell_what_became_of_a_call(self):
        """A call that may be carried out must not be forgotten for them."""
        self.poll(6, candidate="m-b", called_at_ms=100_000)
        self.poll(7, reserved=True)
        # The writer may have known the call for longer.
        self.poll(8, claimed_at_ms=108_000)
        # Its writer may not know what a restored store lacks.
        self.poll(store_era.position(1, 4))
        self.poll(
            store_era.position(1, 5), candidate="m-b", called_at_ms=99_000
        )
        self.poll(store_era.position(1, 6))
        self.assertEqual("m-b", self.claims.candidate(GROUP, 51.0))

    def test_own_call_that_others_do_not_know(self):
        """Records of daemons that do not know a call must not end it."""
        self.claims.call_begins(GROUP, "m-b", 100_000, 50.0)
        self.claims.call_unanswered(GROUP, 50.0)
        self.poll(6, candidate="m-b", called_at_ms=100_000)
        self.poll(7)
        self.assertEqual("m-b", self.claims.candidate(GROUP, 51.0))
        # An own call for the member of a recorded one.
        self.claims = promotion_claims.PromotionClaims("own", 3.0)
        self.poll(6, candidate="m-b", called_at_ms=100_000)
        self.claims.call_begins(GROUP, "m-b", 100_000, 50.0)
        self.claims.call_unanswered(GROUP, 50.0)
        self.poll(7)
        self.assertEqual("m-b", self.claims.candidate(GROUP, 51.0))
