"""One request on a connection of its own."""

import asyncio
from typing import Any

from burdockcart.connection import target_connection


async def send(
    connector: target_connection.Connector,
    address: str,
    path: str,
    body: dict[str, Any] | None,
    timeout_s: float,
) -> dict[str, Any] | None:
    """Connect, send a request, close; return the answer or None.

    Used for members whose executor gives no answer.  Each member keeps two
    connections free for such requests.

    """
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await connector.connect(address, timeout_s)
            if connection is None:
                return None
            answer = await connection.request(path, body, timeout_s)
            return answer.value_or(None)
    except asyncio.TimeoutError:
        return None
    finally:
        if connection is not None:
            connection.close()
