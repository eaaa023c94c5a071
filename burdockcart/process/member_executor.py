"""Executor that owns the connections and slots of one member."""

import asyncio
import itertools
from typing import Any
from typing import Awaitable
from typing import Callable

import msgspec
from returns import result
import xxhash

from burdockcart import clock
from burdockcart.connection import target_connection
from burdockcart.connection import target_pool
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import metrics
from burdockcart.process import peer_messages
from burdockcart.request import admission
from burdockcart.request import statement
from burdockcart.version import rows

PROBE_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.5
#: Connections left free at the member for direct probes by the two other
#: coordinators; without them a fully used member would look failed to both.
RESERVED_PROBE_CONNECTIONS = 2

Outcome = result.Result[dict[str, Any], errors.Failure]

_NOT_RUN = errors.ErrorKind.NO_PRIMARY
_UNKNOWN = errors.ErrorKind.OUTCOME_UNKNOWN


def _statement_connections(pool: rows.Pool) -> int:
    """Return the connections for statements; small limits reserve fewer."""
    limit = pool.connections_per_member - 1
    return max(
        limit - RESERVED_PROBE_CONNECTIONS,
        min(limit, pool.slots_per_member + 1),
    )


class MemberExecutor:
    """Runs statements on one member and probes it.

    Explanation
    ===========

    One connection is reserved for probes and confirmations, so that they
    never wait behind statements.  Invariant: concurrent statements never
    exceed the slots, and open connections never exceed the limit.

    """

    def __init__(
        self,
        member: rows.Member,
        pool: rows.Pool,
        connector: target_connection.Connector,
        time: clock.Clock,
        may_act: Callable[[], bool] = lambda: True,
        counters: metrics.Metrics | None = None,
    ):
        self.member = member
        self._metrics = counters or metrics.Metrics()
        self._may_act = may_act
        self.admission = admission.Admission(
            pool.slots_per_member,
            xxhash.xxh3_64_intdigest(member.id.encode()),
            may_act,
        )
        self.connections = target_pool.TargetPool(
            connector,
            member.address,
            _statement_connections(pool),
            pool.connect_ms / 1000,
            pool.slots_per_member,
        )
        self._control = target_pool.TargetPool(connector, member.address, 1)
        self._control_lock = asyncio.Lock()
        self._clock = time
        self._exchanges = itertools.count(1)
        self._writing: set[target_connection.TargetConnection] = set()

    async def probe(
        self, timeout_s: float = PROBE_TIMEOUT_S
    ) -> peer_messages.MemberState | None:
        """Request and return the member's current state."""
        with self.admission.peak_running() as peak:
            reply = await self.command("/state", None, timeout_s)
        if reply is None:
            return None
        state = msgspec.convert(reply, peer_messages.MemberState)
        # Own statements may have started or ended since the request.  Taking
        # their peak avoids counting them as statements of other daemons.
        self.admission.running_elsewhere = max(state.running - peak[0], 0)
        self.admission.start_next(self._clock.now())
        return msgspec.structs.replace(state, load=self.admission.load)

    def wait_for_probe(self) -> None:
        """Start no statement until a probe reports what other daemons run."""
        self.admission.running_elsewhere = self.admission.slots

    @property
    def busy(self) -> bool:
        """Return whether statements run or wait."""
        return bool(self.admission.running or self.admission.queued)

    async def command(
        self, path: str, body: dict[str, Any] | None, timeout_s: float
    ) -> dict[str, Any] | None:
        """Send a request on the control connection."""
        try:
            async with asyncio.timeout(timeout_s), self._control_lock:
                connection = await self._control.acquire()
                if connection is None:
                    return None
                try:
                    answer = await connection.request(path, body, timeout_s)
                finally:
                    self._control.release(connection)
        except asyncio.TimeoutError:
            return None
        return answer.value_or(None)

    async def execute(
        self,
        message: peer_messages.Execute,
        term: ids.Term,
        ready: Awaitable[errors.Failure | None] | None = None,
    ) -> Outcome:
        """Run a statement when a slot is free, within its deadline.

        ``ready`` is awaited before the statement is sent; a failure that it
        returns refuses the statement.
        """

        async def send(work: admission.Work) -> Outcome:
            refused = await ready if ready is not None else None
            if refused is not None:
                return result.Failure(refused)
            return await self._send(message, term, work)

        return await self.run(message, send)

    async def run(
        self,
        message: peer_messages.Execute,
        send: Callable[[admission.Work], Awaitable[Outcome]],
    ) -> Outcome:
        """Call ``send`` once a slot is free, with the work that holds it."""
        now = self._clock.now()
        work = admission.Work(
            message.caller,
            message.route,
            message.kind,
            now + message.deadline_ms / 1000,
            asyncio.get_running_loop().create_future(),
            message.cost,
        )
        try:
            refused = await self._admit(work, now)
            if refused is not None:
                return result.Failure(refused)
            return await send(work)
        finally:
            # Also reached when the caller disconnects while the work waits.
            self.admission.discard(work, self._clock.now())

    async def _admit(
        self, work: admission.Work, now: float
    ) -> errors.Failure | None:
        """Wait for a slot; return the refusal if there is none in time."""
        self.connections.record_arrival(now)
        offered = self.admission.offer(work, now)
        if isinstance(offered, result.Failure):
            return offered.failure()
        self.admission.start_next(now)
        # Unlike wait_for, wait does not cancel the future at the timeout, so
        # a slot granted in the same step is not lost.
        await asyncio.wait(
            {work.admitted}, timeout=self.admission.wait_limit_s(work, now)
        )
        self._metrics.timing("executor.queue_wait", self._clock.now() - now)
        if not work.admitted.done():
            return self.admission.deadline_refusal(work)
        verdict = work.admitted.result()
        return verdict if isinstance(verdict, errors.Failure) else None

    async def _send(
        self,
        message: peer_messages.Execute,
        term: ids.Term,
        work: admission.Work,
    ) -> Outcome:
        connection = await self.connections.acquire()
        if connection is None:
            text = f"no connection to {self.member.id}"
            return result.Failure(errors.Failure(_NOT_RUN, text))
        body = {
            "request_id": message.request_id,
            "term": term,
            "operation": message.operation.value,
            "statement": message.statement,
        }
        try:
            return await self.exchange(connection, "/execute", body, work)
        finally:
            self.connections.release(connection)

    async def exchange(
        self,
        connection: target_connection.TargetConnection,
        path: str,
        body: dict[str, Any],
        work: admission.Work,
    ) -> Outcome:
        """Send a request and check that the answer belongs to it."""
        started = self._clock.now()
        if not self.admission.can_finish(work, started):
            return result.Failure(self.admission.deadline_refusal(work))
        if not self._may_act():
            text = f"the right to use {self.member.id} was lost"
            return result.Failure(errors.Failure(_NOT_RUN, text))
        if body.get("operation") != statement.Operation.READ.value:
            self._writing.add(connection)
        exchange = next(self._exchanges)
        try:
            answer = await connection.request(
                path,
                {**body, "exchange": exchange},
                work.deadline - started,
            )
        finally:
            self._writing.discard(connection)
            end = self._clock.now()
            self.connections.record_hold_time(end - started)
            self._metrics.timing("executor.statement_time", end - started)
            self.admission.finished(work, end - started, end)
        if isinstance(answer, result.Failure):
            return result.Failure(self._fault(answer.failure()))
        reply = answer.unwrap()
        if reply.get("exchange") != exchange:
            # A duplicated answer shifts all later ones by one.  The request id
            # does not reveal this, because a retry has the same id.
            connection.close()
            return result.Failure(
                self._fault(target_connection.TargetFault.NO_ANSWER)
            )
        return result.Success(reply)

    def _fault(self, fault: target_connection.TargetFault) -> errors.Failure:
        if fault is target_connection.TargetFault.NOT_SENT:
            text = f"{self.member.id} was not reached"
            return errors.Failure(_NOT_RUN, text)
        text = f"{self.member.id} gave no answer"
        return errors.Failure(_UNKNOWN, text)

    def close_write_connections(self) -> None:
        """Close the connections of writes that wait for an answer.

        Otherwise a member that was replaced and does not answer would keep
        them waiting until their deadlines.

        """
        for connection in list(self._writing):
            connection.close()

    def close_idle(self) -> None:
        """Close idle connections so that another daemon can use them."""
        self.connections.close_idle()

    def close(self) -> None:
        """Close all connections."""
        self.connections.close()
        self._control.close()
