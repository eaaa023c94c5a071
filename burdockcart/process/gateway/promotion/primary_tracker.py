"""Tracks the primary of a group and the positions that it has reported."""

import asyncio
from typing import Callable

import loguru

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.promotion import leadership
from burdockcart.process.gateway.promotion import term_witness
from burdockcart.request import log_position
from burdockcart.request import sample_window

#: Timeout of a leadership check, in seconds; the check needs no slot, so only
#: the network or a stopped member delays it.
CHECK_TIMEOUT_S = 0.3


class PrimaryTracker:
    """Presumed primary of one group, its term and its position samples.

    Parameters
    ==========

    pool_by_member : dict of MemberId to MemberPool
        Owned by the group.
    fenced : bool
        Whether a promotion ends the lead of the old primary.  Otherwise what
        a primary reports counts only with the evidence of replicas.
    changed : callable
        Called when the presumed primary or its term has changed.

    """

    def __init__(
        self,
        group: ids.GroupId,
        pool_by_member: dict[ids.MemberId, member_pool.MemberPool],
        fenced: bool,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        changed: Callable[[], None],
    ):
        self.leadership = leadership.Leadership()
        self.samples = sample_window.SampleWindow()
        #: When a new primary is expected, while the current one is failing.
        self.expected_at: float | None = None
        #: When a member last answered as the primary; at first, when this
        #: daemon learned of the group.
        self.confirmed_at = loop_clock.now()
        #: Former primary that may still consider itself the primary.
        self.superseded: ids.MemberId | None = None
        self._group = group
        self._pool_by_member = pool_by_member
        self._fenced = fenced
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._changed = changed
        self._witness = term_witness.TermWitness(
            pool_by_member, boot_clock, self._record_status
        )
        #: Newest position that covers all commits acknowledged before the
        #: given boot-clock time.
        self._newest_position: (
            tuple[float, log_position.LogPosition] | None
        ) = None
        self._check: asyncio.Task[bool] | None = None

    def pool(self) -> member_pool.MemberPool | None:
        """Return the pool of the presumed primary."""
        if self.leadership.member is None:
            return None
        return self._pool_by_member.get(self.leadership.member)

    def failing(self) -> bool:
        """Return whether the presumed primary is failing."""
        pool = self.pool()
        return pool is not None and pool.health.failing

    def suggest(self, member: ids.MemberId) -> None:
        """Record that a member's entry claims leadership."""
        if self.leadership.suggest_leader(member, self._clock.now()):
            self._log("entry")

    def confirm(
        self,
        member: ids.MemberId,
        term: int,
        position: log_position.LogPosition,
        since: float | None,
    ) -> None:
        """Record an answer that only a primary gives.

        Parameters
        ==========

        since : float or None
            Boot-clock time up to which the position covers all acknowledged
            commits; None if that is not known.

        """
        if term < self.leadership.term and member != self.leadership.member:
            self._set_superseded(member)
            return
        self.confirmed_at = self._clock.now()
        former = self.leadership.member
        if member != former:
            # Until its first commit a new primary reports positions of the
            # old term, which do not distinguish the commits that the
            # promotion discarded.
            self.samples.clear()
        if self.leadership.confirm_leader(member, term, self._clock.now()):
            self._log("proof")
            self.expected_at = None
            if former not in (None, member):
                self._set_superseded(former)
            self._changed()
        if since is None:
            return
        self.samples.add(since, position)
        self._newest_position = since, position

    def _set_superseded(self, member: ids.MemberId | None) -> None:
        """Record a former primary that the platform does not depose."""
        if not self._fenced and member is not None:
            self.superseded = member

    def reject(self, member: ids.MemberId) -> None:
        """Record that a member is not the primary."""
        if self.superseded == member:
            self.superseded = None
        if not self.leadership.reject_leader(member):
            return
        loguru.logger.info(
            "event=primary_unknown group={} member={} cause=refused",
            self._group,
            member,
        )
        self._use_entries()

    def _use_entries(self) -> None:
        """Presume the member whose entry claims leadership."""
        for pool in self._pool_by_member.values():
            if pool.entry.leads:
                self.suggest(pool.entry.id)

    def _log(self, cause: str) -> None:
        loguru.logger.info(
            "event=primary_known group={} member={} term={} cause={}",
            self._group,
            self.leadership.member,
            self.leadership.term,
            cause,
        )

    def record_departure(self, member: ids.MemberId) -> None:
        """Record that a member has left."""
        if self.superseded == member:
            self.superseded = None
        self.leadership.forget(member)

    async def position_now(self) -> log_position.LogPosition | None:
        """Return a position that covers all commits acknowledged until now.

        None if the presumed primary does not answer as the primary.
        """
        asked_at = self._boot_clock.now()
        pool = self.pool()
        if pool is None or not await self.check(pool):
            return None
        if self._newest_position is None:
            return None
        since, position = self._newest_position
        return position if since >= asked_at else None

    # Evidence

    async def confirm_term(self, member: ids.MemberId) -> float | None:
        """Return a time up to which the log of a primary was complete.

        None if the replicas do not confirm that no later term has begun, or
        if the member is no longer the presumed primary.  On a platform that
        ends the lead of the old primary, a statement that only a primary
        answers is evidence enough.
        """
        if self._fenced:
            return self._boot_clock.now()
        witness = await self._witness.ask(member)
        if witness is None or self.leadership.member != member:
            return None
        return witness.since if witness.term <= self.leadership.term else None

    def _record_status(
        self,
        member: ids.MemberId,
        status: member_channel.MemberStatus,
        since: float,
    ) -> None:
        """Use the status that a replica reported as a witness."""
        newest = max(status.term, status.received.term)
        if status.role is member_channel.Role.PRIMARY:
            self.confirm(member, status.term, status.received, None)
        elif newest > self.leadership.term and self.leadership.term:
            loguru.logger.warning(
                "event=term_superseded group={} primary={} term={} newer={} "
                "reported_by={}",
                self._group,
                self.leadership.member,
                self.leadership.term,
                newest,
                member,
            )
            self._set_superseded(self.leadership.supersede(newest))
            self._use_entries()

    async def check(self, pool: member_pool.MemberPool) -> bool:
        """Ask a member whether it is the primary; True if it is."""
        member = pool.entry.id
        sent_at = self._boot_clock.now()
        if self._fenced:
            status, witness = await pool.observe(CHECK_TIMEOUT_S), None
        else:
            status, witness = await asyncio.gather(
                pool.observe(CHECK_TIMEOUT_S), self._witness.ask(member)
            )
        if isinstance(status, member_channel.MemberFault):
            return False
        if status.role is member_channel.Role.REPLICA:
            self.reject(member)
            return False
        if status.term < self.leadership.term:
            await pool.demote(self.leadership.term, CHECK_TIMEOUT_S)
            self.reject(member)
            return False
        since = sent_at if self._fenced else None
        if witness is not None and witness.term <= status.term:
            since = min(sent_at, witness.since)
        self.confirm(member, status.term, status.received, since)
        return True

    def start_check(self, pool: member_pool.MemberPool) -> None:
        """Start a check of a member unless one is running."""
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(
                self.check(pool), name="check_primary"
            )

    async def check_superseded(self) -> None:
        """Demote a former primary that still considers itself the primary."""
        pool = self._pool_by_member.get(self.superseded or ids.MemberId(""))
        if pool is None or pool.entry.id == self.leadership.member:
            self.superseded = None
            return
        await self.check(pool)
