"""Daemons that are asked last for some time, as they did not help."""

from burdockcart import ids

#: Time for which a daemon is passed over, in seconds.
PASSED_OVER_S = 1.0


class PassedOver:
    """Daemons that are passed over, and until when.

    Examples
    ========

    >>> from burdockcart.process.rates import passed_over
    >>> found = passed_over.PassedOver()
    >>> found.add("d1", 5.0)
    >>> found.has("d1", 5.5), found.has("d1", 6.0), found.has("d2", 5.5)
    (True, False, False)

    """

    def __init__(self) -> None:
        self._until_by_daemon: dict[ids.DaemonId, float] = {}

    def add(self, daemon: ids.DaemonId, now: float) -> None:
        """Pass a daemon over from now on; forget those of before."""
        self._until_by_daemon = {
            each: until
            for each, until in self._until_by_daemon.items()
            if until > now
        }
        self._until_by_daemon[daemon] = now + PASSED_OVER_S

    def remove(self, daemon: ids.DaemonId) -> None:
        """Use a daemon again."""
        self._until_by_daemon.pop(daemon, None)

    def has(self, daemon: ids.DaemonId, now: float) -> bool:
        """Return whether a daemon is passed over."""
        return self._until_by_daemon.get(daemon, now) > now
