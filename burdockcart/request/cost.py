"""Service times and cost classes, learned for each route and kind."""

import collections

import msgspec

from burdockcart import ids
from burdockcart.version import rows

#: Running time above which work is long, in seconds: a quarter of the default
#: deadline of a route, so that short work queued behind short work still meets
#: its deadline.
SHORT_BOUND_S = 0.5
#: Mean deviations added to the mean where an underestimate misses a deadline.
DEVIATIONS = 2.0
#: Weight of a new running time in the moving averages.
WEIGHT = 0.1
#: Maximum number of kinds; callers name them, so it must be bounded.
MAX_KINDS = 1000
#: Weight of a new running time in the unloaded average; low, because running
#: times of one kind vary and after a low outlier the usual ones would look
#: like a slowdown.
UNLOADED_WEIGHT = 0.05


class RunningTimes(msgspec.Struct):
    """Statistics of the running times of one route and kind.

    Parameters
    ==========

    mean_s, deviation_s : float
        Moving averages of the running time and of its absolute deviation.
    peak_s : float
        Like the mean, but raised at once to a running time above
        ``SHORT_BOUND_S``.
    unloaded_s : float or None
        Moving average of work that started alone on its member.

    """

    mean_s: float
    peak_s: float
    unloaded_s: float | None = None
    deviation_s: float = 0.0


class Costs:
    """Running times by route and kind.

    Examples
    ========

    >>> from burdockcart.request import cost
    >>> from burdockcart.version import rows
    >>> costs = cost.Costs()
    >>> _ = costs.learn("archive", "map", 0.01, alone=True)
    >>> costs.learn("archive", "map", 0.03, alone=False)
    3.0
    >>> costs.is_long("archive", "map", rows.Cost.AUTO)
    False
    >>> _ = costs.learn("archive", "map", 2.0, alone=False)
    >>> costs.is_long("archive", "map", rows.Cost.AUTO)
    True

    """

    def __init__(self) -> None:
        self._learned: collections.OrderedDict[
            tuple[ids.RouteName, str], RunningTimes
        ] = collections.OrderedDict()

    def expected_s(self, route: ids.RouteName, kind: str) -> float:
        """Return the expected running time; 0 if nothing is known."""
        learned = self._learned.get((route, kind))
        return learned.mean_s if learned else 0.0

    def high_estimate_s(self, route: ids.RouteName, kind: str) -> float:
        """Return a running time that few statements exceed."""
        learned = self._learned.get((route, kind))
        if learned is None:
            return 0.0
        return learned.mean_s + DEVIATIONS * learned.deviation_s

    def is_long(
        self, route: ids.RouteName, kind: str, declared: rows.Cost
    ) -> bool:
        """Return whether work must leave one slot free for short work.

        Unknown work counts as long until it has run once; otherwise two
        unknown long statements could fill a member.
        """
        learned = self._learned.get((route, kind))
        if learned is None:
            return declared is not rows.Cost.SHORT
        return declared is rows.Cost.LONG or learned.peak_s > SHORT_BOUND_S

    def learn(
        self,
        route: ids.RouteName,
        kind: str,
        duration_s: float,
        alone: bool,
    ) -> float | None:
        """Record a running time; return it relative to the unloaded one.

        ``alone`` states that nothing else ran when the work started.
        Returns None until work of the kind has started alone.
        """
        key = (route, kind)
        learned = self._learned.get(key)
        if learned is None:
            learned = RunningTimes(duration_s, duration_s)
            self._learned[key] = learned
            if len(self._learned) > MAX_KINDS:
                self._learned.popitem(last=False)
        self._learned.move_to_end(key)
        distance_s = duration_s - learned.mean_s
        learned.mean_s += WEIGHT * distance_s
        learned.deviation_s += WEIGHT * (abs(distance_s) - learned.deviation_s)
        learned.peak_s += WEIGHT * (duration_s - learned.peak_s)
        if duration_s > SHORT_BOUND_S:
            learned.peak_s = max(learned.peak_s, duration_s)
        if alone:
            before = learned.unloaded_s or duration_s
            learned.unloaded_s = before + UNLOADED_WEIGHT * (
                duration_s - before
            )
        if not learned.unloaded_s:
            return None
        return duration_s / learned.unloaded_s
