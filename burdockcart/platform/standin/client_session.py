"""One session of a client of the soak, and its record."""

import asyncio
import itertools
import select
from typing import Callable
from typing import NoReturn

from burdockcart.platform.standin import client_statements
from burdockcart.request import command
from burdockcart.soak import account_history
from burdockcart.soak import history as histories

Outcome = histories.Outcome
Statement = client_statements.Statement

END = b"\r\n"
STARTUP_TIMEOUT_S = 2.0
#: Time in which a refused connection has to be closed, in seconds.
CLOSED_S = 2.0
#: Answers later than this many seconds after the timeout are not awaited.
PATIENCE_S = 3.0
_PROMISES = frozenset(
    {
        "BUSY",
        "ABORTED",
        "LAGGING",
        "READONLY",
        "WRONGNODE",
        "TOOMANYCON",
        "NOAUTH",
    }
)
_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Ended(Exception):
    """The session can no longer be used."""


class Route:
    """Database of a route and what its reads must see."""

    def __init__(
        self,
        database: str,
        freshness: histories.Freshness,
        max_age_s: float,
        timeout_s: float,
        anonymous: bool = False,
    ):
        self.database = database
        self.anonymous = anonymous
        self.freshness = freshness
        self.max_age_s = max_age_s
        self.timeout_s = timeout_s


class Session:
    """One connection and the statements sent on it.

    Parameters
    ==========

    route : Request
        Template of the requests: database and rules of the route.
    key : str
        Second field of STARTUP.
    accounts : AccountRecord or None
        Filled with the first message, if the manifest has accounts.

    """

    def __init__(
        self,
        number: int,
        daemon: str,
        route: Route,
        record: Callable[[histories.Request], None],
        key: str,
        accounts: account_history.AccountRecord | None = None,
    ):
        self.number = number
        self.daemon = daemon
        self._route = route
        self._record = record
        self._key = key
        self._accounts = accounts
        if accounts is not None and route.anonymous:
            accounts.anonymous_sessions.add(number)
        self._ids = itertools.count(1)
        self._values: dict[str, str] = {}
        self.shape_by_name: dict[str, command.Shape] = {}

    async def open(self, host: str, port: int) -> None:
        """Connect; raise Ended if the daemon refuses."""
        sent_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    host, port
                )
                line = f"STARTUP {self._route.database} {self._key}".strip()
                self._writer.write(f"{line}\r\n".encode())
                answer = await self._reader.readline()
        except (OSError, TimeoutError) as error:
            raise Ended(repr(error)) from None
        await self._note_answer(sent_at, answer)
        if not answer.startswith(b"READY"):
            self.close()
            raise Ended(f"STARTUP answered with {answer!r}")

    async def _note_answer(
        self, sent_at: float, answer: bytes, unanswered: int = 0
    ) -> None:
        """Record what a key got, and whether an error ends the session.

        Parameters
        ==========

        unanswered : int
            Statements that were sent before the answer was read.

        """
        if self._accounts is None or self._route.anonymous:
            return
        text = answer.decode(errors="replace").removesuffix("\r\n")
        words = text.split(" ")
        closed = True
        if words[0] == "ERROR":
            words = words[1:]
            closed = await self._closes(unanswered)
        self._accounts.startups.append(
            account_history.Startup(
                self.daemon, self._key, sent_at, words[0], text, closed
            )
        )

    async def _closes(self, unanswered: int) -> bool:
        """Return whether the daemon closes the connection in time.

        Before that, it may refuse each statement that was sent already, and
        send errors that answer nothing.
        """
        try:
            async with asyncio.timeout(CLOSED_S):
                lines = (await self._reader.read()).splitlines()
            ready = sum(line.startswith(b"READY") for line in lines)
            return ready <= unanswered and all(
                line.startswith((b"ERROR ", b"READY")) for line in lines
            )
        except TimeoutError:
            return False
        except OSError:
            return True

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

    def _new_request(
        self,
        statement: Statement,
        attempt: int,
        began_at: float | None,
        in_transaction: bool,
        allowed: bool = True,
    ) -> histories.Request:
        """Record a statement that is about to be sent."""
        now = asyncio.get_running_loop().time()
        request = histories.Request(
            id=f"s{self.number}q{next(self._ids)}",
            session=self.number,
            daemon=self.daemon,
            kind=statement.kind,
            text=statement.text,
            attempt=attempt,
            in_transaction=in_transaction,
            freshness=self._route.freshness,
            max_age_s=self._route.max_age_s,
            timeout_s=self._route.timeout_s,
            began_at=now if began_at is None else began_at,
            sent_at=now,
            values=tuple(sorted(self._values.items())),
            shape=statement.shape,
            item=statement.item,
            data=statement.data,
            allowed=allowed,
            key=self._key,
        )
        self._record(request)
        return request

    def _check_usable(self) -> None:
        if self._writer.is_closing():
            raise Ended("closed")
        self._check_open()

    async def send(
        self,
        statement: Statement,
        attempt: int,
        began_at: float | None = None,
        in_transaction: bool = False,
    ) -> histories.Request:
        """Send one statement and record how it ended."""
        self._check_usable()
        request = self._new_request(
            statement, attempt, began_at, in_transaction
        )
        await self._exchange([request])
        return request

    async def send_at_once(self, statements: dict[int, Statement]) -> None:
        """Send single statements by attempt without waiting in between."""
        self._check_usable()
        await self._exchange(
            [
                self._new_request(statement, attempt, None, False)
                for attempt, statement in statements.items()
            ]
        )

    async def _exchange(self, requests: list[histories.Request]) -> None:
        """Send requests, and read their answers in the same order."""
        self._writer.write(b"".join(map(_line, requests)))
        outcome, detail = Outcome.SUCCESS, ""
        for place, request in enumerate(requests, 1):
            if outcome is Outcome.SUCCESS:
                outcome, detail = await self._finish(request)
            if outcome is not Outcome.SUCCESS:
                request.outcome, request.detail = outcome, detail
            request.ended_at = asyncio.get_running_loop().time()
            if outcome is Outcome.SUCCESS and _key_refused(request):
                # The daemon refuses what was sent, and closes the session.
                await self._note_answer(
                    request.sent_at,
                    f"ERROR {request.detail}".encode(),
                    len(requests) - place,
                )
                outcome, detail = Outcome.LEFT, "after NOAUTH"
        if outcome is not Outcome.SUCCESS:
            self.close()
            raise Ended(outcome)

    async def _finish(self, request: histories.Request) -> tuple[Outcome, str]:
        """Read an answer; return why the session ends without one."""
        try:
            async with asyncio.timeout(request.timeout_s + PATIENCE_S):
                await self._read_answer(request)
        except TimeoutError:
            return Outcome.GAVE_UP, ""
        except (OSError, EOFError) as error:
            return Outcome.CLOSED, repr(error)
        return Outcome.SUCCESS, ""

    async def _read_answer(self, request: histories.Request) -> None:
        """Read an answer up to READY."""
        rows: list[str] = []
        while True:
            line = await self._reader.readline()
            if not line.endswith(END):
                raise EOFError("connection closed")
            word, _, rest = line.decode().removesuffix("\r\n").partition(" ")
            if word == "READY":
                request.rows = tuple(rows)
                request.position = rest.partition(" ")[2]
                return
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                request.outcome, request.receipt = Outcome.SUCCESS, rest
            elif word == "ERROR":
                promise = rest.split(" ")[0] in _PROMISES
                request.outcome = Outcome.PROMISE if promise else Outcome.ERROR
                request.detail = rest

    async def leave(
        self,
        statement: Statement,
        attempt: int,
        missing: int = 0,
        began_at: float | None = None,
        in_transaction: bool = False,
    ) -> NoReturn:
        """Send a statement without waiting, and end the session.

        The last bytes of its line may be ``missing``.
        """
        self._check_usable()
        request = self._new_request(
            statement, attempt, began_at, in_transaction, not missing
        )
        request.outcome = Outcome.LEFT
        line = _line(request)
        self._writer.write(line[: len(line) - missing])
        # Unlike abort, this does not discard what the daemon has not read.
        self._writer.close()
        raise Ended("left")

    async def send_refused(self, statement: Statement, attempt: int) -> None:
        """Send what the protocol does not allow, and end the session."""
        self._check_usable()
        request = self._new_request(statement, attempt, None, False, False)
        self._writer.write(_line(request))
        await self._finish(request)
        if request.outcome is not Outcome.SUCCESS:
            request.outcome = Outcome.LEFT
        request.ended_at = asyncio.get_running_loop().time()
        self.close()
        raise Ended("refused")

    async def _set_up(self, statement: Statement, attempt: int) -> None:
        """Send a statement without which the session cannot go on."""
        request = await self.send(statement, attempt)
        if request.outcome is not Outcome.SUCCESS:
            self.close()
            raise Ended(f"{statement.text!r} failed")

    async def set_value(self, name: str, value: str, attempt: int) -> None:
        """Set a session value; end the session if that fails."""
        await self._set_up(client_statements.setting(name, value), attempt)
        self._values[name] = value

    async def prepare(
        self, name: str, shape: command.Shape, attempt: int
    ) -> None:
        """Prepare a statement; end the session if that fails."""
        await self._set_up(client_statements.preparing(name, shape), attempt)
        self.shape_by_name[name] = shape

    async def deallocate(self, name: str, attempt: int) -> None:
        """Forget a prepared statement; end the session if that fails."""
        await self._set_up(client_statements.deallocating(name), attempt)
        del self.shape_by_name[name]


def _key_refused(request: histories.Request) -> bool:
    """Return whether a statement was refused for the session's key."""
    return request.detail.split(" ")[0] == "NOAUTH"


def _line(request: histories.Request) -> bytes:
    return f"QUERY {request.id} {request.text}\r\n".encode()
