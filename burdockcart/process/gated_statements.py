"""Wraps the statement handler to deal with changes of primary."""

from typing import Awaitable
from typing import Callable

import msgspec

from burdockcart import errors
from burdockcart import ids
from burdockcart.process import group_view
from burdockcart.process import groups
from burdockcart.process import peer_messages
from burdockcart.request import statement

Handler = Callable[
    [ids.DaemonId, peer_messages.Execute], Awaitable[peer_messages.Message]
]

_Kind = errors.ErrorKind


class GatedStatements:
    """Holds writes during a handover and redirects them after it.

    Parameters
    ==========

    served_groups : Groups
        Executors, views and write gates of this daemon.
    handler : callable
        Runs a statement on a member.

    """

    def __init__(self, served_groups: groups.Groups, handler: Handler):
        self._groups = served_groups
        self._handler = handler

    async def __call__(
        self, sender: ids.DaemonId, message: peer_messages.Execute
    ) -> peer_messages.Message:
        """Run a statement, or redirect the entry to the primary."""
        view = self._groups.view_by_group.get(message.group)
        if view is None:
            return peer_messages.Redirect()
        refusal = diverged_refusal(view, message)
        if refusal is not None:
            return refusal
        write = message.operation is statement.Operation.WRITE
        if not write or message.transaction is not None:
            return await self._handler(sender, message)
        return await self._write(sender, message, view)

    async def _write(
        self,
        sender: ids.DaemonId,
        message: peer_messages.Execute,
        view: group_view.GroupView,
    ) -> peer_messages.Message:
        gate = self._groups.gate_of(message.group)
        if gate.held:
            now = self._groups.now()
            deadline = now + message.deadline_ms / 1000
            if not await gate.wait_until_released(deadline):
                text = "deadline passed while the primary was handed over"
                return peer_messages.Refused(_Kind.NO_PRIMARY.value, text)
            left_ms = (deadline - self._groups.now()) * 1000
            message = msgspec.structs.replace(message, deadline_ms=left_ms)
        moved = _redirect(view, message)
        if moved is not None:
            return moved
        with gate.write():
            reply = await self._handler(sender, message)
        not_run = isinstance(reply, peer_messages.Redirect) or (
            isinstance(reply, peer_messages.Refused)
            and reply.kind == _Kind.NO_PRIMARY.value
        )
        return (_redirect(view, message) or reply) if not_run else reply


def _redirect(
    view: group_view.GroupView, message: peer_messages.Execute
) -> peer_messages.Redirect | None:
    """Return a redirect if another member is the primary, else None."""
    primary = view.primary()
    if primary is None or primary.id == message.member:
        return None
    return peer_messages.Redirect(view.observed_by_member[primary.id].state)


def diverged_refusal(
    view: group_view.GroupView, message: peer_messages.Execute
) -> peer_messages.Refused | None:
    """Return the refusal of a session whose writes were discarded."""
    text = view.divergence(message.minimum)
    if text is None:
        return None
    return peer_messages.Refused(_Kind.SESSION_DIVERGED.value, text)
