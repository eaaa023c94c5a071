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

    def test_work_that_waits_in_vain(self):
        """Guards against clients that repeat at once, and short estimates.

        Refused statements hold a connection for no time, which made the
        estimate of the wait shorter while a member refused most of them.
        """

        async def check():
            deployment = await gateway_deployment.GatewayDeployment(
                daemons=1
            ).start()
            group = deployment.daemons[0].group_by_id[gateway_deployment.GROUP]
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()

            def work(member=deployment.members[0].id):
                return work_queue.Work(
                    priority=1,
                    goal_at=loop.time() + 0.1,
                    give_up_at=loop.time() + 0.2,
                    connection=loop.create_future(),
                    member=member,
                )

            def wait_s():
                return group.queue.wait_s(work("none"), 1, loop.time())

            acquired = await asyncio.gather(
                *(group.acquire(work()) for _ in range(24))
            )
            failures = [
                each.failure()
                for each in acquired
                if isinstance(each, result.Failure)
            ]
            self.assertNotEqual([], failures)
            for each in failures:
                self.assertIs(errors.ErrorKind.OVERLOADED, each.kind)
                self.assertGreaterEqual(each.retry_after_ms, 50)
            held = [
                each.unwrap()
                for each in acquired
                if isinstance(each, result.Success)
            ]
            # No connection that is returned goes to this work.
            group.queue.push(work("none"), loop.time())
            expected_s = wait_s()
            await asyncio.sleep(1.0)
            group.release(held[0])
            self.assertEqual(expected_s, wait_s())
            held[1].served = True
            group.release(held[1])
            self.assertGreater(wait_s(), expected_s)
            await deployment.stop()

        gateway_deployment.run(check())
