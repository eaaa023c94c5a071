"""Tests daemons that still go by a call whose member leads by now.

The call was carried out.  A daemon that has not read so goes by it for as long
as it could be carried out late; meanwhile that member is to be replaced.
"""

import asyncio

import msgspec
import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
#: Time until the second call is carried out, in seconds.
LATE_S = 5.0


def bring_back(deployment, member):
    """Start a former primary again, with its log, as a replica."""
    member.crashed, member.held_term = False, None
    entry = deployment.platform.entry_by_id[member.id]
    deployment.platform.put_member(
        msgspec.structs.replace(
            entry, leads=False, started_ms=entry.started_ms + 1
        )
    )
    member.catch_up()


class TestCallForThePrimary(testtools.TestCase):
    """The last daemon loses the store, and a second call is carried out late.

    A replica joins while that call is open, and its candidate lags.
    """

    def play(self, outcome_read):
        """Replace the primary twice.

        Parameters
        ==========

        outcome_read : bool
            Whether the last daemon reads that the first call was carried out
            before it loses the store.

        """

        async def check(deployment):
            last = deployment.daemons[-1]
            writers = test_open_calls.Writers(deployment, range(3))
            await asyncio.sleep(3.0)
            first = deployment.group.primary
            first.crash()
            await gateway_deployment.until(
                lambda: last._open_calls.candidate(GROUP) is not None
            )
            last.link.store_cut = not outcome_read
            await gateway_deployment.until(
                lambda: deployment.group.primary is not first
            )
            await asyncio.sleep(1.0)
            bring_back(deployment, first)
            await asyncio.sleep(3.0)
            last.link.store_cut = True
            second = deployment.group.primary
            calls = test_open_calls.Calls(deployment, LATE_S, all_late=True)
            deployment.enter(second, manifest.MemberState.DRAINING)
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            candidate = deployment.group.member_by_id[name]
            await asyncio.sleep(test_open_calls.DEAF_AFTER_S)
            candidate.replication_cut = True
            test_replica_rosters.new_member(deployment, "m-d").catch_up()
            await asyncio.sleep(LATE_S)
            candidate.replication_cut = False
            candidate.catch_up()
            await asyncio.sleep(2.0)
            writers.stop()
            self.assertIs(candidate, deployment.group.primary)
            self.assertGreater(len(writers.told), 50)
            self.assertEqual([], writers.lost(candidate))

        test_sessions.scenario(check, daemons=3)

    def test_daemon_that_has_not_read_the_outcome(self):
        """It must expect another call, as any daemon without the store."""
        self.play(outcome_read=False)

    def test_daemon_that_has_read_the_outcome(self):
        """The same without the store since then."""
        self.play(outcome_read=True)
