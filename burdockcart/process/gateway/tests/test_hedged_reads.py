"""Guards the half of a hedged read that has not answered."""

import asyncio

import testtools

from burdockcart.connection import member_channel
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.gateway.sessions import statement_runner
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

    def test_prepared_after_the_answer(self):
        """Guards against a half that is sent once its client was answered."""

        async def check():
            deployment = await gateway_deployment.GatewayDeployment(
                daemons=1
            ).start()
            daemon = deployment.daemons[0]
            group = daemon.group_by_id[gateway_deployment.GROUP]
            now = asyncio.get_running_loop().time()
            request = attempts.Request(
                statement=command.Command("late", Kind.READ, "READ 1"),
                shape=None,
                writes=False,
                route=daemon.tables.current.route_by_database["live"],
                arrived_at=now,
                read_at=now,
            )
            runner, session = daemon.statements, attempts.Session()
            work = runner._attempts.work(group, session, request, set())
            connection = (await group.acquire(work)).unwrap()
            series = statement_runner.AttemptSeries()
            series.cancel()
            answer = await runner._attempt(
                group, session, request, connection, work, series, 1.0
            )
            self.assertIs(member_channel.MemberFault.NOT_SENT, answer.fault)
            self.assertNotIn(
                "late", [run.statement for run in deployment.group.runs]
            )
            await deployment.stop()

        gateway_deployment.run(check())
