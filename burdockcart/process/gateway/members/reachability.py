"""Detects members that accept no connections.

Explanation
===========

Under peak load a member answers late and looks like one that has failed.
Replacing it then, or sending its work elsewhere, adds load to the remaining
members.  So a statement without an answer only triggers a check, which opens
a bare connection: the host of a busy member accepts it at once, that of a
failed member does not.

"""

import asyncio
import loguru

from burdockcart import clock
from burdockcart.connection import own_link
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.promotion import failover_rule

#: Time without an answer after which a member is checked, in seconds: five
#: times the longest mean running time of a route (26 ms), since each check
#: costs as much as a new connection.
CHECK_AFTER_S = 0.12
#: Timeout of a check, in seconds; the network between failure domains takes
#: 1 ms, and a slow link (5 Mbit/s) that transfers a manifest adds 50 ms.
CHECK_TIMEOUT_S = 0.1
#: For CHECK_ALL_S after a member has failed, every member without an answer
#: since then and for QUIET_S is checked once, in seconds: a partitioned daemon
#: must notice soon, but a large fleet must not check all members all the time.
CHECK_ALL_S = 1.0
QUIET_S = 0.15


class Reachability:
    """Checks silent members, with one check at a time per member."""

    def __init__(
        self,
        group_by_id: dict[ids.GroupId, groups.Group],
        loop_clock: clock.Clock,
        link: own_link.OwnLink,
    ):
        self._group_by_id = group_by_id
        self._clock = loop_clock
        self._link = link
        self._check_by_member: dict[ids.MemberId, asyncio.Task[None]] = {}

    def scan(self) -> None:
        """Start the checks that are due."""
        pools = self._pools()
        watched = [pool for pool in pools if pool.awaits_answer]
        if not watched:
            return
        now = self._clock.now()
        lost_at = min(
            (
                pool.health.first_failure_at or now
                for pool in watched
                if _recently_lost(pool, now)
            ),
            default=None,
        )
        for pool in watched:
            if _needs_check(pool, now):
                self._start_check(pool)
                wait_s = pool.health.longest_wait_s(now)
                asked_at = now - max(wait_s, CHECK_AFTER_S)
                if not _decided(pool) and (
                    pool.health.failing or not self._link.answered(asked_at)
                ):
                    self._check_others(pool, pools)
        if lost_at is not None:
            for pool in pools:
                if _quiet(pool, lost_at, now):
                    self._start_check(pool)

    def _pools(self) -> list[member_pool.MemberPool]:
        return [
            pool
            for group in self._group_by_id.values()
            for pool in group.pool_by_member.values()
        ]

    def _check_others(
        self,
        doubted: member_pool.MemberPool,
        pools: list[member_pool.MemberPool],
    ) -> None:
        """Check one well member of each failure domain for comparison.

        If none of them answers, the cause is this daemon's own link.
        """
        by_domain = {
            pool.entry.domain: pool
            for pool in pools
            if pool is not doubted
            and not pool.retired
            and not pool.health.failing
        }
        for pool in by_domain.values():
            self._start_check(pool)

    def _start_check(self, pool: member_pool.MemberPool) -> None:
        member = pool.entry.id
        if member in self._check_by_member:
            return
        task = asyncio.create_task(self._check(pool), name="check_member")
        self._check_by_member[member] = task
        task.add_done_callback(lambda _: self._check_by_member.pop(member))

    async def _check(self, pool: member_pool.MemberPool) -> None:
        began_at = self._clock.now()
        fault = await pool.reach(CHECK_TIMEOUT_S)
        health = pool.health
        if fault is None:
            return
        now = self._clock.now()
        pools = self._pools()
        loguru.logger.info(
            "event=member_unreachable member={} cause={!r} failures={} "
            "took_ms={} others_answered={} others_failing={} others={} "
            "received_ms_ago={}",
            pool.entry.id,
            fault.value,
            health.failures,
            int((now - began_at) * 1000),
            health.source.others_answered(began_at),
            sum(each.health.failing for each in pools if each is not pool),
            len(pools) - 1,
            int((now - self._link.received_at) * 1000),
        )
        if _decided(pool):
            pool.abort_reads()


def _decided(pool: member_pool.MemberPool) -> bool:
    """Return whether enough attempts to reach a member have failed."""
    return pool.health.failures >= failover_rule.MIN_FAILURES


def _recently_lost(pool: member_pool.MemberPool, now: float) -> bool:
    """Return whether a member became unreachable recently."""
    health = pool.health
    return (
        _decided(pool)
        and health.first_failure_at is not None
        and now - health.first_failure_at < CHECK_ALL_S
    )


def _quiet(pool: member_pool.MemberPool, lost_at: float, now: float) -> bool:
    """Return whether a member has not answered since another was lost.

    If one member is unreachable, others may be as well: the network between
    failure domains may be partitioned.
    """
    return (
        not pool.retired
        and not pool.health.failing
        and pool.health.last_answer_at < lost_at
        and now - pool.health.last_answer_at >= QUIET_S
    )


def _needs_check(pool: member_pool.MemberPool, now: float) -> bool:
    """Return whether a member needs a check of its reachability.

    The second check follows the first without a pause, since two failures
    are needed for a decision; those that may be this daemon's own do not
    count.
    """
    health = pool.health
    opening_s = min(pool.opening_for_s(now), now - health.last_answer_at)
    needs_probe = health.needs_probe(now, CHECK_AFTER_S)
    if pool.retired or not (needs_probe or opening_s >= CHECK_AFTER_S):
        return False
    return (health.failures > 0 and not _decided(pool)) or health.usable(now)
