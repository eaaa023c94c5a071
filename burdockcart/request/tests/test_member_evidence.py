"""Tests the decisions on shared evidence with replayed load."""

import random

import testtools

from burdockcart.request import log_position
from burdockcart.request import member_evidence

DAEMONS = 87
#: Reads per second and daemon that need a position of this replica.
RATE = 2.0
FAULT_S = 6.0
RTT_S = 0.003


def position(number, term=1):
    """Return a position of a log."""
    return log_position.LogPosition(term, number)


def arrivals(seed):
    """Return the times and daemons of all reads of a fault."""
    rng = random.Random(seed)
    return sorted(
        (rng.uniform(0.0, FAULT_S), rng.randrange(DAEMONS))
        for _ in range(int(DAEMONS * RATE * FAULT_S))
    )


class TestReplayedReads(testtools.TestCase):
    """Reads that need what a replica without replication lacks."""

    def attempts(self, seed):
        """Return how many reads are sent to the replica, each tried once."""
        reports = [member_evidence.PositionReports() for _ in range(DAEMONS)]
        held, sent = position(0), 0
        for now, daemon in arrivals(seed):
            due_at = reports[daemon].expected_at(position(1), -1.0, 0.06, now)
            if due_at is None or due_at <= now:
                sent += 1
                reports[daemon].record_trial(now)
                reports[daemon].record(held, now + RTT_S)
        return sent

    def test_replica_without_replication(self):
        """Not every read may be tried at a replica that lacks the position.

        Without evidence all of them were.
        """
        for seed in range(5):
            total = len(arrivals(seed))
            self.assertLess(self.attempts(seed), 0.75 * total)

    def test_waiting_reads_do_not_storm(self):
        """One of many waiting reads may try the replica, not all at once."""
        reports = member_evidence.PositionReports()
        reports.record(position(0), 0.0)
        now = member_evidence.FRESH_S
        sent = 0
        for _ in range(20):
            if reports.expected_at(position(1), -1.0, 0.06, now) is None:
                sent += 1
                reports.record_trial(now)
        self.assertEqual(1, sent)

    def test_catch_up_ends_the_wait(self):
        """Reads must not wait any longer once any daemon saw the position."""
        reports = member_evidence.PositionReports()
        reports.record(position(0), 0.0)
        reports.record_trial(0.0)
        self.assertGreater(
            reports.expected_at(position(1), -1.0, 0.06, 0.01), 0.01
        )
        self.assertTrue(reports.record(position(1), 0.005))
        self.assertLess(
            reports.expected_at(position(1), -1.0, 0.06, 0.01), 0.01
        )

    def test_discarded_log(self):
        """Reports from before a member lost its log must not return."""
        reports = member_evidence.PositionReports()
        reports.record(position(9), 1.0)
        reports.record_lack(position(7), 2.0)
        self.assertFalse(reports.record(position(9), 1.5))
        self.assertTrue(reports.record(position(5), 2.0))
        self.assertEqual(position(5), reports.position)

    def test_old_report_says_nothing(self):
        """A report from before a commit must not delay reads of it."""
        reports = member_evidence.PositionReports()
        reports.record(position(0), 1.0)
        self.assertIsNone(reports.expected_at(position(1), 1.05, 0.06, 1.1))


class TestReplayedReachability(testtools.TestCase):
    """Attempts at a member that its five holders do not reach."""

    def test_attempts_are_limited(self):
        """Work of one daemon may try such a member once in 0.1 s."""
        rng = random.Random(1)
        found = member_evidence.Reachability()
        now, tried = 0.0, []
        while now < FAULT_S:
            now += rng.expovariate(50.0)
            if not found.unreached(now) or found.trial_due(now):
                tried.append(now)
                if found.unreached(now):
                    found.record_trial(now)
                found.record(f"d{rng.randrange(5)}", False, now)
        self.assertLess(len(tried), 12 * FAULT_S)

    def test_other_holder_reaches_it(self):
        """A holder that is cut off must not stop work through another one."""
        found = member_evidence.Reachability()
        for holder in ("d1", "d2"):
            found.record(holder, False, 1.0)
        self.assertTrue(found.unreached(1.0))
        found.record("d3", True, 1.05)
        self.assertFalse(found.unreached(1.05))
        # An older finding of the same holder arrives late.
        self.assertFalse(found.record("d3", False, 1.04))

    def test_silent_holders(self):
        """Evidence must not outlive the holders that sent it."""
        found = member_evidence.Reachability()
        for holder in ("d1", "d2"):
            found.record(holder, False, 1.0)
        self.assertTrue(found.unreached(1.2))
        self.assertFalse(found.unreached(1.26))
