"""Guards the checks of what reached members; each has a good history."""

import testtools

from burdockcart.request import command
from burdockcart.soak import checks
from burdockcart.soak import history as histories
from burdockcart.soak.tests import test_checks

Kind = command.CommandKind
Outcome = histories.Outcome
SPACED = command.Shape(True, "q2c a")


def client(name, kind, text, **fields):
    """Return a statement that succeeded."""
    return test_checks.request(name, kind, text=text, **fields)


def arrival(sent, word=None, **fields):
    """Return the statement of a client at a member, with its success."""
    answer = {}
    if sent.kind in (Kind.READ, Kind.WRITE, Kind.COMMIT, Kind.EXECUTE):
        answer = {
            "receipt": sent.receipt,
            "rows": sent.rows,
            "position": sent.position,
        }
    shape = sent.shape
    return histories.MemberStatement(
        **{
            "member": "m1",
            "connection": 1,
            "statement": sent.id,
            "word": word or sent.kind.name,
            "text": sent.text,
            "at": sent.sent_at + 0.005,
            "item": sent.item,
            "data": sent.data,
            "prepared": shape
            and ("WRITE" if shape.writes else "READ", shape.text),
            "transaction": 7 if sent.in_transaction else None,
            "answered": True,
            **answer,
            **fields,
        }
    )


def own(text, **fields):
    """Return a statement of the gateway at a member."""
    return histories.MemberStatement(
        member="m1",
        connection=1,
        statement="-",
        word=text.split(" ")[0],
        text=text,
        at=10.0,
        answered=True,
        **fields,
    )


def commit(number, *requests):
    """Return a commit of writes."""
    return test_checks.commit(number, *(each.id for each in requests))


class Checks(testtools.TestCase):
    """Compares the broken rules of a history."""

    def check(self, expected, sent, arrived, log=(), **fields):
        """Check the broken rules."""
        history = histories.History(
            requests=list(sent),
            statements=list(arrived),
            log=list(log),
            **fields,
        )
        found = checks.violations(history, test_checks.LIMITS)
        self.assertEqual(expected, [each.rule for each in found], found)


class TestUnasked(Checks):
    """UNASKED."""

    def test_text(self):
        """Guards against a changed text, or one that no client sent."""
        read = client("a", Kind.READ, "READ i1  x")
        self.check([], [read], [arrival(read)])
        self.check(["UNASKED"], [read], [arrival(read, text="READ i1 x")])
        other = client("b", Kind.READ, "READ i1  x")
        self.check(["UNASKED"], [read], [arrival(read), arrival(other)])

    def test_arguments(self):
        """Guards against an EXECUTE with another item or other data."""
        sent = client(
            "a",
            Kind.EXECUTE,
            "EXECUTE p1 i1  d",
            shape=SPACED,
            item="i1",
            data=" d",
        )
        log = [commit(1, sent)]
        renamed = arrival(sent, text="EXECUTE g1 i1  d", name="g1")
        self.check([], [sent], [renamed], log)
        for item, data in [("i1", "d"), ("i1", None), ("a", "i1  d")]:
            moved = arrival(sent, item=item, data=data)
            self.check(["UNASKED"], [sent], [moved], log)
        as_write = arrival(sent, "WRITE")
        as_write.text = "WRITE i1  d"
        self.check(["UNASKED"], [sent], [as_write], log)

    def test_own_id(self):
        """Guards against work of the gateway that no client sent."""
        for text in ["READ i1", "WRITE i1 d", "EXECUTE p1 i1", "COMMIT"]:
            self.check(["UNASKED"], [], [own(text)])
        for text in ["BEGIN", "BEGIN READ", "ROLLBACK", "RESET", "RESUME"]:
            self.check([], [], [own(text)])

    def test_setup(self):
        """Guards against values and shapes that no client has set up."""
        zone = client("a", Kind.SET, "SET zone a b", receipt="-")
        self.check([], [zone], [own("SET zone a b")])
        self.check(["UNASKED"], [zone], [own("SET zone a")])
        prepare = client(
            "b", Kind.PREPARE, "PREPARE p1 WRITE q2c a", shape=SPACED
        )
        good = own("PREPARE g1 WRITE q2c a", prepared=("WRITE", "q2c a"))
        self.check([], [prepare], [good])
        for prepared in [("a", "WRITE q2c a"), ("READ", "q2c a")]:
            wrong = own("PREPARE w_q2c a WRITE q2c a", prepared=prepared)
            self.check(["UNASKED"], [prepare], [wrong])

    def test_not_allowed(self):
        """Guards against half a line, or a line end inside, that runs."""
        half = client(
            "a", Kind.WRITE, "WRITE i1 d", allowed=False, outcome=Outcome.LEFT
        )
        self.check([], [half], [])
        self.check(["UNASKED"], [half], [arrival(half, receipt="")])
        half.outcome = Outcome.SUCCESS
        self.check(["UNASKED"], [half], [])

    def test_whole_line(self):
        """Guards against a report of a line that may run unanswered."""
        whole = client("a", Kind.WRITE, "WRITE i1 d", outcome=Outcome.LEFT)
        self.check([], [whole], [arrival(whole)], [commit(1, whole)])

    def test_malformed(self):
        """Guards against a line that is no statement."""
        self.check(["UNASKED"], [], [], malformed=[("m1", "SET", "short")])

    def transaction(self, name, attempt):
        """Return a write in a transaction."""
        return client(
            name,
            Kind.WRITE,
            "WRITE i1 d",
            in_transaction=True,
            attempt=attempt,
        )

    def test_commit_of_another(self):
        """Guards against a COMMIT in another client's transaction."""
        first, second = self.transaction("a", 1), self.transaction("b", 2)
        ends = client(
            "c", Kind.COMMIT, "COMMIT", in_transaction=True, attempt=1
        )
        log = [commit(1, first)]
        self.check([], [first, ends], [arrival(first), arrival(ends)], log)
        self.check(
            ["UNASKED"],
            [first, second, ends],
            [arrival(second), arrival(ends), arrival(first, transaction=8)],
            log,
        )

    def test_commit_not_sent(self):
        """Guards against a transaction in effect without its COMMIT."""
        write = self.transaction("a", 1)
        log = [commit(1, write)]
        self.check(["UNASKED"], [write], [arrival(write)], log)
        half = client(
            "b",
            Kind.COMMIT,
            "COMMIT",
            in_transaction=True,
            allowed=False,
            outcome=Outcome.LEFT,
        )
        self.check(["UNASKED"], [write, half], [arrival(write)], log)
        half.allowed = True
        self.check([], [write, half], [arrival(write)], log)


class TestNames(Checks):
    """PINNED."""

    def test_unknown_name(self):
        """Guards against a name that a member does not know."""
        sent = client(
            "a",
            Kind.EXECUTE,
            "EXECUTE p1 i1",
            shape=test_checks.Q1,
            item="i1",
            outcome=Outcome.PROMISE,
        )
        self.check([], [sent], [arrival(sent, receipt="", fault="BUSY")])
        lost = arrival(sent, receipt="", fault="UNKNOWN", prepared=None)
        self.check(["PINNED"], [sent], [lost])
        other = arrival(sent, receipt="", fault="BUSY", prepared=("READ", "x"))
        self.check(["PINNED"], [sent], [other])

    def test_told_unknown(self):
        """Guards against a client whose prepared name is unknown."""
        sent = client(
            "a",
            Kind.EXECUTE,
            "EXECUTE p1 i1",
            shape=test_checks.Q1,
            outcome=Outcome.ERROR,
            detail="FAILED member",
        )
        self.check([], [sent], [])
        sent.detail = "UNKNOWN p1"
        self.check(["PINNED"], [sent], [])


class TestAnswers(Checks):
    """MIXED and LOST."""

    def test_rows_and_position(self):
        """Guards against rows or a position that the member did not say."""
        read = client(
            "a",
            Kind.READ,
            "READ i1",
            receipt="receipt-a.",
            rows=("r  1 ", ""),
            position="1.5",
        )
        self.check([], [read], [arrival(read)])
        for fields in [
            {"rows": ("r 1", "")},
            {"rows": ("r  1 ",)},
            {"position": "1.6"},
            {"receipt": "receipt-b."},
        ]:
            wrong = arrival(read, **fields)
            self.check(["MIXED"], [read], [wrong])

    def test_receipt_of_another(self):
        """Guards against the receipt of another statement."""
        first = client("a", Kind.READ, "READ i1", receipt="receipt-a.")
        other = client("b", Kind.READ, "READ i1", receipt="receipt-a.")
        arrived = [arrival(first), arrival(other, receipt="receipt-b.")]
        self.check(["MIXED", "MIXED"], [first, other], arrived)

    def test_told_write(self):
        """Guards against a write that its client was told of, and is gone."""
        write = client("a", Kind.WRITE, "WRITE i1 d")
        self.check([], [write], [arrival(write)], [commit(1, write)])
        self.check(["LOST"], [write], [arrival(write)])
        write.outcome = Outcome.ERROR
        self.check([], [write], [arrival(write)])

    def test_told_commit(self):
        """Guards against a transaction of which a write is gone."""
        fields = {"in_transaction": True, "shape": SPACED, "item": "i1"}
        first = client("a", Kind.EXECUTE, "EXECUTE p1 i1", **fields)
        second = client("b", Kind.EXECUTE, "EXECUTE p1 i1", **fields)
        ends = client("c", Kind.COMMIT, "COMMIT", in_transaction=True)
        sent = [first, second, ends]
        arrived = [arrival(each) for each in sent]
        self.check([], sent, arrived, [commit(1, first, second)])
        self.check(["LOST"], sent, arrived, [commit(1, first)])
        self.check(["LOST", "LOST"], sent, arrived)
        back = client("c", Kind.ROLLBACK, "ROLLBACK", in_transaction=True)
        self.check([], [first, second, back], arrived[:2])

    def test_promoted_without(self):
        """Guards against a promotion that drops what a client was told."""
        write = client("a", Kind.WRITE, "WRITE i1 d")
        log = [commit(1, write)]
        held = histories.Takeover("m2", 10.0, ())
        lacks = histories.Takeover("m2", 10.0, ("a",))
        arrived = [arrival(write)]
        self.check([], [write], arrived, log, takeovers=[held])
        self.check(["LOST"], [write], arrived, log, takeovers=[lacks])
        write.outcome = Outcome.ERROR
        self.check([], [write], arrived, log, takeovers=[lacks])

    def test_promoted_without_a_transaction(self):
        """Guards against a promotion that drops a write of a transaction."""
        write = client("a", Kind.WRITE, "WRITE i1 d", in_transaction=True)
        ends = client("b", Kind.COMMIT, "COMMIT", in_transaction=True)
        lacks = histories.Takeover("m2", 10.0, ("a",))
        sent, log = [write, ends], [commit(1, write)]
        arrived = [arrival(each) for each in sent]
        self.check(["LOST"], sent, arrived, log, takeovers=[lacks])
        ends.outcome = Outcome.ERROR
        self.check([], sent, arrived, log, takeovers=[lacks])
