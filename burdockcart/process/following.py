"""Return of members that do not follow the primary of their group."""

from typing import Any

import loguru

from burdockcart.process import group_view
from burdockcart.process import member_executor
from burdockcart.process import peer_messages

FOLLOW_TIMEOUT_S = 0.3


def order_for(
    view: group_view.GroupView, state: peer_messages.MemberState
) -> dict[str, Any] | None:
    """Return the ``follow`` request that a member needs, or None.

    Explanation
    ===========

    A primary that returns after a change, or a member that missed
    ``follow``, is recognised by its own state, so no message needs to reach
    it at the time of the change.

    """
    primary = view.primary()
    if primary is None or primary.id == state.member:
        return None
    if state.term > view.term:
        return None
    follows = state.role != group_view.PRIMARY and (
        state.primary == primary.address
    )
    if follows and state.term == view.term:
        return None
    return {"term": view.term, "primary": primary.address}


async def ensure_following(
    executor: member_executor.MemberExecutor,
    view: group_view.GroupView,
    state: peer_messages.MemberState,
) -> None:
    """Tell a member to follow the primary if it does not."""
    order = order_for(view, state)
    if order is None:
        return
    reply = await executor.command("/follow", order, FOLLOW_TIMEOUT_S)
    if reply is not None and reply.get("granted"):
        loguru.logger.info(
            "event=member_follows member={} term={} primary={}",
            state.member,
            order["term"],
            order["primary"],
        )
