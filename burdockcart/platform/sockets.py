"""TCP options that make a silent link show itself."""

import socket

#: Unacknowledged data ends the connection after this time, in milliseconds;
#: below the shortest statement timeout on the users' sheets (800 ms), so
#: that a read can still be tried elsewhere.
USER_TIMEOUT_MS = 500
#: Keep-alive probes begin after this idle time, in seconds; the kernel's
#: finest step.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
#: Unanswered probes that end the connection: with the above it ends within
#: 3 s, below the 4 s after which the platform counts a machine as in touch.
KEEP_ALIVE_PROBES = 2


def enable_dead_peer_detection(
    connection: socket.socket, user_timeout_ms: int | None = USER_TIMEOUT_MS
) -> None:
    """Set keep-alive probes and a limit on unacknowledged data.

    A peer that is merely slow to answer acknowledges the bytes, so its
    answer is waited for.
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
