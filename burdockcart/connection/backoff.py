"""Pauses that double after each failure."""

#: Doublings after which every pause has reached its maximum; an integer power
#: of the number of failures alone would not fit a float after 1,023 of them.
MAX_DOUBLINGS = 30


def longest_s(first_s: float, failures: int, maximum_s: float) -> float:
    """Return the longest pause after a number of failures, in seconds.

    Examples
    ========

    >>> from burdockcart.connection import backoff
    >>> [backoff.longest_s(0.1, failures, 0.8) for failures in (0, 2, 5000)]
    [0.1, 0.4, 0.8]

    """
    return min(first_s * 2 ** min(failures, MAX_DOUBLINGS), maximum_s)
