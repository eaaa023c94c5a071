"""Keeps the key of the links between daemons in the platform's store."""

import asyncio
import random
from typing import Callable

import loguru
from returns import result

from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import fleet_key

#: Interval between attempts to write the key, in seconds.
RETRY_S = 0.5
#: Time over which the first attempts of a fleet are spread, in seconds; most
#: daemons find the key in the store before their turn comes.
SPREAD_S = 2.0


class LinkKey:
    """Follows the key in the store, and writes it when the store lacks it.

    Explanation
    ===========

    The key that the store holds counts for all daemons.  After a restore the
    key in use is written again at once, before a daemon that has just started
    creates another.  A key that was replaced stays withdrawn, also if the
    restored store still holds it.

    Parameters
    ==========

    key : FleetKey
        The key in force, for the links.
    close_links : callable
        Called when another key comes into force.

    """

    def __init__(
        self,
        platform: coordination.Platform,
        key: fleet_key.FleetKey,
        close_links: Callable[[], None],
        rng: random.Random,
    ):
        self._platform = platform
        self._key = key
        self._close_links = close_links
        self._rng = rng
        #: Set while the store holds no valid key.
        self._missing = asyncio.Event()
        self._withdrawn: set[bytes] = set()

    def found(self, key: bytes) -> None:
        """Use the key that the store holds, unless it was withdrawn."""
        if key in self._withdrawn:
            self._missing.set()
            return
        self._missing.clear()
        if key == self._key.value:
            return
        if self._key.value is not None:
            self._withdrawn.add(self._key.value)
            self._close_links()
        self._key.value = key
        loguru.logger.info("event=fleet_key_in_force")

    def missing(self) -> None:
        """Write the key, as the store holds none."""
        self._missing.set()

    async def run(self) -> None:
        """Write the key whenever the store lacks it, until cancelled."""
        while True:
            await self._missing.wait()
            if self._key.value is None:
                await asyncio.sleep(self._rng.uniform(0.0, SPREAD_S))
            while self._missing.is_set():
                written = await self._platform.write_fleet_key(
                    self._key.value or fleet_key.new_key(), self._withdrawn
                )
                if isinstance(written, result.Success):
                    self.found(written.unwrap())
                elif written.failure() is coordination.CallFault.UNREADABLE:
                    # Only whoever wrote that value can tell what it should be.
                    self._missing.clear()
                else:
                    await asyncio.sleep(RETRY_S)
