"""What daemons and the owner of a shard tell each other about shares."""

import hashlib
from typing import NewType

import msgspec

from burdockcart import ids
from burdockcart.process.rates import permit_terms

#: Number of parts into which the accounts are divided by hash.
SHARDS = 4
#: Lease of a shard's key, in seconds.
LEASE_S = 3.0
#: Interval of its renewal, in seconds.  With 0.75 s a share that was granted
#: before the last renewal could end 50 ms after the lease, before a
#: successor has renewed it; with 0.5 s it has 300 ms.
RENEW_S = 0.5
#: Part of the lease that an owner does not use, for the clocks, in seconds.
CLOCK_MARGIN_S = 0.2
#: Time for which a share outlives the authority of its owner, in seconds.
GRACE_S = 1.0
#: Interval of reports to an owner, in seconds.
REPORT_S = 0.5
#: Shortest time between two reports to one owner, in seconds.
ASK_S = 0.05
#: Validity of a share that is only a token for an operation that waits, in
#: seconds.  Its place in the burst is free again after that; with the usual
#: validity, three daemons would hold three of five places without tokens.
TOKEN_S = 0.1
#: Demand that a daemon reports which needs tokens for operations that wait,
#: but no share, in operations per second; 0 would return what it holds.
TOKENS_ONLY = 1e-6
#: Time without demand after which a share is returned, in seconds.
IDLE_S = 2.0

Shard = NewType("Shard", int)
#: Position of the key in the store by which an owner became one.
Term = NewType("Term", int)
#: One process of a daemon: a daemon that starts again is another holder.
Holder = NewType("Holder", tuple[ids.DaemonId, int])


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon needs of one account, and what it holds.

    Parameters
    ==========

    term, serial : int
        The share that it holds; 0 for none.
    per_s : float
        Operations that clients want to begin, per second.
    wanted : int
        Operations that wait for a token.
    returned : float
        Tokens that the daemon has given up.
    rate, burst : float
        Of the share that it holds.

    """

    account: ids.AccountName
    term: Term
    serial: int
    per_s: float
    wanted: int
    returned: float
    rate: float
    burst: float


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's part of an account's rate.

    Parameters
    ==========

    tokens : float
        Tokens that come with it; they fit into its burst.
    next_ms : int
        Time until the owner may have more, in milliseconds; 0 if the daemon
        has got what it wanted.
    valid_ms : int
        Time for which it is valid after the report was sent, in milliseconds;
        0 for that of the whole answer.
    renews : bool
        Whether it only continues the share of a former owner, which must not
        have expired when this one arrives.
    early : bool
        Whether the owner may not grant yet, because shares of a former one may
        be in use.

    """

    account: ids.AccountName
    serial: int
    rate: float
    burst: float
    tokens: float = 0.0
    next_ms: int = 0
    valid_ms: int = 0
    renews: bool = False
    early: bool = False


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Demand of a daemon, as it is sent to the owner of a shard.

    Parameters
    ==========

    instance : int
        Differs between the processes of a daemon.
    sequence : int
        Increases with each report; answers to earlier ones are void.
    missed : DaemonId or None
        Owner that does not answer the sender.
    lease_left_ms : int
        Time until the last known lease of an owner ends, in milliseconds.
    permit : PermitClaim or None
        Permit of the reserve that the sender holds; None if it must not get
        one.

    """

    shard: Shard
    instance: int
    sequence: int
    missed: ids.DaemonId | None
    lease_left_ms: int
    demands: list[Demand]
    permit: permit_terms.PermitClaim | None = None


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a report.

    Parameters
    ==========

    position : int
        Position in the store at which the owner became one.
    valid_ms : int
        Time for which the shares are valid after the report was sent, in
        milliseconds; 0 if the daemon is not the owner and grants nothing.
    leaving : bool
        Whether the daemon shuts down and will not become the owner.
    store_silent : bool
        Whether the daemon cannot become the owner now, as the store does not
        respond to it.
    permit : PermitGrant or None
        The sender's permit of the reserve.
    permitted : list of DaemonId
        Daemons that have a permit.

    """

    owner: ids.DaemonId | None
    position: ids.StorePosition
    valid_ms: int = 0
    leaving: bool = False
    shares: list[Share] = []
    store_silent: bool = False
    permit: permit_terms.PermitGrant | None = None
    permitted: list[ids.DaemonId] = []


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """What an owner that gives up its shard sends to a possible successor.

    Parameters
    ==========

    position : int
        Position in the store at which the owner became one.
    take : bool
        Whether the owner has stepped down and the daemon is to write the key;
        otherwise it is only asked whether it could.
    shares_end_ms : int
        Time until the last share of the owner expires, in milliseconds.

    """

    shard: Shard
    position: ids.StorePosition
    take: bool
    shares_end_ms: int


def shard_of(account: ids.AccountName) -> Shard:
    """Return the shard of an account.

    Examples
    ========

    >>> from burdockcart.process.rates import share_terms
    >>> 0 <= share_terms.shard_of("a") < share_terms.SHARDS
    True

    """
    digest = hashlib.blake2b(account.encode(), digest_size=8).digest()
    return Shard(int.from_bytes(digest, "big") % SHARDS)
