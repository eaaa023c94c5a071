"""Guards the bytes that a large manifest costs a daemon that follows it."""

import asyncio

import msgspec
import testtools

from burdockcart.platform import calls
from burdockcart.platform.standin import member_link
from burdockcart.platform.standin import store_server
from burdockcart.platform import store_reads
from burdockcart.platform.tests import test_formats
from burdockcart.process.gateway.store import coordination

HOST = "127.0.0.1"
POSITION = 100
LIMIT_BYTES = 64 * 1024
GOOD = msgspec.json.decode(test_formats.MANIFEST)


def manifest_of(version, routes):
    """Return a manifest with that many routes, as it is stored."""
    found = [
        {**GOOD["routes"][0], "name": f"r-{number}", "host": f"db{number}"}
        for number in range(routes)
    ]
    return msgspec.json.encode({**GOOD, "version": version, "routes": found})


def run(check):
    """Run a check with a stand-in store and the costs of its reads."""

    async def run_check():
        link = member_link.MemberLink(HOST, 0, lambda *_: {})
        store = store_server.Store(lambda *_: 200, link)
        store.start(HOST, 0)
        (listener,) = store._server._sockets.values()
        address = f"{HOST}:{listener.getsockname()[1]}"
        client = calls.PlatformClient(address, address)
        costs = []
        client.on_read = costs.append
        try:
            await check(store, client, costs)
        finally:
            client.close()
            store.stop()

    asyncio.run(run_check())


class TestReads(testtools.TestCase):
    """Reads of a store with many versions of a large manifest."""

    def test_bytes_grow_with_the_versions_written(self):
        """What is read must not depend on how many versions there were."""

        async def check(store, client, costs):
            await client.read_store()
            version = 0
            received = []
            for count in (1, 10, 100):
                position = store.revision
                for _ in range(count):
                    version += 1
                    store.put("op/config", manifest_of(version, 1000))
                costs.clear()
                seen = await client.changes(position, LIMIT_BYTES)
                self.assertIs(coordination.CallFault.TOO_LONG, seen.failure())
                await client.read_state(0)
                read = (await client.read_manifest(0)).unwrap()
                self.assertEqual(version, read.tables.version)
                received.append(sum(each.received for each in costs))
            self.assertLess(max(received) - min(received), LIMIT_BYTES)

        run(check)

    def test_limit_without_a_length(self):
        """An answer of unknown length must be given up at the limit."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for _ in range(1000):
                writer.write(b"400\r\n" + bytes(1024) + b"\r\n")
                try:
                    await writer.drain()
                except ConnectionError:
                    break
            writer.close()

        async def check():
            server = await asyncio.start_server(serve, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            answer, cost = await store_reads.read(
                f"{HOST}:{port}", "/", 2.0, LIMIT_BYTES
            )
            server.close()
            self.assertIsNone(answer)
            self.assertIs(store_reads.ReadOutcome.TOO_LONG, cost.outcome)
            self.assertLess(cost.received, 4 * LIMIT_BYTES)

        asyncio.run(check())

    def test_state_is_complete_without_the_manifest(self):
        """What is read apart must be all but the manifest."""

        async def check(store, client, costs):
            store.put("op/config", manifest_of(1, 1000))
            store.put("fleet/key", bytes(32))
            for key in ("quota/3", "quota/4"):
                store.put(key, b"d1")
            store.put("servers/i-1", msgspec.json.encode(test_formats.ENTRY))
            whole = (await client.read_store()).unwrap()
            costs.clear()
            state = (await client.read_state(0)).unwrap()
            self.assertLess(sum(each.received for each in costs), 4096)
            self.assertFalse(state.tables_read)
            self.assertEqual({"i-1"}, set(state.entry_by_member))
            self.assertEqual({3, 4}, set(state.owner_by_shard))
            self.assertEqual(
                msgspec.structs.replace(whole, tables=None, tables_read=False),
                state,
            )

        run(check)

    def test_newest_of_several_is_decoded(self):
        """Versions that are never in force must cost no decoding."""

        async def check(store, client, costs):
            for version in range(1, 6):
                store.put("op/config", manifest_of(version, 3))
            seen = (await client.changes(POSITION)).unwrap()
            self.assertEqual([5], [each.version for each in seen.tables])
            self.assertEqual(5, seen.versions)

        run(check)

    def test_no_manifest(self):
        """A store without a manifest must be told from one that fails."""

        async def check(store, client, costs):
            read = (await client.read_manifest(0)).unwrap()
            self.assertIsNone(read.tables)

        run(check)
