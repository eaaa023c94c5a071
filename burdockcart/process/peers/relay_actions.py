"""Queries and changes of members' replication for other daemons."""

from typing import Protocol

from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.peers import messages

Fault = member_channel.MemberFault
Result = member_channel.MemberStatus | member_channel.MemberFault


class Pools(Protocol):
    """The groups of this daemon, as far as actions need them."""

    def held_pool(
        self, group: ids.GroupId, member: ids.MemberId
    ) -> tuple[groups.Group, member_pool.MemberPool] | None:
        """Return a member's pool of direct connections, if it is known."""


async def act(pools: Pools, message: messages.Action) -> messages.Reply:
    """Query or change the replication state of a member."""
    found = pools.held_pool(message.group, message.member)
    if found is None:
        return _refusal(message, "the member is not known")
    timeout_s = message.timeout_ms / 1000
    calls = {
        "observe": lambda each: each.observe(timeout_s),
        "demote": lambda each: each.demote(message.term, timeout_s),
        "hold_replication": lambda each: each.hold_replication(
            message.term, timeout_s
        ),
        "release_replication": lambda each: _release(each, timeout_s),
    }
    call = calls.get(message.action)
    if call is None:
        return _refusal(message, f"unknown action {message.action!r}")
    status = await found[1].query(call, direct=True)
    if isinstance(status, member_channel.MemberStatus):
        return messages.Status(
            message.number,
            status.role,
            status.term,
            (status.received.term, status.received.number),
            status.held_term,
        )
    return messages.answered(
        message.number,
        member_channel.Answer(fault=status, text=status.value),
    )


async def _release(
    channel: member_channel.Channel, timeout_s: float
) -> Result:
    """Resume replication and return the member's status."""
    answer = await channel.release_replication(timeout_s)
    return answer.fault or await channel.observe(timeout_s)


def _refusal(message: messages.Action, text: str) -> messages.Answered:
    return messages.answered(
        message.number,
        member_channel.Answer(fault=Fault.RELAY_REFUSED, text=text),
    )
