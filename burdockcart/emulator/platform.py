"""HTTP server that stands in for the platform: store and list of hosts."""

import asyncio
import dataclasses
import json
from typing import Any

from tornado import httpserver
from tornado import web

from burdockcart.emulator import network
from burdockcart.emulator import store

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 30.0


@dataclasses.dataclass
class Faults:
    """Failures of the store that a test can switch on.

    ``lose_answers`` counts writes that take effect but whose answers are
    lost.
    """

    outage: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 1.0


class RateLimit:
    """Token bucket that refills at a constant rate."""

    def __init__(self, rate: float):
        self.rate = rate
        self.tokens = rate
        self.updated_at = 0.0

    def take(self, now: float) -> bool:
        """Take one token, or return False."""
        passed = now - self.updated_at
        self.tokens = min(self.rate, self.tokens + passed * self.rate)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Platform:
    """Store, list of hosts, call counts and faults."""

    def __init__(
        self, writes_per_s: float = 300.0, reads_per_s: float = 2000.0
    ) -> None:
        self.store = store.Store()
        self.network = network.Network("127.0.")
        self.faults = Faults()
        self.writes = RateLimit(writes_per_s)
        self.reads = RateLimit(reads_per_s)
        self.count_by_call: dict[str, int] = {}
        self.waiting_watches = 0
        self.host_by_id: dict[str, dict[str, Any]] = {}
        self.server: httpserver.HTTPServer | None = None

    def start(self, port: int, address: str) -> None:
        """Listen for daemons and operators."""
        application = web.Application(
            [
                (r"/kv/(.+)", KeyHandler, {"platform": self}),
                (r"/kv", ListHandler, {"platform": self}),
                (r"/watch/(.+)", WatchHandler, {"platform": self}),
                (r"/leases(?:/(\d+))?", LeaseHandler, {"platform": self}),
                (r"/hosts(?:/(.+))?", HostsHandler, {"platform": self}),
                (r"/fault", FaultHandler, {"platform": self}),
            ],
            log_function=lambda handler: None,
        )
        self.server = httpserver.HTTPServer(application)
        self.server.listen(port, address)

    def count(self, call: str) -> None:
        """Count one call of a kind."""
        self.count_by_call[call] = self.count_by_call.get(call, 0) + 1


class PlatformHandler(web.RequestHandler):
    """Common checks: outage, delay, partition and rate."""

    def initialize(self, platform: Platform) -> None:
        """Keep the platform that the request is for."""
        self.platform = platform

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    async def enter(self, limit: RateLimit, call: str) -> None:
        """Apply faults and count the call."""
        platform = self.platform
        await platform.network.simulate_link(str(self.request.remote_ip))
        if platform.faults.slow_ms:
            await asyncio.sleep(platform.faults.slow_ms / 1000)
        if platform.faults.outage:
            raise web.HTTPError(503, reason="store outage")
        platform.count(call)
        if not limit.take(self.now()):
            raise web.HTTPError(429, reason="rate exceeded")

    def lose_answer(self) -> None:
        """Close the connection instead of answering, if a fault says so."""
        if self.platform.faults.lose_answers > 0:
            self.platform.faults.lose_answers -= 1
            stream = self.request.connection.stream  # type: ignore
            stream.close()


class KeyHandler(PlatformHandler):
    """Reads and writes one key."""

    async def get(self, key: str) -> None:
        """Return the value and revision of a key."""
        await self.enter(self.platform.reads, "read")
        item = self.platform.store.get(key, self.now())
        if item is None:
            raise web.HTTPError(404)
        self.write(store.as_json(key, item))

    async def put(self, key: str) -> None:
        """Write a key by compare-and-swap."""
        await self.enter(self.platform.writes, "write")
        body = json.loads(self.request.body)
        if len(body["value"]) > MAX_VALUE_BYTES:
            raise web.HTTPError(413)
        try:
            item = self.platform.store.put(
                key,
                body["value"],
                body.get("expected_revision"),
                self.now(),
                body.get("lease"),
            )
        except store.Conflict as conflict:
            self.set_status(409)
            current = conflict.item
            self.write(store.as_json(key, current) if current else {})
            return
        self.lose_answer()
        self.write(store.as_json(key, item))

    async def delete(self, key: str) -> None:
        """Remove a key."""
        await self.enter(self.platform.writes, "write")
        self.platform.store.delete(key, self.now())


class ListHandler(PlatformHandler):
    """Lists keys by prefix."""

    async def get(self) -> None:
        """Return all items whose keys start with the prefix."""
        await self.enter(self.platform.reads, "read")
        prefix = self.get_query_argument("prefix", "")
        items = self.platform.store.list(prefix, self.now())
        self.write(
            {"items": [store.as_json(key, i) for key, i in items.items()]}
        )


class WatchHandler(PlatformHandler):
    """Waits for a key to change."""

    async def get(self, key: str) -> None:
        """Answer once the key's revision exceeds ``after``."""
        await self.enter(self.platform.reads, "watch")
        after = int(self.get_query_argument("after", "0"))
        timeout = float(self.get_query_argument("timeout", "30"))
        until = self.now() + min(timeout, MAX_WATCH_S)
        self.platform.waiting_watches += 1
        try:
            item = await self._changed(key, after, until)
        finally:
            self.platform.waiting_watches -= 1
        if self.platform.faults.outage:
            raise web.HTTPError(503, reason="store outage")
        if item is None:
            self.set_status(204)
            return
        self.write(store.as_json(key, item))

    async def _changed(
        self, key: str, after: int, until: float
    ) -> store.Item | None:
        kv = self.platform.store
        while True:
            item = kv.get(key, self.now())
            if item is not None and item.revision > after:
                return item
            left = until - self.now()
            if left <= 0:
                return None
            try:
                await asyncio.wait_for(kv.changed.wait(), min(left, 1.0))
            except asyncio.TimeoutError:
                pass


class LeaseHandler(PlatformHandler):
    """Grants and extends leases."""

    async def post(self, lease_id: str | None) -> None:
        """Grant a lease, or keep one alive."""
        await self.enter(self.platform.writes, "write")
        kv = self.platform.store
        if lease_id is None:
            ttl_s = json.loads(self.request.body)["ttl_s"]
            self.write({"lease": kv.grant(ttl_s, self.now())})
            return
        if not kv.keep_alive(int(lease_id), self.now()):
            raise web.HTTPError(404)


class HostsHandler(PlatformHandler):
    """The lagging list of live and leaving hosts."""

    async def get(self, host_id: str | None) -> None:
        """Return the hosts as they were some time ago."""
        await self.enter(self.platform.reads, "hosts")
        seen = self.now() - self.platform.faults.list_lag_s
        rows = [
            self._row_at(each, seen)
            for each in self.platform.host_by_id.values()
        ]
        self.write({"hosts": [row for row in rows if row]})

    async def put(self, host_id: str) -> None:
        """Record a host's new state (used by tests and operators)."""
        body = json.loads(self.request.body)
        entry = self.platform.host_by_id.setdefault(host_id, {"rows": []})
        entry["rows"].append((self.now(), {"id": host_id, **body}))

    def _row_at(
        self, entry: dict[str, Any], seen: float
    ) -> dict[str, Any] | None:
        rows = [row for at, row in entry["rows"] if at <= seen]
        if not rows or rows[-1].get("state") == "gone":
            return None
        return rows[-1]


class FaultHandler(PlatformHandler):
    """Switches faults on and off and reports the call counts."""

    async def get(self) -> None:
        """Return the call counts."""
        self.write(
            {
                "calls": self.platform.count_by_call,
                "waiting_watches": self.platform.waiting_watches,
            }
        )

    async def post(self) -> None:
        """Change the named faults."""
        body = json.loads(self.request.body)
        self.platform.network.cut = set(
            body.pop("cut", self.platform.network.cut)
        )
        self.platform.faults = dataclasses.replace(
            self.platform.faults, **body
        )
