"""Simulation of a member with admission control, in virtual time."""

import asyncio
import heapq
import itertools

from returns import result

from burdockcart.request import admission
from burdockcart.version import rows


class MemberSimulation:
    """Runs arrivals through admission control.

    ``service(kind, running)`` returns a running time in seconds.
    """

    def __init__(self, slots, service):
        self.admission = admission.Admission(slots)
        self.service = service
        self.loop = asyncio.new_event_loop()
        self.events = []
        self.serials = itertools.count()
        self.answered = []
        self.refused = []
        self.waiting = []

    def arrive(self, at, caller, kind, deadline_s=1.0, cost=rows.Cost.AUTO):
        """Schedule an arrival."""
        work = admission.Work(
            caller, "r", kind, at + deadline_s, self.loop.create_future(), cost
        )
        self._push(at, self._offer, work)

    def run(self):
        """Process all events and close the loop."""
        while self.events:
            now, _, handler, work = heapq.heappop(self.events)
            handler(now, work)
        self.loop.close()

    def _push(self, at, handler, work):
        heapq.heappush(self.events, (at, next(self.serials), handler, work))

    def _offer(self, now, work):
        offered = self.admission.offer(work, now)
        if isinstance(offered, result.Failure):
            self.refused.append((now, 0.0, work, offered.failure()))
            return
        self.waiting.append((now, work))
        self.admission.start_next(now)
        self._collect(now)

    def _collect(self, now):
        still_waiting = []
        for arrived, work in self.waiting:
            if not work.admitted.done():
                still_waiting.append((arrived, work))
            elif work.admitted.result() is True:
                duration_s = self.service(work.kind, self.admission.running)
                self._push(
                    now + duration_s, self._finish, (arrived, work, now)
                )
            else:
                failure = work.admitted.result()
                self.refused.append((now, now - arrived, work, failure))
        self.waiting = still_waiting

    def _finish(self, now, item):
        arrived, work, started = item
        self.answered.append((now, arrived, work))
        self.admission.finished(work, now - started, now)
        self._collect(now)
