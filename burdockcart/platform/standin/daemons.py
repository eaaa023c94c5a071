"""Gateway daemons as separate processes, which a soak signals."""

import asyncio
import collections
import os
import pathlib
import signal
import sys

from burdockcart.platform import launch
from burdockcart.platform import ready
from burdockcart.soak import history as histories

ROOT = pathlib.Path(__file__).parents[3]
CLIENT_PORT = 8784
READY_PORT = 8785
PEER_PORT = 7440
READY_INTERVAL_S = 1.0
#: Pause before a process that ended is started again, in seconds.
RESTART_S = 0.5
#: Time after the grace in which a busy machine may notice the end, in
#: seconds.
GRACE_SLACK_S = 1.0

SETTINGS = """\
node-name={name}
zone={zone}
ip={host}
listen-addrs.front={host}:{client_port}
listen-addrs.ready={host}:{ready_port}
port-range={peer_port},{peer_port}
platform.address={store}
cloud-api.address={store}
bootstrap={bootstrap}
contract-params.grace-s={grace_s}
contract-params.drain-ms={drain_ms}
contract-params.config-apply-ms=3000
contract-params.fencing-required=true
"""


class Daemon:
    """One daemon, which is started again whenever its process ends.

    Parameters
    ==========

    store : str
        ``ip:port`` of the store and of the promotion call.
    more_settings : str
        Lines that are added to the settings.

    """

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        store: str,
        folder: pathlib.Path,
        grace_s: float,
        drain_s: float,
        history: histories.History,
        more_settings: str = "",
    ):
        self.name = name
        self.host = host
        self.ready = False
        self.log_path = folder / f"{name}.log"
        self._zone = zone
        self._store = store
        self._grace_s = grace_s
        self._drain_s = drain_s
        self._history = history
        self._more_settings = more_settings
        self._settings_path = folder / f"{name}.conf"
        self._process: asyncio.subprocess.Process | None = None
        self._asked_at: float | None = None
        self._killed = False
        self._frozen = False
        self._stopping = False
        self._served = False
        self._missed = 0

    @property
    def running(self) -> bool:
        """Whether the process exists and has not been asked to end."""
        return self._process is not None and self._asked_at is None

    @property
    def pid(self) -> int | None:
        """Id of the process, if there is one."""
        return None if self._process is None else self._process.pid

    @property
    def alive(self) -> bool:
        """Whether the process exists."""
        return self._process is not None

    def write_settings(self, bootstrap: bool) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            zone=self._zone,
            host=self.host,
            client_port=CLIENT_PORT,
            ready_port=READY_PORT,
            peer_port=PEER_PORT,
            store=self._store,
            bootstrap=str(bootstrap).lower(),
            grace_s=self._grace_s,
            drain_ms=self._drain_s * 1000,
        )
        self._settings_path.write_text(
            text + self._more_settings, encoding="utf-8"
        )

    async def run(self) -> None:
        """Keep the process running until the soak stops it."""
        self.write_settings(True)
        while not self._stopping:
            await self._run_once()
            self.write_settings(False)
            if not self._stopping:
                await asyncio.sleep(RESTART_S)

    async def _run_once(self) -> None:
        self._asked_at, self._killed, self._served = None, False, False
        with open(self.log_path, "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "burdockcart.platform",
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    launch.SETTINGS_VARIABLE: str(self._settings_path),
                },
            )
        self._process = process
        code = await process.wait()
        self._process, self.ready = None, False
        if not self._stopping:
            self._record_end(process.pid, code)

    def _record_end(self, pid: int, code: int) -> None:
        now = asyncio.get_running_loop().time()
        overdue = (
            self._asked_at is not None
            and code == -signal.SIGKILL
            and not self._killed
        )
        self._history.process_ends.append(
            histories.ProcessEnd(
                daemon=self.name,
                pid=pid,
                asked_at=self._asked_at,
                ended_at=now,
                code=code,
                killed=self._killed,
                overdue=overdue,
                served=self._served,
            )
        )

    def tracebacks(self) -> list[str]:
        """Return the errors with a traceback in the log, counted."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        count_by_error = collections.Counter(
            _error_of(lines[place:])
            for place, line in enumerate(lines)
            if "Traceback" in line
        )
        return [
            f"{count} times: {error}"
            for error, count in sorted(count_by_error.items())
        ]

    def _send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def reload(self) -> None:
        """Send SIGHUP, unless the interpreter may still be starting."""
        if self._served:
            self._send(signal.SIGHUP)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL once the grace has passed."""
        process = self._process
        if process is None or self._asked_at is not None:
            return
        self._asked_at = asyncio.get_running_loop().time()
        self._send(signal.SIGTERM)
        try:
            async with asyncio.timeout(self._grace_s + GRACE_SLACK_S):
                await process.wait()
        except TimeoutError:
            # A process that was suspended has not had its grace.
            self._killed = self._killed or self._frozen
            self._send(signal.SIGKILL)

    def kill(self) -> None:
        """Send SIGKILL."""
        self._killed = True
        self._send(signal.SIGKILL)

    async def freeze(self, seconds: float) -> None:
        """Suspend the process for some time."""
        self._frozen = True
        self._send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._send(signal.SIGCONT)
        await asyncio.sleep(self._grace_s)
        self._frozen = False

    async def stop(self) -> None:
        """End the process for good."""
        self._stopping = True
        process = self._process
        self._send(signal.SIGCONT)
        self._send(signal.SIGKILL)
        if process is not None:
            await process.wait()

    async def watch_ready(self) -> None:
        """Ask whether the daemon takes new clients, as the ingress does."""
        while True:
            await asyncio.sleep(READY_INTERVAL_S)
            if await self._answers_ready():
                self.ready, self._missed, self._served = True, 0, True
                continue
            self._missed += 1
            if self._missed >= 2:
                self.ready = False

    async def _answers_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, READY_PORT
                )
                try:
                    line = f"GET {ready.READY_PATH} HTTP/1.1\r\nHost: a\r\n"
                    writer.write((line + "\r\n").encode())
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False


def _error_of(lines: list[str]) -> str:
    """Return the last line of a traceback that begins in the first line.

    The daemon's own log has all of it in one line.
    """
    first = lines[0].rstrip('"').removesuffix("\\n").rpartition("\\n")[2]
    if first != lines[0]:
        return first
    return next((each for each in lines[1:] if each[:1] != " "), first)
