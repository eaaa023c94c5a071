"""Connections to members over the line protocol."""

import socket

import loguru
import msgspec
from tornado import iostream

from burdockcart.connection import answer_timeout
from burdockcart.connection import channel_state
from burdockcart.connection.client_limits import memory_budget
from burdockcart.connection import member_channel
from burdockcart.connection import member_session
from burdockcart.connection import sockets
from burdockcart import ids
from burdockcart.platform import response_stream
from burdockcart.platform import wire
from burdockcart.request import command
from burdockcart.request import log_position

#: An answer ends with READY; a refused STARTUP is a single ERROR.
_ANSWER_END = rb"(?:^|\r\n)READY [^\r\n]*\r\n"
_STARTUP_END = rb"^(?:READY|ERROR)[^\r\n]*\r\n"

_CONNECT_FAULT_BY_ERROR: dict[
    type[BaseException] | None, member_channel.MemberFault
] = {
    ConnectionRefusedError: member_channel.MemberFault.REFUSED,
    ConnectionResetError: member_channel.MemberFault.REFUSED,
    TimeoutError: member_channel.MemberFault.SILENT,
}


class WireChannel:
    """One connection to a member; see :class:`member_channel.Channel`."""

    def __init__(
        self,
        stream: response_stream.ResponseStream,
        member: member_channel.MemberAddress,
    ):
        self._stream = stream
        self._member = member
        self._guard = channel_state.CallGuard(
            self.close, stream.closed, member.id
        )

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._guard.closed

    @property
    def free(self) -> bool:
        """Whether it is open, without a transaction or a running call."""
        return self._guard.free

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on it."""
        return self._guard.in_transaction

    def close(self) -> None:
        """Close the connection; the member rolls back an open transaction."""
        self._guard.close()
        self._stream.close()

    @property
    def direct(self) -> bool:
        """Whether it is a connection to the member itself."""
        return True

    def relay_silent(self) -> bool:
        """Return False: nothing relays statements on this connection."""
        return False

    def set_urgency(self, priority: int, goal_s: float, wait_s: float) -> None:
        """Do nothing: statements on a direct connection do not wait."""

    async def _exchange(
        self, lines: list[bytes], timeout_s: float
    ) -> list[member_channel.Answer]:
        """Send statements together and return their answers in order."""
        answers = []
        try:
            async with answer_timeout.AnswerTimeout(timeout_s):
                self._stream.write(b"".join(lines))
                for _ in lines:
                    data = await self._stream.read_until_regex(
                        _ANSWER_END, max_bytes=2 * wire.MAX_MESSAGE_BYTES
                    )
                    answers.append(wire.read_answer(data))
            return answers
        except TimeoutError:
            fault, text = member_channel.MemberFault.SILENT, "no answer"
        except iostream.StreamClosedError as error:
            fault, text = _lost_fault(error), str(error)
        except (wire.ProtocolError, iostream.UnsatisfiableReadError) as error:
            fault, text = member_channel.MemberFault.BROKEN, str(error)
            loguru.logger.warning(
                "event=member_answer_unreadable member={} error={!r}",
                self._member.id,
                text,
            )
        finally:
            self._stream.release()
        self.close()
        missing = len(lines) - len(answers)
        return answers + [_failed_answer(fault, text)] * missing

    async def prepare(
        self, steps: list[member_session.Step], timeout_s: float
    ) -> list[member_channel.Answer]:
        """Run setup statements; return the answers up to the first fault."""
        lines = [
            wire.query_line(wire.PROXY_STATEMENT_ID, wire.step_text(step))
            for step in steps
        ]
        answers: list[member_channel.Answer] = []

        async def send() -> member_channel.Answer:
            received = await self._exchange(lines, timeout_s)
            answers.extend(_up_to_first_fault(received))
            return answers.pop()

        last = await self._guard.call(channel_state.Call.PREPARE, send)
        return answers + [last]

    async def run(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
        prove: bool = False,
    ) -> member_channel.Answer:
        """Run a client's statement outside of a transaction."""
        text = wire.member_text(statement, shape)
        line = wire.query_line(statement.id, text, after)
        checks = _PRIMARY_CHECK_LINES if prove else []

        async def send() -> member_channel.Answer:
            answers = await self._exchange(checks + [line], timeout_s)
            if not prove:
                return answers[0]
            check = _primary_check_result(answers[:2])
            if check.fault is None:
                return answers[2]
            # The last answer tells the state that the connection is left in.
            return msgspec.structs.replace(check, state=answers[2].state)

        return await self._guard.call(channel_state.Call.SINGLE, send)

    async def run_in_transaction(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
    ) -> member_channel.Answer:
        """Run a client's statement in the open transaction, or its COMMIT."""
        commits = statement.kind is command.CommandKind.COMMIT
        return await self._call(
            (
                channel_state.Call.COMMIT
                if commits
                else channel_state.Call.STATEMENT
            ),
            wire.query_line(statement.id, wire.member_text(statement, shape)),
            timeout_s,
        )

    async def begin(
        self,
        read_only: bool,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
    ) -> member_channel.Answer:
        """Begin a transaction."""
        text = "BEGIN READ" if read_only else "BEGIN"
        line = wire.query_line(wire.PROXY_STATEMENT_ID, text, after)
        return await self._call(channel_state.Call.BEGIN, line, timeout_s)

    async def roll_back(self, timeout_s: float) -> member_channel.Answer:
        """Roll back the open transaction."""
        line = wire.query_line(wire.PROXY_STATEMENT_ID, "ROLLBACK")
        return await self._call(channel_state.Call.ROLL_BACK, line, timeout_s)

    async def observe(
        self, timeout_s: float
    ) -> member_channel.MemberStatus | member_channel.MemberFault:
        """Return the member's status; uses none of its slots."""
        # A hold with a term that is not newer changes nothing, and unlike
        # STATUS it is answered although all slots are taken.
        return self._status(await self._control("PAUSE 0", timeout_s))

    async def demote(
        self, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | member_channel.MemberFault:
        """Make the member a replica if it leads a term below ``term``."""
        return self._status(await self._control(f"DEMOTE {term}", timeout_s))

    async def hold_replication(
        self, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | member_channel.MemberFault:
        """Pause replication on a replica until it is released or promoted."""
        return self._status(await self._control(f"PAUSE {term}", timeout_s))

    async def release_replication(
        self, timeout_s: float
    ) -> member_channel.Answer:
        """Resume replication on a replica."""
        return await self._control("RESUME", timeout_s)

    def _status(
        self, answer: member_channel.Answer
    ) -> member_channel.MemberStatus | member_channel.MemberFault:
        if answer.fault is not None:
            return answer.fault
        try:
            return wire.read_status(answer)
        except wire.ProtocolError as error:
            loguru.logger.warning(
                "event=member_state_unreadable member={} error={!r}",
                self._member.id,
                str(error),
            )
            return member_channel.MemberFault.OTHER

    async def _control(
        self, text: str, timeout_s: float
    ) -> member_channel.Answer:
        line = wire.query_line(wire.PROXY_STATEMENT_ID, text)
        return await self._call(channel_state.Call.CONTROL, line, timeout_s)

    async def _call(
        self, call: channel_state.Call, line: bytes, timeout_s: float
    ) -> member_channel.Answer:
        async def send() -> member_channel.Answer:
            return (await self._exchange([line], timeout_s))[0]

        return await self._guard.call(call, send)


#: Only a primary accepts these statements: any other member refuses a
#: transaction that may write.
_PRIMARY_CHECK_LINES = [
    wire.query_line(wire.PROXY_STATEMENT_ID, "BEGIN"),
    wire.query_line(wire.PROXY_STATEMENT_ID, "ROLLBACK"),
]


def _failed_answer(
    fault: member_channel.MemberFault, text: str
) -> member_channel.Answer:
    return member_channel.Answer(fault=fault, text=text)


def _up_to_first_fault(
    answers: list[member_channel.Answer],
) -> list[member_channel.Answer]:
    faults = [place for place, each in enumerate(answers) if each.fault]
    return answers[: faults[0] + 1] if faults else answers


def _primary_check_result(
    answers: list[member_channel.Answer],
) -> member_channel.Answer:
    """Return the answer to BEGIN, or the one that reports a fault."""
    begun, ended = answers
    if begun.fault is not None:
        return begun
    if begun.state is not member_channel.TransactionState.OPEN:
        return _failed_answer(
            member_channel.MemberFault.BROKEN, "no transaction"
        )
    return begun if ended.fault is None else ended


def _lost_fault(
    error: iostream.StreamClosedError,
) -> member_channel.MemberFault:
    """Return why a connection was lost.

    One that the kernel ended because nothing was acknowledged proves no more
    than silence.
    """
    if isinstance(error.real_error, TimeoutError):
        return member_channel.MemberFault.SILENT
    if isinstance(error.real_error, response_stream.NoMemory):
        # This says nothing about the member.
        return member_channel.MemberFault.OTHER
    return member_channel.MemberFault.BROKEN


def _connect_fault(
    error: iostream.StreamClosedError,
) -> member_channel.MemberFault:
    cause = None if error.real_error is None else type(error.real_error)
    return _CONNECT_FAULT_BY_ERROR.get(
        cause, member_channel.MemberFault.BROKEN
    )


def _no_socket(
    member: member_channel.MemberAddress, error: OSError
) -> member_channel.MemberFault:
    """Log that this process has no descriptor left; return the fault."""
    loguru.logger.error(
        "event=no_socket member={} error={!r}", member.id, str(error)
    )
    return member_channel.MemberFault.OTHER


class WireConnector:
    """Opens connections to members over the line protocol.

    Parameters
    ==========

    memory : Memory or None
        Accounts large responses; None for no limit.

    """

    def __init__(self, memory: memory_budget.Memory | None = None):
        self._memory = memory or memory_budget.Unlimited()

    async def detour(
        self,
        member: member_channel.MemberAddress,
        account: ids.AccountName | None = None,
    ) -> member_channel.Channel | None:
        """Return None: this connector knows direct connections only."""
        return None

    async def reach(
        self, member: member_channel.MemberAddress, timeout_s: float
    ) -> member_channel.MemberFault | None:
        """Return why a member accepts no connection; None if it accepts."""
        host, _, port = member.address.rpartition(":")
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            return _no_socket(member, error)
        stream = iostream.IOStream(connection)
        try:
            async with answer_timeout.AnswerTimeout(timeout_s):
                await stream.connect((host, int(port)))
        except TimeoutError:
            return member_channel.MemberFault.SILENT
        except iostream.StreamClosedError as error:
            return _connect_fault(error)
        finally:
            stream.close()
        return None

    async def connect(
        self,
        member: member_channel.MemberAddress,
        timeout_s: float,
        account: ids.AccountName | None = None,
    ) -> member_channel.Channel | member_channel.MemberFault:
        """Open a connection and check that the expected member answers."""
        host, _, port = member.address.rpartition(":")
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            return _no_socket(member, error)
        sockets.enable_dead_peer_detection(connection)
        stream = response_stream.ResponseStream(
            connection, self._memory, 4 * wire.MAX_MESSAGE_BYTES
        )
        try:
            async with answer_timeout.AnswerTimeout(timeout_s):
                await stream.connect((host, int(port)))
                stream.write(wire.startup_line(member, account))
                data = await stream.read_until_regex(
                    _STARTUP_END, max_bytes=wire.MAX_MESSAGE_BYTES
                )
                stream.release()
            answer = wire.read_answer(data)
        except TimeoutError:
            stream.close()
            return member_channel.MemberFault.SILENT
        except iostream.StreamClosedError as error:
            stream.close()
            return _connect_fault(error)
        except (wire.ProtocolError, iostream.UnsatisfiableReadError) as error:
            stream.close()
            loguru.logger.warning(
                "event=member_answer_unreadable member={} error={!r}",
                member.id,
                str(error),
            )
            return member_channel.MemberFault.OTHER
        if answer.fault is not None:
            stream.close()
            return answer.fault
        return WireChannel(stream, member)
