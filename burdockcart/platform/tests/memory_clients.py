"""Clients that speak the line protocol to a daemon, without sockets."""

import asyncio
import collections
import itertools
import socket

import msgspec
from tornado import iostream

from burdockcart.platform import client_wire
from burdockcart.platform import launch
from burdockcart.platform import wire
from burdockcart.tests import gateway_deployment

LATENCY_S = 0.003


class Pipe:
    """One direction of a connection: delivers in order, after a latency."""

    def __init__(self, deliver, latency_s):
        self._deliver = deliver
        self._latency_s = latency_s
        self._items = collections.deque()

    def send(self, item):
        """Deliver an item after the latency; None is the end."""
        self._items.append(item)
        asyncio.get_running_loop().call_later(
            self._latency_s, lambda: self._deliver(self._items.popleft())
        )


class MemoryStream:
    """The daemon's side of a connection.

    ``socket`` offers the calls of a socket that the listener makes.  A close
    with data that the daemon has not read resets the connection, as does data
    that arrives afterwards.
    """

    def __init__(self, client, latency_s):
        self.socket = self
        self._client = client
        self._to_client = Pipe(client.received, latency_s)
        self._buffer = b""
        self._ended = False
        self._closed = False
        self._changed = asyncio.Event()
        self._writing = 0
        self._shut = False

    def received(self, data):
        """Take data of the client; None is the end."""
        if self._closed:
            if data is not None:
                self._client.reset = True
                self._to_client.send(None)
            return
        if data is None:
            self._ended = True
        else:
            self._buffer += data
        self._changed.set()

    async def read_bytes(self, num_bytes, partial):
        """Return the data that has arrived, at most so many bytes."""
        while not self._buffer:
            if self._ended or self._closed:
                self.close()
                raise iostream.StreamClosedError
            self._changed.clear()
            await self._changed.wait()
        data = self._buffer[:num_bytes]
        self._buffer = self._buffer[num_bytes:]
        return data

    async def read_until_close(self):
        """Return all that comes until the client closes."""
        while not self._ended and not self._closed:
            self._changed.clear()
            await self._changed.wait()
        data, self._buffer = self._buffer, b""
        self.close()
        return data

    def write(self, data):
        """Send data; the result is done once the client takes it."""
        loop = asyncio.get_running_loop()
        written = loop.create_future()
        if self._closed:
            written.set_exception(iostream.StreamClosedError())
            written.exception()
            return written
        self._writing += 1
        if self._client.takes_after_s:
            loop.call_later(
                self._client.takes_after_s, self._taken, data, written
            )
        else:
            self._taken(data, written)
        return written

    def _taken(self, data, written):
        self._writing -= 1
        if self._closed:
            if not written.done():
                written.set_exception(iostream.StreamClosedError())
                written.exception()
            return
        self._to_client.send(data)
        if self._shut and not self._writing:
            self._to_client.send(None)
        if not written.done():
            written.set_result(None)

    def closed(self):
        """Return whether the daemon has closed the connection."""
        return self._closed

    def close(self):
        """Close the connection."""
        if self._closed:
            return
        self._closed = True
        if self._buffer:
            self._client.reset = True
        self._changed.set()
        self._to_client.send(None)

    def shutdown(self, how):
        """Send the end after the data, and go on reading."""
        assert how == socket.SHUT_WR
        self._shut = True
        if not self._writing:
            self._to_client.send(None)

    def setsockopt(self, level, option, value):
        """Ignore options."""


class Answer(msgspec.Struct, kw_only=True):
    """What a client got for one request; ``end`` is None if it was cut."""

    id: str
    text: str
    sent_at: float
    lines: list[str] = msgspec.field(default_factory=list)
    end: str | None = None
    ended_at: float = 0.0

    @property
    def error(self):
        """The code of the error, if there is one."""
        words = [line.split(" ") for line in self.lines]
        return next((each[1] for each in words if each[0] == "ERROR"), None)

    @property
    def complete(self):
        """Whether the request succeeded."""
        return any(line.startswith("COMPLETE ") for line in self.lines)


class Client:
    """A client that keeps the rules of the protocol.

    It closes its session on any message that it receives while it waits for
    no answer.  ``unsolicited`` has these messages.
    """

    serials = itertools.count(1)

    def __init__(self, listener, latency_s=LATENCY_S):
        self.reset = False
        self.closed = False
        self.ended = False
        #: Time that the client takes to read an answer, in seconds.
        self.takes_after_s = 0.0
        self.answers = []
        self.unsolicited = []
        self._waiting = None
        self._buffer = b""
        self._stream = MemoryStream(self, latency_s)
        self._to_daemon = Pipe(self._stream.received, latency_s)
        self.refused = not listener.accept_stream(self._stream)

    @property
    def state(self):
        """The state in the last answer."""
        return self.answers[-1].end

    def received(self, data):
        """Take data of the daemon; None is the end."""
        if data is None:
            self.ended = True
            if self._waiting is not None:
                self._waiting.set_result(None)
            self.close()
            return
        self._buffer += data
        while wire.END in self._buffer:
            line, _, self._buffer = self._buffer.partition(wire.END)
            self._received_line(line.decode())

    def _received_line(self, line):
        if self.closed:
            return
        if self._waiting is None:
            self.unsolicited.append(line)
            self.close()
            return
        answer = self.answers[-1]
        answer.lines.append(line)
        refused = answer.text.startswith("STARTUP") and "ERROR" in line
        if line.startswith("READY ") or refused:
            answer.end = line.split(" ")[1]
            waiting, self._waiting = self._waiting, None
            waiting.set_result(None)

    async def _ask(self, id, text, line):
        loop = asyncio.get_running_loop()
        answer = Answer(id=id, text=text, sent_at=loop.time())
        self.answers.append(answer)
        self._waiting = loop.create_future()
        self._to_daemon.send(line.encode())
        await self._waiting
        self._waiting = None
        answer.ended_at = loop.time()
        return answer

    async def start(self, database="layers", key="user"):
        """Open a session; return whether it is open."""
        text = f"STARTUP {database} {key}"
        await self._ask("-", text, f"{text}\r\n")
        return self.answers[-1].end == "I"

    async def query(self, text):
        """Send a statement and return its answer."""
        number = f"q{next(self.serials)}"
        return await self._ask(number, text, f"QUERY {number} {text}\r\n")

    def close(self):
        """Close the connection."""
        if not self.closed:
            self.closed = True
            self._to_daemon.send(None)


class MemoryListener(client_wire.ClientListener):
    """Serves the connections of one daemon without sockets."""

    def __init__(self, gateway):
        super().__init__(gateway)
        self.accepts = True
        self._serving = set()
        self._streams = []

    def listen_on(self, address):
        """Listen nowhere."""

    def stop(self):
        """Accept no more connections."""
        self.accepts = False

    def accept_stream(self, stream):
        """Serve a connection; return False if none is accepted."""
        if not self.accepts:
            return False
        self._streams.append(stream)
        task = asyncio.create_task(self.handle_stream(stream, ("", 0)))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        return True

    def end_process(self):
        """Close what is open, as the end of the process does."""
        self.accepts = False
        for stream in self._streams:
            stream.close()
        for task in self._serving:
            task.cancel()


class Deployment(gateway_deployment.GatewayDeployment):
    """Daemons that serve clients of the line protocol."""

    def listener(self, daemon):
        """Return the listener of a daemon."""
        return MemoryListener(launch._Gateway(daemon))

    async def end(self, daemon):
        """Stop a daemon as the process does at SIGTERM.

        Returns the time that it took, in seconds.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await daemon.drain()
        await daemon.stop()
        daemon.clients.end_process()
        self.daemons.remove(daemon)
        return loop.time() - began_at

    async def connect(self, database="layers", daemon=0):
        """Return a client with an open session."""
        client = Client(self.daemons[daemon].clients)
        assert await client.start(database)
        return client


def scenario(check, **options):
    """Run a check in a deployment, in virtual time."""

    async def whole():
        deployment = await Deployment(**options).start()
        await asyncio.sleep(1.0)
        try:
            await check(deployment)
        finally:
            await deployment.stop()

    gateway_deployment.run(whole())
