"""Changes of the store that this daemon has polled in the last seconds."""

import collections
import functools
import operator
from typing import Any

import msgspec

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era

#: Time for which changes are kept, in seconds: several polls, so that a
#: daemon that missed one still finds the changes since its position.
KEPT_S = 15.0


class _Poll(msgspec.Struct, frozen=True):
    after: ids.StorePosition
    changes: coordination.StoreChanges
    at: float


class ChangeCache:
    """Answers to consecutive polls, joined on demand."""

    def __init__(self) -> None:
        self._polls: collections.deque[_Poll] = collections.deque()

    def clear(self) -> None:
        """Forget all changes: some after them are not known."""
        self._polls.clear()

    def record(
        self,
        after: ids.StorePosition,
        changes: coordination.StoreChanges,
        now: float,
    ) -> None:
        """Record the answer to a poll for the changes after a position."""
        if self._polls and self._polls[-1].changes.position != after:
            # Something was missed in between, for example an earlier era.
            self._polls.clear()
        self._polls.append(_Poll(after, changes, now))
        while now - self._polls[0].at > KEPT_S:
            self._polls.popleft()

    def since(
        self, after: ids.StorePosition
    ) -> coordination.StoreChanges | None:
        """Return the changes after a position; None if they are not known."""
        if not self._polls or self._polls[0].after > after:
            return None
        newest = self._polls[-1].changes
        if newest.position < after or (
            store_era.era_of(newest.position) != store_era.era_of(after)
        ):
            return None
        later = [
            each.changes
            for each in self._polls
            if each.changes.position > after
        ]
        return functools.reduce(joined, later) if later else _empty(newest)


def _empty(
    changes: coordination.StoreChanges,
) -> coordination.StoreChanges:
    """Return no changes, up to the same position."""
    return coordination.StoreChanges(
        tables=[],
        entry_by_member={},
        entry_by_daemon={},
        fleet_key=None,
        position=changes.position,
    )


def joined(
    earlier: coordination.StoreChanges, later: coordination.StoreChanges
) -> coordination.StoreChanges:
    """Return two consecutive sets of changes as one.

    Examples
    ========

    >>> from burdockcart.process.gateway.store import change_cache
    >>> from burdockcart.process.gateway.store import coordination
    >>> def changes(position, **entries):
    ...     return coordination.StoreChanges(
    ...         tables=[], entry_by_member={}, entry_by_daemon=entries,
    ...         fleet_key=None, position=position)
    >>> both = change_cache.joined(
    ...     changes(4, a=None, b=None), changes(7, b="entry"))
    >>> both.position, both.entry_by_daemon
    (7, {'a': None, 'b': 'entry'})

    """
    return coordination.StoreChanges(
        **{
            field.name: _join(
                field.name,
                getattr(earlier, field.name),
                getattr(later, field.name),
            )
            for field in msgspec.structs.fields(coordination.StoreChanges)
        }
    )


def _join(field: str, earlier: Any, later: Any) -> Any:
    if isinstance(earlier, dict):
        return operator.or_(earlier, later)
    if isinstance(earlier, list):
        return earlier + later
    if isinstance(earlier, bool):
        return earlier or later
    if field == "versions":
        return earlier + later
    return earlier if later is None else later
