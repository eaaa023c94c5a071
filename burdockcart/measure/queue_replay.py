"""Replays arrivals against queues and members, in virtual time.

Explanation
===========

Senders queue statements (:mod:`burdockcart.request.work_queue`) and relay them
to the holders of a member's connections, which queue them too.  A member runs
a few statements, queues 32 in the order of arrival and refuses more.  Nothing
but the decisions of the queues and of the members' limits is the code of the
daemon; the network takes a constant time and loses nothing.
"""

import heapq
import itertools
import math
import random
from typing import Any
from typing import Callable
from typing import Protocol
from typing import runtime_checkable

import msgspec

from burdockcart import ids
from burdockcart.measure import queue_loads
from burdockcart.request import log_position
from burdockcart.request import member_limit
from burdockcart.request import queue_admission
from burdockcart.request import retry_policy
from burdockcart.request import work_queue

ONE_WAY_S = 0.0005
SENDERS, HOLDERS, MEMBER_QUEUE = 10, 5, 32
#: Connections of a holder to a member, and relayed ones of a sender.
CONNECTIONS = 10
#: Share of the timeout that a statement may wait, as in the sessions.
WAIT_SHARE = 0.6
#: First pause after a full queue, as in the sessions.
QUEUE_FULL_PAUSE_S = 0.008
#: Running time that the order expects of a statement, in seconds.
RUNNING_S = 0.011
#: Pause of a client that is not told when to repeat.
NO_HINT_S = 0.1
#: Position that every member holds.
POSITION = log_position.LogPosition(0, 0)


def limit_of(
    kind: type[member_limit.MemberLimit],
) -> Callable[[], member_limit.MemberLimit]:
    """Return what creates the limits of a node's statements at a member."""
    needed = math.ceil(queue_loads.SLOTS / HOLDERS) + 2
    return lambda: kind(CONNECTIONS, needed)


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Decisions of all nodes.

    Parameters
    ==========

    queue : type
        Order and estimate of a queue.
    admission : type
        What refuses work of a queue.
    limit : callable
        Returns the limit of a node's statements at a member.
    counts_all : bool
        Whether estimates count unusable members and refused work.

    """

    name: str
    queue: type[work_queue.WorkQueue] = work_queue.WorkQueue
    admission: type[queue_admission.Admission] = queue_admission.Admission
    limit: Callable[[], member_limit.MemberLimit] = limit_of(
        member_limit.MemberLimit
    )
    counts_all: bool = False


@runtime_checkable
class EndsWaits(Protocol):
    """Admission that also ends the wait of queued work."""

    def hopeless(self, now: float) -> list[work_queue.Work]:
        """Return the work that is not expected to be served."""


class Outcome(msgspec.Struct, eq=False):
    """What became of one arrival.

    Parameters
    ==========

    how : str
        ``in time``, ``late``, ``on arrival``, ``after waiting`` or
        ``abandoned`` (by its client).

    """

    arrival: queue_loads.Arrival
    how: str
    ended_at: float


class Node:
    """A daemon with its queue; a holder if it has a member."""

    def __init__(self, policy: Policy, seed: int, member: int | None = None):
        self.queue = policy.queue()
        self.admission = policy.admission(self.queue, seed)
        self.counts_all = policy.counts_all
        self.member = member
        self.limits = [policy.limit() for _ in range(queue_loads.MEMBERS)]
        self.busy = [0] * queue_loads.MEMBERS

    def free(self, member: int) -> bool:
        """Return whether a connection to a member is free."""
        return self.busy[member] < self.limits[member].statements


class Try(msgspec.Struct, eq=False):
    """One statement on its way, with what happens at its end."""

    arrival: queue_loads.Arrival
    node: Node
    work: work_queue.Work
    ended: Callable[[float, "Answer"], None]
    attempt: int = 1


class Answer(msgspec.Struct, frozen=True):
    """Answer to a try: served, or refused and whether on arrival."""

    served: bool
    on_arrival: bool = False
    lost: bool = False
    retry_s: float = 0.0


class Replay:
    """One load under one policy."""

    def __init__(self, load: queue_loads.Load, policy: Policy, seed: int = 1):
        self.load = load
        self.outcomes: list[Outcome] = []
        #: Slot time of statements that ended after their client gave up.
        self.wasted_s = 0.0
        self._random = random.Random(seed)
        self._senders = [Node(policy, seed + n) for n in range(SENDERS)]
        self._holders = [
            [Node(policy, seed + 100 + n, n) for _ in range(HOLDERS)]
            for n in range(queue_loads.MEMBERS)
        ]
        self._running = [0] * queue_loads.MEMBERS
        self._member_queue: list[list[tuple[Try, Any]]] = [
            [] for _ in range(queue_loads.MEMBERS)
        ]
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._serials = itertools.count()
        self._at(load.lost[1], self._lose, load.lost[0])
        for arrival in load.arrivals:
            self._at(arrival.at, self._arrive, arrival)

    def _at(
        self, at: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        if at < float("inf"):
            event = (at, next(self._serials), action, arguments)
            heapq.heappush(self._events, event)

    def run(self) -> "Replay":
        """Replay the load; return itself."""
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self

    def _arrive(
        self, now: float, arrival: queue_loads.Arrival, repeats: int = 0
    ) -> None:
        outcome = Outcome(arrival, "", now)
        self.outcomes.append(outcome)

        def ended(at: float, answer: Answer) -> None:
            if outcome.how:
                return
            if not answer.served and repeats < self.load.retries:
                self.outcomes.remove(outcome)
                again_at = at + (answer.retry_s or NO_HINT_S)
                again = msgspec.structs.replace(arrival, at=again_at)
                self._at(again_at, self._arrive, again, repeats + 1)
                outcome.how = "repeated"
                return
            late = at - arrival.at > arrival.goal_s
            outcome.how = "late" if late else "in time"
            if not answer.served:
                waited = at > arrival.at or not answer.on_arrival
                outcome.how = "after waiting" if waited else "on arrival"
            outcome.ended_at = at

        def abandon(at: float) -> None:
            if not outcome.how:
                outcome.how, outcome.ended_at = "abandoned", at

        self._at(now + arrival.timeout_s, abandon)
        work = work_queue.Work(
            priority=arrival.priority,
            goal_at=now + arrival.goal_s,
            give_up_at=now + WAIT_SHARE * arrival.timeout_s,
            connection=None,  # type: ignore[arg-type]
            position=None if arrival.writes else POSITION,
            account=arrival.account,
        )
        sender = self._random.choice(self._senders)
        self._offer(now, Try(arrival, sender, work, ended))

    def _offer(self, now: float, tried: Try) -> None:
        """Queue a statement at a node, or refuse it."""
        node, work = tried.node, tried.work
        if now >= work.give_up_at:
            tried.ended(now, Answer(False))
            return
        usable = self._possible(work, now)
        retry_s = node.admission.refusal(
            work,
            self._connections(node, work, now),
            now,
            lambda: any(node.free(member) for member in usable),
        )
        if retry_s is not None:
            tried.ended(now, Answer(False, True, retry_s=retry_s))
            return
        work.value_by_name["try"] = tried  # type: ignore[assignment]
        node.queue.push(work, now)
        self._at(work.give_up_at, self._give_up, tried)
        self._dispatch(now, node)

    def _connections(
        self, node: Node, work: work_queue.Work, now: float
    ) -> int:
        """Return the connections that an estimate counts."""
        if node.counts_all:
            listed = (
                1 if work.primary_only or work.member else queue_loads.MEMBERS
            )
            return listed * CONNECTIONS
        usable = self._possible(work, now)
        return sum(node.limits[each].statements for each in usable)

    def _possible(self, work: work_queue.Work, now: float) -> list[int]:
        if work.member is not None:
            return [int(work.member)]
        members = [0] if work.primary_only else range(queue_loads.MEMBERS)
        return [each for each in members if self.load.runs(each, now)]

    def _give_up(self, now: float, tried: Try) -> None:
        node, work = tried.node, tried.work
        if work in node.queue:
            node.queue.remove(work)
            retry_s = node.admission.retry_s(
                work, self._connections(node, work, now), now
            )
            tried.ended(now, Answer(False, retry_s=retry_s))

    def _dispatch(self, now: float, node: Node) -> None:
        """Assign free connections to queued work."""
        if isinstance(node.admission, EndsWaits):
            for work in node.admission.hopeless(now):
                self._give_up(now, self._tried(work))
        for work in node.queue.in_order(now, RUNNING_S):
            free = [
                each for each in self._possible(work, now) if node.free(each)
            ]
            if not free:
                if not any(map(node.free, range(queue_loads.MEMBERS))):
                    return
                continue
            member = min(free, key=lambda each: (node.busy[each], each == 0))
            node.queue.remove(work)
            node.busy[member] += 1
            expected_s = node.queue.record_start(work, now)
            self._send(now, self._tried(work), member, expected_s)

    def _tried(self, work: work_queue.Work) -> Try:
        return work.value_by_name["try"]  # type: ignore[return-value]

    def _send(
        self, now: float, tried: Try, member: int, expected_s: float
    ) -> None:
        node = tried.node

        def answered(at: float, answer: Answer) -> None:
            node.busy[member] -= 1
            held_s = at - now
            if answer.served or node.counts_all:
                node.queue.record_hold_time(held_s)
            node.queue.record_end(tried.work.account, expected_s, held_s, at)
            if answer.served:
                measured = node.member is not None and not (
                    tried.arrival.writes
                )
                direct_s = held_s if measured else None
                node.limits[member].record_answer(direct_s, at)
            elif not answer.lost:
                node.limits[member].record_refusal(node.busy[member], at)
            if node.member is None and not answer.served:
                self._retry(at, tried)
            else:
                tried.ended(at, answer)
            self._dispatch(at, node)

        if node.member is not None:
            self._at(now + ONE_WAY_S, self._member_gets, tried, answered)
            return
        relayed = msgspec.structs.replace(
            tried.work, member=ids.MemberId(str(member)), value_by_name={}
        )
        holder = self._random.choice(self._holders[member])

        def returned(at: float, answer: Answer) -> None:
            self._at(at + ONE_WAY_S, answered, answer)

        onward = Try(tried.arrival, holder, relayed, returned)
        self._at(now + ONE_WAY_S, self._offer, onward)

    def _retry(self, now: float, tried: Try) -> None:
        """Try a refused statement again after a pause."""
        if tried.attempt >= retry_policy.MAX_ATTEMPTS:
            tried.ended(now, Answer(False))
            return
        pause_s = QUEUE_FULL_PAUSE_S * 2 ** (tried.attempt - 1)
        tried.attempt += 1
        self._at(now + pause_s, self._offer, tried)

    # Members

    def _member_gets(
        self, now: float, tried: Try, answered: Callable[..., None]
    ) -> None:
        member = tried.node.member
        assert member is not None
        waiting = self._member_queue[member]
        if not self.load.runs(member, now):
            self._at(now + ONE_WAY_S, answered, Answer(False, lost=True))
        elif len(waiting) >= MEMBER_QUEUE:
            self._at(now + ONE_WAY_S, answered, Answer(False))
        else:
            waiting.append((tried, answered))
            self._run_next(now, member)

    def _run_next(self, now: float, member: int) -> None:
        waiting = self._member_queue[member]
        while waiting and self._running[member] < queue_loads.SLOTS:
            tried, answered = waiting.pop(0)
            self._running[member] += 1
            took_s = tried.arrival.running_s * self.load.factor(member, now)
            self._at(now + took_s, self._end, member, tried, answered, took_s)

    def _end(
        self,
        now: float,
        member: int,
        tried: Try,
        answered: Callable[..., None],
        took_s: float,
    ) -> None:
        self._running[member] -= 1
        if now > tried.arrival.at + tried.arrival.timeout_s:
            self.wasted_s += took_s
        served = self.load.runs(member, now)
        self._at(now + ONE_WAY_S, answered, Answer(served, lost=not served))
        self._run_next(now, member)

    def _lose(self, now: float, member: int) -> None:
        """Refuse what waits at a member that is lost."""
        for _, answered in self._member_queue[member]:
            self._at(now + ONE_WAY_S, answered, Answer(False, lost=True))
        self._member_queue[member].clear()
