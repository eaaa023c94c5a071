"""Tests an operator's promotion beside random faults.

Clients write all the time.  The operator has accepted to lose what was
acknowledged before; nothing that is acknowledged from then on may be lost.
"""

import asyncio
import random

import testtools

from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_operator_promotion

SEEDS = range(8)
DAEMONS = 3
#: Time in which faults begin, and until the end, in seconds.
FAULTS_S = 6.0
END_S = 30.0


class Play:
    """One run with the faults of a seed."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self.endings = []
        self.lost = None
        self.tokens = []
        self.members = []
        self.written = 0

    def run(self):
        """Play the run; return it."""
        test_operator_promotion.scenario(self._check, daemons=DAEMONS)
        return self

    async def _check(self, deployment, host, primary, first, second):
        rng = self._rng
        platform = deployment.platform
        writers = test_open_calls.Writers(deployment, range(DAEMONS))
        platform.lose_promotions = rng.choice((0, 0, 1, 3))
        platform.late_s = rng.uniform(1.0, 12.0)
        events = [
            self._command(host, rng.uniform(0.0, 1.0), first.id, "ann"),
        ]
        if rng.random() < 0.4:
            events.append(self._return(deployment, primary))
        if rng.random() < 0.4:
            events.append(self._return(deployment, deployment.members[2]))
        if rng.random() < 0.4:
            events.append(self._cut(rng.choice(deployment.daemons)))
        if rng.random() < 0.3:
            other = test_operator_promotion.Host(deployment)
            pause_s = rng.uniform(0.0, FAULTS_S)
            events.append(self._command(other, pause_s, second.id, "eve"))
        if rng.random() < 0.3:
            events.append(self._believe(rng.choice(deployment.daemons)))
        if rng.random() < 0.3:
            events.append(self._restart(second))
        running = [asyncio.create_task(each) for each in events]
        if rng.random() < 0.25:
            pause_s = rng.uniform(0.0, FAULTS_S)
            asyncio.get_running_loop().call_later(pause_s, running[0].cancel)
        await asyncio.sleep(END_S)
        writers.stop()
        await asyncio.sleep(1.0)
        await asyncio.wait(running)
        self.lost = writers.lost(deployment.group.primary)
        self.written = len(writers.told)
        self.tokens = [token for _, _, token in platform.promotions]
        self.members = [member for _, member, _ in platform.promotions]

    async def _command(self, host, pause_s, member, name):
        await asyncio.sleep(pause_s)
        ending = await host.promote(member, name=name)
        self.endings.append((name, ending))

    async def _return(self, deployment, member):
        """Let a lost member come back with its log."""
        await asyncio.sleep(self._rng.uniform(0.0, FAULTS_S))
        member.crashed, member.held_term = False, None
        if member is not deployment.group.primary:
            member.follow(deployment.group.primary)
        deployment.enter(member)

    async def _cut(self, daemon):
        """Cut a daemon off from the store for a while."""
        await asyncio.sleep(self._rng.uniform(0.0, FAULTS_S))
        daemon.link.store_cut = True
        await asyncio.sleep(self._rng.uniform(1.0, 5.0))
        daemon.link.store_cut = False

    async def _believe(self, daemon):
        """Let a daemon take any logs for complete."""
        await asyncio.sleep(self._rng.uniform(0.0, FAULTS_S))
        test_operator_promotion.believe_proved(daemon)

    async def _restart(self, member):
        """Let a replica lose its hold and its connections."""
        await asyncio.sleep(self._rng.uniform(0.0, FAULTS_S))
        member.held_term = None
        for channel in list(member.connections):
            channel.close()
        member.catch_up()


class TestInterplay(testtools.TestCase):
    """Runs with the seeds of this file."""

    def test_seeds(self):
        """No write may be lost that clients were told to be done."""
        done = 0
        for seed in SEEDS:
            play = Play(seed).run()
            self.assertEqual([], play.lost, seed)
            self.assertEqual(len(set(play.tokens)), len(play.tokens), seed)
            done += any(
                ending.outcome is test_operator_promotion.Outcome.DONE
                for _, ending in play.endings
            )
        self.assertGreater(done, len(SEEDS) // 3)
