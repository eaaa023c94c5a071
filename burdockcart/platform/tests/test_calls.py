"""Guards the client of the platform against failed calls."""

import asyncio
import base64
import socket
import time

import msgspec
from returns import result
import testtools
from tornado import httpserver
from tornado import web

from burdockcart.platform import calls
from burdockcart.platform.tests import test_formats
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_follower

CallFault = coordination.CallFault


class Store:
    """HTTP server that answers each path as a test defines."""

    def __init__(self):
        self.answer_by_path = {}
        self.delay_s = 0.0
        #: Pause between the tenths of each answer, in seconds.
        self.pause_s = 0.0
        #: Era in the header of the answers, or one for each of them.
        self.era = None
        self.eras = None
        self.seen = []
        store = self

        class Handler(web.RequestHandler):
            async def prepare(self):
                store.seen.append(self.request)
                await asyncio.sleep(store.delay_s)
                answer = store.answer_by_path.get(self.request.path)
                if answer is None:
                    # No answer: close the connection.
                    self.request.connection.stream.close()
                    return
                status, body = answer
                self.set_status(status)
                era = store.era if store.eras is None else next(store.eras)
                if era is not None:
                    self.set_header(calls.ERA_HEADER, str(era))
                data = msgspec.json.encode(body)
                self.set_header("Content-Length", str(len(data)))
                size = len(data) // 10 + 1
                for begin in range(0, len(data), size):
                    self.write(data[begin : begin + size])
                    if store.pause_s:
                        await self.flush()
                        await asyncio.sleep(store.pause_s)
                self.finish()

        class Quiet(web.Application):
            def log_request(self, handler):
                pass

        self.server = httpserver.HTTPServer(Quiet([(r"/.*", Handler)]))
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(10)
        listener.setblocking(False)
        self.server.add_socket(listener)
        port = listener.getsockname()[1]
        self.client = calls.PlatformClient(
            f"127.0.0.1:{port}", f"127.0.0.1:{port}"
        )


def item(key, body, revision=5):
    """Return an item as the store sends it."""
    value = base64.b64encode(msgspec.json.encode(body)).decode()
    return {"key": key, "value": value, "revision": revision, "lease": 0}


def run(check):
    """Run a check against a store on a real event loop."""

    async def run_check():
        store = Store()
        try:
            await check(store)
        finally:
            store.server.stop()
            store.client.close()

    asyncio.run(run_check())


#: Shortest time after which a host counts as in touch with a store that has
#: recovered, and the longest pause between two reads, in seconds.
CONTACT_S = 4.0
LONGEST_PAUSE_S = store_follower.RETRY_MAX_S


class TestReadTimeouts(testtools.TestCase):
    """How long a read waits."""

    def test_read_that_began_in_a_silent_outage(self):
        """Such a read must end before the host counts as in touch."""

        async def check(store):
            store.delay_s = 30.0
            for _ in range(3):
                began_at = time.monotonic()
                answer = await store.client.read_store()
                took_s = time.monotonic() - began_at
                self.assertIs(CallFault.NO_ANSWER, answer.failure())
                self.assertLess(took_s, CONTACT_S - LONGEST_PAUSE_S - 0.5)

        run(check)

    def test_large_answer_over_a_slow_link(self):
        """An answer must not be given up while it goes on arriving."""

        async def check(store):
            store.answer_by_path["/api/kv-range"] = (
                200,
                {"items": [item(f"servers/{n}", {}) for n in range(50)]},
            )
            store.pause_s = 0.25
            answer = await store.client.read_store()
            self.assertIsInstance(answer, result.Success)

        run(check)


class TestCalls(testtools.TestCase):
    """Calls and their answers."""

    def test_fault_of_each_status(self):
        """Guards against confusing done, not done and unknown outcomes."""

        async def check(store):
            expected_by_status = {
                404: CallFault.MISSING,
                410: CallFault.HISTORY_LOST,
                429: CallFault.UNAVAILABLE,
                503: CallFault.UNAVAILABLE,
                500: CallFault.NO_ANSWER,
            }
            for status, fault in expected_by_status.items():
                store.answer_by_path["/api/kv-watch"] = (status, {})
                answer = await store.client.changes(5)
                self.assertIs(fault, answer.failure())
            store.answer_by_path.clear()
            answer = await store.client.changes(5)
            self.assertIs(CallFault.NO_ANSWER, answer.failure())

        run(check)

    def test_members_of_several_pages(self):
        """Guards against a list that stops after its first page."""
        entry = {
            "service": "g",
            "address": "10.0.0.1:1",
            "zone": "a",
            "state": "ready",
        }

        async def check(store):
            pages = [
                (["servers/a", "servers/b"], True),
                (["servers/c"], False),
            ]

            async def serve_pages():
                for keys, more in pages:
                    store.answer_by_path["/api/kv-range"] = (
                        200,
                        {
                            "items": [item(key, entry) for key in keys],
                            "has-more": more,
                            "store-revision": 9,
                        },
                    )
                    seen = len(store.seen)
                    while len(store.seen) == seen:
                        await asyncio.sleep(0)
                    await asyncio.sleep(0)

            serving = asyncio.create_task(serve_pages())
            found = (await store.client._range("servers/")).unwrap()
            await serving
            self.assertEqual(3, len(found.items))
            self.assertEqual(9, found.store_revision)
            self.assertEqual(
                "servers/b", store.seen[1].arguments["after"][0].decode()
            )

        run(check)

    def test_unusable_entry_hides_no_other(self):
        """Guards against one invalid entry that hides all members."""
        entry = {
            "service": "g",
            "address": "10.0.0.1:1",
            "zone": "a",
            "state": "ready",
            "version": "v1",
            "capacity": 2,
            "warmup-left-ms": 0,
            "db-role": "replica",
            "seq": 1,
        }
        incomplete = {
            key: entry[key] for key in ("service", "address", "zone", "state")
        }

        async def check(store):
            items = [item("servers/a", entry), item("servers/b", {"x": 1})]
            items.append(item("servers/d", incomplete))
            items.append({"key": "servers/c", "value": "%%", "revision": 1})
            store.answer_by_path["/api/kv-range"] = (
                200,
                {"items": items, "store-revision": 9},
            )
            store.answer_by_path["/api/kv-key"] = (404, {})
            found = (await store.client.read_store()).unwrap()
            self.assertEqual({"a"}, set(found.entry_by_member))
            self.assertIsNone(found.tables)

        run(check)

    def test_unusable_daemon(self):
        """A list without it must not be taken for a complete one."""

        async def check(store):
            for value, unreadable in (({"x": 1}, True), (None, False)):
                items = [] if value is None else [item("daemons/d", value)]
                store.answer_by_path["/api/kv-range"] = (
                    200,
                    {"items": items, "store-revision": 9},
                )
                found = (await store.client.read_store()).unwrap()
                self.assertEqual({}, found.daemon_by_id)
                self.assertEqual(unreadable, found.daemons_unreadable)

        run(check)

    def test_end_of_a_registration(self):
        """The store must hear that a daemon leaves."""

        async def check(store):
            store.answer_by_path["/api/kv-lease-end/7"] = (200, {})
            await store.client.unregister_daemon(coordination.Lease(0, 7))
            self.assertEqual(
                [("DELETE", "/api/kv-lease-end/7")],
                [(each.method, each.path) for each in store.seen],
            )

        run(check)

    def test_unanswered_registration(self):
        """The lease of a registration without an answer must be ended.

        Its write may be executed seconds later, when the daemon has left or
        has registered again under another lease.
        """

        async def check(store):
            store.answer_by_path["/api/kv-lease"] = (200, {"lease": 7})
            store.answer_by_path["/api/kv-lease-end/7"] = (200, {})
            registered = await store.client.register_daemon(
                coordination.DaemonEntry("d1", "10.0.0.1:1", "a", "1"), 8.0
            )
            self.assertIs(CallFault.NO_ANSWER, registered.failure())
            self.assertEqual(
                ["/api/kv-lease", "/api/kv-txn", "/api/kv-lease-end/7"],
                [each.path for each in store.seen],
            )

        run(check)

    def test_removed_member(self):
        """Guards against a member that stays after its entry is deleted."""

        async def check(store):
            event = {"key": "servers/a", "revision": 7, "tombstone": True}
            store.answer_by_path["/api/kv-watch"] = (
                200,
                {"events": [event], "store-revision": 7},
            )
            seen = (await store.client.changes(5)).unwrap()
            self.assertEqual({"a": None}, seen.entry_by_member)

        run(check)

    def test_broken_manifest_leaves_the_others(self):
        """Guards against an invalid manifest that hides a newer one."""
        good = msgspec.json.decode(test_formats.MANIFEST)

        async def check(store):
            events = [
                item("op/config", {"version": 8}),
                item("op/config", {**good, "version": 9}),
            ]
            store.answer_by_path["/api/kv-watch"] = (
                200,
                {"events": events, "store-revision": 7},
            )
            seen = (await store.client.changes(5)).unwrap()
            versions = [found.version for found in seen.tables]
            self.assertEqual([9], versions)

        run(check)

    def test_large_answer_over_a_narrow_link(self):
        """Guards against timeouts while a large manifest is transferred.

        On a link of 5 Mbit/s, 1,440 more routes took over a second.  With a
        timeout of one second, the manifest needed a second attempt and was
        0.4 s late (trouble-3 of albuquerque-clima-grown).
        """

        async def check(store):
            store.answer_by_path["/api/kv-watch"] = (
                200,
                {"events": [], "store-revision": 7},
            )
            store.delay_s = 1.5
            seen = await store.client.changes(5)
            self.assertEqual(7, seen.unwrap().position)

        run(check)

    def test_claim(self):
        """Guards the fencing token, and the record of a competing claim."""
        record = coordination.PromotionRecord("d1", "x", 5)

        async def check(store):
            store.answer_by_path["/api/kv-txn"] = (200, {"revision": 41})
            claimed = await store.client.claim_promotion("g", record, 0)
            self.assertEqual(41, claimed.unwrap())
            body = msgspec.json.decode(store.seen[-1].body)
            self.assertEqual(
                [{"key": "promotions/g", "revision": 0}], body["expect-rev"]
            )
            other = msgspec.structs.replace(record, holder="d2")
            found = item("promotions/g", msgspec.to_builtins(other), 40)
            store.answer_by_path["/api/kv-txn"] = (412, {"items": [found]})
            lost = await store.client.claim_promotion("g", record, 0)
            self.assertEqual(coordination.ClaimLost(other, 40), lost.failure())

        run(check)

    def test_promotion(self):
        """Guards the headers, and the meaning of each answer."""

        async def check(store):
            fault = coordination.PromotionFault
            store.answer_by_path["/promote"] = (200, {})
            done = await store.client.promote("g", "m", "d1", 41)
            self.assertEqual(result.Success(None), done)
            headers = store.seen[-1].headers
            self.assertEqual("d1", headers["X-Lease-Holder"])
            self.assertEqual("41", headers["X-Fencing-Token"])
            store.answer_by_path["/promote"] = (409, {})
            refused = await store.client.promote("g", "m", "d1", 41)
            self.assertIs(fault.REJECTED, refused.failure())
            store.answer_by_path.clear()
            lost = await store.client.promote("g", "m", "d1", 41)
            self.assertIs(fault.NO_ANSWER, lost.failure())

        run(check)

    def test_promotion_of_each_status(self):
        """Guards against a call that counts as refused and is carried out.

        An answer of something between daemon and platform proves nothing.
        """

        async def check(store):
            fault_by_status = {
                status: coordination.PromotionFault.UNAVAILABLE
                for status in (400, 404, 422, 429, 503)
            } | {
                status: coordination.PromotionFault.NO_ANSWER
                for status in (202, 302, 408, 500, 502, 504)
            }
            for status, fault in fault_by_status.items():
                store.answer_by_path["/promote"] = (status, {})
                answer = await store.client.promote("g", "m", "d1", 41)
                self.assertIs(fault, answer.failure(), status)

        run(check)
