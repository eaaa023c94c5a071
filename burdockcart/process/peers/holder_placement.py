"""Which of a member's holders relays the next statement.

Explanation
===========

A holder that has no way to the member comes last: if no holder has one, the
member is lost.  The connections of an account are to be at one holder, where
all daemons find them open.  But a holder has only some of a member's
connections, and transactions keep them while they are idle; so a daemon that
has several statements of an account running at a holder uses the next one,
and so does one whose statement got no connection there.

"""

from typing import Iterable
from typing import Protocol
import weakref

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.request import member_evidence

#: Time for which a holder without a way to a member is not used for it, in
#: seconds.
AVOIDED_S = 1.0
#: Time for which an account does not use a holder that had no connection for
#: it, in seconds: about as long as a statement waits there.
FULL_S = 0.3
#: Statements and transactions of an account that a daemon has at a holder
#: before it uses the next one.  The holders keep 7 to 10 connections each,
#: and the clients of an account are at 2.7 daemons on average.
AT_ONE_HOLDER = 3
#: Sets of channels that are kept before empty ones are looked for.
MIN_KEPT = 256

_Key = tuple[ids.DaemonId, ids.MemberId, ids.AccountName]


class Channel(Protocol):
    """A connection to a member by way of a holder."""

    @property
    def in_use(self) -> bool:
        """Whether a statement or transaction runs on it."""


class HolderPlacement:
    """Holders to avoid, and what this daemon has running at them."""

    def __init__(self, loop_clock: clock.Clock):
        self._clock = loop_clock
        self._avoided_until: dict[tuple[ids.DaemonId, ids.MemberId], float] = (
            {}
        )
        #: The same, by what the holders say themselves.
        self._no_way_until: dict[tuple[ids.DaemonId, ids.MemberId], float] = {}
        self._full_until: dict[_Key, float] = {}
        self._channels: dict[_Key, weakref.WeakSet[Channel]] = {}

    def avoid(self, daemon: ids.DaemonId, member: ids.MemberId) -> None:
        """Record that a holder has no way to a member."""
        until = self._clock.now() + AVOIDED_S
        self._avoided_until[daemon, member] = until

    def record_evidence(
        self,
        daemon: ids.DaemonId,
        evidence: Iterable[member_evidence.MemberEvidence],
    ) -> None:
        """Use what a holder says of its ways to members."""
        now = self._clock.now()
        for each in evidence:
            found_at = now - each.reachable_age_ms / 1000
            if each.reachable is False:
                until = found_at + member_evidence.FRESH_S
                self._no_way_until[daemon, each.member] = until
            else:
                self._no_way_until.pop((daemon, each.member), None)

    def avoids(self, daemon: ids.DaemonId, member: ids.MemberId) -> bool:
        """Return whether a holder recently had no way to a member."""
        until = max(
            self._avoided_until.get((daemon, member), 0.0),
            self._no_way_until.get((daemon, member), 0.0),
        )
        return self._clock.now() < until

    def record_full(
        self,
        daemon: ids.DaemonId,
        member: ids.MemberId,
        account: ids.AccountName | None,
    ) -> None:
        """Record that a holder had no connection for an account."""
        if account is None:
            return
        now = self._clock.now()
        self._full_until = {
            each: until
            for each, until in self._full_until.items()
            if now < until
        }
        self._full_until[daemon, member, account] = now + FULL_S

    def add(
        self,
        daemon: ids.DaemonId,
        member: ids.MemberId,
        account: ids.AccountName | None,
        channel: Channel,
    ) -> None:
        """Count a new channel of an account as long as it exists."""
        if account is None:
            return
        if len(self._channels) >= MIN_KEPT:
            self._channels = {
                key: channels
                for key, channels in self._channels.items()
                if channels
            }
        key = daemon, member, account
        self._channels.setdefault(key, weakref.WeakSet()).add(channel)

    def in_order(
        self,
        entries: list[coordination.DaemonEntry],
        member: ids.MemberId,
        account: ids.AccountName | None,
    ) -> list[coordination.DaemonEntry]:
        """Return holders in the order of use, given that of preference."""
        now = self._clock.now()

        def rank(entry: coordination.DaemonEntry) -> tuple[bool, bool, int]:
            avoided = self.avoids(entry.id, member)
            if account is None:
                return avoided, False, 0
            key = entry.id, member, account
            return (
                avoided,
                now < self._full_until.get(key, 0.0),
                self._running(key) // AT_ONE_HOLDER,
            )

        return sorted(entries, key=rank)

    def _running(self, key: _Key) -> int:
        """Return how many channels of an account are in use at a holder."""
        return sum(each.in_use for each in self._channels.get(key, ()))
