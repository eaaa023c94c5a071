"""Loads of the replay of queues, and the most that any order could serve."""

import itertools
import random
from typing import Callable
from typing import Iterator

import msgspec
import numpy

from burdockcart import ids

#: Members of the group, and what each runs at a time.
MEMBERS, SLOTS = 3, 4
DURATION_S = 8.0
#: Share of all slots that the usual load takes.
UTILISATION = 0.7
#: Accounts besides the hot one, and the hot one's share of the usual load.
ACCOUNTS = 40
HOT, HOT_SHARE = ids.AccountName("hot"), 0.125
#: Width of a bucket of the bound, in seconds.
BUCKET_S = 0.02


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A statement of the load; times are in seconds."""

    at: float
    kind: str
    priority: int
    goal_s: float
    timeout_s: float
    running_s: float
    account: ids.AccountName | None = None
    writes: bool = False


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Arrivals, and what happens to the members.

    Parameters
    ==========

    slow : tuple
        Member, begin, end and factor on its running times.
    lost : tuple
        Member and the time from which it runs nothing.
    retries : int
        How often a client repeats what was refused, at the time that it was
        told; only the last try counts.

    """

    name: str
    arrivals: tuple[Arrival, ...]
    slow: tuple[int, float, float, float] = (0, 0.0, 0.0, 1.0)
    lost: tuple[int, float] = (0, float("inf"))
    retries: int = 0

    def factor(self, member: int, now: float) -> float:
        """Return the factor on the running times of a member."""
        slow, begin, end, factor = self.slow
        return factor if member == slow and begin <= now < end else 1.0

    def runs(self, member: int, now: float) -> bool:
        """Return whether a member runs statements."""
        return member != self.lost[0] or now < self.lost[1]


class Kind(msgspec.Struct, frozen=True):
    """A kind of statement; times are in seconds, running times means."""

    name: str
    share: float
    priority: int
    goal_s: float
    timeout_s: float
    running_s: float
    writes: bool = False


KINDS = (
    Kind("live", 0.2, 0, 0.1, 1.0, 0.012),
    Kind("read", 0.6, 1, 0.2, 1.0, 0.02),
    Kind("write", 0.18, 1, 0.5, 2.0, 0.02, True),
    Kind("report", 0.02, 2, 0.5, 1.0, 0.2),
)


def _rate(kinds: tuple[Kind, ...]) -> float:
    mean_s = sum(kind.share * kind.running_s for kind in kinds)
    slots = MEMBERS * SLOTS
    return UTILISATION * slots / mean_s


def _arrivals(
    seed: int,
    factor: Callable[[float], float] = lambda at: 1.0,
    hot: float = 0.0,
    long_factor: float = 1.0,
) -> tuple[Arrival, ...]:
    """Return arrivals at the usual rate times a factor by time.

    Parameters
    ==========

    hot : float
        Factor on the demand of one account from second 2 on; 0 for a load
        without accounts.
    long_factor : float
        Factor on the number of statements that take long.

    """
    rng = random.Random(seed)
    rate = _rate(KINDS)

    def times(
        mean: float, factor: Callable[[float], float]
    ) -> Iterator[float]:
        at = rng.expovariate(mean)
        while at < DURATION_S:
            yield at
            at += rng.expovariate(mean * factor(at))

    def arrival(at: float, kind: Kind, name: str | None) -> Arrival:
        running_s = rng.expovariate(1 / kind.running_s)
        return Arrival(
            at=at,
            kind=kind.name,
            priority=kind.priority,
            goal_s=kind.goal_s,
            timeout_s=kind.timeout_s,
            running_s=max(running_s, 0.001),
            account=None if name is None else ids.AccountName(name),
            writes=kind.writes,
        )

    found = []
    for kind in KINDS:
        more = long_factor if kind.name == "report" else 1.0
        usual = kind.share * rate * more
        if not hot:
            found += [arrival(at, kind, None) for at in times(usual, factor)]
            continue
        for at in times(usual * (1.0 - HOT_SHARE), factor):
            found.append(arrival(at, kind, f"a{rng.randrange(ACCOUNTS)}"))
        for at in times(
            usual * HOT_SHARE, lambda at: hot if at > 2.0 else 1.0
        ):
            found.append(arrival(at, kind, HOT))
    return tuple(sorted(found, key=lambda each: each.at))


def _herds(seed: int) -> tuple[Arrival, ...]:
    """Return the usual load, and 400 reads at once every 2 s.

    Their clients give up early.
    """
    found = list(_arrivals(seed))
    rng = random.Random(seed)
    read = next(kind for kind in KINDS if kind.name == "read")
    for second in (1.0, 3.0, 5.0):
        for _ in range(400):
            found.append(
                Arrival(
                    at=second,
                    kind=read.name,
                    priority=read.priority,
                    goal_s=read.goal_s,
                    timeout_s=0.4,
                    running_s=rng.expovariate(1 / read.running_s) + 0.001,
                )
            )
    return tuple(sorted(found, key=lambda each: each.at))


def loads(seed: int) -> list[Load]:
    """Return the loads."""

    def during(
        begin: float, end: float, factor: float
    ) -> Callable[[float], float]:
        return lambda at: factor if begin <= at < end else 1.0

    load = Load
    usual = _arrivals(seed)
    return [
        load(name="usual", arrivals=usual),
        load(name="rise", arrivals=_arrivals(seed, during(2, 6, 2.0))),
        load(
            name="rise with retries",
            arrivals=_arrivals(seed, during(2, 6, 1.7)),
            retries=2,
        ),
        load(
            name="herd with retries",
            arrivals=_herds(seed),
            retries=4,
        ),
        load(name="burst", arrivals=_arrivals(seed, during(3, 4, 3.4))),
        load(name="hot account", arrivals=_arrivals(seed, hot=7.0)),
        load(name="long", arrivals=_arrivals(seed, long_factor=4.0)),
        load(name="slow replica", arrivals=usual, slow=(2, 2.0, 6.0, 5.0)),
        load(name="slow primary", arrivals=usual, slow=(0, 2.0, 6.0, 5.0)),
        load(
            name="lost replica",
            arrivals=_arrivals(seed, during(2, 6, 1.4)),
            lost=(2, 2.0),
        ),
    ]


def bound(load: Load) -> float:
    """Return the most statements that any order could serve in time.

    All slots count as one server that may divide statements: then work that
    is added by increasing running time, as far as every interval can hold the
    work that must be done in it, is the most.  No real order serves more.
    """
    latest = max(each.at + each.goal_s for each in load.arrivals)
    buckets = int(latest / BUCKET_S) + 2
    capacity = numpy.zeros(buckets + 1)
    for bucket, member in itertools.product(range(buckets), range(MEMBERS)):
        now = bucket * BUCKET_S
        if load.runs(member, now):
            slots = SLOTS / load.factor(member, now)
            capacity[bucket + 1] += slots * BUCKET_S
    total = numpy.cumsum(capacity)
    #: Slot time left in the interval from one bucket to another.
    left = total[None, :] - total[:, None]
    served = 0.0
    for each in sorted(load.arrivals, key=lambda each: each.running_s):
        begin = int(each.at / BUCKET_S)
        end = int((each.at + each.goal_s) / BUCKET_S) + 1
        room_s = float(left[: begin + 1, end:].min())
        taken_s = min(each.running_s, max(room_s, 0.0))
        left[: begin + 1, end:] -= taken_s
        served += taken_s / each.running_s
    return served
