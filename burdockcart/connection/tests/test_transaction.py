"""Guards the table of open transactions."""

import testtools

from burdockcart.connection import transaction
from burdockcart import errors
from burdockcart.version import rows

_Kind = errors.ErrorKind


class TestTransactions(testtools.TestCase):
    """A transaction serves its own caller, one statement at a time."""

    def open(self):
        table = transaction.TransactionTable("d1.host", "1f")
        held = transaction.Transaction(
            table.new_id(),
            "caller",
            "g",
            "g-1",
            1,
            "push",
            rows.Acknowledge.PRIMARY,
            None,
            None,
            0.0,
        )
        table.add(held)
        return table, held

    def test_other_caller_gets_the_answer_of_an_unknown_id(self):
        """Guards against a statement in the transaction of another caller."""
        table, held = self.open()
        stolen = table.use(held.id, "other", 0.0).failure()
        unknown = table.use("d1.host.1f.9.0", "other", 0.0).failure()
        self.assertEqual(_Kind.TRANSACTION_LOST, stolen.kind)
        self.assertEqual(unknown, stolen)

    def test_second_statement_is_refused_while_one_runs(self):
        """Guards against answers to the wrong statement on a connection."""
        table, held = self.open()
        self.assertIs(held, table.use(held.id, "caller", 0.0).unwrap())
        busy = table.use(held.id, "caller", 0.0).failure()
        self.assertEqual(_Kind.BAD_REQUEST, busy.kind)
        table.done(held, 1.0)
        table.use(held.id, "caller", 1.0).unwrap()

    def test_idle_limit_counts_from_the_last_statement(self):
        """Guards against connections held by callers that went away."""
        table, held = self.open()
        limit = transaction.TRANSACTION_IDLE_S
        table.use(held.id, "caller", 1.0).unwrap()
        self.assertEqual([], table.idle_expired(limit + 5))
        table.done(held, 2.0)
        self.assertEqual([], table.idle_expired(limit + 1.9))
        self.assertEqual([held], table.idle_expired(limit + 2))

    def test_places_of_beginning_transactions_count(self):
        """Guards against a burst of begins that takes every connection."""
        table, _ = self.open()
        self.assertTrue(table.reserve("g-1", 2))
        self.assertFalse(table.reserve("g-1", 2))
        table.unreserve("g-1")
        self.assertTrue(table.reserve("g-1", 2))

    def test_ids_differ_between_runs(self):
        """Guards against an id of an earlier run of the same daemon."""
        first = transaction.TransactionTable("d", "1").new_id()
        second = transaction.TransactionTable("d", "2").new_id()
        self.assertNotEqual(first, second)
        self.assertEqual("d", transaction.executor_of(first))
