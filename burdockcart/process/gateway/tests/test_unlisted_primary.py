"""Tests the replacement of a primary that runs without an entry.

No daemon is told of the call, as none may send it new work.  A transaction
that has begun before goes on.
"""

import asyncio

import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP
#: Times from the hold until a transaction ends, in seconds.
COMMIT_AFTER_S = (0.0, 0.02, 0.04)


class TestTransaction(testtools.TestCase):
    """A transaction ends while the platform is called."""

    def play(self, commit_after_s):
        """Let a member join right after the hold."""

        async def check(deployment):
            kind = command.CommandKind
            primary = deployment.group.primary
            calls = test_open_calls.Calls(deployment, 3.0, all_late=True)
            await asyncio.sleep(2.0)
            clients = [
                await deployment.client("live", number) for number in range(3)
            ]
            deployment.platform.remove_member(primary.id)
            for client in clients:
                await client.send(kind.BEGIN, "BEGIN")
                await client.write()
            knowing = dict(zip(deployment.daemons, clients, strict=True))
            while knowing:
                for daemon, client in list(knowing.items()):
                    group = daemon.group_by_id[GROUP]
                    if primary.id in group.pool_by_member:
                        await client.read()
                    else:
                        del knowing[daemon]
                await asyncio.sleep(0.01)
            await gateway_deployment.until(
                lambda: any(each.held_term for each in deployment.members)
            )
            for member in deployment.members:
                if member is not primary and member.held_term is None:
                    member.replication_cut = True
            joined = test_replica_rosters.new_member(
                deployment, "m-d", listed=False
            )
            joined.catch_up()
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            await asyncio.sleep(commit_after_s)
            replies = await asyncio.gather(
                *(each.send(kind.COMMIT, "COMMIT") for each in clients)
            )
            told = [
                each.sent[1][0].id
                for each, reply in zip(clients, replies, strict=True)
                if gateway_deployment.ok(reply)
            ]
            await asyncio.sleep(6.0)
            leader = deployment.group.primary
            self.assertIsNot(primary, leader)
            kept = {w for commit in leader.log for w, _ in commit.writes}
            self.assertEqual([], [each for each in told if each not in kept])

        test_sessions.scenario(check, daemons=3)

    def test_commit_beside_a_call(self):
        """What a member that joined has alone must not be told as done."""
        for commit_after_s in COMMIT_AFTER_S:
            with self.subTest(commit_after_s=commit_after_s):
                self.play(commit_after_s)
