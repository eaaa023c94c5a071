"""Tests notices of promotion calls while the number of daemons changes.

With a fifth daemon, members are held by some of them only.  A daemon that has
not read the new list still connects to the primary itself.
"""

import asyncio
import itertools

import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

#: Times at which the fifth daemon joins, in seconds.
JOINS_S = (1.0, 1.4, 1.8, 2.2)


class TestGrowingFleet(testtools.TestCase):
    """A daemon joins, and all but one daemon lose the primary."""

    def play(self, reaches, joins_s):
        """Play it with one daemon that reaches the primary.

        Returns whether the platform was called: while a detour serves, the
        others need no promotion.
        """
        called = []

        async def check(deployment):
            primary = deployment.group.primary
            await gateway_deployment.until(
                lambda: all(
                    each.tables.informed for each in deployment.daemons
                )
            )
            writers = test_open_calls.Writers(deployment, range(4))
            calls = test_open_calls.Calls(deployment, 4.0, all_late=True)
            await asyncio.sleep(joins_s)
            await deployment.join(4)
            for number, daemon in enumerate(deployment.daemons):
                if number != reaches:
                    daemon.connector.cut.add(primary.id)
            done, _ = await asyncio.wait([calls.first], timeout=8.0)
            if not done:
                return
            called.append(True)
            name, _ = calls.first.result()
            candidate = deployment.group.member_by_id[name]
            candidate.replication_cut = True
            await asyncio.sleep(0.02)
            test_replica_rosters.new_member(deployment, "m-d").catch_up()
            await asyncio.sleep(5.0)
            writers.stop()
            self.assertIs(candidate, deployment.group.primary)
            self.assertEqual([], writers.lost(candidate))

        test_sessions.scenario(check, daemons=4)
        return bool(called)

    def test_daemon_that_holds_the_primary_by_an_older_list(self):
        """It must be told of a call, too."""
        called = 0
        for reaches, joins_s in itertools.product(range(4), JOINS_S):
            with self.subTest(reaches=reaches, joins_s=joins_s):
                called += self.play(reaches, joins_s)
        self.assertGreaterEqual(called, 6)
