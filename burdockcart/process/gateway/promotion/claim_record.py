"""Record of a group's promotions in the platform's store."""

from typing import Callable
import uuid

import loguru
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import restore_wait

#: Longest time that a renewal may take, in seconds on the boot clock; half of
#: the time for which a claim holds.
RENEWAL_VALID_S = 1.5
#: Attempts to write a claim: another daemon may write a reserved one at the
#: same time.
MAX_WRITES = 3
#: Attempts to replace the own record: an answer may be lost.
MAX_REPLACEMENTS = 2


class ClaimRecord:
    """Writes this daemon's claims; each by compare-and-swap.

    The position of a claim in the store is its fencing token.

    Parameters
    ==========

    wait : Wait
        Whether the store knows all promotions that may be open.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        platform: coordination.Platform,
        claims: promotion_claims.PromotionClaims,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        wall_ms: Callable[[], int],
        wait: restore_wait.Wait,
    ):
        self._daemon = daemon
        self._platform = platform
        self._claims = claims
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._wall_ms = wall_ms
        self._wait = wait

    async def claim(
        self, group: ids.GroupId, prepared: ids.MemberId | None = None
    ) -> ids.FencingToken | None:
        """Claim the right to promote; None if the claim failed.

        Parameters
        ==========

        prepared : MemberId or None
            Member that will be promoted, so that all daemons know it before.

        """
        if not self._wait.over():
            loguru.logger.info(
                "event=promotion_claim_failed group={} "
                "fault='the store was restored'",
                group,
            )
            self._claims.failed(
                group, self._clock.now(), self._wait.store_away
            )
            return None
        for _ in range(MAX_WRITES):
            record = self._new(group, prepared=prepared)
            claimed = await self._platform.claim_promotion(
                group, record, self._claims.position(group)
            )
            now = self._clock.now()
            if isinstance(claimed, result.Success):
                token = claimed.unwrap()
                self._claims.claimed(group, token, now)
                return token
            fault = claimed.failure()
            if isinstance(fault, coordination.CallFault):
                loguru.logger.warning(
                    "event=promotion_claim_failed group={} fault={!r}",
                    group,
                    fault.value,
                )
                # A store that was restored answers; the wait follows.
                silent = fault is not coordination.CallFault.RESTORED
                self._claims.failed(group, now, store_silent=silent)
                return None
            executed = _executed(fault, record)
            if executed is not None:
                self._claims.claimed(group, executed, now)
                return executed
            if not self._claims.lost(group, fault, self._wall_ms(), now):
                loguru.logger.info(
                    "event=promotion_left group={} holder={}",
                    group,
                    fault.record.holder if fault.record else None,
                )
                return None
        return None

    async def announce(
        self, group: ids.GroupId, candidate: ids.MemberId
    ) -> ids.FencingToken | None:
        """Record for which member the platform is about to be called.

        Daemons that claim the promotion later, and those that pass on the
        success of commits, must know the call: it may be executed late.  The
        write fails if another daemon has claimed the promotion meanwhile.
        None if it failed.
        """
        own = self._claims.own_claim(group)
        if own is None:
            return None
        self.call_begins(group, candidate)
        return await self._replace(group, self._new(group), own)

    def call_begins(self, group: ids.GroupId, candidate: ids.MemberId) -> int:
        """Note that the platform is about to be called; return the time.

        It is the wall clock's, in milliseconds.
        """
        called_at_ms = self._wall_ms()
        self._claims.call_begins(
            group, candidate, called_at_ms, self._clock.now()
        )
        return called_at_ms

    def owned(self, group: ids.GroupId) -> bool:
        """Return whether this daemon's claim is the newest known one."""
        return self._claims.own_claim(group) is not None

    async def settle(self, group: ids.GroupId) -> None:
        """Record that no call for the group can be executed later."""
        own = self._claims.own_claim(group)
        if own is not None and self._candidate(group) is None:
            await self._replace(group, self._new(group, settled=True), own)

    async def restate(self, group: ids.GroupId) -> bool:
        """Record an open call again that a restored store may have lost.

        False if the store did not answer.  Two daemons may do it at once:
        the second one finds the record of the first.
        """
        for _ in range(MAX_WRITES):
            if self._candidate(group) is None:
                return True
            written = await self._platform.claim_promotion(
                group, self._new(group), self._claims.position(group)
            )
            if isinstance(written, result.Success):
                now = self._clock.now()
                self._claims.claimed(group, written.unwrap(), now)
                return True
            fault = written.failure()
            if isinstance(fault, coordination.CallFault):
                return False
            self._claims.lost(group, fault, self._wall_ms(), self._clock.now())
            if fault.record is not None and fault.record.candidate:
                return True
        return False

    async def renew(self, group: ids.GroupId) -> bool:
        """Renew the claim; False if another daemon may have a newer one.

        The others leave the group alone for the lifetime of a claim after
        they have seen the new one.
        """
        own = self._claims.own_claim(group)
        if own is None:
            return False
        began_at = self._boot_clock.now()
        renewed = await self._replace(group, self._new(group), own)
        elapsed_s = self._boot_clock.now() - began_at
        return renewed is not None and elapsed_s <= RENEWAL_VALID_S

    def _candidate(self, group: ids.GroupId) -> ids.MemberId | None:
        return self._claims.candidate(group, self._clock.now())

    def _new(
        self,
        group: ids.GroupId,
        settled: bool = False,
        prepared: ids.MemberId | None = None,
    ) -> coordination.PromotionRecord:
        """Return a record that names what is open or prepared in a group."""
        now = self._clock.now()
        call = self._claims.open_call(group, now)
        known = self._claims.preparation(group, now)
        if prepared is None and known is not None:
            prepared = known.member
        return coordination.PromotionRecord(
            self._daemon,
            uuid.uuid4().hex,
            self._wall_ms(),
            candidate=None if call is None else call.member,
            settled=settled,
            called_at_ms=0 if call is None else call.called_at_ms,
            prepared=None if settled else prepared,
        )

    async def _replace(
        self,
        group: ids.GroupId,
        record: coordination.PromotionRecord,
        expected: ids.StorePosition,
    ) -> ids.FencingToken | None:
        """Replace the record at a position; None if that failed."""
        for _ in range(MAX_REPLACEMENTS):
            written = await self._platform.claim_promotion(
                group, record, expected
            )
            token = written.value_or(None)
            if token is None:
                token = _executed(written.failure(), record)
            if token is not None:
                self._claims.claimed(group, token, self._clock.now())
                return token
            if written.failure() is not coordination.CallFault.NO_ANSWER:
                return None
        return None


def _executed(
    fault: coordination.ClaimLost | coordination.CallFault,
    record: coordination.PromotionRecord,
) -> ids.FencingToken | None:
    """Return the token of a write that was executed without an answer."""
    if isinstance(fault, coordination.CallFault) or fault.record is None:
        return None
    if fault.record.attempt != record.attempt:
        return None
    return ids.FencingToken(fault.position)
