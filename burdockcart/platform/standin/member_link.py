"""Network between the daemons and one member, with its faults."""

import asyncio
import collections
import enum
from typing import Callable

LINK_DELAY_S = 0.15
LINK_POLL_S = 0.05

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

    async def _is_cut_off(self, port: int) -> bool:
        if not any(self.cut_off.values()):
            return False
        async with self._lookup:
            if port not in self._owner_by_port:
                # The system's table of connections may be long.
                self._owner_by_port |= await asyncio.to_thread(
                    self._owners, *self._address
                )
                # The process that has opened it may have ended.
                self._owner_by_port.setdefault(port, "")
        return self.cut_off[self._owner_by_port.get(port, "")] > 0
