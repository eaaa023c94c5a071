"""HTTP server that stands in for one database server of a group."""

import asyncio
import dataclasses
import json
from typing import Any

from burdockcart.emulator import member
from burdockcart.emulator import network
from burdockcart.emulator import replication
from tornado import httpclient
from tornado import httpserver
from tornado import iostream
from tornado import web

REPLICATION_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True)
class TargetSettings:
    """Address, size and timing of one emulated member."""

    name: str
    address: str
    port: int
    primary: bool = False
    primary_address: str | None = None
    slots: int = 2
    connections: int = 16
    connect_ms: float = 0.0
    work_ms: float = 1.0
    one_way_ms: float = 0.0
    lag_ms: float = 0.0
    poll_ms: float = 10.0


class TargetServer(httpserver.HTTPServer):
    """Counts connections and closes those beyond the member's limit."""

    def initialize(  # type: ignore[override]
        self, application: web.Application, target: "Target"
    ) -> None:
        """Keep the target whose connections this server counts."""
        self.target = target
        super().initialize(application, idle_connection_timeout=3600)

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Accept a connection, or close it if the member is full."""
        if not self.target.admit(stream):
            stream.close()
            return
        super().handle_stream(stream, address)

    def on_close(self, server_conn: Any) -> None:
        """Roll back the transaction of a closed connection."""
        super().on_close(server_conn)
        self.target.forget(server_conn.stream)


class Target:
    """One emulated member with its server and its replication."""

    def __init__(self, settings: TargetSettings):
        self.settings = settings
        self.member = member.Member(
            settings.name, settings.primary, settings.slots, settings.work_ms
        )
        self.member.state.primary_address = settings.primary_address
        self.network = network.Network(
            network.prefix(settings.address), settings.one_way_ms
        )
        self.max_connections = 0
        self.connections_refused = 0
        self.lag_ms = settings.lag_ms
        self.session_by_stream: dict[Any, member.Session] = {}
        self.server: TargetServer | None = None
        self._replication: asyncio.Task[None] | None = None
        self.crashing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and start to replicate."""
        application = web.Application(
            [(r"/(\w+)", TargetHandler, {"target": self})],
            log_function=lambda handler: None,
        )
        self.server = TargetServer(application, target=self)
        self.server.listen(self.settings.port, self.settings.address)
        self._replication = asyncio.create_task(self._replicate())

    async def stop(self) -> None:
        """Close the server and every connection."""
        if self._replication:
            self._replication.cancel()
        if self.server:
            self.server.stop()
            await self.server.close_all_connections()

    async def crash(self, seconds: float) -> None:
        """Close the server and all connections, and return later.

        The log and the term survive, as they do on a database's disk.

        """
        await self.stop()
        await asyncio.sleep(seconds)
        await self.start()

    def admit(self, stream: iostream.IOStream) -> bool:
        """Open the session of a new connection, or return False if full."""
        if len(self.session_by_stream) >= self.settings.connections:
            self.connections_refused += 1
            return False
        self.session_by_stream[stream] = member.Session()
        self._count_connections()
        return True

    def forget(self, stream: iostream.IOStream) -> None:
        """End the session of a closed connection."""
        self.session_by_stream.pop(stream, None)
        self._count_connections()

    def _count_connections(self) -> None:
        self.member.connections = len(self.session_by_stream)
        self.max_connections = max(
            self.max_connections, self.member.connections
        )

    async def _replicate(self) -> None:
        client = httpclient.AsyncHTTPClient(force_instance=True)
        while True:
            try:
                await self._pull(client)
            except (OSError, httpclient.HTTPError, replication.Refused):
                pass
            await asyncio.sleep(self.settings.poll_ms / 1000)

    async def _pull(self, client: httpclient.AsyncHTTPClient) -> None:
        state = self.member.state
        address = state.primary_address
        if state.role == "primary" or address is None:
            return
        if network.prefix(address) in self.network.cut:
            return
        answer = await client.fetch(
            f"http://{address}/log?after={state.position}"
            f"&log_term={state.log_term}&source={self.settings.address}",
            request_timeout=REPLICATION_TIMEOUT_S,
        )
        log = json.loads(answer.body)
        if log["entries"] and self.lag_ms:
            await asyncio.sleep(self.lag_ms / 1000)
        if state.primary_address == address:
            self.member.replicate(log)


class TargetHandler(web.RequestHandler):
    """Answers the requests of proxies, of replicas and of tests."""

    def initialize(self, target: Target) -> None:
        """Keep the target that the request is for."""
        self.target = target

    @property
    def session(self) -> member.Session:
        """Return the state of the connection that the request came on."""
        stream = self.request.connection.stream  # type: ignore[union-attr]
        return self.target.session_by_stream.get(stream) or member.Session()

    async def get(self, name: str) -> None:
        """Answer a question about the member."""
        if name == "record":
            self.write(self._record())
            return
        source = self.get_query_argument("source", self.request.remote_ip)
        await self.target.network.simulate_link(str(source))
        if name == "state":
            await self._open_session()
            self.write(self.target.member.describe())
        elif name == "log":
            self._write_log()
        else:
            raise web.HTTPError(404)
        await self.target.network.simulate_link(str(source))

    async def post(self, name: str) -> None:
        """Run a request that may change the member."""
        body = json.loads(self.request.body)
        if name == "fault":
            self._fault(body)
            return
        source = str(self.request.remote_ip)
        await self.target.network.simulate_link(source)
        await self._open_session()
        answer = await self.target.member.handle(self.session, name, body)
        await self.target.network.simulate_link(source)
        self.write(answer)

    async def _open_session(self) -> None:
        """Spend the time that a database takes for a new connection."""
        if self.session.fresh:
            self.session.fresh = False
            await asyncio.sleep(self.target.settings.connect_ms / 1000)

    def _write_log(self) -> None:
        after = int(self.get_query_argument("after"))
        log_term = int(self.get_query_argument("log_term"))
        try:
            self.write(self.target.member.log_after(after, log_term))
        except replication.Refused as error:
            raise web.HTTPError(409, reason=error.reason) from error

    def _record(self) -> dict[str, Any]:
        target = self.target
        return {
            "record": list(target.member.record),
            "reached": list(target.member.reached),
            "max_running": target.member.max_running,
            "max_connections": target.max_connections,
            "connections_refused": target.connections_refused,
        }

    def _fault(self, body: dict[str, Any]) -> None:
        target = self.target
        target.network.cut = set(body.get("cut", target.network.cut))
        target.lag_ms = body.get("lag_ms", target.lag_ms)
        target.member.slow_ms = body.get("slow_ms", target.member.slow_ms)
        if "crash_s" in body:
            target.crashing = asyncio.create_task(
                target.crash(body["crash_s"])
            )
        self.write({})
