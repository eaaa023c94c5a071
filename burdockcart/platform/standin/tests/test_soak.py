"""Runs daemons as processes and injects faults; takes two to three minutes."""

import asyncio
import os
import pathlib
import socket
import tempfile

import testtools

from burdockcart.platform.standin import odd_entries
from burdockcart.platform.standin import peer_processes
from burdockcart.platform.standin import report
from burdockcart.platform.standin import soak
from burdockcart.soak import account_cases
from burdockcart.soak import history as histories
from burdockcart.soak import schedule

DAEMONS = 4


class TestSoak(testtools.TestCase):
    """Daemons, members, store and clients over sockets."""

    def check(self, seed, unplanned, seconds=25.0, plain=True, **beside):
        """Run a seed, check that no rule was broken, and return the run."""
        with tempfile.TemporaryDirectory() as folder:
            run = soak.Soak(
                seed,
                seconds,
                DAEMONS,
                pathlib.Path(folder),
                unplanned,
                plain_shapes=plain,
                **beside,
            )
            found = asyncio.run(run.run())
        text = report.summary(run, found)
        self.assertEqual([], [str(each) for each in found], text)
        succeeded = [
            each
            for each in run.history.requests
            if each.outcome is histories.Outcome.SUCCESS
        ]
        # Otherwise the checks would have had nothing to check.
        self.assertGreater(len(succeeded), 500, text)
        self.assertTrue(run.history.runs and run.history.log, text)
        return run

    def test_planned_work(self):
        """Guards against requests cut or mixed up by planned work."""
        self.check(21, unplanned=False)

    def test_mixed_faults(self):
        """Guards against wrong answers after any faults."""
        self.check(12, unplanned=True)

    def test_restored_store(self):
        """Guards against what a restored store has forgotten."""
        self.check(33, unplanned=True, restores=True)

    def test_odd_entries(self):
        """Guards against an entry of another writer that stops a daemon."""
        self.check(3, unplanned=False, odd_entries=True)

    def test_spaced_shapes(self):
        """Guards against a space that ends a prepared name (issue 49)."""
        self.check(301, unplanned=True, seconds=10.0, plain=False)

    def test_cut_primary(self):
        """Guards against commits lost beside a late promotion."""
        self.check(401, unplanned=True, seconds=10.0, cuts=True)

    def test_large_manifest_on_slow_links(self):
        """Guards against a manifest that is late behind its own versions."""
        self.check(4, unplanned=False, seconds=12.0, large_manifests=True)

    def test_named_case(self):
        """Guards against a case without its fault, or that breaks a rule."""
        case = account_cases.CaseName.OWNER_KILLED
        run = self.check(1, unplanned=False, case=case)
        kinds = {each.kind for each in run.history.disturbances}
        self.assertEqual({schedule.Kind.KILL.value}, kinds)
        self.assertEqual(1, len(run.history.process_ends))
        text = report.summary(run, [])
        self.assertTrue(text.startswith("case=owner-killed inside_case="))

    def test_connections_of_a_daemon(self):
        """Guards against a cut that leaves the daemon's connections."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            host, port = server.getsockname()
            with socket.create_connection((host, port)) as connection:
                found = peer_processes.owner_by_port(
                    host, port, {"d0": os.getpid()}
                )
                own_port = connection.getsockname()[1]
        self.assertEqual({own_port: "d0"}, found)

    def test_variants(self):
        """Guards against a variant that is never written."""
        entry = {
            "service": "g",
            "address": "127.0.0.1:1",
            "state": "ready",
        }
        self.assertEqual(schedule.ODD_ENTRIES, len(odd_entries.values(entry)))
