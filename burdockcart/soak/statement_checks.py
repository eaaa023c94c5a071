"""Checks of what reached members: UNASKED, PINNED names, MIXED, LOST.

Explanation
===========

They compare the record of the members with what clients sent and were told.
Statements of the gateway itself, with the id ``-``, may only set up a
connection as some client asked for it.

"""

import collections
from typing import Iterator

from burdockcart.request import command
from burdockcart.soak import data_checks
from burdockcart.soak import history as histories
from burdockcart.soak import violation

Kind = command.CommandKind
Outcome = histories.Outcome
Statement = histories.MemberStatement
Violation = violation.Violation

OWN_ID = "-"
#: Statements that only a client may ask for.
OF_CLIENTS = frozenset({"READ", "WRITE", "EXECUTE", "COMMIT"})
#: Statements of the gateway that bring a connection into a known state.
OF_GATEWAY = frozenset({"BEGIN", "ROLLBACK", "RESET", "RESUME"})


def violations(history: histories.History) -> Iterator[Violation]:
    """Return what the checks of this module find."""
    yield from unasked_statements(history)
    yield from unasked_setup(history)
    yield from unasked_commits(history)
    yield from mistaken_names(history)
    yield from false_answers(history)
    yield from lost_writes(history)
    yield from lost_commits(history)


def _request_by_id(
    history: histories.History,
) -> dict[str, histories.Request]:
    return {each.id: each for each in history.requests}


def _found(
    rule: str,
    message: str,
    statement: Statement,
    request: histories.Request | None = None,
) -> Violation:
    daemon = "" if request is None else request.daemon
    return Violation(
        rule,
        f"{statement.member} connection {statement.connection}: {message}",
        statement.at,
        (statement.statement,),
        daemon,
    )


def unasked_statements(history: histories.History) -> Iterator[Violation]:
    """UNASKED: a member gets what no client sent, or what may not run."""
    request_by_id = _request_by_id(history)
    for each in history.statements:
        if each.statement == OWN_ID:
            continue
        request = request_by_id.get(each.statement)
        if request is None:
            yield _found("UNASKED", f"{each.text!r} of no client", each)
        elif not request.allowed:
            yield _found(
                "UNASKED", f"{each.text!r} not allowed", each, request
            )
        elif request.kind is Kind.EXECUTE and each.word == "EXECUTE":
            # The gateway may rename prepared statements.
            asked, ran = _arguments(request), _arguments(each)
            if asked != ran:
                yield _found(
                    "UNASKED", f"ran with {ran}, not {asked}", each, request
                )
        elif each.text != request.text:
            yield _found(
                "UNASKED",
                f"{each.text[:200]!r}, not {request.text[:200]!r}",
                each,
                request,
            )
    for member, line, reason in history.malformed:
        yield Violation("UNASKED", f"{member} got {line[:200]!r}: {reason}", 0)
    for request in history.requests:
        if not request.allowed and request.outcome is Outcome.SUCCESS:
            yield Violation(
                "UNASKED",
                f"success for {request.text[:200]!r}, which is not allowed",
                request.ended_at,
                (request.id,),
                request.daemon,
            )


def _arguments(
    each: histories.Request | Statement,
) -> tuple[str, str | None]:
    return each.item, each.data


def unasked_setup(history: histories.History) -> Iterator[Violation]:
    """UNASKED: the gateway's own statements do what no client asked for."""
    shapes = {
        ("WRITE" if each.shape.writes else "READ", each.shape.text)
        for each in history.requests
        if each.kind is Kind.PREPARE and each.shape is not None
    }
    values = {each.text for each in history.requests if each.kind is Kind.SET}
    for each in history.statements:
        if each.statement != OWN_ID or each.word in OF_GATEWAY:
            continue
        if each.word == "PREPARE" and each.prepared in shapes:
            continue
        if each.word == "SET" and each.text in values:
            continue
        yield _found("UNASKED", f"{each.text[:200]!r} of the gateway", each)


def unasked_commits(history: histories.History) -> Iterator[Violation]:
    """UNASKED: a transaction is committed without its client's COMMIT."""
    request_by_id = _request_by_id(history)
    attempts_by_transaction: dict[int, set[int]] = collections.defaultdict(set)
    committing_attempts = {
        each.attempt
        for each in history.requests
        if each.kind is Kind.COMMIT and each.allowed
    }
    for each in history.statements:
        request = request_by_id.get(each.statement)
        if request is None or each.transaction is None:
            continue
        attempts = attempts_by_transaction[each.transaction]
        attempts.add(request.attempt)
        if each.word == "COMMIT" and attempts != {request.attempt}:
            others = sorted(attempts - {request.attempt})
            yield _found(
                "UNASKED", f"commits attempts {others}", each, request
            )
    for commit in history.log:
        for statement, text in commit.writes:
            request = request_by_id.get(statement)
            if (
                request is not None
                and request.in_transaction
                and request.attempt not in committing_attempts
            ):
                yield Violation(
                    "UNASKED",
                    f"{text[:200]!r} in effect without a COMMIT",
                    commit.at,
                    (statement,),
                    request.daemon,
                )


def mistaken_names(history: histories.History) -> Iterator[Violation]:
    """PINNED: a prepared name is unknown, or refused as another shape.

    Shapes of statements that ran are checked with their runs.
    """
    request_by_id = _request_by_id(history)
    for each in history.statements:
        request = request_by_id.get(each.statement)
        if each.word != "EXECUTE" or request is None or not request.shape:
            continue
        shape = request.shape
        asked = ("WRITE" if shape.writes else "READ", shape.text)
        if each.prepared is None:
            yield _found(
                "PINNED", f"{each.name!r} is unknown, {asked}", each, request
            )
        elif each.fault and each.prepared != asked:
            yield _found(
                "PINNED", f"shape {each.prepared}, not {asked}", each, request
            )
    for request in history.requests:
        if (
            request.kind is Kind.EXECUTE
            and request.outcome is Outcome.ERROR
            and request.detail.split(" ")[0] == "UNKNOWN"
        ):
            yield Violation(
                "PINNED",
                f"{request.text[:200]!r}: {request.detail}",
                request.ended_at,
                (request.id,),
                request.daemon,
            )


def false_answers(history: histories.History) -> Iterator[Violation]:
    """MIXED: a success with other rows or another position than a member's."""
    answer_by_receipt = {
        each.receipt: each for each in history.statements if each.receipt
    }
    for request in history.requests:
        if (
            request.outcome is not Outcome.SUCCESS
            or request.kind not in data_checks.FORWARDED
            or not request.allowed
        ):
            continue
        answer = answer_by_receipt.get(request.receipt)
        told = (request.rows, request.position)
        if answer is None:
            message = f"receipt {request.receipt!r} of no member"
        elif answer.statement != request.id:
            message = f"receipt of {answer.statement}"
        elif (answer.rows, answer.position) != told:
            message = f"{told}, not {(answer.rows, answer.position)}"
        else:
            continue
        yield Violation(
            "MIXED", message, request.ended_at, (request.id,), request.daemon
        )


def told_writes(history: histories.History) -> dict[str, histories.Request]:
    """Return writes by id that their clients know to be in effect.

    Those of a transaction are so with the success of its COMMIT.
    """
    requests_by_attempt = collections.defaultdict(list)
    for request in history.requests:
        requests_by_attempt[request.attempt].append(request)
    return {
        each.id: each
        for requests in requests_by_attempt.values()
        if _ends_in_effect(requests[-1])
        for each in requests
        if _writes(each) and each.outcome is Outcome.SUCCESS
    }


def _ends_in_effect(last: histories.Request) -> bool:
    ends = last.kind is Kind.COMMIT or not last.in_transaction
    return last.outcome is Outcome.SUCCESS and last.allowed and ends


def lost_writes(history: histories.History) -> Iterator[Violation]:
    """LOST: a client was told of a write that is not in the last log."""
    kept = {
        statement for commit in history.log for statement, _ in commit.writes
    }
    for request in told_writes(history).values():
        if request.id not in kept:
            yield Violation(
                "LOST",
                "told to be done, and not in the log of the last primary",
                request.ended_at,
                (request.id,),
                request.daemon,
            )


def lost_commits(history: histories.History) -> Iterator[Violation]:
    """LOST: a promoted member lacks a write that its client was told of."""
    told = told_writes(history)
    for takeover in history.takeovers:
        lost = tuple(each for each in takeover.missing if each in told)
        if lost:
            yield Violation(
                "LOST",
                f"writes missing from the promoted {takeover.member}",
                takeover.at,
                lost,
            )


def _writes(request: histories.Request) -> bool:
    return request.kind is Kind.WRITE or (
        request.kind is Kind.EXECUTE
        and request.shape is not None
        and request.shape.writes
    )
