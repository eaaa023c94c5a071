"""Which members may be promoted soon, as far as this daemon knows."""

from typing import Callable
from typing import Protocol

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.promotion import promotion_claims


class StoreKnowledge(Protocol):
    """How recent the knowledge of the store is."""

    @property
    def informed(self) -> bool:
        """Whether what was in the store some time ago is known."""

    @property
    def known_until(self) -> float | None:
        """When what is known was asked for; None if nothing is known."""


class OpenCalls(Protocol):
    """Calls to promote a member, of any daemon."""

    def candidate(
        self, group: ids.GroupId, primary: ids.MemberId | None = None
    ) -> ids.MemberId | None:
        """Return the member of a call that may be carried out.

        Also if the call has only been prepared.

        Parameters
        ==========

        primary : MemberId or None
            The present primary: a call for it changes nothing any more.

        """

    def informed(self) -> bool:
        """Return whether a call of a while ago would be known."""

    def age_s(self) -> float | None:
        """Return the age of what is known, in seconds; None if nothing is."""

    def known_call(
        self, group: ids.GroupId
    ) -> tuple[ids.MemberId, int, ids.StorePosition] | None:
        """Return the open call as other daemons are told of it."""

    def noticed(
        self,
        group: ids.GroupId,
        call: tuple[ids.MemberId, int, ids.StorePosition],
    ) -> bool:
        """Note a call that another daemon has told of; False if outdated."""

    def withdrawn(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        position: ids.StorePosition,
    ) -> None:
        """Note that a call that another daemon told of was not sent."""


class KnownCalls:
    """Calls of this daemon, and those that the store has shown.

    Parameters
    ==========

    tables : StoreKnowledge
        Tells how old this process's knowledge of the store is.

    """

    def __init__(
        self,
        claims: promotion_claims.PromotionClaims,
        tables: StoreKnowledge,
        loop_clock: clock.Clock,
        wall_ms: Callable[[], int],
    ):
        self._wall_ms = wall_ms
        self._claims = claims
        self._tables = tables
        self._clock = loop_clock

    def candidate(
        self, group: ids.GroupId, primary: ids.MemberId | None = None
    ) -> ids.MemberId | None:
        """Return the member of a call that may be carried out."""
        now = self._clock.now()
        called = self._claims.candidate(group, now)
        if called not in (None, primary):
            return called
        known = self._claims.preparation(group, now)
        prepared = None if known is None else known.member
        return None if prepared == primary else prepared

    def informed(self) -> bool:
        """Return whether a call of a while ago would be known."""
        return self._tables.informed

    def age_s(self) -> float | None:
        """Return the age of what is known, in seconds; None if nothing is."""
        asked_at = self._tables.known_until
        return None if asked_at is None else self._clock.now() - asked_at

    def known_call(
        self, group: ids.GroupId
    ) -> tuple[ids.MemberId, int, ids.StorePosition] | None:
        """Return the open call as other daemons are told of it."""
        return self._claims.known_call(group, self._clock.now())

    def noticed(
        self,
        group: ids.GroupId,
        call: tuple[ids.MemberId, int, ids.StorePosition],
    ) -> bool:
        """Note a call that another daemon has told of; False if outdated."""
        return self._claims.noticed(
            group, call, self._wall_ms(), self._clock.now()
        )

    def withdrawn(
        self,
        group: ids.GroupId,
        member: ids.MemberId,
        position: ids.StorePosition,
    ) -> None:
        """Note that a call that another daemon told of was not sent."""
        self._claims.notice_withdrawn(group, member, position)
