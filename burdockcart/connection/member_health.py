"""Health of a member, inferred from the traffic of this daemon.

Explanation
===========

Health checks cost money and may be wrong in both directions, so a member is
judged by its answers to statements and by attempts to connect.

"""

import itertools
from typing import Callable
from typing import Iterable

from burdockcart.connection import backoff
from burdockcart.connection import member_channel
from burdockcart.connection import own_link

#: Weight of a new running time in the moving average.
WEIGHT = 0.15
#: Half-life of the decay of the latency estimate to the initial one, in
#: seconds, so that a member that was slow is tried again.
HALF_LIFE_S = 2.0
#: Half-life of the longest running time seen, in seconds.
LONGEST_HALF_LIFE_S = 10.0
#: An answer counts as lost after the highest of a multiple of the longest
#: recent running time, a share of the route's latency goal, and a minimum in
#: seconds.  The minimum is above the longest work of one user (140 ms); the
#: longest of another takes 270 ms for a goal of 500 ms.
OVERDUE_FACTOR = 1.5
OVERDUE_GOAL_SHARE = 0.6
OVERDUE_MIN_S = 0.16
#: Time after which an unanswered write indicates a primary that does not reach
#: its replicas, in seconds; above the time of a write behind a full queue (16
#: statements of 15 ms in 3 slots, and one of 160 ms).
STALLED_S = 0.4
#: Backoff between attempts to reach a member that fails, in seconds.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.5
#: The same while nothing else answers either, in seconds: a member that was
#: lost meanwhile must be noticed soon after the link is free.
RETRY_MAX_EXCUSED_S = 0.2


#: Faults of a statement after which the member must be checked.  A statement
#: is refused by a holder that does not reach the member, as another may.  One
#: that was not sent found that the member had ended the connection.
_INCONCLUSIVE = frozenset(
    {
        member_channel.MemberFault.SILENT,
        member_channel.MemberFault.REFUSED,
        member_channel.MemberFault.NOT_SENT,
    }
)


class MemberHealth:
    """Answers, failures and running times of one member.

    All times are of the event loop's clock.

    Examples
    ========

    >>> from burdockcart.connection import member_channel
    >>> from burdockcart.connection import member_health
    >>> health = member_health.MemberHealth(now=0.0)
    >>> health.record_failure(1.0, member_channel.MemberFault.REFUSED)
    True
    >>> health.usable(1.01), health.usable(1.06)
    (False, True)
    >>> health.record_answer(2.0)
    >>> health.usable(2.0)
    True

    """

    def __init__(
        self,
        now: float,
        initial_latency_s: float = 0.01,
        source: own_link.Source | None = None,
    ):
        #: The member's answers, as evidence for the state of the link.
        self.source = source or own_link.OwnLink(now).source()
        self.last_answer_at = now
        self.last_write_answer_at = now
        self.first_failure_at: float | None = None
        self.failures = 0
        self.refusals = 0
        #: Failed attempts since the last answer, and when the last one that
        #: says nothing about the member ended.
        self.attempts = 0
        self.excused_at: float | None = None
        self._initial_s = initial_latency_s
        self._latency_s = initial_latency_s
        self._latency_at = now
        self._retry_at = now
        self._longest_s = 0.0
        self._longest_at = now
        self._tickets = itertools.count()
        self._sent_at_by_ticket: dict[int, float] = {}
        #: When they were sent, whatever has restarted the timers since.
        self._asked_at_by_ticket: dict[int, float] = {}
        self._write_tickets: set[int] = set()
        self._relay_silent_by_ticket: dict[int, Callable[[], bool]] = {}
        #: Whether no write has succeeded since one stalled.
        self._stalled = False
        #: Whether a statement was abandoned since the last answer.
        self._abandoned = False

    def record_sent(
        self,
        now: float,
        waits_for_replica: bool = False,
        relay_silent: Callable[[], bool] | None = None,
    ) -> int:
        """Record that a statement was sent; return its ticket.

        Parameters
        ==========

        waits_for_replica : bool
            True for writes and commits, whose answer also depends on a
            replica.
        relay_silent : callable
            Returns whether the daemon that relays the statement is silent;
            the missing answer then says nothing about the member.

        """
        ticket = next(self._tickets)
        self._sent_at_by_ticket[ticket] = now
        self._asked_at_by_ticket[ticket] = now
        if relay_silent is not None:
            self._relay_silent_by_ticket[ticket] = relay_silent
        if waits_for_replica:
            self._write_tickets.add(ticket)
        return ticket

    def record_ended(
        self, ticket: int, now: float, fault: member_channel.MemberFault | None
    ) -> None:
        """Record how a statement ended.

        An abandoned statement proves no failure: the member may be busy, or
        only this answer may be lost.  A probe tells if it can be reached.
        """
        sent_at = self._sent_at_by_ticket.pop(ticket)
        asked_at = self._asked_at_by_ticket.pop(ticket)
        self._relay_silent_by_ticket.pop(ticket, None)
        writes = ticket in self._write_tickets
        self._write_tickets.discard(ticket)
        if fault in member_channel.OF_RELAY:
            return
        if fault in _INCONCLUSIVE:
            self._abandoned = True
            return
        if fault is member_channel.MemberFault.BROKEN:
            self.record_failure(now, fault, asked_at)
            return
        if writes and fault is None:
            self.last_write_answer_at = now
            self._stalled = False
        if fault is None:
            self._longest_s = max(self._recent_longest_s(now), now - sent_at)
            self._longest_at = now
            expected_s = self.latency_s(now)
            self._latency_s = expected_s + WEIGHT * (
                now - sent_at - expected_s
            )
            self._latency_at = now
        self.record_answer(now, asked_at)

    def record_answer(self, now: float, sent_at: float | None = None) -> None:
        """Record any answer of the member.

        Parameters
        ==========

        sent_at : float or None
            When the request was sent; None if the member is to count as
            reachable without an answer.

        """
        if sent_at is not None:
            self.source.record_answer(sent_at, now)
        self.last_answer_at = now
        self._abandoned = False
        self.first_failure_at = None
        self.failures = 0
        self.refusals = 0
        self.attempts = 0
        self.excused_at = None
        self._retry_at = now

    def record_failure(
        self,
        now: float,
        fault: member_channel.MemberFault,
        sent_at: float | None = None,
    ) -> bool:
        """Record that the member could not be reached.

        Returns False if nothing else answered what was sent in the same
        time: the cause may be this daemon's own link.  The first such failure
        counts nevertheless, as nothing else may have been asked; the daemon
        then asks others.

        Parameters
        ==========

        sent_at : float or None
            When the attempt began; None if it is known to be the member's
            fault.

        """
        self.attempts += 1
        longest_s = RETRY_MAX_S
        excused = self._excused(fault, sent_at)
        if not excused or self.attempts == 1:
            if self.first_failure_at is None:
                self.first_failure_at = now
            self.failures += 1
            self.refusals += fault is member_channel.MemberFault.REFUSED
        else:
            longest_s = RETRY_MAX_EXCUSED_S
            self.excused_at = now
            if self.failures == 1:
                self.failures, self.first_failure_at = 0, None
        pause_s = backoff.longest_s(RETRY_MIN_S, self.attempts - 1, longest_s)
        self._retry_at = now + pause_s
        return not excused

    def _excused(
        self, fault: member_channel.MemberFault, sent_at: float | None
    ) -> bool:
        """Return whether a failure may be this daemon's own."""
        return (
            fault is member_channel.MemberFault.SILENT
            and sent_at is not None
            and not self.source.others_answered(sent_at)
        )

    def usable(self, now: float) -> bool:
        """Return whether the member may be tried."""
        return now >= self._retry_at

    @property
    def retry_at(self) -> float:
        """Time from which the member may be tried."""
        return self._retry_at

    @property
    def failing(self) -> bool:
        """Whether the last contact failed."""
        return self.attempts > 0

    def latency_s(self, now: float) -> float:
        """Return the expected running time."""
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
        """Return the running time after which an answer counts as lost.

        Parameters
        ==========

        latency_goal_s : float
            Latency goal of the statement's route.

        """
        return max(
            OVERDUE_MIN_S,
            OVERDUE_GOAL_SHARE * latency_goal_s,
            OVERDUE_FACTOR * self._recent_longest_s(now),
        )

    def needs_probe(self, now: float, wait_s: float) -> bool:
        """Return whether it is unknown if the member can be reached.

        That is so after a failure, after a statement was abandoned, and
        while a statement has been unanswered for ``wait_s`` and nothing
        else was answered meanwhile.
        """
        if self.failing or self._abandoned:
            return True
        quiet_s = now - self.last_answer_at
        return min(self.longest_wait_s(now), quiet_s) >= wait_s

    def restart_timers(self, now: float) -> None:
        """Restart all timers after this process was paused or cut off.

        The silence of the member proves nothing: its answers may lie unread
        in the sockets.
        """
        self.record_answer(now)
        self.last_write_answer_at = now
        self._sent_at_by_ticket = dict.fromkeys(self._sent_at_by_ticket, now)

    @property
    def awaits_answer(self) -> bool:
        """Whether the member owes an answer, or has failed to give one."""
        # Asked of each member in each scan, so ``failing`` is not called.
        return bool(
            self._sent_at_by_ticket or self.attempts or self._abandoned
        )

    @property
    def running(self) -> int:
        """Number of statements sent and not yet answered."""
        return len(self._sent_at_by_ticket)

    def longest_wait_s(self, now: float) -> float:
        """Return for how long the oldest statement has been unanswered."""
        oldest = self._oldest(self._sent_at_by_ticket)
        return 0.0 if oldest is None else now - oldest

    def _oldest(self, tickets: Iterable[int]) -> float | None:
        """Return when the oldest statement that awaits the member was sent.

        Asked several times for each statement.  Most tickets come in the
        order of their times, so mostly only the first one's relay is asked.
        """
        oldest: float | None = None
        for ticket in tickets:
            sent_at = self._sent_at_by_ticket[ticket]
            if (oldest is None or sent_at < oldest) and (
                self._awaits_member(ticket)
            ):
                oldest = sent_at
        return oldest

    def _awaits_member(self, ticket: int) -> bool:
        """Return whether only the member can delay an answer."""
        relay_silent = self._relay_silent_by_ticket.get(ticket)
        return relay_silent is None or not relay_silent()

    def writes_stalled(self, now: float) -> bool:
        """Return whether another write would stay unanswered, too.

        After the unanswered writes were abandoned, one write at a time
        probes whether the stall lasts: more would take the connections that
        reads need.
        """
        oldest_at = self.oldest_write_at()
        if oldest_at is None:
            return False
        since = max(oldest_at, self.last_write_answer_at)
        if now - since >= STALLED_S and self.source.link.answered(since):
            self._stalled = True
        return self._stalled

    def oldest_write_at(self) -> float | None:
        """Return when the oldest unanswered write was sent."""
        return self._oldest(self._write_tickets)
