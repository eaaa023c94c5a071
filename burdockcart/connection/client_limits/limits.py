"""Limits of the clients of one process, derived from those of its host."""

import msgspec

MIB = 1024 * 1024
#: Memory of an idle process with its tables, and of the copies that exist
#: while one message is parsed, in bytes; about 40 MB and 24 MB, with a
#: reserve.
BASE_BYTES = 96 * MIB
#: Part of the rest that is accounted to clients; the allocator keeps some
#: freed memory, and links and members' answers need their own part.
CLIENT_SHARE = 0.6
#: Part of the rest for frames that links have not sent yet.
LINK_SHARE = 0.2
#: Least memory for clients on a small host: a few large statements.
MIN_CLIENT_BYTES = 16 * MIB
#: Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
#: Most connections to each HTTP port.
MAX_HTTP = 64
#: Most accepted links without a greeting.
MAX_UNGREETED = 256


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits of the clients of one process.

    Parameters
    ==========

    memory_bytes, link_bytes : int
        Memory of all clients, and of unsent frames of all links.
    clients, http, ungreeted : int
        Connections to the client port, to each HTTP port, and to the link
        port before the greeting.
    line_timeout_s : float
        Time from the first byte of a message to its end, in seconds.
    unread_timeout_s : float
        Time in which a client must take an answer, in seconds.
    idle_s : float
        Least time without activity after which a connection may be closed in
        favor of another, in seconds.
    wait_s : float
        Time for which a large message waits for memory, in seconds.
    http_timeout_s : float
        Time in which the head and the body of an HTTP request must arrive,
        in seconds.

    """

    memory_bytes: int
    link_bytes: int
    clients: int
    http: int
    ungreeted: int
    line_timeout_s: float = 10.0
    unread_timeout_s: float = 6.0
    idle_s: float = 1.0
    wait_s: float = 0.5
    http_timeout_s: float = 10.0


def derive(memory_mb: float, max_fds: int, **times_s: float) -> ClientLimits:
    """Return the limits for a host.

    Half of the descriptors that are not for files remain for members, the
    store and links.

    Examples
    ========

    >>> from burdockcart.connection.client_limits import limits
    >>> found = limits.derive(200, 4300)
    >>> found.clients, found.http, found.ungreeted
    (2050, 64, 256)

    """
    rest = max(memory_mb * MIB - BASE_BYTES, 0)
    free = max(max_fds - FILE_DESCRIPTORS, 64)
    return ClientLimits(
        memory_bytes=max(int(CLIENT_SHARE * rest), MIN_CLIENT_BYTES),
        link_bytes=max(int(LINK_SHARE * rest), MIN_CLIENT_BYTES),
        clients=free // 2,
        http=min(free // 16, MAX_HTTP),
        ungreeted=min(free // 8, MAX_UNGREETED),
        **times_s,
    )
