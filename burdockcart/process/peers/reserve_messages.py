"""Messages about the rate reserve on the links between daemons."""

import msgspec

from burdockcart import ids
from burdockcart.process.rates import share_terms


class ReserveRequest(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Ask a daemon with a permit of a shard for tokens of accounts."""

    number: int
    shard: share_terms.Shard
    counts: list[tuple[ids.AccountName, int]]


class ReserveTokens(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Answer with the tokens of each account.

    Parameters
    ==========

    permitted : bool
        Whether the daemon has a permit.

    """

    number: int
    counts: list[tuple[ids.AccountName, int]]
    permitted: bool
