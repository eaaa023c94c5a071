"""HTTP calls to the platform: its key-value store and its promotions."""

import asyncio
import base64
from typing import Any
from urllib import parse

import loguru
import msgspec
from returns import result
from tornado import httpclient
from tornado import simple_httpclient

from burdockcart import ids
from burdockcart.platform import formats
from burdockcart.platform import store_messages
from burdockcart.process.gateway import coordination
from burdockcart.version import manifest

#: Limit of a call, in seconds; the store answers in 4 ms when well, and in
#: 0.4 s when slowed a hundred times.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
#: Limit of a read, in seconds.  A manifest of 1,400 routes takes over a second
#: on a link of 5 Mbit/s; a read that reached its limit gets twice the time
#: when it is repeated, up to the longest limit.
READ_TIMEOUT_S = 2.0
MAX_READ_TIMEOUT_S = 4.0
#: Calls open at the same time; watches stay open.
MAX_CALLS = 50
MAX_ANSWER_BYTES = 16 * 1024 * 1024

MANIFEST_KEY = "op/config"
MEMBER_PREFIX = "servers/"
PROMOTION_PREFIX = "promotions/"
DAEMON_PREFIX = "daemons/"


class _AddressResolver:
    """Takes addresses as they are: there are only IP addresses."""

    async def resolve(
        self, host: str, port: int, family: int = 0
    ) -> list[tuple[int, Any]]:
        """Return the address itself."""
        return [(2, (host, port))]

    def close(self) -> None:
        """Release nothing; asked for by the HTTP client."""


_FAULT_BY_STATUS = {
    404: coordination.CallFault.MISSING,
    410: coordination.CallFault.HISTORY_LOST,
    429: coordination.CallFault.UNAVAILABLE,
    503: coordination.CallFault.UNAVAILABLE,
}


class PlatformClient:
    """Client of the platform; see :class:`coordination.Platform`.

    Each call has a connection of its own: a connection on which one answer
    was lost gives no further answers.
    """

    def __init__(self, store_address: str, promotion_address: str):
        self.store_address = store_address
        self.promotion_address = promotion_address
        self._read_timeout_s = READ_TIMEOUT_S
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CALLS,
            max_buffer_size=MAX_ANSWER_BYTES,
            resolver=_AddressResolver(),
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _send(
        self,
        url: str,
        method: str = "GET",
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> httpclient.HTTPResponse | None:
        data = None if method == "GET" else msgspec.json.encode(body or {})
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=data,
            headers={"Content-Type": "application/json", **(headers or {})},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            loguru.logger.debug("event=call_failed url={} {}", url, error)
            return None

    async def _call(
        self, path: str, kind: Any, method: str = "GET", **options: Any
    ) -> result.Result[Any, coordination.CallFault]:
        """Call the store and decode what it answers."""
        url = f"http://{self.store_address}{path}"
        answer = await self._send(url, method, **options)
        if answer is None or answer.code == 599:
            return result.Failure(coordination.CallFault.NO_ANSWER)
        if answer.code != 200:
            return result.Failure(
                _FAULT_BY_STATUS.get(
                    answer.code, coordination.CallFault.NO_ANSWER
                )
            )
        try:
            return result.Success(msgspec.json.decode(answer.body, type=kind))
        except msgspec.MsgspecError as error:
            loguru.logger.error(
                "event=answer_unreadable path={} error={!r}", path, str(error)
            )
            return result.Failure(coordination.CallFault.UNREADABLE)

    async def read_store(
        self,
    ) -> result.Result[coordination.StoreSnapshot, coordination.CallFault]:
        """Return what the store holds.

        The calls are no snapshot: the lowest revision counts, so that no
        change is missed, and some may be seen twice.
        """
        path = "/api/kv-key?" + parse.urlencode({"key": MANIFEST_KEY})
        answers = await asyncio.gather(
            self._read(path, store_messages.OneItem),
            self._range(MEMBER_PREFIX),
            self._range(DAEMON_PREFIX),
        )
        config, members, daemons = answers
        for answer in (members, daemons):
            if isinstance(answer, result.Failure):
                return answer
        listed, running = members.unwrap(), daemons.unwrap()
        revisions = [listed.store_revision, running.store_revision]
        found = None
        if isinstance(config, result.Success):
            item = config.unwrap()
            found = _manifest(item.data)
            revisions.append(item.store_revision)
        elif config.failure() is not coordination.CallFault.MISSING:
            return config
        return result.Success(
            coordination.StoreSnapshot(
                tables=found,
                entry_by_member={
                    entry.id: entry
                    for item in listed.items
                    if (entry := _member(item)) is not None
                },
                daemons=frozenset(_daemon_id(each) for each in running.items),
                revision=min(revisions),
            )
        )

    async def changes(
        self, after: int
    ) -> result.Result[coordination.StoreChanges, coordination.CallFault]:
        """Return what changed after a revision.

        One watch of all keys costs one call; separate ones would cost one
        each, and members write all the time.
        """
        query = {"prefix": "", "after": after, "wait-ms": 0}
        path = "/api/kv-watch?" + parse.urlencode(query)
        answer = await self._read(path, store_messages.Events)
        return answer.map(_changes)

    async def _read(
        self, path: str, kind: Any
    ) -> result.Result[Any, coordination.CallFault]:
        """Read what may be large, with a limit that grows after a failure."""
        answer = await self._call(path, kind, timeout_s=self._read_timeout_s)
        if answer == result.Failure(coordination.CallFault.NO_ANSWER):
            self._read_timeout_s = min(
                2 * self._read_timeout_s, MAX_READ_TIMEOUT_S
            )
        else:
            self._read_timeout_s = READ_TIMEOUT_S
        return answer

    async def _range(
        self, prefix: str
    ) -> result.Result[store_messages.Range, coordination.CallFault]:
        """Return all items of a prefix, as of the first page's revision."""
        items: list[store_messages.StoredItem] = []
        first_revision = None
        while True:
            query = {"prefix": prefix}
            if items:
                query["after"] = items[-1].key
            path = "/api/kv-range?" + parse.urlencode(query)
            answer = await self._read(path, store_messages.Range)
            page = answer.value_or(None)
            if page is None:
                return answer
            if first_revision is None:
                first_revision = page.store_revision
            items += page.items
            if not page.has_more or not page.items:
                return result.Success(
                    store_messages.Range(items, first_revision)
                )

    async def claim_promotion(
        self,
        group: ids.GroupId,
        record: coordination.PromotionRecord,
        expected: int,
    ) -> result.Result[
        ids.FencingToken, coordination.ClaimLost | coordination.CallFault
    ]:
        """Claim the right to promote if the record is still at a revision.

        The revision of the claim is its fencing token: the store counts
        revisions up, so a later claim has a higher token.
        """
        key = PROMOTION_PREFIX + group
        value = base64.b64encode(formats.encode_promotion(record)).decode()
        body = {
            "expect-rev": [{"key": key, "revision": expected}],
            "writes": [{"key": key, "value": value, "lease": 0}],
            "deletes": [],
        }
        url = f"http://{self.store_address}/api/kv-txn"
        answer = await self._send(url, "POST", body)
        if answer is not None and answer.code == 200:
            written = msgspec.json.decode(
                answer.body, type=store_messages.Written
            )
            return result.Success(ids.FencingToken(written.revision))
        if answer is not None and answer.code == 412:
            return result.Failure(_claim_lost(answer.body, key))
        if answer is not None and answer.code in (429, 503):
            return result.Failure(coordination.CallFault.UNAVAILABLE)
        return result.Failure(coordination.CallFault.NO_ANSWER)

    async def promote(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        holder: ids.DaemonId,
        token: ids.FencingToken,
    ) -> result.Result[None, coordination.PromotionFault]:
        """Make a member the primary of its group."""
        answer = await self._send(
            f"http://{self.promotion_address}/promote",
            "POST",
            {"service": group, "id": member},
            {"X-Lease-Holder": holder, "X-Fencing-Token": str(token)},
        )
        if answer is None or answer.code == 599:
            return result.Failure(coordination.PromotionFault.NO_ANSWER)
        if answer.code == 200:
            return result.Success(None)
        if answer.code == 409:
            return result.Failure(coordination.PromotionFault.REJECTED)
        loguru.logger.warning(
            "event=promotion_refused group={} status={}", group, answer.code
        )
        return result.Failure(coordination.PromotionFault.UNAVAILABLE)

    async def register_daemon(
        self, daemon: ids.DaemonId, ttl_s: float
    ) -> result.Result[int, coordination.CallFault]:
        """Enter a daemon into the list for a time; return the lease."""
        granted = await self._call(
            "/api/kv-lease",
            store_messages.Lease,
            "POST",
            body={"ttl-ms": int(ttl_s * 1000)},
        )
        lease = granted.value_or(None)
        if lease is None:
            return granted
        key = DAEMON_PREFIX + daemon
        body = {
            "expect-rev": [],
            "writes": [{"key": key, "value": "", "lease": lease.lease}],
            "deletes": [],
        }
        written = await self._call(
            "/api/kv-txn", store_messages.Written, "POST", body=body
        )
        return written.map(lambda _: lease.lease)

    async def renew_daemon(
        self, lease: int
    ) -> result.Result[None, coordination.CallFault]:
        """Keep a daemon in the list."""
        answer = await self._call(f"/api/kv-keep/{lease}", Any, "POST")
        return answer.map(lambda _: None)

    async def reachable(self) -> bool:
        """Return whether the store answers at all."""
        query = {"prefix": DAEMON_PREFIX, "serializable": "1"}
        path = "/api/kv-range?" + parse.urlencode(query)
        answer = await self._call(path, store_messages.Range)
        return isinstance(answer, result.Success)


def _manifest(data: bytes) -> manifest.Manifest | None:
    """Return a manifest; None, and a line in the log, if it has a fault."""
    try:
        return formats.read_manifest(data)
    except (msgspec.MsgspecError, ValueError) as error:
        loguru.logger.error("event=manifest_unreadable error={!r}", str(error))
        return None


def _changes(seen: store_messages.Events) -> coordination.StoreChanges:
    """Sort the events of all keys by what they tell of."""
    manifests = [
        found
        for event in seen.events
        if event.key == MANIFEST_KEY and not event.tombstone
        if (found := _manifest(event.data)) is not None
    ]
    entry_by_member = {
        _member_id(event): entry
        for event in seen.events
        if event.key.startswith(MEMBER_PREFIX)
        for entry in [_member(event)]
        if event.tombstone or entry is not None
    }
    listed_by_daemon = {
        _daemon_id(event): not event.tombstone
        for event in seen.events
        if event.key.startswith(DAEMON_PREFIX)
    }
    return coordination.StoreChanges(
        tables=manifests,
        entry_by_member=entry_by_member,
        listed_by_daemon=listed_by_daemon,
        revision=seen.store_revision,
    )


def _daemon_id(item: store_messages.StoredItem) -> ids.DaemonId:
    return ids.DaemonId(item.key.removeprefix(DAEMON_PREFIX))


def _member_id(item: store_messages.StoredItem) -> ids.MemberId:
    return ids.MemberId(item.key.removeprefix(MEMBER_PREFIX))


def _member(item: store_messages.StoredItem) -> manifest.MemberEntry | None:
    """Return a member; None for a removed or unusable entry."""
    if item.tombstone:
        return None
    try:
        return formats.read_member(_member_id(item), item.data)
    except (msgspec.MsgspecError, ValueError) as error:
        loguru.logger.warning(
            "event=member_entry_unusable key={} error={!r}",
            item.key,
            str(error)[:200],
        )
        return None


def _claim_lost(body: bytes, key: str) -> coordination.ClaimLost:
    page = msgspec.json.decode(body, type=store_messages.Range)
    item = next((each for each in page.items if each.key == key), None)
    if item is None:
        return coordination.ClaimLost(None, 0)
    return coordination.ClaimLost(
        formats.read_promotion(item.data), item.revision
    )
