"""Runs a gateway daemon on the platform."""

import asyncio
import gc
import os
import pathlib
import resource
import signal
import sys
from typing import Iterable
import uuid

import loguru
from returns import result
from tornado import httpserver

from burdockcart import clock
from burdockcart.cmd import stop_signal
from burdockcart.connection.client_limits import limits
from burdockcart.connection import client_session
from burdockcart import errors
from burdockcart import ids
from burdockcart.platform import calls
from burdockcart.platform import client_limiter
from burdockcart.platform import client_wire
from burdockcart.platform import member_wire
from burdockcart.platform import ready
from burdockcart.platform import settings_file
from burdockcart.platform import wire
from burdockcart.process import event_log
from burdockcart.process.gateway import application
from burdockcart.process.gateway.sessions import shutdown_steps
from burdockcart.process.gateway import settings
from burdockcart.process import log_sink
from burdockcart.process.peers import fleet_key
from burdockcart.process.peers import tcp

SETTINGS_VARIABLE = "BURDOCKCART_SETTINGS"
#: Interval of reading the settings file, in seconds.  The file may change
#: without a signal, and is only a few kilobytes long.
SETTINGS_INTERVAL_S = 1.0
#: Share of the granted time after which a drain that goes on failing is given
#: up; one that works ends earlier.
DRAIN_SHARE = 0.94
#: Pause before a drain that failed is tried again, in seconds.
DRAIN_RETRY_S = 0.1


class _Gateway:
    """Passes the first message of a client to the application."""

    def __init__(self, daemon: application.GatewayApplication):
        self._daemon = daemon

    async def open_session(
        self, startup: wire.Startup
    ) -> result.Result[client_session.ClientSession, errors.Failure]:
        """Open a session, or return why it is refused."""
        return await self._daemon.open_session(startup.database, startup.user)


def main() -> int:
    """Run the daemon that the platform's settings file describes."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    content = _read_content(path)
    read = (
        settings_file.read(path)
        if content is None
        else settings_file.decode(content, path.name)
    )
    if isinstance(read, result.Failure):
        for fault in read.failure():
            print(fault, file=sys.stderr)
        return 2
    limiter = event_log.configure_bounded("INFO", sys.stdout.fileno())
    asyncio.run(_serve(path, content, read.unwrap(), limiter))
    return 0


async def _serve(
    path: pathlib.Path,
    content: bytes | None,
    config: settings.GatewaySettings,
    limiter: log_sink.LineLimiter,
) -> None:
    stopping = stop_signal.stop_event()
    platform = calls.PlatformClient(
        config.store_address, config.promotion_address
    )
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, _reload, path, platform
    )
    allowed = _client_limits(config)
    key = fleet_key.FleetKey()
    incarnation = ids.Incarnation(uuid.uuid4().hex[:12])
    clients_limiter = client_limiter.ClientLimiter(
        allowed,
        lambda port, reason: daemon.metrics.client_limited(port, reason),
    )
    daemon = application.GatewayApplication(
        config,
        platform,
        member_wire.WireConnector(clients_limiter),
        clock.BootClock(),
        tcp.TcpPeers(
            config.daemon,
            incarnation,
            key.get,
            allowed.ungreeted,
            allowed.link_bytes,
            lambda port, reason: daemon.metrics.client_limited(port, reason),
        ),
        key,
        incarnation,
        clients_limiter,
    )
    platform.on_read = lambda cost: daemon.metrics.store_read(
        cost.path, cost.outcome.value, cost.received, cost.took_s
    )
    count = daemon.metrics.client_limited
    daemon.metrics.client_memory.set_function(
        lambda: clients_limiter.budget.used
    )
    listener = client_wire.ClientListener(_Gateway(daemon), clients_limiter)
    await daemon.start(listener)
    servers = [
        ready.serve_ready(config.ready_address, daemon.ready, allowed, count),
        ready.serve_metrics(
            _metrics_address(config), daemon.measure, allowed, count
        ),
    ]
    tasks = [
        asyncio.create_task(_report_suppressed(daemon, limiter)),
        asyncio.create_task(watch_settings(path, platform, content)),
    ]
    # Objects created so far live as long as the process; exclude them from
    # later garbage collections.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    await shut_down(daemon, config.shutdown_s, servers, platform)
    for task in tasks:
        task.cancel()
    stop_signal.block_signals()


def _client_limits(config: settings.GatewaySettings) -> limits.ClientLimits:
    """Return the limits that the settings and the process's own allow."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = config.max_fds
    if soft != resource.RLIM_INFINITY:
        available = min(available, soft)
    return limits.derive(
        config.memory_mb,
        available,
        line_timeout_s=config.line_timeout_s,
        unread_timeout_s=config.unread_timeout_s,
        idle_s=config.client_idle_s,
        http_timeout_s=config.http_timeout_s,
    )


async def shut_down(
    daemon: application.GatewayApplication,
    granted_s: float,
    servers: Iterable[httpserver.HTTPServer],
    platform: calls.PlatformClient,
) -> None:
    """Drain and stop a daemon within the granted time, whatever fails."""

    async def drain() -> None:
        try:
            async with asyncio.timeout(DRAIN_SHARE * granted_s):
                while not await shutdown_steps.run(daemon.drain):
                    await asyncio.sleep(DRAIN_RETRY_S)
        except TimeoutError:
            loguru.logger.warning("event=drain_given_up")

    await shutdown_steps.run(
        drain, *(each.stop for each in servers), daemon.stop, platform.close
    )


def _metrics_address(config: settings.GatewaySettings) -> str:
    host, _, _ = config.ready_address.rpartition(":")
    return f"{host}:{ready.METRICS_PORT}"


async def _report_suppressed(
    daemon: application.GatewayApplication, limiter: log_sink.LineLimiter
) -> None:
    """Report the number of suppressed log lines by event, at intervals."""
    while True:
        await asyncio.sleep(log_sink.REPORT_EVERY_S)
        for event, count in limiter.take_suppressed().items():
            daemon.metrics.log_lines_left_out.labels(event).inc(count)
            loguru.logger.info(
                "event=log_lines_suppressed of={} count={}", event, count
            )


async def watch_settings(
    path: pathlib.Path,
    platform: calls.PlatformClient,
    current: bytes | None,
) -> None:
    """Reload the settings whenever their file changes.

    Parameters
    ==========

    current : bytes or None
        Content of the file from before the settings in force were read.

    """
    while True:
        await asyncio.sleep(SETTINGS_INTERVAL_S)
        found = _read_content(path)
        if found is not None and found != current:
            current = found
            _reload(path, platform)


def _read_content(path: pathlib.Path) -> bytes | None:
    """Return a file's content; log an error and return None if unreadable."""
    try:
        return path.read_bytes()
    except OSError as error:
        loguru.logger.error("event=settings_unreadable error={!r}", str(error))
        return None


def _reload(path: pathlib.Path, platform: calls.PlatformClient) -> None:
    """Apply the settings that can change in a running process."""
    read = settings_file.read(path)
    if isinstance(read, result.Failure):
        loguru.logger.error(
            "event=settings_refused faults={!r}",
            "; ".join(str(fault) for fault in read.failure()),
        )
        return
    config = read.unwrap()
    platform.store_address = config.store_address
    platform.promotion_address = config.promotion_address
    loguru.logger.info("event=settings_reloaded")
