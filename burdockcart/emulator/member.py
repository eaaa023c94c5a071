"""Emulated database server: sessions, slots, record of statements."""

import asyncio
import collections
import dataclasses
from typing import Any

from burdockcart.emulator import replication

#: Rows kept in each record; the oldest are dropped.
MAX_RECORDS = 500_000
#: Entries in one answer to a replica.
MAX_BATCH = 1000


class Session:
    """State of one connection: its transaction, if one is open."""

    def __init__(self) -> None:
        self.statements: list[dict[str, Any]] | None = None
        self.transaction: str | None = None
        self.term = 0
        self.fresh = True


class Member:
    """One emulated member without its sockets.

    Parameters
    ==========

    name : str
        Name of the member.
    slots : int
        Statements that run at a time; further ones wait.
    work_ms : float
        Default duration of a statement, in milliseconds.

    """

    def __init__(self, name: str, primary: bool, slots: int, work_ms: float):
        self.state = replication.MemberState(name, primary)
        self.slots = asyncio.Semaphore(slots)
        self.work_ms = work_ms
        self.slow_ms = 0.0
        self.running = 0
        self.max_running = 0
        self.connections = 0
        #: Time and position after each replication step.
        self.reached: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=MAX_RECORDS
        )
        self.record: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_RECORDS
        )

    async def handle(
        self, session: Session, name: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Run a request of a proxy and return the answer."""
        try:
            answer = await self._dispatch(session, name, body)
        except replication.Refused as error:
            answer = {"status": "refused", "reason": error.reason}
        return {"exchange": body.get("exchange"), **answer}

    def describe(self) -> dict[str, Any]:
        """Return the member's state as proxies read it."""
        state = self.state
        return {
            "member": state.name,
            "term": state.term,
            "role": state.role,
            "position": state.position,
            "log_term": state.log_term,
            "history": state.history,
            "connections": self.connections,
            "running": self.running,
            "primary": state.primary_address,
        }

    def log_after(self, after: int, log_term: int) -> dict[str, Any]:
        """Return the entries that a replica lacks.

        Raises
        ======

        Refused
            The member is not a primary.

        """
        state = self.state
        if state.role != "primary":
            raise replication.Refused("not_primary")
        starts = [start for term, start in state.history if term > log_term]
        first = min([after, *starts])
        entries = state.entries[first : first + MAX_BATCH]
        return {
            "term": state.term,
            "history": list(state.history),
            "entries": [dataclasses.asdict(each) for each in entries],
        }

    def replicate(self, log: dict[str, Any]) -> None:
        """Apply the answer of a primary's :meth:`log_after`."""
        history = [(term, start) for term, start in log["history"]]
        entries = [replication.Entry(**each) for each in log["entries"]]
        before = self.state.position
        self.state.replicate(log["term"], history, entries)
        if self.state.position != before:
            now = asyncio.get_running_loop().time()
            self.reached.append((now, self.state.position))

    def note(self, **fields: Any) -> None:
        """Add a row to the record of executed statements."""
        now = asyncio.get_running_loop().time()
        self.record.append({"at": now, "member": self.state.name, **fields})

    async def hold_slot(self, statement: dict[str, Any]) -> None:
        """Hold a slot for the duration of a statement."""
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            async with self.slots:
                work = statement.get("work_ms", self.work_ms)
                await asyncio.sleep((work + self.slow_ms) / 1000)
        finally:
            self.running -= 1

    async def _dispatch(
        self, session: Session, name: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        state = self.state
        if name == "adopt":
            granted = state.adopt(body["term"], body["coordinator"])
            return {"granted": granted, **self.describe()}
        if name == "promote":
            granted = state.promote(body["term"], body["coordinator"])
            return {"granted": granted, **self.describe()}
        if name == "follow":
            granted = state.follow(body["term"], body["primary"])
            return {"granted": granted, **self.describe()}
        if name in ("execute", "begin", "commit", "rollback"):
            return await getattr(self, "_run_" + name)(session, body)
        raise replication.Refused("unknown_request")

    def _result(self, value: Any) -> dict[str, Any]:
        state = self.state
        return {
            "status": "ok",
            "result": value,
            "term": state.term,
            "log_term": state.log_term,
            "position": state.position,
            "role": state.role,
        }

    async def _run_execute(
        self, session: Session, body: dict[str, Any]
    ) -> dict[str, Any]:
        state, statement = self.state, body["statement"]
        state.check_term(body["term"])
        await self.hold_slot(statement)
        write = body["operation"] == "write"
        try:
            if session.statements is not None:
                value = self._in_transaction(session, body, statement, write)
            elif write:
                value = state.write(
                    body["term"], body["request_id"], [statement]
                )[0]
            else:
                state.check_term(body["term"])
                value = replication.apply_statement(
                    dict(state.data), statement
                )
        except replication.StatementError as error:
            self._record_statement(body, write, None)
            return {
                **self._result(None),
                "status": "failed",
                "message": str(error),
            }
        self._record_statement(body, write, session.transaction)
        return self._result(value)

    def _in_transaction(
        self,
        session: Session,
        body: dict[str, Any],
        statement: dict[str, Any],
        write: bool,
    ) -> Any:
        if session.term != self.state.term:
            raise replication.Refused("stale_term")
        assert session.statements is not None
        data = dict(self.state.data)
        for earlier in session.statements:
            replication.apply_statement(data, earlier)
        value = replication.apply_statement(data, statement)
        if write:
            session.statements.append(statement)
        return value

    def _record_statement(
        self, body: dict[str, Any], write: bool, transaction: str | None
    ) -> None:
        state = self.state
        self.note(
            request_id=body["request_id"],
            write=write,
            transaction=transaction,
            term=state.term,
            role=state.role,
            position=state.position,
        )

    async def _run_begin(
        self, session: Session, body: dict[str, Any]
    ) -> dict[str, Any]:
        state = self.state
        state.check_term(body["term"])
        if state.role != "primary":
            raise replication.Refused("not_primary")
        session.statements, session.term = [], state.term
        session.transaction = body["transaction"]
        return self._result(None)

    async def _run_commit(
        self, session: Session, body: dict[str, Any]
    ) -> dict[str, Any]:
        if session.statements is None or (
            session.transaction != body["transaction"]
        ):
            raise replication.Refused("no_transaction")
        await self.hold_slot({})
        statements, session.statements = session.statements, None
        self.state.write(session.term, body["request_id"], statements or [])
        self._record_statement(body, True, session.transaction)
        session.transaction = None
        return self._result(None)

    async def _run_rollback(
        self, session: Session, body: dict[str, Any]
    ) -> dict[str, Any]:
        session.statements = session.transaction = None
        return self._result(None)
