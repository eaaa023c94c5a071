"""Messages about the shares in use of a shard with a new owner."""

import msgspec

from burdockcart import ids
from burdockcart.process.rates import census_terms
from burdockcart.process.rates import share_terms


class ShardCensus(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Ask what a daemon holds of a shard from former owners.

    Parameters
    ==========

    position : int
        Position in the store at which the asking owner became one.

    """

    number: int
    shard: share_terms.Shard
    position: ids.StorePosition


class ShardHeld(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """Answer with it; None if the daemon does not take part."""

    number: int
    held: census_terms.Held | None
