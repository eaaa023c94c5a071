"""What the traffic of this daemon shows of a member.

Explanation
===========

Health checks are priced and may be wrong in both directions, so a member is
judged by the answers to statements and by attempts to connect.

"""

import itertools

from burdockcart.connection import member_channel

#: Weight of a new running time in the moving mean.
WEIGHT = 0.15
#: An estimate this old has lost half of its distance to the initial one, in
#: seconds, so that a member that was slow is tried again.
HALF_LIFE_S = 2.0
#: Half-life of the longest running time seen, in seconds.
LONGEST_HALF_LIFE_S = 10.0
#: An answer is taken as lost after this multiple of the longest running time
#: of late, or this share of the route's latency goal, and not before the
#: least time (in seconds), which is above the longest work on the weather
#: firm's sheet (140 ms).  The longest on the co-operative's sheet takes
#: 270 ms for a goal of 500 ms.
OVERDUE = 1.5
OVERDUE_AT_GOAL = 0.6
OVERDUE_MIN_S = 0.16
#: Time after which an unanswered write stands for a primary that no replica
#: receives from, in seconds; above the time that a write behind a full queue
#: needs at the users (16 statements of 15 ms in 3 slots, and one of 160 ms).
STALLED_S = 0.4
#: Pauses between attempts to reach a member that fails, in seconds.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.5


class MemberHealth:
    """Answers, failures and running times of one member.

    Times are those of the event loop.

    Examples
    ========

    >>> from burdockcart.connection import member_channel
    >>> from burdockcart.connection import member_health
    >>> health = member_health.MemberHealth(now=0.0)
    >>> health.record_failure(1.0, member_channel.MemberFault.REFUSED)
    >>> health.usable(1.01), health.usable(1.06)
    (False, True)
    >>> health.record_answer(2.0)
    >>> health.usable(2.0)
    True

    """

    def __init__(self, now: float, initial_latency_s: float = 0.01):
        self.last_answer_at = now
        self.last_write_answer_at = now
        self.first_failure_at: float | None = None
        self.failures = 0
        self.refusals = 0
        self._initial_s = initial_latency_s
        self._latency_s = initial_latency_s
        self._latency_at = now
        self._retry_at = now
        self._longest_s = 0.0
        self._longest_at = now
        self._tickets = itertools.count()
        self._sent_at_by_ticket: dict[int, float] = {}
        self._write_tickets: set[int] = set()
        #: Whether no write has ended well since one stayed unanswered.
        self._stalled = False
        #: Whether a statement was given up since the last answer.
        self._gave_up = False

    def record_sent(self, now: float, waits_for_replica: bool = False) -> int:
        """Count a statement on its way; return its ticket.

        ``waits_for_replica`` marks writes and commits, whose answer depends
        on a replica as well.
        """
        ticket = next(self._tickets)
        self._sent_at_by_ticket[ticket] = now
        if waits_for_replica:
            self._write_tickets.add(ticket)
        return ticket

    def record_ended(
        self, ticket: int, now: float, fault: member_channel.MemberFault | None
    ) -> None:
        """Take over how a statement ended.

        One that was given up shows no failure: the member may be busy, or
        have lost this one answer.  Whether it can be reached is to be seen.
        """
        sent_at = self._sent_at_by_ticket.pop(ticket)
        writes = ticket in self._write_tickets
        self._write_tickets.discard(ticket)
        if fault is member_channel.MemberFault.SILENT:
            self._gave_up = True
            return
        if fault is member_channel.MemberFault.BROKEN:
            self.record_failure(now, fault)
            return
        if writes and fault is None:
            self.last_write_answer_at = now
            self._stalled = False
        if fault is None:
            self._longest_s = max(self._recent_longest_s(now), now - sent_at)
            self._longest_at = now
            self._latency_s = self.latency_s(now) + WEIGHT * (
                now - sent_at - self.latency_s(now)
            )
            self._latency_at = now
        self.record_answer(now)

    def record_answer(self, now: float) -> None:
        """Take over that the member answered anything."""
        self.last_answer_at = now
        self._gave_up = False
        self.first_failure_at = None
        self.failures = 0
        self.refusals = 0
        self._retry_at = now

    def record_failure(
        self, now: float, fault: member_channel.MemberFault
    ) -> None:
        """Take over that the member could not be reached."""
        if self.first_failure_at is None:
            self.first_failure_at = now
        self.failures += 1
        self.refusals += fault is member_channel.MemberFault.REFUSED
        pause_s = min(RETRY_MIN_S * 2 ** (self.failures - 1), RETRY_MAX_S)
        self._retry_at = now + pause_s

    def usable(self, now: float) -> bool:
        """Return whether the member may be tried."""
        return now >= self._retry_at

    @property
    def failing(self) -> bool:
        """Whether the last contact failed."""
        return self.failures > 0

    def latency_s(self, now: float) -> float:
        """Return the running time to expect."""
        age_s = now - self._latency_at
        weight = 0.5 ** (age_s / HALF_LIFE_S)
        learned = self._initial_s + weight * (
            self._latency_s - self._initial_s
        )
        return max(learned, self.longest_wait_s(now) / 2)

    def _recent_longest_s(self, now: float) -> float:
        age_s = now - self._longest_at
        return self._longest_s * 0.5 ** (age_s / LONGEST_HALF_LIFE_S)

    def overdue_s(self, now: float, latency_goal_s: float) -> float:
        """Return the running time after which an answer is taken as lost.

        Parameters
        ==========

        latency_goal_s : float
            Latency goal of the statement's route.

        """
        return max(
            OVERDUE_MIN_S,
            OVERDUE_AT_GOAL * latency_goal_s,
            OVERDUE * self._recent_longest_s(now),
        )

    def needs_probe(self, now: float, wait_s: float) -> bool:
        """Return whether it is open if the member can be reached.

        That is so while a statement has been unanswered for ``wait_s`` and
        nothing else was answered meanwhile, after one was given up, and
        after a failure.
        """
        if self.failing or self._gave_up:
            return True
        quiet_s = now - self.last_answer_at
        return min(self.longest_wait_s(now), quiet_s) >= wait_s

    def restart_timers(self, now: float) -> None:
        """Take what was not heard while this process stood still as unknown.

        The answers may lie unread in the sockets.
        """
        self.record_answer(now)
        self.last_write_answer_at = now
        self._sent_at_by_ticket = dict.fromkeys(self._sent_at_by_ticket, now)

    @property
    def running(self) -> int:
        """Number of statements on their way."""
        return len(self._sent_at_by_ticket)

    def longest_wait_s(self, now: float) -> float:
        """Return for how long the oldest statement has been unanswered."""
        oldest = min(self._sent_at_by_ticket.values(), default=now)
        return now - oldest

    def writes_stalled(self, now: float) -> bool:
        """Return whether writes stay unanswered, and another would too.

        Once the unanswered ones have been given up, one write at a time
        shows whether it is still so: more would take the connections that
        reads need.
        """
        oldest_at = self.oldest_write_at()
        if oldest_at is None:
            return False
        since = max(oldest_at, self.last_write_answer_at)
        if now - since >= STALLED_S:
            self._stalled = True
        return self._stalled

    def oldest_write_at(self) -> float | None:
        """Return when the oldest unanswered write was sent."""
        return min(
            (self._sent_at_by_ticket[each] for each in self._write_tickets),
            default=None,
        )
