"""Accounts the responses of members while they are received."""

import socket
from typing import Any

from tornado import iostream

from burdockcart.connection.client_limits import memory_budget

#: Size from which on a response is accounted, in bytes; smaller ones are
#: bounded by the number of connections.
ACCOUNTED_BYTES = 64 * 1024
#: Copies of a response while it is received: the buffer and the decoded rows.
COPIES = 2


class NoMemory(Exception):
    """The memory budget has no room for a response."""


class ResponseStream(iostream.IOStream):
    """Connection to a member that accounts a response as it arrives.

    Parameters
    ==========

    memory : Memory
        The connection ends when there is no room for a response.

    """

    def __init__(
        self,
        connection: socket.socket,
        memory: memory_budget.Memory,
        max_buffer_size: int | None = None,
    ):
        super().__init__(connection, max_buffer_size=max_buffer_size)
        self._memory = memory
        self._number = memory_budget.new_number()
        self._received = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and account what has arrived of a large response."""
        count = super().read_from_fd(buf)
        if count:
            self._received += count
            if self._received > ACCOUNTED_BYTES and not self._memory.hold(
                self._number,
                memory_budget.Use.RESPONSE,
                COPIES * self._received,
            ):
                self._memory.limited("memory", "closed", "member")
                self.close(exc_info=NoMemory("no memory for the response"))
                return None
        return count

    def close(self, exc_info: Any = False) -> None:
        """Close the connection; what has arrived counts no longer."""
        super().close(exc_info)
        self.release()

    def release(self) -> None:
        """Account nothing until the next response arrives."""
        if self._received > ACCOUNTED_BYTES:
            self._memory.hold(self._number, memory_budget.Use.RESPONSE, 0)
        self._received = 0
