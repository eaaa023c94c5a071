"""Selects a daemon for a client, as the ingress of the platform does."""

import asyncio
import random

from burdockcart.platform.standin import daemons

#: Name, host and port of a daemon.
Picked = tuple[str, str, int]


class Ingress:
    """Daemons among which clients are distributed.

    Parameters
    ==========

    started : list of Daemon
        Filled when the daemons start.

    """

    def __init__(self, started: list[daemons.Daemon]):
        self._daemons = started
        self._only: daemons.Daemon | None = None

    def pick(self, rng: random.Random) -> Picked | None:
        """Return a daemon; None if none listens."""
        ready = [each for each in self._daemons if each.ready]
        if 2 * len(ready) < len(self._daemons):
            ready = [each for each in self._daemons if each.alive]
        if not ready:
            return None
        picked = rng.choice(ready)
        return picked.name, picked.host, daemons.CLIENT_PORT

    def pick_for_client(self, rng: random.Random) -> Picked | None:
        """Return the daemon that has all clients, or any if none has."""
        only = self._only
        if only is None or not only.ready:
            return self.pick(rng)
        return only.name, only.host, daemons.CLIENT_PORT

    def keeps(self, daemon: str) -> bool:
        """Return whether a client of a daemon stays there."""
        only = self._only
        return only is None or not only.ready or only.name == daemon

    async def concentrate(
        self, daemon: daemons.Daemon, seconds: float
    ) -> None:
        """Let all clients connect to one daemon for some time."""
        self._only = daemon
        await asyncio.sleep(seconds)
        # A later call may have chosen another daemon meanwhile.
        if self._only is daemon:
            self._only = None
