"""Tells other daemons of promotion calls, and is told by them."""

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.promotion import call_notice
from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import holder_link
from burdockcart.process.peers import holding
from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_connector
from burdockcart.request import log_position
from burdockcart.version import manifest

#: Links that are tried: one may end as its daemon does.
MAX_LINKS = 2


class PeerNotices:
    """Notices of promotion calls on the links between daemons.

    Parameters
    ==========

    group_by_id : dict of GroupId to Group
        Owned by the application.

    """

    def __init__(
        self,
        group_by_id: dict[ids.GroupId, groups.Group],
        holders: holding.Holding,
        links: relay_connector.HolderLinks,
        loop_clock: clock.Clock,
    ):
        self._group_by_id = group_by_id
        self._holding = holders
        self._links = links
        self._clock = loop_clock

    # Sent

    def recipients(
        self, group: ids.GroupId, primary: manifest.MemberEntry
    ) -> list[coordination.DaemonEntry]:
        """Return the other daemons that may connect to a primary directly."""
        found = self._group_by_id.get(group)
        if found is None:
            return []
        return self._holding.connecting(primary, found.limits.connections)

    async def tell(
        self,
        daemon: coordination.DaemonEntry,
        notice: call_notice.CallNotice,
    ) -> call_notice.Promise | call_notice.NoPromise:
        """Tell a daemon of a call; it may take any time."""
        for _ in range(MAX_LINKS):
            try:
                link = await self._links.reach(daemon)
            except ConnectionRefusedError:
                return call_notice.NoPromise.CLOSED
            if link is None:
                break
            reply = await link.request(
                lambda number: messages.CallNotice(
                    number,
                    notice.group,
                    notice.candidate,
                    notice.called_at_ms,
                    notice.position,
                ),
                call_notice.TIMEOUT_S,
            )
            if isinstance(reply, messages.Noticed):
                return _promise(reply)
        return call_notice.NoPromise.SILENT

    def withdraw(
        self,
        daemon: coordination.DaemonEntry,
        notice: call_notice.CallNotice,
    ) -> None:
        """Tell a daemon that a call of which it knows was not sent."""
        link: holder_link.HolderLink | None = self._links.open_link(daemon.id)
        if link is not None:
            link.send(
                messages.Withdrawal(
                    notice.group, notice.candidate, notice.position
                )
            )

    # Received

    def notified(self, notice: messages.CallNotice) -> messages.Noticed:
        """Go by a call from now on; tell what has been passed on."""
        group = self._group_by_id.get(notice.group)
        if group is None or not group.commits.calls.noticed(
            notice.group,
            (notice.candidate, notice.called_at_ms, notice.position),
        ):
            return messages.Noticed(notice.number, False)
        promise = group.commits.passed.promise(self._clock.now())
        # Rounded down: an older commit need not be in the candidate's log.
        return messages.Noticed(
            notice.number,
            True,
            messages.position_pair(promise.newest),
            int(promise.age_s * 1000),
            messages.position_pair(promise.certain),
        )

    def withdrawn(self, withdrawal: messages.Withdrawal) -> None:
        """Note that a call was not sent."""
        group = self._group_by_id.get(withdrawal.group)
        if group is not None:
            group.commits.calls.withdrawn(
                withdrawal.group, withdrawal.candidate, withdrawal.position
            )

    def open_call(
        self, group: ids.GroupId
    ) -> tuple[ids.MemberId, int, ids.StorePosition] | None:
        """Return the open call of a group, as it is sent."""
        found = self._group_by_id.get(group)
        return None if found is None else found.commits.calls.known_call(group)

    def use_call(
        self,
        group: ids.GroupId,
        call: tuple[ids.MemberId, int, ids.StorePosition],
    ) -> None:
        """Go by a call of which a holder knows."""
        found = self._group_by_id.get(group)
        if found is not None:
            found.commits.calls.noticed(group, call)

    def passed_on(
        self,
        group: ids.GroupId,
        commit: log_position.LogPosition | None,
        asked_at: float,
    ) -> None:
        """Note a commit whose success another daemon is told of now.

        It was sent after ``asked_at``.
        """
        found = self._group_by_id.get(group)
        if found is not None:
            found.commits.passed.add(commit, asked_at)


def _promise(
    reply: messages.Noticed,
) -> call_notice.Promise | call_notice.NoPromise:
    if not reply.agreed:
        return call_notice.NoPromise.REFUSED
    return call_notice.Promise(
        messages.read_position(reply.newest),
        reply.age_ms / 1000,
        messages.read_position(reply.certain),
    )
