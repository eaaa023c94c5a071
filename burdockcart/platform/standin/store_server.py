"""HTTP server of the store and of the promotion call, with faults."""

import asyncio
import base64
import dataclasses
import enum
import functools
import json
from typing import Any
from typing import Callable

from tornado import httpserver
from tornado import iostream
from tornado import web

from burdockcart.platform import calls
from burdockcart.platform.standin import member_link

#: Interval of ending leases and of copying the data, in seconds.
LEASE_SCAN_S = 0.2
#: Time after which a call that gets no answer is broken off, in seconds.
UNANSWERED_S = 30.0
#: Copies that are kept; they reach back for 30 s.
MAX_COPIES = 150


class CallFault(enum.Enum):
    """What the platform does with a promotion call."""

    NONE = "none"
    #: No answer; it is carried out later.
    LATE = "late"
    REFUSED = "refused"


class StoreFault(enum.Enum):
    """What the store does with a call."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True)
class _Copy:
    """Data of a store at a time of the event loop."""

    made_at: float
    revision: int
    item_by_key: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    due_by_lease: dict[int, tuple[float, float]]
    lease: int


class Store:
    """Keys with revisions, leases and a history of changes.

    Parameters
    ==========

    promote : callable
        Called with service, member, holder and token; returns the status.
    link : MemberLink
        Network between the daemons and the store.

    """

    def __init__(
        self,
        promote: Callable[[str, str, str, int], int],
        link: member_link.MemberLink,
    ):
        self.promote = promote
        self.link = link
        self.fault = StoreFault.NONE
        self.call_fault = CallFault.NONE
        #: Delay of late calls, in seconds.
        self.call_delay_s = 0.0
        self.late_calls: list[asyncio.TimerHandle] = []
        #: Fault of the calls that follow a late one.
        self.next_call_fault = CallFault.NONE
        self.revision = 100
        # Restores are counted.
        self.era = 0
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self._due_by_lease: dict[int, tuple[float, float]] = {}
        self._lease = 0
        self._copies: list[_Copy] = []
        self._server: httpserver.HTTPServer | None = None
        self._expiring: asyncio.Task[None] | None = None

    def _copy(self) -> None:
        """Keep a copy of the data for a later restore."""
        self._copies.append(
            _Copy(
                asyncio.get_running_loop().time(),
                self.revision,
                dict(self.item_by_key),
                list(self.history),
                dict(self._due_by_lease),
                self._lease,
            )
        )
        del self._copies[:-MAX_COPIES]

    def restore(self, age_s: float) -> None:
        """Go back to a copy of some age; what was written since is lost.

        Revisions and leases are given out again.
        """
        made_before = asyncio.get_running_loop().time() - age_s
        copies = [each for each in self._copies if each.made_at <= made_before]
        # The oldest copy if none is old enough.
        self._copies = copies or self._copies[:1]
        found = self._copies[-1]
        self.era += 1
        self.revision = found.revision
        self.item_by_key = dict(found.item_by_key)
        self.history = list(found.history)
        self._due_by_lease = dict(found.due_by_lease)
        self._lease = found.lease

    def start(self, host: str, port: int) -> None:
        """Listen for daemons."""
        routes = [
            (r"/api/kv-(range|watch|key)", _ReadHandler, {"store": self}),
            (r"/api/kv-txn", _TransactionHandler, {"store": self}),
            (
                r"/api/kv-(lease|keep|lease-end)(?:/(\d+))?",
                _LeaseHandler,
                {"store": self},
            ),
            (r"/promote", _PromotionHandler, {"store": self}),
        ]
        application = web.Application(routes, log_function=lambda _: None)
        self._server = httpserver.HTTPServer(application)
        self._server.listen(port, host)
        self._copy()
        self._expiring = asyncio.create_task(self._expire())

    def stop(self) -> None:
        """Stop listening, and drop late calls."""
        for each in self.late_calls:
            each.cancel()
        if self._server is not None and self._expiring is not None:
            self._server.stop()
            self._expiring.cancel()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its revision."""
        self.revision += 1
        known = self.item_by_key.get(key, {"created": self.revision})
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"],
            "lease": lease,
        }
        self.item_by_key[key] = item
        self.history.append(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self.history.append(event)

    def grant(self, ttl_ms: int) -> int:
        """Return a new lease."""
        self._lease += 1
        now = asyncio.get_running_loop().time()
        self._due_by_lease[self._lease] = (now + ttl_ms / 1000, ttl_ms / 1000)
        return self._lease

    def keep(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        if lease not in self._due_by_lease:
            return False
        _, ttl_s = self._due_by_lease[lease]
        now = asyncio.get_running_loop().time()
        self._due_by_lease[lease] = (now + ttl_s, ttl_s)
        return True

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._due_by_lease.pop(lease, None)
        for key, item in list(self.item_by_key.items()):
            if item["lease"] == lease:
                self.delete(key)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SCAN_S)
            self._copy()
            if self.fault is not StoreFault.NONE:
                continue
            now = asyncio.get_running_loop().time()
            for lease, (due, _) in list(self._due_by_lease.items()):
                if due <= now:
                    self.end_lease(lease)

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Run a transaction and return status and answer."""
        rows = body.get("expect-rev", [])
        found = [self.item_by_key.get(row["key"]) for row in rows]
        revisions = [item["revision"] if item else 0 for item in found]
        if revisions != [row["revision"] for row in rows]:
            return 412, {"items": [item for item in found if item]}
        for write in body.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self._due_by_lease:
                return 404, {}
            self.put(write["key"], base64.b64decode(write["value"]), lease)
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class _Handler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    async def prepare(self) -> None:
        """Apply the store's fault."""
        self.set_header(calls.ERA_HEADER, str(self.store.era))
        # The interface of tornado does not declare the context.
        connection: Any = self.request.connection
        await self.store.link.cross(connection.context.address[1])
        while self.store.fault is StoreFault.SILENT:
            await asyncio.sleep(0.1)
        if self.store.fault is StoreFault.UNAVAILABLE:
            self.set_status(503)
            self.finish()

    async def send(self, status: int, body: dict[str, Any]) -> None:
        """Send a JSON answer at the rate of the link."""
        data = json.dumps(body).encode()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(data)))
        connection: Any = self.request.connection
        port = connection.context.address[1]
        try:
            async for part in self.store.link.paced(port, data):
                self.write(part)
                await self.flush()
        except iostream.StreamClosedError:
            return
        await self.finish()

    def answer(self, status: int, body: dict[str, Any]) -> None:
        """Send a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))


class _ReadHandler(_Handler):
    async def get(self, kind: str) -> None:
        """Return items, or the changes after a revision."""
        store = self.store
        if kind == "key":
            item = store.item_by_key.get(self.get_query_argument("key"))
            await self.send(
                200 if item else 404,
                {**(item or {}), "store-revision": store.revision},
            )
            return
        prefix = self.get_query_argument("prefix", "")
        after = self.get_query_argument("after", "")
        if kind == "watch" and int(after) > store.revision:
            await self.send(410, {})
            return
        if kind == "watch":
            events = [
                event
                for event in store.history
                if event["revision"] > int(after)
                and event["key"].startswith(prefix)
            ]
            await self.send(
                200, {"events": events, "store-revision": store.revision}
            )
            return
        items = [
            item
            for key, item in sorted(store.item_by_key.items())
            if key.startswith(prefix) and key > after
        ]
        body = {
            "items": items,
            "has-more": False,
            "store-revision": store.revision,
        }
        await self.send(200, body)


class _TransactionHandler(_Handler):
    def post(self) -> None:
        """Run a transaction."""
        body = json.loads(self.request.body)
        self.answer(*self.store.transact(body))


class _LeaseHandler(_Handler):
    def post(self, kind: str, lease: str | None) -> None:
        """Grant or renew a lease."""
        if kind == "lease":
            ttl_ms = max(json.loads(self.request.body)["ttl-ms"], 1000)
            granted = self.store.grant(ttl_ms)
            self.answer(200, {"lease": granted, "ttl-ms": ttl_ms})
            return
        self.answer(200 if self.store.keep(int(lease or 0)) else 404, {})

    def delete(self, kind: str, lease: str | None) -> None:
        """End a lease."""
        self.store.end_lease(int(lease or 0))
        self.answer(200, {})


class _PromotionHandler(_Handler):
    async def post(self) -> None:
        """Promote a member."""
        body = json.loads(self.request.body)
        store = self.store
        call = functools.partial(
            store.promote,
            body["service"],
            body["id"],
            self.request.headers["X-Lease-Holder"],
            int(self.request.headers["X-Fencing-Token"]),
        )
        fault = store.call_fault
        if fault is CallFault.REFUSED:
            self.answer(503, {})
        elif fault is CallFault.LATE:
            store.call_fault = store.next_call_fault
            loop = asyncio.get_running_loop()
            store.late_calls.append(loop.call_later(store.call_delay_s, call))
            await asyncio.sleep(UNANSWERED_S)
            self.detach().close()
        else:
            self.answer(call(), {})
