"""News of daemons that wait to be told to peers."""

import msgspec

from burdockcart import ids
from burdockcart.process import daemon_list
from burdockcart.process import peer_messages

#: Heartbeats that carry a piece of news; with the peers told at once, each
#: daemon tells it to 7, so that practically all hear it in a few hops.
HEARTBEATS = 4
MAX_IN_MESSAGE = 30
MAX_QUEUED = 1000
#: Gathers news that come together, as when a failure domain is cut off.
URGENT_PAUSE_S = 0.02

_News = peer_messages.DaemonUpdate


class _Item(msgspec.Struct):
    news: _News
    told_at: float
    heartbeats: int
    urgent: bool


class GossipQueue:
    """Latest news of each daemon with the number of tellings left."""

    def __init__(self) -> None:
        self._item_by_id: dict[ids.DaemonId, _Item] = {}
        self._urgent: dict[ids.DaemonId, _Item] = {}
        self._spread_at = float("-inf")

    def put(self, news: _News, urgent: bool, now: float) -> None:
        """Add news; older news of the same daemon are dropped."""
        item = _Item(news, now, HEARTBEATS, urgent)
        self._item_by_id.pop(news.id, None)
        if len(self._item_by_id) >= MAX_QUEUED:
            self._item_by_id.pop(next(iter(self._item_by_id)))
        self._item_by_id[news.id] = item
        self._urgent.pop(news.id, None)
        if urgent:
            self._urgent[news.id] = item

    def take(self, now: float) -> tuple[_News, ...]:
        """Return the news for one heartbeat."""
        taken = list(self._item_by_id.values())[:MAX_IN_MESSAGE]
        for item in taken:
            item.heartbeats -= 1
            if item.heartbeats <= 0:
                del self._item_by_id[item.news.id]
        return tuple(_aged(item, now) for item in taken)

    def take_urgent(self, now: float) -> list[peer_messages.Message]:
        """Return messages to send at once, one for each kind of news."""
        if not self._urgent or now - self._spread_at < URGENT_PAUSE_S:
            return []
        self._spread_at = now
        names = list(self._urgent)[:MAX_IN_MESSAGE]
        items = [self._urgent.pop(name) for name in names]
        bodies: list[peer_messages.Message] = []
        for kind, states in _STATES_BY_MESSAGE.items():
            news = tuple(
                _aged(item, now) for item in items if item.news.state in states
            )
            if news:
                bodies.append(kind(news))
        return bodies


def _aged(item: _Item, now: float) -> _News:
    if not item.news.age_ms:
        return item.news
    waited_ms = int((now - item.told_at) * 1000)
    return msgspec.structs.replace(
        item.news, age_ms=item.news.age_ms + waited_ms
    )


_STATES_BY_MESSAGE = {
    peer_messages.Suspect: (
        daemon_list.State.SUSPECT.value,
        daemon_list.State.DEAD.value,
    ),
    peer_messages.Refute: (daemon_list.State.LIVE.value,),
    peer_messages.Leaving: (daemon_list.State.LEAVING.value,),
}
