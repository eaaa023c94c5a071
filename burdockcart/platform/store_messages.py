"""Answers of the platform's store as encoded on the wire."""

import base64

import msgspec


class StoredItem(msgspec.Struct, rename="kebab"):
    """An item, or a change event of one; ``value`` is base64."""

    key: str
    revision: int
    value: str = ""
    tombstone: bool = False

    @property
    def data(self) -> bytes:
        """The decoded value."""
        return base64.b64decode(self.value)


class Range(msgspec.Struct, rename="kebab"):
    """One page of the items under a prefix."""

    items: list[StoredItem]
    store_revision: int = 0
    has_more: bool = False


class Events(msgspec.Struct, rename="kebab"):
    """Answer to a watch."""

    events: list[StoredItem]
    store_revision: int


class Written(msgspec.Struct):
    """Answer to a committed transaction."""

    revision: int


class Lease(msgspec.Struct):
    """Answer to the grant of a lease."""

    lease: int
