"""Guards the isolation of transactions and their handling of faults."""

import asyncio

from returns import result
import testtools

from burdockcart.connection import transaction
from burdockcart import errors
from burdockcart.process.tests import test_entry

_Kind = errors.ErrorKind
run_with = test_entry.run_with


class TestTransactions(testtools.TestCase):
    """Statements of a transaction arrive at any daemon."""

    async def begin(self, deployment, daemon="d2-2", request_id="b1"):
        begun = await deployment.begin(daemon, request_id)
        return begun.unwrap().transaction

    def assert_lost(self, answer):
        self.assertEqual(_Kind.TRANSACTION_LOST, answer.failure().kind)

    def limit(self, deployment):
        groups = deployment.daemon_by_id["d1-1"].groups
        connections = groups.executor_by_member["g-d1"].connections
        return transaction.max_open(connections.limit)

    def value(self, deployment):
        return deployment.target("g-d1").member.state.data.get("k")

    def test_statements_at_any_daemon_commit_once(self):
        """Guards against statements that run outside their transaction."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            for number, daemon in enumerate(("d1-1", "d2-2", "d3-3")):
                answer = await deployment.put(
                    daemon, f"s{number}", number, transaction=opened
                )
                self.assertEqual(opened, answer.unwrap().transaction)
            self.assertIsNone(self.value(deployment))
            await deployment.put("d3-3", "outside", 9)
            committed = await deployment.end("d3-3", "c1", opened)
            self.assertIsInstance(committed, result.Success)
            self.assertEqual(2, self.value(deployment))
            self.assertEqual(
                {opened},
                {
                    row["transaction"]
                    for n in range(3)
                    for row in deployment.ran(f"s{n}")
                },
            )
            self.assert_lost(await deployment.end("d1-1", "c2", opened))

        run_with(scenario)

    def test_session_reads_what_it_committed(self):
        """Guards against a commit that is missing in the session token."""

        async def scenario(deployment):
            for target in deployment.targets.by_address.values():
                target.lag_s = 0.5
            opened = await self.begin(deployment)
            await deployment.put("d3-3", "s1", 7, transaction=opened)
            committed = await deployment.end("d3-3", "c1", opened)
            read = await deployment.send(
                "d2-2", "r1", "read", session=committed.unwrap().session
            )
            self.assertEqual(7, read.unwrap().result)

        run_with(scenario)

    def test_another_caller_cannot_use_the_id(self):
        """Guards against a caller that uses another caller's transaction."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            for action in ("commit", "rollback"):
                answer = await deployment.end(
                    "d1-1", "c1", opened, action, caller="other"
                )
                self.assert_lost(answer)
            inside = await deployment.put("d1-1", "s1", 1, transaction=opened)
            self.assertIsInstance(inside, result.Success)

        run_with(scenario)

    def test_rollback_leaves_nothing(self):
        """Guards against a reused connection with an open transaction."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            await deployment.put("d1-1", "s1", 1, transaction=opened)
            await deployment.end("d3-3", "e1", opened, "rollback")
            await deployment.put("d1-1", "w1", 5)
            self.assertEqual(5, self.value(deployment))
            self.assertIsNone(deployment.ran("w1")[0]["transaction"])

        run_with(scenario)

    def test_executor_death_loses_the_transaction(self):
        """Guards against statements that run in a new transaction."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            await deployment.put("d2-2", "s1", 1, transaction=opened)
            await deployment.kill("d1-1")
            await asyncio.sleep(1)
            inside = await deployment.put("d2-2", "s2", 1, transaction=opened)
            self.assert_lost(inside)
            self.assert_lost(await deployment.end("d3-3", "c1", opened))
            self.assertIsNone(self.value(deployment))

        run_with(scenario)

    def test_entry_death_loses_nothing(self):
        """Guards against a transaction that fails with its entry."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            await deployment.put("d2-2", "s1", 1, transaction=opened)
            await deployment.kill("d2-2")
            committed = await deployment.end("d3-3", "c1", opened)
            self.assertIsInstance(committed, result.Success)
            self.assertEqual(1, self.value(deployment))

        run_with(scenario)

    def test_replaced_primary_loses_the_transaction(self):
        """Guards against a commit on a replaced primary."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            await deployment.put("d2-2", "s1", 1, transaction=opened)
            await deployment.replace_primary("g-d3", unreached=("g-d1",))
            committed = await deployment.end("d2-2", "c1", opened)
            self.assertIsInstance(committed, result.Failure)
            await asyncio.sleep(2)
            table = deployment.daemon_by_id["d1-1"].transactions.table
            self.assertEqual({}, table.by_id)

        run_with(scenario)

    def test_commit_without_answer_is_unknown_and_sent_once(self):
        """Guards against `not run` for a commit that ran."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            await deployment.put("d2-2", "s1", 1, transaction=opened)
            deployment.wire.cut.add(("g-d1", "d1-1"))
            committed = await deployment.end("d2-2", "c1", opened)
            self.assertEqual(_Kind.OUTCOME_UNKNOWN, committed.failure().kind)
            deployment.wire.heal()
            self.assert_lost(await deployment.end("d2-2", "c1", opened))
            self.assertEqual(1, len(deployment.ran("c1")))

        run_with(scenario)

    def test_late_answer_is_dropped_with_its_connection(self):
        """Guards against a late answer that is taken for the next one."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            slow = {"op": "put", "key": "k", "value": 1, "work_ms": 500}
            late = await deployment.send(
                "d2-2",
                "s1",
                "write",
                statement=slow,
                transaction=opened,
                deadline_ms=200,
            )
            self.assertEqual(_Kind.OUTCOME_UNKNOWN, late.failure().kind)
            self.assert_lost(
                await deployment.put("d2-2", "s2", 2, transaction=opened)
            )
            await asyncio.sleep(1)
            await deployment.put("d2-2", "w1", 3)
            self.assertEqual(3, self.value(deployment))

        run_with(scenario)

    def test_idle_transaction_ends(self):
        """Guards against connections held by callers that disconnected."""

        async def scenario(deployment):
            opened = await self.begin(deployment)
            await asyncio.sleep(transaction.TRANSACTION_IDLE_S + 1)
            self.assert_lost(
                await deployment.put("d2-2", "s1", 1, transaction=opened)
            )

        run_with(scenario)

    def test_open_transactions_leave_connections_for_statements(self):
        """Guards against transactions that hold every connection."""

        async def scenario(deployment):
            limit = self.limit(deployment)
            begun = [
                await deployment.begin("d2-2", f"b{n}") for n in range(limit)
            ]
            self.assertTrue(all(isinstance(b, result.Success) for b in begun))
            refused = await deployment.begin("d2-2", "more")
            self.assertEqual(_Kind.OVERLOADED, refused.failure().kind)
            written = await deployment.put("d2-2", "w1", 1)
            self.assertIsInstance(written, result.Success)

        run_with(scenario)

    def test_lost_answer_of_begin_leaves_no_transaction(self):
        """Guards against capacity leaked by a begin without an answer."""

        async def scenario(deployment):
            deployment.wire.cut.add(("g-d1", "d1-1"))
            await deployment.begin("d2-2", "b1", deadline_ms=300)
            deployment.wire.heal()
            await asyncio.sleep(1)
            table = deployment.daemon_by_id["d1-1"].transactions.table
            self.assertEqual({}, table.by_id)
            limit = self.limit(deployment)
            for number in range(limit):
                begun = await deployment.begin("d2-2", f"n{number}")
                self.assertIsInstance(begun, result.Success)

        run_with(scenario)
