"""Guards the limit of the statements at a member by their running times."""

import testtools

from burdockcart.request import member_limit


def answers(limit, took_s, count, now=0.0):
    """Record answers of one time each 10 ms; return the time after them."""
    for _ in range(count):
        limit.record_answer(took_s, now)
        now += 0.01
    return now


class TestRunningTimes(testtools.TestCase):
    """A member whose queue fills does not refuse before it is full."""

    def test_waiting_at_the_member(self):
        """Guards against work that waits where priorities do not count."""
        limit = member_limit.MemberLimit(10, needed=2)
        now = answers(limit, 0.02, 50)
        self.assertEqual(10, limit.statements)
        now = answers(limit, 0.1, 20, now)
        self.assertEqual(2, limit.statements)
        answers(limit, 0.02, 200, now)
        self.assertEqual(10, limit.statements)

    def test_slower_member(self):
        """Guards against a member that stays at the least for ever.

        One that has become slower by itself is used in full again.
        """
        limit = member_limit.MemberLimit(10, needed=2)
        now = answers(limit, 0.02, 50)
        now = answers(limit, 0.1, 20, now)
        self.assertEqual(2, limit.statements)
        answers(limit, 0.1, 1000, now)
        self.assertEqual(10, limit.statements)

    def test_not_below_what_refusals_left(self):
        """Guards against a limit that a slow answer raises."""
        limit = member_limit.MemberLimit(10, needed=4)
        now = answers(limit, 0.02, 50)
        limit.record_refusal(running=1, now=now)
        self.assertEqual(1, limit.statements)
        answers(limit, 0.1, 1, now)
        self.assertEqual(1, limit.statements)

    def test_answers_without_a_time(self):
        """Guards against writes that slow replicas make look queued."""
        limit = member_limit.MemberLimit(10, needed=2)
        now = answers(limit, 0.02, 50)
        answers(limit, None, 50, now)
        self.assertEqual(10, limit.statements)
