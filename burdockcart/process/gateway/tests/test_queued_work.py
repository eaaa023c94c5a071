"""Guards work that ends while it waits for a connection."""

import asyncio

from returns import result
import testtools

from burdockcart import errors
from burdockcart.request import work_queue
from burdockcart.tests import gateway_deployment


class TestQueuedWork(testtools.TestCase):
    """Work that was answered otherwise, but is still queued."""

    def test_connection_goes_to_other_work(self):
        """Guards against a connection lost with work that has ended."""

        async def check():
            deployment = await gateway_deployment.GatewayDeployment(
                daemons=1
            ).start()
            group = deployment.daemons[0].group_by_id[gateway_deployment.GROUP]
            loop = asyncio.get_running_loop()
            works = [
                work_queue.Work(
                    priority=1,
                    goal_at=loop.time() + 1.0,
                    give_up_at=loop.time() + 5.0,
                    connection=loop.create_future(),
                    member=deployment.members[0].id,
                )
                for _ in range(24)
            ]
            acquiring = [
                asyncio.create_task(group.acquire(work)) for work in works
            ]
            await asyncio.sleep(1.0)
            queued = [work for work in works if not work.connection.done()]
            held = next(
                task.result().unwrap()
                for task in acquiring
                if task.done() and isinstance(task.result(), result.Success)
            )
            self.assertGreater(len(queued), 1)
            answered = errors.Failure(errors.ErrorKind.OVERLOADED, "answered")
            queued[0].connection.set_result(result.Failure(answered))
            group.release(held)
            await asyncio.sleep(0.01)
            self.assertEqual(
                result.Success(held), queued[1].connection.result()
            )
            await deployment.stop()

        gateway_deployment.run(check())
