"""Makes members replicate from the current primary of their group."""

from typing import Any

import loguru

from burdockcart.process import group_view
from burdockcart.process import member_executor
from burdockcart.process import peer_messages

FOLLOW_TIMEOUT_S = 0.3


def follow_request(
    view: group_view.GroupView, state: peer_messages.MemberState
) -> dict[str, Any] | None:
    """Return the ``follow`` request that a member needs, or None.

    Explanation
    ===========

    A former primary that returns, or a member that missed ``follow``, is
    detected by the state that it reports, so it need not be reachable when
    the primary changes.

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
    """Tell a member to follow the current primary if it does not."""
    request = follow_request(view, state)
    if request is None:
        return
    reply = await executor.command("/follow", request, FOLLOW_TIMEOUT_S)
    if reply is not None and reply.get("granted"):
        loguru.logger.info(
            "event=member_follows member={} term={} primary={}",
            state.member,
            request["term"],
            request["primary"],
        )
