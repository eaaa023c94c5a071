"""Position in a replicated log."""

from typing import NamedTuple


class LogPosition(NamedTuple):
    """Term and number of a commit; ordered by term first.

    Examples
    ========

    >>> from burdockcart.request import log_position
    >>> log_position.LogPosition(3, 9) < log_position.LogPosition(4, 1)
    True
    >>> str(log_position.LogPosition(3, 9))
    '3.9'

    """

    term: int
    number: int

    def __str__(self) -> str:
        """Return the position as logs and the line protocol show it."""
        return f"{self.term}.{self.number}"
