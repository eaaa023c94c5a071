"""Counters, gauges and timers, sent to a statsd server if one is set."""

import statsd

#: Prefix of all names, so that they don't mix with those of other programs.
PREFIX = "burdockcart"


class Metrics:
    """Metrics of one daemon; does nothing without a server.

    Explanation
    ===========

    Names are dotted and say what is counted, for example
    ``membership.daemon_dead``.  Values go out as UDP datagrams, so a lost or
    slow server delays nothing.

    Parameters
    ==========

    address : str or None
        ``ip:port`` of the statsd server.

    Examples
    ========

    >>> from burdockcart.process import metrics
    >>> off = metrics.Metrics()
    >>> off.count("peers.messages_dropped")

    """

    def __init__(self, address: str | None = None):
        self._client: statsd.StatsClient | None = None
        if address is not None:
            host, port = address.rsplit(":", 1)
            self._client = statsd.StatsClient(
                host, int(port), prefix=PREFIX, ipv6=":" in host
            )

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_s: float) -> None:
        """Add a duration to a timer."""
        if self._client is not None:
            self._client.timing(name, duration_s * 1000)

    def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()
