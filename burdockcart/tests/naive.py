"""Baseline proxy that the real one is compared with.

All statements go to a fixed primary (by default the first member of the
group) in the order of arrival, and none is rejected.  Run as a process with
``python -m burdockcart.tests.naive SETTINGS FOLDER PRIMARIES SHARE``, where
SHARE is the number of processes that share the connections.
"""

import asyncio
import json
import pathlib
import sys

from returns import result

from burdockcart.connection import caller_server
from burdockcart.connection import target_connection
from burdockcart.connection import target_pool
from burdockcart import errors
from burdockcart.process import settings
from burdockcart.request import routing
from burdockcart.request import statement
from burdockcart.version import table_files

TERM = 1
#: Longer than any run, so that no statement times out.
REQUEST_TIMEOUT_S = 3600.0


class Naive:
    """Forwards each statement to its primary and waits for the answer."""

    def __init__(self, daemon, tables, connector, primaries=None, share=1):
        self.daemon = daemon
        self.tables = tables
        self.pool_by_member = {}
        self.slots_by_member = {}
        self.primary_by_group = {}
        for pool in tables.pool_by_name.values():
            limit = max(pool.connections_per_member // share, 1)
            for group in pool.groups:
                name = (primaries or {}).get(group.id, group.members[0].id)
                primary = next(m for m in group.members if m.id == name)
                self.primary_by_group[group.id] = primary
                self.pool_by_member[primary.id] = target_pool.TargetPool(
                    connector, primary.address, limit
                )
                self.slots_by_member[primary.id] = asyncio.Semaphore(
                    min(pool.slots_per_member, limit)
                )

    async def handle(self, caller, request):
        """Run a caller's statement; the session token is always empty."""
        route = routing.find_route(
            self.tables.route_by_name.values(), caller, request.kind
        )
        if route is None:
            return failure(errors.ErrorKind.NO_ROUTE)
        pool = self.tables.pool_by_name[route.pool]
        key = str(request.statement.get("key", ""))
        group = routing.find_group(pool, request.database, key)
        primary = self.primary_by_group[group.id]
        async with self.slots_by_member[primary.id]:
            reply = await self._send(primary, request)
        body = reply.value_or(None)
        if body is None:
            return failure(errors.ErrorKind.OUTCOME_UNKNOWN)
        if body["status"] == "failed":
            return failure(errors.ErrorKind.STATEMENT_FAILED)
        served = statement.ServedBy(
            self.daemon,
            self.daemon,
            primary.id,
            group.id,
            body["role"],
            body["term"],
            body["position"],
        )
        return result.Success(
            statement.Answer(request.request_id, "", body["result"], served)
        )

    async def _send(self, primary, request):
        connections = self.pool_by_member[primary.id]
        connection = await connections.acquire()
        if connection is None:
            return result.Failure(target_connection.TargetFault.NOT_SENT)
        body = {
            "request_id": request.request_id,
            "term": TERM,
            "operation": request.operation.value,
            "statement": request.statement,
        }
        try:
            return await connection.request(
                "/execute", body, REQUEST_TIMEOUT_S
            )
        finally:
            connections.release(connection)


def failure(kind):
    """Return a failure of a kind."""
    return result.Failure(errors.Failure(kind, kind.value))


async def serve(config, tables, primaries, share):
    """Serve callers until the process is ended."""
    naive = Naive(
        config.id,
        tables,
        target_connection.HttpConnector(config.ip),
        primaries,
        share,
    )
    server = caller_server.CallerServer(
        caller_server.Credentials(config.secret_by_caller),
        naive.handle,
        lambda: {"naive": True},
    )
    server.start(config.caller_port, config.ip)
    await asyncio.Event().wait()


def main(settings_path, folder, primaries, share):
    """Read the same files as the real daemon and serve."""
    config = settings.read(pathlib.Path(settings_path)).unwrap()
    tables = table_files.read(pathlib.Path(folder), 1).unwrap()
    by_group = json.loads(primaries)
    asyncio.run(serve(config, tables, by_group, int(share)))


if __name__ == "__main__":
    main(*sys.argv[1:])
