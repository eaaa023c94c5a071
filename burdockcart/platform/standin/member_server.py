"""Sockets in front of an emulated member, which speaks the line protocol."""

import asyncio
import enum
import re
import time

from burdockcart.connection import channel_state
from burdockcart.connection import member_channel
from burdockcart.connection import member_session
from burdockcart.emulator import host_link
from burdockcart.emulator import wire_channel
from burdockcart.emulator import wire_member
from burdockcart import ids
from burdockcart.platform import wire
from burdockcart.request import command
from burdockcart.request import log_position

Fault = member_channel.MemberFault
State = member_channel.TransactionState

#: Time after which the member gives up a statement, in seconds.
STATEMENT_TIMEOUT_S = 2.0
#: Time that a new connection holds a slot, in seconds.
HANDSHAKE_S = 0.012
LINK_DELAY_S = 0.15
LINK_POLL_S = 0.05
_SLOW = re.compile(r"\bslow-(\d+)-")
_WORD_BY_FAULT = {
    Fault.QUEUE_FULL: "BUSY",
    Fault.BEHIND: "LAGGING",
    Fault.NOT_PRIMARY: "READONLY",
    Fault.UNKNOWN_NAME: "UNKNOWN",
}
_LETTER_BY_STATE = {State.IDLE: "I", State.OPEN: "T", State.FAILED: "E"}


class LinkFault(enum.Enum):
    """What the network between the daemons and a member does."""

    NONE = "none"
    DELAYED = "delayed"
    #: Neither requests nor answers arrive.
    SILENT = "silent"
    #: Requests arrive and run, answers do not arrive.
    ANSWERS_LOST = "answers lost"


class ServedChannel(wire_channel.EmulatedChannel):
    """Channel whose socket ends with it."""

    def __init__(
        self,
        member: wire_member.EmulatedMember,
        writer: asyncio.StreamWriter,
    ):
        super().__init__(member, 0.0, set(), host_link.HostLink())
        self._writer = writer
        self.shape_by_name: dict[str, command.Shape] = {}

    async def _call(
        self,
        call: channel_state.Call,
        work: wire_channel.Work,
        timeout_s: float,
    ) -> member_channel.Answer:
        """Run whatever arrives; only a daemon's own end of it is guarded."""
        return await self._send(work, timeout_s)

    def close(self) -> None:
        """Close the connection and its socket."""
        super().close()
        self._writer.transport.abort()


class MemberServer:
    """Listener of one member.

    Parameters
    ==========

    received_at_by_id : dict of str to float
        Filled with the time at which a client's statement arrived.

    """

    def __init__(
        self,
        member: wire_member.EmulatedMember,
        service: str,
        host: str,
        port: int,
        received_at_by_id: dict[str, float],
    ):
        self.member = member
        self.address = f"{host}:{port}"
        self.link = LinkFault.NONE
        self.started_ms = int(time.time() * 1000)
        self._service = service
        self._host, self._port = host, port
        self._received_at_by_id = received_at_by_id
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for daemons."""
        self._server = await asyncio.start_server(
            self._accept, self._host, self._port, reuse_address=True
        )

    def crash(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.member.crash()
        for task in self._tasks:
            task.cancel()

    def reset_connections(self) -> None:
        """Reset all connections; new ones succeed."""
        for channel in list(self.member.connections):
            channel.close()

    async def _cross(self, *cut_by: LinkFault) -> None:
        """Wait until the network passes a message on."""
        if self.link is LinkFault.DELAYED:
            await asyncio.sleep(LINK_DELAY_S)
        while self.link in cut_by:
            await asyncio.sleep(LINK_POLL_S)

    async def restart(self) -> None:
        """Come back with the log that the member had."""
        self.member.crashed = False
        primary = self.member.group.primary
        if primary is not self.member:
            self.member.follow(primary)
        await self.start()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError, wire.ProtocolError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = (await reader.readline()).decode().split()
        await self._cross(LinkFault.SILENT)
        member = self.member
        named = fields[1:2] == [self._service]
        if not named or fields[3:4] not in ([], [member.id]):
            writer.write(b"ERROR WRONGNODE another member\r\n")
            await writer.drain()
            return
        await member.handshake(HANDSHAKE_S)
        if len(member.connections) >= member.connection_limit:
            writer.write(b"ERROR TOOMANYCON no connection is left\r\n")
            await writer.drain()
            return
        channel = ServedChannel(member, writer)
        writer.write(_ready(channel))
        try:
            while line := await reader.readline():
                await self._cross(LinkFault.SILENT)
                if channel.closed:
                    return
                answer = await self._answer(channel, line.decode().rstrip())
                await self._cross(LinkFault.SILENT, LinkFault.ANSWERS_LOST)
                if channel.closed:
                    return
                writer.write(answer)
                await writer.drain()
        finally:
            channel.close()

    async def _answer(self, channel: ServedChannel, line: str) -> bytes:
        """Run one statement and return the lines of its answer."""
        _, statement_id, text = line.split(" ", 2)
        if statement_id != wire.PROXY_STATEMENT_ID:
            now = asyncio.get_running_loop().time()
            self._received_at_by_id.setdefault(statement_id, now)
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = wire.read_position(position)
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "DEMOTE"):
            return await _status(channel, word, rest)
        if statement_id == wire.PROXY_STATEMENT_ID:
            answer = await _own_statement(channel, word, rest, after)
            return _lines(channel, answer, "-", ())
        statement = wire.read_statement(ids.StatementId(statement_id), text)
        answer = await self._run(channel, statement, after)
        reads = statement.kind is command.CommandKind.READ
        rows = (f"row-{statement_id}",) if reads else ()
        receipt = "-"
        if answer.fault is None:
            receipt = f"{answer.receipt}.{self._run_number(statement_id)}"
        return _lines(channel, answer, receipt, rows)

    def _run_number(self, statement_id: str) -> int:
        """Return the place of a statement's last run; -1 if there is none."""
        runs = self.member.group.runs
        return next(
            (
                place
                for place in reversed(range(len(runs)))
                if runs[place].statement == statement_id
                and runs[place].member == self.member.id
            ),
            -1,
        )

    async def _run(
        self,
        channel: ServedChannel,
        statement: command.Command,
        after: log_position.LogPosition | None,
    ) -> member_channel.Answer:
        shape = None
        if statement.kind is command.CommandKind.EXECUTE:
            shape = channel.shape_by_name.get(statement.name)
            if shape is None:
                return member_channel.Answer(fault=Fault.UNKNOWN_NAME)
        answer = await channel.run(
            statement, shape, STATEMENT_TIMEOUT_S, after
        )
        slow = _SLOW.search(statement.text)
        if slow is not None and answer.fault is None:
            await asyncio.sleep(int(slow[1]) / 1000)
        return answer


async def _own_statement(
    channel: ServedChannel,
    word: str,
    rest: str,
    after: log_position.LogPosition | None,
) -> member_channel.Answer:
    """Run a statement that the proxy itself issued."""
    timeout_s = STATEMENT_TIMEOUT_S
    if word == "BEGIN":
        return await channel.begin(rest == "READ", timeout_s, after)
    if word == "ROLLBACK":
        return await channel.roll_back(timeout_s)
    if word == "RESUME":
        return await channel.release_replication(timeout_s)
    step = member_session.Step(member_session.StepKind.RESET)
    if word == "RESET":
        channel.shape_by_name.clear()
    elif word == "SET":
        name, _, value = rest.partition(" ")
        step = member_session.Step(
            member_session.StepKind.SET, name=name, value=value
        )
    elif word == "PREPARE":
        name, kind, shape_text = rest.split(" ", 2)
        shape = command.Shape(kind == "WRITE", shape_text)
        channel.shape_by_name[name] = shape
        step = member_session.Step(
            member_session.StepKind.PREPARE, shape=shape
        )
    else:
        raise wire.ProtocolError(f"unknown statement {word!r}")
    return (await channel.prepare([step], timeout_s))[0]


async def _status(channel: ServedChannel, word: str, rest: str) -> bytes:
    timeout_s = STATEMENT_TIMEOUT_S
    if word == "DEMOTE":
        status = await channel.demote(int(rest), timeout_s)
    elif word == "PAUSE" and int(rest) > channel.member.term:
        status = await channel.hold_replication(int(rest), timeout_s)
    else:
        status = await channel.observe(timeout_s)
    if isinstance(status, Fault):
        return b"ERROR FAILED " + status.value.encode() + b"\r\n"
    position = f"{status.received.term}.{status.received.number}"
    held = channel.member.held_term or 0
    row = f"{status.role.value} {status.term} {position} {held} 0 0 0"
    return f"DATAROW {row}\r\nCOMPLETE -\r\n".encode() + _ready(channel)


def _lines(
    channel: ServedChannel,
    answer: member_channel.Answer,
    receipt: str,
    rows: tuple[str, ...],
) -> bytes:
    if answer.fault is not None:
        word = _WORD_BY_FAULT.get(answer.fault, "FAILED")
        return f"ERROR {word} member\r\n".encode() + _ready(channel)
    text = "".join(f"DATAROW {row}\r\n" for row in rows)
    return (text + f"COMPLETE {receipt}\r\n").encode() + _ready(channel)


def _ready(channel: ServedChannel) -> bytes:
    return wire.ready_line(channel.state, channel.member.applied())
