"""Guards what a daemon holds of the tables and whom it tells."""

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from burdockcart.request import routing
from burdockcart.version import change
from burdockcart.version import distribution
from burdockcart.version import table_image
from burdockcart.version import table_store
from burdockcart.version.tests import test_change

_PATTERNS = strategies.sampled_from(["a", "b", "c", "*", "a*", "?"])
_ROUTES = strategies.lists(
    strategies.tuples(strategies.sampled_from("rstuv"), _PATTERNS, _PATTERNS),
    max_size=8,
)


def versions(route_lists):
    """Return changes through tables with one pool and some routes."""
    base, changes = change.EMPTY, []
    for found in route_lists:
        routes = [
            test_change.route(name, caller, kind)
            for name, caller, kind in found
        ]
        wanted = test_change.tables(0, [test_change.pool("p0")], routes)
        changes.append(test_change.change_to(base, wanted, str(len(changes))))
        base = change.apply_change(base, changes[-1]).unwrap()
    return base, changes


class TestImage(testtools.TestCase):
    """The image answers as the plain tables do."""

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(strategies.lists(_ROUTES, min_size=1, max_size=4))
    def test_image_has_the_rows_of_the_tables(self, route_lists):
        """Guards against rows lost or left over in the shards."""
        plain, changes = versions(route_lists)
        local_tables = distribution.LocalTables()
        for each in changes:
            found = local_tables.apply(each)
            self.assertEqual(distribution.ApplyResult.ACCEPTED, found)
        loader = table_image.ImageLoader(
            plain.version, local_tables.image.blobs
        )
        while loader.step():
            pass
        for image in (local_tables.image, loader.image):
            lazy = image.tables()
            self.assertEqual(plain.route_by_name, dict(lazy.route_by_name))
            self.assertEqual(plain.pool_by_name, dict(lazy.pool_by_name))
            for caller in "abcd":
                expected = routing.find_route(
                    plain.routes_for(caller), caller, "a"
                )
                found = routing.find_route(
                    lazy.routes_for(caller), caller, "a"
                )
                if expected is None:
                    self.assertIsNone(found)
                else:
                    self.assertEqual(
                        routing.specificity(expected),
                        routing.specificity(found),
                    )

    def test_invalid_shards_are_refused(self):
        """Guards against a corrupt snapshot of a peer in force."""
        route = test_change.route("r", "a", "a")
        orphan = table_store.Shard(1, (route,))
        bad = table_store.Shard(
            1, (msgspec.structs.replace(route, deadline_ms=0),)
        )
        good = list(table_image.TableImage.empty().blobs)
        for blobs in (
            [b"", *good[1:]],
            [good[0][:-3], *good[1:]],
            [table_image.encode_shard(orphan), *good[1:]],
            [table_image.encode_shard(bad), *good[1:]],
            good[1:],
        ):
            loader = table_image.ImageLoader(2, blobs)
            with testtools.ExpectedException(ValueError):
                while loader.step():
                    pass


class TestLocalTables(testtools.TestCase):
    """The version only grows, and invalid changes are refused."""

    def offer_all(self):
        local_tables = distribution.LocalTables()
        _, changes = versions([[("r", "a", "a")], [], [("s", "b", "b")]])
        for each in changes:
            local_tables.apply(each)
        return local_tables, changes

    def test_only_the_next_change_is_accepted(self):
        """Guards against a version that goes back or skips rows."""
        local_tables, changes = self.offer_all()
        for each in changes:
            self.assertEqual(
                distribution.ApplyResult.STALE, local_tables.apply(each)
            )
        gap = msgspec.structs.replace(changes[-1], version=9, parent=8)
        self.assertEqual(distribution.ApplyResult.GAP, local_tables.apply(gap))
        self.assertEqual(3, local_tables.version)

    def test_invalid_changes_are_refused(self):
        """Guards against rows that `check` refuses, from a peer."""
        local_tables, _ = self.offer_all()
        pool, route = test_change.pool("p0"), test_change.route("r", "a", "a")
        edit = change.RouteEdit
        for edits in (
            (edit(name="r", new=msgspec.structs.replace(route, pool="q")),),
            (edit(name="r", new=msgspec.structs.replace(route, caller="[")),),
            (edit(name="r", old=route),),
            (change.PoolEdit(name="p0", old=pool),),
        ):
            made = change.Change(
                version=4, parent=3, id="x", author="", time="", edits=edits
            )
            found = local_tables.apply(made)
            self.assertEqual(distribution.ApplyResult.INVALID, found)
        self.assertEqual(3, local_tables.version)

    def test_peers_get_what_they_lack_or_are_sent_to_the_shards(self):
        """Guards against a peer that is left with a gap."""
        local_tables, changes = self.offer_all()
        for version in range(4):
            found = local_tables.changes_after(version)
            self.assertEqual(tuple(changes[version:]), found)
        self.assertEqual((), local_tables.changes_after(9))
        local_tables._recent.popleft()
        self.assertIsNone(local_tables.changes_after(0))
        blobs = []
        while len(blobs) < table_store.SHARDS:
            blobs += local_tables.shards_from(len(blobs))
        self.assertEqual(local_tables.image.blobs, tuple(blobs))


class TestTree(testtools.TestCase):
    """The tree reaches every daemon, and dead ones only cost their part."""

    @hypothesis.settings(deadline=None, derandomize=True)
    @hypothesis.given(strategies.integers(1, 300))
    def test_every_daemon_is_reached(self, count):
        """Guards against a daemon that no other forwards to."""
        ranked = list(range(count))
        open_daemons, reached = distribution.push_targets(ranked), set()
        while open_daemons:
            daemon = open_daemons.pop()
            if daemon not in reached:
                reached.add(daemon)
                children = distribution.forward_targets(ranked, daemon)
                self.assertLessEqual(len(children), distribution.FAN_OUT)
                open_daemons += children
        self.assertEqual(set(ranked), reached)

    def test_announcements_reach_every_daemon_in_time(self):
        """Guards against a daemon that never hears of a version."""
        local = [f"d{n}" for n in range(9)]
        heard = [
            peer
            for own in local
            for peer in distribution.announce_targets(own, local, ["x"], 1)
        ]
        for daemon in local:
            self.assertEqual(3, heard.count(daemon))
        self.assertEqual(9, heard.count("x"))
        alone = distribution.announce_targets("d", [], [], 5)
        self.assertEqual([], alone)
