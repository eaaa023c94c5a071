"""Tests signals at odd moments, with the daemon as a real process."""

import http.server
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

import testtools

from burdockcart.platform import launch

SETTINGS = """\
node-name=front-a-1
zone=a
ip={ip}
listen-addrs.front={ip}:8784
listen-addrs.ready={ip}:8785
port-range=7440,7455
platform.address={ip}:1
cloud-api.address={ip}:1
contract-params.grace-s=1
"""
STARTED = b"event=daemon_started"
#: Modules that the daemon imports one after the other.
IMPORTS = (b" asyncio\n", b" msgspec\n", b" burdockcart.platform.wire\n")
#: Time in which a stopped process must have exited, in seconds: the grace
#: time of the settings, and the end of the interpreter on a busy machine.
EXIT_WITHIN_S = 4.0
START_WITHIN_S = 20.0


class Store(http.server.BaseHTTPRequestHandler):
    """A store that registers daemons and records the calls for it."""

    calls: list[tuple[str, str]] = []
    pause_s = 0.0

    def answer(self):
        """Answer any call."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        path = self.path.partition("?")[0]
        if "lease" in path:
            self.calls.append((self.command, path))
            time.sleep(self.pause_s)
        answers = {
            "/api/kv-lease": {"lease": 7, "ttl-ms": 8000},
            "/api/kv-txn": {"revision": 9},
            "/api/kv-range": {"items": [], "store-revision": 9},
            "/api/kv-watch": {"events": [], "store-revision": 9},
        }
        body = json.dumps(answers.get(path, {})).encode()
        self.send_response(200 if path != "/api/kv-key" else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_DELETE = answer

    def log_message(self, *arguments):
        """Log nothing."""


class TestSignals(testtools.TestCase):
    """Signals before, during and after the life of the event loop."""

    def setUp(self):
        """Create the settings file of a daemon without a store."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = pathlib.Path(folder.name) / "settings.conf"
        self.output = pathlib.Path(folder.name) / "output"
        numbers = [random.SystemRandom().randint(1, 254) for _ in range(3)]
        self.ip = ".".join(map(str, [127, *numbers]))
        self.settings.write_text(SETTINGS.format(ip=self.ip))

    def start(self, *options):
        """Start a daemon; return its process."""
        with self.output.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, *options, "-m", "burdockcart.platform"],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    launch.SETTINGS_VARIABLE: str(self.settings),
                },
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def start_importing(self, module):
        """Start a daemon and wait until it has imported a module."""
        process = self.start("-X", "importtime")
        self.wait_for(module)
        return process

    def wait_for(self, text):
        """Wait until the daemon's output contains a text."""
        until = time.monotonic() + START_WITHIN_S
        while text not in self.output.read_bytes():
            self.assertLess(time.monotonic(), until, text)
            time.sleep(0.002)

    def assert_clean_exit(self, process):
        """Check that the process has ended as a planned stop does."""
        self.assertEqual(0, process.wait(EXIT_WITHIN_S))
        self.assertNotIn(b"Traceback", self.output.read_bytes())
        self.assertNotIn(b"trace=", self.output.read_bytes())

    def test_stop_during_the_imports(self):
        """SIGTERM before the event loop runs must be a clean exit."""
        for module in IMPORTS:
            process = self.start_importing(module)
            process.send_signal(signal.SIGTERM)
            self.assert_clean_exit(process)

    def test_reload_during_the_imports(self):
        """SIGHUP before the event loop runs must not end the process."""
        process = self.start_importing(IMPORTS[0])
        process.send_signal(signal.SIGHUP)
        self.wait_for(STARTED)
        process.send_signal(signal.SIGTERM)
        self.assert_clean_exit(process)

    def test_stop_right_after_the_start(self):
        """SIGTERM before the first manifest must be a clean exit."""
        process = self.start()
        self.wait_for(STARTED)
        process.send_signal(signal.SIGTERM)
        self.assert_clean_exit(process)

    def serve_store(self, pause_s=0.0):
        """Serve a store for the daemon; return the calls of leases."""
        handler = type("Handler", (Store,), {"calls": [], "pause_s": pause_s})
        server = http.server.ThreadingHTTPServer((self.ip, 0), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        text = self.settings.read_text()
        address = f"platform.address={self.ip}:{server.server_port}"
        self.settings.write_text(
            text.replace(f"platform.address={self.ip}:1", address)
        )
        return handler.calls

    def check_that_it_leaves(self, pause_s):
        """Check the calls of a daemon that is stopped once it registers."""
        leases = self.serve_store(pause_s)
        process = self.start()
        until = time.monotonic() + START_WITHIN_S
        while not leases and time.monotonic() < until:
            time.sleep(0.002)
        process.send_signal(signal.SIGTERM)
        self.assert_clean_exit(process)
        self.assertEqual(
            [("POST", "/api/kv-lease"), ("DELETE", "/api/kv-lease-end/7")],
            leases,
        )

    def test_registered_daemon_leaves(self):
        """A daemon that is stopped must end its lease and take no other."""
        self.check_that_it_leaves(pause_s=0.0)

    def test_daemon_leaves_while_it_registers(self):
        """SIGTERM may come before the store has answered."""
        self.check_that_it_leaves(pause_s=0.2)

    def test_repeated_signals(self):
        """Signals during the drain and until the last moment change nothing.

        The handlers ended with the event loop, while the interpreter was
        still running.
        """
        process = self.start()
        self.wait_for(STARTED)
        until = time.monotonic() + EXIT_WITHIN_S
        number = 0
        while process.poll() is None and time.monotonic() < until:
            number += 1
            process.send_signal(
                (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)[number % 3]
            )
            time.sleep(0.002)
        self.assert_clean_exit(process)

    def test_unreadable_settings(self):
        """SIGHUP with settings of any content must not end the process."""
        process = self.start()
        self.wait_for(STARTED)
        for content in (b"", b"\xff\xfe", b"=\n", b"platform.address=x"):
            self.settings.write_bytes(content)
            process.send_signal(signal.SIGHUP)
            time.sleep(0.05)
        self.settings.unlink()
        process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        self.assertIsNone(process.poll())
        process.send_signal(signal.SIGTERM)
        self.assert_clean_exit(process)
