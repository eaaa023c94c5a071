"""Guards the metrics that daemons send about requests."""

import asyncio
from unittest import mock

import testtools

from burdockcart.process import metrics
from burdockcart.tests import failover_case
from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time


class RecordedMetrics:
    """Records what a daemon would send to its statsd server."""

    def __init__(self):
        self.counts = {}
        self.gauges = {}
        self.timings = {}

    def count(self, name, by=1):
        self.counts[name] = self.counts.get(name, 0) + by

    def gauge(self, name, value):
        self.gauges[name] = value

    def timing(self, name, duration_s):
        self.timings.setdefault(name, []).append(duration_s)

    def close(self):
        pass


class TestRequestMetrics(testtools.TestCase):
    """Metrics of statements, tables, promotions and handovers."""

    def run_with(self, scenario):
        async def body():
            recorded = RecordedMetrics()
            deployment = small_deployment.SmallDeployment()
            with mock.patch.object(metrics, "Metrics", return_value=recorded):
                await deployment.start()
            try:
                await scenario(deployment, recorded)
            finally:
                await deployment.stop()

        virtual_time.run(body())

    def test_statements_are_counted_by_role(self):
        """Guards against reads counted for the wrong kind of member."""

        async def scenario(deployment, recorded):
            for number in range(4):
                served = await deployment.put("d1-1", f"w{number}", number)
                self.assertEqual("primary", served.unwrap().served_by.role)
            roles = []
            for number in range(20):
                read = await deployment.send("d2-2", f"r{number}", "read")
                roles.append(read.unwrap().served_by.role)
            counts = recorded.counts
            self.assertEqual(4, counts["requests.writes_acknowledged"])
            self.assertEqual(
                roles.count("primary"),
                counts.get("requests.reads_by_primary", 0),
            )
            self.assertEqual(
                20 - roles.count("primary"),
                counts.get("requests.reads_by_replica", 0),
            )
            self.assertGreater(counts.get("requests.reads_by_replica", 0), 0)
            timings = recorded.timings
            self.assertGreaterEqual(len(timings["executor.queue_wait"]), 24)
            self.assertGreater(min(timings["executor.statement_time"]), 0)
            self.assertEqual(1, recorded.gauges["tables.version"])

        self.run_with(scenario)

    def test_refusals_are_counted_by_kind(self):
        """Guards against a caller server whose errors are not counted."""

        async def scenario(deployment, recorded):
            refused = await deployment.put("d1-1", "w", 1, session="forged")
            kind = refused.failure().kind
            deployment.daemon_by_id["d1-1"].callers.on_failure(kind)
            self.assertEqual(
                1, recorded.counts["requests.error.session_invalid"]
            )

        self.run_with(scenario)

    def test_promotions_are_counted(self):
        """Guards against a failover that is missing in the metrics."""

        async def scenario(deployment, recorded):
            deployment.target("g-d1").up = False
            await asyncio.sleep(4)
            self.assertEqual(1, recorded.counts["promotion.done"])
            self.assertEqual(1, len(recorded.timings["promotion.duration"]))

        self.run_with(scenario)

    def test_handovers_are_counted(self):
        """Guards against a handover that is counted as a promotion."""

        async def scenario(deployment, recorded):
            deployment.store.host_rows.append(
                failover_case.leaving_host("g-d1")
            )
            await asyncio.sleep(3)
            self.assertEqual(1, recorded.counts["handover.done"])
            self.assertNotIn("promotion.done", recorded.counts)

        self.run_with(scenario)

    def test_status_reports_queues(self):
        """Guards against a status without the statements of a member."""

        async def scenario(deployment, recorded):
            idle = deployment.daemon_by_id["d1-1"].status()["queues"]
            self.assertEqual({"g-d1": {"waiting": 0, "running": 0}}, idle)
            writes = [
                asyncio.create_task(deployment.put("d1-1", f"w{n}", n))
                for n in range(6)
            ]
            most = {"waiting": 0, "running": 0}
            while not all(each.done() for each in writes):
                await asyncio.sleep(0.0002)
                now = deployment.daemon_by_id["d1-1"].status()["queues"]
                for key, number in now["g-d1"].items():
                    most[key] = max(most[key], number)
            # One of the two slots is reserved for short work.
            self.assertEqual({"waiting": 5, "running": 1}, most)

        self.run_with(scenario)
