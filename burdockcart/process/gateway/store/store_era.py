"""Eras of the platform's store: its histories between two restores.

Explanation
===========

A store that is restored from an older copy forgets what it acknowledged
since, and gives out the same revisions and leases again.  Only together with
the era do they name one place in its history.  So revisions are kept as
positions that rise over all eras: one of an earlier era is smaller than any
of a later one, and never equal to it.

"""

import asyncio

from burdockcart import event_wait
from burdockcart import ids

#: Bits of a revision within its era; they last for ten years at 3,200 writes
#: a second.  With them, positions of 8,192 eras are exact as JSON numbers.
REVISION_BITS = 40
#: Era of a store that was never restored.  Only there is nothing missing in it
#: that was acknowledged.
FIRST = ids.StoreEra(0)


def position(era: ids.StoreEra, revision: int) -> ids.StorePosition:
    """Return the position of a revision; 0 stands for a missing key.

    Raises
    ======

    ValueError
        If the revision does not fit into an era.

    Examples
    ========

    >>> from burdockcart.process.gateway.store import store_era
    >>> store_era.position(0, 41)
    41
    >>> before, after = store_era.position(1, 90), store_era.position(2, 41)
    >>> before < after
    True
    >>> store_era.era_of(after), store_era.revision_of(after)
    (2, 41)

    """
    if not 0 <= revision < 1 << REVISION_BITS:
        raise ValueError(f"revision {revision} of the store is out of range")
    return ids.StorePosition((era << REVISION_BITS) + revision)


def era_of(place: ids.StorePosition) -> ids.StoreEra:
    """Return the era of a position."""
    return ids.StoreEra(place >> REVISION_BITS)


def revision_of(place: ids.StorePosition) -> int:
    """Return the revision of a position within its era."""
    return place & ((1 << REVISION_BITS) - 1)


class EraWatch:
    """Newest era that an answer of the store has shown to this daemon."""

    def __init__(self) -> None:
        self._newest: ids.StoreEra | None = None
        self._changed = asyncio.Event()

    @property
    def current(self) -> ids.StoreEra:
        """The newest known era; the first one before the first answer."""
        return FIRST if self._newest is None else self._newest

    def observe(self, era: ids.StoreEra) -> bool:
        """Record the era of an answer; False if a newer one is known."""
        if self._newest is not None and era < self._newest:
            return False
        if era != self._newest:
            self._newest = era
            self._changed.set()
            self._changed = asyncio.Event()
        return True

    async def wait_beyond(self, era: ids.StoreEra, timeout_s: float) -> None:
        """Wait until an answer shows another era, or until the timeout."""
        if self.current != era:
            return
        await event_wait.until_set(self._changed, timeout_s)
