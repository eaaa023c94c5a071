"""Queue of membership updates to gossip to peers."""

import msgspec

from burdockcart import ids
from burdockcart.process import daemon_list
from burdockcart.process import peer_messages

#: Heartbeats that carry an update; with the peers that get it at once, each
#: daemon sends it to 7, so that practically all receive it in a few hops.
HEARTBEATS_PER_UPDATE = 4
MAX_UPDATES_PER_MESSAGE = 30
MAX_QUEUED = 1000
#: Batches updates that arrive together, as when a failure domain is cut off.
URGENT_INTERVAL_S = 0.02

_Update = peer_messages.DaemonUpdate


class _QueuedUpdate(msgspec.Struct):
    update: _Update
    queued_at: float
    heartbeats_left: int
    urgent: bool


class GossipQueue:
    """Latest update of each daemon and how many heartbeats still carry it."""

    def __init__(self) -> None:
        self._item_by_id: dict[ids.DaemonId, _QueuedUpdate] = {}
        self._urgent: dict[ids.DaemonId, _QueuedUpdate] = {}
        self._urgent_sent_at = float("-inf")

    def put(self, update: _Update, urgent: bool, now: float) -> None:
        """Add an update; it replaces an older one of the same daemon."""
        item = _QueuedUpdate(update, now, HEARTBEATS_PER_UPDATE, urgent)
        self._item_by_id.pop(update.id, None)
        if len(self._item_by_id) >= MAX_QUEUED:
            self._item_by_id.pop(next(iter(self._item_by_id)))
        self._item_by_id[update.id] = item
        self._urgent.pop(update.id, None)
        if urgent:
            self._urgent[update.id] = item

    def take(self, now: float) -> tuple[_Update, ...]:
        """Return the updates for one heartbeat."""
        taken = list(self._item_by_id.values())[:MAX_UPDATES_PER_MESSAGE]
        for item in taken:
            item.heartbeats_left -= 1
            if item.heartbeats_left <= 0:
                del self._item_by_id[item.update.id]
        return tuple(_with_current_age(item, now) for item in taken)

    def take_urgent(self, now: float) -> list[peer_messages.Message]:
        """Return messages to send at once, one for each kind of update."""
        if not self._urgent or now - self._urgent_sent_at < URGENT_INTERVAL_S:
            return []
        self._urgent_sent_at = now
        names = list(self._urgent)[:MAX_UPDATES_PER_MESSAGE]
        items = [self._urgent.pop(name) for name in names]
        messages: list[peer_messages.Message] = []
        for kind, states in _STATES_BY_MESSAGE.items():
            updates = tuple(
                _with_current_age(item, now)
                for item in items
                if item.update.state in states
            )
            if updates:
                messages.append(kind(updates))
        return messages


def _with_current_age(item: _QueuedUpdate, now: float) -> _Update:
    if not item.update.age_ms:
        return item.update
    waited_ms = int((now - item.queued_at) * 1000)
    return msgspec.structs.replace(
        item.update, age_ms=item.update.age_ms + waited_ms
    )


_STATES_BY_MESSAGE = {
    peer_messages.Suspect: (
        daemon_list.State.SUSPECT.value,
        daemon_list.State.DEAD.value,
    ),
    peer_messages.Refute: (daemon_list.State.LIVE.value,),
    peer_messages.Leaving: (daemon_list.State.LEAVING.value,),
}
