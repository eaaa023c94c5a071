"""Tests groups that lose several members within seconds.

A crashed member refuses connections at its address; its entry stays for a
while.
"""

import asyncio
import contextlib

import loguru
import testtools

from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP
scenario = test_sessions.scenario


@contextlib.contextmanager
def log_lines():
    """Collect the log lines of all daemons."""
    lines = []
    sink = loguru.logger.add(lines.append, format="{message}", level="INFO")
    try:
        yield lines
    finally:
        loguru.logger.remove(sink)


def cut_off(deployment, member):
    """Cut a member off from all daemons, not from the other members."""
    for daemon in deployment.daemons:
        daemon.connector.cut.add(member.id)


class TestPutOff(testtools.TestCase):
    """What the log tells of a promotion that is put off."""

    def test_line_without_the_missing_members(self):
        """An operator must see who is missing, and why."""

        async def check(deployment):
            primary, first, lost = deployment.members
            await test_failover.writes_for(deployment, 0.5)
            lost.crash()
            primary.crash()
            deployment.platform.remove_member(lost.id)
            with log_lines() as lines:
                await asyncio.sleep(12.0)
            put_off = [
                each for each in lines if "event=promotion_put_off" in each
            ]
            self.assertIn(
                "members=m-a/1:primary,m-c/1:not_listed", "".join(put_off)
            )

        scenario(check, daemons=2)

    def test_line_without_the_replica_that_cannot_be_asked(self):
        """The same for a replica that is listed."""

        async def check(deployment):
            primary, first, lost = deployment.members
            await test_failover.writes_for(deployment, 0.5)
            cut_off(deployment, lost)
            primary.crash()
            with log_lines() as lines:
                await asyncio.sleep(3.0)
            self.assertIn("members=m-c/1:not_reached", "".join(lines))

        scenario(check, daemons=2)
