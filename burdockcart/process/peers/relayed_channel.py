"""Connection to a member by way of one of its holders."""

from typing import Callable

from burdockcart import clock
from burdockcart.connection import channel_state
from burdockcart.connection import member_channel
from burdockcart.connection import member_session
from burdockcart import ids
from burdockcart.process.peers import holder_link
from burdockcart.process.peers import messages
from burdockcart.request import command
from burdockcart.request import log_position
from burdockcart.request import member_evidence

#: Added to the time that a member has for an answer, in seconds: the way to
#: the holder and back.
HOP_S = 0.02
#: Time that a statement has for its latency goal if none was given.
DEFAULT_WAIT_MS = 300

Fault = member_channel.MemberFault
Call = channel_state.Call

#: Answers of a holder that has no way to the member.
_NO_WAY = frozenset({Fault.REFUSED, Fault.RELAY_REFUSED})


class RelayedChannel:
    """One statement or transaction at a time; see :class:`Channel`.

    Explanation
    ===========

    The holder chooses a connection for each statement outside of a
    transaction, and prepares it; so the steps that prepare a session are kept
    here and sent with the statement.

    Parameters
    ==========

    chosen : callable
        Returns whether the holder is still the one to relay through.
    use_sample : callable
        Called with the group, the boot-clock time of a request, and the
        holder's sample in the answer to it.
    use_call : callable
        Called with the group and the open promotion call in an answer.
    avoid : callable
        Called when the holder does not reach the member.
    account : AccountName or None
        Client account whose statements are relayed.
    last_resort : bool
        Whether the holder may be leaving.
    full : callable
        Called when the holder had no connection for a statement in time.
    use_evidence : callable
        Called with what the holder knows of the group's members.

    """

    def __init__(
        self,
        link: holder_link.HolderLink,
        member: member_channel.MemberAddress,
        chosen: Callable[[], bool],
        boot_clock: clock.Clock,
        use_sample: Callable[[ids.GroupId, float, tuple[int, int, int]], None],
        use_call: Callable[
            [ids.GroupId, tuple[ids.MemberId, int, ids.StorePosition]], None
        ],
        avoid: Callable[[], None],
        account: ids.AccountName | None = None,
        last_resort: bool = False,
        full: Callable[[], None] = lambda: None,
        use_evidence: Callable[
            [tuple[member_evidence.MemberEvidence, ...]], None
        ] = lambda evidence: None,
    ):
        self._use_evidence = use_evidence
        self._full = full
        self._account = account
        self._last_resort = last_resort
        self._avoid = avoid
        self._chosen = chosen
        self._boot_clock = boot_clock
        self._use_sample = use_sample
        self._use_call = use_call
        self._link = link
        self._member = member
        self._value_by_name: dict[str, str] = {}
        #: Transaction that the holder may have open for this channel.
        self._transaction: int | None = None
        self._urgency = messages.Urgency(wait_ms=DEFAULT_WAIT_MS)
        self._guard = channel_state.CallGuard(
            self.close, lambda: link.is_closed, member.id
        )

    @property
    def closed(self) -> bool:
        """Whether the connection has ended.

        An unused one also ends when its holder leaves or falls silent, or
        when another holder may have to be chosen.
        """
        if self._guard.closed:
            return True
        if self._transaction is not None:
            return False
        return not (
            self._link.takes_work(self._last_resort) and self._chosen()
        )

    @property
    def free(self) -> bool:
        """Whether it is open, without a transaction or a running call."""
        return self._guard.free

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on it."""
        return self._guard.in_transaction

    @property
    def in_use(self) -> bool:
        """Whether a statement or transaction runs on it."""
        return not (self._guard.free or self._guard.closed)

    def close(self) -> None:
        """End the transaction, whatever its state."""
        self._guard.close()
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._link.discard_transaction(transaction)

    @property
    def direct(self) -> bool:
        """Whether it is a connection to the member itself."""
        return False

    def relay_silent(self) -> bool:
        """Return whether the holder is silent."""
        return self._link.is_closed or self._link.suspect()

    def set_urgency(self, priority: int, goal_s: float, wait_s: float) -> None:
        """Set how the next statements are ordered at the holder."""
        self._urgency = messages.Urgency(
            priority, int(goal_s * 1000), max(int(wait_s * 1000), 1)
        )

    async def _request(
        self, build: Callable[[int], messages.Request], timeout_s: float
    ) -> member_channel.Answer:
        """Send a request; return the answer or the fault of the relay."""
        sent_at = self._boot_clock.now()
        try:
            reply = await self._link.request(build, timeout_s + HOP_S)
        except TimeoutError:
            self.close()
            if self._link.suspect():
                return _fault(Fault.RELAY_LOST, "the holder is silent")
            return _fault(Fault.SILENT, "no answer")
        if isinstance(reply, messages.Answered):
            if reply.sample is not None:
                self._use_sample(self._member.group, sent_at, reply.sample)
            if reply.call is not None:
                self._use_call(self._member.group, reply.call)
            if reply.evidence is not None:
                self._use_evidence(reply.evidence)
            answer = messages.read_answer(reply)
            if reply.fault in _NO_WAY:
                if reply.fault is Fault.RELAY_REFUSED and (
                    self._guard.in_transaction
                ):
                    # The holder rolls back with the close.
                    answer = _fault(Fault.ROLLED_BACK, reply.text)
                self.close()
                self._avoid()
            elif reply.fault is Fault.QUEUE_FULL and (
                self._account is not None and not self._guard.in_transaction
            ):
                # The account's next statement goes through another holder.
                self.close()
                self._full()
            return answer
        self.close()
        return _fault(Fault.RELAY_LOST, "the link to the holder ended")

    async def _call(
        self,
        call: channel_state.Call,
        build: Callable[[int], messages.Request],
        timeout_s: float,
    ) -> member_channel.Answer:
        answer = await self._guard.call(
            call, lambda: self._request(build, timeout_s)
        )
        if self._transaction is not None and self._guard.free:
            self._link.transaction_ended(self._transaction)
            self._transaction = None
        return answer

    async def prepare(
        self, steps: list[member_session.Step], timeout_s: float
    ) -> list[member_channel.Answer]:
        """Keep the session's state for the next statement."""
        for step in steps:
            if step.kind is member_session.StepKind.RESET:
                self._value_by_name = {}
            elif step.kind is member_session.StepKind.SET:
                self._value_by_name[step.name] = step.value
        if self._guard.closed:
            return [channel_state.not_sent("the connection has ended")]
        return [member_channel.Answer() for _ in steps]

    async def run(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
        prove: bool = False,
    ) -> member_channel.Answer:
        """Run a client's statement outside of a transaction."""

        def build(number: int) -> messages.Request:
            return messages.Run(
                number,
                self._member.group,
                self._member.id,
                messages.statement_of(statement, shape, self._value_by_name),
                messages.position_pair(after),
                prove,
                int(timeout_s * 1000),
                self._urgency,
                self._account,
            )

        return await self._call(Call.SINGLE, build, timeout_s)

    async def run_in_transaction(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
    ) -> member_channel.Answer:
        """Run a client's statement in the open transaction, or its COMMIT."""

        def build(number: int) -> messages.Request:
            assert self._transaction is not None
            return messages.RunInTransaction(
                number,
                self._transaction,
                messages.statement_of(statement, shape, self._value_by_name),
                int(timeout_s * 1000),
            )

        commits = statement.kind is command.CommandKind.COMMIT
        return await self._call(
            Call.COMMIT if commits else Call.STATEMENT, build, timeout_s
        )

    async def begin(
        self,
        read_only: bool,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
    ) -> member_channel.Answer:
        """Begin a transaction on a connection of its own."""
        wait_s = self._urgency.wait_ms / 1000

        def build(number: int) -> messages.Request:
            self._transaction = self._link.new_transaction()
            return messages.Begin(
                number,
                self._member.group,
                self._member.id,
                self._transaction,
                read_only,
                self._value_by_name,
                messages.position_pair(after),
                int(timeout_s * 1000),
                self._urgency,
                self._account,
            )

        return await self._call(Call.BEGIN, build, timeout_s + wait_s)

    async def roll_back(self, timeout_s: float) -> member_channel.Answer:
        """Roll back the open transaction; the holder keeps the connection."""

        def build(number: int) -> messages.Request:
            assert self._transaction is not None
            return messages.RollBack(
                number, self._transaction, int(timeout_s * 1000)
            )

        return await self._call(Call.ROLL_BACK, build, timeout_s)

    async def observe(
        self, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        """Ask for the member's status; takes none of its slots."""
        return await self._status("observe", 0, timeout_s)

    async def demote(
        self, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        """Make the member a replica if it leads a term below ``term``."""
        return await self._status("demote", term, timeout_s)

    async def hold_replication(
        self, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        """Pause replication on a replica until it is released."""
        return await self._status("hold_replication", term, timeout_s)

    async def _status(
        self, action: str, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        found: list[member_channel.MemberStatus] = []

        async def send() -> member_channel.Answer:
            try:
                reply = await self._link.request(
                    lambda number: self._action(
                        number, action, term, timeout_s
                    ),
                    timeout_s + HOP_S,
                )
            except TimeoutError:
                silent = self._link.suspect()
                return _fault(
                    Fault.RELAY_LOST if silent else Fault.SILENT, "no answer"
                )
            if isinstance(reply, messages.Status):
                received = log_position.LogPosition(*reply.received)
                found.append(
                    member_channel.MemberStatus(
                        reply.role, reply.term, received, reply.held_term
                    )
                )
                return member_channel.Answer()
            if isinstance(reply, messages.Answered):
                return messages.read_answer(reply)
            return _fault(Fault.RELAY_LOST, "the link to the holder ended")

        answer = await self._guard.call(Call.CONTROL, send)
        return answer.fault or (found[0] if found else Fault.RELAY_LOST)

    def _action(
        self, number: int, action: str, term: int, timeout_s: float
    ) -> messages.Action:
        return messages.Action(
            number,
            self._member.group,
            self._member.id,
            action,
            term,
            int(timeout_s * 1000),
        )

    async def release_replication(
        self, timeout_s: float
    ) -> member_channel.Answer:
        """Resume replication on a replica."""
        status = await self._status("release_replication", 0, timeout_s)
        if isinstance(status, Fault):
            return _fault(status, status.value)
        return member_channel.Answer()


def _fault(fault: Fault, text: str) -> member_channel.Answer:
    return member_channel.Answer(fault=fault, text=text)
