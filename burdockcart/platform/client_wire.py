"""Server of client connections over the line protocol."""

import socket
from typing import Iterable

from tornado import iostream
from tornado import tcpserver

from burdockcart.connection import sockets
from burdockcart.platform import client_connection
from burdockcart.platform import client_limiter
from burdockcart.platform import line_reader
from burdockcart.platform import wire

#: Time after which unacknowledged data closes the connection to a client, in
#: milliseconds; longer than the longest time limit of the users (5 s).
USER_TIMEOUT_MS = 6000
#: Buffers of the kernel for each client, in bytes, which the kernel doubles;
#: they are part of the host's memory, and grow to megabytes by default.
RECEIVE_BYTES = 64 * 1024
SEND_BYTES = 256 * 1024
#: Receive buffer of the stream, which reads a chunk at a time.
READ_BUFFER_BYTES = 4 * line_reader.CHUNK_BYTES
BACKLOG = 1024


class ClientListener(tcpserver.TCPServer):
    """Accepts clients."""

    def __init__(
        self,
        gateway: client_connection.Gateway,
        limiter: client_limiter.ClientLimiter | None = None,
    ):
        super().__init__(
            max_buffer_size=READ_BUFFER_BYTES,
            read_chunk_size=line_reader.CHUNK_BYTES,
        )
        self._gateway = gateway
        self._limiter = limiter or client_limiter.ClientLimiter(
            client_limiter.unlimited()
        )
        self._connections: set[client_connection.ClientConnection] = set()
        self._listening: list[socket.socket] = []

    @property
    def connections(self) -> Iterable[client_connection.ClientConnection]:
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
        for each in listening:
            # Accepted connections inherit them.
            each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            each.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
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
        if not self._limiter.make_room():
            self._limiter.limited("connections", "refused")
            stream.write(
                wire.error_line(client_connection.busy("too many connections"))
            )
            stream.close()
            return
        sockets.enable_dead_peer_detection(stream.socket, USER_TIMEOUT_MS)
        connection = client_connection.ClientConnection(
            stream, self._gateway, self._limiter
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)
