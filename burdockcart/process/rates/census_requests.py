"""Asks all listed daemons what they hold of a shard that was acquired."""

import asyncio
from typing import Protocol

import loguru

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era
from burdockcart.process.rates import census_terms
from burdockcart.process.rates import shard_census
from burdockcart.process.rates import shard_keeper
from burdockcart.process.rates import share_terms

#: Shortest time between two rounds of questions, in seconds.
PAUSE_S = 0.1


class Carrier(Protocol):
    """Carries questions to other daemons."""

    async def ask(
        self,
        daemon: coordination.DaemonEntry,
        shard: share_terms.Shard,
        position: ids.StorePosition,
        timeout_s: float,
    ) -> census_terms.Held | None:
        """Ask a daemon; None without an answer in time."""


class Answers(Protocol):
    """What this daemon itself holds."""

    def __call__(
        self, shard: share_terms.Shard, position: ids.StorePosition
    ) -> census_terms.Held:
        """Return it, as another daemon would answer."""


class CensusRequests:
    """Takes the census of one shard each time this daemon acquires it."""

    def __init__(
        self,
        shard: share_terms.Shard,
        daemon: ids.DaemonId,
        keeper: shard_keeper.ShardKeeper,
        platform: coordination.Platform,
        carrier: Carrier,
        own: Answers,
        boot_clock: clock.Clock,
    ):
        self._shard = shard
        self._daemon = daemon
        self._keeper = keeper
        self._platform = platform
        self._carrier = carrier
        self._own = own
        self._clock = boot_clock

    async def run(self) -> None:
        """Take a census whenever one is due, until cancelled."""
        while True:
            await self._keeper.census_due.wait()
            self._keeper.census_due.clear()
            position = self._keeper.census_position()
            if position is not None:
                await self._take(position)

    async def _take(self, position: ids.StorePosition) -> None:
        """Ask until all daemons have answered, or nothing is gained."""
        read = await self._platform.read_state(store_era.FIRST)
        snapshot = read.value_or(None)
        if (
            snapshot is None
            or snapshot.position < position
            or snapshot.daemons_unreadable
            or self._platform.eras.current != store_era.FIRST
        ):
            return
        entries = snapshot.daemon_by_id
        census = shard_census.ShardCensus(entries)
        if not census.possible:
            return
        while self._keeper.census_position() == position:
            await asyncio.gather(
                *(
                    self._ask(census, entries[daemon], position)
                    for daemon in census.missing
                )
            )
            if not census.missing:
                break
            await asyncio.sleep(PAUSE_S)
        left_s = self._keeper.census_from - self._clock.now()
        await asyncio.sleep(max(0.0, left_s))
        # The store may have been restored since the list was read.
        first = self._platform.eras.current == store_era.FIRST
        if first and not census.missing:
            used = self._keeper.use_census(position, census)
            loguru.logger.info(
                "event=shard_census shard={} position={} daemons={} used={}",
                self._shard,
                position,
                len(entries),
                used,
            )

    async def _ask(
        self,
        census: shard_census.ShardCensus,
        entry: coordination.DaemonEntry,
        position: ids.StorePosition,
    ) -> None:
        if entry.id == self._daemon:
            census.answered(entry.id, self._own(self._shard, position))
            return
        held = await self._carrier.ask(
            entry, self._shard, position, shard_census.TIMEOUT_S
        )
        if held is not None:
            census.answered(entry.id, held)
