"""Record of a group's primary in the platform's store, best effort.

The members hold the authoritative state; the record is for operators and
starting daemons.
"""

import asyncio

import loguru
import msgspec

from burdockcart import ids
from burdockcart.process import store_client

ATTEMPTS = 8
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 5.0


class GroupRecord(msgspec.Struct, frozen=True):
    """Primary of a group; ``change_id`` names the attempt that set it."""

    primary: ids.MemberId
    term: ids.Term
    change_id: str


def key(group: ids.GroupId) -> str:
    """Return the store's key of a group's record."""
    return f"groups/{group}"


async def write(
    store: store_client.Store, group: ids.GroupId, record: GroupRecord
) -> bool:
    """Write a record unless the store has one of the same or a later term.

    Explanation
    ===========

    If the answer to a write is lost, the next attempt reads the record back
    and finds its own term.

    Returns
    =======

    bool
        Whether the store is known to hold this term or a later one.

    """
    pause_s = FIRST_PAUSE_S
    for _ in range(ATTEMPTS):
        if await _write_once(store, group, record):
            return True
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)
    loguru.logger.warning(
        "event=group_record_not_written group={} term={}", group, record.term
    )
    return False


async def _write_once(
    store: store_client.Store, group: ids.GroupId, record: GroupRecord
) -> bool:
    found = await store.get(key(group))
    item = found.value_or(None)
    if item is None:
        if found.failure() is not store_client.StoreFault.MISSING:
            return False
    else:
        held = msgspec.json.decode(item.value, type=GroupRecord)
        if held.term >= record.term:
            return True
    written = await store.put(
        key(group),
        msgspec.json.encode(record).decode(),
        item.revision if item else 0,
    )
    return written.value_or(None) is not None
