"""Server of client connections over the line protocol."""

import asyncio
import contextlib
import socket
from typing import Iterable
from typing import Protocol

import loguru
from returns import result
from tornado import iostream
from tornado import tcpserver

from burdockcart.connection import client_session
from burdockcart.connection import member_channel
from burdockcart.connection import sockets
from burdockcart import errors
from burdockcart.platform import wire
from burdockcart.process.gateway.sessions import client_listener
from burdockcart.process.gateway.sessions import stop_admission
from burdockcart.request import command

#: Timeout of a client's first message, in seconds; the platform abandons a
#: session whose READY takes 2 s.
STARTUP_TIMEOUT_S = 5.0
#: Time after which unacknowledged data closes the connection to a client, in
#: milliseconds; longer than the longest time limit of the users (5 s).
USER_TIMEOUT_MS = 6000
#: Timeout of writing an answer to a client, in seconds.
WRITE_TIMEOUT_S = 6.0
#: Time that a client has to close a session after it was told to, in seconds;
#: some network latencies.
LINGER_S = 1.0
#: Receive buffer of a client, in bytes: one message of the maximum size and
#: the data received with it.
READ_BUFFER_BYTES = 2 * wire.MAX_MESSAGE_BYTES
BACKLOG = 1024


class Gateway(Protocol):
    """Interface of the application that the listener uses."""

    async def open_session(
        self, startup: wire.Startup
    ) -> result.Result[client_session.ClientSession, errors.Failure]:
        """Open a session, or return why it is refused."""


class ClientConnection:
    """One client: reads a statement, answers it, reads the next."""

    def __init__(self, stream: iostream.IOStream, gateway: Gateway):
        self._stream = stream
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
                line = await self._read()
            if self._told is None:
                self._session = await self._start(line)
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
        except iostream.UnsatisfiableReadError:
            await self._refuse(
                errors.ErrorKind.REQUEST_TOO_LARGE, "message over 1 MiB"
            )
        except wire.ProtocolError as error:
            await self._refuse(errors.ErrorKind.BAD_REQUEST, str(error))
        finally:
            if self._linger is not None:
                self._linger.cancel()
            if self._session is not None:
                self._session.close()
            self._stream.close()

    async def _read(self) -> bytes:
        line = await self._stream.read_until(
            wire.END, max_bytes=wire.MAX_MESSAGE_BYTES
        )
        return line[: -len(wire.END)]

    async def _write(self, data: bytes) -> None:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self._stream.write(data)

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
        line = await self._read()
        try:
            request = wire.read_request(line)
        except wire.RefusedStatement as refused:
            loguru.logger.info(
                "event=statement_refused id={} error={!r}",
                refused.statement_id,
                refused.failure.message,
            )
            reply = session.refuse_unread(refused.failure)
            self._answering = True
            try:
                await self._write(_reply_lines(reply))
            finally:
                self._answering = False
            return self._told is None
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
            reply = await session.handle(request)
            self._answering = True
            await self._write(_reply_lines(reply))
        finally:
            self._request = None
            self._answering = False
        return True


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


class ClientListener(tcpserver.TCPServer):
    """Accepts clients."""

    def __init__(self, gateway: Gateway):
        super().__init__(
            max_buffer_size=READ_BUFFER_BYTES, read_chunk_size=16 * 1024
        )
        self._gateway = gateway
        self._connections: set[ClientConnection] = set()
        self._listening: list[socket.socket] = []

    @property
    def connections(self) -> Iterable[ClientConnection]:
        """The open connections."""
        return self._connections

    def listen_on(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(":")
        self.listen(int(port), host, socket.AF_INET, backlog=BACKLOG)

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        listening = list(sockets)
        self._listening += listening
        super().add_sockets(listening)

    def stop(self) -> None:
        """Accept the connections that wait for it, and then no more.

        Closing a listening socket resets the connections in its queue.
        """
        listening, self._listening = self._listening, []
        for each in listening:
            for _ in range(BACKLOG):
                try:
                    connection, address = each.accept()
                except OSError:
                    break
                self._handle_connection(connection, address)
        super().stop()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one client until its connection closes."""
        sockets.enable_dead_peer_detection(stream.socket, USER_TIMEOUT_MS)
        connection = ClientConnection(stream, self._gateway)
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)
