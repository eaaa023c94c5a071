"""Guards the half of a hedged read that has not answered."""

import asyncio

import testtools

from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind


class TestHedgedReads(testtools.TestCase):
    """Reads that are sent to a second member."""

    def test_ends_with_the_answer(self):
        """Guards against a run with values that were set after the answer."""

        async def check():
            deployment = await gateway_deployment.GatewayDeployment(
                daemons=1, lag_s=5.0
            ).start()
            client = await deployment.client("layers")
            await client.send(Kind.SET, "SET unit 8", "unit", "8")
            for work_s in (0.07, 0.075, 0.08, 0.085, 0.09):
                await client.write()
                # The replicas lack the write; the primary answers while the
                # second half pauses because all members have refused it.
                deployment.members[0].work_s = work_s
                read = await client.read()
                self.assertTrue(gateway_deployment.ok(read))
                await client.send(Kind.SET, "SET unit 2", "unit", "2")
                await asyncio.sleep(1.0)
                await client.send(Kind.SET, "SET unit 8", "unit", "8")
            values = {
                run.value_by_name
                for run in deployment.group.runs
                if run.kind is Kind.READ
            }
            self.assertEqual({(("unit", "8"),)}, values)
            await deployment.stop()

        gateway_deployment.run(check())
