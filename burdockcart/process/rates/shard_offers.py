"""Transfers a shard to another daemon, and takes those of others."""

import asyncio
from typing import Callable
from typing import Mapping
from typing import Protocol

import loguru

from burdockcart import clock
from burdockcart import event_wait
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import rate_metrics
from burdockcart.process.rates import shard_keeper
from burdockcart.process.rates import shard_transfer
from burdockcart.process.rates import share_terms

#: Timeouts of the question whether a daemon could take a shard, which reads
#: one key, and of the offer to take it, which grants a lease and writes the
#: key, in seconds.  Three questions fit into what is left of an authority.
ASK_TIMEOUT_S = 0.4
TAKE_TIMEOUT_S = 1.0


class Carrier(Protocol):
    """Carries offers to other daemons."""

    async def offer(
        self,
        daemon: coordination.DaemonEntry,
        offer: share_terms.Offer,
        timeout_s: float,
    ) -> bool:
        """Offer a shard; False if it is refused, or without an answer."""


class ShardOffers:
    """Transfers of one shard.

    Parameters
    ==========

    daemons : callable
        Returns the entries of the registered daemons.

    """

    def __init__(
        self,
        shard: share_terms.Shard,
        daemon: ids.DaemonId,
        keeper: shard_keeper.ShardKeeper,
        platform: coordination.Platform,
        carrier: Carrier,
        daemons: Callable[[], Mapping[ids.DaemonId, coordination.DaemonEntry]],
        boot_clock: clock.Clock,
        metrics: rate_metrics.RateMetrics,
    ):
        self._shard = shard
        self._keeper = keeper
        self._platform = platform
        self._carrier = carrier
        self._daemons = daemons
        self._clock = boot_clock
        self._metrics = metrics
        self._transfer = shard_transfer.ShardTransfer(
            shard, daemon, keeper.ownership
        )

    async def run(self) -> None:
        """Transfer the shard whenever it is due, until cancelled."""
        while True:
            await self._pause()
            await self._offer()

    async def _pause(self) -> None:
        """Wait until a transfer is due; without a timer if none can be."""
        self._keeper.transfer_changed.clear()
        now = self._clock.now()
        due_s = self._transfer.due_at(now, self._keeper.shares_end_at()) - now
        if due_s > 0:
            await event_wait.until_set(self._keeper.transfer_changed, due_s)

    async def _offer(self) -> None:
        """Ask daemons one after the other until one can take the shard."""
        # Daemons may leave the list while they are asked.
        entries = dict(self._daemons())
        shares_end_at = self._keeper.shares_end_at()
        begun = self._transfer.begin(entries, self._clock.now(), shares_end_at)
        if begun is None:
            return
        asked, candidates = begun
        for number, daemon in enumerate(candidates):
            ready = await self._carrier.offer(
                entries[daemon], asked, ASK_TIMEOUT_S
            )
            if not ready:
                continue
            await asyncio.sleep(
                self._transfer.keep_s(self._clock.now(), shares_end_at)
            )
            # Nothing may be granted after the next daemon may take the key.
            stepped_down = self._transfer.step_down(
                asked.position,
                daemon,
                self._clock.now(),
                self._keeper.shares_end_at(),
            )
            if stepped_down is not None:
                self._keeper.drop_ledger()
                await self._hand_over(
                    stepped_down,
                    [entries[each] for each in candidates[number:]],
                )
            return
        self._transfer.failed(self._clock.now())
        self._metrics.count_transfer("no_successor")
        loguru.logger.warning(
            "event=shard_transfer_failed shard={} position={} asked={}",
            self._shard,
            asked.position,
            ",".join(candidates),
        )

    async def _hand_over(
        self,
        stepped_down: shard_transfer.SteppedDown,
        entries: list[coordination.DaemonEntry],
    ) -> None:
        """Have a daemon take the key; a write succeeds for only one."""
        for entry in entries:
            self._keeper.ownership.name_successor(
                stepped_down.position, entry.id
            )
            offer = stepped_down.offer(self._shard, self._clock.now())
            taken = await self._carrier.offer(entry, offer, TAKE_TIMEOUT_S)
            self._metrics.count_transfer("taken" if taken else "unconfirmed")
            loguru.logger.info(
                "event=shard_transferred shard={} position={} successor={} "
                "taken={} shares_end_ms={}",
                self._shard,
                offer.position,
                entry.id,
                taken,
                offer.shares_end_ms,
            )
            if taken:
                return

    async def offered(self, offer: share_terms.Offer) -> bool:
        """Return whether this daemon could take the shard, or has taken it."""
        received_at = self._clock.now()
        if not self._keeper.may_take():
            return False
        if offer.take:
            return await self._keeper.take(
                offer.position, received_at + offer.shares_end_ms / 1000
            )
        read = await self._platform.read_shard(offer.shard)
        self._keeper.note_era()
        return self._keeper.may_take() and shard_transfer.may_take(
            offer, read.value_or(None)
        )
