"""Checks of keys and accounts: REVOKED, UNKNOWN, ACCOUNT, KEY, NOAUTH.

Explanation
===========

They are written from docs/client-accounts.md, and compare the manifests that
the store acknowledged with what clients sent and members received.  A fault
of one session or connection is reported once, with its first statements.

"""

import collections
import itertools
import re
from typing import Iterable
from typing import Iterator

from burdockcart.soak import account_history
from burdockcart.soak import history as histories
from burdockcart.soak import schedule
from burdockcart.soak import violation

Record = account_history.AccountRecord
Statement = histories.MemberStatement
Violation = violation.Violation

#: Ids that a violation of several statements names.
MAX_IDS = 3
#: Time in which a refused connection has to be closed, in seconds.
CLOSED_S = 2.0
#: The page asks for the rollback of a transaction whose key was removed.
ALLOWED_AFTER_REMOVAL = frozenset({"ROLLBACK"})


def violations(
    history: histories.History, limits: violation.AccountLimits
) -> Iterator[Violation]:
    """Return what the checks of this module find."""
    record = history.accounts
    if record is None:
        return
    yield from revoked_statements(history, record, limits)
    yield from unknown_statements(history, record)
    yield from wrong_accounts(history, record, limits)
    yield from leaked_keys(history, record)
    yield from accepted_unknown_keys(history, record, limits)


Arrival = tuple[histories.Request, Statement]


def arrivals(history: histories.History, record: Record) -> list[Arrival]:
    """Return what reached members of sessions with an account, by time."""
    request_by_id = {each.id: each for each in history.requests}
    return [
        (request_by_id[each.statement], each)
        for each in sorted(history.statements, key=lambda each: each.at)
        if each.statement in request_by_id
        and request_by_id[each.statement].session
        not in record.anonymous_sessions
    ]


def _run(history: histories.History, record: Record) -> list[Arrival]:
    """Return the arrivals that the member did not refuse."""
    return [
        (request, each)
        for request, each in arrivals(history, record)
        if not each.fault and each.word not in ALLOWED_AFTER_REMOVAL
    ]


def _by_session(found: Iterable[Arrival]) -> dict[int, list[Arrival]]:
    arrivals_by_session = collections.defaultdict(list)
    for request, statement in found:
        arrivals_by_session[request.session].append((request, statement))
    return arrivals_by_session


def _summarized(rule: str, message: str, found: list[Arrival]) -> Violation:
    """Return one violation for statements of a session or connection."""
    request, statement = found[0]
    return Violation(
        rule,
        f"{len(found)} statements, first {statement.text[:80]!r} at "
        f"{statement.member}: {message}",
        statement.at,
        tuple(each.id for each, _ in found[:MAX_IDS]),
        request.daemon,
    )


def revoked_statements(
    history: histories.History,
    record: Record,
    limits: violation.AccountLimits,
) -> Iterator[Violation]:
    """REVOKED: a member ran what was sent too late after a key's removal.

    A key that is added again counts as held from then on, also for what was
    sent before and read later, since a daemon cannot know when it was sent.
    """
    found = [
        (request, each)
        for request, each in _run(history, record)
        if record.holders(request.key, 0.0, each.at)
        and not record.holders(
            request.key, request.sent_at - limits.revoke_s, each.at
        )
    ]
    for session, late in _by_session(found).items():
        first = late[0][0]
        removed_at = _removed_at(record, first.key, first.sent_at)
        yield _summarized(
            "REVOKED",
            f"session {session} sent the first "
            f"{first.sent_at - removed_at:.3f} s after its key was removed",
            late,
        )


def _removed_at(record: Record, key: str, before: float) -> float:
    """Return when the store acknowledged the last removal of a key."""
    return max(
        later.at
        for earlier, later in zip(record.versions, record.versions[1:])
        if later.at <= before
        and earlier.holder(key) is not None
        and later.holder(key) is None
    )


def unknown_statements(
    history: histories.History, record: Record
) -> Iterator[Violation]:
    """UNKNOWN: a member ran a statement of a key that no manifest held."""
    found = [
        (request, each)
        for request, each in _run(history, record)
        if not record.holders(request.key, 0.0, each.at)
    ]
    for session, unknown in _by_session(found).items():
        yield _summarized(
            "UNKNOWN", f"session {session} had a key of no manifest", unknown
        )


def wrong_accounts(
    history: histories.History,
    record: Record,
    limits: violation.AccountLimits,
) -> Iterator[Violation]:
    """ACCOUNT: a statement on a connection with another account's name.

    Keys without a holder are left to the other checks.
    """
    wrong_by_place: dict[tuple[int, str], list[Arrival]] = (
        collections.defaultdict(list)
    )
    for request, each in arrivals(history, record):
        names = record.holders(
            request.key, request.sent_at - limits.revoke_s, each.at
        )
        if names and each.who not in names:
            place = (each.connection, ",".join(sorted(names)))
            wrong_by_place[place].append((request, each))
    for request, each in _anonymous(history, record):
        if each.who != account_history.OWN_NAME:
            place = (each.connection, account_history.OWN_NAME)
            wrong_by_place[place].append((request, each))
    for (connection, name), wrong in wrong_by_place.items():
        yield _summarized(
            "ACCOUNT",
            f"connection {connection} is that of {wrong[0][1].who!r}, not "
            f"of {name!r}",
            wrong,
        )


def _anonymous(
    history: histories.History, record: Record
) -> Iterator[Arrival]:
    """Return the statements of sessions without an account."""
    request_by_id = {
        each.id: each
        for each in history.requests
        if each.session in record.anonymous_sessions
    }
    for each in history.statements:
        if each.statement in request_by_id:
            yield request_by_id[each.statement], each


def leaked_keys(
    history: histories.History, record: Record
) -> Iterator[Violation]:
    """KEY: a whole key at a member, in a log or in an answer.

    The violation names the place only, so that the report holds no key.
    """
    keys = record.keys()
    keys |= {each.key for each in history.requests}
    keys |= {each.key for each in record.startups}
    keys.discard("")
    if not keys:
        return
    pattern = re.compile("|".join(map(re.escape, sorted(keys))))
    places = [
        *(("member", each) for each in record.member_lines),
        *(("output of", each) for each in record.outputs),
        *(("answer of", each) for each in _answers(history, record)),
    ]
    found_by_place = collections.defaultdict(list)
    for kind, line in places:
        if pattern.search(line.text):
            found_by_place[f"{kind} {line.place}"].append(line)
    for place, lines in found_by_place.items():
        shown = pattern.sub("<key>", lines[0].text)
        yield Violation(
            "KEY",
            f"{len(lines)} lines with a key, {place}, first {shown[:200]!r}",
            lines[0].at,
        )


def _answers(
    history: histories.History, record: Record
) -> Iterator[account_history.Line]:
    """Return the errors that clients were told."""
    for request in history.requests:
        yield account_history.Line(
            request.daemon, request.detail, request.ended_at
        )
    for startup in record.startups:
        yield account_history.Line(
            startup.daemon, startup.text, startup.sent_at
        )


def accepted_unknown_keys(
    history: histories.History,
    record: Record,
    limits: violation.AccountLimits,
) -> Iterator[Violation]:
    """NOAUTH: a key of no manifest got another answer, or stays connected.

    A daemon that answers nothing, as one that ends, is not reported.  One
    that stops, or that may not have read a manifest yet, may answer BUSY, and
    one that is suspended closes nothing.
    """
    known = record.keys()
    for each in record.startups:
        message = ""
        if each.answer == "BUSY" and _may_be_busy(history, limits, each):
            continue
        if each.answer == "NOAUTH" and not each.closed:
            if _suspended(history, each):
                continue
            message = "connection stays open after NOAUTH"
        elif each.answer not in ("", "NOAUTH") and each.key not in known:
            message = f"unknown key answered with {each.answer}"
        if message:
            yield Violation("NOAUTH", message, each.sent_at, (), each.daemon)


def _suspended(
    history: histories.History, startup: account_history.Startup
) -> bool:
    """Return whether a daemon was suspended before it had to close."""
    return any(
        each.kind == schedule.Kind.FREEZE.value
        and f"d{each.target}" == startup.daemon
        and each.begin <= startup.sent_at + CLOSED_S
        and startup.sent_at <= each.end
        for each in history.disturbances
    )


def _may_be_busy(
    history: histories.History,
    limits: violation.AccountLimits,
    startup: account_history.Startup,
) -> bool:
    """Return whether a daemon stops, or may not have read a manifest."""
    at = startup.sent_at
    faults = (
        (each.begin, each.end)
        for each in history.disturbances
        if not each.planned
    )
    ends = (
        (
            each.ended_at if each.asked_at is None else each.asked_at,
            each.ended_at,
        )
        for each in history.process_ends
        if each.daemon == startup.daemon
    )
    return any(
        begin <= at <= end + limits.restart_s + limits.apply_s
        for begin, end in itertools.chain(faults, ends)
    )
