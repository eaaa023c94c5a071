"""Runs the fleet tasks of several daemons over a simulated network.

The network can lose messages, and daemons can be paused.
"""

import asyncio
import random

from burdockcart import clock
from burdockcart.process import executors
from burdockcart.process import fleet
from burdockcart.process import store_client
from burdockcart.tests import fakes
from burdockcart.version import rows

DOMAINS = ("d1", "d2", "d3")


class FleetNetwork:
    """Daemons ``a0``, ``a1``, ... spread over three failure domains."""

    def __init__(self, count, seed=0, listed=(), drain_s=0.0):
        self.wire = fakes.Wire(seed)
        self.peers_by_id = {}
        self.fleet_by_id = {}
        self.domain_by_id = {f"a{n}": DOMAINS[n % 3] for n in range(count)}
        self.listed = [*self.domain_by_id, *listed]
        self.members = [rows.Member(f"m-{d}", d, "") for d in DOMAINS]
        self.drain_s = drain_s
        self._tasks = {}
        self._seeds = random.Random(seed)

    def start(self, name, seeds=(), use_list=True):
        """Start a daemon, or restart one under the same id."""
        self.stop(name)
        own = executors.Daemon(name, self.domain_by_id[name], name)
        peers = fakes.FakePeers(name, self.wire, self.peers_by_id)
        generator = random.Random(self._seeds.random())
        new = fleet.Fleet(own, peers, clock.LoopClock(), generator, seeds)
        new.on_change = lambda: self._assign(name)
        self.fleet_by_id[name] = new
        self._tasks[name] = asyncio.ensure_future(self._drive(name, use_list))

    def stop(self, name):
        """Stop a daemon without notice to the others, as in a crash."""
        if name in self._tasks:
            self._tasks.pop(name).cancel()
            self.fleet_by_id.pop(name).stop()
            self.peers_by_id.pop(name)

    def stop_all(self):
        for name in list(self._tasks):
            self.stop(name)

    async def start_all(self, settle_s=4.0):
        for name in self.domain_by_id:
            self.start(name)
        await asyncio.sleep(settle_s)

    async def _drive(self, name, use_list):
        running, step = self.fleet_by_id[name], 0
        while True:
            if name not in self.wire.frozen:
                if use_list and step % 10 == 0:
                    running.use_list(self._hosts())
                running.step()
            step += 1
            await asyncio.sleep(fleet.TICK_S)

    def _hosts(self):
        return [
            store_client.Host(
                n, "daemon", self.domain_by_id.get(n, "d1"), n, "live"
            )
            for n in self.listed
        ]

    def _assign(self, name):
        own = self.fleet_by_id[name]
        chosen = [m for m in self.members if own.executor_of(m).id == name]
        own.claim(chosen)
        for gone in own.rights.held - {member.id for member in chosen}:
            if self.drain_s:
                loop = asyncio.get_running_loop()
                loop.call_later(self.drain_s, self._released, own, gone)
            else:
                own.released(gone)

    def _released(self, own, member):
        """Release a member; a paused daemon does so after the pause."""
        if own.state.own.id in self.wire.frozen:
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self._released, own, member)
        elif own.holds(member):
            own.released(member)

    def view(self, name):
        """Return the daemons that a daemon has in use."""
        return set(self.fleet_by_id[name].daemon_by_id)

    def views(self):
        """Return the set of distinct views of the running daemons."""
        return {frozenset(self.view(name)) for name in self.fleet_by_id}

    def converged(self):
        """Return whether all running daemons see exactly each other."""
        return self.views() == {frozenset(self.fleet_by_id)}

    def acting(self, member):
        """Return the daemons that may start work on a member now."""
        return [
            name
            for name, each in self.fleet_by_id.items()
            if name not in self.wire.frozen and each.may_act(member.id)
        ]

    async def seconds_until(self, condition, limit_s):
        """Return how long it takes until a condition holds."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not condition() and loop.time() - start < limit_s:
            await asyncio.sleep(0.01)
        return loop.time() - start
