"""TCP options that detect a dead peer."""

import socket

#: Time after which unacknowledged data closes the connection, in milliseconds;
#: below the shortest statement timeout of the users (800 ms), so that a read
#: can still be retried on another member.
USER_TIMEOUT_MS = 500
#: Idle time before the first keep-alive probe, in seconds; the smallest value
#: that the kernel accepts.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
#: Unanswered probes that close the connection.  With the values above it
#: closes within 3 s, below the 4 s after which the platform counts a host as
#: connected.
KEEP_ALIVE_PROBES = 2


def enable_dead_peer_detection(
    connection: socket.socket, user_timeout_ms: int | None = USER_TIMEOUT_MS
) -> None:
    """Set keep-alive probes and a time limit on unacknowledged data.

    A peer that is only slow to answer still acknowledges the data, so its
    connection stays open.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = {
        socket.TCP_NODELAY: 1,
        socket.TCP_KEEPIDLE: KEEP_ALIVE_IDLE_S,
        socket.TCP_KEEPINTVL: KEEP_ALIVE_INTERVAL_S,
        socket.TCP_KEEPCNT: KEEP_ALIVE_PROBES,
    }
    if user_timeout_ms is not None:
        options[socket.TCP_USER_TIMEOUT] = user_timeout_ms
    for option, value in options.items():
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
