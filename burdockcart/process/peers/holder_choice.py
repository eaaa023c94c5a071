"""Chooses the daemons that hold the connections of a member.

Explanation
===========

Load pattern: 77 daemons before members that accept 58 connections.  With an
equal share each keeps less than one, so some have none to the primary while
others keep idle ones.  A few holders have enough each for the bursts of the
whole fleet, and one queue in front of the member's slots.

The holders of a member are in its failure domain: a statement of a client in
another one crosses once, as on a direct connection, and a partition leaves a
member with its holders.  Rendezvous hashing gives all daemons the same order
from the same list, and changes few holders when a daemon joins or leaves.

"""

from typing import Iterable

import msgspec
import xxhash

from burdockcart import ids
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.gateway.store import coordination

#: Connections that a daemon must be able to keep to each member for the whole
#: fleet to connect directly.
MIN_DIRECT = 2
#: Connections that each holder keeps if the fleet does not connect directly:
#: more than a member's slots, since transactions keep connections while they
#: are idle.
MIN_HELD = 7
#: Least number of holders of a member, so that the loss of one leaves others.
MIN_HOLDERS = 2


class Holders(msgspec.Struct, frozen=True):
    """Holders of one member, in the order of their rank.

    Parameters
    ==========

    ranked : tuple of DaemonEntry
        The holders, followed by those that take over if all are lost.
    count : int
        Number of holders.

    """

    ranked: tuple[coordination.DaemonEntry, ...]
    count: int


def holder_count(connections: int, daemons: int) -> int:
    """Return how many daemons hold the connections of a member.

    Parameters
    ==========

    connections : int
        Connections that the member accepts.

    Examples
    ========

    >>> from burdockcart.process.peers import holder_choice
    >>> holder_choice.holder_count(16, 4)
    4
    >>> holder_choice.holder_count(58, 77)
    4
    >>> holder_choice.holder_count(58, 300)
    4

    """
    kept = connection_share.STEADY_SHARE * connections
    if kept >= MIN_DIRECT * daemons:
        return daemons
    return min(max(int(kept / MIN_HELD), MIN_HOLDERS), daemons)


def _weight(key: str, daemon: ids.DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{daemon}".encode())


def rank(
    member: ids.MemberId,
    domain: ids.DomainName,
    daemons: Iterable[coordination.DaemonEntry],
) -> list[coordination.DaemonEntry]:
    """Return all daemons in the order in which they hold a member."""
    return sorted(
        daemons,
        key=lambda each: (
            each.domain != domain,
            _weight(member, each.id),
            each.id,
        ),
    )


def in_order(
    daemon: ids.DaemonId,
    member: ids.MemberId,
    holders: Holders,
    account: ids.AccountName | None = None,
) -> tuple[list[coordination.DaemonEntry], list[coordination.DaemonEntry]]:
    """Return the holders, and those that take over, in the order of use.

    Each daemon has an order of its own, so that the holders share the load.
    For an account all daemons have the same order: a connection serves one
    account, and those of an account at a member are to be at one holder.
    """
    chooser = daemon if account is None else account
    active = sorted(
        holders.ranked[: holders.count],
        key=lambda each: _weight(f"{member}/{chooser}", each.id),
    )
    return active, list(holders.ranked[holders.count :])
