"""Tests what the log tells about the commits that a promotion discards."""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_own_link
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
scenario = test_sessions.scenario
logged = test_own_link.logged
fields = test_own_link.fields


class TestPromotionCalled(testtools.TestCase):
    """One line tells which logs a promotion went by."""

    def test_positions_before_the_call(self):
        """Without them nobody can tell why a promotion lost commits."""

        async def check(deployment):
            primary = deployment.group.primary
            await (await deployment.client("live")).write()
            await asyncio.sleep(1.0)
            position = primary.received()
            with logged("promotion_called") as lines:
                deployment.enter(primary, manifest.MemberState.DRAINING)
                await gateway_deployment.until(lambda: not primary.leads)
            (line,) = lines
            found = fields(line)
            promoted = deployment.group.primary
            _, _, token = deployment.platform.promotions[-1]
            self.assertEqual(
                ("g", "m-a", promoted.id, str(token), "m-a/1"),
                tuple(
                    found[name]
                    for name in (
                        "group",
                        "primary",
                        "candidate",
                        "token",
                        "not_asked",
                    )
                ),
            )
            at = f"{position.term}.{position.number}"
            self.assertEqual(f"m-b:{at},m-c:{at}", found["received"])
            self.assertIn("cause='drains'", line)

        scenario(check, daemons=2)
