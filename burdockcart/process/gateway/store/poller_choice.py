"""Chooses the daemon that polls the store for its failure domain.

Explanation
===========

Load pattern: 87 or more daemons that each poll the whole history of the
store.  Every call has a cost and counts towards the store's rate, and all of
them read the same changes.  In a failure domain with several daemons one of
them polls, and the others ask it.

"""

from typing import Iterable

import xxhash

from burdockcart import ids
from burdockcart.process.gateway.store import coordination

#: Least number of daemons in a failure domain for one to poll for the others.
#: With fewer, the calls saved do not pay for the dependence on another host.
MIN_DAEMONS = 4


def poller(
    domain: ids.DomainName,
    entries: Iterable[coordination.DaemonEntry],
) -> coordination.DaemonEntry | None:
    """Return the daemon that polls; None if each polls for itself.

    Rendezvous hashing gives all daemons with the same list the same answer.
    """
    local = [each for each in entries if each.domain == domain]
    if len(local) < MIN_DAEMONS:
        return None
    return max(
        local,
        key=lambda each: (
            xxhash.xxh3_64_intdigest(f"poll/{domain}/{each.id}".encode()),
            each.id,
        ),
    )
