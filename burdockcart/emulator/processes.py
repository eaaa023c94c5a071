"""Runs a deployment as separate processes, for the demo and for measures."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

from tornado import httpclient

from burdockcart.emulator import deployment

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0


def program() -> list[str]:
    """Return the command that runs burdockcart.

    In the one-file build the interpreter is the program itself.
    """
    if getattr(sys, "frozen", False):
        return [sys.executable]
    return [sys.executable, "-m", "burdockcart"]


class Processes:
    """Starts and ends the processes of one deployment.

    Only processes started here are ever signalled.
    """

    def __init__(self, files: deployment.Files, log_folder: pathlib.Path):
        self.files = files
        self._log_folder = log_folder
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )

    def spawn(self, name: str, *arguments: str) -> None:
        """Start ``burdockcart`` with arguments under a name."""
        self.spawn_command(name, [*program(), *arguments])

    def spawn_command(self, name: str, command: list[str]) -> None:
        """Start a command under a name."""
        log = open(self._log_folder / f"{name}.log", "ab")
        self.process_by_name[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
        )
        log.close()

    def start_emulators(self) -> None:
        """Start the platform and the targets of each failure domain."""
        folder = self.files.folder
        self.spawn("platform", "emulate", str(folder / "platform.ini"))
        for domain in self.files.deployment.domains:
            name = f"targets-{domain}"
            self.spawn(name, "emulate", str(folder / f"{name}.ini"))

    def start_daemon(self, daemon: str) -> None:
        """Start one daemon."""
        path = self.files.folder / f"{daemon}.ini"
        self.spawn(daemon, "serve", str(path))

    async def register(self, daemon: str, state: str = "live") -> None:
        """Set a daemon's state in the platform's list of hosts."""
        body = {
            "role": "daemon",
            "domain": self.files.domain_by_daemon[daemon],
            "address": self.files.peer_address(daemon),
            "state": state,
        }
        url = f"http://{self.files.platform}/hosts/{daemon}"
        await self.client.fetch(url, method="PUT", body=json.dumps(body))

    async def wait_for(self, url: str, check: Any) -> Any:
        """Poll a URL until ``check`` accepts its JSON body."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            try:
                answer = await self.client.fetch(url)
                body = json.loads(answer.body)
                if check(body):
                    return body
            except (OSError, httpclient.HTTPError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{url} did not become ready")

    async def start(self) -> None:
        """Start the emulators, then register and start the daemons."""
        self.start_emulators()
        await self.wait_for(
            f"http://{self.files.platform}/fault", lambda body: True
        )
        for daemon in self.files.domain_by_daemon:
            await self.register(daemon)
            self.start_daemon(daemon)

    async def wait_ready(self) -> None:
        """Wait until every daemon sees all daemons and all primaries."""
        count = len(self.files.domain_by_daemon)
        groups = len(self.files.deployment.groups)
        for daemon in self.files.domain_by_daemon:
            await self.wait_for(
                self.files.caller_url(daemon) + "/v1/status",
                lambda body: len(body["daemons"]) == count
                and len(body["groups"]) == groups
                and all(
                    group["primary"] and len(group["positions"]) == 3
                    for group in body["groups"].values()
                ),
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process started here."""
        os.kill(self.process_by_name[name].pid, number)

    def stop(self) -> None:
        """End all processes and wait for them."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + STOP_TIMEOUT_S
        for process in self.process_by_name.values():
            try:
                process.wait(max(until - time.monotonic(), 0.1))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
