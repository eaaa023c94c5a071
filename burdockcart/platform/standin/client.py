"""Clients that speak the line protocol, one session after the other."""

import asyncio
import itertools
import random
from typing import Callable

from burdockcart.platform.standin import client_session
from burdockcart.platform.standin import client_statements
from burdockcart.platform.standin import identity
from burdockcart.soak import account_history
from burdockcart.soak import history as histories

Ended = client_session.Ended
Outcome = histories.Outcome
Route = client_session.Route
Session = client_session.Session
Statement = client_statements.Statement


async def probe(host: str, port: int, database: str) -> bool | None:
    """Return whether a daemon accepts a database; None if it says neither."""
    try:
        async with asyncio.timeout(client_session.STARTUP_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(f"STARTUP {database} probe\r\n".encode())
                answer = await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return None
    if answer.startswith(b"ERROR NODB"):
        return False
    return True if answer.startswith(b"READY") else None


class Client:
    """Runs sessions one after the other until it is cancelled.

    Parameters
    ==========

    pick : callable
        Returns name, host and port of a daemon, or None if none listens.
    numbers : iterator of int
        Serial numbers of sessions and attempts, shared by all clients.
    who : Identity
        Second field of STARTUP, and the pauses.
    single : bool
        Whether a session serves one operation.
    plain_shapes : bool
        Whether no prepared shape has a space.
    accounts : AccountRecord or None
        Filled with the first messages, if the manifest has accounts.
    keeps : callable
        Returns whether a session with a daemon may go on; it ends between
        two operations.

    """

    def __init__(
        self,
        rng: random.Random,
        routes: list[Route],
        pick: Callable[[random.Random], tuple[str, str, int] | None],
        record: Callable[[histories.Request], None],
        numbers: "itertools.count[int]",
        who: identity.Identity,
        single: bool,
        plain_shapes: bool = False,
        accounts: account_history.AccountRecord | None = None,
        keeps: Callable[[str], bool] = lambda _: True,
    ):
        self._rng = rng
        self._generator = client_statements.Generator(rng, plain_shapes)
        self._routes = routes
        self._pick = pick
        self._record = record
        self._numbers = numbers
        self._who = who
        self._single = single
        self._accounts = accounts
        self._keeps = keeps

    async def run(self) -> None:
        """Open sessions and use each of them as long as it is open."""
        while True:
            await asyncio.sleep(self._who.reconnect_pause_s())
            picked = self._pick(self._rng)
            if picked is None:
                continue
            daemon, host, port = picked
            number = next(self._numbers)
            session = Session(
                number,
                daemon,
                self._rng.choice(self._routes),
                self._record,
                self._who.key(number),
                self._accounts,
            )
            try:
                await session.open(host, port)
                await self._use(session)
            except Ended:
                pass

    async def _use(self, session: Session) -> None:
        """Send statements until the session ends."""
        rng = self._rng
        try:
            while True:
                await self._operation(session)
                await session.wait(self._who.pause_s())
                if self._single or rng.random() < 0.01:
                    return
                if not self._keeps(session.daemon):
                    return
        finally:
            session.close()

    async def _operation(self, session: Session) -> None:
        """Run one operation of random kind."""
        rng, attempt = self._rng, next(self._numbers)
        generator = self._generator
        draw = rng.random()
        if draw < 0.4:
            await session.send(generator.read(), attempt)
        elif draw < 0.53:
            await session.send(generator.write(), attempt)
        elif draw < 0.59:
            await session.set_value(*generator.setting(), attempt)
        elif draw < 0.64:
            await session.prepare(*generator.preparing(), attempt)
        elif draw < 0.65:
            if session.shape_by_name:
                name = rng.choice(sorted(session.shape_by_name))
                await session.deallocate(name, attempt)
        elif draw < 0.76:
            statement = generator.execution(session.shape_by_name)
            if statement is not None:
                await session.send(statement, attempt)
        elif draw < 0.79:
            await session.send_at_once(
                {
                    next(self._numbers): self._member_statement(session)
                    for _ in range(rng.randint(2, 5))
                }
            )
        elif draw < 0.8:
            await self._leave(session, attempt)
        else:
            await self._transaction(session, attempt)

    def _member_statement(self, session: Session) -> Statement:
        """Return a statement that a member runs."""
        generator, draw = self._generator, self._rng.random()
        statement = None
        if draw < 0.3:
            statement = generator.execution(session.shape_by_name)
        if statement is not None:
            return statement
        return generator.read() if draw < 0.6 else generator.write()

    async def _leave(
        self,
        session: Session,
        attempt: int,
        statement: Statement | None = None,
        began_at: float | None = None,
    ) -> None:
        """Leave after a line that is whole, not ended or not allowed."""
        rng = self._rng
        inside = statement is not None
        if statement is None:
            statement = self._member_statement(session)
            if rng.random() < 0.3:
                await session.send_refused(
                    self._generator.with_line_end(), attempt
                )
        missing = rng.choice([0, 0, 0, 1, 2, rng.randint(3, 9)])
        await session.leave(statement, attempt, missing, began_at, inside)

    async def _transaction(self, session: Session, attempt: int) -> None:
        """Run a transaction with pauses, or leave in the middle."""
        rng = self._rng
        begin = await session.send(client_statements.BEGIN, attempt)
        if begin.outcome is not Outcome.SUCCESS:
            return
        began_at = begin.sent_at
        pause_s = rng.choice([0.01, 0.05, 0.2])
        for _ in range(rng.randint(1, 8)):
            await session.wait(rng.expovariate(1 / pause_s))
            request = await session.send(
                self._member_statement(session), attempt, began_at, True
            )
            if request.outcome is not Outcome.SUCCESS:
                await session.send(
                    client_statements.ROLLBACK, attempt, began_at, True
                )
                return
        draw = rng.random()
        if draw < 0.05:
            session.close()
            raise Ended("left inside a transaction")
        if draw < 0.1:
            await self._leave(
                session, attempt, client_statements.COMMIT, began_at
            )
        end = client_statements.COMMIT
        if draw >= 0.9:
            end = client_statements.ROLLBACK
        await session.send(end, attempt, began_at, True)
