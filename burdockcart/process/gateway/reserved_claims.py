"""Rights to promote that are claimed while the store answers.

Explanation
===========

A promotion needs a fencing token, and tokens come from the store.  While the
store is away a group whose primary is lost would stay without one.  So two
daemons of the fleet claim a token for each group ahead of time.  A token
stays good until a higher one has been used, so both hold theirs at once.

A reserved token is used only when the store does not answer the claim, and
late: a daemon that still reaches the store has replaced the primary by then.
The second keeper waits longer than a whole promotion of the first.

"""

import asyncio
import hashlib
from typing import Callable
from typing import Collection
import uuid

import loguru
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway import coordination
from burdockcart.process.gateway import group as groups

#: Keepers of a group's reserved tokens: one may be cut off with the primary.
KEEPERS = 2
#: Interval of looking for groups without a reserved token, in seconds.
LOOK_EVERY_S = 1.0
#: Time from the first failure of a primary after which the first keeper uses
#: its token, in seconds: a daemon that reaches the store needs 0.3 s to find
#: out and 0.6 s for the promotion.
FIRST_AFTER_S = 1.0
#: Time by which the second keeper waits longer, in seconds: the platform's
#: longest promotion on the users' sheets (1.0 s) and the same margin.
NEXT_AFTER_S = 1.5


def rank(
    daemon: ids.DaemonId,
    group: ids.GroupId,
    daemons: Collection[ids.DaemonId],
) -> int | None:
    """Return a daemon's place among the keepers of a group, from 0.

    None if it is no keeper.  All daemons that see the same list agree, and
    one that joins or leaves moves few groups (rendezvous hashing).

    Examples
    ========

    >>> from burdockcart.process.gateway import reserved_claims
    >>> fleet = ["a", "b", "c", "d"]
    >>> ranks = [reserved_claims.rank(each, "g", fleet) for each in fleet]
    >>> sorted(each for each in ranks if each is not None)
    [0, 1]

    """

    def weight(each: ids.DaemonId) -> bytes:
        return hashlib.blake2b(f"{group}/{each}".encode()).digest()

    keepers = sorted(daemons, key=weight)[:KEEPERS]
    return keepers.index(daemon) if daemon in keepers else None


class ReservedClaims:
    """Keeps the reserved tokens of this daemon.

    Parameters
    ==========

    daemons : callable
        Returns the listed daemons.
    turn_s : float
        Time that another daemon's promotion may take.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        group_by_id: dict[ids.GroupId, groups.Group],
        platform: coordination.Platform,
        daemons: Callable[[], Collection[ids.DaemonId]],
        loop_clock: clock.Clock,
        wall_ms: Callable[[], int],
        turn_s: float,
    ):
        self._daemon = daemon
        self._group_by_id = group_by_id
        self._platform = platform
        self._daemons = daemons
        self._clock = loop_clock
        self._wall_ms = wall_ms
        self._turn_s = turn_s
        self._token_by_group: dict[ids.GroupId, ids.FencingToken] = {}
        #: Term that the primary led when the token was claimed.
        self._term_by_group: dict[ids.GroupId, int] = {}
        #: Revision of another daemon's record, and when it was seen first.
        self._seen_by_group: dict[ids.GroupId, tuple[int, float]] = {}

    async def run(self) -> None:
        """Claim what is missing, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            for group in list(self._group_by_id.values()):
                if self._missing(group):
                    await self._claim(group)

    def token(
        self, group: groups.Group, failing_since: float
    ) -> ids.FencingToken | None:
        """Return the reserved token of a group if it may be used now."""
        place = rank(self._daemon, group.id, self._daemons())
        if place is None:
            return None
        wait_s = FIRST_AFTER_S + place * NEXT_AFTER_S
        if self._clock.now() - failing_since < wait_s:
            return None
        return self._token_by_group.get(group.id)

    def drop_token(self, group: ids.GroupId) -> None:
        """Forget a token that was outranked, or whose call stayed open.

        A call without an answer may be carried out later; a second one with
        the same token could not be told from it.
        """
        self._token_by_group.pop(group, None)

    def _missing(self, group: groups.Group) -> bool:
        """Return whether this daemon should claim a token for a group.

        After a change of the primary a higher token has been used.
        """
        if rank(self._daemon, group.id, self._daemons()) is None:
            return False
        if group.primary_pool() is None or group.primary_failing():
            return False
        return (
            group.id not in self._token_by_group
            or self._term_by_group.get(group.id) != group.leadership.term
        )

    async def _claim(self, group: groups.Group) -> None:
        expected = 0
        if group.id in self._seen_by_group:
            expected, seen_at = self._seen_by_group[group.id]
            if self._clock.now() - seen_at < self._turn_s:
                return
        record = coordination.PromotionRecord(
            self._daemon, uuid.uuid4().hex, self._wall_ms(), reserved=True
        )
        term = group.leadership.term
        for _ in range(KEEPERS + 1):
            claimed = await self._platform.claim_promotion(
                group.id, record, expected
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
                # Its holder may be promoting, so its turn is left to it.
                self._note(group.id, fault.revision)
                return
            expected = fault.revision

    def _note(self, group: ids.GroupId, revision: int) -> None:
        """Remember when a record was seen first."""
        known = self._seen_by_group.get(group)
        if known is None or known[0] != revision:
            self._seen_by_group[group] = (revision, self._clock.now())
