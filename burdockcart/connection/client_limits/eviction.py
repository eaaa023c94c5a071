"""Chooses the connection that is closed in favor of others."""

from typing import Iterable

import msgspec

from burdockcart.connection.client_limits import memory_budget

#: Memory below which closing a connection would not help others, in bytes;
#: an ordinary client uses less between its statements.
LEAST_BYTES = 64 * 1024


class Candidate(msgspec.Struct, frozen=True):
    """A connection that could be closed.

    Parameters
    ==========

    used : int
        Memory that it uses, in bytes.
    idle_s : float
        Time since data arrived or was taken, in seconds.
    greeted : bool
        Whether its first message was served.
    working : bool
        Whether a statement runs or a transaction is open.

    """

    client: memory_budget.ClientNumber
    used: int
    idle_s: float
    greeted: bool
    working: bool


def for_memory(
    candidates: Iterable[Candidate], least_idle_s: float
) -> memory_budget.ClientNumber | None:
    """Return the largest and idlest connection that uses much; or None."""
    found = max(
        (
            each
            for each in candidates
            if not each.working
            and each.idle_s >= least_idle_s
            and each.used >= LEAST_BYTES
        ),
        key=lambda each: (each.used, each.idle_s),
        default=None,
    )
    return None if found is None else found.client


def for_connection(
    candidates: Iterable[Candidate], least_idle_s: float
) -> memory_budget.ClientNumber | None:
    """Return the connection to close so that a new client fits; or None.

    Connections without a first message go first, then the idlest.
    """
    found = max(
        (
            each
            for each in candidates
            if not each.working and each.idle_s >= least_idle_s
        ),
        key=lambda each: (not each.greeted, each.idle_s),
        default=None,
    )
    return None if found is None else found.client
