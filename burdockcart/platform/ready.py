"""HTTP servers of a daemon: load balancer health check and metrics."""

import socket
from typing import Any
from typing import Callable

import loguru
from tornado import httpserver
from tornado import iostream
from tornado import web

from burdockcart.connection.client_limits import limits
from burdockcart.platform import client_limiter

READY_PATH = "/api/ready"
METRICS_PATH = "/metrics"
#: Port of the metrics; must equal the one in deploy/system.toml.
METRICS_PORT = 9180
#: Largest head and body of a request, in bytes; a probe's has some hundred
#: bytes, and no body.
MAX_HEADER_BYTES = 8 * 1024
MAX_BODY_BYTES = 8 * 1024
BUFFER_BYTES = 64 * 1024


class _ReadyHandler(web.RequestHandler):
    def initialize(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def get(self) -> None:
        """Answer 200 if the daemon accepts clients, else 503."""
        self.set_status(200 if self._ready() else 503)


class _QuietApplication(web.Application):
    """Logs no requests; the gateway logs changes of its readiness."""

    def log_request(self, handler: web.RequestHandler) -> None:
        """Log nothing."""


class _MetricsHandler(web.RequestHandler):
    def initialize(self, measure: Callable[[], bytes]) -> None:
        self._measure = measure

    def get(self) -> None:
        """Answer with all metrics in the text exposition format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._measure())


class _LimitedServer(httpserver.HTTPServer):
    """HTTP server with a limit of connections.

    A new connection closes the oldest one, so that many idle ones do not
    keep a probe out.
    """

    def limit(
        self, connections: int, name: str, count: client_limiter.CountLimited
    ) -> None:
        """Set the limit of connections."""
        self._limit, self._name, self._count = connections, name, count
        self._streams: list[iostream.IOStream] = []

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Serve a connection, and close the oldest over the limit."""
        self._streams = [each for each in self._streams if not each.closed()]
        self._streams.append(stream)
        while len(self._streams) > self._limit:
            self._streams.pop(0).close()
            self._count(self._name, "connections")
            loguru.logger.info(
                "event=client_limited port={} reason=connections "
                "action=closed",
                self._name,
            )
        super().handle_stream(stream, address)


def serve_ready(
    address: str,
    ready: Callable[[], bool],
    allowed: limits.ClientLimits | None = None,
    count: client_limiter.CountLimited = client_limiter.ignore,
) -> httpserver.HTTPServer:
    """Serve the health check of the load balancer on ``ip:port``."""
    handler = (READY_PATH, _ReadyHandler, {"ready": ready})
    return _serve(address, handler, "ready", allowed, count)


def serve_metrics(
    address: str,
    measure: Callable[[], bytes],
    allowed: limits.ClientLimits | None = None,
    count: client_limiter.CountLimited = client_limiter.ignore,
) -> httpserver.HTTPServer:
    """Serve the metrics on ``ip:port``."""
    handler = (METRICS_PATH, _MetricsHandler, {"measure": measure})
    return _serve(address, handler, "metrics", allowed, count)


def _serve(
    address: str,
    handler: tuple,
    name: str,
    allowed: limits.ClientLimits | None,
    count: client_limiter.CountLimited,
) -> httpserver.HTTPServer:
    allowed = allowed or client_limiter.unlimited()
    host, _, port = address.rpartition(":")
    server = _LimitedServer(
        _QuietApplication([handler]),
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
        max_buffer_size=BUFFER_BYTES,
        idle_connection_timeout=allowed.http_timeout_s,
        body_timeout=allowed.http_timeout_s,
    )
    server.limit(allowed.http, name, count)
    server.listen(int(port), host, socket.AF_INET)
    return server
