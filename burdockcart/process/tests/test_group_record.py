"""Guards the record of a primary in the store."""

from burdockcart.process import group_record
from burdockcart.tests import fake_store
from burdockcart.tests import fakes
from burdockcart.tests import virtual_time
import msgspec
import testtools


class TestGroupRecord(testtools.TestCase):
    """Lost answers, outages and two writers."""

    def write(self, records, **faults):
        """Write records in turn.

        Returns the results, the stored record and its revision.
        """

        async def body():
            store = fake_store.FakeStore("d1", fakes.Wire())
            for name, value in faults.items():
                setattr(store, name, value)
            results = [
                await group_record.write(store, "g", each) for each in records
            ]
            store.outage = False
            item = (await store.get("groups/g")).value_or(None)
            held = item and msgspec.json.decode(
                item.value, type=group_record.GroupRecord
            )
            return results, held, store.store.revision

        return virtual_time.run(body())

    def test_lost_answer_is_recognised(self):
        """Guards against a second write after a lost answer."""
        record = group_record.GroupRecord("a", 2, "x")
        results, held, revision = self.write([record], lose_answers=1)
        self.assertEqual(([True], record, 1), (results, held, revision))

    def test_older_term_does_not_replace_a_later_one(self):
        """Guards against a late coordinator that reverts the record."""
        later = group_record.GroupRecord("b", 3, "y")
        older = group_record.GroupRecord("a", 2, "x")
        results, held, _ = self.write([later, older])
        self.assertEqual(([True, True], later), (results, held))

    def test_outage_ends_without_an_error(self):
        """Guards against a task that never ends while the store is down."""
        record = group_record.GroupRecord("a", 2, "x")
        results, held, _ = self.write([record], outage=True)
        self.assertEqual(([False], None), (results, held))
