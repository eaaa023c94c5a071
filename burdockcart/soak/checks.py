"""Checks of a soak's history; each names the rule that was broken."""

import itertools
import signal
from typing import Iterator

from burdockcart.emulator import wire_member
from burdockcart.request import command
from burdockcart.soak import account_checks
from burdockcart.soak import data_checks
from burdockcart.soak import history as histories
from burdockcart.soak import rate_checks
from burdockcart.soak import statement_checks
from burdockcart.soak import violation

Kind = command.CommandKind
Outcome = histories.Outcome
Limits = violation.Limits
Violation = violation.Violation


def violations(history: histories.History, limits: Limits) -> list[Violation]:
    """Return all violations, in the order of their times."""
    found = itertools.chain(
        cut_requests(history, limits),
        transaction_mix_ups(history),
        data_checks.repeated_writes(history),
        data_checks.broken_promises(history),
        data_checks.stale_reads(history),
        data_checks.false_receipts(history),
        statement_checks.violations(history),
        late_statements(history, limits),
        old_manifests(history, limits),
        shared_tokens(history),
        process_faults(history, limits),
        account_checks.violations(history, limits.accounts),
        rate_checks.excessive_operations(history, limits.accounts),
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


def _in_touch(
    history: histories.History, limits: Limits, daemon: str, at: float
) -> bool:
    """Return whether a daemon has run for long enough to know the store."""
    return not any(
        end.daemon == daemon
        and (end.ended_at if end.asked_at is None else end.asked_at) <= at
        and at <= end.ended_at + limits.restart_s + limits.calm_s
        for end in history.process_ends
    )


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
            or not _in_touch(history, limits, request.daemon, run.at)
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


def old_manifests(
    history: histories.History, limits: Limits
) -> Iterator[Violation]:
    """CONFIG: a daemon uses a manifest that should be out of force."""
    for probe in history.probes:
        # Versions that may be in force between the two times.
        oldest = max(
            (
                version
                for version, at in history.manifests
                if at + limits.apply_s < probe.sent_at
            ),
            default=0,
        )
        allowed = {
            version
            for version, at in history.manifests
            if version >= oldest and at <= probe.ended_at
        }
        if probe.accepted:
            good = probe.version in allowed
        else:
            good = allowed != {probe.version}
        if (
            not good
            and _in_touch(history, limits, probe.daemon, probe.ended_at)
            and not _disturbed(
                history,
                limits,
                probe.sent_at - limits.apply_s,
                probe.ended_at,
            )
        ):
            yield Violation(
                "CONFIG",
                f"database of version {probe.version} "
                f"{'accepted' if probe.accepted else 'refused'}, in force "
                f"may be {sorted(allowed)}",
                probe.ended_at,
                (),
                probe.daemon,
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
