"""What daemons answer to an owner that asks what they hold of its shard."""

import msgspec

from burdockcart import ids


class Held(msgspec.Struct, frozen=True, array_like=True):
    """What one process holds of a shard from former owners.

    Parameters
    ==========

    instance : int
        Differs between the processes of a daemon.
    shares : list of tuple
        Account, rate and burst of each share.
    permit : int or None
        Index of its permit of the reserve.

    """

    instance: int
    shares: list[tuple[ids.AccountName, float, float]]
    permit: int | None = None
