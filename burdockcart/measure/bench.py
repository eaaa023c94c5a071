"""Deployment of operating-system processes that the measures load."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any
from typing import AsyncIterator

from burdockcart.emulator import deployment
from burdockcart.emulator import processes
from burdockcart.measure import load

#: Routes added to those of the deployment, with the age limits and deadlines
#: that the measures assume.
ROUTES = """
[measure-long]
caller = *
kind = long
pool = {pool}
max_age_ms = 5000
deadline_ms = 20000

[measure-read]
caller = *
kind = read
pool = {pool}
max_age_ms = 5000

[measure-fresh]
caller = *
kind = fresh
pool = {pool}
max_age_ms = 500

[measure-write]
caller = *
kind = write
pool = {pool}
"""
#: Baseline proxy; it replaces the daemons at the same addresses.
NAIVE_MODULE = "burdockcart.tests.naive"


@dataclasses.dataclass
class Bench:
    """A running deployment and a caller connected to it."""

    running: processes.Processes
    caller: load.Caller

    @property
    def daemons(self) -> list[str]:
        """Return the names of the daemons."""
        return list(self.running.files.domain_by_daemon)

    @property
    def capacity(self) -> float:
        """Return the statements per second that all members can run."""
        files = self.running.files
        each = files.deployment
        slots = len(each.groups) * len(each.domains) * each.slots
        return slots * 1000 / files.work_ms

    def callers(self) -> tuple[str, str]:
        """Return the names of a writing and a reading caller."""
        if self.running.files.deployment.name == "weather":
            return "studio", "tablet"
        return "founder", "desk"

    async def record(self, group: str, domain: str) -> dict[str, Any]:
        """Return the statements and positions that a member recorded."""
        address = self.running.files.target_address(group, domain)
        answer = await self.running.client.fetch(f"http://{address}/record")
        return json.loads(answer.body)

    async def fault(self, group: str, domain: str, **fields: Any) -> None:
        """Set the injected faults of a member."""
        address = self.running.files.target_address(group, domain)
        await self.running.client.fetch(
            f"http://{address}/fault", method="POST", body=json.dumps(fields)
        )

    def pid(self, daemon: str) -> int:
        """Return the process id of a daemon."""
        return self.running.process_by_name[daemon].pid


@contextlib.asynccontextmanager
async def start(
    chosen: deployment.Deployment,
    work_ms: float,
    naive: bool = False,
    daemons: int = 3,
) -> AsyncIterator[Bench]:
    """Run a deployment, or naive proxies in front of its targets."""
    chosen = dataclasses.replace(
        chosen, routes=chosen.routes + ROUTES.format(pool=chosen.pool)
    )
    with tempfile.TemporaryDirectory() as folder:
        files = deployment.Files(
            chosen,
            pathlib.Path(folder),
            chosen.base_port,
            daemons,
            work_ms=work_ms,
        )
        files.write()
        running = processes.Processes(files, files.folder)
        caller = load.Caller(files.caller_url)
        try:
            if naive:
                await _start_naive(running)
            else:
                await running.start()
                await _apply(files)
                await running.wait_ready()
            yield Bench(running, caller)
        finally:
            caller.close()
            running.stop()


async def _apply(files: deployment.Files) -> None:
    await asyncio.to_thread(
        subprocess.run,
        [
            *processes.program(),
            "apply",
            str(files.folder),
            "--platform",
            files.platform,
        ],
        check=True,
        capture_output=True,
    )


async def _start_naive(running: processes.Processes) -> None:
    files = running.files
    each = files.deployment
    running.start_emulators()
    primaries = {
        group: f"{group}-{each.domains[number % len(each.domains)]}"
        for number, group in enumerate(each.groups)
    }
    share = str(len(files.domain_by_daemon))
    for daemon in files.domain_by_daemon:
        running.spawn_command(
            daemon,
            [
                sys.executable,
                "-m",
                NAIVE_MODULE,
                str(files.folder / f"{daemon}.ini"),
                str(files.folder),
                json.dumps(primaries),
                share,
            ],
        )
    for daemon in files.domain_by_daemon:
        url = files.caller_url(daemon) + "/v1/status"
        await running.wait_for(url, lambda body: True)
    for group in each.groups:
        for domain in each.domains:
            address = files.target_address(group, domain)
            url = f"http://{address}/state"
            await running.wait_for(url, lambda body: True)
