"""Guards the checks: each must report its rule, and no good history."""

import dataclasses

import testtools

from burdockcart.emulator import wire_member
from burdockcart.request import command
from burdockcart.request import log_position
from burdockcart.soak import checks
from burdockcart.soak import history as histories

Kind = command.CommandKind
Outcome = histories.Outcome
Freshness = histories.Freshness
LIMITS = checks.Limits(calm_s=4.0, slack_s=0.2, grace_s=6.0)
Q1 = command.Shape(False, "q1")


def request(name, kind=Kind.READ, sent_at=10.0, **fields):
    """Return a request that succeeded after 10 ms."""
    return histories.Request(
        **{
            "id": name,
            "session": 1,
            "daemon": "d0",
            "kind": kind,
            "text": f"{kind.name} i1",
            "attempt": 1,
            "in_transaction": False,
            "freshness": Freshness.ALL,
            "max_age_s": 0.0,
            "timeout_s": 0.8,
            "began_at": sent_at,
            "sent_at": sent_at,
            "ended_at": sent_at + 0.01,
            "outcome": Outcome.SUCCESS,
            "receipt": f"receipt-{name}.",
            **fields,
        }
    )


def position(number, term=1):
    """Return a log position."""
    return log_position.LogPosition(term, number)


def run_of(sent, number=0, **fields):
    """Return the execution of a request."""
    return wire_member.Run(
        **{
            "member": "m1",
            "statement": sent.id,
            "kind": sent.kind,
            "text": sent.text,
            "value_by_name": sent.values,
            "shape": sent.shape,
            "transaction": 7 if sent.in_transaction else None,
            "position": position(number),
            "at": sent.sent_at + 0.005,
            **fields,
        }
    )


def commit(number, *names):
    """Return a commit of writes."""
    writes = tuple((name, "WRITE i1 d1") for name in names)
    return wire_member.Commit(position(number), writes, 10.0)


def answer_to(sent):
    """Return the statement of a client as a member answered it."""
    shape = sent.shape
    return histories.MemberStatement(
        member="m1",
        connection=1,
        statement=sent.id,
        word=sent.kind.name,
        text=sent.text,
        at=sent.sent_at,
        prepared=shape and ("WRITE" if shape.writes else "READ", shape.text),
        receipt=sent.receipt,
    )


def rules(history):
    """Return the broken rules; members have answered all successes."""
    history.statements = [
        answer_to(each)
        for each in history.requests
        if each.outcome is Outcome.SUCCESS and each.kind is not Kind.SET
    ]
    return [each.rule for each in checks.violations(history, LIMITS)]


def cut(name="a", sent_at=10.0, after_s=0.3, **fields):
    """Return a request whose connection was closed."""
    return request(
        name,
        sent_at=sent_at,
        outcome=Outcome.CLOSED,
        ended_at=sent_at + after_s,
        **fields,
    )


def disturbance(begin, end, planned=False):
    """Return a fault."""
    return histories.Disturbance("kill", "d1", begin, end, planned)


def stopped(asked_at=8.0, **fields):
    """Return the end of a daemon after SIGTERM."""
    return histories.ProcessEnd(
        **{
            "daemon": "d0",
            "pid": 1,
            "asked_at": asked_at,
            "ended_at": 14.0,
            "code": 0,
            **fields,
        }
    )


class TestCutRequests(testtools.TestCase):
    """LOST: requests without an answer."""

    def test_read_by_the_daemon(self):
        """Guards against a cut request that is not reported."""
        history = histories.History(requests=[cut(after_s=0.3)])
        self.assertEqual(["LOST"], rules(history))

    def test_passed_on(self):
        """Guards against a request cut while its member worked."""
        history = histories.History(
            requests=[cut(after_s=0.1)], received_at_by_id={"a": 10.02}
        )
        self.assertEqual(["LOST"], rules(history))

    def test_not_read(self):
        """Guards against a report of a request that nobody had read."""
        history = histories.History(requests=[cut(after_s=0.1)])
        self.assertEqual([], rules(history))

    def test_own_stall(self):
        """Guards against a report because the soak itself was late."""
        history = histories.History(
            requests=[cut(after_s=0.5)], stalls=[(10.5, 0.45)]
        )
        self.assertEqual([], rules(history))
        history.stalls = [(9.0, 0.45), (10.9, 0.3)]
        self.assertEqual(["LOST"], rules(history))

    def test_unplanned_fault(self):
        """Guards the span in which an unplanned fault excuses."""
        history = histories.History(requests=[cut()])
        for begin, end, expected in [
            (5.0, 6.5, []),
            (4.0, 5.9, ["LOST"]),
            (10.2, 99.0, []),
            (10.4, 99.0, ["LOST"]),
        ]:
            history.disturbances = [disturbance(begin, end)]
            self.assertEqual(expected, rules(history))
        history.disturbances = [disturbance(9.0, 99.0, planned=True)]
        self.assertEqual(["LOST"], rules(history))

    def test_end_of_the_grace(self):
        """Guards the excuse of long work in the last sixth of the grace."""
        history = histories.History(
            requests=[cut(sent_at=10.5, after_s=0.7, timeout_s=5.0)],
            received_at_by_id={"a": 10.6},
            process_ends=[stopped(asked_at=6.0, ended_at=11.9)],
        )
        self.assertEqual(["LOST"], rules(history))
        history.process_ends = [stopped(asked_at=8.0, ended_at=14.0)]
        self.assertEqual(["LOST"], rules(history))
        early = cut(sent_at=8.5, after_s=4.7, timeout_s=5.0)
        history.requests = [early]
        self.assertEqual([], rules(history))
        history.received_at_by_id = {}
        self.assertEqual(["LOST"], rules(history))

    def test_member_ended(self):
        """Guards against a report after the member broke off."""
        history = histories.History(
            requests=[cut()], member_ends=[("m1", 10.2)]
        )
        self.assertEqual([], rules(history))

    def test_timeout(self):
        """Guards against a report of a request that ran out of time."""
        history = histories.History(requests=[cut(after_s=0.9)])
        self.assertEqual([], rules(history))


class TestPinned(testtools.TestCase):
    """PINNED: transactions and session state."""

    def check(self, expected, *pairs):
        """Check the broken rules of requests and their executions."""
        history = histories.History(
            requests=[sent for sent, _ in pairs],
            runs=[run for _, run in pairs],
        )
        self.assertEqual(expected, rules(history))

    def pair(self, name, attempt=1, **fields):
        """Return a statement of a transaction, and its execution."""
        sent = request(name, in_transaction=True, attempt=attempt)
        return sent, run_of(sent, **fields)

    def test_good_transaction(self):
        """Guards against a report of a good transaction."""
        self.check([], self.pair("a"), self.pair("b"))

    def test_other_connection(self):
        """Guards against a transaction on two connections."""
        self.check(["PINNED"], self.pair("a"), self.pair("b", transaction=8))
        self.check(["PINNED"], self.pair("a"), self.pair("b", member="m2"))

    def test_shared_transaction(self):
        """Guards against two clients in one transaction."""
        self.check(["PINNED"], self.pair("a"), self.pair("b", attempt=2))

    def test_outside(self):
        """Guards against a statement outside its transaction."""
        self.check(["PINNED"], self.pair("a", transaction=None))

    def test_inside(self):
        """Guards against a single statement in a transaction."""
        sent = request("a")
        self.check(["PINNED"], (sent, run_of(sent, transaction=3)))

    def test_values(self):
        """Guards against values of another session."""
        sent = request("a", values=(("zone", "1"),))
        self.check([], (sent, run_of(sent)))
        for values in [(), (("zone", "2"),)]:
            run = run_of(sent, value_by_name=values)
            self.check(["PINNED"], (sent, run))

    def test_shape(self):
        """Guards against another shape under a prepared name."""
        sent = request("a", Kind.EXECUTE, shape=Q1)
        self.check([], (sent, run_of(sent)))
        run = run_of(sent, shape=command.Shape(False, "q2"))
        self.check(["PINNED"], (sent, run))


class TestWrites(testtools.TestCase):
    """TWICE, REFUSED and ONE."""

    def test_twice(self):
        """Guards against a write that takes effect twice."""
        write = request("a", Kind.WRITE)
        history = histories.History(requests=[write], log=[commit(1, "a")])
        self.assertEqual([], rules(history))
        history.log.append(commit(2, "a"))
        self.assertEqual(["TWICE"], rules(history))
        history.log = [commit(1, "a", "a")]
        self.assertEqual(["TWICE"], rules(history))

    def test_refused(self):
        """Guards against a write in effect after a promise."""
        write = request("a", Kind.WRITE, outcome=Outcome.PROMISE)
        history = histories.History(requests=[write], log=[commit(1, "b")])
        self.assertEqual([], rules(history))
        history.log = [commit(1, "a")]
        self.assertEqual(["REFUSED"], rules(history))

    def test_refused_commit(self):
        """Guards against a transaction in effect after a promise."""
        write = request("a", Kind.WRITE)
        ends = request("b", Kind.COMMIT, outcome=Outcome.PROMISE)
        history = histories.History(
            requests=[write, ends], log=[commit(1, "a")]
        )
        self.assertEqual(["REFUSED"], rules(history))
        history.requests[1] = dataclasses.replace(ends, outcome=Outcome.ERROR)
        self.assertEqual([], rules(history))

    def test_shared_token(self):
        """Guards against two holders with one token."""
        first = histories.Promotion("m1", "d0", 5, 10.0)
        history = histories.History(
            promotions=[first, dataclasses.replace(first, at=11.0)]
        )
        self.assertEqual([], rules(history))
        history.promotions.append(histories.Promotion("m2", "d1", 5, 12.0))
        self.assertEqual(["ONE"], rules(history))


class TestReads(testtools.TestCase):
    """STALE, MIXED, DRAIN and CONFIG."""

    def check(self, expected, acknowledged_at, number, **fields):
        """Check a read at a position after an acknowledged commit."""
        write = request(
            "w", Kind.WRITE, sent_at=acknowledged_at - 0.01, attempt=1
        )
        read = request("r", attempt=2, receipt="receipt-r.0", **fields)
        history = histories.History(
            requests=[write, read],
            runs=[run_of(read, number)],
            log=[commit(1, "w")],
        )
        self.assertEqual(expected, rules(history))

    def test_primary_route(self):
        """Guards against a read that lacks any commit."""
        self.check(["STALE"], 9.9, 0)
        self.check([], 9.9, 1)
        self.check([], 10.1, 0)

    def test_transaction(self):
        """Guards the begin of the transaction as the time of the read."""
        self.check(["STALE"], 8.9, 0, began_at=9.0)
        self.check([], 9.5, 0, began_at=9.0)

    def test_bounded(self):
        """Guards the age that the route allows."""
        fields = {"freshness": Freshness.BOUNDED, "max_age_s": 1.5}
        self.check([], 9.0, 0, **fields)
        self.check(["STALE"], 8.0, 0, **fields)

    def test_own_writes(self):
        """Guards a session's own commits, and those of others."""
        fields = {"freshness": Freshness.SESSION, "max_age_s": 1.5}
        self.check(["STALE"], 9.9, 0, **fields)
        self.check([], 9.0, 0, session=2, **fields)
        self.check(["STALE"], 8.0, 0, session=2, **fields)

    def test_unacknowledged(self):
        """Guards against a report of a commit without acknowledgement."""
        write = request("w", Kind.WRITE, outcome=Outcome.ERROR, sent_at=9.0)
        read = request("r", attempt=2, receipt="receipt-r.0")
        history = histories.History(
            requests=[write, read],
            runs=[run_of(read)],
            log=[commit(1, "w")],
        )
        self.assertEqual([], rules(history))

    def test_dropped_answer(self):
        """Guards against a report of a run whose answer was dropped."""
        write = request("w", Kind.WRITE, sent_at=9.0)
        read = request("r", attempt=2, receipt="receipt-r.1")
        history = histories.History(
            requests=[write, read],
            runs=[run_of(read, 0), run_of(read, 1)],
            log=[commit(1, "w")],
        )
        self.assertEqual([], rules(history))
        history.requests[1].receipt = "receipt-r.0"
        self.assertEqual(["STALE"], rules(history))

    def test_receipt(self):
        """Guards against a success that no member gave."""
        for receipt in ("-", "receipt-b."):
            sent = request("a", receipt=receipt)
            history = histories.History(requests=[sent])
            self.assertEqual(["MIXED"], rules(history))
        own = request("a", Kind.SET, receipt="-")
        self.assertEqual([], rules(histories.History(requests=[own])))

    def test_drained_member(self):
        """Guards against statements to a member that has drained."""
        sent = request("a", sent_at=13.3)
        history = histories.History(
            requests=[sent],
            runs=[run_of(sent)],
            drain_at_by_member={"m1": 10.0},
        )
        self.assertEqual(["DRAIN"], rules(history))
        history.disturbances = [disturbance(12.0, 12.5)]
        self.assertEqual([], rules(history))
        history.disturbances = []
        history.process_ends = [stopped(asked_at=7.0, ended_at=9.0)]
        self.assertEqual([], rules(history))
        history.process_ends = [stopped(asked_at=7.0, ended_at=8.7)]
        self.assertEqual(["DRAIN"], rules(history))
        history.drain_at_by_member = {"m1": 10.5, "m2": 1.0}
        self.assertEqual([], rules(history))

    def test_old_manifest(self):
        """Guards the time in which each version may be in force."""
        for version, sent_at, accepted, expected in [
            (1, 12.9, True, []),
            (1, 13.1, True, ["CONFIG"]),
            (1, 13.1, False, []),
            (2, 10.1, False, []),
            (2, 13.1, False, ["CONFIG"]),
            (2, 10.1, True, []),
            (2, 9.0, True, ["CONFIG"]),
            (1, 9.0, False, ["CONFIG"]),
        ]:
            probe = histories.Probe(
                "d0", version, sent_at, sent_at + 0.01, accepted
            )
            history = histories.History(
                manifests=[(1, 5.0), (2, 10.0)], probes=[probe]
            )
            self.assertEqual(expected, rules(history), probe)
            history.disturbances = [disturbance(sent_at - 0.1, sent_at)]
            self.assertEqual([], rules(history))


class TestProcesses(testtools.TestCase):
    """END and TRACEBACK."""

    def check(self, expected, **fields):
        """Check the end of a process."""
        history = histories.History(process_ends=[stopped(**fields)])
        self.assertEqual(expected, rules(history))

    def test_ends(self):
        """Guards the ends that a daemon may come to."""
        self.check([])
        self.check([], asked_at=None, killed=True, code=-9)
        self.check(["END"], asked_at=None)
        self.check(["END"], asked_at=None, code=1)
        self.check(["END"], code=1)
        self.check(["END"], overdue=True, code=-9)
        self.check([], code=-15, served=False)
        self.check(["END"], code=-15)
        self.check(["END"], code=1, served=False)

    def test_traceback(self):
        """Guards against an unexpected error in a log."""
        history = histories.History(tracebacks=[("d0", "1 times: KeyError")])
        self.assertEqual(["TRACEBACK"], rules(history))
