"""Guards which replica serves a read and how old its answer may be."""

import asyncio

import testtools

from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time
from burdockcart.version import rows

BRIEF = rows.Route(
    name="brief", caller="*", kind="brief", pool="p", max_age_ms=400
)
EXACT = rows.Route(name="exact", caller="*", kind="exact", pool="p")


class TestReads(testtools.TestCase):
    def run_with(self, scenario):
        async def body():
            routes = (small_deployment.PUSH, BRIEF, EXACT)
            content = small_deployment.tables(routes=routes)
            deployment = small_deployment.SmallDeployment(content)
            await deployment.start()
            try:
                await scenario(deployment)
            finally:
                await deployment.stop()

        virtual_time.run(body())

    def test_lagging_replica_serves_nothing_beyond_the_bound(self):
        """Guards against answers older than the route's maximum age."""

        async def scenario(deployment):
            deployment.target("g-d2").lag_s = 3.0
            written_at = {}
            loop = asyncio.get_running_loop()
            roles = []
            for number in range(60):
                await deployment.put("d1-1", f"w{number}", number)
                written_at[number] = loop.time()
                await asyncio.sleep(0.05)
                for daemon in ("d2-2", "d3-3"):
                    answer = (
                        await deployment.send(
                            daemon, f"r{daemon}{number}", "read", kind="brief"
                        )
                    ).unwrap()
                    self.assertLessEqual(answer.age_ms, 400)
                    lost = (answer.result or 0) + 1
                    since = written_at.get(lost, loop.time())
                    self.assertLessEqual(loop.time() - since, 0.41)
                    roles.append(answer.served_by.target)
            self.assertLess(roles.count("g-d2"), 12)
            self.assertGreater(roles.count("g-d3"), 80)

        self.run_with(scenario)

    def test_read_of_own_write_waits_for_a_close_replica(self):
        """Guards against sending reads after a write to the primary."""

        async def scenario(deployment):
            targets = []
            for number in range(20):
                written = await deployment.put("d2-2", f"w{number}", number)
                answer = await deployment.send(
                    "d2-2",
                    f"r{number}",
                    "read",
                    kind="brief",
                    session=written.unwrap().session,
                )
                self.assertEqual(number, answer.unwrap().result)
                targets.append(answer.unwrap().served_by.target)
            self.assertGreaterEqual(targets.count("g-d2"), 18)

        self.run_with(scenario)

    def test_cut_off_primary_answers_no_exact_read(self):
        """Guards against a read from a primary that may be replaced."""

        async def scenario(deployment):
            answer = await deployment.send("d1-1", "r1", "read", kind="exact")
            self.assertEqual("g-d1", answer.unwrap().served_by.target)
            far = ("g-d2", "g-d3", "d2-2", "d3-3")
            deployment.wire.cut_between(("g-d1", "d1-1"), far)
            answer = await deployment.send("d1-1", "r2", "read", kind="exact")
            self.assertIsNone(answer.value_or(None))

        self.run_with(scenario)
