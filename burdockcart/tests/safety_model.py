"""Runs statements, transactions and faults on a small deployment.

Callers roam: each of their statements may go to another daemon.

The checks use the answers to the callers and the records of the emulated
members, never the state of the proxy.
"""

import asyncio
import dataclasses

from returns import result

from burdockcart import errors
from burdockcart.tests import safety_checks
from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time

CALLERS = ("studio", "tablet", "desk")
ACTIVATION_DELAY_S = 0.4
SETTLE_S = 6.0
#: Probability of each fault of single answers, by attribute of the wire.
ANSWER_FAULTS = {
    "lose_answer": 0.05,
    "late_answer": 0.1,
    "double_answer": 0.05,
}


@dataclasses.dataclass
class Submission:
    """One sending of a request, and the answer to it."""

    request_id: str
    caller: str
    operation: str
    statement: dict
    repeatable: bool
    prior_writes: frozenset
    transaction: str | None = None
    answer: object = None
    answered_at: float = 0.0

    @property
    def effect(self):
        """Return the effect reported to the caller, None for success."""
        if self.answer is None or isinstance(self.answer, result.Success):
            return None
        return errors.answer_for(self.answer.failure().kind).effect


@dataclasses.dataclass
class Transaction:
    """An open transaction as its caller sees it."""

    id: str
    caller: str
    prior_writes: frozenset
    acknowledged: list = dataclasses.field(default_factory=list)
    busy: bool = False
    ended: bool = False


class SafetyModel:
    """Runs generated steps; each method is one step."""

    def __init__(self, seed=0, slots=2, one_way_s=0.001):
        self.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
        self.loop = self.runner.get_loop()
        self.deployment = small_deployment.SmallDeployment(
            small_deployment.tables(slots=slots), seed
        )
        self.deployment.wire.latency_s = one_way_s
        self.submissions = []
        self.transactions = []
        self.session_by_caller = dict.fromkeys(CALLERS)
        self.prior_writes_by_caller = dict.fromkeys(CALLERS, frozenset())
        #: (term, time at which its primary was promoted)
        self.promotions = []
        self.steps = 0
        self._serial = 0
        self._tasks = {}
        self._replacing = None
        self._killed = None
        self.runner.run(self.deployment.start())
        self.checks = safety_checks.Checks(self)

    # Statements

    def submit(self, caller, daemon, operation, repeatable, kind, deadline_ms):
        """Send a statement outside of transactions."""
        request_id = self._next_id("r")
        each = Submission(
            request_id,
            caller,
            operation,
            self._statement(caller, operation),
            repeatable,
            self.prior_writes_by_caller[caller],
        )
        self._send(each, daemon, kind=kind, deadline_ms=deadline_ms)

    def resubmit(self, index, daemon, marked):
        """Resubmit a request that is not repeatable."""
        earlier = [
            each
            for each in self.submissions
            if not each.repeatable and each.transaction is None
        ]
        if not earlier:
            return
        first = earlier[index % len(earlier)]
        each = dataclasses.replace(
            first,
            answer=None,
            prior_writes=self.prior_writes_by_caller[first.caller],
        )
        self._send(each, daemon, kind="push", attempt=2 if marked else 1)

    def begin(self, caller, daemon):
        """Open a transaction."""
        if not self._alive(daemon):
            return
        self._spawn(self._begin(caller, daemon, self._next_id("b")), daemon)

    def inside(self, index, daemon, operation, other_caller):
        """Send a statement in a transaction, perhaps as another caller."""
        transaction = self._open_transaction(index)
        if transaction is None or (transaction.busy and not other_caller):
            return
        caller = transaction.caller
        if other_caller:
            caller = next(each for each in CALLERS if each != caller)
        each = Submission(
            self._next_id("s"),
            caller,
            operation,
            self._statement(caller, operation),
            False,
            frozenset(),
            transaction.id,
        )
        transaction.busy = transaction.busy or not other_caller
        self._send(
            each,
            daemon,
            kind="push",
            transaction=None if other_caller else transaction,
        )

    def end(self, index, daemon, action):
        """Commit or roll back a transaction."""
        transaction = self._open_transaction(index)
        if transaction is None or transaction.busy or not self._alive(daemon):
            return
        transaction.ended = True
        each = Submission(
            self._next_id("e"),
            transaction.caller,
            action,
            {},
            False,
            transaction.prior_writes,
            transaction.id,
        )
        self.submissions.append(each)
        self._spawn(self._end(each, transaction, daemon, action), daemon)

    # Faults

    def cut(self, link):
        """Cut one link in one direction, at most four at once."""
        if len(self.deployment.wire.cut) < 4:
            self.deployment.wire.cut.add(link)

    def fault_answers(self, name):
        """Lose, delay or duplicate some answers."""
        setattr(self.deployment.wire, name, ANSWER_FAULTS[name])

    def lag(self, member, lag_s):
        """Set the replication lag of a member."""
        self.deployment.target(member).lag_s = lag_s

    def heal(self):
        """End all faults of links and answers."""
        self.deployment.wire.heal()
        for name in ANSWER_FAULTS:
            setattr(self.deployment.wire, name, 0.0)

    def pause(self, daemon):
        """Pause all tasks of a daemon."""
        if self._alive(daemon):
            self.loop.paused.add(daemon)

    def resume(self):
        """Resume all paused daemons."""
        for daemon in list(self.loop.paused):
            if self._alive(daemon):
                self.loop.resume(daemon)

    def kill(self, daemon):
        """Kill a daemon, at most one in a run.

        Two daemons hold each request id.  If both are lost, an unmarked
        resubmission may run again, which is a stated limit of P6.
        """
        if self._killed is None:
            self._killed = daemon
            self.runner.run(self.deployment.kill(daemon))

    def replace_primary(self, reach_old):
        """Promote the member with the latest log that adopts the term."""
        if self._replacing is None or self._replacing.done():
            self._replacing = self._spawn(self._replace(reach_old))

    def advance(self, seconds):
        """Let time pass."""
        self.runner.run(asyncio.sleep(seconds))

    def finish(self):
        """End all faults, wait for all answers and check everything."""
        self.heal()
        self.resume()
        self.advance(SETTLE_S)
        for task, daemon in self._tasks.items():
            if daemon != self._killed:
                self.checks.report("no answer", str(task))
        self.checks.check_records()
        return self.checks.violations

    def close(self):
        """Stop the deployment."""
        self.runner.run(self.deployment.stop())
        self.runner.close()

    # Details

    def _next_id(self, prefix):
        self._serial += 1
        return f"{prefix}{self._serial}"

    def _statement(self, caller, operation):
        if operation == "read":
            return {"op": "get", "key": caller}
        self._serial += 1
        return {"op": "put", "key": caller, "value": self._serial}

    def _alive(self, daemon):
        return daemon in self.deployment.daemon_by_id

    def _open_transaction(self, index):
        active = [each for each in self.transactions if not each.ended]
        return active[index % len(active)] if active else None

    def _spawn(self, coroutine, daemon=None):
        task = self.loop.create_task(coroutine)
        self._tasks[task] = daemon
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        del self._tasks[task]
        if not task.cancelled() and task.exception() is not None:
            self.checks.report("exception", repr(task.exception()))

    def _send(self, each, daemon, transaction=None, **fields):
        if not self._alive(daemon):
            if transaction is not None:
                transaction.busy = False
            return
        self.submissions.append(each)
        self._spawn(
            self._statement_task(each, daemon, transaction, fields), daemon
        )

    async def _statement_task(self, each, daemon, transaction, fields):
        session = self.session_by_caller[each.caller]
        each.answer = await self.deployment.send(
            daemon,
            each.request_id,
            each.operation,
            statement=each.statement,
            repeatable=each.repeatable,
            session=session,
            transaction=each.transaction,
            caller=each.caller,
            **fields,
        )
        self._answered(each)
        if transaction is not None:
            transaction.busy = False
            if each.effect is None and each.operation == "write":
                transaction.acknowledged.append(each.request_id)
            elif each.effect is not None:
                transaction.ended = each.answer.failure().kind is (
                    errors.ErrorKind.TRANSACTION_LOST
                )

    def _answered(self, each):
        """Record the time, check the answer and store its session."""
        each.answered_at = self.loop.time()
        if not isinstance(each.answer, result.Success):
            if each.answer.failure().kind is (
                errors.ErrorKind.SESSION_DIVERGED
            ):
                self.session_by_caller[each.caller] = None
                self.prior_writes_by_caller[each.caller] = frozenset()
            return
        self.checks.check_answer(each)
        if each.transaction is None or each.operation == "commit":
            self.session_by_caller[each.caller] = each.answer.unwrap().session
            prior_writes = each.prior_writes
            if each.operation in ("write", "commit"):
                prior_writes = prior_writes | {each.request_id}
            self.prior_writes_by_caller[each.caller] = prior_writes

    async def _begin(self, caller, daemon, request_id):
        prior_writes = self.prior_writes_by_caller[caller]
        begun = await self.deployment.begin(
            daemon,
            request_id,
            caller,
            session=self.session_by_caller[caller],
        )
        if isinstance(begun, result.Success):
            identity = begun.unwrap().transaction
            self.transactions.append(
                Transaction(identity, caller, prior_writes)
            )

    async def _end(self, each, transaction, daemon, action):
        each.prior_writes = self.prior_writes_by_caller[transaction.caller]
        each.answer = await self.deployment.end(
            daemon,
            each.request_id,
            transaction.id,
            action,
            transaction.caller,
            self.session_by_caller[transaction.caller],
        )
        self._answered(each)

    async def _replace(self, reach_old):
        members = [
            each.member.state
            for each in self.deployment.targets.by_address.values()
        ]
        term = 1 + max(each.term for each in members)
        if not reach_old:
            members = [each for each in members if each.role != "primary"]
        for each in members:
            each.adopt(term, "model")
        best = max(members, key=lambda s: (s.log_term, s.position, s.name))
        await asyncio.sleep(ACTIVATION_DELAY_S)
        self.promotions.append((term, self.loop.time()))
        best.promote(term, "model")
        address = self.deployment.target(best.name).address
        for each in self.deployment.targets.by_address.values():
            if each.member.state in members and each.name != best.name:
                each.member.state.follow(term, address)
        await asyncio.sleep(0.3)
        for each in self.deployment.targets.by_address.values():
            if each.name != best.name:
                each.member.state.follow(term, address)
