"""Queries and changes of a member's replication for another daemon."""

from typing import Awaitable
from typing import Callable
from typing import Protocol

from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway import group as groups
from burdockcart.process.gateway import member_pool
from burdockcart.process.peers import messages

Fault = member_channel.MemberFault


class Pools(Protocol):
    """The groups of this daemon, as far as the actions need them."""

    def held_pool(
        self, group: ids.GroupId, member: ids.MemberId
    ) -> tuple[groups.Group, member_pool.MemberPool] | None:
        """Return a member's pool of direct connections, if it is known."""


async def run(
    pools: Pools, message: messages.Action
) -> messages.Status | messages.Answered:
    """Query or change the replication state of a member."""
    found = pools.held_pool(message.group, message.member)
    if found is None:
        return _refused(message, "the member is not known")
    _, pool = found
    timeout_s = message.timeout_ms / 1000
    calls: dict[
        str,
        Callable[
            [member_channel.Channel],
            Awaitable[member_channel.MemberStatus | Fault],
        ],
    ] = {
        "observe": lambda each: each.observe(timeout_s),
        "demote": lambda each: each.demote(message.term, timeout_s),
        "hold_replication": lambda each: each.hold_replication(
            message.term, timeout_s
        ),
        "release_replication": lambda each: _release(each, timeout_s),
    }
    call = calls.get(message.action)
    if call is None:
        return _refused(message, f"unknown action {message.action!r}")
    status = await pool.query(call, direct=True)
    if isinstance(status, Fault):
        return _answered(message, status, status.value)
    return messages.Status(
        message.number,
        status.role,
        status.term,
        (status.received.term, status.received.number),
    )


async def _release(
    channel: member_channel.Channel, timeout_s: float
) -> member_channel.MemberStatus | Fault:
    """Resume replication and return the member's status."""
    answer = await channel.release_replication(timeout_s)
    return answer.fault or await channel.observe(timeout_s)


def _refused(message: messages.Action, text: str) -> messages.Answered:
    return _answered(message, Fault.RELAY_REFUSED, text)


def _answered(
    message: messages.Action, fault: Fault, text: str
) -> messages.Answered:
    return messages.answered(
        message.number, member_channel.Answer(fault=fault, text=text)
    )
