"""Guards non-repeatable requests that callers submit again."""

import asyncio

from returns import result
import testtools

from burdockcart import errors
from burdockcart.process.tests import test_entry

_Kind = errors.ErrorKind
run_with = test_entry.run_with


class TestResubmission(testtools.TestCase):
    """The caller submits the same request id again, through any proxy."""

    def assert_ran_once(self, deployment, request_id):
        rows = deployment.ran(request_id)
        self.assertEqual(1, len(rows), rows)

    def test_lost_answer_then_another_proxy(self):
        """Guards against a write that runs twice."""

        async def scenario(deployment):
            first = await deployment.put("d2-2", "w1", 1, repeatable=False)
            again = await deployment.put(
                "d3-3", "w1", 1, repeatable=False, attempt=2
            )
            self.assertEqual(
                first.unwrap().served_by.position,
                again.unwrap().served_by.position,
            )
            self.assert_ran_once(deployment, "w1")

        run_with(scenario)

    def test_unmarked_resubmission_after_the_executor_died(self):
        """Guards against a new executor that did not learn the id."""

        async def scenario(deployment):
            first = await deployment.put("d2-3", "w1", 1, repeatable=False)
            await deployment.kill(first.unwrap().served_by.executor)
            await asyncio.sleep(1)
            again = await deployment.put("d3-4", "w1", 1, repeatable=False)
            self.assertEqual(_Kind.OUTCOME_UNKNOWN, again.failure().kind)
            self.assert_ran_once(deployment, "w1")
            other = await deployment.put("d3-4", "w2", 1, repeatable=False)
            self.assertIsInstance(other, result.Success)

        run_with(scenario, daemons=("d1", "d1", "d2", "d3"))

    def test_entry_that_was_the_executor_died(self):
        """Guards against a request id that only one daemon held."""

        async def scenario(deployment):
            await deployment.put("d1-1", "w1", 1, repeatable=False)
            await deployment.kill("d1-1")
            await asyncio.sleep(1)
            again = await deployment.put("d2-2", "w1", 1, repeatable=False)
            self.assertEqual(_Kind.OUTCOME_UNKNOWN, again.failure().kind)
            self.assert_ran_once(deployment, "w1")

        run_with(scenario)

    def test_marked_resubmission_that_not_all_daemons_answer(self):
        """Guards against a second run after both holders of an id failed."""

        async def scenario(deployment):
            await deployment.put("d2-2", "w1", 1, repeatable=False)
            await deployment.kill("d1-1")
            await deployment.kill("d2-2")
            await asyncio.sleep(1)
            again = await deployment.put(
                "d3-3", "w1", 1, repeatable=False, attempt=2
            )
            self.assertEqual(_Kind.OUTCOME_UNKNOWN, again.failure().kind)
            self.assert_ran_once(deployment, "w1")

        run_with(scenario)

    def test_change_of_primary(self):
        """Guards against a second run on the new primary."""

        async def scenario(deployment):
            await deployment.put("d1-1", "w1", 1, repeatable=False)
            await deployment.replace_primary("g-d2")
            await asyncio.sleep(1)
            for number, daemon in enumerate(("d1-1", "d2-2", "d3-3"), 2):
                again = await deployment.put(
                    daemon, "w1", 1, repeatable=False, attempt=number
                )
                kind = again.failure().kind
                self.assertEqual(_Kind.OUTCOME_UNKNOWN, kind)
            self.assert_ran_once(deployment, "w1")

        run_with(scenario)

    def test_recorded_answer_of_a_replaced_primary_is_not_repeated(self):
        """Guards against acknowledging a write of a replaced primary."""

        async def scenario(deployment):
            await deployment.put("d2-2", "w1", 1, repeatable=False)
            await deployment.replace_primary("g-d2", unreached=("g-d1",))
            view = deployment.daemon_by_id["d3-3"].groups.view_by_group["g"]
            view.observed_by_member.pop("g-d2")
            again = await deployment.put(
                "d3-3", "w1", 1, repeatable=False, attempt=2, deadline_ms=150
            )
            self.assertIsInstance(again, result.Failure)
            self.assert_ran_once(deployment, "w1")

        run_with(scenario)

    def test_two_proxies_at_the_same_time(self):
        """Guards against two runs of a request submitted concurrently."""

        async def scenario(deployment):
            await deployment.put("d2-2", "w0", 1, repeatable=False)
            answers = await asyncio.gather(
                *(
                    deployment.put(daemon, "w1", 1, repeatable=False)
                    for daemon in ("d1-1", "d2-2", "d3-3")
                )
            )
            self.assert_ran_once(deployment, "w1")
            served = [a for a in answers if isinstance(a, result.Success)]
            self.assertEqual(1, len(served))

        run_with(scenario)

    def test_two_proxies_while_the_executor_is_new(self):
        """Guards against a second run through the entry's own copy of the id.

        An id that a new executor learned from its peers did not stop a
        submission that it held itself (safety model, seed 4, 200 steps).
        """

        async def scenario(deployment):
            await deployment.put("d3-3", "w1", 1, repeatable=False)
            await deployment.replace_primary("g-d2")
            await asyncio.sleep(1)
            again = await deployment.put("d2-2", "w1", 1, repeatable=False)
            self.assertEqual(_Kind.OUTCOME_UNKNOWN, again.failure().kind)
            self.assert_ran_once(deployment, "w1")

        run_with(scenario)

    def test_live_daemon_that_does_not_answer_the_question(self):
        """Guards against a run before the last holder listed its ids.

        The executor failed and the answer of the second holder was late
        (safety model, run seed 826713418).
        """

        async def scenario(deployment):
            await deployment.put("d1-1", "w1", 1, repeatable=False)
            holder, other = sorted(
                ("d2-2", "d3-3"),
                key=lambda name: -len(
                    deployment.daemon_by_id[name].request_ids.registry
                ),
            )
            await deployment.kill("d1-1")
            await deployment.replace_primary(f"g-{other[:2]}")
            await asyncio.sleep(1)
            deployment.wire.cut.add((holder, other))
            again = await deployment.put(
                other, "w1", 1, repeatable=False, deadline_ms=600
            )
            effect = errors.answer_for(again.failure().kind).effect
            self.assertEqual(errors.Effect.NOT_RUN, effect)
            deployment.wire.heal()
            again = await deployment.put(other, "w1", 1, repeatable=False)
            self.assertEqual(_Kind.OUTCOME_UNKNOWN, again.failure().kind)
            self.assert_ran_once(deployment, "w1")

        run_with(scenario)

    def test_entry_holds_the_id_again_after_its_own_refusal(self):
        """Guards against an id with a single holder after a refusal."""

        async def scenario(deployment):
            await deployment.replace_primary("g-d2", pause_s=0.0)
            answer = await deployment.put("d1-1", "w1", 1, repeatable=False)
            self.assertEqual("d2-2", answer.unwrap().served_by.executor)
            held = deployment.daemon_by_id["d1-1"].request_ids.registry
            self.assertEqual(1, len(held))

        run_with(scenario)

    def test_id_of_a_true_not_run_may_be_used_again(self):
        """Guards against `outcome_unknown` for a request that never ran."""

        async def scenario(deployment):
            deployment.target("g-d1").limit = 0
            deployment.targets.close_from("d1-1")
            refused = await deployment.put(
                "d2-2", "w1", 1, repeatable=False, deadline_ms=300
            )
            effect = errors.answer_for(refused.failure().kind).effect
            self.assertEqual(errors.Effect.NOT_RUN, effect)
            deployment.target("g-d1").limit = 16
            again = await deployment.put(
                "d3-3", "w1", 1, repeatable=False, attempt=2
            )
            self.assertIsInstance(again, result.Success)

        run_with(scenario)

    def test_read_that_must_run_once(self):
        """Guards against a non-repeatable read that runs on two members."""

        async def scenario(deployment):
            for daemon in ("d2-2", "d3-3"):
                await deployment.send(daemon, "r1", "read", repeatable=False)
            self.assert_ran_once(deployment, "r1")

        run_with(scenario)

    def test_leaving_daemon_hands_over_its_ids(self):
        """Guards against ids that are lost in a rolling restart."""

        async def scenario(deployment):
            await deployment.put("d2-2", "w1", 1, repeatable=False)
            for daemon in ("d1-1", "d2-2"):
                deployment.mark_leaving(daemon)
                await asyncio.sleep(1)
                leaving = deployment.daemon_by_id[daemon]
                await deployment.run_on(daemon, leaving.drain())
                await deployment.run_on(daemon, leaving.fleet.leave())
                await asyncio.sleep(0.1)
            held = deployment.daemon_by_id["d3-3"].request_ids.registry
            self.assertEqual(1, len(held))

        run_with(scenario)
