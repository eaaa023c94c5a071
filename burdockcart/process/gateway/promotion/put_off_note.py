"""Why an attempt at a promotion was put off last."""

from burdockcart import clock


class PutOffNote:
    """Last reason for which a promotion in a group was put off.

    Examples
    ========

    >>> from burdockcart.process.gateway.promotion import put_off_note
    >>> class Clock:
    ...     def now(self):
    ...         return 7.0
    >>> note = put_off_note.PutOffNote(Clock())
    >>> note.reason(since=0.0) is None
    True
    >>> note.note("a member has joined")
    >>> note.reason(since=6.0), note.reason(since=8.0)
    ('a member has joined', None)

    """

    def __init__(self, loop_clock: clock.Clock):
        self._clock = loop_clock
        self._noted: tuple[float, str] | None = None

    def note(self, reason: str) -> None:
        """Record that an attempt was put off."""
        self._noted = self._clock.now(), reason

    def reason(self, since: float) -> str | None:
        """Return the last reason unless it is older than a time."""
        if self._noted is None or self._noted[0] < since:
            return None
        return self._noted[1]
