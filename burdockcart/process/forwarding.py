"""Sends a caller's statement to an executor and reads the answer."""

import asyncio

from returns import result

from burdockcart import clock
from burdockcart.connection import session_token
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import answers
from burdockcart.process import executors
from burdockcart.process import groups
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.request import acknowledgement
from burdockcart.request import outcome
from burdockcart.request import statement

#: Seconds between the checks of a waiting entry that the executor is alive.
LIVENESS_CHECK_S = 0.1
#: Milliseconds by which the executor's deadline precedes the entry's, so that
#: its refusal arrives in time and proves that nothing ran.
ANSWER_MARGIN_MS = 10.0

_Kind = errors.ErrorKind
_Stage = outcome.Stage
Executed = result.Result[peer_messages.Executed, errors.Failure]


class Forwarder:
    """Forwards :class:`Execute` messages to other daemons."""

    def __init__(
        self,
        own: executors.Daemon,
        directory: executors.Directory,
        peers: peer_transport.Peers,
        served_groups: groups.Groups,
        tokens: session_token.SessionTokens,
        time: clock.Clock,
    ):
        self._own = own
        self._directory = directory
        self._peers = peers
        self._groups = served_groups
        self._tokens = tokens
        self._clock = time

    async def attempt(
        self, daemon: ids.DaemonId, message: peer_messages.Execute
    ) -> tuple[outcome.Stage, Executed]:
        """Send a statement once; return its stage and the answer.

        A successful answer must be returned to the caller without awaiting
        anything else.

        """
        sent_at = self._clock.now()
        reply = await self._ask(daemon, message)
        if isinstance(reply, result.Failure):
            if reply.failure() is peer_transport.PeerFault.NOT_SENT:
                text = f"{daemon} was not reached"
                return _Stage.NOT_SENT, _fail(_Kind.NO_PRIMARY, text)
            text = f"no answer from {daemon}"
            return _Stage.SENT, _fail(_Kind.OUTCOME_UNKNOWN, text)
        body = reply.unwrap()
        stage = answers.stage_of(body)
        if isinstance(body, peer_messages.Executed):
            if self._valid(body, sent_at):
                return stage, result.Success(body)
            text = "the confirmation is too old"
            return stage, _fail(_Kind.OUTCOME_UNKNOWN, text)
        if isinstance(body, peer_messages.Refused):
            return stage, result.Failure(answers.failure_from(body))
        if isinstance(body, peer_messages.Redirect) and body.state:
            self._learn(message.group, body.state)
        if stage is _Stage.REFUSED:
            text = f"{message.member} no longer serves the statement"
            return stage, _fail(_Kind.NO_PRIMARY, text)
        text = f"the answer of {message.member} must not be used"
        return stage, _fail(_Kind.OUTCOME_UNKNOWN, text)

    def answer(
        self,
        request_id: ids.RequestId,
        daemon: ids.DaemonId,
        marks: session_token.Marks,
        group: ids.GroupId,
        body: peer_messages.Executed,
    ) -> result.Result[statement.Answer, errors.Failure]:
        """Return the caller's answer with its new session token."""
        served_by = statement.ServedBy(
            self._own.id,
            daemon,
            body.member,
            group,
            body.role,
            body.term,
            body.position,
        )
        issued = self._tokens.issue(marks)
        if isinstance(issued, result.Failure):
            # The statement ran, so the error must not say "not run".
            text = issued.failure().message
            return result.Failure(errors.Failure(_Kind.INTERNAL, text))
        return result.Success(
            statement.Answer(
                request_id,
                issued.unwrap(),
                body.result,
                served_by,
                body.age_ms,
                body.transaction,
            )
        )

    async def _ask(
        self, daemon: ids.DaemonId, message: peer_messages.Execute
    ) -> peer_transport.Reply:
        timeout_s = (message.deadline_ms + ANSWER_MARGIN_MS) / 1000
        task = asyncio.ensure_future(
            self._peers.request(daemon, message, timeout_s)
        )
        try:
            while not task.done():
                await asyncio.wait([task], timeout=LIVENESS_CHECK_S)
                if not task.done() and not self._is_live(daemon):
                    return result.Failure(peer_transport.PeerFault.NO_ANSWER)
            return task.result()
        finally:
            task.cancel()

    def _learn(
        self, group: ids.GroupId, state: peer_messages.MemberState
    ) -> None:
        # Used only for a new primary or term: the position may be outdated.
        view = self._groups.view_by_group.get(group)
        if view is not None and (
            view.primary() is None or state.term > view.term
        ):
            self._groups.learn([state], self._clock.now())

    def _is_live(self, daemon: ids.DaemonId) -> bool:
        return daemon == self._own.id or daemon in self._directory.others()

    def _valid(self, body: peer_messages.Executed, sent_at: float) -> bool:
        """Return whether the confirmation of a write is still valid.

        The request arrived at the executor after ``sent_at``, so the age
        counted from ``sent_at`` is never below the true age, even if this
        process was paused.

        """
        if body.confirmed_after_ms is None:
            return True
        confirmed_at = sent_at + body.confirmed_after_ms / 1000
        age = self._clock.now() - confirmed_at
        return age <= acknowledgement.CONFIRMATION_VALID_S


def _fail(
    kind: errors.ErrorKind, message: str
) -> result.Result[peer_messages.Executed, errors.Failure]:
    return result.Failure(errors.Failure(kind, message))
