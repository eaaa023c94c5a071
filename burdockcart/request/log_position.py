"""Position in a replicated log."""

from typing import NamedTuple


class LogPosition(NamedTuple):
    """Term and number of a commit; ordered by term first.

    Examples
    ========

    >>> from burdockcart.request import log_position
    >>> log_position.LogPosition(3, 9) < log_position.LogPosition(4, 1)
    True

    """

    term: int
    number: int
