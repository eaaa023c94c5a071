"""Rates of accounts over whole daemons, in virtual time."""

import asyncio

import testtools

from burdockcart import errors
from burdockcart.process.rates import share_terms
from burdockcart.process.rates.tests import rate_case
from burdockcart.tests import gateway_deployment
from burdockcart.tests import virtual_time

#: Share of the operations within the rate that may be refused.
MAX_REFUSED = 0.02


def refused_below(tally, rate, burst):
    """Return the share of operations that only the division refused."""
    ideal = rate_case.ideal_refusals(tally.sent_at, rate, burst)
    return (len(tally.refused) - ideal) / len(tally.sent_at)


class TestCalm(testtools.TestCase):
    """Demand of 1/1.6 of the rate, as a Poisson process."""

    def _play(self, rate, parts, for_s, seed=0):
        async def play():
            deployment = rate_case.RateDeployment(
                [rate_case.account("a", rate)], daemons=4
            )
            await deployment.settle()
            await asyncio.gather(
                *(
                    deployment.send(
                        number, rate_case.CALM * rate * part, for_s, seed
                    )
                    for number, part in enumerate(parts)
                )
            )
            tally = deployment.tally["a"]
            self.assertLessEqual(
                rate_case.worst_excess(tally.admitted_at, rate, rate), 1e-6
            )
            self.assertLess(refused_below(tally, rate, rate), MAX_REFUSED)
            self.assertLess(tally.longest_wait_s, rate_case.LIMIT_S + 0.01)
            await deployment.stop()

        virtual_time.run(play())

    def test_small_account_on_one_daemon(self):
        """Tokens that wait in the owner's bucket must reach one daemon."""
        for seed in range(2):
            self._play(5.0, [1.0], 120, seed)

    def test_small_account_on_three_daemons(self):
        """Tokens must not lie unused on one daemon while another needs them.

        With a share for each daemon, 22 % were refused.
        """
        for parts in ([0.4, 0.3, 0.3], [0.8, 0.1, 0.1], [0.5, 0.5]):
            self._play(5.0, parts, 120)

    def test_medium_accounts(self):
        """Where tokens begin to be divided, none must be lost."""
        self._play(7.0, [0.4, 0.3, 0.3], 100)
        self._play(10.0, [0.4, 0.3, 0.3], 100)
        self._play(20.0, [0.6, 0.4], 60)

    def test_large_account(self):
        """Shares must cover random clumps of demand."""
        self._play(159.0, [0.4, 0.3, 0.3], 20)


class TestDemand(testtools.TestCase):
    """Shares follow demand."""

    def test_demand_that_moves(self):
        """Guards against a share that stays where the demand was."""

        async def play():
            rate = 40.0
            deployment = rate_case.RateDeployment(
                [rate_case.account("a", rate)], daemons=4
            )
            await deployment.settle()
            for turn in range(10):
                await deployment.send(
                    turn % 4, rate_case.CALM * rate, 3.0, turn
                )
            tally = deployment.tally["a"]
            self.assertLess(refused_below(tally, rate, rate), MAX_REFUSED)
            self.assertLessEqual(
                rate_case.worst_excess(tally.admitted_at, rate, rate), 1e-6
            )
            await deployment.stop()

        virtual_time.run(play())

    def test_hot_account(self):
        """A hot account gets its rate, no more, and is refused at once."""

        async def play():
            rate = 40.0
            deployment = rate_case.RateDeployment(
                [rate_case.account("a", rate), rate_case.account("b", 5.0)],
                daemons=4,
            )
            await deployment.settle()
            began_at = asyncio.get_running_loop().time()
            await asyncio.gather(
                *(
                    deployment.send(number, 7 * rate_case.CALM * rate / 3, 20)
                    for number in range(3)
                ),
                deployment.send(3, 5.0 * rate_case.CALM, 20, name="b"),
            )
            tally = deployment.tally["a"]
            self.assertLessEqual(
                rate_case.worst_excess(tally.admitted_at, rate, rate), 1e-6
            )
            # From a second after the burst on, the whole rate is used.
            _, admitted, _ = tally.between(began_at + 2, began_at + 20)
            self.assertGreater(admitted, 0.9 * rate * 18)
            failures = [failure for _, failure in tally.refused]
            self.assertEqual(
                {errors.ErrorKind.RATE_LIMITED},
                {failure.kind for failure in failures},
            )
            over = [
                each for each in failures if "over its rate" in each.message
            ]
            self.assertGreater(len(over), 0.97 * len(failures))
            # Callers that were refused together must not return together.
            hints = {each.retry_after_ms for each in over[:100]}
            self.assertGreater(len(hints), 10)
            self.assertLess(
                refused_below(deployment.tally["b"], 5.0, 5.0), MAX_REFUSED
            )
            await deployment.stop()

        virtual_time.run(play())


class TestFaults(testtools.TestCase):
    """Owners and daemons that are lost or cut off."""

    def _deployment(self, rate, daemons=4):
        return rate_case.RateDeployment(
            [rate_case.account("a", rate)], daemons=daemons
        )

    def _bounded(self, deployment, rate):
        tally = deployment.tally["a"]
        self.assertLessEqual(
            rate_case.worst_excess(tally.admitted_at, rate, rate), 1e-6
        )

    def _send(self, deployment, rate, owner):
        """Send the usual demand on the daemons that do not own the shard."""
        return [
            asyncio.create_task(
                deployment.send(number, rate_case.CALM * rate / 3, 16)
            )
            for number in range(4)
            if number != owner
        ]

    def test_owner_is_lost(self):
        """The next owner must continue the shares before they expire."""

        async def play(seed):
            rate = 60.0
            deployment = self._deployment(rate)
            await deployment.settle()
            owner = deployment.owner()
            senders = self._send(deployment, rate, owner)
            await asyncio.sleep(4.0 + 0.17 * seed)
            deployment.lose(owner)
            await asyncio.gather(*senders)
            self.assertNotEqual(owner, deployment.owner())
            self._bounded(deployment, rate)
            tally = deployment.tally["a"]
            self.assertLess(refused_below(tally, rate, rate), MAX_REFUSED)

        for seed in range(4):
            virtual_time.run(play(seed))

    def test_owner_shuts_down(self):
        """Shares go on, and small accounts wait for the grace period only.

        An owner that renewed until its end would leave these without one
        for lease and grace period, 4 s.
        """

        async def play(rate, most):
            deployment = self._deployment(rate)
            await deployment.settle()
            owner = deployment.owner()
            senders = self._send(deployment, rate, owner)
            await asyncio.sleep(4.0)
            deployment.daemons[owner].rates.leave()
            await asyncio.sleep(4.5)
            deployment.lose(owner)
            await asyncio.gather(*senders)
            self.assertNotEqual(owner, deployment.owner())
            self._bounded(deployment, rate)
            tally = deployment.tally["a"]
            self.assertLess(refused_below(tally, rate, rate), most)

        virtual_time.run(play(60.0, MAX_REFUSED))
        # 16 s of demand; 1.2 s without grants, and a pool that starts empty.
        virtual_time.run(play(5.0, 0.15))

    def test_half_is_cut_off_while_the_limit_is_lowered(self):
        """Shares of daemons that cannot be told must expire."""

        async def play():
            deployment = self._deployment(60.0)
            await deployment.settle()
            senders = [
                asyncio.create_task(deployment.send(number, 40.0, 25))
                for number in range(4)
            ]
            await asyncio.sleep(3.0)
            lowered_at = asyncio.get_running_loop().time()
            deployment.cut_off(0)
            deployment.cut_off(1)
            deployment.put_accounts([rate_case.account("a", 10.0)])
            await asyncio.gather(*senders)
            self._bounded(deployment, 60.0)
            admitted_at = deployment.tally["a"].admitted_at
            # The owner may have to be replaced first; then old shares last
            # for lease and grace period.
            late = [at for at in admitted_at if at > lowered_at + 10.0]
            self.assertLessEqual(
                rate_case.worst_excess(late, 10.0, 10.0), 1e-6
            )
            self.assertGreater(len(late), 50)

        virtual_time.run(play())

    def test_all_daemons_are_killed_at_once(self):
        """New processes must not grant what old shares still allow."""

        async def play():
            rate = 30.0
            deployment = self._deployment(rate)
            await deployment.settle()
            await asyncio.gather(
                *(deployment.send(number, 40.0, 3) for number in range(4))
            )
            for number in range(4):
                deployment.lose(number)
            deployment.daemons = [deployment.daemon(n) for n in range(4)]
            await deployment.start()
            await asyncio.gather(
                *(deployment.send(number, 40.0, 12) for number in range(4))
            )
            self._bounded(deployment, rate)
            self.assertGreater(
                len(deployment.tally["a"].admitted_at), 8 * rate
            )
            await deployment.stop()

        virtual_time.run(play())

    def test_daemon_that_is_cut_off_and_comes_back(self):
        """A daemon that was alone must not go on with an old share."""

        async def play():
            rate = 30.0
            deployment = self._deployment(rate)
            await deployment.settle()
            senders = [
                asyncio.create_task(deployment.send(number, 20.0, 20))
                for number in range(4)
            ]
            await asyncio.sleep(3.0)
            deployment.cut_off(deployment.owner())
            await asyncio.sleep(6.0)
            deployment.peers.cut.clear()
            for daemon in deployment.daemons:
                daemon.link.cut = False
            await asyncio.gather(*senders)
            self._bounded(deployment, rate)
            await deployment.stop()

        virtual_time.run(play())


class TestCost(testtools.TestCase):
    """Calls and messages."""

    def test_deployment_without_rates(self):
        """Accounts without a rate must cost neither calls nor messages."""

        async def play(accounts):
            deployment = rate_case.RateDeployment(accounts, daemons=3)
            await deployment.settle()
            frames = deployment.peers.frames
            await asyncio.gather(
                *(deployment.send(number, 50.0, 5) for number in range(3))
            )
            reports = [
                reports._reported_at
                for daemon in deployment.daemons
                for reports in daemon.rates._reports.values()
            ]
            self.assertEqual({float("-inf")}, set(reports))
            self.assertEqual([], deployment.tally["a"].refused)
            shards = deployment.platform.shards
            self.assertEqual((0, 0), (shards.attempts, shards.renewals))
            await deployment.stop()
            return deployment.peers.frames - frames

        without = virtual_time.run(play([]))
        account = rate_case.account("a", None, 0.0)
        self.assertEqual(without, virtual_time.run(play([account])))

    def test_idle_accounts(self):
        """An account without demand must cause no messages."""

        async def play():
            deployment = rate_case.RateDeployment(
                [rate_case.account("a", 20.0)], daemons=3
            )
            await deployment.settle()
            await asyncio.gather(
                *(deployment.send(number, 5.0, 2) for number in range(3))
            )
            await asyncio.sleep(share_terms.IDLE_S + share_terms.REPORT_S)
            before = [self._reported(each) for each in deployment.daemons]
            await asyncio.sleep(20.0)
            after = [self._reported(each) for each in deployment.daemons]
            self.assertEqual(before, after)
            await deployment.stop()

        virtual_time.run(play())

    def _reported(self, daemon):
        return [each._reported_at for each in daemon.rates._reports.values()]

    def test_calls_to_the_store(self):
        """Each shard costs the renewals of one owner, whatever the daemons."""

        async def play(daemons):
            deployment = rate_case.RateDeployment(
                [rate_case.account("a", 20.0)], daemons=daemons
            )
            await deployment.settle()
            shards = deployment.platform.shards
            self.assertLess(shards.attempts, 6 * share_terms.SHARDS)
            before = shards.attempts, shards.renewals
            await deployment.send(0, 10.0, 20)
            self.assertEqual(before[0], shards.attempts)
            renewals = share_terms.SHARDS * 20 / share_terms.RENEW_S
            self.assertLess(shards.renewals - before[1], 1.1 * renewals)
            await deployment.stop()

        for daemons in (3, 12):
            virtual_time.run(play(daemons))


class TestRefund(testtools.TestCase):
    """Operations that never left the daemon."""

    def test_operation_that_was_not_sent(self):
        """An operation that no member ran must not use up the rate."""

        async def play():
            deployment = rate_case.RateDeployment(
                [rate_case.account("a", 20.0)], daemons=2
            )
            await deployment.settle()
            daemon = deployment.daemons[0]
            began_at = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < began_at + 12:
                admitted = len(deployment.tally["a"].admitted_at)
                await deployment.one(0)
                if len(deployment.tally["a"].admitted_at) > admitted:
                    daemon.rates.operation_unsent("a")
                await asyncio.sleep(0.04)
            tally = deployment.tally["a"]
            # 25 a second are begun; none of them is sent.
            self.assertEqual(
                [], [f for at, f in tally.refused if at > began_at + 8]
            )
            await deployment.stop()

        virtual_time.run(play())

    def test_accounts_without_a_rate(self):
        """A missing limit is no limit."""

        async def play():
            deployment = gateway_deployment.GatewayDeployment()
            await deployment.start()
            rates = deployment.daemons[0].rates
            for _ in range(100):
                self.assertIsNone(await rates.begin_operation("x", 0.0))
            rates.operation_unsent("x")
            await deployment.stop()

        virtual_time.run(play())
