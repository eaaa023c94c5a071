"""Tests that an unexpected error ends no part of a daemon."""

import asyncio

import testtools

from burdockcart.process.gateway.store import store_follower
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.process.rates import share_terms
from burdockcart.process.rates.tests import rate_case
from burdockcart.tests import gateway_deployment

scenario = test_sessions.scenario


def failing_once(owner, name):
    """Make a method of an object raise at its next call."""
    method = getattr(owner, name)

    def fail(*arguments):
        setattr(owner, name, method)
        raise RuntimeError(f"fault put into {name}")

    setattr(owner, name, fail)


class TestTasks(testtools.TestCase):
    """Errors inside the tasks of a daemon."""

    def survives(self, path, name):
        """Check that a daemon still replaces a primary after an error."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            failing_once(getattr(daemon, path), name)
            await asyncio.sleep(1.0)
            deployment.group.primary.crash()
            replies = await test_failover.writes_for(deployment, 3.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=1)

    def test_scan_of_primaries(self):
        """An error in the scan must not end the failover."""
        self.survives("_failover", "scan")

    def test_scan_of_members(self):
        """An error in the checks of members must not end them."""
        self.survives("_reachability", "scan")

    def test_store(self):
        """An error while applying the store must not end the polls."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            failing_once(daemon, "members_changed")
            deployment.enter(deployment.members[0])
            await asyncio.sleep(2.5)
            deployment.platform.put_tables(gateway_deployment.tables(9))
            await asyncio.sleep(4.0)
            self.assertEqual(9, daemon.tables.current.version)

        scenario(check, daemons=1)


class TestFailingTasks(testtools.TestCase):
    """A task that ends must not leave a daemon that says it is ready."""

    def check_not_ready(self, owner, step, fault):
        """Let a step of a task end the task, each time that it runs.

        The daemon is not ready then, and works again once the step does.
        """

        async def check(deployment):
            daemon = deployment.daemons[0]
            found = getattr(daemon, owner) if owner else daemon
            self.assertTrue(daemon.ready())
            setattr(found, step, fault)
            await asyncio.sleep(8.0)
            self.assertFalse(daemon.ready())
            delattr(found, step)
            await asyncio.sleep(8.0)
            self.assertTrue(daemon.ready())
            deployment.platform.put_tables(gateway_deployment.tables(9))
            await asyncio.sleep(4.0)
            self.assertEqual(9, daemon.tables.current.version)

        scenario(check, daemons=1)

    def fail(self, *arguments):
        """End the task by an error that no code expects."""
        raise RecursionError("fault of a test")

    async def fail_later(self, *arguments):
        """End the task in the same way from a coroutine."""
        raise RecursionError("fault of a test")

    async def cancel(self, *arguments):
        """End the task because something that it waits for was cancelled."""
        raise asyncio.CancelledError

    def test_store_follower(self):
        """Guards against a daemon that follows no manifest."""
        self.check_not_ready("tables", "_use_changes", self.fail)

    def test_store_follower_is_cancelled(self):
        """Guards against a cancellation that nobody asked for."""
        self.check_not_ready("tables", "_pause", self.cancel)

    def test_manifest_reader(self):
        """Guards against a daemon that follows no large manifest."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            deployment.platform.manifest_bytes = 10 * store_follower.POLL_BYTES
            daemon.tables.manifests._read = self.fail_later
            deployment.platform.put_tables(gateway_deployment.tables(9))
            await asyncio.sleep(8.0)
            self.assertFalse(daemon.ready())
            del daemon.tables.manifests._read
            await asyncio.sleep(8.0)
            self.assertTrue(daemon.ready())
            self.assertEqual(9, daemon.tables.current.version)

        scenario(check, daemons=1)

    def test_supervision(self):
        """Guards against a daemon that replaces no primary."""
        self.check_not_ready("_failover", "scan", self.fail)

    def test_roster_keeper(self):
        """Guards against a daemon that records no members."""
        self.check_not_ready("_rosters", "_keep", self.fail)

    def test_reserved_claims(self):
        """Guards against a daemon without tokens for outages."""
        self.check_not_ready("_reserved", "_needs_claim", self.fail)

    def test_listing(self):
        """Guards against a daemon that no other one knows."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            daemon._listing._renew = self.fail_later
            daemon._listing._platform.eras.observe(1)
            deployment.platform.era = 1
            await asyncio.sleep(8.0)
            self.assertFalse(daemon.ready())

        scenario(check, daemons=1)

    def test_link_key(self):
        """Guards against a daemon without links to others."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            daemon._link_key._platform.write_fleet_key = self.fail_later
            daemon._link_key.missing()
            await asyncio.sleep(8.0)
            self.assertFalse(daemon.ready())

        scenario(check, daemons=1)

    def check_rates(self, owner, step, fault):
        """Let a loop of the rates end; the daemon is not ready then."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            rated = rate_case.with_accounts(
                gateway_deployment.tables(), [rate_case.account("a", 9.0)], 2
            )
            deployment.platform.put_tables(rated)
            await asyncio.sleep(6.0)
            self.assertIsNone(await daemon.rates.begin_operation("a", 0.05))
            shard = share_terms.shard_of("a")
            found = getattr(daemon.rates, owner)[shard]
            setattr(found, step, fault)
            await asyncio.sleep(4.0)
            await daemon.rates.begin_operation("a", 0.05)
            await asyncio.sleep(4.0)
            self.assertFalse(daemon.ready())
            delattr(found, step)
            await asyncio.sleep(8.0)
            self.assertTrue(daemon.ready())
            self.assertIsNone(await daemon.rates.begin_operation("a", 0.05))

        scenario(check, daemons=1)

    def test_shard_keeper(self):
        """Guards against a shard that nobody owns."""
        self.check_rates("_keepers", "_pause", self.fail_later)
        self.check_rates("_keepers", "_pause", self.cancel)

    def test_shard_reports(self):
        """Guards against a daemon that gets no shares."""
        self.check_rates("_reports", "_pause", self.fail_later)
        self.check_rates("_reports", "_pause", self.cancel)

    def test_task_that_returns(self):
        """Guards against a loop that ends without an error."""
        kept = []

        async def check(deployment):
            daemon = deployment.daemons[0]

            async def returns():
                kept.append(1)

            daemon._tasks.run_always(returns)
            await asyncio.sleep(1.0)
            self.assertFalse(daemon.ready())
            self.assertGreater(len(kept), 5)

        scenario(check, daemons=1)

    def test_every_task_is_kept(self):
        """Guards against a task that none of these tests ends."""

        async def check(deployment):
            tasks = deployment.daemons[0]._tasks._tasks
            self.assertEqual(
                [
                    "GatewayApplication._run_rates",
                    "GatewayApplication._supervise",
                    "LinkKey.run",
                    "Listing.run",
                    "ManifestReader.run",
                    "ReservedClaims.run",
                    "RosterKeeper.run",
                    "StoreFollower.run",
                ],
                sorted(each.get_name() for each in tasks),
            )

        scenario(check, daemons=1)


class TestAttempts(testtools.TestCase):
    """Unexpected errors in an attempt to replace a primary."""

    def test_pause_after_an_error(self):
        """Each attempt claims the promotion, so the next one must wait."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            begun = []

            async def fail(*arguments):
                begun.append(arguments)
                raise OverflowError("fault of a test")

            daemon._failover._promoter.replace = fail
            deployment.group.primary.crash()
            await test_failover.writes_for(deployment, 3.0)
            self.assertGreater(len(begun), 2)
            self.assertLess(len(begun), 10)

        scenario(check, daemons=1)


class TestLongOutage(testtools.TestCase):
    """The platform is away for many attempts."""

    def test_store(self):
        """A daemon must follow the store again after thousands of failures.

        The pause after the 1,024th failure did not fit a float.
        """

        async def check(deployment):
            daemon = deployment.daemons[0]
            daemon.tables._backoff._failures = 1022
            daemon._listing._backoff._failures = 1022
            deployment.platform.outage = True
            await asyncio.sleep(10.0)
            deployment.platform.outage = False
            deployment.platform.put_tables(gateway_deployment.tables(9))
            await asyncio.sleep(4.0)
            self.assertEqual(9, daemon.tables.current.version)
            self.assertEqual([], daemon._tasks.failing)

        scenario(check, daemons=1)

    def test_member(self):
        """So must the checks of a member that was away for long."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            group = daemon.group_by_id[gateway_deployment.GROUP]
            replica = deployment.members[1]
            pool = group.pool_by_member[replica.id]
            pool.health.attempts = 1024
            replica.crash()
            await pool.reach(0.1)
            self.assertGreater(pool.health.attempts, 1024)

        scenario(check, daemons=1)
