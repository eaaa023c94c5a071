"""Guards the list of daemons and the rights of executors under failures."""

import asyncio

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools

from burdockcart.process import executors
from burdockcart.process.tests import fleet_network
from burdockcart.tests import virtual_time

OUT_OF_USE_S = 2.0


class FleetTestCase(testtools.TestCase):
    """Runs a scenario on a network of fleet tasks."""

    def run_with(self, scenario, count=5, start=True, **options):
        async def body():
            network = fleet_network.FleetNetwork(count, **options)
            if start:
                await network.start_all()
                self.assertTrue(network.converged(), network.views())
            try:
                await scenario(network)
            finally:
                network.stop_all()

        virtual_time.run(body())

    def assert_one_executor(self, network):
        for member in network.members:
            self.assertEqual(1, len(network.acting(member)), member.id)


class TestMembership(FleetTestCase):
    """The views of all daemons converge after a failure or restart."""

    def test_dead_daemon_is_out_of_use(self):
        """Guards against use of a dead host that is still listed."""

        async def scenario(network):
            network.stop("a1")
            passed = await network.seconds_until(network.converged, 5)
            self.assertLessEqual(passed, OUT_OF_USE_S)
            await asyncio.sleep(5)
            self.assertTrue(network.converged())

        for count in (2, 5, 9, 30):
            self.run_with(scenario, count)

    def test_several_dead_daemons_are_out_of_use(self):
        """Guards against dead daemons that no live daemon monitored."""

        async def scenario(network):
            for name in ("a0", "a3", "a6", "a9", "a12"):
                network.stop(name)
            passed = await network.seconds_until(network.converged, 5)
            self.assertLessEqual(passed, OUT_OF_USE_S)

        self.run_with(scenario, 30)

    def test_listed_host_without_sign_of_life_is_not_used(self):
        """Guards against roles for a host that never started."""

        async def scenario(network):
            await asyncio.sleep(5)
            self.assertTrue(network.converged())
            self.assert_one_executor(network)

        self.run_with(scenario, 4, listed=("ghost",))

    def test_daemon_is_replaced_under_its_id(self):
        """Guards against a new process mistaken for its predecessor."""

        async def scenario(network):
            before = network.fleet_by_id["a0"].state.incarnation
            network.start("a0")
            await asyncio.sleep(1.5)
            self.assertGreater(
                network.fleet_by_id["a0"].state.incarnation, before
            )
            await asyncio.sleep(2)
            self.assertTrue(network.converged())
            self.assert_one_executor(network)

        for count in (5, 15):
            self.run_with(scenario, count)

    def test_whole_fleet_restarts_at_once(self):
        """Guards against daemons that wait for each other for ever."""

        async def scenario(network):
            for name in network.domain_by_id:
                network.start(name)
            passed = await network.seconds_until(network.converged, 10)
            self.assertLessEqual(passed, 3.0)
            await asyncio.sleep(2)
            self.assert_one_executor(network)

        for count in (5, 30):
            self.run_with(scenario, count)

    def test_domain_is_cut_off_and_comes_back(self):
        """Guards against views that stay split after a partition heals."""

        async def scenario(network):
            inside = {n for n, d in network.domain_by_id.items() if d == "d1"}
            outside = set(network.domain_by_id) - inside
            network.wire.cut_between(inside, outside)
            split = {frozenset(inside), frozenset(outside)}
            passed = await network.seconds_until(
                lambda: network.views() == split, 10
            )
            self.assertLessEqual(passed, 2.5)
            await asyncio.sleep(5)
            self.assertEqual(split, network.views())
            network.wire.heal()
            passed = await network.seconds_until(network.converged, 20)
            self.assertLessEqual(passed, 5.0)
            await asyncio.sleep(2)
            self.assert_one_executor(network)

        for count in (6, 30):
            self.run_with(scenario, count)

    def test_lossy_link_changes_nothing(self):
        """Guards against a view that flaps because of one bad link."""

        async def scenario(network):
            for link in (("a0", "a1"), ("a1", "a0")):
                network.wire.loss_by_link[link] = 0.5
            for _ in range(1200):
                await asyncio.sleep(0.05)
                self.assertTrue(network.converged())

        self.run_with(scenario)

    def test_lost_updates_are_recovered(self):
        """Guards against views that differ for ever after lost messages."""

        async def scenario(network):
            network.wire.loss = 0.8
            for name in ("a0", "a7", "a14"):
                network.stop(name)
            await asyncio.sleep(3)
            for name in ("a0", "a7"):
                network.start(name)
            await asyncio.sleep(3)
            network.wire.loss = 0.0
            passed = await network.seconds_until(network.converged, 30)
            self.assertLessEqual(passed, 10.0)

        self.run_with(scenario, 30)

    def test_daemon_starts_without_the_list(self):
        """Guards against a start that depends on the store."""

        async def scenario(network):
            seed = executors.Daemon("a0", "d1", "a0")
            for name in network.domain_by_id:
                network.start(name, seeds=(seed,), use_list=False)
            await asyncio.sleep(6)
            self.assertTrue(network.converged(), network.views())
            self.assert_one_executor(network)

        self.run_with(scenario, start=False)


class TestRights(FleetTestCase):
    """At most one daemon acts for a member."""

    async def watch(self, network, duration_s):
        """Check every 5 ms that no two daemons act for a member."""
        for _ in range(int(duration_s / 0.005)):
            for member in network.members:
                acting = network.acting(member)
                self.assertLessEqual(len(acting), 1, acting)
            await asyncio.sleep(0.005)

    def test_returning_daemon_waits_for_the_release(self):
        """Guards against two executors while statements still run."""

        async def scenario(network):
            for name in list(network.fleet_by_id):
                network.stop(name)
                await self.watch(network, 2.5)
                network.start(name)
                await self.watch(network, 2.5)
                self.assert_one_executor(network)

        self.run_with(scenario, drain_s=0.3)

    def test_paused_daemon_does_not_act_on_old_rights(self):
        """Guards against more statements than slots after a pause."""

        async def scenario(network):
            for pause_s in (0.6, 1.1, 1.7, 1.9, 4.0):
                for name in list(network.fleet_by_id):
                    network.wire.frozen.add(name)
                    await asyncio.sleep(pause_s)
                    network.wire.frozen.discard(name)
                    await self.watch(network, 2.5)
                    self.assertTrue(network.converged())
                    self.assert_one_executor(network)

        self.run_with(scenario, drain_s=0.3)

    def test_leaving_daemon_hands_over_at_once(self):
        """Guards against the delay of a failover at a planned shutdown."""

        async def scenario(network):
            await network.fleet_by_id["a0"].leave()
            await asyncio.sleep(0.1)
            passed = await network.seconds_until(
                lambda: all(network.acting(m) for m in network.members), 5
            )
            self.assertLessEqual(passed, 0.2)
            self.assertEqual(set(), network.fleet_by_id["a0"].rights.held)
            self.assert_one_executor(network)
            self.assertNotIn("a0", network.view("a1"))

        self.run_with(scenario)

    def test_successor_waits_for_the_old_executor(self):
        """Guards against a takeover while the old executor may act."""

        async def scenario(network):
            member = network.members[0]
            (holder,) = network.acting(member)
            network.stop(holder)
            passed = await network.seconds_until(
                lambda: network.acting(member), 5
            )
            self.assertGreaterEqual(passed, 1.4)
            self.assertLessEqual(passed, 2.2)

        self.run_with(scenario)


_FAULTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["pause", "cut", "loss", "crash", "restart"]),
        strategies.sets(strategies.integers(0, 5), min_size=1, max_size=3),
        strategies.floats(0.1, 4.0),
    ),
    min_size=1,
    max_size=6,
)


def _inject(network, kind, names):
    running = [name for name in names if name in network.fleet_by_id]
    if kind == "pause":
        network.wire.frozen.update(running)
    elif kind == "cut":
        network.wire.cut_between(names, set(network.domain_by_id) - names)
    elif kind == "loss":
        network.wire.loss = 0.3
    elif kind == "crash":
        for name in running:
            network.stop(name)
    else:
        for name in names:
            network.start(name)


class TestRandomFailures(FleetTestCase):
    """After any mix of failures, views agree and members have an executor."""

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(_FAULTS)
    def test_views_converge(self, faults):
        """Guards against views or rights that still differ after failures."""

        async def scenario(network):
            for kind, numbers, duration_s in faults:
                _inject(network, kind, {f"a{n}" for n in numbers})
                await asyncio.sleep(duration_s)
                network.wire.frozen.clear()
            network.wire.heal()
            network.wire.loss = 0.0
            await asyncio.sleep(8)
            self.assertTrue(network.converged(), network.views())
            self.assert_one_executor(network)

        self.run_with(scenario, 6)

    @settings(max_examples=20, deadline=None, derandomize=True)
    @given(strategies.integers(0, 1000), strategies.floats(0.02, 0.15))
    @example(256, 0.15)
    def test_live_daemon_stays_in_use(self, seed, loss):
        """Guards against daemons taken out of use by message loss."""

        async def scenario(network):
            network.wire.loss = loss
            missing = 0
            for _ in range(400):
                await asyncio.sleep(0.05)
                missing += not network.converged()
            self.assertLessEqual(missing, 8)

        self.run_with(scenario, 6, seed=seed)
