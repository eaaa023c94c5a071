"""Tests failover and handover under simultaneous and successive faults."""

import asyncio

from burdockcart.tests import failover_case

DAEMONS, MEMBERS = failover_case.DAEMONS, failover_case.MEMBERS


def coordinator_of(deployment):
    """Return the daemon that is running a promotion, or None."""
    return next(
        (
            name
            for name, daemon in deployment.daemon_by_id.items()
            for watch in daemon.coordinator.watch_by_group.values()
            if watch.attempt is not None
        ),
        None,
    )


async def promotion_started(deployment):
    """Wait until a daemon runs a promotion and return its id."""
    for _ in range(400):
        found = coordinator_of(deployment)
        if found:
            return found
        await asyncio.sleep(0.01)
    raise AssertionError("no promotion started")


class TestCombined(failover_case.FailoverCase):
    """Failover when another fault occurs before it is finished."""

    def test_crash_of_primary_with_a_replica_partitioned_later(self):
        """Guards against a promotion that a second fault stops forever."""

        async def scenario(deployment, writers):
            deployment.target("g-d1").up = False
            await promotion_started(deployment)
            self.cut_off(deployment, "d3")
            await asyncio.sleep(3)
            deployment.wire.heal()
            await asyncio.sleep(3)
            leader = await self.settle(deployment, writers)
            self.assertGreaterEqual(leader.term, 2)

        self.run_with(scenario)

    def test_two_changes_in_a_row(self):
        """Guards against leftover state that blocks a second change."""

        async def scenario(deployment, writers):
            deployment.target("g-d1").up = False
            await asyncio.sleep(4)
            second = next(
                name
                for name in MEMBERS
                if deployment.target(name).member.state.role == "primary"
                and name != "g-d1"
            )
            deployment.target("g-d1").up = True
            await asyncio.sleep(2)
            deployment.target(second).up = False
            await asyncio.sleep(4)
            self.assertLess(writers.gap_s(3), 2.5)
            leader = await self.settle(deployment, writers)
            self.assertEqual(3, leader.term)

        self.run_with(scenario)

    def test_candidate_crashes_during_the_promotion(self):
        """Guards against a term that was adopted and never gets a primary."""

        async def scenario(deployment, writers):
            deployment.target("g-d1").up = False
            await promotion_started(deployment)
            await asyncio.sleep(0.2)
            for name in MEMBERS[1:]:
                deployment.target(name).up = False
            await asyncio.sleep(1)
            for name in MEMBERS[1:]:
                deployment.target(name).up = True
            await asyncio.sleep(4)
            self.assertGreater(min(self.terms(deployment)[1:]), 2)
            await self.settle(deployment, writers)

        self.run_with(scenario)

    def test_coordinator_gone_during_the_promotion(self):
        """Guards against an interrupted promotion that nobody finishes."""

        async def scenario(deployment, writers):
            deployment.wire.cut_between(set(DAEMONS), {"g-d1"})
            coordinator = await promotion_started(deployment)
            await asyncio.sleep(0.2)
            others = {*MEMBERS, *DAEMONS, "store"} - {coordinator}
            deployment.wire.cut_between({coordinator}, others)
            await asyncio.sleep(4)
            leaders = [
                deployment.target(name).member.state.term
                for name in MEMBERS[1:]
                if deployment.target(name).member.state.role == "primary"
            ]
            self.assertEqual(1, len(leaders))
            self.assertGreater(leaders[0], 2)
            await self.settle(deployment, writers)

        self.run_with(scenario)

    def test_coordinator_paused_at_each_message(self):
        """Guards against a coordinator that resumes with stale steps."""
        for step in range(0, 30):
            self._pause_at(step)

    def _pause_at(self, step):
        async def scenario(deployment, writers):
            wire = deployment.wire
            deployment.target("g-d1").up = False
            paused = await promotion_started(deployment)
            seen = [0]

            def count(source, destination):
                seen[0] += source == paused
                if seen[0] == step + 1:
                    seen[0] += 1
                    wire.frozen.add(paused)

            wire.on_transmit = count
            await asyncio.sleep(2.5)
            wire.on_transmit = None
            wire.frozen.clear()
            leader = await self.settle(deployment, writers)
            self.assertGreaterEqual(leader.term, 2)
            self.assertLess(writers.gap_s(2), 5)

        self.run_with(scenario, pause_s=0.1)

    def test_two_coordinators_at_once(self):
        """Guards against two primaries after concurrent promotions.

        Without the start delay all daemons start a promotion at once.
        """

        async def scenario(deployment, writers):
            for daemon in deployment.daemon_by_id.values():
                detector = daemon.groups.detector_by_group["g"]
                detector.start_delay_s = lambda own, ordered, now: 0.0
            deployment.target("g-d1").up = False
            await asyncio.sleep(5)
            self.assertLess(writers.gap_s(2), 5)
            await self.settle(deployment, writers)

        self.run_with(scenario)


class TestHandover(failover_case.FailoverCase):
    """The primary's host is marked as leaving."""

    def mark(self, deployment, member):
        deployment.store.host_rows.append(
            failover_case.leaving_host(member),
        )

    def test_no_write_fails_and_the_gap_is_short(self):
        """Guards against a planned change that fails or delays writes."""

        async def scenario(deployment, writers):
            self.mark(deployment, "g-d1")
            await asyncio.sleep(3)
            self.assertEqual([], writers.failed)
            self.assertLess(writers.gap_s(2), 0.3)
            leader = await self.settle(deployment, writers)
            self.assertEqual(2, leader.term)
            self.assertNotEqual("g-d1", leader.name)

        self.run_with(scenario)

    def test_slow_replicas_keep_the_writes_going(self):
        """Guards against holding writes for a replica that is far behind."""

        async def scenario(deployment, writers):
            for name in MEMBERS[1:]:
                deployment.target(name).lag_s = 0.5
            self.mark(deployment, "g-d1")
            await asyncio.sleep(3)
            self.assertEqual([], writers.failed)
            for name in MEMBERS[1:]:
                deployment.target(name).lag_s = 0.0
            await asyncio.sleep(3)
            self.assertEqual(2, max(self.terms(deployment)))
            self.assertEqual([], writers.failed)

        self.run_with(scenario)

    def test_leaving_replica_gets_no_reads(self):
        """Guards against new reads on a replica that is leaving."""

        async def scenario(deployment, writers):
            self.mark(deployment, "g-d3")
            await asyncio.sleep(1)
            for number in range(5):
                read = await deployment.send("d3-3", f"r{number}", "read")
                target = read.unwrap().served_by.target
                self.assertNotEqual("g-d3", target)

        self.run_with(scenario, writers=False)

    def test_faults_during_a_handover(self):
        """Guards against an interrupted handover that never frees writes."""
        for delay in range(0, 60, 10):
            for fault in ("crash", "cut"):
                self._fault_after(delay / 1000, fault)

    def _fault_after(self, delay, fault):
        async def scenario(deployment, writers):
            self.mark(deployment, "g-d1")
            await promotion_started(deployment)
            await asyncio.sleep(delay)
            if fault == "crash":
                deployment.target("g-d1").up = False
            else:
                self.cut_off(deployment, "d1")
            await asyncio.sleep(4)
            last = max(at for at, _ in writers.acknowledged)
            self.assertGreater(last, asyncio.get_running_loop().time() - 0.5)
            deployment.store.host_rows.pop()
            await self.settle(deployment, writers)

        self.run_with(scenario, pause_s=0.1)
