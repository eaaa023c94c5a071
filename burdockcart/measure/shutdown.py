"""Requests interrupted by a rolling restart of processes under load."""

import asyncio
import collections
import json
import pathlib
import signal
import subprocess
import sys
import tempfile

from tornado import httpclient

from burdockcart.emulator import deployment as deployments
from burdockcart.emulator import processes
from burdockcart.measure import line

DAEMONS = 4
CALLERS = 8
#: Interval of the load balancer's readiness checks.
READY_POLL_S = 0.1
PAUSE_S = 0.5
EXIT_TIMEOUT_S = 20.0

#: Results that leave the outcome unknown to the caller.
_OUTCOME_UNKNOWN = ("outcome_unknown", "internal", "no answer")


class _Load:
    """Callers behind a load balancer; counts the outcome of each request."""

    def __init__(self, running: processes.Processes):
        self._running = running
        self._ready: list[str] = list(running.files.domain_by_daemon)
        self._stopped = False
        self.sent = 0
        self.count_by_outcome: collections.Counter[str] = collections.Counter()

    async def poll(self) -> None:
        """Poll the readiness of the daemons."""
        while not self._stopped:
            names = list(self._running.files.domain_by_daemon)
            answers = await asyncio.gather(*map(self._is_ready, names))
            self._ready = [n for n, ready in zip(names, answers) if ready]
            await asyncio.sleep(READY_POLL_S)

    async def call(self, number: int) -> None:
        """Send requests one after another."""
        for serial in range(1_000_000):
            if self._stopped:
                return
            if self._ready:
                daemon = self._ready[(number + serial) % len(self._ready)]
                self.sent += 1
                outcome = await self._statement(daemon, number, serial)
                self.count_by_outcome[outcome] += 1
            await asyncio.sleep(0.005)

    def stop(self) -> None:
        """Send no more requests; open ones still end."""
        self._stopped = True

    async def _is_ready(self, daemon: str) -> bool:
        url = self._running.files.caller_url(daemon) + "/v1/ready"
        try:
            await self._running.client.fetch(url, request_timeout=1.0)
        except (OSError, httpclient.HTTPError):
            return False
        return True

    async def _statement(self, daemon: str, number: int, serial: int) -> str:
        weather = self._running.files.deployment.name == "weather"
        write = serial % 2 == 0
        caller, kind = {
            (True, True): ("studio", "forecast-push"),
            (True, False): ("tablet", "archive"),
            (False, True): ("founder", "deposit"),
            (False, False): ("desk", "records"),
        }[weather, write]
        key = f"k{number}"
        body = {
            "request_id": f"{number}-{serial}",
            "kind": kind,
            "operation": "write" if write else "read",
            "statement": (
                {"op": "put", "key": key, "value": serial}
                if write
                else {"op": "get", "key": key}
            ),
        }
        request = httpclient.HTTPRequest(
            self._running.files.caller_url(daemon) + "/v1/statements",
            method="POST",
            headers={"Authorization": f"Bearer {deployments.SECRET}-{caller}"},
            body=json.dumps(body),
        )
        try:
            answer = await self._running.client.fetch(
                request, raise_error=False
            )
        except (OSError, httpclient.HTTPError):
            return "no answer"
        if answer.code == 599:
            return "no answer"
        return json.loads(answer.body).get("error", "answered")


async def _restart(running: processes.Processes, daemon: str) -> int:
    """Restart one daemon and return its exit code."""
    process = running.process_by_name[daemon]
    running.signal(daemon, signal.SIGTERM)
    code = await asyncio.to_thread(process.wait, EXIT_TIMEOUT_S)
    running.start_daemon(daemon)
    await running.wait_ready()
    await asyncio.sleep(PAUSE_S)
    return code


async def _apply(files: deployments.Files) -> None:
    await asyncio.to_thread(
        subprocess.run,
        [
            *(sys.executable, "-m", "burdockcart", "apply"),
            *(str(files.folder), "--platform", files.platform),
        ],
        check=True,
        capture_output=True,
    )


async def _run(files: deployments.Files) -> tuple[_Load, list[int]]:
    running = processes.Processes(files, files.folder)
    try:
        await running.start()
        await _apply(files)
        await running.wait_ready()
        load = _Load(running)
        tasks = [asyncio.create_task(load.poll())]
        tasks += [asyncio.create_task(load.call(n)) for n in range(CALLERS)]
        codes = [await _restart(running, d) for d in files.domain_by_daemon]
        load.stop()
        await asyncio.gather(*tasks)
        return load, codes
    finally:
        running.stop()


def measure(
    deployment: deployments.Deployment, seed: int, report: pathlib.Path
) -> list[line.Line]:
    """Restart all daemons in turn and count the interrupted requests."""
    with tempfile.TemporaryDirectory() as folder:
        files = deployments.Files(
            deployment, pathlib.Path(folder), deployment.base_port, DAEMONS
        )
        files.write()
        load, codes = asyncio.run(_run(files))
    counts = load.count_by_outcome
    interrupted = sum(counts[outcome] for outcome in _OUTCOME_UNKNOWN)
    accounted = load.sent == sum(counts.values())
    answered = counts["answered"]
    refused = load.sent - answered - interrupted
    extra: dict[str, object] = {
        "requests": load.sent,
        "answered": answered,
        "refused_not_run": refused,
        "restarts": len(codes),
    }
    holds = interrupted == 0 and accounted and not any(codes)
    return [
        line.Line(
            "shutdown_cut_requests",
            deployment.name,
            interrupted,
            0,
            holds,
            seed,
            None,
            extra,
        )
    ]
