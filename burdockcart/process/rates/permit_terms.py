"""What reports and their answers say about permits of the reserve."""

import msgspec

from burdockcart import ids

#: Accounts, each with a number of tokens.
Counts = list[tuple[ids.AccountName, int]]


class PermitClaim(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that may hold a permit of a shard reports.

    Parameters
    ==========

    index : int or None
        The permit that it holds, unexpired when the report was sent.

    """

    index: int | None = None


class PermitGrant(msgspec.Struct, frozen=True, array_like=True):
    """A permit, as the owner of the shard grants it.

    Parameters
    ==========

    valid_ms : int
        Time for which it is valid after the report was sent, in milliseconds.
    renews : bool
        Whether it only continues a permit of a former owner, which must not
        have expired when this one arrives.

    """

    index: int
    valid_ms: int
    renews: bool = False


class Tokens(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon issues that was asked for tokens of a shard.

    Parameters
    ==========

    permitted : bool
        Whether it has a permit.

    """

    counts: Counts
    permitted: bool
