"""Guards against uses of the platform's names outside the adapter."""

import pathlib
import re

import testtools

PACKAGE = pathlib.Path(__file__).parents[2]
ADAPTER = PACKAGE / "platform"
#: Protocol keywords, keys and headers that only the platform uses.
NAMES = re.compile(
    r"kv-(?:key|range|watch|txn|lease|keep)|X-(?:Lease-Holder|Fencing)"
    r"|STARTUP|TERMINATE|DATAROW|DEALLOC\b|TOOMANYCON|WRONGNODE|LAGGING"
    r"|READONLY|INDOUBT|MALFORMED|NODB|op/config|servers/|sync-replicas"
    r"|max-staleness|latency-goal|listen-addrs|contract-params|cloud-api"
    r"|db-role|warmup-left|store-revision|expect-rev|wait-ms|Store-Era"
)


class TestNames(testtools.TestCase):
    """Other packages use neither the platform's names nor the adapter."""

    def test_no_name_outside(self):
        """Guards against a dependency on the platform's names."""
        found = [
            f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if ADAPTER not in path.parents
            for number, line in enumerate(
                path.read_text(encoding="utf-8").splitlines(), 1
            )
            if NAMES.search(line)
        ]
        self.assertEqual([], found)

    def test_nothing_imports_the_adapter(self):
        """Guards against decisions that depend on the platform."""
        found = [
            str(path.relative_to(PACKAGE))
            for path in sorted(PACKAGE.rglob("*.py"))
            if ADAPTER not in path.parents
            and "burdockcart.platform" in path.read_text(encoding="utf-8")
        ]
        self.assertEqual([], found)
