"""Tests that a daemon tells its own faults from those of members."""

import asyncio
import contextlib

import loguru
import testtools

from burdockcart.process.gateway.tests import test_sessions

scenario = test_sessions.scenario


@contextlib.contextmanager
def logged(*events):
    """Collect the log lines of the given events."""
    lines = []

    def keep(line):
        if any(line.startswith(f"event={each} ") for each in events):
            lines.append(line.strip())

    sink = loguru.logger.add(keep, format="{message}", level="INFO")
    try:
        yield lines
    finally:
        loguru.logger.remove(sink)


def fields(line):
    """Return the fields of a log line by name; values without blanks."""
    return dict(each.split("=", 1) for each in line.split() if "=" in each)


async def reads_for(deployment, seconds, daemon=0, gap_s=0.02):
    """Read repeatedly for a time; return the replies."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    client = await deployment.client("archive", daemon)
    replies = []
    while loop.time() < until:
        replies.append(await client.read())
        await asyncio.sleep(gap_s)
    return replies


class TestLog(testtools.TestCase):
    """What the log says about a check that failed."""

    def test_lost_member(self):
        """Other members answer while one is lost."""

        async def check(deployment):
            reads = asyncio.create_task(reads_for(deployment, 1.0, daemon=1))
            await asyncio.sleep(0.3)
            lost = deployment.members[1]
            lost.unresponsive = True
            with logged("member_unreachable") as lines:
                await reads
            seen = [
                fields(each) for each in lines if f"member={lost.id}" in each
            ]
            # Two checks decide.
            for each in seen[:2]:
                self.assertGreater(int(each["others_answered"]), 0)
                self.assertEqual("2", each["others"])
                self.assertEqual("0", each["others_failing"])

        scenario(check, daemons=2)

    def test_full_link(self):
        """Nothing answers while the daemon's own link is full."""

        async def check(deployment):
            reads = asyncio.create_task(reads_for(deployment, 1.0))
            await asyncio.sleep(0.3)
            with logged("member_unreachable") as lines:
                deployment.daemons[0].host_link.fill(0.5, queue_s=0.4)
                await reads
            self.assertNotEqual([], lines)
            for each in lines:
                self.assertEqual("0", fields(each)["others_answered"])

        scenario(check, daemons=1)
