"""One client connection over the line protocol."""

import asyncio
import contextlib
import socket
import sys
from typing import Protocol

import loguru
from returns import result
from tornado import iostream

from burdockcart.connection.client_limits import eviction
from burdockcart.connection.client_limits import memory_budget
from burdockcart.connection import client_session
from burdockcart.connection import member_channel
from burdockcart.connection import session_names
from burdockcart import errors
from burdockcart.platform import client_limiter
from burdockcart.platform import line_reader
from burdockcart.platform import wire
from burdockcart.process.gateway.sessions import client_listener
from burdockcart.process.gateway.sessions import stop_admission
from burdockcart.request import command

#: Timeout of a client's first message, in seconds; the platform abandons a
#: session whose READY takes 2 s.
STARTUP_TIMEOUT_S = 5.0
#: Time that a client has to close a session after it was told to, in seconds;
#: some network latencies.
LINGER_S = 1.0
#: Memory of a statement from which on it is accounted, in bytes.
ACCOUNTED_BYTES = 8 * 1024
#: Hint for a client that is refused for its memory, in milliseconds.
BUSY_RETRY_MS = 1000


class Gateway(Protocol):
    """Interface of the application that the listener uses."""

    async def open_session(
        self, startup: wire.Startup
    ) -> result.Result[client_session.ClientSession, errors.Failure]:
        """Open a session, or return why it is refused."""


class ClientConnection:
    """One client: reads a statement, answers it, reads the next."""

    def __init__(
        self,
        stream: iostream.IOStream,
        gateway: Gateway,
        limiter: client_limiter.ClientLimiter,
    ):
        self._stream = stream
        self._limiter = limiter
        self._client = limiter.admit(self)
        self._reader = line_reader.LineReader(stream, limiter, self._client)
        self._answered_at = self._reader.received_at
        self._gateway = gateway
        self._session: client_session.ClientSession | None = None
        self._request: client_listener.OpenRequest | None = None
        self._answering = False
        self._closing = False
        #: Why the session closes, once the client has been told.
        self._told: errors.Failure | None = None
        self._linger: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """Whether no statement is running and no transaction is open."""
        session = self._session
        if self._told is not None:
            return False
        return self._request is None and (
            session is None or not session.in_transaction
        )

    @property
    def session(self) -> client_session.ClientSession | None:
        """The session; None until it is open."""
        return self._session

    @property
    def request(self) -> client_listener.OpenRequest | None:
        """The statement that is not answered yet."""
        return self._request

    @property
    def phase(self) -> client_listener.Phase:
        """What the connection is doing."""
        if self._request is not None:
            return (
                client_listener.Phase.ANSWERING
                if self._answering
                else client_listener.Phase.RUNNING
            )
        if self._told is not None:
            return client_listener.Phase.CLOSING
        if self._session is None:
            return client_listener.Phase.STARTING
        if self._session.in_transaction:
            return client_listener.Phase.IN_TRANSACTION
        return client_listener.Phase.IDLE

    @property
    def closing(self) -> bool:
        """Whether the connection has been told to close."""
        return self._closing

    def candidate(self) -> eviction.Candidate:
        """Return the state for the choice of a connection to close."""
        session = self._session
        active_at = max(self._reader.received_at, self._answered_at)
        return eviction.Candidate(
            self._client,
            self._limiter.budget.of(self._client),
            asyncio.get_running_loop().time() - active_at,
            session is not None,
            (self._request is not None and not self._answering)
            or (session is not None and session.holds_transaction),
        )

    def evict(self, reason: str) -> None:
        """Close in favor of other clients."""
        self._told = busy(f"the daemon is short of {reason}")
        if not self._stream.closed() and not self._answering:
            self._stream.write(wire.error_line(self._told))
        self._stream.close()

    def close_when_idle(self) -> None:
        """Close the session as soon as it is idle.

        The client closes a session on any message that it does not wait for.
        A statement that crosses this message is refused by it.
        """
        self._closing = True
        session = self._session
        if session is not None and self.idle:
            self._tell(session.closing_failure())

    def end(self) -> None:
        """Close now; answer a running statement without its result."""
        self._closing = True
        session = self._session
        if self._told is not None or self._answering:
            return
        if session is None:
            self._tell(stop_admission.closing(False))
        elif self._request is not None:
            session.cut()
        else:
            self._tell(session.closing_failure())

    def _tell(self, failure: errors.Failure, before: bytes = b"") -> None:
        """Tell the client why its session closes, and wait until it does."""
        self._told = failure
        if self._linger is not None:
            self._linger.cancel()
        self._linger = asyncio.get_running_loop().call_later(
            LINGER_S, self._stream.close
        )
        if not self._stream.closed():
            self._stream.write(before + wire.error_line(failure))

    def _stop_sending(self) -> None:
        """Send the end of the data, and go on reading."""
        if not self._stream.closed():
            with contextlib.suppress(OSError):
                self._stream.socket.shutdown(socket.SHUT_WR)

    async def serve(self) -> None:
        """Serve the client until one side ends the connection."""
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                line = await self._reader.read()
            if self._told is None:
                self._session = await self._start(line)
            del line
            self._release_message()
            if self._session is None:
                # Closing with unread data would reset the connection, and the
                # client might not see the reason.
                self._stop_sending()
                async with asyncio.timeout(LINGER_S):
                    await self._stream.read_until_close()
                return
            while await self._serve_one(self._session):
                self._closing |= self._session.ends
                if self._closing and self.idle:
                    self._tell(self._session.closing_failure())
        except TimeoutError:
            loguru.logger.info("event=client_timed_out")
        except iostream.StreamClosedError:
            pass
        except line_reader.LineTooLong as error:
            await self._refuse(errors.ErrorKind.REQUEST_TOO_LARGE, str(error))
        except line_reader.LineTimeout as error:
            self._limiter.limited("line_timeout", "closed")
            await self._refuse(errors.ErrorKind.BAD_REQUEST, str(error))
        except line_reader.NoMemory:
            self._limiter.limited("memory", "refused")
            await self._refuse(errors.ErrorKind.OVERLOADED, NO_MEMORY)
        except wire.ProtocolError as error:
            await self._refuse(errors.ErrorKind.BAD_REQUEST, str(error))
        finally:
            if self._linger is not None:
                self._linger.cancel()
            if self._session is not None:
                self._session.close()
            self._stream.close()
            self._limiter.leave(self._client)

    def _release_message(self) -> None:
        self._limiter.hold(self._client, memory_budget.Use.MESSAGE, 0)

    async def _write(self, data: bytes) -> None:
        self._answered_at = asyncio.get_running_loop().time()
        written = self._stream.write(data)
        if written.done():
            return await written
        self._limiter.hold_unsent(self._client, len(data))
        del data
        try:
            async with asyncio.timeout(self._limiter.allowed.unread_timeout_s):
                await written
        except TimeoutError:
            self._limiter.limited("unread_timeout", "closed")
            raise
        finally:
            self._limiter.hold_unsent(self._client, 0)

    async def _refuse(self, kind: errors.ErrorKind, message: str) -> None:
        """Send a client the reason why its connection is closed."""
        loguru.logger.info(
            "event=client_refused kind={} error={!r}", kind.value, message
        )
        try:
            await self._write(wire.error_line(errors.Failure(kind, message)))
        except (iostream.StreamClosedError, TimeoutError):
            pass

    async def _start(self, line: bytes) -> client_session.ClientSession | None:
        startup = wire.read_startup(line)
        opened = await self._gateway.open_session(startup)
        if self._told is not None:
            return None
        if isinstance(opened, result.Failure):
            self._told = opened.failure()
            await self._write(wire.error_line(self._told))
            return None
        await self._write(
            wire.ready_line(member_channel.TransactionState.IDLE)
        )
        return opened.unwrap()

    async def _serve_one(self, session: client_session.ClientSession) -> bool:
        """Serve one message; return False if the client ends the session."""
        try:
            request = self._accept(await self._reader.read(), session)
        except line_reader.NoMemory:
            return await self._refuse_statement(session, busy(NO_MEMORY))
        except wire.RefusedStatement as refused:
            loguru.logger.info(
                "event=statement_refused id={} error={!r}",
                refused.statement_id,
                refused.failure.message,
            )
            return await self._refuse_statement(session, refused.failure)
        if isinstance(request, wire.Terminate):
            return False
        if self._told is not None:
            # The failure that the client was told is the answer.
            reply = session.refuse(request, self._told)
            self._tell(
                session.closing_failure(),
                before=wire.ready_line(reply.state, reply.position),
            )
            return True
        self._request = _open_request(request)
        try:
            lines = _reply_lines(await session.handle(request))
            if request.kind in session_names.KINDS:
                self._account_state(session)
            del request
            self._release_message()
            self._answering = True
            await self._write(lines)
        finally:
            self._request = None
            self._answering = False
        return True

    def _accept(
        self, line: bytes, session: client_session.ClientSession
    ) -> command.Command | wire.Terminate:
        """Decode a message and account the memory that it needs.

        Raises
        ======

        NoMemory
            If there is none.
        RefusedStatement, ProtocolError
            As :func:`wire.read_request`.

        """
        request = wire.read_request(line)
        if isinstance(request, wire.Terminate):
            return request
        hold, client = self._limiter.hold, self._client
        # A text with one character outside of ASCII takes up to four bytes
        # for each character.
        size = 2 * (len(line) + sys.getsizeof(request.text))
        if size > ACCOUNTED_BYTES and not hold(
            client, memory_budget.Use.MESSAGE, size
        ):
            raise line_reader.NoMemory()
        if request.kind in session_names.KINDS and not hold(
            client,
            memory_budget.Use.STATE,
            session.state_bytes + session_names.bytes_of(request),
        ):
            raise line_reader.NoMemory()
        return request

    def _account_state(self, session: client_session.ClientSession) -> None:
        held = self._limiter.budget.held(self._client, memory_budget.Use.STATE)
        if held != session.state_bytes:
            self._limiter.budget.hold(
                self._client, memory_budget.Use.STATE, session.state_bytes
            )

    async def _refuse_statement(
        self, session: client_session.ClientSession, failure: errors.Failure
    ) -> bool:
        """Answer a statement that is not run; return whether to go on."""
        if failure.kind is errors.ErrorKind.OVERLOADED:
            self._limiter.limited("memory", "refused")
        self._release_message()
        reply = session.refuse_unread(failure)
        self._answering = True
        try:
            await self._write(_reply_lines(reply))
        finally:
            self._answering = False
        return self._told is None


#: Text of the failure of a message that the memory has no room for.
NO_MEMORY = "no memory for the message"


def busy(text: str) -> errors.Failure:
    """Return the failure of a client that a limit refuses."""
    return errors.Failure(errors.ErrorKind.OVERLOADED, text, BUSY_RETRY_MS)


def _open_request(
    statement: command.Command,
) -> client_listener.OpenRequest:
    return client_listener.OpenRequest(
        statement.id,
        statement.kind.value,
        asyncio.get_running_loop().time(),
    )


def _reply_lines(reply: client_session.Reply) -> bytes:
    if isinstance(reply.outcome, result.Failure):
        lines = wire.error_line(reply.outcome.failure())
    else:
        lines = wire.answer_lines(reply.outcome.unwrap())
    return lines + wire.ready_line(reply.state, reply.position)
