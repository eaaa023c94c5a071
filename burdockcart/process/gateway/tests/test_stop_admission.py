"""Tests which statements a daemon that shuts down still takes."""

import testtools

from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway.sessions import stop_admission
from burdockcart.request import answer_times
from burdockcart.tests import gateway_deployment


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        """Return the time."""
        return self.time


def route(timeout_s):
    """Return a route with a time limit."""
    name = "live"
    found = gateway_deployment.ROUTES[name]
    tables = gateway_deployment.tables(
        routes={name: (*found[:2], timeout_s, *found[3:])}
    )
    return tables.route_by_database[ids.DatabaseName(name)]


Work = answer_times.Work


class TestStopAdmission(testtools.TestCase):
    """Admission during a stop of 6 s, whose last answers are due at 5.22 s."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.admission = stop_admission.StopAdmission(6.0, self.clock)

    def at(self, elapsed_s):
        """Set the time since the signal."""
        if not self.admission.stopping:
            self.admission.begin()
        self.clock.time = 100.0 + elapsed_s

    def takes(self, timeout_s, work):
        """Return whether a statement is taken."""
        refused = self.admission.refusal_to_run(route(timeout_s), work)
        return refused is None

    def test_before_the_signal(self):
        """Nothing is refused or limited before the signal."""
        self.assertIsNone(self.admission.refusal_to_open())
        self.assertIsNone(self.admission.refusal_to_begin(route(0.8)))
        self.assertTrue(self.takes(60.0, Work.WRITE))
        self.assertEqual(60.0, self.admission.limited(route(60.0)).timeout_s)

    def test_last_moment_of_a_write(self):
        """A write must be taken only if its limit ends before the exit."""
        for elapsed_s, timeout_s, taken in (
            (4.4, 0.8, True),
            (4.45, 0.8, False),
            (3.1, 2.0, True),
            (3.3, 2.0, False),
            (2.9, 20.0, True),
            (3.1, 20.0, False),
        ):
            self.at(elapsed_s)
            self.assertEqual(taken, self.takes(timeout_s, Work.WRITE))

    def test_last_moment_of_a_read(self):
        """A read must be taken while its usual time is left."""
        self.admission.learn(route(2.0), Work.READ, 0.1)
        self.at(5.0)
        self.assertTrue(self.takes(2.0, Work.READ))
        self.assertFalse(self.takes(2.0, Work.WRITE))
        self.at(5.05)
        self.assertFalse(self.takes(2.0, Work.READ))

    def test_last_moment_of_a_known_write(self):
        """A write must have three times its longest usual time."""
        self.admission.learn(route(2.0), Work.WRITE, 0.1)
        self.at(4.9)
        self.assertTrue(self.takes(2.0, Work.WRITE))
        self.at(4.95)
        self.assertFalse(self.takes(2.0, Work.WRITE))

    def test_last_moment_of_a_transaction(self):
        """A transaction must begin while its usual time is left.

        All transactions were refused from half of the time on.  If every
        daemon stops, their clients have nowhere else to go.
        """
        self.at(3.1)
        self.assertIsNotNone(self.admission.refusal_to_begin(route(0.8)))
        self.admission.learn(route(0.8), Work.TRANSACTION, 0.5)
        self.at(4.2)
        self.assertIsNone(self.admission.refusal_to_begin(route(0.8)))
        self.at(4.25)
        self.assertIsNotNone(self.admission.refusal_to_begin(route(0.8)))

    def test_read_of_an_unknown_route(self):
        """A read whose time is not known must be taken by its limit."""
        self.at(4.0)
        self.assertFalse(self.takes(2.0, Work.READ))
        self.assertTrue(self.takes(1.0, Work.READ))

    def test_limit_of_what_is_taken(self):
        """No statement may run longer than the stop allows."""
        self.at(2.0)
        limited = self.admission.limited(route(20.0))
        self.assertAlmostEqual(3.22, limited.timeout_s)
        self.assertEqual(0.8, self.admission.limited(route(0.8)).timeout_s)

    def test_refusal_is_a_promise(self):
        """A refusal must say that nothing ran, and when to come back."""
        self.at(5.5)
        for refused in (
            self.admission.refusal_to_open(),
            self.admission.refusal_to_begin(route(0.8)),
            self.admission.refusal_to_run(route(0.8), Work.WRITE),
            stop_admission.closing(in_transaction=False),
            stop_admission.closing(in_transaction=True),
        ):
            answer = errors.answer_for(refused.kind)
            self.assertIs(errors.Effect.NOT_RUN, answer.effect)
            self.assertGreater(refused.retry_after_ms, 0)

    def test_drain_that_is_tried_again(self):
        """The granted time must count from the signal."""
        self.at(0.0)
        self.at(3.0)
        self.admission.begin()
        self.assertEqual(3.0, self.admission.elapsed_s)

    def test_end(self):
        """Nothing may be taken once the last steps have begun."""
        self.at(2.4)
        self.admission.end()
        self.assertIsNotNone(self.admission.refusal_to_open())
        self.assertIsNotNone(self.admission.refusal_to_begin(route(0.8)))
        self.assertFalse(self.takes(0.1, Work.READ))
