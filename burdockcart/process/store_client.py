"""Client of the platform's key-value store and list of hosts."""

import enum
import json
from typing import Any
from typing import Protocol
from urllib import parse

import msgspec
from returns import result
from tornado import httpclient

REQUEST_TIMEOUT_S = 2.0
#: A listing returns up to a sixteenth of the shards, or all change records.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class StoreFault(enum.Enum):
    """Why a call to the store has no result.

    After NO_ANSWER a write may have taken effect.
    """

    CONFLICT = "conflict"
    MISSING = "missing"
    NO_ANSWER = "no answer"
    RATE_EXCEEDED = "rate exceeded"
    TOO_LARGE = "value too large"


class Item(msgspec.Struct, frozen=True):
    """A value of the store; ``revision`` grows with each write."""

    key: str
    value: str
    revision: int


class Host(msgspec.Struct, frozen=True):
    """A host in the platform's list."""

    id: str
    role: str
    domain: str
    address: str
    state: str


class Store(Protocol):
    """Client of the platform's key-value store and list of hosts."""

    async def get(self, key: str) -> result.Result[Item, StoreFault]:
        """Return the item of a key."""

    async def put(
        self, key: str, value: str, expected: int | None
    ) -> result.Result[Item, StoreFault]:
        """Write a key if its revision is ``expected``; 0 for a new key."""

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> result.Result[Item, StoreFault]:
        """Wait for a revision higher than ``after``; MISSING if none."""

    async def list_prefix(
        self, prefix: str
    ) -> result.Result[list[Item], StoreFault]:
        """Return the items whose keys start with a prefix."""

    async def delete(self, key: str) -> result.Result[None, StoreFault]:
        """Remove a key; it may be missing."""

    async def hosts(self) -> result.Result[list[Host], StoreFault]:
        """Return the live and leaving hosts; the list may be out of date."""


class HttpStore:
    """Store client over HTTP/1.1 with JSON bodies."""

    def __init__(self, address: str, source_ip: str | None = None):
        self._base = f"http://{address}"
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_buffer_size=MAX_ANSWER_BYTES
        )
        self._interface = source_ip

    async def get(self, key: str) -> result.Result[Item, StoreFault]:
        """Return the item of a key."""
        return (await self._fetch(f"/kv/{key}")).map(_item)

    async def put(
        self, key: str, value: str, expected: int | None
    ) -> result.Result[Item, StoreFault]:
        """Write a key if its revision is ``expected``; 0 for a new key."""
        body = {"value": value, "expected_revision": expected}
        answer = await self._fetch(f"/kv/{key}", "PUT", body)
        return answer.map(_item)

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> result.Result[Item, StoreFault]:
        """Wait for a revision higher than ``after``; MISSING if none."""
        path = f"/watch/{key}?after={after}&timeout={timeout_s}"
        answer = await self._fetch(
            path, timeout_s=timeout_s + REQUEST_TIMEOUT_S
        )
        return answer.bind(
            lambda found: (
                result.Success(_item(found))
                if found
                else result.Failure(StoreFault.MISSING)
            )
        )

    async def list_prefix(
        self, prefix: str
    ) -> result.Result[list[Item], StoreFault]:
        """Return the items whose keys start with a prefix."""
        query = parse.quote(prefix, safe="")
        answer = await self._fetch(f"/kv?prefix={query}")
        return answer.map(
            lambda found: msgspec.convert(found["items"], list[Item])
        )

    async def delete(self, key: str) -> result.Result[None, StoreFault]:
        """Remove a key; it may be missing."""
        return (await self._fetch(f"/kv/{key}", "DELETE")).map(
            lambda found: None
        )

    async def hosts(self) -> result.Result[list[Host], StoreFault]:
        """Return the live and leaving hosts; the list may be out of date."""
        answer = await self._fetch("/hosts")
        return answer.map(
            lambda found: msgspec.convert(found["hosts"], list[Host])
        )

    async def _fetch(
        self,
        path: str,
        method: str = "GET",
        body: dict[str, Any] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> result.Result[Any, StoreFault]:
        request = httpclient.HTTPRequest(
            self._base + path,
            method=method,
            body=None if body is None else json.dumps(body),
            request_timeout=timeout_s,
            connect_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            return result.Failure(StoreFault.NO_ANSWER)
        if answer.code in (200, 204):
            return _json(answer.body)
        return result.Failure(
            _FAULT_BY_STATUS.get(answer.code, StoreFault.NO_ANSWER)
        )


def _json(body: bytes) -> result.Result[Any, StoreFault]:
    try:
        return result.Success(json.loads(body) if body else None)
    except ValueError:
        return result.Failure(StoreFault.NO_ANSWER)


_FAULT_BY_STATUS = {
    404: StoreFault.MISSING,
    409: StoreFault.CONFLICT,
    413: StoreFault.TOO_LARGE,
    429: StoreFault.RATE_EXCEEDED,
}


def _item(found: Any) -> Item:
    return msgspec.convert(found, Item)
