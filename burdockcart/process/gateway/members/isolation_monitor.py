"""Acts on the isolation of this daemon from other failure domains."""

from typing import Awaitable
from typing import Callable
from typing import Sequence

import loguru

from burdockcart.connection import own_link
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import isolation
from burdockcart.process.gateway.sessions import client_listener

#: Longest interval between two checks, in seconds; sessions are closed evenly
#: over the steps of this length.
CHECK_INTERVAL_S = 0.1


class IsolationMonitor:
    """Marks the groups of an isolated daemon and closes its idle sessions.

    Parameters
    ==========

    domain : DomainName
        Failure domain of this daemon.
    store_answers : callable
        Asks the platform's store for any answer.
    idle_connections : callable
        Returns the client connections that may be closed.
    link : OwnLink
        What this daemon receives from all members.

    """

    def __init__(
        self,
        domain: ids.DomainName,
        group_by_id: dict[ids.GroupId, groups.Group],
        store_answers: Callable[[], Awaitable[bool]],
        idle_connections: Callable[[], Sequence[client_listener.Client]],
        link: own_link.OwnLink,
    ):
        self._domain = domain
        self._group_by_id = group_by_id
        self._store_answers = store_answers
        self._idle_connections = idle_connections
        self._link = link
        self._since: float | None = None

    @property
    def isolated(self) -> bool:
        """Whether only this failure domain answers."""
        return self._since is not None

    async def check(self, now: float) -> None:
        """Mark this daemon as isolated while only its own domain answers."""
        remote = self._remote_members()
        if not isolation.suspected(remote, now):
            self.set_isolated(None)
            return
        if self._since is None:
            # Report not ready while the store is queried.  The load balancer
            # acts on two such answers, so the store's answer reverts it in
            # time.  Refuse what needs other failure domains only if the own
            # one answers: otherwise this daemon's link may be full.
            silent_since = max(member.last_answer_at for member in remote)
            self.set_isolated(now, self._link.answered(silent_since))
            if await self._store_answers():
                self.set_isolated(None)
                return
            self._mark_groups(True)
        self._close_idle_sessions(now)

    def _remote_members(self) -> list[isolation.RemoteMember]:
        return [
            isolation.RemoteMember(
                pool.health.failing, pool.health.last_answer_at
            )
            for group in self._group_by_id.values()
            for pool in group.pool_by_member.values()
            if pool.entry.domain != self._domain
        ]

    def set_isolated(
        self, since: float | None, refuse_work: bool = True
    ) -> None:
        """Record since when this daemon is isolated; None if it is not.

        Parameters
        ==========

        refuse_work : bool
            Whether work for other failure domains is refused from now on.

        """
        if (since is None) == (self._since is None):
            return
        self._since = since
        if since is None:
            self._mark_groups(False)
        elif refuse_work:
            self._mark_groups(True)
        loguru.logger.warning("event=isolated value={}", since is not None)

    def _mark_groups(self, isolated: bool) -> None:
        for group in self._group_by_id.values():
            group.isolated = isolated
            if not isolated:
                # Failures during the isolation say nothing about the members.
                group.restart_timers()

    def _close_idle_sessions(self, now: float) -> None:
        """Close idle sessions once the load balancer uses other daemons."""
        if self._since is None:
            return
        for each in isolation.sessions_to_close(
            now - self._since, self._idle_connections(), CHECK_INTERVAL_S
        ):
            each.close_when_idle()
