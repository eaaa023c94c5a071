"""Guards changes of the tables and the plans that precede them."""

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from burdockcart.version import change
from burdockcart.version import plan
from burdockcart.version import row_checks
from burdockcart.version import rows
from burdockcart.version import table_store


def pool(name, slots=2, members=3, groups=1):
    """Return a pool with ids and addresses derived from its name."""
    number = int(name[1:])
    return rows.Pool(
        name=name,
        groups=tuple(
            rows.Group(
                f"{name}-g{g}",
                tuple(
                    rows.Member(
                        f"{name}-g{g}-{m}", f"d{m}", f"10.{g}.{m}.1:{number+1}"
                    )
                    for m in range(members)
                ),
            )
            for g in range(groups)
        ),
        slots_per_member=slots,
        connections_per_member=16,
    )


def route(name, caller="*", kind=None, to="p0", **fields):
    """Return a route to a pool."""
    kind = kind or name
    return rows.Route(name=name, caller=caller, kind=kind, pool=to, **fields)


def tables(version, pools=(), routes=()):
    """Return tables with the given rows."""
    return rows.Tables(
        version, {r.name: r for r in routes}, {p.name: p for p in pools}
    )


def change_to(base, wanted, id="c", parent=None):
    """Return the change from one version to the next."""
    return change.Change(
        version=base.version + 1,
        parent=base.version if parent is None else parent,
        id=id,
        author="ana",
        time="-",
        edits=change.difference(base, wanted),
    )


_NAMES = [f"p{n}" for n in range(6)]
_TABLES = strategies.dictionaries(
    strategies.sampled_from(_NAMES), strategies.integers(1, 3), max_size=6
).map(lambda found: tables(1, [pool(n, s) for n, s in found.items()]))


class TestChange(testtools.TestCase):
    """Edits turn one version into another and back."""

    @hypothesis.settings(max_examples=50, deadline=None, derandomize=True)
    @hypothesis.given(_TABLES, _TABLES)
    def test_difference_and_its_inverse(self, base, wanted):
        """Guards against a change or rollback that loses a row."""
        made = change_to(base, wanted)
        after = change.apply_change(base, made).unwrap()
        self.assertEqual(wanted.pool_by_name, after.pool_by_name)
        before = change.rewind(after, [made], base.version).unwrap()
        self.assertEqual(base, before)

    def test_change_that_does_not_follow_is_refused(self):
        """Guards against applying edits made against other tables."""
        one, two = tables(1, [pool("p0")]), tables(1, [pool("p0", 3)])
        made = change_to(one, two)
        wrong = {
            "other parent": tables(3, [pool("p0")]),
            "older": tables(2, [pool("p0")]),
            "other row": tables(1, [pool("p0", 4)]),
        }
        for base in wrong.values():
            failed = change.apply_change(base, made).swap().value_or(None)
            self.assertIsNotNone(failed)

    def test_next_step_after_a_lost_answer(self):
        """Guards against a change applied twice or reported wrongly."""
        base = tables(4)
        mine = change_to(base, tables(4, [pool("p0")]), "mine")
        other = msgspec.structs.replace(mine, id="other")
        later = msgspec.structs.replace(other, version=6, parent=5)
        old = msgspec.structs.replace(other, version=4, parent=3)
        step = change.CommitStep
        for head, revision, expected in [
            (mine, 8, step.COMMITTED),
            (other, 8, step.LOST),
            (later, 9, step.READ_RECORD),
            (old, 7, step.PUT_AGAIN),
            (None, -1, step.READ_AGAIN),
        ]:
            found = change.next_commit_step(mine, 7, head, revision)
            self.assertEqual(expected, found)
        self.assertEqual(
            step.PUT_AGAIN, change.next_commit_step(mine, 0, None, 0)
        )

    @hypothesis.settings(max_examples=30, deadline=None, derandomize=True)
    @hypothesis.given(strategies.lists(_TABLES, max_size=5))
    def test_shards_and_changes_make_the_tables(self, versions):
        """Guards against rows lost when later changes update a shard."""
        base, changes, shard_by_number = change.EMPTY, [], {}
        for wanted in versions:
            changes.append(change_to(base, wanted, str(base.version)))
            base = change.apply_change(base, changes[-1]).unwrap()
            number = base.version % table_store.SHARDS
            shard_by_number[number] = table_store.update_shard(
                shard_by_number.get(number, table_store.Shard(0)),
                number,
                changes,
            )
        shards = table_store.update_all_shards(
            shard_by_number, changes
        ).values()
        found = {row.name: row for shard in shards for row in shard.pools}
        self.assertEqual(base.pool_by_name, found)

    def test_audit_segment_is_bounded_and_has_each_change_once(self):
        """Guards against a segment larger than a value of the store."""
        entries = ()
        for version in range(1, 1300):
            made = change.Change(
                version=version,
                parent=version - 1,
                id="i" * 400 + str(version),
                author="a" * 400,
                time="2026-12-04T07:00:00.000+00:00",
                edits=(),
            )
            if version % 500 == 0:
                entries = ()
            made = msgspec.structs.replace(made, id=str(version) + made.id)
            entry = table_store.audit_entry(made, ["x" * 99] * 9)
            entries = table_store.add_audit(entries, entry)
            entries = table_store.add_audit(entries, entry)
        self.assertEqual(300, len(entries))
        refused = table_store.audit_entry(made, ["x" * 99], "r" * 999)
        size = len(table_store.encode_value([entry] * 500))
        self.assertLess(size, 1_000_000)
        self.assertLess(len(table_store.encode_value([refused] * 500)), 10**6)


class TestPlan(testtools.TestCase):
    """Risks are named and large changes are split into valid steps."""

    def risks(self, base, wanted):
        return list(plan.make(base, wanted).unwrap().risks)

    def test_risky_changes_are_named(self):
        """Guards against a mistake that removes capacity or routes."""
        base = tables(1, [pool("p0", 4), pool("p1")], [route("a")])
        for wanted, text in [
            (tables(1, [pool("p0", 2), pool("p1")], [route("a")]), "slots"),
            (tables(1, [pool("p0", 4, 2), pool("p1")], [route("a")]), "loses"),
            (tables(1, [pool("p0", 4), pool("p1")]), "no route any more"),
            (tables(1, [pool("p0", 4)], [route("a")]), "is removed"),
        ]:
            found = self.risks(base, wanted)
            self.assertEqual(1, len(found), found)
            self.assertIn(text, found[0])

    def test_safe_changes_are_not_risky(self):
        """Guards against false alarms, which operators learn to override."""
        base = tables(1, [pool("p0", 4)], [route("a")])
        for wanted in [
            tables(1, [pool("p0", 3)], [route("a", deadline_ms=9)]),
            tables(1, [pool("p0", 4), pool("p1")], [route("b", kind="*")]),
        ]:
            self.assertEqual([], self.risks(base, wanted))

    def test_large_change_is_cut_into_valid_steps(self):
        """Guards against a change larger than the store accepts."""
        pools = [pool(f"p{n}") for n in range(1500)]
        routes = [route(f"r{n}", to=f"p{n}") for n in range(1500)]
        made = plan.make(change.EMPTY, tables(0, pools, routes)).unwrap()
        self.assertGreater(len(made.steps), 2)
        for step in made.steps:
            size = len(table_store.encode_value(step))
            self.assertLessEqual(size, plan.MAX_EDITS_BYTES + 4096)
        back = plan.make(made.wanted, change.EMPTY).unwrap()
        self.assertGreater(len(back.steps), 2)
        for each in (made, back):
            at = each.base
            for step in each.steps:
                at = change.apply_edits(at, step, 1).unwrap()
                self.assertEqual([], row_checks.check_tables(at))

    def test_large_change_without_valid_steps_is_refused(self):
        """Guards against a member in two pools between two versions."""
        count = 1500
        pools = [pool(f"p{n}") for n in range(count)]
        moved = [
            msgspec.structs.replace(
                pool(f"p{n}"), groups=pool(f"p{(n + 1) % count}").groups
            )
            for n in range(count)
        ]
        made = plan.make(tables(1, pools), tables(1, moved))
        self.assertIn("no valid order of steps", made.failure()[0])

    def test_merge_refuses_rows_that_both_changed(self):
        """Guards against one operator overwriting another's change."""
        base = tables(1, [pool("p0"), pool("p1")])
        mine = tables(1, [pool("p0", 3), pool("p1")])
        other = tables(2, [pool("p0"), pool("p1", 3)])
        merged = plan.merge(base, mine, other).unwrap()
        self.assertEqual(
            {"p0": pool("p0", 3), "p1": pool("p1", 3)}, merged.pool_by_name
        )
        clash = tables(2, [pool("p0", 4), pool("p1")])
        lost = plan.merge(base, mine, clash).failure()
        self.assertIn("slots_per_member: 2 -> 4", lost[0])
