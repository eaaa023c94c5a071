"""HTTP servers of a daemon: load balancer health check and metrics."""

import socket
from typing import Callable

from tornado import httpserver
from tornado import web

READY_PATH = "/api/ready"
METRICS_PATH = "/metrics"
#: Port of the metrics; must equal the one in deploy/system.toml.
METRICS_PORT = 9180


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


def serve_ready(
    address: str, ready: Callable[[], bool]
) -> httpserver.HTTPServer:
    """Serve the health check of the load balancer on ``ip:port``."""
    return _serve(address, (READY_PATH, _ReadyHandler, {"ready": ready}))


def serve_metrics(
    address: str, measure: Callable[[], bytes]
) -> httpserver.HTTPServer:
    """Serve the metrics on ``ip:port``."""
    handler = (METRICS_PATH, _MetricsHandler, {"measure": measure})
    return _serve(address, handler)


def _serve(address: str, handler: tuple) -> httpserver.HTTPServer:
    host, _, port = address.rpartition(":")
    server = httpserver.HTTPServer(_QuietApplication([handler]))
    server.listen(int(port), host, socket.AF_INET)
    return server
