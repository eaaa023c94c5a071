"""Tests the age rule of the evidence for keys."""

import msgspec
import testtools

from burdockcart.process.accounts import key_evidence
from burdockcart.process.gateway.store import coordination
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

Shown = key_evidence.Shown


def entry(daemon="d", era=1, version=1):
    """Return a registered daemon."""
    return coordination.DaemonEntry(daemon, "a:1", "z", "boot", era, version)


class TestAge(testtools.TestCase):
    """Age of the newest evidence."""

    def test_counts_from_the_request(self):
        """Guards against an answer that was on its way for long.

        The manifest may have changed right after the store had answered.
        """
        evidence = key_evidence.KeyEvidence(5.0, 5.0)
        self.assertFalse(evidence.fresh(0.0))
        evidence.polled(10.0, Shown.IN_FORCE, True)
        self.assertTrue(evidence.fresh(14.74))
        self.assertFalse(evidence.fresh(14.76))

    def test_late_answer_does_not_age_the_evidence(self):
        """Guards against an answer to an earlier request that comes last."""
        evidence = key_evidence.KeyEvidence(5.0, 5.0)
        evidence.polled(10.0, Shown.IN_FORCE, True)
        evidence.polled(9.0, Shown.IN_FORCE, True)
        self.assertEqual(4.0, evidence.age_s(14.0))

    def test_manifest_that_is_not_in_force(self):
        """Guards against evidence from a manifest that is not used.

        A key may have been removed in it.
        """
        for seen in (Shown.UNREADABLE, Shown.DIFFERENT, Shown.OLDER):
            evidence = key_evidence.KeyEvidence(5.0, 5.0)
            evidence.polled(10.0, Shown.IN_FORCE, True)
            for sent_at in (11.0, 12.0, 13.0, 14.0):
                evidence.polled(sent_at, seen, True)
            self.assertTrue(evidence.fresh(14.5))
            self.assertFalse(evidence.fresh(14.8))
            evidence.polled(15.0, Shown.IN_FORCE, True)
            self.assertTrue(evidence.fresh(16.0))

    def test_no_bound(self):
        """Guards against refusals where no bound is asked for."""
        evidence = key_evidence.KeyEvidence(None, 5.0)
        self.assertTrue(evidence.fresh(1000.0))
        tables = gateway_deployment.tables(
            accounts=[manifest.Account(name="a")]
        )
        self.assertEqual(2.75, evidence.interval_s(2.75, tables))


class TestInterval(testtools.TestCase):
    """Interval of polling the store."""

    def test_interval(self):
        """Guards against more calls without accounts, and too few with."""
        evidence = key_evidence.KeyEvidence(5.0, 5.0)
        tables = gateway_deployment.tables()
        self.assertEqual(2.75, evidence.interval_s(2.75, tables))
        self.assertEqual(2.75, evidence.interval_s(2.75, None))
        keyed = gateway_deployment.tables(
            accounts=[manifest.Account(name="a")]
        )
        self.assertEqual(1.5, evidence.interval_s(2.75, keyed))
        self.assertEqual(1.0, evidence.interval_s(1.0, keyed))
        hasty = key_evidence.KeyEvidence(0.0, 5.0)
        self.assertEqual(0.1, hasty.interval_s(2.75, keyed))


class TestShown(testtools.TestCase):
    """Comparison of the manifest in the store with the one in force."""

    def test_shown(self):
        """Guards against a version that stands for other contents."""
        in_force = gateway_deployment.tables(5)
        same = gateway_deployment.tables(5)
        changed = msgspec.structs.replace(
            same, account_by_name={"a": manifest.Account(name="a")}
        )
        for stored, expected in (
            (in_force, Shown.IN_FORCE),
            (same, Shown.IN_FORCE),
            (changed, Shown.DIFFERENT),
            (gateway_deployment.tables(4), Shown.OLDER),
            (None, Shown.UNREADABLE),
        ):
            self.assertIs(expected, key_evidence.shown(stored, in_force))
        self.assertIs(Shown.UNREADABLE, key_evidence.shown(same, None))


class TestEras(testtools.TestCase):
    """Evidence from a store that was restored from a copy."""

    def restored(self):
        """Return evidence of 10 s, with a new era seen at 11 s."""
        evidence = key_evidence.KeyEvidence(5.0, 5.0)
        evidence.polled(10.0, Shown.IN_FORCE, True)
        evidence.era_changed(11.0)
        return evidence

    def test_older_manifest(self):
        """Guards against keys that only the restored manifest has."""
        evidence = self.restored()
        for sent_at in (11.0, 13.0, 15.9):
            evidence.polled(sent_at, Shown.OLDER, True)
        self.assertEqual(6.0, evidence.age_s(16.0))

    def test_manifest_is_never_written_again(self):
        """Guards against a daemon that refuses all keys for good."""
        evidence = self.restored()
        evidence.polled(16.1, Shown.OLDER, True)
        evidence.polled(18.1, Shown.OLDER, True)
        self.assertTrue(evidence.fresh(19.0))

    def test_older_manifest_later_on(self):
        """Guards against an older manifest that is accepted after all.

        Only the one that the store kept after a restore is.
        """
        evidence = self.restored()
        evidence.polled(16.1, Shown.IN_FORCE, True)
        evidence.polled(20.0, Shown.OLDER, True)
        self.assertEqual(4.0, evidence.age_s(20.1))

    def test_daemon_that_knows_less_than_others(self):
        """Guards against evidence from a manifest that others have left.

        This daemon had not read the newest one before the restore, and the
        others have not registered again yet.
        """
        evidence = self.restored()
        evidence.polled(12.0, Shown.IN_FORCE, False)
        self.assertEqual(3.0, evidence.age_s(13.0))
        evidence.polled(13.0, Shown.IN_FORCE, True)
        self.assertEqual(0.0, evidence.age_s(13.0))

    def test_complete(self):
        """Guards against a list that lacks a daemon with a newer manifest."""
        for entries, expected in (
            ([], True),
            ([entry(), entry("e")], True),
            ([entry(), entry("e", era=0)], False),
            ([entry(), entry("e", version=2)], False),
        ):
            self.assertEqual(
                expected, key_evidence.complete(entries, 1, version=1)
            )
