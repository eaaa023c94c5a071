"""Failure domains of a shard's owner and of the permits of its reserve."""

import itertools
from typing import Mapping
from typing import Sequence

from burdockcart import ids

DomainById = Mapping[ids.DaemonId, ids.DomainName]


def preferred(
    order: Sequence[ids.DaemonId],
    domain_by_id: DomainById,
    owner: ids.DaemonId | None,
    count: int,
) -> list[ids.DaemonId]:
    """Return the daemons that should have the permits under an owner.

    Explanation
    ===========

    The first daemons in order whose failure domains differ from the owner's
    and from each other; if there are too few domains, the next ones in order.

    Parameters
    ==========

    order : sequence
        The daemons that follow the owner, the next one first.

    Examples
    ========

    >>> from burdockcart.process.rates import permit_placement
    >>> domains = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
    >>> order = ["a2", "b1", "b2", "c1"]
    >>> permit_placement.preferred(order, domains, "a1", 2)
    ['b1', 'c1']
    >>> permit_placement.preferred(["a2", "b1", "b2"], domains, "a1", 2)
    ['b1', 'a2']

    """
    covered = {domain_by_id.get(owner)} if owner is not None else set()
    chosen: list[ids.DaemonId] = []
    for daemon in order:
        if len(chosen) == count:
            return chosen
        if domain_by_id.get(daemon) not in covered:
            covered.add(domain_by_id.get(daemon))
            chosen.append(daemon)
    rest = (daemon for daemon in order if daemon not in chosen)
    return chosen + list(itertools.islice(rest, count - len(chosen)))


def covers_another(
    daemon: ids.DaemonId,
    domain_by_id: DomainById,
    owner: ids.DaemonId,
    others: Sequence[ids.DaemonId],
) -> bool:
    """Return whether a permit at a daemon covers a domain without one.

    Parameters
    ==========

    others : sequence
        The daemons with the other permits.

    """
    if owner not in domain_by_id or daemon not in domain_by_id:
        return False
    covered = {domain_by_id.get(each) for each in (owner, *others)}
    return domain_by_id[daemon] not in covered


def redundant(
    holders: Sequence[ids.DaemonId],
    domain_by_id: DomainById,
    owner: ids.DaemonId,
) -> int | None:
    """Return the place of a permit that covers no failure domain of its own.

    A permit in the owner's domain comes first, then the last one in the
    domain of another permit.

    Examples
    ========

    >>> from burdockcart.process.rates import permit_placement
    >>> domains = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
    >>> permit_placement.redundant(["b1", "a1"], domains, "a1")
    1
    >>> permit_placement.redundant(["b1", "b2"], domains, "a1")
    1
    >>> permit_placement.redundant(["b1", "c1"], domains, "a1")

    """
    if owner not in domain_by_id:
        return None
    domains = [domain_by_id.get(daemon) for daemon in holders]
    if domain_by_id[owner] in domains:
        return domains.index(domain_by_id[owner])
    for place, domain in reversed(list(enumerate(domains))):
        if domain is not None and domain in domains[:place]:
            return place
    return None
