"""Checks the path from caller to entry, executor, target and back."""

import testtools

from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time


class TestWholePath(testtools.TestCase):
    """Every daemon serves statements sent to it."""

    def run_with(self, scenario):
        async def body():
            deployment = small_deployment.SmallDeployment()
            await deployment.start()
            try:
                await scenario(deployment)
            finally:
                await deployment.stop()

        virtual_time.run(body())

    def test_reads_follow_own_writes_on_every_daemon(self):
        """Guards against a roaming session that reads an older value."""

        async def scenario(deployment):
            session = None
            for number in range(12):
                writer = list(deployment.daemon_by_id)[number % 3]
                reader = list(deployment.daemon_by_id)[(number + 1) % 3]
                written = await deployment.put(
                    writer, f"w{number}", number, session=session
                )
                session = written.unwrap().session
                read = await deployment.send(
                    reader, f"r{number}", "read", session=session
                )
                self.assertEqual(number, read.unwrap().result)

        self.run_with(scenario)

    def test_write_is_recorded_once_on_the_primary(self):
        """Guards against a write that runs twice or on a replica."""

        async def scenario(deployment):
            answer = await deployment.put("d2-2", "w1", 1)
            self.assertEqual("g-d1", answer.unwrap().served_by.target)
            ran = [
                row["member"]
                for target in deployment.targets.by_address.values()
                for row in target.member.record
                if row["request_id"] == "w1"
            ]
            self.assertEqual(["g-d1"], ran)

        self.run_with(scenario)
