"""Bounds what all links of a process keep in memory, without I/O."""

import operator
from typing import Callable
from typing import Protocol
import weakref

#: Unsent bytes of all links together, unless the host's memory asks for less.
MAX_UNSENT_BYTES = 64 * 1024 * 1024
#: Bytes of incomplete frames of all accepted links that have sent no valid
#: frame yet: a stranger without the key can greet, and begin a frame.
MAX_UNVERIFIED_BYTES = 16 * 1024 * 1024
#: Bytes of one link below which the sum is not checked.
SMALL_BYTES = 64 * 1024


class Link(Protocol):
    """A link, as far as its memory is concerned."""

    @property
    def unsent(self) -> int:
        """Bytes that wait until the other side reads."""

    @property
    def unverified_bytes(self) -> int:
        """Bytes of an incomplete frame while no valid frame has arrived."""

    def abort(self) -> None:
        """End the link without sending what is unsent."""


class LinkMemory:
    """Bounds the unsent bytes of all links of a process together.

    Parameters
    ==========

    most : int
        Bytes that all links may have unsent.

    """

    def __init__(self, most: int = MAX_UNSENT_BYTES):
        self._most = most
        self._links: weakref.WeakSet[Link] = weakref.WeakSet()

    def add(self, link: Link) -> None:
        """Count a link from now on."""
        self._links.add(link)

    def most_unverified(self, link: Link) -> Link | None:
        """Return the link to end as a link has received; None in bounds."""
        return self._largest(
            link,
            operator.attrgetter("unverified_bytes"),
            MAX_UNVERIFIED_BYTES,
        )

    def most_unsent(self, link: Link) -> Link | None:
        """Return the link to end as a link sends; None in bounds."""
        return self._largest(link, operator.attrgetter("unsent"), self._most)

    def _largest(
        self, link: Link, size_of: Callable[[Link], int], most: int
    ) -> Link | None:
        """Return the largest link if the sum is too large.

        It need not be the one that grows: a link that stopped keeps what it
        has.
        """
        if size_of(link) <= SMALL_BYTES:
            return None
        if sum(map(size_of, self._links)) <= most:
            return None
        return max(self._links, key=size_of)
