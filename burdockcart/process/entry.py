"""Entry of caller requests: selects a member and forwards to its executor."""

import asyncio
import random
import secrets
from typing import Any

import msgspec
from returns import result

from burdockcart import clock
from burdockcart.connection import session_token
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import executors
from burdockcart.process import forwarding
from burdockcart.process import groups
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import request_ids
from burdockcart.process import transaction_entry
from burdockcart.request import outcome
from burdockcart.request import registry
from burdockcart.request import retry
from burdockcart.request import routing
from burdockcart.request import statement
from burdockcart.version import rows

#: The largest possible mark, to bound the size of a session token.
_HIGHEST_MARK = session_token.Mark(ids.Term(2**63), ids.Position(2**63))

_Kind = errors.ErrorKind
AnswerResult = result.Result[statement.Answer, errors.Failure]


def _fail(
    kind: errors.ErrorKind, message: str
) -> result.Result[Any, errors.Failure]:
    return result.Failure(errors.Failure(kind, message))


class _RoutedRequest(msgspec.Struct, frozen=True):
    """A request with its route and group; ``draft`` has no member yet."""

    request: statement.Request
    route: rows.Route
    group: rows.Group
    marks: session_token.Marks
    draft: peer_messages.Execute


class Entry:
    """Handles the requests that callers send to this daemon.

    Parameters
    ==========

    own : Daemon
        This daemon.
    tokens : SessionTokens
        Checks and issues session tokens.

    """

    def __init__(
        self,
        own: executors.Daemon,
        tokens: session_token.SessionTokens,
        directory: executors.Directory,
        peers: peer_transport.Peers,
        served_groups: groups.Groups,
        known_ids: request_ids.RequestIds,
        time: clock.Clock,
    ):
        self._own = own
        self._tokens = tokens
        self._directory = directory
        self._peers = peers
        self._groups = served_groups
        self._clock = time
        self._known_ids = known_ids
        self._forwarder = forwarding.Forwarder(
            own, directory, peers, served_groups, tokens, time
        )
        self._transactions = transaction_entry.TransactionEntry(
            tokens, self._forwarder
        )
        self._budget = retry.RetryBudget()
        self._random = random.Random(own.id)
        self._submissions = 0
        # Distinguishes the submissions of two processes with the same id.
        self._run_id = secrets.token_hex(4)
        self.tables: rows.Tables | None = None

    async def handle(
        self, caller: ids.CallerId, request: statement.Request
    ) -> AnswerResult:
        """Run a caller's statement and return its answer."""
        checked = self._tokens.check(request.session)
        if isinstance(checked, result.Failure):
            return checked
        if request.transaction is not None:
            matched = self._route(caller, request.kind)
            if isinstance(matched, result.Failure):
                return matched
            return await self._transactions.execute(
                caller, request, matched.unwrap(), checked.unwrap()
            )
        key = str(request.statement.get("key", ""))
        found = self._find(caller, request.kind, request.database, key)
        if isinstance(found, result.Failure):
            return found
        route, group = found.unwrap()
        marks = checked.unwrap()
        draft = self._message(caller, request, route, group, marks)
        return await self._run(
            _RoutedRequest(request, route, group, marks, draft)
        )

    async def begin(
        self, caller: ids.CallerId, request: statement.BeginRequest
    ) -> AnswerResult:
        """Open a transaction on the primary of a group."""
        checked = self._tokens.check(request.session)
        if isinstance(checked, result.Failure):
            return checked
        found = self._find(caller, request.kind, request.database, request.key)
        if isinstance(found, result.Failure):
            return found
        route, group = found.unwrap()
        # A begin changes no data, so it may be retried.  If its answer is
        # lost, the idle limit closes its connection.
        plain = statement.Request(
            request_id=request.request_id,
            kind=request.kind,
            operation=statement.Operation.WRITE,
            statement={},
            repeatable=True,
            deadline_ms=request.deadline_ms,
        )
        marks = checked.unwrap()
        draft = msgspec.structs.replace(
            self._message(caller, plain, route, group, marks),
            action=statement.Action.BEGIN,
        )
        return await self._run(
            _RoutedRequest(plain, route, group, marks, draft)
        )

    async def end(
        self,
        caller: ids.CallerId,
        identity: ids.TransactionId,
        action: statement.Action,
        request: statement.EndRequest,
    ) -> AnswerResult:
        """Commit or roll back a transaction."""
        return await self._transactions.end(caller, identity, action, request)

    def _route(
        self, caller: ids.CallerId, kind: str
    ) -> result.Result[rows.Route, errors.Failure]:
        if self.tables is None:
            return _fail(_Kind.NO_ROUTE, "no tables are in force yet")
        route = routing.find_route(
            self.tables.routes_for(caller), caller, kind
        )
        if route is None:
            text = f"no route for caller {caller!r}, kind {kind!r}"
            return _fail(_Kind.NO_ROUTE, text)
        return result.Success(route)

    def _find(
        self, caller: ids.CallerId, kind: str, database: str | None, key: str
    ) -> result.Result[tuple[rows.Route, rows.Group], errors.Failure]:
        matched = self._route(caller, kind)
        if isinstance(matched, result.Failure):
            return matched
        assert self.tables is not None
        route = matched.unwrap()
        pool = self.tables.pool_by_name[route.pool]
        group = routing.find_group(pool, database, key)
        if group is None:
            text = f"no database {database!r} in pool {pool.name!r}"
            return _fail(_Kind.BAD_REQUEST, text)
        return result.Success((route, group))

    async def _run(self, routed: _RoutedRequest) -> AnswerResult:
        """Run a statement; retries happen only here."""
        widest = session_token.merge(
            routed.marks, routed.group.id, _HIGHEST_MARK
        )
        too_large = self._tokens.issue(widest)
        if isinstance(too_large, result.Failure):
            return too_large
        if not routed.draft.repeatable and (
            self._known_ids.copy(routed.draft) is registry.Verdict.FULL
        ):
            return _fail(_Kind.OVERLOADED, "too many request ids are held")
        answered = await self._attempts(routed)
        if not routed.draft.repeatable and isinstance(
            answered, result.Failure
        ):
            effect = errors.answer_for(answered.failure().kind).effect
            if effect is errors.Effect.NOT_RUN:
                self._known_ids.release(routed.draft)
        return answered

    async def _attempts(self, routed: _RoutedRequest) -> AnswerResult:
        deadline = self._clock.now() + routed.draft.deadline_ms / 1000
        progress = outcome.AttemptHistory(routed.draft.repeatable)
        text = f"no member of {routed.group.id} could run it in time"
        last = errors.Failure(_Kind.NO_PRIMARY, text)
        tried: set[ids.MemberId] = set()
        self._budget.earn()
        while True:
            view = self._groups.view_by_group[routed.group.id]
            diverged = view.divergence(routed.draft.minimum)
            if diverged is not None:
                last = errors.Failure(_Kind.SESSION_DIVERGED, diverged)
                return result.Failure(progress.overall_failure(last))
            target = await self._next_target(routed, progress, tried, deadline)
            if target is None:
                return result.Failure(progress.overall_failure(last))
            daemon, message = target
            stage, reply = await self._forwarder.attempt(daemon.id, message)
            if isinstance(reply, result.Success):
                return self._answer(routed, daemon, reply.unwrap())
            progress.record_attempt(stage)
            last = reply.failure()
            if not progress.may_retry(last):
                return result.Failure(progress.overall_failure(last))
            # An attempt that ran nothing put no load on the member, so only
            # other attempts use the retry budget.
            ran_nothing = stage in outcome.NOT_RUN_STAGES
            if not ran_nothing and not self._budget.spend():
                return result.Failure(progress.overall_failure(last))

    async def _next_target(
        self,
        routed: _RoutedRequest,
        progress: outcome.AttemptHistory,
        tried: set[ids.MemberId],
        deadline: float,
    ) -> tuple[executors.Daemon, peer_messages.Execute] | None:
        """Return where to send the statement next, None after the deadline.

        A member that was already tried is tried again after a pause.

        """
        paused = False
        while True:
            left_ms = (deadline - self._clock.now()) * 1000
            left_ms -= forwarding.ANSWER_MARGIN_MS
            if left_ms <= 0:
                return None
            member = self._member(routed, progress.attempts)
            daemon = member and self._directory.executor_of(member)
            if member and daemon and (paused or member.id not in tried):
                break
            await asyncio.sleep(retry.pause_s(progress.attempts, self._random))
            paused = True
        tried.add(member.id)
        # The id is stored again before each attempt: this daemon may also be
        # the executor that refused the last attempt and dropped the id.
        held = registry.Verdict.ACCEPTED
        if not routed.draft.repeatable:
            held = self._known_ids.copy(routed.draft)
        message = msgspec.structs.replace(
            routed.draft,
            member=member.id,
            known=held is not registry.Verdict.ACCEPTED,
            deadline_ms=left_ms,
        )
        return daemon, message

    def _member(
        self, routed: _RoutedRequest, attempt: int
    ) -> rows.Member | None:
        # The primary's executor holds the request ids of a group, so a read
        # that must run at most once is also sent there.
        if not routed.draft.repeatable:
            return self._groups.view_by_group[routed.group.id].primary()
        return self._choose(
            routed.request, routed.route, routed.group, routed.marks, attempt
        )

    def _choose(
        self,
        request: statement.Request,
        route: rows.Route,
        group: rows.Group,
        marks: session_token.Marks,
        attempt: int,
    ) -> rows.Member | None:
        view = self._groups.view_by_group[group.id]
        primary = view.primary()
        if request.operation is statement.Operation.WRITE or (
            route.max_age_ms == 0
        ):
            return primary
        readers = view.readers(
            marks.get(group.id),
            route.max_age_ms / 1000,
            self._own.domain,
            routing.hash_fraction(request.request_id),
            self._clock.now(),
        )
        return readers[attempt] if attempt < len(readers) else primary

    def _message(
        self,
        caller: ids.CallerId,
        request: statement.Request,
        route: rows.Route,
        group: rows.Group,
        marks: session_token.Marks,
    ) -> peer_messages.Execute:
        self._submissions += 1
        return peer_messages.Execute(
            group=group.id,
            member=ids.MemberId(""),
            caller=caller,
            route=route.name,
            kind=request.kind,
            request_id=request.request_id,
            operation=request.operation,
            statement=request.statement,
            deadline_ms=min(
                route.deadline_ms, request.deadline_ms or route.deadline_ms
            ),
            acknowledge=route.acknowledge,
            cost=route.cost,
            max_age_ms=route.max_age_ms,
            minimum=marks.get(group.id),
            repeatable=_is_repeatable(request, route),
            attempt=request.attempt,
            submission=f"{self._own.id}.{self._run_id}.{self._submissions}",
        )

    def _answer(
        self,
        routed: _RoutedRequest,
        daemon: executors.Daemon,
        body: peer_messages.Executed,
    ) -> AnswerResult:
        marks = routed.marks
        if body.transaction is None:
            mark = session_token.Mark(body.log_term, body.position)
            marks = session_token.merge(marks, routed.group.id, mark)
        return self._forwarder.answer(
            routed.request.request_id, daemon.id, marks, routed.group.id, body
        )


def _is_repeatable(request: statement.Request, route: rows.Route) -> bool:
    if request.repeatable is not None:
        return request.repeatable
    if route.repeatable is not None:
        return route.repeatable
    return request.operation is statement.Operation.READ
