"""Guards the arithmetic behind the measured values."""

import random

import testtools

from burdockcart.measure import crest
from burdockcart.measure import load
from burdockcart.measure import reads


def outcome(at, ended_at, status=200, deadline_s=2.0, **answer):
    request = load.PlannedRequest(at, "d", "c", {"kind": "read"}, deadline_s)
    return load.Outcome(request, at, ended_at, status, answer)


def record(written=(), reached=()):
    rows = [
        {"at": at, "position": position, "write": True, "role": "primary"}
        for at, position in written
    ]
    return {"record": rows, "reached": [list(each) for each in reached]}


class TestMeasures(testtools.TestCase):
    def test_late_answers_and_refusals_are_no_goodput(self):
        """Guards against counting answers that came after the deadline."""
        start = crest.NORMAL_LOAD_S
        outcomes = [
            outcome(0.0, 0.1),
            outcome(start, start + 1.0),
            outcome(start, start + 2.5),
            outcome(start, start + 0.1, 503, effect="not run"),
        ]
        self.assertAlmostEqual(
            1 / (10 * crest.OVERLOAD_S), crest.goodput(outcomes, 10.0)
        )

    def test_a_read_is_allowed_only_if_a_replica_held_its_position(self):
        """Guards against a share of the wrong reads."""
        truth = reads.ReplicaHistory(
            [
                record(written=[(1.0, 1), (2.0, 2), (3.0, 3)]),
                record(reached=[(1.1, 1), (2.1, 2), (9.0, 3)]),
            ]
        )

        def allowed(sent_at, position, kind="read"):
            read = reads.Read(sent_at, 0.0, "g", kind, position, 200)
            return truth.allows(read)

        self.assertTrue(allowed(2.2, 2))
        self.assertFalse(allowed(2.05, 2))
        self.assertFalse(allowed(8.0, 3))
        self.assertTrue(allowed(3.4, 2, "fresh"))
        self.assertFalse(allowed(3.6, 2, "fresh"))
        self.assertAlmostEqual(0.6, truth.age_s(2, 3.6))

    def test_arrivals_keep_their_rate_and_bounds(self):
        """Guards against a load that is lighter than stated."""
        times = list(load.poisson(random.Random(3), 200.0, 5.0, 25.0))
        self.assertTrue(5.0 < times[0] and times[-1] < 25.0)
        self.assertTrue(3700 < len(times) < 4300, len(times))
