"""Asks the replicas of a group whether a later term has begun.

Explanation
===========

Some platforms do not end the lead of the old primary at a promotion: it goes
on to serve reads until it reaches the new primary.  Its own word that it leads
proves nothing then.  In a synchronous group every acknowledged commit of a
later term has been received by two members other than the old primary: the new
primary and a replica.  So if all of these members but one report no later
term, no commit of a later term had been acknowledged when they were asked.

"""

import asyncio
from typing import Callable

import loguru
import msgspec

from burdockcart import clock
from burdockcart.connection import answer_timeout
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.promotion import shared_inquiry

#: Timeout of a replica's answer, in seconds; the query takes no slot, so only
#: the network or a stopped member delays it.
QUERY_TIMEOUT_S = 0.15
#: Time without an answer after which the remaining replicas are asked too, in
#: seconds; ten times a round trip between failure domains.
SPARE_AFTER_S = 0.02
#: Time after a failed inquiry in which no other one is started, in seconds: a
#: daemon that is cut off from the replicas refuses at once instead of asking
#: them for each statement.
FAILED_PAUSE_S = 0.1


class Witness(msgspec.Struct, frozen=True):
    """Evidence that no later term had acknowledged a commit.

    Parameters
    ==========

    since : float
        Boot-clock time before the replicas were asked.
    term : int
        Newest term that one of them knows.

    """

    since: float
    term: int


def answers_needed(others: int) -> int:
    """Return how many of the members other than the primary must answer.

    Examples
    ========

    >>> from burdockcart.process.gateway.promotion import term_witness
    >>> [term_witness.answers_needed(others) for others in (0, 1, 2, 3)]
    [0, 0, 1, 2]

    """
    return max(others - 1, 0)


class TermWitness:
    """Queries the replicas of one group, with one inquiry at a time.

    Parameters
    ==========

    pool_by_member : dict of MemberId to MemberPool
        Owned by the group.
    found : callable
        Called with each answer: member, status, and the boot-clock time at
        which it was asked.

    """

    def __init__(
        self,
        pool_by_member: dict[ids.MemberId, member_pool.MemberPool],
        boot_clock: clock.Clock,
        found: Callable[
            [ids.MemberId, member_channel.MemberStatus, float], None
        ],
    ):
        self._pool_by_member = pool_by_member
        self._boot_clock = boot_clock
        self._found = found
        self._inquiry = shared_inquiry.SharedInquiry[Witness | None](
            "term_inquiry"
        )
        #: When the last inquiry failed, unless one has succeeded since.
        self._failed_at: float | None = None
        #: Queries in flight; the event loop holds only weak references.
        self._queries: set[asyncio.Task[int | None]] = set()

    async def ask(self, primary: ids.MemberId) -> Witness | None:
        """Return the evidence of an inquiry that starts after this call.

        None if too few replicas answer.  Callers that arrive while an inquiry
        is running share the next one.
        """
        return await self._inquiry.ask(lambda: self._inquire(primary))

    async def _inquire(self, primary: ids.MemberId) -> Witness | None:
        since = self._boot_clock.now()
        pools = self._in_order(primary)
        needed = answers_needed(len(pools))
        failed_at = self._failed_at
        now = self._boot_clock.now()
        if failed_at is not None and now - failed_at < FAILED_PAUSE_S:
            return None
        queries = {self._start_query(pool, since) for pool in pools[:needed]}
        spare = pools[needed:]
        terms: list[int] = []
        while len(terms) < needed and queries:
            done, queries = await asyncio.wait(
                queries,
                timeout=SPARE_AFTER_S if spare else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            found = [task.result() for task in done]
            terms += [each for each in found if each is not None]
            if spare and len(terms) < needed:
                queries |= {self._start_query(pool, since) for pool in spare}
                spare = []
        if len(terms) < needed:
            self._failed_at = self._boot_clock.now()
            return None
        self._failed_at = None
        return Witness(since, max(terms, default=0))

    def _start_query(
        self, pool: member_pool.MemberPool, since: float
    ) -> asyncio.Task[int | None]:
        task = asyncio.create_task(self._term(pool, since), name="term_query")
        self._queries.add(task)
        task.add_done_callback(self._queries.discard)
        return task

    def _in_order(self, primary: ids.MemberId) -> list[member_pool.MemberPool]:
        """Return the pools of the other members, best to ask first."""
        return sorted(
            (
                pool
                for member, pool in self._pool_by_member.items()
                if member != primary
            ),
            key=lambda pool: (
                pool.health.failing,
                not pool.has_idle(),
                pool.observed_s,
            ),
        )

    async def _term(
        self, pool: member_pool.MemberPool, since: float
    ) -> int | None:
        try:
            async with answer_timeout.AnswerTimeout(QUERY_TIMEOUT_S):
                status = await pool.observe(QUERY_TIMEOUT_S)
        except TimeoutError:
            status = member_channel.MemberFault.SILENT
        if isinstance(status, member_channel.MemberFault):
            loguru.logger.info(
                "event=term_not_confirmed group={} member={} fault={!r}",
                pool.entry.group,
                pool.entry.id,
                status.value,
            )
            return None
        self._found(pool.entry.id, status, since)
        return max(status.term, status.received.term)
