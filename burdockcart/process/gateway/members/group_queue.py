"""Work that waits for a connection to a group: admission and giving up."""

import asyncio
from typing import Protocol

from returns import result

from burdockcart import clock
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.promotion import primary_tracker
from burdockcart.request import queue_admission
from burdockcart.request import work_queue

#: Retry hint for clients of a daemon that is cut off, in milliseconds: the
#: load balancer sends them elsewhere by then.
ISOLATED_RETRY_MS = 1000
#: The same of a group whose primary leaves, in milliseconds: about the time
#: until the next attempt to replace it.
REPLACEMENT_RETRY_MS = 400


class Members(Protocol):
    """The group, as far as its queue needs it."""

    id: ids.GroupId
    isolated: bool
    primary: primary_tracker.PrimaryTracker

    def dispatch(self) -> None:
        """Assign idle connections to the queued work."""

    def possible_pools(
        self, work: work_queue.Work
    ) -> list[member_pool.MemberPool]:
        """Return the pools of the members that work may be meant for."""

    def has_free(self, work: work_queue.Work) -> bool:
        """Return whether a connection is free for work."""


class GroupQueue:
    """Waits for connections, refuses work, and ends waits in vain.

    Parameters
    ==========

    domain : DomainName
        Failure domain of this daemon.
    drain_s : float
        Time after which a draining member must get no new work, in seconds.

    """

    def __init__(
        self,
        members: Members,
        queue: work_queue.WorkQueue,
        domain: ids.DomainName,
        drain_s: float,
        loop_clock: clock.Clock,
    ):
        self._members = members
        self._queue = queue
        self._admission = queue_admission.Admission(
            queue, f"{members.id}/{id(self)}"
        )
        self._domain = domain
        self._drain_s = drain_s
        self._clock = loop_clock
        self._timers: dict[work_queue.Work, asyncio.TimerHandle] = {}
        self._queued_at: dict[work_queue.Work, float] = {}

    def waited_s(self, work: work_queue.Work, now: float) -> float:
        """Return for how long work has been queued, in seconds."""
        return now - self._queued_at.get(work, now)

    async def acquire(
        self, work: work_queue.Work
    ) -> result.Result[pooled_connection.PooledConnection, errors.Failure]:
        """Wait for a connection to a member that can run the work."""
        refusal = self._refusal_for(work)
        if refusal is not None:
            return result.Failure(refusal)
        self._queued_at[work] = self._clock.now()
        self._queue.push(work, self._queued_at[work])
        loop = asyncio.get_running_loop()
        self._timers[work] = loop.call_at(work.give_up_at, self._give_up, work)
        self._members.dispatch()
        try:
            return await work.connection
        except asyncio.CancelledError:
            self._return_unused(work)
            raise
        finally:
            self._queue.remove(work)
            self._timers.pop(work).cancel()
            del self._queued_at[work]

    def _return_unused(self, work: work_queue.Work) -> None:
        """Return the connection of work that has been cancelled."""
        if work.connection.done() and not work.connection.cancelled():
            given = work.connection.result().value_or(None)
            if given is not None:
                given.pool.give_back(given)

    def _refusal_for(self, work: work_queue.Work) -> errors.Failure | None:
        """Return a failure if work cannot be served in time."""
        now = self._clock.now()
        if work.member is not None:
            return self._refusal_for_backlog(work, now)
        primary = self._members.primary
        if (
            work.primary_only
            and self._members.isolated
            and not self._primary_is_local()
        ):
            return errors.Failure(
                errors.ErrorKind.NO_PRIMARY,
                f"the primary of group {self._members.id} is unreachable",
                retry_after_ms=ISOLATED_RETRY_MS,
            )
        if work.primary_only and self._primary_has_drained():
            return errors.Failure(
                errors.ErrorKind.NO_PRIMARY,
                f"the primary of group {self._members.id} leaves and is not "
                "replaced",
                retry_after_ms=REPLACEMENT_RETRY_MS,
            )
        if work.primary_only and primary.expected_at is not None:
            due_s = primary.expected_at - now
            if due_s > work.give_up_at - now:
                return errors.Failure(
                    errors.ErrorKind.NO_PRIMARY,
                    f"group {self._members.id} is waiting for a new primary",
                    retry_after_ms=int(due_s * 1000),
                )
        return self._refusal_for_backlog(work, now)

    def _refusal_for_backlog(
        self, work: work_queue.Work, now: float
    ) -> errors.Failure | None:
        """Return a failure if the queue is too long for work."""
        retry_s = self._admission.refusal(
            work,
            self._connections(work, now),
            now,
            lambda: self._members.has_free(work),
        )
        if retry_s is None:
            return None
        return errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f"{len(self._queue)} statements are queued for group "
            f"{self._members.id}",
            retry_after_ms=int(retry_s * 1000),
        )

    def _connections(self, work: work_queue.Work, now: float) -> int:
        """Return the statements that members may get at the same time.

        If no member can be tried now, all of them count: one that has failed
        once is tried again after 0.05 s.
        """
        pools = self._members.possible_pools(work)
        usable = sum(
            min(pool.share.hard_limit, pool.limit.statements)
            for pool in pools
            if pool.health.usable(now)
        )
        return usable or sum(pool.share.hard_limit for pool in pools)

    def refuse_unservable(self) -> None:
        """Refuse queued work whose deadline is before the next primary."""
        for work in self._queue.in_order(self._clock.now()):
            if work.connection.done() or not work.primary_only:
                continue
            refusal = self._refusal_for(work)
            if refusal is not None:
                self._queue.remove(work)
                work.connection.set_result(result.Failure(refusal))

    def _give_up(self, work: work_queue.Work) -> None:
        if work.connection.done():
            return
        self._queue.remove(work)
        kind, retry_s = errors.ErrorKind.OVERLOADED, 0.0
        now = self._clock.now()
        connections = self._connections(work, now)
        if work.primary_only and (
            self._members.primary.leadership.member is None
        ):
            kind = errors.ErrorKind.NO_PRIMARY
        else:
            retry_s = self._admission.retry_s(work, connections, now)
        failure = errors.Failure(
            kind,
            f"no connection to group {self._members.id}",
            retry_after_ms=int(retry_s * 1000),
        )
        work.connection.set_result(result.Failure(failure))

    def _primary_has_drained(self) -> bool:
        """Return whether the primary gets no work any more as it leaves.

        A new one that is about to lead is waited for.
        """
        pool = self._members.primary.pool()
        return (
            pool is not None
            and not pool.takes_new_work(self._drain_s)
            and self._members.primary.expected_at is None
        )

    def _primary_is_local(self) -> bool:
        """Return whether the primary is in this failure domain."""
        pool = self._members.primary.pool()
        return pool is not None and pool.entry.domain == self._domain
