"""Guards the slot limit of a member that several daemons use."""

import asyncio

import testtools

from burdockcart.process import member_executor
from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time

SLOTS = 2
WORK_MS = 20
LOAD_S = 8.0


class TestMemberSlots(testtools.TestCase):
    """All daemons together do not exceed the slots of a member."""

    def run_with(self, scenario):
        async def body():
            deployment = small_deployment.SmallDeployment(
                daemons=("d1", "d2", "d2", "d3")
            )
            await deployment.start()
            try:
                await scenario(deployment)
            finally:
                await deployment.stop()

        virtual_time.run(body())

    async def load(self, deployment, daemon, until):
        """Read from the member of the daemon's own failure domain."""
        loop, number = asyncio.get_running_loop(), 0
        statement = {"op": "get", "key": "k", "work_ms": WORK_MS}
        while loop.time() < until:
            number += 1
            await deployment.send(
                daemon,
                f"{daemon}-{id(statement)}-{number}",
                "read",
                kind="archive",
                statement=statement,
            )

    async def longest_excess(self, target, until):
        """Return the longest time in which statements exceeded the slots."""
        loop, since, longest = asyncio.get_running_loop(), None, 0.0
        while loop.time() < until:
            if target.member.running <= SLOTS:
                since = None
            else:
                since = loop.time() if since is None else since
                longest = max(longest, loop.time() - since)
            await asyncio.sleep(0.005)
        return longest

    async def load_both(self, deployment):
        until = asyncio.get_running_loop().time() + LOAD_S
        loads = [
            asyncio.ensure_future(self.load(deployment, daemon, until))
            for daemon in ("d2-2", "d2-3")
            for _ in range(6)
        ]
        target = deployment.target("g-d2")
        excess = await self.longest_excess(target, until)
        await asyncio.gather(*loads)
        ran = len(target.member.record)
        self.assertGreater(ran, 0.7 * SLOTS * LOAD_S * 1000 / WORK_MS)
        return excess

    def acting(self, deployment):
        return [
            name
            for name, daemon in deployment.daemon_by_id.items()
            if "g-d2" in daemon.groups.executor_by_member
        ]

    def test_one_executor_keeps_to_the_slots(self):
        """Guards against statements that queue inside the member."""

        async def scenario(deployment):
            self.assertEqual(0, await self.load_both(deployment))
            self.assertEqual(1, len(self.acting(deployment)))

        self.run_with(scenario)

    def test_two_executors_keep_to_the_slots(self):
        """Guards the slots while the daemons are partitioned."""

        async def scenario(deployment):
            names = set(deployment.daemon_by_id)
            deployment.wire.cut_between({"d2-2"}, names - {"d2-2"})
            excess = await self.load_both(deployment)
            self.assertEqual(["d2-2", "d2-3"], self.acting(deployment))
            bound = member_executor.PROBE_INTERVAL_S + 2 * WORK_MS / 1000
            self.assertLessEqual(excess, bound)

        self.run_with(scenario)
