"""Guards decoding of the platform's store and settings file."""

import base64

import msgspec
import testtools

from burdockcart.platform import decoding
from burdockcart.platform import formats
from burdockcart.platform import settings_file
from burdockcart.platform import store_messages
from burdockcart.platform import store_values
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import reserve_policy
from burdockcart.version import manifest

MANIFEST = b"""{"version":7,"routes":[
{"name":"r-1","host":"fiti","prefix":"/","route-kind":"read_your_writes",
"timeout-ms":800,"latency-goal-ms":200,"priority":2,"service":"huvo",
"max-attempts":2,"max-staleness-ms":2500},
{"name":"r-2","host":"lepu","prefix":"/","route-kind":"primary",
"timeout-ms":800,"latency-goal-ms":100,"priority":1,"service":"huvo"}],
"services":[{"name":"huvo","health-path":"/health","max-conns":16,
"protocol":"h1","tls":false,"sync-replicas":1}],
"limits":{"max-header-bytes":16384,"tx-idle-ms":3000}}"""

ENTRY = {
    "service": "huvo",
    "address": "10.128.0.9:8080",
    "zone": "recife",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "db-role": "replica",
    "seq": 4,
}

SETTINGS = """node-name=front-recife-1
zone=recife
listen-addrs.front=10.1.0.8:8784
listen-addrs.ready=10.1.0.8:8785
ip=10.1.0.8
port-range=7440,7455
platform.address=10.200.1.7:8783
cloud-api.address=10.200.0.160:8783
contract-params.grace-s=6
a-new.field=ignored
"""


class TestManifest(testtools.TestCase):
    """Decoding of the operators' manifest."""

    def test_values(self):
        """Guards against fields with a wrong unit or meaning."""
        read = formats.read_manifest(MANIFEST)
        self.assertEqual(7, read.version)
        route = read.route_by_database["fiti"]
        self.assertIs(manifest.Consistency.READ_YOUR_WRITES, route.consistency)
        self.assertEqual(2.5, route.max_age_s)
        self.assertEqual(0.8, route.timeout_s)
        self.assertEqual(0.2, route.latency_goal_s)
        self.assertEqual(16, read.limits_by_group["huvo"].connections)
        self.assertTrue(read.limits_by_group["huvo"].synchronous)
        self.assertEqual(3.0, read.transaction_idle_s)

    def test_broken(self):
        """Guards against a partially decoded manifest."""
        for value in (
            b"",
            b"[]",
            MANIFEST.replace(b'"primary"', b'"nearest"'),
            MANIFEST.replace(b'"version":7', b'"version":"7"'),
            MANIFEST.replace(b'"routes"', b'"root"'),
        ):
            self.assertRaises(
                msgspec.MsgspecError, formats.read_manifest, value
            )


def with_tenants(*tenants, anonymous=None):
    """Return a manifest with accounts."""
    value = msgspec.json.decode(MANIFEST)
    value["tenants"] = list(tenants)
    if anonymous is not None:
        value["routes"][0]["anonymous"] = anonymous
    return msgspec.json.encode(value)


def tenant(**changes):
    """Return an account as the platform writes it."""
    return {
        "name": "acme",
        "api-keys": ["secret-1", "secret-2"],
        "priority": 1,
        "rate-per-s": 5.5,
        "burst": 7,
        **changes,
    }


class TestAccounts(testtools.TestCase):
    """Decoding of the accounts in a manifest."""

    def test_values(self):
        """Guards against fields with a wrong meaning."""
        read = formats.read_manifest(with_tenants(tenant(), anonymous=True))
        expected = manifest.Account(
            name="acme",
            keys=frozenset(("secret-1", "secret-2")),
            priority=1,
            rate_per_s=5.5,
            burst=7.0,
        )
        self.assertEqual({"acme": expected}, read.account_by_name)
        routes = read.route_by_database
        self.assertTrue(routes["fiti"].anonymous)
        self.assertFalse(routes["lepu"].anonymous)

    def test_missing_fields(self):
        """Guards against limits that the manifest does not set."""
        read = formats.read_manifest(MANIFEST)
        self.assertEqual({}, read.account_by_name)
        self.assertFalse(read.route_by_database["fiti"].anonymous)
        read = formats.read_manifest(with_tenants({"name": "acme"}))
        self.assertEqual(
            {"acme": manifest.Account(name="acme")}, read.account_by_name
        )
        limited = {"name": "acme", "rate-per-s": 5}
        read = formats.read_manifest(with_tenants(limited))
        self.assertEqual(5.0, read.account_by_name["acme"].burst)
        stopped = tenant(**{"rate-per-s": 0, "burst": 0})
        read = formats.read_manifest(with_tenants(stopped))
        self.assertEqual(0.0, read.account_by_name["acme"].rate_per_s)

    def test_key_listed_twice(self):
        """Guards against a refusal of a repeated key of one account."""
        twice = tenant(**{"api-keys": ["secret-1", "secret-1"]})
        read = formats.read_manifest(with_tenants(twice))
        self.assertEqual({"secret-1"}, read.account_by_name["acme"].keys)

    def test_refused(self):
        """Guards against half a manifest, and keys in error texts."""
        for tenants in (
            [tenant(), tenant(**{"api-keys": []})],
            [tenant(), tenant(name="zeta")],
            [tenant(name="")],
            [tenant(name="ac me")],
            [tenant(name="ac\u0085me")],
            [tenant(name=7)],
            [{"api-keys": ["secret-1"]}],
            [tenant(**{"api-keys": [""]})],
            [tenant(**{"api-keys": ["secret-1", "secret 2"]})],
            [tenant(**{"api-keys": ["secret-1\u0007"]})],
            [tenant(**{"api-keys": ["secret-1\t"]})],
            [tenant(**{"api-keys": ["secret-1\u007f"]})],
            [tenant(**{"api-keys": "secret-1"})],
            [tenant(**{"api-keys": ["secret-1", 5]})],
            [tenant(**{"api-keys": None})],
            [tenant(priority="secret-1")],
            [tenant(priority=-1)],
            [tenant(**{"rate-per-s": "secret-1"})],
            [tenant(**{"rate-per-s": -1})],
            [tenant(**{"rate-per-s": None})],
            [tenant(burst=True)],
            ["secret-1"],
        ):
            error = self.assertRaises(
                msgspec.MsgspecError,
                formats.read_manifest,
                with_tenants(*tenants),
            )
            self.assertNotIn("secret", str(error))
        self.assertRaises(
            msgspec.MsgspecError,
            formats.read_manifest,
            with_tenants(anonymous="yes"),
        )

    def test_refused_keeps_the_rule(self):
        """Guards against a refusal that does not say why."""
        for tenants, rule in (
            ([tenant(), tenant(**{"api-keys": []})], "same name"),
            ([tenant(), tenant(name="zeta")], "same key"),
            ([tenant(**{"api-keys": ["a b"]})], "a key of tenant 0"),
        ):
            error = self.assertRaises(
                msgspec.MsgspecError,
                formats.read_manifest,
                with_tenants(*tenants),
            )
            self.assertIn(rule, str(error))

    def test_newest_is_unreadable(self):
        """Guards against evidence from a manifest that cannot be read."""

        def event(value, revision):
            return store_messages.StoredItem(
                store_values.MANIFEST_KEY,
                revision,
                base64.b64encode(value).decode(),
            )

        good, bad = event(MANIFEST, 1), event(b"{}", 2)
        odd = store_messages.StoredItem(store_values.MANIFEST_KEY, 2, "?")
        gone = store_messages.StoredItem(
            store_values.MANIFEST_KEY, 2, tombstone=True
        )
        for events, expected in (
            ([], (0, False)),
            ([good], (1, False)),
            ([good, bad], (1, True)),
            ([good, odd], (1, True)),
            ([good, gone], (1, True)),
            ([bad, good], (1, False)),
        ):
            seen = store_values.read_changes(
                store_messages.Events(events, 2), 0
            )
            self.assertEqual(
                expected, (len(seen.tables), seen.tables_unreadable)
            )


class TestMembers(testtools.TestCase):
    """Decoding of members' entries and of promotion records."""

    def test_values(self):
        """Guards against wrongly decoded fields of an entry."""
        entry = formats.read_member("i-1", msgspec.json.encode(ENTRY))
        self.assertEqual("huvo", entry.group)
        self.assertEqual(2, entry.slots)
        self.assertIs(manifest.MemberState.READY, entry.state)
        self.assertFalse(entry.leads)

    def test_other_writers(self):
        """Guards against an entry that describes no usable member."""
        broken = [
            {**ENTRY, "state": "asleep"},
            {**ENTRY, "address": "nowhere"},
            {**ENTRY, "address": 7},
            {**ENTRY, "capacity": "two"},
            {**ENTRY, "capacity": 0},
            {**ENTRY, "seq": -1},
            {**ENTRY, "born": 1.5},
            {**ENTRY, "db-role": "witness"},
            {**ENTRY, "service": "two words"},
            {**ENTRY, "zone": "a\r\nQUERY"},
            *(
                {**ENTRY, "address": f"{host}:{port}"}
                for host, port in (
                    ("10.0.0.1", 0),
                    ("10.0.0.1", 65536),
                    ("10.0.0.1", 99999),
                    ("10.0.0.1", "²"),
                    ("10.0.0.1", "1e3"),
                    ("10.0.0.1", ""),
                    ("10.0.0\0.1", 8080),
                    ("10.0.0.300", 8080),
                    ("h" * 300, 8080),
                    ("", 8080),
                )
            ),
            # One field is missing in each.
            *(
                {key: ENTRY[key] for key in ENTRY if key != missing}
                for missing in ENTRY
            ),
            [1],
        ]
        values = [msgspec.json.encode(each) for each in broken]
        huge = msgspec.json.encode(ENTRY).replace(b"2", b"2" * 400)
        nested = (
            msgspec.json.encode(ENTRY)[:-1]
            + b',"x":'
            + b"[" * 3000
            + b"]" * 3000
            + b"}"
        )
        for value in [*values, huge, nested, b"\xff\xfe", b""]:
            self.assertRaises(
                decoding.UnreadableValue, formats.read_member, "i-1", value
            )
        whole = msgspec.json.encode(ENTRY)
        for member in ("", "a b", "a\r\nQUERY x", "m" * 300):
            self.assertRaises(
                decoding.UnreadableValue, formats.read_member, member, whole
            )

    def test_promotion_record(self):
        """Guards against a claim that another daemon cannot read."""
        record = coordination.PromotionRecord("d1", "x", 5)
        value = formats.encode_promotion(record)
        self.assertEqual(record, formats.read_promotion(value))
        self.assertIsNone(formats.read_promotion(b"{"))


class TestSettings(testtools.TestCase):
    """Parsing of the settings file."""

    def test_values(self):
        """Guards the fields that the daemon uses."""
        read = settings_file.parse(SETTINGS).unwrap()
        self.assertEqual("front-recife-1", read.daemon)
        self.assertEqual("10.1.0.8:8784", read.client_address)
        self.assertEqual("10.1.0.8:7440", read.peer_address)
        self.assertEqual(6.0, read.shutdown_s)
        self.assertIsNone(read.key_bound_s)
        revoke = "contract-params.strict-revoke=true\n"
        read = settings_file.parse(SETTINGS + revoke).unwrap()
        self.assertEqual(5.0, read.key_bound_s)
        revoke += "contract-params.revoke-ms=4000\n"
        read = settings_file.parse(SETTINGS + revoke).unwrap()
        self.assertEqual(4.0, read.key_bound_s)

    def test_rate_reserve(self):
        """Guards against a reserve that a deployment has not allowed."""
        quota = "contract-params.quota-"
        text = SETTINGS + f"{quota}window-s=5\n{quota}excess=0.1\n"
        self.assertIsNone(settings_file.parse(text).unwrap().reserve)
        read = settings_file.parse(text + f"{quota}slack=20\n").unwrap()
        self.assertEqual(
            reserve_policy.ReservePolicy(5.0, 0.1, 20.0), read.reserve
        )
        faults = settings_file.parse(
            text.replace("=5", "=0") + f"{quota}slack=nan\n"
        ).failure()
        self.assertEqual(
            [f"{quota}window-s", f"{quota}slack"],
            [fault.key for fault in faults],
        )

    def test_faults_name_their_place(self):
        """Guards against a start with incomplete settings."""
        text = SETTINGS.replace("zone=recife\n", "").replace("=6", "=six")
        faults = settings_file.parse(text + "no equals sign\n").failure()
        self.assertEqual(
            ["line 10", "zone", "contract-params.grace-s"],
            [fault.key for fault in faults],
        )
