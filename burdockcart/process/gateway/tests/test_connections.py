"""Tests that each connection has one owner and comes back."""

import asyncio

from returns import result
import testtools

from burdockcart import errors
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import command
from burdockcart.request import work_queue
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind


def pool_of(deployment, daemon=0):
    """Return a daemon's pool for the primary."""
    pools = deployment.daemons[daemon].group_by_id[gateway_deployment.GROUP]
    return pools.pool_by_member[deployment.group.primary.id]


class TestOwners(testtools.TestCase):
    """Connections are handed on once, and come back."""

    def test_work_that_was_answered_gets_no_connection(self):
        """A read that another member has answered must take no connection.

        Its wait had ended, but it was queued until its task ran again; the
        connection that it was given in between was never returned.
        """

        async def check(deployment):
            daemon = deployment.daemons[0]
            group = daemon.group_by_id[gateway_deployment.GROUP]
            pool = pool_of(deployment)
            await (await deployment.client("live")).write()
            loop = asyncio.get_running_loop()
            work = work_queue.Work(
                priority=1,
                goal_at=loop.time() + 0.1,
                give_up_at=loop.time() + 0.5,
                connection=loop.create_future(),
            )
            idle, pool._idle = pool._idle, []
            acquiring = asyncio.create_task(group.acquire(work))
            await asyncio.sleep(0)
            pool._idle = idle
            failure = errors.Failure(errors.ErrorKind.OVERLOADED, "answered")
            work.connection.set_result(result.Failure(failure))
            group.dispatch()
            self.assertEqual(failure, (await acquiring).failure())
            self.assertEqual(0, pool.busy_count)

        test_sessions.scenario(check)

    def test_connection_returned_twice(self):
        """A second return must not put it into two hands."""

        async def check(deployment):
            pool = pool_of(deployment)
            await (await deployment.client("live")).write()
            connection = pool.take({}, None)
            pool.resize(connection_share.Share(8, 8))
            pool.give_back(connection)
            pool.give_back(connection)
            self.assertEqual(1, pool._idle.count(connection))

        test_sessions.scenario(check)

    def test_open_transaction_is_not_handed_on(self):
        """A connection in a transaction must not be reused."""

        async def check(deployment):
            pool = pool_of(deployment)
            await (await deployment.client("live")).write()
            connection = pool.take({}, None)
            await connection.channel.begin(False, 1.0)
            pool.give_back(connection)
            self.assertNotIn(connection, pool._idle)
            self.assertTrue(connection.channel.closed)

        test_sessions.scenario(check)

    def test_client_gone_while_its_transaction_began(self):
        """A transaction that nobody waits for must not stay open."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.write()
            await client.send(Kind.BEGIN)
            for each in deployment.group.primary.connections:
                each.latency_s = 0.02
            running = asyncio.create_task(client.write())
            await asyncio.sleep(0.01)
            client.session.close()
            reply = await running
            self.assertFalse(gateway_deployment.ok(reply))
            await asyncio.sleep(1.0)
            self.assertEqual(0, pool_of(deployment).busy_count)
            states = {
                each.state.value
                for each in deployment.group.primary.connections
            }
            self.assertEqual({"idle"}, states)

        test_sessions.scenario(check)

    def test_failed_query_returns_its_connection(self):
        """A fault in a query must not take a connection for good."""

        async def check(deployment):
            pool = pool_of(deployment)
            await (await deployment.client("live")).write()
            running = pool.health.running

            async def fail(channel):
                raise ValueError("a fault in the program")

            try:
                await pool.query(fail)
            except ValueError:
                pass
            self.assertEqual(0, pool.busy_count)
            self.assertEqual(running, pool.health.running)

        test_sessions.scenario(check)

    def test_failed_opening_is_not_counted(self):
        """A connection that could not be opened must not count as one."""

        async def check(deployment):
            pool = pool_of(deployment)
            connector = deployment.daemons[0].connector

            async def fail(address, timeout_s, account=None):
                raise ValueError("a fault in the program")

            self.patch(connector, "connect", fail)
            pool.open()
            await asyncio.gather(*pool._opening, return_exceptions=True)
            self.assertEqual(0, pool.opening_count)

        test_sessions.scenario(check)

    def test_cancelled_begin_returns_its_connection(self):
        """A client that is cut off must not take a connection for good."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.write()
            await client.send(Kind.BEGIN)
            for each in deployment.group.primary.connections:
                each.latency_s = 0.05
            running = asyncio.create_task(client.write())
            await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            self.assertEqual(0, pool_of(deployment).busy_count)

        test_sessions.scenario(check)

    def test_commit_without_its_group(self):
        """A transaction must end whose group has left the manifest."""

        async def check(deployment):
            client = await deployment.client("live")
            await client.send(Kind.BEGIN)
            await client.write()
            daemon = deployment.daemons[0]
            group = daemon.group_by_id.pop(gateway_deployment.GROUP)
            reply = await client.send(Kind.COMMIT, "COMMIT")
            self.assertFalse(gateway_deployment.ok(reply))
            await asyncio.sleep(1.0)
            busy = [p.busy_count for p in group.pool_by_member.values()]
            self.assertEqual([0, 0, 0], busy)
            self.assertEqual([], deployment.group.acknowledged)
            states = {
                each.state.value
                for each in deployment.group.primary.connections
            }
            self.assertEqual({"idle"}, states)
            group.close()

        test_sessions.scenario(check)
