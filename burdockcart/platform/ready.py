"""Answers the balancer's question whether to send clients."""

import socket
from typing import Callable

from tornado import httpserver
from tornado import web

READY_PATH = "/api/ready"


class _ReadyHandler(web.RequestHandler):
    def initialize(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def get(self) -> None:
        """Answer 200 if the daemon takes clients, else 503."""
        self.set_status(200 if self._ready() else 503)


class _QuietApplication(web.Application):
    """Writes no line for each question; the gateway logs its changes."""

    def log_request(self, handler: web.RequestHandler) -> None:
        """Log nothing."""


def serve_ready(
    address: str, ready: Callable[[], bool]
) -> httpserver.HTTPServer:
    """Listen on ``ip:port``."""
    host, _, port = address.rpartition(":")
    application = _QuietApplication(
        [(READY_PATH, _ReadyHandler, {"ready": ready})]
    )
    server = httpserver.HTTPServer(application)
    server.listen(int(port), host, socket.AF_INET)
    return server
