"""Polls of the store that the daemons of a failure domain share."""

import asyncio
from typing import Callable
from typing import Protocol

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.store import change_cache
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import poller_choice
from burdockcart.process.gateway.store import store_era
from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_connector

#: Time for which a question waits for the next scheduled poll, in seconds;
#: with a later one the poller polls at once.
JOIN_S = 0.15
#: Time by which a daemon asks before the scheduled poll, in seconds: the way
#: there, and timers that fire late.
EARLY_S = 0.06
#: Timeout of a question to the poller, in seconds: the wait for its poll and
#: the store's answer.  With the poll that follows a time-out, the state that
#: is known stays younger than :attr:`StoreFollower.notice_s`.
ASK_TIMEOUT_S = 0.25
#: Time for which a daemon polls itself after its poller did not answer, in
#: seconds.  Asking the next one in rank would put the load of a whole failure
#: domain on a daemon that still asks the silent one.
DIRECT_S = 5.0
#: Time after a question from another daemon for which this one polls itself,
#: in seconds: two daemons with different lists must not wait for each other.
POLLER_S = 10.0

_decoder = msgspec.msgpack.Decoder(coordination.StoreChanges)
_state_decoder = msgspec.msgpack.Decoder(coordination.StoreSnapshot)


class Follower(Protocol):
    """Polls the store on a schedule."""

    async def join_poll(self, longest_s: float) -> bool:
        """Return whether a poll that begins after this call was applied."""

    @property
    def next_poll_s(self) -> float:
        """Time until the next scheduled poll, in seconds."""

    @property
    def version(self) -> int:
        """Version of the manifest in force; 0 for none."""

    def version_seen(self, version: int, daemon: ids.DaemonId) -> None:
        """Note the version that another daemon uses."""


class SharedPolls:
    """Asks the poller of this failure domain, or the store itself.

    Explanation
    ===========

    The poller's answer is that of a poll which began after the question was
    sent, so that its age is known by the clock of the daemon that asks.
    Manifests and the key of the links are not passed on: they hold secrets,
    and each daemon reads them from the store.

    Parameters
    ==========

    polled : callable
        Called for each poll, with whether the store itself is asked.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        domain: ids.DomainName,
        platform: coordination.Platform,
        links: relay_connector.HolderLinks,
        loop_clock: clock.Clock,
        polled: Callable[[bool], None],
    ):
        self._daemon = daemon
        self._domain = domain
        self._platform = platform
        self._links = links
        self._clock = loop_clock
        self._polled = polled
        self._cache = change_cache.ChangeCache()
        #: What the last poll has read, if that was no list of changes.
        self._state: coordination.StoreSnapshot | None = None
        #: Poller of this failure domain by the list of daemons.
        self._chosen: coordination.DaemonEntry | None = None
        self._direct_until = loop_clock.now()
        self._asked_at: float | None = None
        #: Set by the application, whose parts depend on each other.
        self.follower: Follower
        #: Whether this daemon leaves, and others should poll.
        self.leaving = False
        #: When to ask next, as the poller said; None if this daemon polls.
        self.next_in_s: float | None = None
        #: Whether the last answer came from the store itself.
        self.direct = True

    def use_daemons(self, entries: list[coordination.DaemonEntry]) -> None:
        """Use a new list of daemons."""
        self._chosen = poller_choice.poller(self._domain, entries)

    @property
    def shared(self) -> bool:
        """Whether another daemon would be asked now."""
        return self._poller() is not None

    def _poller(self) -> coordination.DaemonEntry | None:
        """Return the daemon to ask; None to poll the store."""
        now = self._clock.now()
        if self._asked_at is not None and now - self._asked_at < POLLER_S:
            return None
        if now < self._direct_until:
            return None
        found = self._chosen
        if found is None or found.id == self._daemon:
            return None
        return found

    async def changes(
        self,
        after: ids.StorePosition,
        fresh: bool = False,
        limit_bytes: int | None = None,
    ) -> result.Result[coordination.StoreNews, coordination.CallFault]:
        """Return what changed after a position, or the present state.

        Parameters
        ==========

        fresh : bool
            Whether a group waits for what may have changed just now, so that
            the store itself is asked.
        limit_bytes : int or None
            Longest answer of the store that is wanted.

        """
        shared = await self._ask_poller(after, fresh)
        if shared is not None:
            return result.Success(shared)
        seen = await self._platform.changes(after, limit_bytes)
        if isinstance(seen, result.Success):
            self._cache.record(after, seen.unwrap(), self._clock.now())
        return seen

    async def state(
        self, after: ids.StorePosition, fresh: bool = False
    ) -> result.Result[coordination.StoreNews, coordination.CallFault]:
        """Return the present state without the manifest, or the changes."""
        shared = await self._ask_poller(after, fresh)
        if shared is not None:
            return result.Success(shared)
        # Changes up to the state that is read are not known.
        self._cache.clear()
        read = await self._platform.read_state(store_era.era_of(after))
        if isinstance(read, result.Success):
            self._state = read.unwrap()
        return read

    async def _ask_poller(
        self, after: ids.StorePosition, fresh: bool
    ) -> coordination.StoreNews | None:
        """Begin a poll: ask the poller, if there is one and it may be asked.

        None if the store is to be asked.
        """
        self.next_in_s = None
        self._state = None
        entry = None if fresh else self._poller()
        found = None if entry is None else await self._ask(entry, after)
        self.direct = found is None
        self._polled(self.direct)
        return found

    async def _ask(
        self, entry: coordination.DaemonEntry, after: ids.StorePosition
    ) -> coordination.StoreNews | None:
        """Ask the poller; None if the store has to be asked instead."""
        reply: messages.Reply | None = None
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                link = await self._links.link(entry)
                if link is not None:
                    reply = await link.request(
                        lambda number: messages.PollRequest(number, after),
                        ASK_TIMEOUT_S,
                    )
        except TimeoutError:
            pass
        if not isinstance(reply, messages.Polled):
            self._poll_directly(entry.id)
            return None
        self.follower.version_seen(reply.version, entry.id)
        if reply.changes is None and reply.state is None:
            if reply.next_ms == 0:
                self._poll_directly(entry.id)
            return None
        self.next_in_s = max(reply.next_ms / 1000 - EARLY_S, EARLY_S)
        try:
            found = _decoded(reply)
        except msgspec.MsgspecError as error:
            loguru.logger.warning(
                "event=shared_poll_unreadable daemon={} error={!r}",
                entry.id,
                str(error)[:200],
            )
            self._poll_directly(entry.id)
            return None
        era = store_era.era_of(found.position)
        if found.position < after or not self._platform.eras.observe(era):
            return None
        return found

    def _poll_directly(self, daemon: ids.DaemonId) -> None:
        """Do without a poller that does not answer for some time."""
        self._direct_until = self._clock.now() + DIRECT_S
        loguru.logger.info("event=poller_silent daemon={}", daemon)

    async def serve(self, message: messages.PollRequest) -> messages.Polled:
        """Answer the question of another daemon."""
        if self.leaving:
            # No next poll: the other daemon chooses another poller.
            return messages.Polled(message.number, 0, None)
        self._asked_at = self._clock.now()
        changes, state = None, None
        if await self.follower.join_poll(JOIN_S):
            changes = self._changes_for(message.after)
            state = self._state_for(message.after)
        return messages.Polled(
            message.number,
            self._next_ms(),
            changes,
            self.follower.version,
            state,
        )

    def _changes_for(self, after: ids.StorePosition) -> bytes | None:
        """Return the encoded changes; None if they may not be passed on."""
        known = self._cache.since(after)
        if known is None or _is_private(known):
            return None
        return msgspec.msgpack.encode(known)

    def _state_for(self, after: ids.StorePosition) -> bytes | None:
        """Return the encoded state that the last poll has read.

        None if it read changes, or if the key of the links has changed since
        the position, which is not passed on.
        """
        known = self._state
        if (
            known is None
            or known.fleet_key_position is None
            or known.fleet_key_position > after
        ):
            return None
        return msgspec.msgpack.encode(
            msgspec.structs.replace(
                known, fleet_key=None, fleet_key_read=False
            )
        )

    def _next_ms(self) -> int:
        return int(self.follower.next_poll_s * 1000)


def _decoded(reply: messages.Polled) -> coordination.StoreNews:
    """Return what a poller has passed on."""
    if reply.state is not None:
        return _state_decoder.decode(reply.state)
    assert reply.changes is not None
    return _decoder.decode(reply.changes)


def _is_private(changes: coordination.StoreChanges) -> bool:
    """Return whether changes concern what each daemon reads itself."""
    return bool(
        changes.tables
        or changes.tables_unreadable
        or changes.fleet_key is not None
    )
