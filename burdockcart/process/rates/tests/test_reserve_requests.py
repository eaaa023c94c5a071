"""Requests for tokens of the reserve, with daemons that a test answers for."""

import asyncio
import types

import testtools

from burdockcart import clock
from burdockcart.process.gateway.store import coordination
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import permit_holder
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import reserve_policy
from burdockcart.process.rates import reserve_requests
from burdockcart.process.rates import shard_order
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates import share_terms
from burdockcart.tests import gateway_deployment

ACCOUNT = "a"
SHARD = share_terms.shard_of(ACCOUNT)
ENTRIES = {
    name: coordination.DaemonEntry(name, "-", name, "-")
    for name in ("d0", "d1", "d2", "d3")
}


class Carrier:
    """Answers after a time, by daemon; None never."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    async def ask(self, daemon, shard, counts):
        self.asked.append(daemon.id)
        delay_s, tokens = self.answers[len(self.asked) - 1]
        await asyncio.sleep(delay_s)
        return tokens


def tokens(count, permitted=True):
    """Return an answer with tokens."""
    return permit_terms.Tokens([(ACCOUNT, count)], permitted)


class TestReserveRequests(testtools.TestCase):
    """What a daemon without a permit does."""

    def _ask(self, answers, after_s, waiting=1):
        """Ask, and return what may be admitted, and who was asked."""

        async def play():
            loop_clock = clock.LoopClock()
            now = loop_clock.now()
            order = shard_order.ShardOrder(SHARD, lambda: ENTRIES)
            policy = reserve_policy.ReservePolicy(5.0, 0.1, 20.0)
            local = local_shares.LocalShares()
            local.share(ACCOUNT, now).waiting = waiting
            holder = permit_holder.PermitHolder(SHARD, "d9", policy, order)
            holder.use_limits({ACCOUNT: share_ledger.Limit(5.0, 5.0)})
            carrier = Carrier(answers)
            requests = reserve_requests.ReserveRequests(
                SHARD,
                holder,
                types.SimpleNamespace(
                    ownership=types.SimpleNamespace(owner=None)
                ),
                types.SimpleNamespace(notify=lambda: None),
                local,
                carrier,
                lambda: ENTRIES,
                loop_clock,
                loop_clock,
            )
            task = asyncio.create_task(requests.run())
            requests.ask(ACCOUNT)
            await asyncio.sleep(after_s)
            admitted = sum(requests.spend(ACCOUNT) for _ in range(9))
            task.cancel()
            return admitted, carrier.asked, requests.empty(ACCOUNT)

        return gateway_deployment.run(play())

    def test_answer_that_is_late(self):
        """Guards against tokens that the issuer no longer counts."""
        late = [(0.06, tokens(1)), (0.06, tokens(0))]
        admitted, _, _ = self._ask(late, share_terms.TOKEN_S - 0.01)
        self.assertEqual(1, admitted)
        admitted, _, _ = self._ask(late, share_terms.TOKEN_S + 0.01)
        self.assertEqual(0, admitted)

    def test_daemon_that_does_not_answer(self):
        """Guards against operations that wait for a lost daemon only."""
        answers = [(9.0, None), (0.001, tokens(1))]
        admitted, asked, _ = self._ask(answers, 0.03)
        self.assertEqual((1, 2), (admitted, len(set(asked))))

    def test_daemon_with_too_few_tokens(self):
        """Guards against the loss of half of the reserve."""
        answers = [(0.001, tokens(1)), (0.001, tokens(2))]
        admitted, asked, _ = self._ask(answers, 0.01, waiting=3)
        self.assertEqual((3, 2), (admitted, len(set(asked))))

    def test_daemons_without_permits(self):
        """Guards against requests without a pause when there is no reserve."""
        answers = [(0.001, tokens(0, False))] * 2
        admitted, asked, empty = self._ask(answers, 0.01)
        self.assertEqual((0, 2, True), (admitted, len(asked), empty))
