"""Messages about the rates of accounts on the links between daemons."""

import msgspec

from burdockcart import ids
from burdockcart.process.rates import census_terms
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import share_terms


class ShareReport(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Report the demand of accounts to the owner of a shard."""

    number: int
    report: share_terms.Report


class Shares(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Answer to a report of demand."""

    number: int
    answer: share_terms.Answer


class ShardOffer(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Offer a shard to a possible successor."""

    number: int
    offer: share_terms.Offer


class ShardOffered(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Answer to the offer of a shard.

    Parameters
    ==========

    ready : bool
        Whether the daemon could write the key, or has written it.

    """

    number: int
    ready: bool


class ReserveRequest(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Ask a daemon with a permit of a shard for tokens of accounts."""

    number: int
    shard: share_terms.Shard
    counts: permit_terms.Counts


class ReserveTokens(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Answer with the tokens of each account."""

    number: int
    tokens: permit_terms.Tokens


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
