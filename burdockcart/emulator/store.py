"""Key-value store of the emulated platform: CAS, leases and watches."""

import asyncio
import dataclasses
from typing import Any


@dataclasses.dataclass
class Item:
    """A value with the revision that wrote it."""

    value: str
    revision: int
    lease: int | None = None


@dataclasses.dataclass
class Lease:
    """Expiry that keys can be bound to."""

    ttl_s: float
    expires_at: float


class Conflict(Exception):
    """A compare-and-swap found another revision."""

    def __init__(self, item: Item | None):
        super().__init__("revision does not match")
        self.item = item


class Store:
    """Keys with revisions; each call is given the current time.

    Examples
    ========

    >>> from burdockcart.emulator import store
    >>> kv = store.Store()
    >>> kv.put("a", "1", expected=0, now=0.0).revision
    1
    >>> kv.put("a", "2", expected=0, now=0.0)
    Traceback (most recent call last):
    ...
    burdockcart.emulator.store.Conflict: revision does not match

    """

    def __init__(self) -> None:
        self.revision = 0
        self.item_by_key: dict[str, Item] = {}
        self.lease_by_id: dict[int, Lease] = {}
        self.changed = asyncio.Event()

    def get(self, key: str, now: float) -> Item | None:
        """Return the item of a key, or None."""
        self.expire(now)
        return self.item_by_key.get(key)

    def list(self, prefix: str, now: float) -> dict[str, Item]:
        """Return the items whose keys start with a prefix."""
        self.expire(now)
        return {
            key: item
            for key, item in sorted(self.item_by_key.items())
            if key.startswith(prefix)
        }

    def put(
        self,
        key: str,
        value: str,
        expected: int | None,
        now: float,
        lease: int | None = None,
    ) -> Item:
        """Write a key if its revision is the expected one.

        If ``expected`` is None, the write is unconditional; if it is 0, the
        key must not exist.

        """
        self.expire(now)
        item = self.item_by_key.get(key)
        if expected is not None and expected != (item.revision if item else 0):
            raise Conflict(item)
        if lease is not None and lease not in self.lease_by_id:
            raise KeyError(f"no lease {lease}")
        self.revision += 1
        written = Item(value, self.revision, lease)
        self.item_by_key[key] = written
        self._notify()
        return written

    def delete(self, key: str, now: float) -> None:
        """Remove a key."""
        self.expire(now)
        if self.item_by_key.pop(key, None):
            self.revision += 1
            self._notify()

    def grant(self, ttl_s: float, now: float) -> int:
        """Return the id of a new lease."""
        lease_id = max(self.lease_by_id, default=0) + 1
        self.lease_by_id[lease_id] = Lease(ttl_s, now + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int, now: float) -> bool:
        """Extend a lease; return False if it has expired."""
        self.expire(now)
        lease = self.lease_by_id.get(lease_id)
        if lease:
            lease.expires_at = now + lease.ttl_s
        return lease is not None

    def expire(self, now: float) -> None:
        """Remove expired leases and their keys."""
        expired_leases = {
            lease_id
            for lease_id, lease in self.lease_by_id.items()
            if lease.expires_at <= now
        }
        for lease_id in expired_leases:
            del self.lease_by_id[lease_id]
        expired_keys = [
            k for k, i in self.item_by_key.items() if i.lease in expired_leases
        ]
        for key in expired_keys:
            del self.item_by_key[key]
        if expired_keys:
            self.revision += 1
            self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def as_json(key: str, item: Item) -> dict[str, Any]:
    """Return an item in the form that the HTTP interface uses."""
    return {"key": key, "value": item.value, "revision": item.revision}
