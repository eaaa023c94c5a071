"""Guards the messages and calls of idle accounts, in virtual time."""

import asyncio

import testtools

from burdockcart.process.rates import share_terms
from burdockcart.process.rates.tests import rate_case
from burdockcart.tests import virtual_time

DAEMONS = 4
#: Time that is compared, in seconds; each interval of the daemons fits into
#: it many times.
IDLE_S = 30.0
#: Messages that docs/overload-and-rates.md allows for each shard and second:
#: two daemons with a permit report each 0.5 s and get an answer.
MAX_PER_SHARD_S = 8
#: Calls to the store for each shard and second: the owner's renewals.
MAX_CALLS_PER_SHARD_S = 1.1 / share_terms.RENEW_S
#: Difference between two runs whose intervals begin at other times: one
#: interval of each of the daemons' timers.  369 and 370 calls were seen.
EDGE = share_terms.SHARDS + 2 * DAEMONS


class CountedPlatform:
    """Platform that notes the name of each call.

    Parameters
    ==========

    calls : list of str
        Gets the names.

    """

    def __init__(self, platform, calls):
        self._platform = platform
        self._calls = calls

    def __getattr__(self, name):
        found = getattr(self._platform, name)
        if not asyncio.iscoroutinefunction(found):
            return found

        async def call(*arguments):
            self._calls.append(name)
            return await found(*arguments)

        return call


class TestIdleCost(testtools.TestCase):
    """Messages between daemons and calls to the store."""

    def cost(self, accounts, used):
        """Return messages and calls of idle accounts that were used or not."""

        async def play():
            deployment = rate_case.RateDeployment(accounts, daemons=DAEMONS)
            calls = []
            for daemon in deployment.daemons:
                platform = CountedPlatform(deployment.platform, calls)
                daemon.link._platform = platform
            await deployment.settle(8.0)
            if used:
                await asyncio.gather(
                    *(
                        deployment.send(number, 2.0, 2.0, name=each.name)
                        for number in range(DAEMONS)
                        for each in accounts
                    )
                )
            # Shares are returned, and what waited for a token is over.
            await asyncio.sleep(share_terms.IDLE_S + 4 * share_terms.REPORT_S)
            frames, before = deployment.peers.frames, len(calls)
            await asyncio.sleep(IDLE_S)
            result = deployment.peers.frames - frames, len(calls) - before
            await deployment.stop()
            return result

        return virtual_time.run(play())

    def accounts(self, count):
        """Return accounts with a rate, small ones and divided ones."""
        return [
            rate_case.account(f"a{number}", 6.0 if number % 2 else 20.0)
            for number in range(count)
        ]

    def check(self, count, used):
        """Check that many accounts cost as much as one."""
        one = self.cost(self.accounts(1), used)
        many = self.cost(self.accounts(count), used)
        # A single message or call for each account would show.
        self.assertGreater(count - 1, EDGE)
        for alone, found in zip(one, many):
            self.assertLessEqual(found, alone + EDGE)

    def test_accounts_that_were_never_used(self):
        """Guards against messages or calls for each account with a rate."""
        self.check(200, used=False)

    def test_accounts_that_were_used(self):
        """Guards against reports for accounts that have become idle."""
        self.check(60, used=True)

    def test_deployment_without_accounts(self):
        """Guards against a cost of rates that is not constant per shard."""
        frames, calls = self.cost([], used=False)
        for used in (False, True):
            found = self.cost(self.accounts(40), used)
            shard_s = share_terms.SHARDS * IDLE_S
            self.assertLessEqual(found[0] - frames, shard_s * MAX_PER_SHARD_S)
            self.assertLessEqual(
                found[1] - calls, shard_s * MAX_CALLS_PER_SHARD_S
            )
            # Otherwise the calls are not counted.
            self.assertGreater(found[1] - calls, 0)
