"""State of a member connection: which calls fit it, and what answers change.

Explanation
===========

Invariant: a statement of a transaction is sent only on a connection whose
transaction is known to be open, and any other statement only on one without a
transaction.  What does not fit is not sent.  A connection whose state is not
known, or not the expected one, is closed, which rolls back.

"""

import enum
from typing import Awaitable
from typing import Callable

import loguru
import msgspec

from burdockcart.connection import member_channel
from burdockcart import ids

_Fault = member_channel.MemberFault
_State = member_channel.TransactionState


class Phase(enum.Enum):
    """What a connection is used for."""

    FREE = "free"
    BEGINNING = "beginning a transaction"
    IN_TRANSACTION = "in a transaction"
    FAILED = "in a failed transaction"
    ENDING = "ending a transaction"
    CLOSED = "closed"


class Call(enum.Enum):
    """Kind of a call to a member."""

    CONTROL = "control"
    PREPARE = "prepare"
    SINGLE = "single statement"
    BEGIN = "begin"
    STATEMENT = "statement of a transaction"
    COMMIT = "commit"
    ROLL_BACK = "roll back"


_FITTING = {
    Call.CONTROL: {Phase.FREE},
    Call.PREPARE: {Phase.FREE, Phase.IN_TRANSACTION},
    Call.SINGLE: {Phase.FREE},
    Call.BEGIN: {Phase.FREE},
    Call.STATEMENT: {Phase.IN_TRANSACTION},
    Call.COMMIT: {Phase.IN_TRANSACTION},
    Call.ROLL_BACK: {Phase.IN_TRANSACTION, Phase.FAILED},
}
#: Phase while a call runs, if it differs from the one before.
_WHILE = {
    Call.BEGIN: Phase.BEGINNING,
    Call.COMMIT: Phase.ENDING,
    Call.ROLL_BACK: Phase.ENDING,
}
#: State of the member's connection after the success of a call.
_STATE_AFTER = {
    Call.CONTROL: _State.IDLE,
    Call.SINGLE: _State.IDLE,
    Call.BEGIN: _State.OPEN,
    Call.STATEMENT: _State.OPEN,
    Call.COMMIT: _State.IDLE,
    Call.ROLL_BACK: _State.IDLE,
}
_PHASE_OF = {_State.IDLE: Phase.FREE, _State.OPEN: Phase.IN_TRANSACTION}
#: Phase after a refused statement of a transaction, or a refused COMMIT; in
#: no transaction, it is not known whether the other side has ended it.
_PHASE_REFUSED = {
    _State.IDLE: Phase.CLOSED,
    _State.OPEN: Phase.IN_TRANSACTION,
    _State.FAILED: Phase.FAILED,
}
_WITH_TRANSACTION = frozenset(
    {Phase.IN_TRANSACTION, Phase.FAILED, Phase.ENDING}
)
#: Calls whose success says nothing about what the connection does next; it
#: holds even if it arrives after the connection was closed.
_FINAL = frozenset({Call.SINGLE, Call.COMMIT, Call.ROLL_BACK, Call.CONTROL})
#: Calls after whose refusal the connection is as it was before.
_HARMLESS = frozenset({Call.CONTROL, Call.SINGLE, Call.BEGIN})


def judge(
    call: Call, before: Phase, answer: member_channel.Answer
) -> tuple[Phase, member_channel.Answer]:
    """Return the phase after an answer, and the answer to report.

    Parameters
    ==========

    before : Phase
        Phase before the call.

    Examples
    ========

    >>> from burdockcart.connection import channel_state
    >>> from burdockcart.connection import member_channel
    >>> phase, answer = channel_state.judge(
    ...     channel_state.Call.STATEMENT,
    ...     channel_state.Phase.IN_TRANSACTION,
    ...     member_channel.Answer(),
    ... )
    >>> phase.value, answer.fault.value
    ('closed', 'ran outside of its transaction')

    """
    if answer.fault in member_channel.NO_ANSWER:
        return Phase.CLOSED, answer
    if answer.fault is None:
        expected = _STATE_AFTER.get(call)
        if expected is None:
            expected = _State.IDLE if before is Phase.FREE else _State.OPEN
        if answer.state is expected:
            return _PHASE_OF[expected], answer
        return Phase.CLOSED, _unexpected(call, answer)
    if call in _HARMLESS:
        phase = Phase.FREE if answer.state is _State.IDLE else Phase.CLOSED
        return phase, answer
    if call is Call.PREPARE or call is Call.ROLL_BACK:
        return Phase.CLOSED, answer
    return _PHASE_REFUSED[answer.state], answer


def _unexpected(
    call: Call, answer: member_channel.Answer
) -> member_channel.Answer:
    """Return the fault for a success that left an unexpected state."""
    fault = _Fault.BROKEN
    if call in (Call.SINGLE, Call.STATEMENT):
        fault = _Fault.OUTSIDE
    return msgspec.structs.replace(
        answer,
        fault=fault,
        text=f"state {answer.state.value} after {call.value}",
    )


def not_sent(text: str) -> member_channel.Answer:
    """Return the answer to a call that was not sent."""
    return member_channel.Answer(fault=_Fault.NOT_SENT, text=text)


class CallGuard:
    """Lets only fitting calls through, one at a time.

    Parameters
    ==========

    close : callable
        Closes the connection; calls :meth:`close`.
    lost : callable
        Returns whether the connection has ended by itself.
    member : MemberId or None
        Member that the log names.

    """

    def __init__(
        self,
        close: Callable[[], None],
        lost: Callable[[], bool],
        member: ids.MemberId | None = None,
    ) -> None:
        self.phase = Phase.FREE
        self._member = member
        self._close = close
        self._lost = lost
        self._running: Call | None = None

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self.phase is Phase.CLOSED or self._lost()

    @property
    def free(self) -> bool:
        """Whether it is open, without a transaction or a running call."""
        return (
            self.phase is Phase.FREE
            and self._running is None
            and not self._lost()
        )

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open, or a statement of it runs."""
        return self.phase in _WITH_TRANSACTION and not self._lost()

    def close(self) -> None:
        """Record that the connection ends."""
        self.phase = Phase.CLOSED

    async def call(
        self,
        call: Call,
        send: Callable[[], Awaitable[member_channel.Answer]],
    ) -> member_channel.Answer:
        """Send a call if it fits the state, and check its answer."""
        before = self.phase
        if self._lost():
            self._close()
            ended = not_sent("the connection has ended")
            if before is Phase.IN_TRANSACTION:
                return msgspec.structs.replace(ended, fault=_Fault.ROLLED_BACK)
            return ended
        if self._running is not None:
            return not_sent(f"the connection runs a {self._running.value}")
        if before not in _FITTING[call]:
            return not_sent(f"{call.value}: the connection is {before.value}")
        self._running, self.phase = call, _WHILE.get(call, before)
        try:
            answer = await send()
        except BaseException:
            # An answer that comes later would be taken for that of the next
            # call.
            self._close()
            raise
        finally:
            self._running = None
        if self.phase is Phase.CLOSED:
            return _after_close(call, answer)
        succeeded = answer.fault is None
        self.phase, answer = judge(call, before, answer)
        if succeeded and answer.fault is not None:
            loguru.logger.warning(
                "event=transaction_state_unexpected member={} call={!r} "
                "before={!r} state={}",
                self._member,
                call.value,
                before.value,
                answer.state.value,
            )
        if self.phase is Phase.CLOSED:
            # The phase counts only once the connection itself is closed.
            self.phase = before
            self._close()
        return answer


def _after_close(
    call: Call, answer: member_channel.Answer
) -> member_channel.Answer:
    """Return what an answer means that came after the connection's end.

    The member has rolled the transaction back, unless the answer is that to
    its COMMIT, which tells what became of it.
    """
    if answer.fault is not None or call in _FINAL:
        return answer
    return member_channel.Answer(
        fault=_Fault.BROKEN, text="the connection was closed meanwhile"
    )
