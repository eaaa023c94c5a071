"""Builds and reads an executor's answers to a forwarded statement."""

from typing import Any

from burdockcart import clock
from burdockcart.connection import session_token
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import groups
from burdockcart.process import peer_messages
from burdockcart.request import outcome
from burdockcart.version import rows


def refusal(failure: errors.Failure) -> peer_messages.Refused:
    """Return the message that reports a failure."""
    return peer_messages.Refused(
        failure.kind.value, failure.message, failure.retry_after_ms
    )


def failure_from(message: peer_messages.Refused) -> errors.Failure:
    """Return the failure that a message carries."""
    return errors.Failure(
        errors.ErrorKind(message.kind), message.message, message.retry_after_ms
    )


def executed_from(
    member: ids.MemberId, reply: dict[str, Any]
) -> peer_messages.Executed:
    """Return the message that reports a member's answer."""
    return peer_messages.Executed(
        member=member,
        result=reply["result"],
        role=reply["role"],
        term=reply["term"],
        log_term=reply["log_term"],
        position=reply["position"],
    )


def diverged(
    state: peer_messages.MemberState, mark: session_token.Mark
) -> peer_messages.Refused:
    """Return the refusal of a session whose writes were discarded."""
    starts = [start for term, start in state.history if term > mark.term]
    text = (
        f"the session is at position {mark.position} of term {mark.term}, "
        f"a later term starts at position {min(starts)}"
    )
    kind = errors.ErrorKind.SESSION_DIVERGED
    return refusal(errors.Failure(kind, text))


def stage_of(body: peer_messages.Message) -> outcome.Stage:
    """Return the stage that a statement with this answer reached."""
    if isinstance(body, peer_messages.Redirect):
        return outcome.Stage.ANSWERED if body.ran else outcome.Stage.REFUSED
    if isinstance(body, peer_messages.Refused):
        return outcome.stage_of(failure_from(body))
    return outcome.Stage.ANSWERED


class Acknowledger:
    """Confirms the term of a write before it is acknowledged."""

    def __init__(self, served_groups: groups.Groups, time: clock.Clock):
        self._groups = served_groups
        self._clock = time

    async def confirm(
        self,
        group: ids.GroupId,
        executed: peer_messages.Executed,
        acknowledge: rows.Acknowledge,
        arrived: float,
        deadline: float,
    ) -> peer_messages.Message:
        """Return the answer to a write, or a refusal if it is not confirmed.

        The caller must return the message without awaiting anything else.

        """
        confirmer = self._groups.confirmer_by_group.get(group)
        sent_at = None
        if confirmer is not None:
            sent_at = await confirmer.acknowledge(
                executed.term, executed.position, acknowledge, deadline
            )
        if sent_at is None:
            text = "the primary's term was not confirmed"
            return refusal(
                errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, text)
            )
        return peer_messages.Executed(
            member=executed.member,
            result=executed.result,
            role=executed.role,
            term=executed.term,
            log_term=executed.log_term,
            position=executed.position,
            transaction=executed.transaction,
            group=group,
            confirmed_after_ms=max(sent_at - arrived, 0.0) * 1000,
        )
