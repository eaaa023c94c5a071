"""How well accounts were served within their rates, for a soak's report."""

import collections
import dataclasses
import math
import re
from typing import Iterable
from typing import Iterator
from typing import Protocol

from burdockcart.request import command
from burdockcart.soak import account_history
from burdockcart.soak import history as histories

Kind = command.CommandKind
Record = account_history.AccountRecord

#: Answered by the daemon; they are no operations.
OF_THE_DAEMON = frozenset({Kind.SET, Kind.PREPARE, Kind.DEALLOCATE})
REFUSALS = frozenset({"BUSY", "NOAUTH"})
#: Share of the accounts whose service is reported as the worst.
WORST_SHARE = 0.1
#: Time after a fault in which an operation does not count as calm, in
#: seconds.
CALM_S = 4.0


@dataclasses.dataclass(frozen=True)
class Offer:
    """An operation that a client sent with a key that was held.

    Parameters
    ==========

    refused : bool
        Whether the client was told that it was not run, and may try again.
    detail : str
        That answer.

    """

    sent_at: float
    account: str
    refused: bool
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class Service:
    """Operations of an account within its rate."""

    account: str
    inside: int
    refused: int

    @property
    def served_share(self) -> float:
        """Share of the operations within the rate that were not refused."""
        return 1 - self.refused / self.inside


class Bucket:
    """Token bucket of an account, which begins full."""

    def __init__(self, record: Record, account: str):
        self._versions = record.versions
        self._account = account
        self._tokens = math.inf
        self._at = 0.0

    def take(self, at: float) -> bool:
        """Return whether an operation is within rate and burst."""
        state = next(
            (
                state
                for version in reversed(self._versions)
                if version.at <= at
                and (state := version.account(self._account)) is not None
            ),
            None,
        )
        if state is None:
            return False
        if state.rate_per_s is None:
            return True
        gained = (at - self._at) * state.rate_per_s
        self._tokens = min(self._tokens + gained, state.burst)
        self._at = at
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def offers(history: histories.History, record: Record) -> list[Offer]:
    """Return the operations of accounts in the order of their sending."""
    requests_by_attempt = collections.defaultdict(list)
    for request in history.requests:
        if (
            request.kind not in OF_THE_DAEMON
            and request.allowed
            and request.session not in record.anonymous_sessions
        ):
            requests_by_attempt[request.attempt].append(request)
    found = (_offer(each, record) for each in requests_by_attempt.values())
    return sorted(
        (each for each in found if each is not None),
        key=lambda each: each.sent_at,
    )


def _offer(requests: list[histories.Request], record: Record) -> Offer | None:
    """Return the operation of an attempt; None without an account."""
    sent_at = requests[0].sent_at
    names = record.holders(requests[0].key, sent_at, sent_at)
    if not names:
        return None
    refusals = [
        each.detail
        for each in requests
        if each.detail.split(" ")[0] in REFUSALS
    ]
    detail = refusals[0] if refusals else ""
    return Offer(sent_at, min(names), bool(refusals), detail)


class Span(Protocol):
    """Times of the operations that a report covers."""

    def covers(self, at: float) -> bool:
        """Return whether a time, in seconds, is part of it."""


def within_rate(found: Iterable[Offer], record: Record) -> Iterator[Offer]:
    """Return the operations within the rate of their account."""
    bucket_by_account: dict[str, Bucket] = {}
    for offer in found:
        name = offer.account
        bucket = bucket_by_account.setdefault(name, Bucket(record, name))
        if bucket.take(offer.sent_at):
            yield offer


def services(
    found: Iterable[Offer], record: Record, span: Span | None = None
) -> list[Service]:
    """Return the service of each account, the worst first.

    Only operations within the rate count; with ``span``, only those that it
    covers.
    """
    inside: collections.Counter[str] = collections.Counter()
    refused: collections.Counter[str] = collections.Counter()
    for offer in within_rate(found, record):
        if span is None or span.covers(offer.sent_at):
            inside[offer.account] += 1
            refused[offer.account] += offer.refused
    result = [Service(e, inside[e], refused[e]) for e in inside]
    return sorted(result, key=lambda each: each.served_share)


class Calm:
    """Times without a fault."""

    def __init__(self, history: histories.History):
        self._spans = [
            (each.begin, each.end + CALM_S)
            for each in history.disturbances
            if not each.planned
        ] + [
            (each.asked_at or each.ended_at, each.ended_at + CALM_S)
            for each in history.process_ends
        ]

    def covers(self, at: float) -> bool:
        """Return whether no fault was near a time."""
        return not any(begin <= at <= end for begin, end in self._spans)


class Since:
    """All times from one on."""

    def __init__(self, at: float):
        self._at = at

    def covers(self, at: float) -> bool:
        """Return whether a time is not before it."""
        return self._at <= at


def since(history: histories.History, at: float) -> str:
    """Return fields on the service from a time on, for a case's report."""
    record = history.accounts
    if record is None:
        return ""
    served = services(offers(history, record), record, Since(at))
    return " ".join(_fields("_case", served))


def rejections(
    history: histories.History, span: Span
) -> list[tuple[str, int]]:
    """Return how often operations within the rate were rejected, by text.

    Counts those in a span.  Names and numbers are left out of the texts; the
    most frequent text comes first.
    """
    record = history.accounts
    if record is None:
        return []
    return collections.Counter(
        re.sub(r"'[^']*'|\d+", "*", each.detail)
        for each in within_rate(offers(history, record), record)
        if each.refused and span.covers(each.sent_at)
    ).most_common()


def summary(history: histories.History) -> str:
    """Return fields on the service of the accounts for a soak's report."""
    record = history.accounts
    if record is None:
        return ""
    found = offers(history, record)
    return " ".join(
        field
        for label, calm in (("", None), ("_calm", Calm(history)))
        for field in _fields(label, services(found, record, calm))
    )


def _fields(label: str, served: list[Service]) -> Iterator[str]:
    inside = sum(each.inside for each in served)
    refused = sum(each.refused for each in served)
    worst = served[: math.ceil(len(served) * WORST_SHARE)]
    yield f"inside{label}={inside}"
    if not worst:
        return
    yield f"refused_inside{label}={refused / inside:.1%}"
    share = sum(each.served_share for each in worst) / len(worst)
    names = ",".join(each.account for each in worst)
    yield f"worst_tenth{label}={share:.1%}({names})"
