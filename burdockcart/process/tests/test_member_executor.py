"""Guards the slots and connections that an executor holds."""

import asyncio
import itertools

import testtools

from burdockcart import clock
from burdockcart.process import member_executor
from burdockcart.process import peer_messages
from burdockcart.request import admission
from burdockcart.request import statement
from burdockcart.tests import fakes
from burdockcart.tests import virtual_time
from burdockcart.version import rows

MEMBER = rows.Member("g-d1", "d1", "g-d1:1")


def execute(number, work_ms, deadline_ms, kind="push"):
    return peer_messages.Execute(
        group="g",
        member=MEMBER.id,
        caller="c",
        route="r",
        kind=kind,
        request_id=f"w{number}",
        operation=statement.Operation.WRITE,
        statement={"op": "put", "key": "k", "work_ms": work_ms},
        deadline_ms=deadline_ms,
    )


class TestMemberExecutor(testtools.TestCase):
    def run_with(self, scenario, slots=1, connections=4):
        async def body():
            targets = fakes.FakeTargets(fakes.Wire())
            target = targets.add(MEMBER.id, MEMBER.address, slots=slots)
            executor = member_executor.MemberExecutor(
                MEMBER,
                rows.Pool(
                    name="p",
                    groups=(),
                    slots_per_member=slots,
                    connections_per_member=connections,
                ),
                fakes.FakeConnector("d1-1", targets),
                clock.LoopClock(),
            )
            try:
                await scenario(executor, target)
            finally:
                executor.close()
                targets.stop()

        virtual_time.run(body())

    def test_slot_given_at_the_end_of_a_wait_is_not_lost(self):
        """Guards against a slot leaked by a timeout or cancellation."""

        async def scenario(executor, target):
            loop = asyncio.get_running_loop()
            queue = executor.admission
            for offset, cancels in itertools.product(
                (-1e-9, 0.0, 1e-9), (False, True)
            ):
                held = admission.Work(
                    "c", "r", "held", loop.time() + 9, loop.create_future()
                )
                queue.offer(held, loop.time())
                queue.start_next(loop.time())
                # A kind without a known cost waits for 0.5 s.
                message = execute("late", 1, 520, f"{offset} {cancels}")
                task = asyncio.create_task(executor.execute(message, 1))
                await asyncio.sleep(0)
                self.assertEqual((1, 1), (queue.running, queue.queued))
                until = loop.time() + 0.5 + offset
                loop.call_at(until, queue.discard, held, until)
                if cancels:
                    loop.call_at(until, task.cancel)
                await asyncio.wait({task})
                await asyncio.sleep(0.01)
                self.assertEqual((0, 0), (queue.running, queue.queued))

        self.run_with(scenario)

    def test_caller_that_goes_away_frees_its_place(self):
        """Guards against slots and queue places of disconnected callers."""

        async def scenario(executor, target):
            tasks = [
                asyncio.create_task(
                    executor.execute(execute(number, 50, 2000), 1)
                )
                for number in range(5)
            ]
            for number in (3, 0, 1):
                await asyncio.sleep(0.02)
                tasks[number].cancel()
            done = await asyncio.gather(*tasks, return_exceptions=True)
            cancelled = [isinstance(x, asyncio.CancelledError) for x in done]
            self.assertEqual([True, True, False, True, False], cancelled)
            self.assertEqual(0, executor.admission.running)
            self.assertEqual(0, executor.admission.queued)
            ran = [row["request_id"] for row in target.member.record]
            self.assertNotIn("w3", ran)

        self.run_with(scenario)

    def test_work_that_cannot_finish_in_time_is_not_sent(self):
        """Guards against sending work that cannot meet its deadline."""

        async def scenario(executor, target):
            for number in range(5):
                await executor.execute(execute(number, 100, 2000), 1)
            refused = await executor.execute(execute("late", 100, 90), 1)
            self.assertEqual(
                "deadline_unreachable", refused.failure().kind.value
            )
            ran = [row["request_id"] for row in target.member.record]
            self.assertNotIn("wlate", ran)

        self.run_with(scenario)

    def test_limits_hold_and_connections_are_open_before_need(self):
        """Guards against more statements or connections than allowed."""

        async def scenario(executor, target):
            await executor.execute(execute(0, 5, 2000), 1)
            await asyncio.sleep(0.05)
            self.assertEqual(2, executor.connections.count)
            tasks = []
            for number in range(1, 200):
                tasks.append(
                    asyncio.create_task(
                        executor.execute(execute(number, 5, 400), 1)
                    )
                )
                await asyncio.sleep(0.001)
                self.assertLessEqual(executor.connections.count, 3)
            await asyncio.gather(*tasks)
            self.assertLessEqual(target.max_connections, 4)
            self.assertEqual(2, target.member.max_running)

        self.run_with(scenario, slots=2)
