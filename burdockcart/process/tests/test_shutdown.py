"""Guards against failed requests while daemons shut down (guarantee P8)."""

import asyncio
import collections

from returns import result
import testtools

from burdockcart.process import executors
from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time

WORK_MS = 15


class Load:
    """Callers that use ready daemons only, as behind a load balancer."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.failures = collections.Counter()
        self.answers = 0
        self.running = True
        self.tasks = [asyncio.ensure_future(self._send(n)) for n in range(4)]

    async def _send(self, caller):
        number = 0
        while self.running:
            number += 1
            ready = [
                name
                for name, daemon in self.deployment.daemon_by_id.items()
                if daemon.callers.ready
            ]
            daemon = ready[number % len(ready)]
            callers = self.deployment.daemon_by_id[daemon].callers
            callers.open_requests += 1
            try:
                answer = await self._statement(daemon, caller, number)
            finally:
                callers.open_requests -= 1
            if isinstance(answer, result.Failure):
                self.failures[answer.failure().kind.value] += 1
            else:
                self.answers += 1
            await asyncio.sleep(0.01)

    async def _statement(self, daemon, caller, number):
        request = f"{caller}-{number}"
        if caller % 2:
            change = {"op": "put", "key": "k", "value": 1, "work_ms": WORK_MS}
            return await self.deployment.send(
                daemon, request, "write", statement=change, repeatable=False
            )
        read = {"op": "get", "key": "k", "work_ms": WORK_MS}
        return await self.deployment.send(
            daemon, request, "read", statement=read
        )

    async def end(self):
        self.running = False
        await asyncio.gather(*self.tasks)


class TestShutdown(testtools.TestCase):
    """No request fails because of a planned shutdown."""

    def run_with(self, scenario, daemons):
        async def body():
            deployment = small_deployment.SmallDeployment(daemons=daemons)
            await deployment.start()
            load = Load(deployment)
            try:
                await scenario(deployment)
                await load.end()
                self.assertEqual({}, dict(load.failures))
                self.assertGreater(load.answers, 200)
            finally:
                await deployment.stop()

        virtual_time.run(body())

    async def shut_down(self, deployment, name):
        daemon = deployment.daemon_by_id[name]
        await daemon.drain()
        self.assertEqual({}, daemon.groups.executor_by_member)
        await daemon.stop()
        del deployment.daemon_by_id[name]

    def test_one_daemon_leaves(self):
        """Guards against failed requests to or through a leaving daemon."""

        async def scenario(deployment):
            await asyncio.sleep(1)
            member = deployment.tables.pool_by_name["p"].groups[0].members[0]
            names = [n for n in deployment.daemon_by_id if n.startswith("d1")]
            own = [executors.Daemon(n, "d1", n) for n in names]
            leaving = executors.executor_of(member, own).id
            await self.shut_down(deployment, leaving)
            await asyncio.sleep(1)

        self.run_with(scenario, ("d1", "d1", "d2", "d3"))

    def test_all_daemons_restart_in_turn(self):
        """Guards against failed requests during a rolling restart."""

        async def scenario(deployment):
            for name in list(deployment.daemon_by_id):
                await self.shut_down(deployment, name)
                await deployment.start_daemon(name)
                deployment.daemon_by_id[name].callers.ready = False
                await asyncio.sleep(4)
                deployment.daemon_by_id[name].callers.ready = True
                await asyncio.sleep(1)

        self.run_with(scenario, ("d1", "d1", "d2", "d3"))
