"""Keeps a daemon registered in the platform's store."""

import random
from typing import Awaitable
from typing import Callable

import loguru
from returns import result

from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import registration_time
from burdockcart.process.gateway.store import store_follower

#: Lifetime of a daemon's registration, and interval between renewals, in
#: seconds.
REGISTRATION_TTL_S = 8.0
RENEW_INTERVAL_S = 2.5
#: Interval after a renewal without success, in seconds, besides the backoff.
RENEW_RETRY_S = 0.5

#: Faults of a renewal after which the daemon has to register again.
ENDED = (coordination.CallFault.MISSING, coordination.CallFault.RESTORED)


class Listing:
    """Keeps this daemon registered in the list of daemons.

    The connections that members accept are divided among the registered
    daemons, and these find each other's addresses there.

    Parameters
    ==========

    prepare : callable
        Called before each registration; returns the entry to register, or
        None if it has to be tried again.
    times : RegistrationTime or None
        Notes until when the store has the registration.

    """

    def __init__(
        self,
        platform: coordination.Platform,
        rng: random.Random,
        prepare: Callable[[], Awaitable[coordination.DaemonEntry | None]],
        times: registration_time.RegistrationTime,
    ):
        self._times = times
        self._prepare = prepare
        self._entry: coordination.DaemonEntry | None = None
        self._lease: coordination.Lease | None = None
        self._left = False
        self._platform = platform
        self._backoff = store_follower.Backoff(rng)
        self._rng = rng

    async def run(self) -> None:
        """Stay registered until this daemon leaves."""
        while not self._left:
            entry = await self._prepare()
            if entry is None:
                await self._backoff.pause()
                continue
            self._entry = entry
            sent_at = self._times.now()
            registered = await self._platform.register_daemon(
                entry, REGISTRATION_TTL_S
            )
            if isinstance(registered, result.Failure):
                await self._backoff.pause()
                continue
            self._backoff.succeeded()
            self._lease = registered.unwrap()
            self._times.registered(self._lease.era, sent_at)
            loguru.logger.info(
                "event=daemon_registered era={}", self._lease.era
            )
            await self._renew(self._lease)
        # It may have left while it was being registered.
        await self._unregister()

    @property
    def ended(self) -> bool:
        """Whether this daemon has left the list for good."""
        return self._left and self._lease is None

    async def leave(self) -> None:
        """End the registration, so that no daemon relies on this one."""
        self._left = True
        await self._unregister()

    async def _unregister(self) -> None:
        """End the newest lease; try until the store has ended it."""
        self._times.ended()
        while self._lease is not None and self._entry is not None:
            lease = self._lease
            ended = await self._platform.unregister_daemon(lease)
            if ended == result.Failure(coordination.CallFault.RESTORED):
                # The copy may hold the entry under a lease of its own.
                ended = await self._platform.withdraw_daemon(self._entry)
            fault = None
            if isinstance(ended, result.Failure):
                fault = ended.failure()
            if fault not in (None, coordination.CallFault.MISSING):
                await self._backoff.pause()
            elif self._lease == lease:
                self._lease = None

    async def _renew(self, lease: coordination.Lease) -> None:
        """Renew the lease until it has ended.

        A renewal that failed is tried again soon: the lease ends in a few
        seconds, and others would choose holders anew.
        """
        interval_s = RENEW_INTERVAL_S
        while not self._left:
            await self._platform.eras.wait_beyond(
                lease.era, interval_s * self._rng.uniform(0.8, 1.0)
            )
            sent_at = self._times.now()
            renewed = await self._platform.renew_daemon(lease)
            if isinstance(renewed, result.Failure):
                if renewed.failure() is coordination.CallFault.MISSING:
                    self._times.ended()
                if renewed.failure() in ENDED:
                    return
                await self._backoff.pause()
                interval_s = RENEW_RETRY_S
            else:
                if not self._left:
                    self._times.renewed(lease.era, sent_at)
                self._backoff.succeeded()
                interval_s = RENEW_INTERVAL_S
