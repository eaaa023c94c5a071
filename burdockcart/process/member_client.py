"""Client that sends commands to members through executors or directly.

Explanation
===========

A failed executor must not block a promotion, so a command that it does not
answer is sent again on this daemon's own connection.  Commands are
idempotent at the members.

"""

from typing import Any

import msgspec

from burdockcart.connection import single_request
from burdockcart.connection import target_connection
from burdockcart import ids
from burdockcart.process import executors
from burdockcart.process import groups
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.version import rows

EXECUTOR_TIMEOUT_S = 0.15
DIRECT_TIMEOUT_S = 0.15

_MemberCommand = (
    peer_messages.Adopt | peer_messages.Promote | peer_messages.Follow
)


class MemberClient:
    """Sends commands to members and handles those for own members."""

    def __init__(
        self,
        served_groups: groups.Groups,
        directory: executors.Directory,
        peers: peer_transport.Peers,
        connector: target_connection.Connector,
    ):
        self._groups = served_groups
        self._directory = directory
        self._peers = peers
        self._connector = connector
        for kind in (
            peer_messages.Adopt,
            peer_messages.Promote,
            peer_messages.Follow,
        ):
            peers.on(kind, self._on_ordered)
        peers.on(peer_messages.PromotionCheck, self._on_check)

    async def order(
        self, member: rows.Member, command: _MemberCommand
    ) -> peer_messages.Granted:
        """Send a command to a member and return its answer."""
        reply = await self._ask_executor(member, command)
        if isinstance(reply, peer_messages.Granted) and reply.state:
            return reply
        path, body = _request(command)
        return _granted(await self._direct(member, path, body))

    async def check(
        self, member: rows.Member, suspect: ids.MemberId | None
    ) -> tuple[peer_messages.PromotionChecked, bool]:
        """Request a member's state and the age of the suspect's last probe.

        Returns
        =======

        tuple of PromotionChecked and bool
            The answer, and whether it came from another coordinator.

        """
        message = peer_messages.PromotionCheck(member.id, suspect)
        reply = await self._ask_executor(member, message)
        if isinstance(reply, peer_messages.PromotionChecked):
            own = member.id in self._groups.executor_by_member
            return reply, not own
        state = await self.probe_direct(member)
        return peer_messages.PromotionChecked(state, None), False

    async def probe_direct(
        self, member: rows.Member
    ) -> peer_messages.MemberState | None:
        """Return a member's state, requested on this daemon's connection."""
        reply = await self._direct(member, "/state", None)
        if reply is None:
            return None
        return msgspec.convert(reply, peer_messages.MemberState)

    async def _ask_executor(
        self, member: rows.Member, body: peer_messages.Message
    ) -> peer_messages.Message | None:
        daemon = self._directory.executor_of(member)
        if daemon is None:
            return None
        reply = await self._peers.request(daemon.id, body, EXECUTOR_TIMEOUT_S)
        return reply.value_or(None)

    async def _direct(
        self, member: rows.Member, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any] | None:
        return await single_request.send(
            self._connector, member.address, path, body, DIRECT_TIMEOUT_S
        )

    async def _on_ordered(
        self, sender: ids.DaemonId, command: _MemberCommand
    ) -> peer_messages.Granted:
        executor = self._groups.executor_by_member.get(command.member)
        if executor is None:
            return peer_messages.Granted(False)
        path, body = _request(command)
        asked_at = self._groups.now()
        answer = _granted(
            await executor.command(path, body, EXECUTOR_TIMEOUT_S)
        )
        if answer.state is not None:
            self._groups.learn([answer.state], asked_at)
        return answer

    async def _on_check(
        self, sender: ids.DaemonId, message: peer_messages.PromotionCheck
    ) -> peer_messages.PromotionChecked:
        executor = self._groups.executor_by_member.get(message.member)
        state = None
        if executor is not None and message.member != message.suspect:
            asked_at = self._groups.now()
            state = await executor.probe(EXECUTOR_TIMEOUT_S)
            if state is not None:
                self._groups.learn([state], asked_at)
        age_ms = None
        if message.suspect is not None:
            age_ms = self._groups.probe_age_ms(message.suspect)
        return peer_messages.PromotionChecked(state, age_ms)


def _request(command: _MemberCommand) -> tuple[str, dict[str, Any]]:
    path = "/" + type(command).__name__.lower()
    body = msgspec.to_builtins(command)
    body.pop("type")
    body.pop("member")
    return path, body


def _granted(reply: dict[str, Any] | None) -> peer_messages.Granted:
    if reply is None or "granted" not in reply:
        return peer_messages.Granted(False)
    state = msgspec.convert(reply, peer_messages.MemberState)
    return peer_messages.Granted(reply["granted"], state)
