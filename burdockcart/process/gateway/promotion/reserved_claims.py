"""Fencing tokens that are claimed in advance, for outages of the store.

Explanation
===========

A promotion needs a fencing token, and the store issues the tokens.  If a
primary fails during an outage of the store, its group could not get a new
one.  So two daemons claim a token for each group in advance.  A token is
valid until a higher one has been used, so both can hold one at the same time.

A reserved token is used only if the store does not answer the claim, and only
after a delay in which a daemon that still reaches the store would have
replaced the primary.  The second holder waits longer than a whole promotion
by the first.

"""

import asyncio
from typing import Callable
from typing import Collection
import uuid

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.promotion import turn
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import restore_wait
from burdockcart.process.gateway.store import store_era

#: Daemons that hold a reserved token of a group: one may be cut off together
#: with the primary.
HOLDERS = 2
#: Interval between scans for groups without a reserved token, in seconds.
SCAN_INTERVAL_S = 1.0
#: Time from a primary's first failure until the first holder may use its
#: token, in seconds: a daemon that reaches the store detects the failure in
#: 0.3 s and promotes in 0.6 s.
FIRST_DELAY_S = 1.0
#: Additional delay of the second holder, in seconds: the platform's longest
#: promotion (1.0 s) and a margin.
NEXT_DELAY_S = 1.5


def rank(
    daemon: ids.DaemonId,
    group: ids.GroupId,
    daemons: Collection[ids.DaemonId],
) -> int | None:
    """Return a daemon's rank among the holders of a group, from 0.

    None if it is not a holder.

    Examples
    ========

    >>> from burdockcart.process.gateway.promotion import reserved_claims
    >>> fleet = ["a", "b", "c", "d"]
    >>> ranks = [reserved_claims.rank(each, "g", fleet) for each in fleet]
    >>> sorted(each for each in ranks if each is not None)
    [0, 1]

    """
    if daemon not in daemons:
        return None
    place = turn.rank(daemon, group, daemons)
    return place if place < HOLDERS else None


class ReservedClaims:
    """Claims and holds the reserved tokens of this daemon.

    Parameters
    ==========

    daemons : callable
        Returns the registered daemons.
    claim_ttl_s : float
        Time that another daemon's promotion may take, in seconds.
    wait : Wait
        Whether the store knows all promotions that may be open.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        group_by_id: dict[ids.GroupId, groups.Group],
        platform: coordination.Platform,
        daemons: Callable[[], Collection[ids.DaemonId]],
        loop_clock: clock.Clock,
        wall_ms: Callable[[], int],
        claim_ttl_s: float,
        wait: restore_wait.Wait,
    ):
        self._daemon = daemon
        self._group_by_id = group_by_id
        self._platform = platform
        self._daemons = daemons
        self._ranks = turn.Ranks(daemon, daemons)
        self._clock = loop_clock
        self._wall_ms = wall_ms
        self._claim_ttl_s = claim_ttl_s
        self._wait = wait
        self._token_by_group: dict[ids.GroupId, ids.FencingToken] = {}
        #: Term of the primary when the token was claimed.
        self._term_by_group: dict[ids.GroupId, int] = {}
        #: Record of another daemon, and when it was first seen.
        self._seen_by_group: dict[
            ids.GroupId, tuple[coordination.StoredPromotion, float]
        ] = {}

    async def run(self) -> None:
        """Claim missing tokens until cancelled."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            for group in list(self._group_by_id.values()):
                if self._wait.over() and self._needs_claim(group):
                    await self._claim(group)

    def token(
        self, group: groups.Group, failing_since: float
    ) -> ids.FencingToken | None:
        """Return the reserved token of a group if it may be used now."""
        own_rank = self._rank(group.id)
        if own_rank is None:
            return None
        wait_s = FIRST_DELAY_S + own_rank * NEXT_DELAY_S
        if self._clock.now() - failing_since < wait_s:
            return None
        return self._token_by_group.get(group.id)

    def _rank(self, group: ids.GroupId) -> int | None:
        """Return :func:`rank` of this daemon, computed once for a list."""
        if self._daemon not in self._daemons():
            return None
        place = self._ranks.rank(group)
        return place if place < HOLDERS else None

    def drop_token(self, group: ids.GroupId) -> None:
        """Drop a token that was rejected, or whose call got no answer.

        A call without an answer may be executed later, and could not be told
        from a second call with the same token.
        """
        self._token_by_group.pop(group, None)

    def _needs_claim(self, group: groups.Group) -> bool:
        """Return whether this daemon should claim a token for a group.

        A token of an earlier term is useless: the change of the primary has
        used a higher one.
        """
        if self._rank(group.id) is None:
            return False
        if group.primary.pool() is None or group.primary.failing():
            return False
        return (
            group.id not in self._token_by_group
            or self._term_by_group.get(group.id)
            != group.primary.leadership.term
        )

    async def _claim(self, group: groups.Group) -> None:
        expected = store_era.position(self._platform.eras.current, 0)
        replaced: coordination.PromotionRecord | None = None
        seen = self._seen_by_group.get(group.id)
        if seen is not None:
            stored, seen_at = seen
            if store_era.era_of(stored.position) == store_era.era_of(expected):
                expected, replaced = stored.position, stored.record
            if self._clock.now() - seen_at < self._claim_ttl_s:
                return
        term = group.primary.leadership.term
        for _ in range(HOLDERS + 1):
            claimed = await self._platform.claim_promotion(
                group.id, self._record_instead_of(replaced), expected
            )
            if isinstance(claimed, result.Success):
                token = claimed.unwrap()
                self._token_by_group[group.id] = token
                self._term_by_group[group.id] = term
                self._seen_by_group.pop(group.id, None)
                loguru.logger.info(
                    "event=promotion_reserved group={} token={} term={}",
                    group.id,
                    token,
                    term,
                )
                return
            fault = claimed.failure()
            if isinstance(fault, coordination.CallFault):
                return
            if fault.record is not None and not fault.record.reserved:
                # Its holder may be promoting; wait until the claim expires.
                self._note_seen(
                    group.id,
                    coordination.StoredPromotion(fault.record, fault.position),
                )
                return
            expected, replaced = fault.position, fault.record

    def _record_instead_of(
        self, replaced: coordination.PromotionRecord | None
    ) -> coordination.PromotionRecord:
        """Return a reserved record; it keeps what is open or prepared.

        A daemon that starts knows of a call from the record alone.
        """
        record = coordination.PromotionRecord(
            self._daemon, uuid.uuid4().hex, self._wall_ms(), reserved=True
        )
        if replaced is None or replaced.settled:
            return record
        return msgspec.structs.replace(
            record,
            candidate=replaced.candidate,
            called_at_ms=replaced.called_at_ms or replaced.claimed_at_ms,
            prepared=replaced.prepared,
        )

    def _note_seen(
        self, group: ids.GroupId, stored: coordination.StoredPromotion
    ) -> None:
        """Note when a record was first seen."""
        known = self._seen_by_group.get(group)
        if known is None or known[0].position != stored.position:
            self._seen_by_group[group] = (stored, self._clock.now())
