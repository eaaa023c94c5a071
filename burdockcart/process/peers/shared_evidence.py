"""What a holder knows of the members of a group, as it is sent."""

from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import member_pool
from burdockcart.request import member_evidence


def attached(
    group: groups.Group, pacer: member_evidence.EvidencePacer, now: float
) -> tuple[member_evidence.MemberEvidence, ...] | None:
    """Return what to attach to an answer; None if nothing is due.

    Parameters
    ==========

    pacer : EvidencePacer
        That of the link on which the answer is sent.

    """
    pools = group.pool_by_member.values()
    reachable_by_member: dict[ids.MemberId, bool | None] = {
        pool.entry.id: _reachable(pool) for pool in pools
    }
    if not pacer.due(group.id, reachable_by_member, now):
        return None
    return tuple(
        _evidence(pool, reachable_by_member[pool.entry.id], now)
        for pool in pools
    )


def _reachable(pool: member_pool.MemberPool) -> bool | None:
    """Return whether this daemon reaches a member; None if it relays.

    A detour goes through a daemon that may reach the member, but statements
    of others must not travel on.
    """
    if not pool.direct:
        return None
    return not (pool.health.failing or pool.has_detour)


def _evidence(
    pool: member_pool.MemberPool, reachable: bool | None, now: float
) -> member_evidence.MemberEvidence:
    age_s = 0.0
    if reachable:
        age_s = now - pool.health.last_answer_at
    elif reachable is False and not pool.has_detour:
        # Until the next attempt is due, statements are refused.
        age_s = max(now - pool.health.retry_at, 0.0)
    reports = pool.reports
    position = reports.position
    return member_evidence.MemberEvidence(
        pool.entry.id,
        pool.entry.started_ms,
        reachable,
        int(age_s * 1000),
        None if position is None else (position.term, position.number),
        0 if position is None else int((now - reports.reported_at) * 1000),
    )
