"""Tests promotions beside daemons that their caller misses."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.gateway.tests import test_unplanned_calls
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP


class TestReservedCall(testtools.TestCase):
    """A call with a reserved token, which no record of the store names."""

    def test_other_holder_of_a_token(self):
        """One that is told must go by the call, whatever it has reserved."""

        async def check(deployment):
            primary = deployment.group.primary
            writers = test_open_calls.Writers(deployment, range(2))
            calls = test_open_calls.Calls(deployment, 7.0, all_late=True)
            await asyncio.sleep(4.0)
            for daemon in deployment.daemons:
                daemon.link.store_cut = True
            # No detour, so that the cause lasts until a token may be used.
            test_unplanned_calls.cut_links(deployment, 2)
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            writers.stop()
            self.assertEqual(
                [name] * 2,
                [
                    each._open_calls.candidate(GROUP)
                    for each in deployment.daemons[:2]
                ],
            )

        test_sessions.scenario(check, daemons=3)


class TestCallThatIsPutOff(testtools.TestCase):
    """A call that is recorded, and not sent for a silent daemon."""

    def test_call_that_is_put_off_for_a_silent_daemon(self):
        """Who has polled its record must not hold writes back for it."""
        for begins_s in (0.0, 0.15, 0.3, 0.45, 0.6, 0.75):
            with self.subTest(begins_s=begins_s):
                self.put_off(begins_s)

    def put_off(self, begins_s):
        """Let a call wait for a silent daemon until its cause has gone."""

        async def check(deployment):
            await asyncio.sleep(2.0 + begins_s)
            primary = deployment.group.primary
            test_unplanned_calls.cut_links(deployment, 2)
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
            record = deployment.platform.record_by_group
            await gateway_deployment.until(
                lambda: GROUP in record
                and record[GROUP][0].prepared is not None
            )
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.clear()
            await asyncio.sleep(3.0)
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual(
                [None] * 3,
                [
                    each._failover.claims.candidate(
                        GROUP, asyncio.get_running_loop().time()
                    )
                    for each in deployment.daemons
                ],
            )

        test_sessions.scenario(check, daemons=3)
