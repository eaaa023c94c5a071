"""Feeds generated input to the decoders of everything that arrives.

Only the stated errors may come out, whatever another program sends: an
unexpected one ends the task that reads.
"""

import asyncio
import base64

import hypothesis
from hypothesis import strategies
import msgspec
from returns import result
import testtools

from burdockcart.platform import calls
from burdockcart.platform import formats
from burdockcart.platform import wire
from burdockcart.process.gateway import coordination

LINES = strategies.one_of(
    strategies.binary(max_size=60),
    strategies.lists(
        strategies.sampled_from(
            [
                "STARTUP", "QUERY", "TERMINATE", "READY", "ERROR", "DATAROW",
                "COMPLETE", "BEGIN", "READ", "PREPARE", "EXECUTE", "SET", "-",
                "I", "T", "1.7", "primary", "BUSY", "\r\n", "",
            ]
        ),
        max_size=9,
    ).map(lambda words: " ".join(words).encode()),
)  # fmt: skip
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**20), 10**20)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(
            [
                "version", "routes", "services", "limits", "name", "host",
                "service", "route-kind", "address", "zone", "state", "born",
                "capacity", "holder", "domain", "incarnation", "max-conns",
            ]
        ),
        inner,
        max_size=6,
    ),
    max_leaves=12,
)  # fmt: skip
VALUES = strategies.one_of(
    strategies.binary(max_size=40), JSON.map(msgspec.json.encode)
)


class TestWire(testtools.TestCase):
    """Messages of clients and members."""

    @hypothesis.given(LINES)
    def test_client_messages(self, line):
        """A client may send anything."""
        for read in (wire.read_startup, wire.read_request):
            try:
                read(line)
            except wire.ProtocolError:
                pass

    @hypothesis.given(LINES)
    def test_answers_of_members(self, data):
        """A member may send anything."""
        try:
            answer = wire.read_answer(data + b"\r\n")
            wire.read_status(answer)
        except wire.ProtocolError:
            pass


class TestStore(testtools.TestCase):
    """Values of the store, which other programs may have written."""

    @hypothesis.given(VALUES)
    def test_values(self, value):
        """A value may hold anything."""
        for read in (
            formats.read_manifest,
            lambda data: formats.read_member("m", data),
            lambda data: formats.read_daemon("d", data),
            formats.read_promotion,
        ):
            try:
                read(value)
            except (msgspec.MsgspecError, ValueError):
                pass


class TestAnswersOfTheStore(testtools.TestCase):
    """Answers of the store that are no answers."""

    def call(self, body, name, *arguments):
        """Return what a call makes of an answer with status 200."""

        async def check():
            client = calls.PlatformClient("10.0.0.1:1", "10.0.0.1:2")

            async def answered(*_, **__):
                return Answer(body)

            client._send = answered
            try:
                return await getattr(client, name)(*arguments)
            finally:
                client.close()

        return asyncio.run(check())

    def test_unreadable_answers(self):
        """Each call must report an unreadable answer as a fault."""
        record = coordination.PromotionRecord("d", "x", 1)
        bodies = [
            b"",
            b"[]",
            b'{"revision": "x"}',
            b'{"revision": -5}',
            b'{"revision": 99999999999999}',
            b'{"items": [], "store-revision": -1}',
            b'{"events": [], "store-revision": 99999999999999}',
            b"\xff",
            b"{",
        ]
        for body in bodies:
            for name, arguments in (
                ("read_store", ()),
                ("changes", (5,)),
                ("claim_promotion", ("g", record, 0)),
                ("write_fleet_key", (bytes(32), ())),
            ):
                found = self.call(body, name, *arguments)
                self.assertIsInstance(found, result.Failure, (name, body))

    def test_unreadable_values(self):
        """Values that are no base64 must not hide the others."""
        items = [
            {"key": key, "revision": 3, "value": "&&&"}
            for key in ("op/config", "servers/a", "daemons/b", "fleet/key")
        ]
        good = formats.encode_daemon(
            coordination.DaemonEntry("c", "10.0.0.3:1", "z", "i")
        )
        items.append(
            {
                "key": "daemons/c",
                "revision": 4,
                "value": base64.b64encode(good).decode(),
            }
        )
        body = msgspec.json.encode({"items": items, "store-revision": 9})
        read = self.call(body, "read_store").unwrap()
        self.assertEqual(["c"], list(read.daemon_by_id))
        self.assertIsNone(read.fleet_key)
        events = msgspec.json.encode({"events": items, "store-revision": 9})
        changes = self.call(events, "changes", 5).unwrap()
        self.assertEqual(["c"], list(changes.entry_by_daemon))


class Answer(msgspec.Struct):
    """An answer with status 200."""

    body: bytes
    code: int = 200
    headers: dict[str, str] = {}
