"""Tests that an unexpected error ends no part of a daemon."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
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
