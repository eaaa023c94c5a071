"""Guards what is refused on arrival, and its retry times."""

import testtools

from burdockcart.request import queue_admission
from burdockcart.request import work_queue


def work(give_up_at=0.6):
    """Return work that has not queued yet."""
    return work_queue.Work(
        priority=1, goal_at=0.2, give_up_at=give_up_at, connection=None
    )


class TestAdmission(testtools.TestCase):
    """A queue of 100 statements before one connection: 2.6 s."""

    def setUp(self):
        super().setUp()
        queue = work_queue.WorkQueue()
        for _ in range(100):
            queue.push(work())
        self.admission = queue_admission.Admission(queue)

    def refusal(self, connections, free=False):
        return self.admission.refusal(work(), connections, 0.0, lambda: free)

    def test_free_connection(self):
        """Guards against refused work while a connection is free for it."""
        self.assertIsNone(self.refusal(1, free=True))
        self.assertIsNotNone(self.refusal(1))

    def test_usable_connections_count(self):
        """Guards against an estimate from connections that are not used."""
        self.assertIsNone(self.refusal(4))
        self.assertIsNotNone(self.refusal(2))

    def test_retry_times_are_spread(self):
        """Guards against refused clients that come back at once, or early."""
        times = [self.refusal(1) for _ in range(200)]
        self.assertGreaterEqual(min(times), 2.0)
        self.assertLessEqual(max(times), 4.0)
        self.assertGreater(max(times) - min(times), 1.5)
        waited = self.admission.retry_s(work(), 1000, 0.0)
        self.assertGreaterEqual(waited, queue_admission.RETRY_MIN_S)
