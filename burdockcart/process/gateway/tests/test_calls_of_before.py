"""Tests replacements of a primary whose own promotion call is still open.

The daemon that called for it has ended before it recorded the outcome.  So
the others wait until the call can no longer be carried out, by the time of day
in its record; one of them has a clock that is behind, and waits longer.
"""

import asyncio
from unittest import mock

from returns import result
import testtools

from burdockcart.process.gateway import application
from burdockcart.process.gateway.promotion import promotion_claims
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
State = manifest.MemberState
#: Times from the first call until another daemon starts again, and from then
#: until the new primary drains, in seconds.
RESTART_AFTER_S = (9.0, 9.4, 9.8)
DRAIN_AFTER_S = 7.0
#: Time by which the clock of that daemon is behind, in seconds.
BEHIND_S = 4.0


class LateCalls:
    """Promotion service that carries out all calls late.

    Parameters
    ==========

    late_s : tuple of float
        Delays of the first call and of the others, in seconds.

    """

    def __init__(self, deployment, late_s):
        self.calls = []
        self._platform = deployment.platform
        self._late_s = late_s
        deployment.platform.promote = self._promote

    async def _promote(self, group, member, holder, token):
        late_s = self._late_s[bool(self.calls)]
        self.calls.append((member, holder))
        asyncio.get_running_loop().call_later(
            late_s, self._platform.apply_promotion, group, member, token
        )
        await asyncio.sleep(1.0)
        return result.Failure(coordination.PromotionFault.NO_ANSWER)


class TestCallForThePrimary(testtools.TestCase):
    """A daemon counts the call longer than the one that replaces it."""

    def play(self, restart_after_s):
        """Let a member join while the replicas are put on hold."""

        slow = []

        async def check(deployment):
            old = deployment.group.primary
            calls = LateCalls(deployment, (0.2, 4.0))
            await asyncio.sleep(1.0)
            deployment.enter(old, State.DRAINING)
            await gateway_deployment.until(lambda: calls.calls)
            name, holder = calls.calls[0]
            primary = deployment.group.member_by_id[name]
            caller = next(
                each
                for each in deployment.daemons
                if each._settings.daemon == holder
            )
            caller.link.cut = True
            await caller.stop()
            await gateway_deployment.until(lambda: primary.leads)
            deployment.enter(primary)
            deployment.enter(old)
            await asyncio.sleep(restart_after_s)
            number = max(
                number
                for number, each in enumerate(deployment.daemons)
                if each is not caller
            )
            await deployment.daemons[number].stop()
            slow.append(f"d{number}")
            await deployment.join(number)
            await asyncio.sleep(DRAIN_AFTER_S)
            running = [
                place
                for place, each in enumerate(deployment.daemons)
                if each is not caller and place != number
            ]
            writers = test_open_calls.Writers(deployment, running)
            deployment.enter(primary, State.DRAINING)
            await gateway_deployment.until(
                lambda: any(each.held_term for each in deployment.members)
            )
            name = deployment.platform.record_by_group[GROUP][0].prepared
            candidate = deployment.group.member_by_id[name]
            candidate.replication_cut = True
            joined = test_replica_rosters.new_member(
                deployment, "m-d", listed=False
            )
            joined.catch_up()
            await asyncio.sleep(1.0)
            deployment.enter(joined)
            await asyncio.sleep(6.0)
            writers.stop()
            self.assertIs(candidate, deployment.group.primary)
            self.assertGreater(len(writers.told), 50)
            self.assertEqual([], writers.lost(candidate))

        def virtual_ms():
            return 10**9 + int(asyncio.get_event_loop().time() * 1000)

        polled = promotion_claims.PromotionClaims.polled

        def polled_by_slow(claims, group, stored, wall_ms, now):
            behind_s = BEHIND_S if claims._daemon in slow else 0.0
            wall_ms -= int(behind_s * 1000)
            polled(claims, group, stored, wall_ms, now)

        with (
            mock.patch.object(application, "_wall_ms", virtual_ms),
            mock.patch.object(
                promotion_claims.PromotionClaims, "polled", polled_by_slow
            ),
        ):
            test_sessions.scenario(check, daemons=4)

    def test_preparation_counts_as_well(self):
        """A member that will replace the primary must have all commits."""
        for restart_after_s in RESTART_AFTER_S:
            with self.subTest(restart_after_s=restart_after_s):
                self.play(restart_after_s)

    def test_preparation_of_another_daemon(self):
        """A daemon must not go by no member as the prepared one lags.

        Its own count of the first call ends during the second one.
        """
        for restart_after_s in (10.0, 10.2, 10.4):
            with self.subTest(restart_after_s=restart_after_s):
                self.play(restart_after_s)
