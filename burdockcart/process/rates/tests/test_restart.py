"""Guards shards whose owners start again: rules, and whole daemons."""

import asyncio
import itertools

from returns import result
import testtools

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import shard_succession
from burdockcart.process.rates import share_terms
from burdockcart.process.rates.tests import rate_case
from burdockcart.tests import virtual_time

POSITION = ids.StorePosition(5)
SHARD = share_terms.shard_of(rate_case.ACCOUNT)


class TestSuccession(testtools.TestCase):
    """Which keys a former process of a daemon has left."""

    def setUp(self):
        super().setUp()
        self.succession = shard_succession.ShardSuccession("d1", 10.0)

    def test_key_of_a_former_process(self):
        """A key of another daemon must not be replaced."""
        self.succession.found(POSITION, "d1")
        self.assertEqual(POSITION, self.succession.position)
        self.succession.found(POSITION + 1, "d2")
        self.assertIsNone(self.succession.position)

    def test_lost_response(self):
        """This process may own the key whose write was not answered."""
        self.succession.write_sent()
        self.succession.found(POSITION, "d1")
        self.assertIsNone(self.succession.position)

    def test_refused_write(self):
        """A write that the store has refused must not hide the key."""
        self.succession.found(POSITION, "d1")
        self.succession.write_sent()
        self.assertIsNone(self.succession.position)
        self.succession.not_written()
        self.assertEqual(POSITION, self.succession.position)

    def test_earlier_lost_response(self):
        """A refusal says nothing of the write before."""
        self.succession.write_sent()
        self.succession.write_sent()
        self.succession.not_written()
        self.succession.found(POSITION, "d1")
        self.assertIsNone(self.succession.position)


class TestDaemons(testtools.TestCase):
    """Whole daemons, in virtual time."""

    def _play(self, change, rate=20.0, for_s=10.0, daemons=4, **options):
        """Let clients of all daemons send while daemons start again."""

        async def play():
            deployment = rate_case.RateDeployment(
                [rate_case.account("a", rate)], daemons=daemons, **options
            )
            await deployment.settle(12.0)
            senders = [
                asyncio.create_task(
                    deployment.send(
                        number, rate_case.CALM * rate / daemons, for_s
                    )
                )
                for number in range(daemons)
            ]
            await asyncio.sleep(3.0)
            await change(deployment)
            await asyncio.gather(*senders)
            tally = deployment.tally["a"]
            self.assertLessEqual(
                rate_case.worst_excess(tally.admitted_at, rate, rate), 1e-6
            )
            await deployment.stop()
            return tally

        return virtual_time.run(play())

    def _keeper(self, deployment, number):
        return deployment.daemons[number].rates._keepers[SHARD]

    async def _until_owned(self, deployment, number):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while self._keeper(deployment, number).ownership.own is None:
            await asyncio.sleep(0.01)
            self.assertLess(loop.time(), began_at + 10.0)
        return loop.time() - began_at

    def test_owner_starts_again(self):
        """It must not wait until the lease of its former process has ended."""

        async def restart(deployment):
            owner = deployment.owner()
            deployment.lose(owner)
            await asyncio.sleep(0.2)
            await deployment.restart(owner)
            owned_after_s = await self._until_owned(deployment, owner)
            self.assertLess(owned_after_s, 1.5)

        self._play(restart, reserve=True)

    def test_owner_starts_again_without_a_reserve(self):
        """Without a census, grants must not wait longer than for the lease.

        Replacing the key at once refused 260 of 522 operations in four runs,
        waiting for the end of the lease 227.
        """

        async def restart(deployment):
            owner = deployment.owner()
            deployment.lose(owner)
            await asyncio.sleep(0.2)
            await deployment.restart(owner)
            await asyncio.sleep(1.5)
            self.assertIsNone(self._keeper(deployment, owner).ownership.own)

        self._play(restart)

    def test_owner_starts_twice(self):
        """Shares that the first process granted must be counted still."""

        async def restart(deployment):
            owner = deployment.owner()
            for _ in range(2):
                deployment.lose(owner)
                await asyncio.sleep(0.05)
                await deployment.restart(owner)
                await self._until_owned(deployment, owner)

        self._play(restart, reserve=True)

    def test_registration_ends(self):
        """What a daemon that is not listed holds must end with its owner.

        It is admitted from the owner's answers meanwhile.
        """

        async def cut(deployment):
            owner = deployment.owner()
            number = next(n for n in range(4) if n != owner)
            deployment.daemons[number].link.store_cut = True
            share = deployment.daemons[number].rates._local.known(
                rate_case.ACCOUNT
            )
            now = deployment.daemons[number].boot_clock.now
            await asyncio.sleep(4.0)
            self.assertGreater(share.limits[0], 0.0)
            await asyncio.sleep(4.5)
            admitted = self.admitted(deployment, number)
            await asyncio.sleep(3.0)
            self.assertGreater(self.admitted(deployment, number), admitted)
            deployment.cut_off(number)
            await asyncio.sleep(0.11)
            self.assertEqual(0.0, share.level(now()))
            admitted = self.admitted(deployment, number)
            await asyncio.sleep(2.0)
            self.assertEqual(admitted, self.admitted(deployment, number))

        self._play(cut, for_s=17.0, reserve=True)

    def admitted(self, deployment, number):
        """Return the operations that a daemon has admitted."""
        return deployment.daemons[number].metrics.registry.get_sample_value(
            "burdockcart_account_operations_total",
            {"account": rate_case.ACCOUNT, "outcome": "used"},
        )

    def test_response_is_lost(self):
        """A key that this process may have written ends with its lease."""

        async def restart(deployment):
            owner = deployment.owner()
            deployment.lose(owner)
            await asyncio.sleep(0.2)
            await deployment.restart(owner)
            link = deployment.daemons[owner].link
            acquire, attempts = link.acquire_shard, itertools.count()

            async def lose_first(shard, *arguments):
                answer = await acquire(shard, *arguments)
                if shard == SHARD and next(attempts) == 0:
                    return result.Failure(coordination.CallFault.NO_ANSWER)
                return answer

            link.acquire_shard = lose_first
            await asyncio.sleep(2.5)
            self.assertIsNone(self._keeper(deployment, owner).ownership.own)

        self._play(restart, reserve=True)

    def test_all_daemons_start_again(self):
        """Nothing must wait for shares of processes that have ended.

        Before the census 235 of 522 operations were refused in four runs,
        most in the 3.8 s after the daemons ran again.
        """

        async def restart(deployment):
            for number in range(4):
                deployment.lose(number)
            await asyncio.sleep(0.8)
            for number in range(4):
                await deployment.restart(number)
            self.again_at = asyncio.get_running_loop().time()

        tally = self._play(restart, reserve=True)
        late = tally.between(self.again_at + 1.5, self.again_at + 6.0)
        self.assertGreater(late[0], 30)
        self.assertLessEqual(late[2], 1)

    def test_daemon_that_does_not_answer(self):
        """Its share may be in use, so nothing is granted before it ends."""

        async def play():
            deployment = rate_case.RateDeployment(
                [rate_case.account("a", 20.0)], daemons=4, reserve=True
            )
            await deployment.settle(12.0)
            owner = deployment.owner()
            cut = next(n for n in range(4) if n != owner)
            sends = asyncio.create_task(deployment.send(cut, 10.0, 8.0))
            await asyncio.sleep(3.0)
            deployment.peers.cut |= {
                frozenset((f"d{cut}", f"d{other}"))
                for other in range(4)
                if other != cut
            }
            deployment.lose(owner)
            await asyncio.sleep(0.1)
            await deployment.restart(owner)
            await self._until_owned(deployment, owner)
            again = asyncio.create_task(deployment.send(owner, 10.0, 4.5))
            ledger = self._keeper(deployment, owner)._ledger
            now = deployment.daemons[owner].boot_clock.now
            await asyncio.sleep(3.0)
            self.assertEqual([], ledger.pools(now()))
            await asyncio.sleep(1.0)
            self.assertEqual(1, len(ledger.pools(now())))
            await asyncio.gather(sends, again)
            await deployment.stop()

        virtual_time.run(play())
