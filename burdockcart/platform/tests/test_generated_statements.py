"""Compares what clients say with what members understand.

The grammar and the member here are written from the protocol and share no
code with the proxy: what both sides of the proxy read wrong looks right.
"""

import asyncio
import itertools
import re
import types

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart.connection import session_names
from burdockcart.platform import member_wire
from burdockcart.platform import wire
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.peers import messages
from burdockcart.request import command

#: Query texts of the protocol; the last field extends to the end of the line.
#: Data may be missing: what it means is up to the member.
GRAMMAR = re.compile(
    r"QUERY (?P<id>(?!- )[^ ]+) (?:"
    r"(?P<plain>BEGIN|BEGIN READ|COMMIT|ROLLBACK)"
    r"|READ (?P<read>.+)"
    r"|WRITE (?P<write>[^ ]+)(?: (?P<data>.*))?"
    r"|SET (?P<value_name>[^ ]+) (?P<value>.*)"
    r"|PREPARE (?P<name>[^ ]+) (?P<kind>READ|WRITE) (?P<shape>.+)"
    r"|EXECUTE (?P<executed>[^ ]+) (?P<item>[^ ]+)(?: (?P<argument>.*))?"
    r"|DEALLOC (?P<dropped>[^ ]+)"
    r")",
    re.DOTALL,
)
TEXTS = strategies.text(
    strategies.sampled_from("ab- ßW\t\x85\u2028"), max_size=6
) | strategies.sampled_from(
    ["", "q", "q a", "READ q", "w_q", "WRITE", "AFTER 1.1 READ q", " ", "x\ry"]
)
WORDS = TEXTS.map(lambda text: text.replace(" ", "")) | strategies.just("s")
STATEMENTS = strategies.one_of(
    strategies.tuples(strategies.just("SET"), WORDS, TEXTS),
    strategies.tuples(
        strategies.just("PREPARE"),
        strategies.sampled_from(["s", "t"]),
        strategies.sampled_from(["READ", "WRITE", "DROP"]),
        TEXTS,
    ),
    strategies.tuples(
        strategies.just("EXECUTE"),
        strategies.sampled_from(["s", "t", "w_q"]),
        TEXTS,
    ),
    strategies.tuples(strategies.just("DEALLOC"), WORDS),
    strategies.tuples(strategies.just("READ"), TEXTS),
    strategies.tuples(strategies.just("WRITE"), TEXTS, TEXTS),
    strategies.tuples(
        strategies.sampled_from(["COMMIT", "ROLLBACK", "BEGIN", "SET"]), WORDS
    ),
    strategies.lists(TEXTS, min_size=1, max_size=4).map(tuple),
).map(" ".join)


class Member:
    """Connection of a member, which understands a line as the protocol says.

    It stands for the stream of the connection.
    """

    def __init__(self, runs):
        self.runs, self.answers = runs, []
        self.values, self.shapes = {}, {}
        self.refuses = False

    def closed(self):
        """Return False."""
        return False

    def close(self):
        """Forget the connection's answers."""
        self.answers.clear()

    def write(self, data):
        """Run the statements in the lines."""
        assert data.endswith(b"\r\n")
        for line in data[:-2].split(b"\r\n"):
            assert not set(line) & set(b"\r\n\0"), line
            _, statement, text = line.decode().split(" ", 2)
            self.answers.append(self.run(statement, text))

    async def read_until_regex(self, regex, max_bytes):
        """Return the next answer."""
        return self.answers.pop(0)

    def release(self):
        """Do nothing: no memory is accounted."""

    def run(self, statement, text):
        """Return the answer to a statement."""
        word, _, rest = text.partition(" ")
        first, _, second = rest.partition(" ")
        if word == "RESET":
            self.values, self.shapes = {}, {}
        elif word == "SET":
            assert first
            self.values[first] = second
        elif word == "PREPARE":
            kind, _, shape = second.partition(" ")
            assert first and kind in ("READ", "WRITE") and shape, text
            self.shapes[first] = (kind, shape)
        elif self.refuses:
            return b"ERROR BUSY later\r\nREADY I 1.1\r\n"
        elif word == "EXECUTE":
            if first not in self.shapes:
                return b"ERROR UNKNOWN name\r\nREADY I 1.1\r\n"
            what = (*self.shapes[first], second)
            self.runs.append((statement, what, dict(self.values)))
        else:
            assert word in ("READ", "WRITE"), text
            self.runs.append((statement, (word, rest), dict(self.values)))
        return b"COMPLETE m\r\nREADY I 1.1\r\n"


class Session:
    """A client, with what it was told and what must therefore run."""

    def __init__(self):
        self.values, self.shapes = {}, {}
        self.kept_values = {}
        self.names = session_names.SessionNames(self.kept_values)

    def meaning(self, match, text):
        """Return what a statement must run as; None if it runs nowhere."""
        if match["read"] or match["write"]:
            return tuple(text.split(" ", 1))
        if match["value_name"]:
            self.values[match["value_name"]] = match["value"]
        elif match["name"]:
            self.shapes[match["name"]] = (match["kind"], match["shape"])
        elif match["dropped"]:
            self.shapes.pop(match["dropped"], None)
        elif match["executed"] in self.shapes:
            shape = self.shapes[match["executed"]]
            return (*shape, text.split(" ", 2)[2])
        return None


class Proxy:
    """The proxy's part of the way, on connections that sessions share."""

    def __init__(self, count):
        self.runs = []
        self.members = [Member(self.runs) for _ in range(count)]
        address = member_channel.MemberAddress("m", "g", "127.0.0.1:1")
        self.connections = [
            pooled_connection.PooledConnection(
                types.SimpleNamespace(entry=address),
                member_wire.WireChannel(member, address),
            )
            for member in self.members
        ]
        self.sender = attempts.StatementSender(
            clock.LoopClock(),
            clock.LoopClock(),
            gateway_metrics.GatewayMetrics(),
        )

    async def handle(self, session, statement, places, relayed):
        """Do what a client asks for, after refusals by other members."""
        if statement.kind in session_names.KINDS:
            session.names.change(statement)
            return
        shape = session.names.shape_of(statement)
        executes = statement.kind is command.CommandKind.EXECUTE
        if executes and shape is None:
            return
        if statement.kind not in (
            command.CommandKind.READ,
            command.CommandKind.WRITE,
            command.CommandKind.EXECUTE,
        ):
            return
        values = session.kept_values
        if relayed:
            sent = messages.Run(
                1,
                "g",
                "m",
                messages.statement_of(statement, shape, values),
                None,
                False,
                100,
                messages.Urgency(),
            )
            received = messages.request_decoder.decode(messages.encode(sent))
            values = received.statement.value_by_name
            statement = messages.read_statement(received.statement)
            shape = statement.shape
        for place in places:
            connection = self.connections[place]
            self.members[place].refuses = place != places[-1]
            refused = await self.sender.prepare(values, shape, connection)
            assert refused is None, refused
            await connection.channel.run(statement, shape, 1.0)


def read(line):
    """Return what the proxy reads, None if it refuses."""
    try:
        return wire.read_request(line.encode())
    except wire.ProtocolError:
        return None


async def play(steps):
    """Play statements of some sessions; compare with what members ran."""
    proxy, sessions = Proxy(2), [Session() for _ in range(3)]
    for number, (place, text, places, relayed) in enumerate(steps):
        line = f"QUERY i{number} {text}"
        match = GRAMMAR.fullmatch(line)
        allowed = match is not None and not set(text) & set("\r\n\0")
        statement = read(line)
        assert (statement is not None) == allowed, (line, statement)
        del proxy.runs[:]
        if not allowed:
            continue
        session = sessions[place]
        what = session.meaning(match, text)
        await proxy.handle(session, statement, places, relayed)
        expected = [] if what is None else [(f"i{number}", what)]
        assert [run[:2] for run in proxy.runs] == expected, (
            text,
            expected,
            proxy.runs,
        )
        for _, _, values in proxy.runs:
            assert values == session.values, (text, values, session.values)


class TestStatements(testtools.TestCase):
    """Statements on their way from clients to members."""

    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                STATEMENTS,
                strategies.sampled_from([(0,), (1,), (0, 1), (1, 0)]),
                strategies.booleans(),
            ),
            min_size=1,
            max_size=20,
        )
    )
    def test_meaning(self, steps):
        """Guards against statements that run as another one, or unasked."""
        asyncio.run(play(steps))

    def test_every_short_line(self):
        """Guards against a line that is read although it is not allowed."""
        words = ("READ", "BEGIN", "COMMIT", "DEALLOC", "PREPARE", "EXECUTE")
        fields = ("", "SET", "WRITE", "s", *words)
        for count in range(1, 5):
            for parts in itertools.product(fields, repeat=count):
                line = "QUERY 7 " + " ".join(parts)
                allowed = GRAMMAR.fullmatch(line) is not None
                self.assertEqual(allowed, read(line) is not None, line)
