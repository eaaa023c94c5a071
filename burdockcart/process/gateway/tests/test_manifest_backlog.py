"""Guards against work that grows with the manifests written since a poll."""

import asyncio
import math
import random

import msgspec
import testtools

from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import member_catalog
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

scenario = test_sessions.scenario

#: Time in which a manifest must be in force, in seconds.
MANIFEST_S = 3.0
#: Interval of polling, and time for timers and answers, in seconds.
POLL_S = 0.55 * MANIFEST_S
SLACK_S = 0.35
#: A manifest of 1,000 routes, and a link of 5 Mbit/s.
MANIFEST_BYTES = 280_000
LINK_BYTES_PER_S = 625_000.0


class Storm:
    """Writes a new version of the manifest again and again."""

    def __init__(self, deployment, gap_s, lasts_s):
        self.deployment = deployment
        self.written_at = {}
        self._gap_s = gap_s
        self._lasts_s = lasts_s

    async def run(self):
        """Write until the time is over."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._lasts_s
        version = 1
        while loop.time() < ends_at:
            version += 1
            self.deployment.platform.put_tables(
                gateway_deployment.tables(version)
            )
            self.written_at[version] = loop.time()
            await asyncio.sleep(self._gap_s)

    def late_s(self, daemon):
        """Return for how long a version has been due at a daemon."""
        in_force = daemon.tables.current.version
        missing = [
            at for version, at in self.written_at.items() if version > in_force
        ]
        now = asyncio.get_running_loop().time()
        return now - min(missing) - MANIFEST_S if missing else 0.0


def with_slow_links(deployment, manifest_bytes=MANIFEST_BYTES):
    """Make manifests large, and the links of all daemons slow."""
    deployment.platform.manifest_bytes = manifest_bytes
    deployment.platform.link_bytes_per_s = LINK_BYTES_PER_S


class TestSlowLink(testtools.TestCase):
    """A large manifest that changes often, on a slow link."""

    def check_in_time(self, gap_s, manifest_bytes=MANIFEST_BYTES, **options):
        """Check that each version is in force, or a later one, in time."""

        async def check(deployment):
            with_slow_links(deployment, manifest_bytes)
            storm = Storm(deployment, gap_s, 20.0)
            writing = asyncio.create_task(storm.run())
            late_s = []
            while not writing.done():
                await asyncio.sleep(0.1)
                late_s += [storm.late_s(each) for each in deployment.daemons]
            await asyncio.sleep(MANIFEST_S)
            late_s += [storm.late_s(each) for each in deployment.daemons]
            self.assertEqual(0.0, max(0.0, *late_s))

        scenario(check, **options)

    def test_manifest_is_late_behind_its_own_versions(self):
        """Each version must be in force in time, or a later one."""
        for gap_s in (0.05, 0.1, 0.33):
            self.check_in_time(gap_s)

    def test_manifest_whose_transfer_takes_long(self):
        """A transfer of 1.3 s must leave time to notice the next version."""
        for gap_s in (0.05, 0.33):
            self.check_in_time(gap_s, 3 * MANIFEST_BYTES)

    def test_manifest_is_late_in_a_domain_that_shares_polls(self):
        """The same where one daemon of a failure domain polls."""
        self.check_in_time(0.1, daemons=12)

    def test_news_of_members_wait_for_manifests(self):
        """What else the store holds must be known as fast as in calm."""

        async def check(deployment):
            with_slow_links(deployment)
            storm = asyncio.create_task(Storm(deployment, 0.05, 12.0).run())
            rng = random.Random(63)
            entry = deployment.platform.entry_by_id[deployment.members[0].id]
            for sequence in range(1, 8):
                await asyncio.sleep(rng.uniform(0.0, 1.0))
                written = msgspec.structs.replace(entry, sequence=sequence)
                deployment.platform.put_member(written)
                await asyncio.sleep(POLL_S + SLACK_S)
                for daemon in deployment.daemons:
                    known = daemon.tables.catalog.entry_by_id[entry.id]
                    self.assertEqual(sequence, known.sequence)
            storm.cancel()

        scenario(check)

    def test_news_of_members_after_lost_history(self):
        """Lost history must not make news wait for a large manifest."""

        async def check(deployment):
            with_slow_links(deployment)
            platform = deployment.platform
            platform.manifest_bytes = 5 * MANIFEST_BYTES
            entry = platform.entry_by_id[deployment.members[0].id]
            platform.put_member(msgspec.structs.replace(entry, sequence=7))
            platform.put_tables(gateway_deployment.tables(2))
            platform.oldest_kept = platform.revision
            await asyncio.sleep(POLL_S + SLACK_S)
            for daemon in deployment.daemons:
                known = daemon.tables.catalog.entry_by_id[entry.id]
                self.assertEqual(7, known.sequence)
            await asyncio.sleep(MANIFEST_S)
            for daemon in deployment.daemons:
                self.assertEqual(2, daemon.tables.current.version)

        scenario(check)

    def test_removals_during_a_storm(self):
        """Members and daemons that have left must go from the list."""

        async def check(deployment):
            with_slow_links(deployment)
            storm = asyncio.create_task(Storm(deployment, 0.1, 30.0).run())
            await asyncio.sleep(4.0)
            gone = deployment.members[2].id
            deployment.platform.remove_member(gone)
            deployment.platform.daemon_by_id.pop("d1")
            await asyncio.sleep(member_catalog.REMOVAL_DELAY_S + 2 * POLL_S)
            tables = deployment.daemons[0].tables
            self.assertNotIn(gone, tables.catalog.entry_by_id)
            self.assertNotIn("d1", tables.daemons)
            storm.cancel()

        scenario(check)

    def test_manifest_that_cannot_be_read_at_first(self):
        """A failed read of the manifest must be repeated."""

        async def check(deployment):
            with_slow_links(deployment)
            daemon = deployment.daemons[0]
            read_manifest = daemon.tables.manifests._platform.read_manifest
            faults = iter([coordination.CallFault.UNAVAILABLE] * 2)

            async def fail(era):
                fault = next(faults, None)
                if fault is None:
                    return await read_manifest(era)
                return gateway_deployment.result.Failure(fault)

            daemon.tables.manifests._platform.read_manifest = fail
            storm = Storm(deployment, 0.05, 0.5)
            await storm.run()
            await asyncio.sleep(MANIFEST_S + 0.5)
            self.assertEqual(0.0, max(0.0, storm.late_s(daemon)))

        scenario(check, daemons=1)


def gap_s(crash_at_s, stormy):
    """Return the time without writes after a primary has crashed."""
    gaps = []

    async def check(deployment):
        if stormy:
            with_slow_links(deployment)
            storm = asyncio.create_task(Storm(deployment, 0.1, 20.0).run())
        await asyncio.sleep(crash_at_s)
        deployment.group.primary.crash()
        replies = await test_failover.writes_for(deployment, 8.0)
        times = [at for at, reply in replies if gateway_deployment.ok(reply)]
        gaps.append(min(times, default=math.inf) - crash_at_s)
        if stormy:
            storm.cancel()

    scenario(check)
    return gaps[0]


class TestLostPrimary(testtools.TestCase):
    """A primary is lost while a large manifest changes."""

    def test_primary_is_replaced_late_in_a_storm(self):
        """It must be replaced as fast as on a calm day."""
        crashes = [4.0 + 0.3 * place for place in range(7)]
        calm, stormy = (
            sorted(gap_s(at_s, each) for at_s in crashes)
            for each in (False, True)
        )
        self.assertLess(stormy[3] - calm[3], SLACK_S, (calm, stormy))
        self.assertLess(stormy[-1] - calm[-1], SLACK_S, (calm, stormy))


class TestCost(testtools.TestCase):
    """What it costs a daemon to learn the newest manifest."""

    def test_cost_grows_with_the_versions_written(self):
        """A poll must transfer as much after 100 versions as after ten."""
        sent = []

        async def check(deployment):
            with_slow_links(deployment)
            platform = deployment.platform
            version = 1
            for count in (1, 10, 100):
                before = platform.manifest_bytes_sent
                for _ in range(count):
                    version += 1
                    platform.put_tables(gateway_deployment.tables(version))
                await asyncio.sleep(4 * POLL_S)
                sent.append(platform.manifest_bytes_sent - before)

        scenario(check, daemons=1)
        self.assertEqual([sent[0]] * 3, sent)

    def test_calls_after_a_storm(self):
        """After a storm, one call a poll must be enough again."""

        async def check(deployment):
            with_slow_links(deployment)
            await Storm(deployment, 0.05, 5.0).run()
            await asyncio.sleep(3 * POLL_S)
            before = deployment.platform.manifest_bytes_sent
            daemon = deployment.daemons[0]
            self.assertFalse(daemon.tables.manifests.pending)
            await asyncio.sleep(5 * POLL_S)
            self.assertEqual(before, deployment.platform.manifest_bytes_sent)

        scenario(check, daemons=1)
