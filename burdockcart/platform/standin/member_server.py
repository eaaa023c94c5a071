"""Sockets in front of an emulated member, which speaks the line protocol."""

import asyncio
import re
import time

from burdockcart.connection import channel_state
from burdockcart.connection import member_channel
from burdockcart.emulator import host_link
from burdockcart.emulator import wire_channel
from burdockcart.emulator import wire_member
from burdockcart import ids
from burdockcart.platform.standin import member_link
from burdockcart.platform.standin import member_statements
from burdockcart.request import command
from burdockcart.soak import account_history
from burdockcart.soak import history as histories

Fault = member_channel.MemberFault
LinkFault = member_link.LinkFault
State = member_channel.TransactionState

#: Time after which the member gives up a statement, in seconds.
STATEMENT_TIMEOUT_S = 2.0
#: Time that a new connection holds a slot, in seconds.
HANDSHAKE_S = 0.012
_SLOW = re.compile(r"slow-(\d+)-")
#: Reads whose answer has as many rows of as many characters.
_LARGE = re.compile(r"large-(\d+)x(\d+)-")
#: Reads whose answer never ends, and the size of a row of it.
_ENDLESS = "endless-"
_ENDLESS_ROW = b"DATAROW " + b"x" * 16 * 1024 + b"\r\n"
_WORD_BY_FAULT = {
    Fault.QUEUE_FULL: "BUSY",
    Fault.BEHIND: "LAGGING",
    Fault.NOT_PRIMARY: "READONLY",
    Fault.UNKNOWN_NAME: "UNKNOWN",
}
_LETTER_BY_STATE = {State.IDLE: "I", State.OPEN: "T", State.FAILED: "E"}


class ServedChannel(wire_channel.EmulatedChannel):
    """Channel whose socket ends with it."""

    def __init__(
        self,
        member: wire_member.EmulatedMember,
        writer: asyncio.StreamWriter,
        who: str,
    ):
        super().__init__(member, 0.0, set(), host_link.HostLink())
        self._writer = writer
        #: Name with which it was opened.
        self.who = who
        self.number = next(member.group.serials)
        self.session = member_statements.Session()
        #: Place of its last run among those of the group.
        self.run_place = -1

    async def _call(
        self,
        call: channel_state.Call,
        work: wire_channel.Work,
        timeout_s: float,
    ) -> member_channel.Answer:
        """Run whatever arrives; only a daemon's own end of it is guarded."""
        return await self._send(work, timeout_s)

    async def apply(
        self, statement: member_statements.Statement, timeout_s: float
    ) -> member_channel.Answer:
        """Run a statement that changes values or prepared statements."""

        async def work() -> member_channel.Answer:
            self.session.apply(statement)
            self.value_by_name = dict(self.session.value_by_name)
            self.prepared = {
                _shape(each) for each in self.session.prepared_by_name.values()
            }
            return self._answer()

        return await self._call(channel_state.Call.PREPARE, work, timeout_s)

    def _record(
        self, statement: command.Command, shape: command.Shape | None
    ) -> None:
        super()._record(statement, shape)
        self.run_place = len(self.member.group.runs) - 1

    def close(self) -> None:
        """Close the connection and its socket."""
        super().close()
        self._writer.transport.abort()


class MemberServer:
    """Listener of one member.

    Parameters
    ==========

    history : History
        Filled with the statements that arrive.
    owners : callable
        Returns the daemons that have connections to an address, by port.

    """

    def __init__(
        self,
        member: wire_member.EmulatedMember,
        service: str,
        host: str,
        port: int,
        history: histories.History,
        owners: member_link.Owners,
    ):
        self.member = member
        self.address = f"{host}:{port}"
        self.link = member_link.MemberLink(host, port, owners)
        self.started_ms = int(time.time() * 1000)
        self._service = service
        self._host, self._port = host, port
        self._history = history
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for daemons."""
        self._server = await asyncio.start_server(
            self._accept,
            self._host,
            self._port,
            reuse_address=True,
            limit=2 * member_statements.MAX_LINE_BYTES,
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

    async def restart(self) -> None:
        """Come back with the log that the member had."""
        self.member.crashed = False
        self.member.held_term = None
        self.started_ms = int(time.time() * 1000)
        group = self.member.group
        if group.primary is self.member:
            for each in group.member_by_id.values():
                each.catch_up()
        elif not group.primary.crashed:
            self.member.follow(group.primary)
        await self.start()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (
            OSError,
            EOFError,
            asyncio.CancelledError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        port = writer.get_extra_info("peername")[1]
        self.link.connected(port)
        startup = await reader.readline()
        self._note_line(startup)
        fields = startup.decode().split()
        await self.link.cross(port, LinkFault.SILENT)
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
        who = "".join(fields[-2:-1])
        channel = ServedChannel(member, writer, who)
        writer.write(_ready(channel))
        try:
            while True:
                line = await reader.readuntil(member_statements.END)
                await self.link.cross(port, LinkFault.SILENT)
                if channel.closed:
                    return
                self._note_line(line)
                answer = await self._answer(channel, line)
                await self.link.cross(
                    port, LinkFault.SILENT, LinkFault.ANSWERS_LOST
                )
                if answer is None or channel.closed:
                    return
                if b" READ " + _ENDLESS.encode() in line:
                    await _write_without_end(writer)
                writer.write(answer)
                await writer.drain()
        finally:
            channel.close()

    def _note_line(self, line: bytes) -> None:
        """Record a line if the manifest has accounts."""
        if self._history.accounts is not None:
            now = asyncio.get_running_loop().time()
            text = line.decode(errors="replace")
            self._history.accounts.member_lines.append(
                account_history.Line(self.member.id, text, now)
            )

    async def _answer(
        self, channel: ServedChannel, line: bytes
    ) -> bytes | None:
        """Run one statement and return the lines of its answer."""
        text = line.removesuffix(member_statements.END)
        try:
            statement = member_statements.read(text)
        except member_statements.Malformed as error:
            self._history.malformed.append(
                (self.member.id, text.decode(errors="replace"), str(error))
            )
            return _refusal(channel, "MALFORMED")
        if statement is None:
            return None
        if statement.id != member_statements.OWN_ID:
            now = asyncio.get_running_loop().time()
            self._history.received_at_by_id.setdefault(statement.id, now)
        if statement.word in ("STATUS", "PAUSE", "DEMOTE"):
            return await _status(channel, statement.word, statement.value)
        record = _record(channel, statement)
        self._history.statements.append(record)
        return await self._run(channel, statement, record)

    async def _run(
        self,
        channel: ServedChannel,
        statement: member_statements.Statement,
        record: histories.MemberStatement,
    ) -> bytes:
        """Run a recorded statement and complete its record."""
        kind = statement.client_kind
        failed = channel.state is State.FAILED
        if failed and statement.word not in ("COMMIT", "ROLLBACK"):
            record.answered, record.fault = True, "MALFORMED"
            return _refusal(channel, record.fault)
        if kind is None:
            try:
                answer = await _session_statement(channel, statement)
            except member_statements.Malformed:
                record.answered, record.fault = True, "MALFORMED"
                return _refusal(channel, record.fault)
        else:
            answer = await self._run_for_client(channel, statement, kind)
        record.answered = True
        if answer.fault is not None:
            record.fault = _WORD_BY_FAULT.get(answer.fault, "FAILED")
            return _refusal(channel, record.fault)
        if kind is not None:
            record.receipt = f"{answer.receipt}.{channel.run_place}"
        if _reads(statement, record):
            record.rows = _rows(statement)
        record.position = _position(channel)
        rows = "".join(f"DATAROW {row}\r\n" for row in record.rows)
        lines = f"{rows}COMPLETE {record.receipt or '-'}\r\n"
        return lines.encode() + _ready(channel, record.position)

    async def _run_for_client(
        self,
        channel: ServedChannel,
        statement: member_statements.Statement,
        kind: command.CommandKind,
    ) -> member_channel.Answer:
        shape = None
        if statement.word == "EXECUTE":
            meaning = channel.session.meaning(statement)
            if meaning is None:
                return member_channel.Answer(fault=Fault.UNKNOWN_NAME)
            shape = _shape(meaning)
        answer = await channel.run(
            command.Command(
                ids.StatementId(statement.id), kind, statement.text
            ),
            shape,
            STATEMENT_TIMEOUT_S,
            statement.after,
        )
        slow = _SLOW.match(statement.item)
        if slow is not None and answer.fault is None:
            await asyncio.sleep(int(slow[1]) / 1000)
        return answer


def _shape(meaning: tuple[str, str]) -> command.Shape:
    kind, text = meaning
    return command.Shape(kind == "WRITE", text)


def _record(
    channel: ServedChannel, statement: member_statements.Statement
) -> histories.MemberStatement:
    """Return the record of a statement that has arrived."""
    prepared = None
    if statement.word == "PREPARE":
        prepared = (statement.kind, statement.shape)
    elif statement.word == "EXECUTE":
        prepared = channel.session.meaning(statement)
    return histories.MemberStatement(
        member=channel.member.id,
        connection=channel.number,
        statement=statement.id,
        word=statement.word,
        text=statement.text,
        at=asyncio.get_running_loop().time(),
        name=statement.name,
        value=statement.value,
        prepared=prepared,
        item=statement.item,
        data=statement.data,
        values=channel.session.values(),
        transaction=channel.transaction,
        who=channel.who,
    )


def _reads(
    statement: member_statements.Statement,
    record: histories.MemberStatement,
) -> bool:
    return statement.word == "READ" or (
        statement.word == "EXECUTE"
        and record.prepared is not None
        and record.prepared[0] == "READ"
    )


def _rows(statement: member_statements.Statement) -> tuple[str, ...]:
    large = _LARGE.match(statement.item)
    if large is not None:
        return ("x" * int(large[2]),) * int(large[1])
    return (f"row  of {statement.id} ", "", " größe")


async def _write_without_end(writer: asyncio.StreamWriter) -> None:
    """Write rows until the connection ends."""
    while True:
        writer.write(_ENDLESS_ROW)
        await writer.drain()


async def _session_statement(
    channel: ServedChannel, statement: member_statements.Statement
) -> member_channel.Answer:
    """Run a statement that the gateway may answer or issue itself."""
    timeout_s = STATEMENT_TIMEOUT_S
    if statement.word == "BEGIN":
        if channel.state is not State.IDLE:
            raise member_statements.Malformed("already in a transaction")
        read_only = statement.value == "READ"
        return await channel.begin(read_only, timeout_s, statement.after)
    if statement.word == "ROLLBACK":
        return await channel.roll_back(timeout_s)
    if statement.word == "RESUME":
        return await channel.release_replication(timeout_s)
    return await channel.apply(statement, timeout_s)


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


def _refusal(channel: ServedChannel, code: str) -> bytes:
    return f"ERROR {code} member\r\n".encode() + _ready(channel)


def _position(channel: ServedChannel) -> str:
    position = channel.member.applied()
    return f"{position.term}.{position.number}"


def _ready(channel: ServedChannel, position: str | None = None) -> bytes:
    """Return READY with the given position, or the present one."""
    letter = _LETTER_BY_STATE[channel.state]
    return f"READY {letter} {position or _position(channel)}\r\n".encode()
