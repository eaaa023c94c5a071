"""Common steps of the tests that change a primary."""

import asyncio

from burdockcart.process import store_client

from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time
import testtools

MEMBERS = ("g-d1", "g-d2", "g-d3")
DAEMONS = ("d1-1", "d2-2", "d3-3")
#: Time for all members to follow and catch up after the last fault.
SETTLE_S = 4.0


class Writers:
    """One writer at each daemon that never stops, and what it was told."""

    def __init__(self, deployment, pause_s):
        self.deployment = deployment
        self.pause_s = pause_s
        self.acknowledged = []
        self.failed = []
        self._tasks = [
            asyncio.ensure_future(self._write(each)) for each in DAEMONS
        ]

    async def _write(self, daemon):
        loop = asyncio.get_running_loop()
        number = 0
        while True:
            number += 1
            answer = await self.deployment.put(
                daemon, f"{daemon}-{number}", number
            )
            ok = answer.value_or(None)
            if ok is None:
                self.failed.append((loop.time(), answer.failure()))
            else:
                self.acknowledged.append((loop.time(), ok))
            await asyncio.sleep(self.pause_s)

    def stop(self):
        for task in self._tasks:
            task.cancel()

    def gap_s(self, term):
        """Return the time without writes before the first one of a term."""
        first = min(
            t for t, a in self.acknowledged if a.served_by.term >= term
        )
        last = max(t for t, a in self.acknowledged if a.served_by.term < term)
        return first - last


class FailoverCase(testtools.TestCase):
    """Runs a scenario while all daemons write."""

    def run_with(self, scenario, writers=True, pause_s=0.02):
        async def body():
            deployment = small_deployment.SmallDeployment()
            await deployment.start()
            running = Writers(deployment, pause_s) if writers else None
            try:
                await asyncio.sleep(0.3)
                await scenario(deployment, running)
                self.assert_safe(deployment, running)
            finally:
                if running:
                    running.stop()
                await deployment.stop()

        virtual_time.run(body())

    def cut_off(self, deployment, domain, store=True):
        """Cut a failure domain off from the others and from the store."""
        number = small_deployment.DOMAINS.index(domain)
        inside = {MEMBERS[number], DAEMONS[number]}
        outside = {*MEMBERS, *DAEMONS} - inside
        if store:
            outside.add("store")
        deployment.wire.cut_between(inside, outside)

    async def settle(self, deployment, writers=None):
        """End all faults, stop the writers and let the members catch up."""
        deployment.wire.heal()
        deployment.wire.frozen.clear()
        for name in MEMBERS:
            deployment.target(name).up = True
        await asyncio.sleep(SETTLE_S)
        if writers:
            writers.stop()
            await asyncio.sleep(0.5)
        return self.assert_converged(deployment)

    def terms(self, deployment):
        return [deployment.target(m).member.state.term for m in MEMBERS]

    def assert_converged(self, deployment):
        """Check that one member leads and the others hold its log."""
        states = [deployment.target(m).member.state for m in MEMBERS]
        leads = [each for each in states if each.role == "primary"]
        self.assertEqual(1, len(leads), [(s.name, s.role) for s in states])
        for state in states:
            self.assertEqual(leads[0].term, state.term)
            self.assertEqual(leads[0].entries, state.entries)
        return leads[0]

    def assert_safe(self, deployment, writers):
        """Check P2: no acknowledgement after a later term took a write."""
        first_at = {}
        leader_by_term = {}
        for name in MEMBERS:
            for row in deployment.target(name).member.record:
                if not row["write"]:
                    continue
                term = row["term"]
                first_at[term] = min(row["at"], first_at.get(term, row["at"]))
                leader = leader_by_term.setdefault(term, row["member"])
                self.assertEqual(leader, row["member"], f"term {term}")
        for at, answer in writers.acknowledged if writers else ():
            later = [
                taken
                for term, taken in first_at.items()
                if term > answer.served_by.term
            ]
            self.assertTrue(all(at <= taken for taken in later), answer)


def leaving_host(member):
    """Return the row of the platform's list that marks a member."""
    return store_client.Host(member, "target", "d1", f"{member}:1", "leaving")
