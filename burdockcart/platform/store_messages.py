"""Answers of the platform's store as encoded on the wire."""

import base64
from typing import Annotated

import msgspec

from burdockcart.platform import decoding
from burdockcart.process.gateway.store import store_era

#: A revision of the store within one era.
Revision = Annotated[int, msgspec.Meta(ge=0, lt=1 << store_era.REVISION_BITS)]


class StoredItem(msgspec.Struct, rename="kebab"):
    """An item, or a change event of one; ``value`` is base64."""

    key: str
    revision: Revision
    value: str = ""
    tombstone: bool = False

    @property
    def data(self) -> bytes:
        """The decoded value.

        Raises
        ======

        UnreadableValue
            If the value is not base64.

        """
        try:
            return base64.b64decode(self.value)
        except ValueError as error:
            raise decoding.UnreadableValue(str(error)) from None


class Range(msgspec.Struct, rename="kebab"):
    """One page of the items under a prefix."""

    items: list[StoredItem]
    store_revision: Revision = 0
    has_more: bool = False


class Events(msgspec.Struct, rename="kebab"):
    """Answer to a watch."""

    events: list[StoredItem]
    store_revision: Revision


class Written(msgspec.Struct):
    """Answer to a committed transaction."""

    revision: Revision


class Lease(msgspec.Struct):
    """Answer to the grant of a lease."""

    lease: int
