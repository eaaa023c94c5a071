"""Checks of a soak's history; each names the rule that was broken."""

import collections
import dataclasses
import itertools
import signal
from typing import Iterator

from burdockcart.emulator import wire_member
from burdockcart.request import command
from burdockcart.soak import history as histories

Kind = command.CommandKind
Outcome = histories.Outcome

#: Statements that a member runs for a client, with its receipt.
FORWARDED = frozenset({Kind.READ, Kind.WRITE, Kind.COMMIT, Kind.EXECUTE})


@dataclasses.dataclass(frozen=True)
class Limits:
    """Times of the rules, in seconds.

    Parameters
    ==========

    calm_s : float
        Time without an unplanned fault before a request that may not be cut.
    slack_s : float
        Time after which a request counts as read by the daemon.
    grace_s : float
        Time from SIGTERM to the end of the process.
    drain_s : float
        Time after which a draining member gets no more work.
    late_work_s : float
        A request sent that soon after SIGTERM may be cut in the last sixth
        of the grace.

    """

    calm_s: float = 4.0
    slack_s: float = 0.2
    grace_s: float = 6.0
    drain_s: float = 3.0
    late_work_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class Violation:
    """One broken rule."""

    rule: str
    message: str
    at: float
    ids: tuple[str, ...] = ()
    daemon: str = ""

    def __str__(self) -> str:
        where = f" daemon={self.daemon}" if self.daemon else ""
        return (
            f"{self.rule} at={self.at:.3f}{where} ids={','.join(self.ids)} "
            f"{self.message}"
        )


def violations(history: histories.History, limits: Limits) -> list[Violation]:
    """Return all violations, in the order of their times."""
    found = itertools.chain(
        cut_requests(history, limits),
        transaction_mix_ups(history),
        repeated_writes(history),
        broken_promises(history),
        stale_reads(history),
        false_receipts(history),
        unasked_runs(history),
        late_statements(history, limits),
        lost_commits(history),
        shared_tokens(history),
        process_faults(history, limits),
    )
    return sorted(found, key=lambda each: each.at)


def cut_requests(
    history: histories.History, limits: Limits
) -> Iterator[Violation]:
    """LOST: a request that a daemon read ends without an answer."""
    for request in history.requests:
        if request.outcome is not Outcome.CLOSED:
            continue
        received_at = history.received_at_by_id.get(request.id)
        age_s = request.ended_at - request.sent_at
        certain_s = age_s - _stall_s(history, request)
        if received_at is None and certain_s <= limits.slack_s:
            continue
        if certain_s >= request.timeout_s or _excused(
            history, limits, request
        ):
            continue
        passed_on = (
            "not passed on"
            if received_at is None
            else f"passed on after {received_at - request.sent_at:.3f} s"
        )
        yield Violation(
            "LOST",
            f"{request.text!r} cut {age_s:.3f} s after it was sent, "
            f"{passed_on}; {request.detail}{_since_signal(history, request)}",
            request.ended_at,
            (request.id,),
            request.daemon,
        )


def _stall_s(history: histories.History, request: histories.Request) -> float:
    """Return how late the soak may have seen the end of a request."""
    return max(
        (
            late_s
            for at, late_s in history.stalls
            if request.sent_at <= at <= request.ended_at + late_s
        ),
        default=0.0,
    )


def _excused(
    history: histories.History,
    limits: Limits,
    request: histories.Request,
) -> bool:
    """Return whether a fault, a member or the end of the grace cut it."""
    if _disturbed(history, limits, request.sent_at, request.ended_at):
        return True
    if any(
        request.sent_at <= at <= request.ended_at
        for _, at in history.member_ends
    ):
        return True
    for end in history.process_ends:
        if end.daemon != request.daemon or end.asked_at is None:
            continue
        last_sixth = end.asked_at + limits.grace_s * 5 / 6
        if (
            request.id in history.received_at_by_id
            and request.sent_at <= end.asked_at + limits.late_work_s
            and last_sixth <= request.ended_at <= end.ended_at + 1
        ):
            return True
    return False


def _disturbed(
    history: histories.History, limits: Limits, begin: float, end: float
) -> bool:
    """Return whether an unplanned fault was near a span of time."""
    return any(
        not each.planned
        and each.begin <= end
        and begin - limits.calm_s <= each.end
        for each in history.disturbances
    )


def _since_signal(
    history: histories.History, request: histories.Request
) -> str:
    for end in history.process_ends:
        if (
            end.daemon == request.daemon
            and end.asked_at is not None
            and end.asked_at <= request.ended_at
            and request.sent_at <= end.ended_at
        ):
            return (
                f"; sent {request.sent_at - end.asked_at:+.3f} s from "
                f"SIGTERM, process ended at "
                f"{end.ended_at - end.asked_at:+.3f} s"
            )
    return ""


def transaction_mix_ups(history: histories.History) -> Iterator[Violation]:
    """PINNED: a statement runs in the wrong transaction or session state."""
    request_by_id = {each.id: each for each in history.requests}
    place_by_attempt: dict[int, tuple[str, int | None]] = {}
    attempt_by_serial: dict[int, int] = {}
    for run in history.runs:
        request = request_by_id.get(run.statement)
        if request is None:
            continue
        wrong = _wrong_state(request, run)
        if run.transaction is not None:
            place = (run.member, run.transaction)
            known = place_by_attempt.setdefault(request.attempt, place)
            if place != known:
                wrong.append(f"ran in {place}, the first in {known}")
            owner = attempt_by_serial.setdefault(
                run.transaction, request.attempt
            )
            if owner != request.attempt:
                wrong.append(f"ran in the transaction of attempt {owner}")
        for message in wrong:
            yield Violation(
                "PINNED", message, run.at, (request.id,), request.daemon
            )


def _wrong_state(
    request: histories.Request, run: wire_member.Run
) -> list[str]:
    """Return how the connection differed from the client's session."""
    wrong = []
    if request.in_transaction != (run.transaction is not None):
        wrong.append(
            "ran outside its transaction"
            if request.in_transaction
            else "ran inside a transaction"
        )
    if run.value_by_name != request.values:
        wrong.append(f"values {run.value_by_name}, not {request.values}")
    if run.shape != request.shape:
        wrong.append(f"shape {run.shape}, not {request.shape}")
    return wrong


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


def unasked_runs(history: histories.History) -> Iterator[Violation]:
    """UNASKED: a member runs what no client sent."""
    request_by_id = {each.id: each for each in history.requests}
    for run in history.runs:
        request = request_by_id.get(run.statement)
        # The name of a prepared statement is not the client's.
        renamed = run.kind is Kind.EXECUTE
        if request is None or (run.text != request.text and not renamed):
            yield Violation(
                "UNASKED", f"ran {run.text!r}", run.at, (run.statement,)
            )


def late_statements(
    history: histories.History, limits: Limits
) -> Iterator[Violation]:
    """DRAIN: a statement reaches a member that should get no more work."""
    request_by_id = {each.id: each for each in history.requests}
    for run in history.runs:
        drain_at = history.drain_at_by_member.get(run.member)
        request = request_by_id.get(run.statement)
        if (
            drain_at is None
            or request is None
            or run.transaction is not None
            or run.at <= drain_at + limits.drain_s + limits.slack_s
            or request.sent_at <= drain_at + limits.drain_s
            or _disturbed(history, limits, drain_at, run.at)
        ):
            continue
        yield Violation(
            "DRAIN",
            f"reached {run.member} {run.at - drain_at:.3f} s after it "
            "reported that it drains",
            run.at,
            (request.id,),
            request.daemon,
        )


def lost_commits(history: histories.History) -> Iterator[Violation]:
    """LOST: a promoted member lacks an acknowledged commit."""
    for takeover in history.takeovers:
        if takeover.missing:
            yield Violation(
                "LOST",
                f"commits missing from the promoted {takeover.member}",
                takeover.at,
                takeover.missing,
            )


def shared_tokens(history: histories.History) -> Iterator[Violation]:
    """ONE: two holders promote with the same token."""
    holder_by_token: dict[int, str] = {}
    for promotion in history.promotions:
        known = holder_by_token.setdefault(promotion.token, promotion.holder)
        if known != promotion.holder:
            yield Violation(
                "ONE",
                f"token {promotion.token} is also that of {known}",
                promotion.at,
                (),
                promotion.holder,
            )


def process_faults(
    history: histories.History, limits: Limits
) -> Iterator[Violation]:
    """END: a process ends by itself, too late or with an error."""
    for end in history.process_ends:
        message = ""
        if end.overdue:
            message = f"did not end within {limits.grace_s} s of SIGTERM"
        elif end.killed:
            continue
        elif end.asked_at is None:
            message = f"ended by itself with code {end.code}"
        elif end.code != 0 and (end.served or end.code != -signal.SIGTERM):
            message = f"ended with code {end.code}"
        if message:
            yield Violation("END", message, end.ended_at, (), end.daemon)
    for daemon, line in history.tracebacks:
        yield Violation("TRACEBACK", line, 0.0, (), daemon)
