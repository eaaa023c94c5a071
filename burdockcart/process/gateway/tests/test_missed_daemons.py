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
