"""Network between the daemons and one member, with its faults."""

import asyncio
import collections
import enum
import math
from typing import AsyncIterator
from typing import Callable

LINK_DELAY_S = 0.15
LINK_POLL_S = 0.05
#: Bytes of an answer that a slow link passes on at once.
PART_BYTES = 16 * 1024

#: Daemons by the ports of their connections to a host and port.
Owners = Callable[[str, int], dict[int, str]]


class LinkFault(enum.Enum):
    """What the network between the daemons and a member does."""

    NONE = "none"
    DELAYED = "delayed"
    #: Neither requests nor answers arrive.
    SILENT = "silent"
    #: Requests arrive and run, answers do not arrive.
    ANSWERS_LOST = "answers lost"


class MemberLink:
    """Passes messages on, late, or not while a fault lasts.

    Parameters
    ==========

    owners : callable
        Returns the daemons that have connections to an address, by port.

    """

    def __init__(self, host: str, port: int, owners: Owners):
        self.fault = LinkFault.NONE
        #: Daemons that nothing reaches, and that reach nothing here.
        self.cut_off: collections.Counter[str] = collections.Counter()
        #: Rate at which answers reach each daemon, in bytes per second; None
        #: for no limit.  All answers to a daemon share it.
        self.rate: float | None = None
        self._line_by_daemon: dict[str, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._address = (host, port)
        self._owners = owners
        self._owner_by_port: dict[int, str] = {}
        self._lookup = asyncio.Lock()

    def connected(self, port: int) -> None:
        """Forget the owner of an earlier connection from a port."""
        self._owner_by_port.pop(port, None)

    def forget_owners(self) -> None:
        """Forget all owners; ports may have been given to others."""
        self._owner_by_port.clear()

    async def cross(self, port: int, *cut_by: LinkFault) -> None:
        """Wait until a message from or to a port is passed on."""
        if self.fault is LinkFault.DELAYED:
            await asyncio.sleep(LINK_DELAY_S)
        while self.fault in cut_by or await self._is_cut_off(port):
            await asyncio.sleep(LINK_POLL_S)

    async def paced(self, port: int, data: bytes) -> AsyncIterator[bytes]:
        """Yield an answer to a port in parts, at the rate of the link."""
        if self.rate is None:
            yield data
            return
        line = self._line_by_daemon[await self._owner(port)]
        for begin in range(0, len(data), PART_BYTES):
            part = data[begin : begin + PART_BYTES]
            async with line:
                await asyncio.sleep(len(part) / (self.rate or math.inf))
            yield part

    async def _is_cut_off(self, port: int) -> bool:
        if not any(self.cut_off.values()):
            return False
        return self.cut_off[await self._owner(port)] > 0

    async def _owner(self, port: int) -> str:
        """Return the daemon whose connection has a port."""
        async with self._lookup:
            if port not in self._owner_by_port:
                # The system's table of connections may be long.
                self._owner_by_port |= await asyncio.to_thread(
                    self._owners, *self._address
                )
                # The process that has opened it may have ended.
                self._owner_by_port.setdefault(port, "")
        return self._owner_by_port.get(port, "")
