"""Bare echo servers, the baseline for the cost of a statement."""

import asyncio
import sys
import time
from typing import Any

from tornado import httpserver
from tornado import httputil
import zmq
from zmq.eventloop import zmqstream

ROUND_TRIPS = 2000


class _Echo(httputil.HTTPMessageDelegate):
    def __init__(self, connection: httputil.HTTPConnection, size: int):
        self._connection = connection
        self._size = size

    def finish(self) -> None:
        data = b"x" * self._size
        headers = httputil.HTTPHeaders({"Content-Length": str(self._size)})
        line = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        self._connection.write_headers(line, headers, data)
        self._connection.finish()


class EchoServer(httputil.HTTPServerConnectionDelegate):
    """Answers every request with a body of a fixed size."""

    def __init__(self, size: int):
        self._size = size

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that answers one request."""
        return _Echo(request_conn, self._size)


async def serve(address: str, port: int, size: int) -> None:
    """Serve until the process is ended."""
    httpserver.HTTPServer(EchoServer(size)).listen(port, address)
    await asyncio.Event().wait()


async def zmq_round_trip_s(size: int, address: str) -> float:
    """Return the CPU time of a round trip, client and server together."""
    context = zmq.Context()
    router, dealer = context.socket(zmq.ROUTER), context.socket(zmq.DEALER)
    router.bind(address)
    dealer.connect(address)
    server, client = zmqstream.ZMQStream(router), zmqstream.ZMQStream(dealer)
    done = asyncio.get_running_loop().create_future()
    remaining = ROUND_TRIPS

    def on_answer(frames: list[Any]) -> None:
        nonlocal remaining
        remaining -= 1
        if remaining:
            client.send(b"x" * size)
        elif not done.done():
            done.set_result(None)

    server.on_recv(server.send_multipart)
    client.on_recv(on_answer)
    started = time.process_time()
    client.send(b"x" * size)
    await done
    spent = time.process_time() - started
    server.close(linger=0)
    client.close(linger=0)
    context.destroy(linger=0)
    return spent / ROUND_TRIPS


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
