"""Feeds generated input to the decoders of everything that arrives.

Only the stated errors may come out, whatever another program sends: an
unexpected one ends the task that reads.
"""

import asyncio
import base64
import socket

import hypothesis
from hypothesis import strategies
import msgspec
from returns import result
import testtools

from burdockcart import ids
from burdockcart.platform import calls
from burdockcart.platform import decoding
from burdockcart.platform import formats
from burdockcart.platform import store_messages
from burdockcart.platform import store_reads
from burdockcart.platform import store_values
from burdockcart.platform import wire
from burdockcart.process.gateway.store import coordination

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

ENTRY = {
    "service": "g", "address": "10.0.0.1:80", "zone": "a", "version": "v1",
    "capacity": 2, "state": "ready", "warmup-left-ms": 0,
    "db-role": "replica", "seq": 4, "born": 5, "domain": "a",
    "incarnation": "i", "holder": "d", "attempt": "x", "claimed_at_ms": 1,
    "members": [], "routes": [], "services": [], "revision": 3, "lease": 4,
}  # fmt: skip
#: JSON texts that decoders of other languages may write.
ODD = strategies.one_of(
    JSON.map(msgspec.json.encode),
    strategies.integers(1, 6000).map(lambda depth: b"[" * depth),
    strategies.integers(1, 6000).map(lambda n: b"[" * n + b"]" * n),
    strategies.integers(1, 5000).map(lambda digits: b"9" * digits),
    strategies.sampled_from(
        [
            b"1e400", b"-1", b"1.5", b"null", b'"\\ud800"', b'"\\u0000"',
            b'"10.0.0.1:99999"', b'"10.0.0.1:0"', b'"10.0.0.1:\xc2\xb2"',
            b'"10.0.0.1"', b'"10.0.0.1\\u0000:80"', b'"a:80"', b'":80"',
            b'"a b"', b'"a\\r\\nQUERY"', b'""', b"NaN",
        ]
    ),
)  # fmt: skip


@strategies.composite
def odd_entries(draw):
    """Draw an entry with some odd fields, cut or with bytes replaced."""
    fields = {key: msgspec.json.encode(ENTRY[key]) for key in ENTRY}
    names = strategies.sampled_from([*ENTRY, "unknown"])
    fields |= draw(strategies.dictionaries(names, ODD, max_size=3))
    value = b",".join(
        msgspec.json.encode(key) + b":" + text for key, text in fields.items()
    )
    value = b"{" + value + b"}"
    if draw(strategies.booleans()):
        value = value[: draw(strategies.integers(0, len(value)))]
    if draw(strategies.booleans()):
        place = draw(strategies.integers(0, len(value)))
        value = value[:place] + draw(strategies.binary()) + value[place:]
    return value


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


#: How long an example takes to make says nothing about what is tested.
_ON_A_BUSY_MACHINE = hypothesis.settings(
    deadline=None, suppress_health_check=[hypothesis.HealthCheck.too_slow]
)


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
            except decoding.UnreadableValue:
                pass

    @_ON_A_BUSY_MACHINE
    @hypothesis.given(odd_entries(), strategies.text(max_size=8))
    def test_odd_entries(self, value, name):
        """An odd entry has one declared error, and a used one an address."""
        for read in (
            formats.read_manifest,
            lambda data: formats.read_member(name, data),
            lambda data: formats.read_daemon(name, data),
            formats.read_promotion,
            formats.read_roster,
            formats.read_era,
        ):
            try:
                found = read(value)
            except decoding.UnreadableValue:
                continue
            address = getattr(found, "address", None)
            if address is not None:
                host, port = address.rsplit(":", 1)
                socket.inet_aton(host)
                self.assertIn(int(port), range(1, 65536))

    @_ON_A_BUSY_MACHINE
    @hypothesis.given(odd_entries())
    def test_items(self, value):
        """An odd value must hide no other item, in a list or a change."""
        items = [
            store_messages.StoredItem(
                key, 3, base64.b64encode(value).decode()
            )
            for key in (
                "op/config", "servers/a", "daemons/b", "fleet/key",
                "promotions/g", "rosters/g", "fleet/complete-since",
            )
        ]  # fmt: skip
        whole = msgspec.json.encode(ENTRY)
        items.append(
            store_messages.StoredItem(
                "servers/whole", 4, base64.b64encode(whole).decode()
            )
        )
        seen = store_values.read_changes(
            store_messages.Events(items, 9), ids.StoreEra(0)
        )
        self.assertIn("whole", seen.entry_by_member)


COST = store_reads.ReadCost(
    "/", store_reads.ReadOutcome.COMPLETE, 200, 0, 0, 0.0, 0.0
)


class TestAnswersOfTheStore(testtools.TestCase):
    """Answers of the store that are no answers."""

    def call(self, body, name, *arguments):
        """Return what a call makes of an answer with status 200."""

        async def check():
            client = calls.PlatformClient("10.0.0.1:1", "10.0.0.1:2")

            async def answered(*_, **__):
                return Answer(body)

            async def fetched(*_, **__):
                return Answer(body), COST

            client._send = answered
            client._fetch = fetched
            try:
                return await getattr(client, name)(*arguments)
            finally:
                client.close()

        return asyncio.run(check())

    def test_unreadable_answers(self):
        """Each call must report an unreadable answer as a fault."""
        record = coordination.PromotionRecord("d", "x", 1)
        entry = coordination.DaemonEntry("d", "10.0.0.1:1", "z", "i", 0)
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
            b"[" * 5000,
            b'{"items": ' + b"[" * 5000,
            b'{"x": ' + b"[" * 5000 + b"]" * 5000 + b"}",
            b'{"revision": ' + b"9" * 5000 + b"}",
        ]
        for body in bodies:
            for name, arguments in (
                ("read_store", ()),
                ("read_state", (0,)),
                ("read_manifest", (0,)),
                ("changes", (5,)),
                ("claim_promotion", ("g", record, 0)),
                ("write_fleet_key", (bytes(32), ())),
                ("write_roster", ("g", coordination.Roster(), 0)),
                ("read_shard", (1,)),
                ("read_first_owner", (1,)),
                ("acquire_shard", (1, "d", 3.0, 5)),
                ("register_daemon", (entry, 8.0)),
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
