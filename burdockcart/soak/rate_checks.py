"""Check of the operations of an account in a sliding window: RATE.

Explanation
===========

An operation is a single statement or a transaction.  It counts once, with
its first statement that reached a member, in every window in which it was
both sent and arrived.  A limit that was replaced remains allowed for windows
that begin until one window after all daemons have been in contact with the
store for the time of a new manifest, without a fault between them and the
store.  A limit that was raised counts from its acknowledgement.

"""

import bisect
import collections
import dataclasses
import math
from typing import Iterable
from typing import Iterator

from burdockcart.soak import account_checks
from burdockcart.soak import account_history
from burdockcart.soak import history as histories
from burdockcart.soak import schedule
from burdockcart.soak import violation

Kind = schedule.Kind
Record = account_history.AccountRecord
Violation = violation.Violation

#: Faults during which a daemon may not know the newest manifest.
OUT_OF_CONTACT = frozenset(
    {
        Kind.FREEZE.value,
        Kind.KILL.value,
        Kind.STOP.value,
        Kind.STORE_DOWN.value,
        Kind.STORE_SILENT.value,
        Kind.STORE_RESTORED.value,
        Kind.STORE_CUT.value,
    }
)


@dataclasses.dataclass(frozen=True, order=True)
class Operation:
    """When an operation was sent, and when it arrived at a member."""

    sent_at: float
    arrived_at: float
    id: str


def operations(
    history: histories.History, record: Record
) -> dict[str, list[Operation]]:
    """Return the operations that reached members by account, by time."""
    first_by_attempt: dict[int, tuple[str, Operation]] = {}
    for request, each in account_checks.arrivals(history, record):
        name = _account(record, request.key, each.at)
        if name is not None and request.attempt not in first_by_attempt:
            operation = Operation(request.sent_at, each.at, request.id)
            first_by_attempt[request.attempt] = (name, operation)
    operations_by_account = collections.defaultdict(list)
    for name, operation in first_by_attempt.values():
        operations_by_account[name].append(operation)
    return {name: sorted(each) for name, each in operations_by_account.items()}


def _account(record: Record, key: str, at: float) -> str | None:
    """Return the account that held a key last."""
    for version in reversed(record.versions):
        name = version.holder(key)
        if version.at <= at and name is not None:
            return name
    return None


def excessive_operations(
    history: histories.History, limits: violation.AccountLimits
) -> Iterator[Violation]:
    """RATE: more operations in a window than all daemons may admit.

    Only the window with the largest excess of an account is reported.
    """
    record = history.accounts
    if record is None:
        return
    retired = _retirements(history, record, limits)
    for name, found in sorted(operations(history, record).items()):
        most = 0.0
        worst: tuple[list[Operation], float] | None = None
        for window in _windows(found, limits.window_s):
            begin = window[0].sent_at
            bound = _bound(record, name, begin, retired, limits)
            if len(window) - bound > most:
                most, worst = len(window) - bound, (window, bound)
        if worst is not None:
            window, bound = worst
            yield Violation(
                "RATE",
                f"{len(window)} operations of {name!r} within "
                f"{limits.window_s:g} s, bound {bound:.1f}",
                window[0].sent_at,
                tuple(e.id for e in window[: account_checks.MAX_IDS]),
            )


def _windows(
    found: list[Operation], window_s: float
) -> Iterator[list[Operation]]:
    """Return what was sent and arrived in the windows from each sending."""
    times = [each.sent_at for each in found]
    for place, first in enumerate(found):
        end = first.sent_at + window_s
        last = bisect.bisect_right(times, end)
        within = [e for e in found[place:last] if e.arrived_at <= end]
        if within and within[0] is first:
            yield within


def _retirements(
    history: histories.History,
    record: Record,
    limits: violation.AccountLimits,
) -> list[float]:
    """Return up to when windows may begin that use a version's limits."""
    replaced_at = [each.at for each in record.versions[1:]]
    return [
        _known_at(history.disturbances, at, limits) + limits.window_s
        for at in replaced_at
    ] + [math.inf]


def _known_at(
    disturbances: Iterable[histories.Disturbance],
    at: float,
    limits: violation.AccountLimits,
) -> float:
    """Return when all daemons must know a manifest of a time."""
    since = at
    for each in sorted(disturbances, key=lambda each: each.begin):
        if (
            each.kind in OUT_OF_CONTACT
            and each.begin <= since + limits.apply_s
            and since <= each.end + limits.restart_s
        ):
            since = each.end + limits.restart_s
    return since + limits.apply_s


def _bound(
    record: Record,
    name: str,
    begin: float,
    retired: list[float],
    limits: violation.AccountLimits,
) -> float:
    """Return the largest bound that may apply to a window."""
    states = (
        version.account(name)
        for version, until in zip(record.versions, retired)
        if version.at <= begin + limits.window_s and begin <= until
    )
    most = max(
        (
            state.most_operations(limits.window_s)
            for state in states
            if state is not None
        ),
        default=0.0,
    )
    return most * (1 + limits.excess) + limits.slack
