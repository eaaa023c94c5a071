"""Clients that speak the line protocol and record what they see."""

import asyncio
import itertools
import random
import select
from typing import Callable

from burdockcart.platform import wire
from burdockcart.request import command
from burdockcart.soak import history as histories

Kind = command.CommandKind
Outcome = histories.Outcome

STARTUP_TIMEOUT_S = 2.0
#: Answers later than this many seconds after the timeout are not awaited.
PATIENCE_S = 3.0
#: Mean pause before a client connects again, in seconds.
RECONNECT_PAUSE_S = 0.02
_PROMISES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANYCON"}
)
_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Ended(Exception):
    """The session can no longer be used."""


class Session:
    """One connection and the statements sent on it.

    Parameters
    ==========

    route : Request
        Template of the requests: database and rules of the route.

    """

    def __init__(
        self,
        number: int,
        daemon: str,
        route: "Route",
        record: Callable[[histories.Request], None],
    ):
        self.number = number
        self._daemon = daemon
        self._route = route
        self._record = record
        self._ids = itertools.count(1)
        self._values: dict[str, str] = {}
        self.shape_by_name: dict[str, command.Shape] = {}

    async def open(self, host: str, port: int) -> None:
        """Connect; raise Ended if the daemon refuses."""
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    host, port
                )
                line = f"STARTUP {self._route.database} u{self.number}\r\n"
                self._writer.write(line.encode())
                answer = await self._reader.readline()
        except (OSError, TimeoutError) as error:
            raise Ended(repr(error)) from None
        if not answer.startswith(b"READY"):
            self.close()
            raise Ended(f"STARTUP answered with {answer!r}")

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()

    def _check_open(self) -> None:
        """Raise Ended if the daemon has closed the connection."""
        poll = select.poll()
        poll.register(
            self._writer.get_extra_info("socket").fileno(),
            _CLOSED,
        )
        if self._reader.at_eof() or poll.poll(0):
            raise Ended("closed while idle")

    async def wait(self, seconds: float) -> None:
        """Pause; raise Ended if the daemon closes the connection."""
        try:
            async with asyncio.timeout(seconds):
                data = await self._reader.read(1)
        except TimeoutError:
            return
        except OSError as error:
            raise Ended(repr(error)) from None
        raise Ended(f"received {data!r} while idle")

    async def send(
        self,
        kind: command.CommandKind,
        text: str,
        attempt: int,
        began_at: float | None = None,
        in_transaction: bool = False,
        shape: command.Shape | None = None,
    ) -> histories.Request:
        """Send one statement and record how it ended."""
        if self._writer.is_closing():
            raise Ended("closed")
        self._check_open()
        now = asyncio.get_running_loop().time()
        request = histories.Request(
            id=f"s{self.number}q{next(self._ids)}",
            session=self.number,
            daemon=self._daemon,
            kind=kind,
            text=text,
            attempt=attempt,
            in_transaction=in_transaction,
            freshness=self._route.freshness,
            max_age_s=self._route.max_age_s,
            timeout_s=self._route.timeout_s,
            began_at=now if began_at is None else began_at,
            sent_at=now,
            values=tuple(sorted(self._values.items())),
            shape=shape,
        )
        self._record(request)
        self._writer.write(f"QUERY {request.id} {text}\r\n".encode())
        try:
            async with asyncio.timeout(request.timeout_s + PATIENCE_S):
                state = await self._read_answer(request)
        except TimeoutError:
            request.outcome, state = Outcome.GAVE_UP, ""
        except (OSError, EOFError) as error:
            request.outcome, state = Outcome.CLOSED, ""
            request.detail = repr(error)
        request.ended_at = asyncio.get_running_loop().time()
        if not state:
            self.close()
            raise Ended(request.outcome)
        return request

    async def _read_answer(self, request: histories.Request) -> str:
        """Read an answer up to READY and return its state."""
        while True:
            line = await self._reader.readline()
            if not line.endswith(wire.END):
                raise EOFError("connection closed")
            word, _, rest = line.decode().rstrip().partition(" ")
            if word == "READY":
                return rest.split(" ")[0]
            if word == "COMPLETE":
                request.outcome, request.receipt = Outcome.SUCCESS, rest
            elif word == "ERROR":
                promise = rest.split(" ")[0] in _PROMISES
                request.outcome = Outcome.PROMISE if promise else Outcome.ERROR
                request.detail = rest

    async def set_value(self, name: str, value: str, attempt: int) -> None:
        """Set a session value; end the session if that fails."""
        request = await self.send(Kind.SET, f"SET {name} {value}", attempt)
        if request.outcome is not Outcome.SUCCESS:
            self.close()
            raise Ended("SET failed")
        self._values[name] = value

    async def prepare(
        self, name: str, shape: command.Shape, attempt: int
    ) -> None:
        """Prepare a statement; end the session if that fails."""
        word = "WRITE" if shape.writes else "READ"
        request = await self.send(
            Kind.PREPARE, f"PREPARE {name} {word} {shape.text}", attempt
        )
        if request.outcome is not Outcome.SUCCESS:
            self.close()
            raise Ended("PREPARE failed")
        self.shape_by_name[name] = shape


async def probe(host: str, port: int, database: str) -> bool | None:
    """Return whether a daemon accepts a database; None if it says neither."""
    try:
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
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


class Route:
    """Database of a route and what its reads must see."""

    def __init__(
        self,
        database: str,
        freshness: histories.Freshness,
        max_age_s: float,
        timeout_s: float,
    ):
        self.database = database
        self.freshness = freshness
        self.max_age_s = max_age_s
        self.timeout_s = timeout_s


class Client:
    """Runs sessions one after the other until it is cancelled.

    Parameters
    ==========

    pick : callable
        Returns name, host and port of a daemon, or None if none listens.
    numbers : iterator of int
        Serial numbers of sessions and attempts, shared by all clients.
    pause_s : float
        Mean pause between the operations of a session.
    single : bool
        Whether a session serves one operation.

    """

    def __init__(
        self,
        rng: random.Random,
        routes: list[Route],
        pick: Callable[[random.Random], tuple[str, str, int] | None],
        record: Callable[[histories.Request], None],
        numbers: "itertools.count[int]",
        pause_s: float,
        single: bool,
    ):
        self._rng = rng
        self._routes = routes
        self._pick = pick
        self._record = record
        self._numbers = numbers
        self._pause_s = pause_s
        self._single = single

    async def run(self) -> None:
        """Open sessions and use each of them as long as it is open."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / RECONNECT_PAUSE_S))
            picked = self._pick(self._rng)
            if picked is None:
                continue
            daemon, host, port = picked
            session = Session(
                next(self._numbers),
                daemon,
                self._rng.choice(self._routes),
                self._record,
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
                await session.wait(rng.expovariate(1 / self._pause_s))
                if self._single or rng.random() < 0.01:
                    return
        finally:
            session.close()

    async def _operation(self, session: Session) -> None:
        """Run one operation of random kind."""
        rng, attempt = self._rng, next(self._numbers)
        draw = rng.random()
        if draw < 0.45:
            await session.send(Kind.READ, self._read_text(), attempt)
        elif draw < 0.6:
            await session.send(Kind.WRITE, self._write_text(), attempt)
        elif draw < 0.66:
            name = rng.choice(["zone", "mode", "unit"])
            await session.set_value(name, str(rng.randint(1, 9)), attempt)
        elif draw < 0.7:
            shape = command.Shape(rng.random() < 0.3, f"q{rng.randint(1, 5)}")
            await session.prepare(f"p{rng.randint(1, 2)}", shape, attempt)
        elif draw < 0.8:
            await self._execute(session, attempt)
        else:
            await self._transaction(session, attempt)

    def _item(self) -> str:
        """Return an item; some take the member longer."""
        rng = self._rng
        slow_ms = rng.choice([100, 300]) if rng.random() < 0.1 else 0
        prefix = f"slow-{slow_ms}-" if slow_ms else ""
        return f"{prefix}i{rng.randint(1, 20)}"

    def _read_text(self) -> str:
        return f"READ {self._item()}"

    def _write_text(self) -> str:
        return f"WRITE {self._item()} d{self._rng.randint(1, 999)}"

    async def _execute(
        self,
        session: Session,
        attempt: int,
        began_at: float | None = None,
        in_transaction: bool = False,
    ) -> histories.Request | None:
        if not session.shape_by_name:
            return None
        name = self._rng.choice(sorted(session.shape_by_name))
        shape = session.shape_by_name[name]
        text = f"EXECUTE {name} {self._item()}"
        if shape.writes:
            text += f" d{self._rng.randint(1, 999)}"
        return await session.send(
            Kind.EXECUTE, text, attempt, began_at, in_transaction, shape
        )

    async def _transaction(self, session: Session, attempt: int) -> None:
        """Run a transaction with pauses, or leave in the middle."""
        rng = self._rng
        begin = await session.send(Kind.BEGIN, "BEGIN", attempt)
        if begin.outcome is not Outcome.SUCCESS:
            return
        began_at = begin.sent_at
        pause_s = rng.choice([0.01, 0.05, 0.2])
        for _ in range(rng.randint(1, 8)):
            await session.wait(rng.expovariate(1 / pause_s))
            draw = rng.random()
            request: histories.Request | None
            if draw < 0.2:
                request = await self._execute(session, attempt, began_at, True)
            else:
                writes = draw < 0.6
                request = await session.send(
                    Kind.WRITE if writes else Kind.READ,
                    self._write_text() if writes else self._read_text(),
                    attempt,
                    began_at,
                    True,
                )
            if request and request.outcome is not Outcome.SUCCESS:
                await session.send(
                    Kind.ROLLBACK, "ROLLBACK", attempt, began_at, True
                )
                return
        draw = rng.random()
        if draw < 0.05:
            session.close()
            raise Ended("left inside a transaction")
        ends = (
            (Kind.COMMIT, "COMMIT")
            if draw < 0.9
            else (
                Kind.ROLLBACK,
                "ROLLBACK",
            )
        )
        await session.send(*ends, attempt, began_at, True)
