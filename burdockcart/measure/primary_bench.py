"""Deployment on sockets whose primaries change while callers write."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import re
import subprocess
import tempfile
from typing import Any
from typing import AsyncIterator

from burdockcart.emulator import deployment
from burdockcart.emulator import processes
from tornado import httpclient

BASE_PORT = 22100
DAEMONS = 3
#: Members that change at once in one round, one per group.
GROUPS = 6
WRITE_PAUSE_S = 0.02
#: At 10 ms the replication of 18 members takes a whole core per process.
POLL_MS = 40.0
CLIENT_TIMEOUT_S = 6.0
CHANGE_TIMEOUT_S = 10.0
#: Time for the old primaries to follow before the next round.
SETTLE_S = 1.2

_WRITER = {
    "weather": ("studio", "forecast-push"),
    "cooperative": ("founder", "deposit"),
}
_PART = re.compile(r"(\w+)_ms=(\d+)")


@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """A write that a caller was told of."""

    at: float
    term: int


def enlarge(base: deployment.Deployment) -> deployment.Deployment:
    """Return a deployment with GROUPS groups."""
    names = itertools.chain(
        base.groups, (f"{group}-b" for group in base.groups)
    )
    return dataclasses.replace(
        base, groups=tuple(itertools.islice(names, GROUPS))
    )


class Bench:
    """Writers of all groups, and the faults of one run.

    Parameters
    ==========

    running : Processes
        Processes of the deployment, ready to serve.

    """

    def __init__(self, running: processes.Processes, seed: int):
        self.running = running
        self.files = running.files
        self.random = random.Random(seed)
        self.failed: list[str] = []
        self.by_group: dict[str, list[Acknowledged]] = {
            group: [] for group in self.files.deployment.groups
        }
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start_writers(self) -> None:
        """Write to each group from two daemons until the end."""
        daemons = itertools.cycle(self.files.domain_by_daemon)
        for group in self.by_group:
            for _ in range(2):
                writing = self._write(group, next(daemons))
                self._tasks.append(asyncio.create_task(writing))

    async def stop_writers(self) -> None:
        """Let the open writes end, for a short time."""
        self._stopping = True
        if self._tasks:
            _, late = await asyncio.wait(self._tasks, timeout=SETTLE_S)
            for task in late:
                task.cancel()

    async def _write(self, group: str, daemon: str) -> None:
        caller, kind = _WRITER[self.files.deployment.name]
        url = self.files.caller_url(daemon) + "/v1/statements"
        for number in itertools.count():
            if self._stopping:
                return
            body = {
                "request_id": f"{group}-{daemon}-{number}",
                "kind": kind,
                "operation": "write",
                "statement": {"op": "put", "key": "k", "value": number},
                "database": group,
            }
            answer = await self._post(url, body, caller)
            if "served_by" in answer:
                now = asyncio.get_running_loop().time()
                term = answer["served_by"]["term"]
                self.by_group[group].append(Acknowledged(now, term))
            else:
                self.failed.append(answer.get("error", "no answer"))
            await asyncio.sleep(WRITE_PAUSE_S)

    async def _post(
        self, url: str, body: dict[str, Any], caller: str
    ) -> dict[str, Any]:
        request = httpclient.HTTPRequest(
            url,
            method="POST",
            headers={"Authorization": f"Bearer {deployment.SECRET}-{caller}"},
            body=json.dumps(body),
            request_timeout=CLIENT_TIMEOUT_S,
        )
        try:
            answer = await self.running.client.fetch(
                request, raise_error=False
            )
            return json.loads(answer.body)
        except (OSError, httpclient.HTTPError, ValueError, TypeError):
            return {}

    async def primaries(self) -> dict[str, str]:
        """Return the failure domain of each group's primary."""
        daemon = next(iter(self.files.domain_by_daemon))
        found = await self.running.wait_for(
            self.files.caller_url(daemon) + "/v1/status",
            lambda body: all(g["primary"] for g in body["groups"].values()),
        )
        return {
            name: group["primary"].removeprefix(f"{name}-")
            for name, group in found["groups"].items()
        }

    async def fault(self, group: str, domain: str, body: dict) -> None:
        """Switch a fault of one member on or off."""
        address = self.files.target_address(group, domain)
        await self.running.client.fetch(
            f"http://{address}/fault", method="POST", body=json.dumps(body)
        )

    async def gap_s(self, group: str, term: int) -> float:
        """Return the time without writes until a term above ``term``."""
        loop = asyncio.get_running_loop()
        until = loop.time() + CHANGE_TIMEOUT_S
        written = self.by_group[group]
        while loop.time() < until:
            later = [each.at for each in written if each.term > term]
            if later:
                last = max(e.at for e in written if e.term <= term)
                return min(later) - last
            await asyncio.sleep(0.02)
        return float("inf")

    def term(self, group: str) -> int:
        """Return the highest term that acknowledged a write."""
        return max(each.term for each in self.by_group[group])

    def step_durations_ms(self, event: str) -> dict[str, list[int]]:
        """Return the durations of the steps that the daemons logged."""
        found: dict[str, list[int]] = {}
        for daemon in self.files.domain_by_daemon:
            text = (self.files.folder / f"{daemon}.log").read_text()
            for row in text.splitlines():
                if f"event={event}_ended" in row and "phase=done" in row:
                    for name, value in _PART.findall(row):
                        found.setdefault(name, []).append(int(value))
        return found


@contextlib.asynccontextmanager
async def start(
    base: deployment.Deployment, seed: int
) -> AsyncIterator[Bench]:
    """Start a deployment with writers and end it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        files = deployment.Files(
            enlarge(base),
            pathlib.Path(folder),
            BASE_PORT,
            DAEMONS,
            poll_ms=POLL_MS,
        )
        files.write()
        running = processes.Processes(files, files.folder)
        bench = Bench(running, seed)
        try:
            await running.start()
            await asyncio.to_thread(
                subprocess.run,
                [
                    *processes.program(),
                    "apply",
                    folder,
                    "--platform",
                    files.platform,
                ],
                check=True,
                capture_output=True,
            )
            await running.wait_ready()
            bench.start_writers()
            await asyncio.sleep(SETTLE_S)
            yield bench
        finally:
            await bench.stop_writers()
            running.stop()
