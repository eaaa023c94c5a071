"""Checks of a soak's writes and reads: TWICE, REFUSED, STALE, MIXED."""

import collections
from typing import Iterator

from burdockcart.emulator import wire_member
from burdockcart.request import command
from burdockcart.soak import history as histories
from burdockcart.soak import violation

Kind = command.CommandKind
Outcome = histories.Outcome
Violation = violation.Violation

#: Statements that a member runs for a client, with its receipt.
FORWARDED = frozenset({Kind.READ, Kind.WRITE, Kind.COMMIT, Kind.EXECUTE})


def _commit_by_write(
    history: histories.History,
) -> dict[str, list[wire_member.Commit]]:
    """Return the commits in which each write is in effect."""
    commits = collections.defaultdict(list)
    for commit in history.log:
        for statement, _ in commit.writes:
            commits[statement].append(commit)
    return commits


def repeated_writes(history: histories.History) -> Iterator[Violation]:
    """TWICE: a write is in effect twice."""
    for statement, commits in _commit_by_write(history).items():
        if len(commits) > 1:
            yield Violation(
                "TWICE",
                f"in effect {len(commits)} times",
                commits[-1].at,
                (statement,),
            )


def broken_promises(history: histories.History) -> Iterator[Violation]:
    """REFUSED: a write is in effect although its attempt was refused."""
    commits = _commit_by_write(history)
    refusal_by_attempt = {
        request.attempt: request
        for request in history.requests
        if request.outcome is Outcome.PROMISE
    }
    for request in history.requests:
        refusal = refusal_by_attempt.get(request.attempt)
        if refusal is not None and request.id in commits:
            yield Violation(
                "REFUSED",
                f"in effect although the client received {refusal.detail!r}",
                refusal.ended_at,
                (request.id, refusal.id),
                refusal.daemon,
            )


def _acknowledged(
    history: histories.History,
) -> list[tuple[float, int, wire_member.Commit]]:
    """Return time, session and commit of the acknowledged writes."""
    commits = _commit_by_write(history)
    attempts = collections.defaultdict(list)
    for request in history.requests:
        attempts[request.attempt].append(request)
    return [
        (requests[-1].ended_at, requests[-1].session, commit)
        for requests in attempts.values()
        if requests[-1].outcome is Outcome.SUCCESS
        for commit in {
            each.position: each
            for request in requests
            for each in commits.get(request.id, ())
        }.values()
    ]


def stale_reads(history: histories.History) -> Iterator[Violation]:
    """STALE: a read was answered from a log without a commit it must see."""
    acknowledged = _acknowledged(history)
    for request in history.requests:
        run = _answering_run(history, request)
        if run is None or not _reads(request):
            continue
        for at, session, commit in acknowledged:
            if run.position < commit.position and at < _due_before(
                request, session
            ):
                yield Violation(
                    "STALE",
                    f"{request.freshness.value} read at {run.member} on "
                    f"{run.position} lacks {commit.position}, acknowledged "
                    f"{request.began_at - at:.3f} s before",
                    run.at,
                    (request.id, *(each for each, _ in commit.writes)),
                    request.daemon,
                )
                break


def _answering_run(
    history: histories.History, request: histories.Request
) -> wire_member.Run | None:
    """Return the run whose answer the client received.

    The member of a read that is sent behind a proof of leadership runs the
    read also if the proof fails; the daemon drops that answer.
    """
    number = request.receipt.rpartition(".")[2]
    if request.outcome is not Outcome.SUCCESS or not number.isdigit():
        return None
    return history.runs[int(number)]


def _reads(request: histories.Request) -> bool:
    return request.kind is Kind.READ or (
        request.shape is not None and not request.shape.writes
    )


def _due_before(request: histories.Request, session: int) -> float:
    """Return until when a commit of a session must have been acknowledged."""
    freshness = histories.Freshness
    own = request.freshness is freshness.SESSION and request.session == session
    if request.freshness is freshness.ALL or own:
        return request.began_at
    return request.began_at - request.max_age_s


def false_receipts(history: histories.History) -> Iterator[Violation]:
    """MIXED: a success without the member's receipt."""
    for request in history.requests:
        if (
            request.kind in FORWARDED
            and request.outcome is Outcome.SUCCESS
            and request.receipt.rpartition(".")[0] != f"receipt-{request.id}"
        ):
            yield Violation(
                "MIXED",
                f"success with the receipt {request.receipt!r}",
                request.ended_at,
                (request.id,),
                request.daemon,
            )
