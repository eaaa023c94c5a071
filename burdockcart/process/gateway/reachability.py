"""Finds members that accept no connection.

Explanation
===========

Load pattern: at the crest of a wave a member answers late, and looks like
one that is gone.  Replacing it then, or sending its work elsewhere, adds
load to the members that are left.  So a statement that stays unanswered only
raises the question, and a bare connection answers it: the host of a busy
member accepts one at once, that of a lost member does not.

"""

import asyncio
import loguru

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway import failover_rule
from burdockcart.process.gateway import group as groups
from burdockcart.process.gateway import member_pool

#: Silence after which a member that owes an answer is checked, in seconds:
#: five times the dearest mean work on the users' sheets (26 ms), since each
#: check is priced like a new connection.
CHECK_AFTER_S = 0.12
#: Limit of a check, in seconds; a crossing between failure domains takes
#: 1 ms, and a narrow link (5 Mbit/s) that carries a table some 50 ms more.
CHECK_TIMEOUT_S = 0.1
#: After a member was lost, all members that were not heard of for QUIET_S are
#: checked for ALARM_S, in seconds: a daemon that is cut off has to know soon.
ALARM_S = 1.0
QUIET_S = 0.15
#: Interval of looking at all members, in seconds.
LOOK_EVERY_S = 0.03


class Reachability:
    """Checks the members that stay silent, one check a member at a time."""

    def __init__(
        self,
        group_by_id: dict[ids.GroupId, groups.Group],
        loop_clock: clock.Clock,
    ):
        self._group_by_id = group_by_id
        self._clock = loop_clock
        self._check_by_member: dict[ids.MemberId, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Look at all members until cancelled."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            now = self._clock.now()
            pools = self._pools()
            alarmed = any(_just_lost(pool, now) for pool in pools)
            for pool in pools:
                if _due(pool, now) or (alarmed and _quiet(pool, now)):
                    self._begin(pool)

    def _pools(self) -> list[member_pool.MemberPool]:
        return [
            pool
            for group in self._group_by_id.values()
            for pool in group.pool_by_member.values()
        ]

    def _begin(self, pool: member_pool.MemberPool) -> None:
        member = pool.entry.id
        if member in self._check_by_member:
            return
        task = asyncio.create_task(self._check(pool), name="check_member")
        self._check_by_member[member] = task
        task.add_done_callback(lambda _: self._check_by_member.pop(member))

    async def _check(self, pool: member_pool.MemberPool) -> None:
        fault = await pool.reach(CHECK_TIMEOUT_S)
        health = pool.health
        if fault is None:
            return
        loguru.logger.info(
            "event=member_unreachable member={} cause={!r} failures={}",
            pool.entry.id,
            fault.value,
            health.failures,
        )
        if health.failures >= failover_rule.MIN_FAILURES:
            pool.abort_reads()


def _just_lost(pool: member_pool.MemberPool, now: float) -> bool:
    """Return whether a member was found to be out of reach a moment ago."""
    health = pool.health
    return (
        health.failures >= failover_rule.MIN_FAILURES
        and health.first_failure_at is not None
        and now - health.first_failure_at < ALARM_S
    )


def _quiet(pool: member_pool.MemberPool, now: float) -> bool:
    """Return whether nothing was heard of a member for some time.

    With one member out of reach the others may be, too: a failure domain is
    cut off.
    """
    return not pool.retired and now - pool.health.last_answer_at >= QUIET_S


def _due(pool: member_pool.MemberPool, now: float) -> bool:
    """Return whether it is to be found out if a member can be reached.

    The second check follows the first at once, since two decide.
    """
    health = pool.health
    opening_s = min(pool.opening_for_s(now), now - health.last_answer_at)
    needs_probe = health.needs_probe(now, CHECK_AFTER_S)
    if pool.retired or not (needs_probe or opening_s >= CHECK_AFTER_S):
        return False
    return health.failures < failover_rule.MIN_FAILURES or health.usable(now)
