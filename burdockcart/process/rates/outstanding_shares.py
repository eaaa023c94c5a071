"""Shares that were sent to one holder and may still be spent."""

import math
from typing import Iterator

import msgspec


class Grant(msgspec.Struct, frozen=True):
    """A share that was sent, and when it expires, in seconds.

    ``tokens`` are those that come with it.
    """

    serial: int
    rate: float
    burst: float
    tokens: float
    ends_at: float


class OutstandingShares:
    """Shares of one holder that may still be spent."""

    def __init__(self) -> None:
        #: The share that the holder has reported, and later ones of which it
        #: has not; at most one of them can be in use.
        self._held: Grant | None = None
        self._sent: list[Grant] = []
        self.demand = 0.0
        self.demand_at = -math.inf

    def acknowledged(self, serial: int, returned: bool) -> bool:
        """Forget all shares but the one that the holder has.

        It no longer accepts answers to what it sent before this report.
        Returns whether the share that it reports is still in force: the
        tokens that come back from an expired one have been granted anew.

        Parameters
        ==========

        returned : bool
            Whether it has given up that share, too.

        """
        grants = [*self._sent, *([self._held] if self._held else [])]
        self._held = next((g for g in grants if g.serial == serial), None)
        self._sent = []
        in_force = self._held is not None
        if returned:
            self._held = None
        return in_force

    def ends(self) -> Iterator[float]:
        """Return the times at which shares expire."""
        yield from (each.ends_at for each in self._sent)
        if self._held is not None:
            yield self._held.ends_at

    def expire(self, now: float) -> None:
        """Forget shares that have expired.

        The tokens of the share that was held may have passed to one that was
        sent, so it counts until that one is reported or has expired.
        """
        self._sent = [each for each in self._sent if each.ends_at > now]
        if self._held is None or self._sent:
            return
        if self._held.ends_at <= now:
            self._held = None

    def add(self, grant: Grant) -> None:
        """Record a share that is about to be sent."""
        self._sent.append(grant)

    @property
    def rate(self) -> float:
        """Highest rate at which the holder may spend."""
        held = self._held.rate if self._held else 0.0
        return max([held, *(each.rate for each in self._sent)])

    @property
    def burst(self) -> float:
        """Most tokens that the holder has, with those that are sent."""
        most = self._held.burst if self._held else 0.0
        for each in self._sent:
            most = max(most + each.tokens, each.burst)
        return most

    @property
    def empty(self) -> bool:
        """Whether nothing can be spent."""
        return self._held is None and not self._sent
