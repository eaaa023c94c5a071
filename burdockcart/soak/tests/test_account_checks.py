"""Guards the checks of keys and accounts; each has a good history."""

import testtools

from burdockcart.request import command
from burdockcart.soak import account_history
from burdockcart.soak import checks
from burdockcart.soak import history as histories
from burdockcart.soak.tests import test_checks

Kind = command.CommandKind
Outcome = histories.Outcome
KEY, OTHER_KEY = "key-one", "key-two"
REMOVED_AT = 20.0


def account(name, *keys, rate_per_s=None, burst=0.0):
    """Return an account of a manifest."""
    return account_history.AccountState(
        name, frozenset(keys), rate_per_s, burst
    )


def version(at, *accounts):
    """Return a manifest that the store acknowledged."""
    return account_history.AccountsVersion(at, accounts)


BOTH = (account("a1", KEY), account("a2", OTHER_KEY))
REMOVED = (account("a1"), account("a2", OTHER_KEY))


def client(name, key=KEY, kind=Kind.READ, sent_at=10.0, **fields):
    """Return a statement of a client, which succeeded."""
    return test_checks.request(name, kind, sent_at, key=key, **fields)


def arrival(sent, who="a1", after_s=0.005, **fields):
    """Return a statement that a member has run."""
    return histories.MemberStatement(
        **{
            "member": "m1",
            "connection": 1,
            "statement": sent.id,
            "word": sent.kind.name,
            "text": sent.text,
            "at": sent.sent_at + after_s,
            "transaction": 7 if sent.in_transaction else None,
            "answered": True,
            "receipt": sent.receipt,
            "who": who,
            **fields,
        }
    )


class Checks(testtools.TestCase):
    """Compares the broken rules of a history."""

    def found(self, arrived, versions, **record):
        """Return the violations of statements with their arrivals."""
        history = histories.History(
            requests=[sent for sent, _ in arrived],
            statements=[each for _, each in arrived],
            accounts=account_history.AccountRecord(
                versions=list(versions), **record
            ),
        )
        return checks.violations(history, test_checks.LIMITS)

    def check(self, expected, arrived, versions=(), **record):
        """Check the broken rules."""
        versions = versions or [version(1.0, *BOTH)]
        found = self.found(arrived, versions, **record)
        self.assertEqual(expected, [each.rule for each in found])


class TestRevoked(Checks):
    """REVOKED: statements that were sent too late after a removal."""

    removed = [version(1.0, *BOTH), version(REMOVED_AT, *REMOVED)]
    again = removed + [version(30.0, *BOTH)]

    def run_at(self, sent_at, **fields):
        """Return a statement that was sent at a time, and run."""
        sent = client("q", sent_at=sent_at)
        return [(sent, arrival(sent, **fields))]

    def test_after_the_time(self):
        """Guards against a removed key whose use is not reported."""
        self.check(["REVOKED"], self.run_at(25.01), self.removed)

    def test_within_the_time(self):
        """Guards against a report while daemons may not know the removal."""
        self.check([], self.run_at(24.99), self.removed)

    def test_sent_within_and_run_later(self):
        """Guards against a bound of the run instead of the sending."""
        arrived = self.run_at(24.99, after_s=3.0)
        self.check([], arrived, self.removed)

    def test_sent_later_and_refused(self):
        """Guards against a report of what the member did not run."""
        arrived = self.run_at(26.0, fault="BUSY", receipt="")
        arrived[0][0].outcome = Outcome.PROMISE
        self.check([], arrived, self.removed)

    def test_member_ended_before_its_answer(self):
        """Guards against a late statement that counts only if answered."""
        arrived = self.run_at(26.0, answered=False, receipt="")
        arrived[0][0].outcome = Outcome.ERROR
        self.check(["REVOKED"], arrived, self.removed)

    def test_added_again(self):
        """Guards against a removal that counts although it was undone."""
        self.check([], self.run_at(30.1), self.again)
        self.check(["REVOKED"], self.run_at(29.9), self.again)

    def test_added_again_before_the_run(self):
        """Guards against a report of what a daemon may have read later."""
        self.check([], self.run_at(29.9, after_s=0.2), self.again)

    def test_added_again_and_removed_again(self):
        """Guards against the first removal alone being looked at."""
        versions = self.again + [version(31.0, *REMOVED)]
        self.check([], self.run_at(35.9), versions)
        self.check(["REVOKED"], self.run_at(36.1), versions)

    def test_second_key_is_kept(self):
        """Guards against the removal of a key that ends all of an account."""
        sent = client("q", sent_at=30.0)
        versions = [
            version(1.0, account("a1", KEY, "key-three")),
            version(REMOVED_AT, account("a1", KEY)),
        ]
        self.check([], [(sent, arrival(sent))], versions)

    def transaction(self, end, end_at):
        """Return a transaction that began before the removal."""
        first = client("r", sent_at=24.0, in_transaction=True)
        last = client(
            "c", kind=end, sent_at=end_at, began_at=24.0, in_transaction=True
        )
        return [(first, arrival(first)), (last, arrival(last))]

    def test_commit_of_an_open_transaction(self):
        """Guards against a COMMIT that counts as allowed with its BEGIN."""
        late = self.transaction(Kind.COMMIT, 25.1)
        self.check(["REVOKED"], late, self.removed)
        self.check([], self.transaction(Kind.COMMIT, 24.9), self.removed)

    def test_rollback_of_an_open_transaction(self):
        """Guards against a report of the rollback that a removal demands."""
        late = self.transaction(Kind.ROLLBACK, 25.1)
        self.check([], late, self.removed)

    def test_once_for_a_session(self):
        """Guards against one violation for each of thousands of statements."""
        sent = [client(f"q{n}", sent_at=26.0 + n) for n in range(9)]
        arrived = [(each, arrival(each)) for each in sent]
        found = self.found(arrived, self.removed)
        self.assertEqual(["REVOKED"], [each.rule for each in found])
        self.assertEqual(("q0", "q1", "q2"), found[0].ids)
        self.assertIn("6.000 s after", found[0].message)
        self.assertNotIn(KEY, str(found[0]))


class TestUnknown(Checks):
    """UNKNOWN: statements of keys that no manifest held."""

    def test_key_of_no_manifest(self):
        """Guards against an unknown key whose use is not reported."""
        sent = client("q", key="key-none")
        self.check(["UNKNOWN"], [(sent, arrival(sent))])

    def test_without_a_key(self):
        """Guards against a session without a key that counts as known."""
        sent = client("q", key="")
        self.check(["UNKNOWN"], [(sent, arrival(sent))])

    def test_before_the_first_manifest_with_it(self):
        """Guards against a key that is known before it was added."""
        versions = [version(1.0, *REMOVED), version(12.0, *BOTH)]
        early, later = client("q"), client("r", sent_at=12.1)
        self.check(["UNKNOWN"], [(early, arrival(early))], versions)
        self.check([], [(later, arrival(later))], versions)

    def test_on_an_anonymous_route(self):
        """Guards against a key that is asked for where none is needed."""
        sent = client("q", key="key-none")
        arrived = [(sent, arrival(sent, who=account_history.OWN_NAME))]
        self.check([], arrived, anonymous_sessions={1})

    def test_without_accounts(self):
        """Guards against checks of keys in a deployment without accounts."""
        sent = client("q", key="u1")
        history = histories.History(
            requests=[sent], statements=[arrival(sent)]
        )
        self.assertEqual([], checks.violations(history, test_checks.LIMITS))


class TestWrongAccount(Checks):
    """ACCOUNT: connections with the name of another account."""

    def test_other_account(self):
        """Guards against a connection of another account."""
        sent = client("q")
        self.check(["ACCOUNT"], [(sent, arrival(sent, who="a2"))])
        self.check([], [(sent, arrival(sent, who="a1"))])

    def test_name_of_the_daemon(self):
        """Guards against connections that were opened without the name."""
        sent = client("q")
        name = account_history.OWN_NAME
        self.check(["ACCOUNT"], [(sent, arrival(sent, who=name))])

    def test_connection_of_two_accounts(self):
        """Guards against a connection that is passed on to an account."""
        sent = client("q", session=1), client("r", OTHER_KEY, session=2)
        arrived = [(each, arrival(each, who="a1")) for each in sent]
        found = self.found(arrived, [version(1.0, *BOTH)])
        self.assertEqual(["ACCOUNT"], [each.rule for each in found])
        self.assertEqual(("r",), found[0].ids)

    def test_after_the_removal(self):
        """Guards against a removed key whose account is not known any more."""
        versions = [version(1.0, *BOTH), version(REMOVED_AT, *REMOVED)]
        sent = client("q", sent_at=22.0)
        self.check([], [(sent, arrival(sent, who="a1"))], versions)
        self.check(["ACCOUNT"], [(sent, arrival(sent, who="a2"))], versions)

    def test_key_moves_to_another_account(self):
        """Guards against the old name after the time of a removal."""
        moved = (account("a1"), account("a2", OTHER_KEY, KEY))
        versions = [version(1.0, *BOTH), version(REMOVED_AT, *moved)]
        soon, late = client("q", sent_at=24.9), client("r", sent_at=25.1)
        self.check([], [(soon, arrival(soon, who="a1"))], versions)
        self.check([], [(late, arrival(late, who="a2"))], versions)
        self.check(["ACCOUNT"], [(late, arrival(late, who="a1"))], versions)

    def test_anonymous_route(self):
        """Guards against a connection of an account that anybody uses."""
        sent = client("q")
        self.check(
            ["ACCOUNT"], [(sent, arrival(sent))], anonymous_sessions={1}
        )


class TestLeakedKeys(Checks):
    """KEY: a whole key outside the daemons' memory."""

    def line(self, text):
        """Return a line of a member or of a log."""
        return account_history.Line("d0", text, 10.0)

    def test_at_a_member(self):
        """Guards against a key that is sent as the name of a connection."""
        bad = self.line(f"CONNECT ledger {KEY} m1")
        good = self.line("CONNECT ledger a1 m1")
        self.check(["KEY"], [], member_lines=[good, bad])
        self.check([], [], member_lines=[good])

    def test_in_a_log(self):
        """Guards against a removed key in a log line."""
        versions = [version(1.0, *BOTH), version(2.0, *REMOVED)]
        lines = [self.line(f"event=refused key={KEY}")]
        self.check(["KEY"], [], versions, outputs=lines)
        lines = [self.line(f"event=refused key={KEY[:4]}...")]
        self.check([], [], versions, outputs=lines)

    def test_unknown_key_in_a_log(self):
        """Guards against a mistyped key, which may be nearly a real one."""
        startup = account_history.Startup("d0", "key-none", 9.0, "NOAUTH")
        lines = [self.line("unknown key key-none")]
        self.check(["KEY"], [], startups=[startup], outputs=lines)

    def test_in_an_answer(self):
        """Guards against a key in the text of an error."""
        told = client("q", outcome=Outcome.ERROR, detail=f"NOAUTH {KEY}")
        kept = client("q", outcome=Outcome.ERROR, detail="NOAUTH unknown key")
        refused = {"fault": "FAILED", "receipt": ""}
        self.check(["KEY"], [(told, arrival(told, **refused))])
        self.check([], [(kept, arrival(kept, **refused))])

    def test_report_holds_no_key(self):
        """Guards against a key in the report of its leak."""
        lines = [self.line(f"a {KEY} b")]
        found = self.found([], [version(1.0, *BOTH)], member_lines=lines)
        self.assertIn("a <key> b", str(found[0]))
        self.assertNotIn(KEY, str(found[0]))


class TestNoAuth(Checks):
    """NOAUTH: answers to keys that no manifest held."""

    def startup(self, key, answer, **fields):
        """Return a first message and its answer."""
        return [account_history.Startup("d0", key, 9.0, answer, **fields)]

    def test_unknown_key_is_accepted(self):
        """Guards against an unknown key that opens a session."""
        opened = self.startup("key-none", "READY")
        self.check(["NOAUTH"], [], startups=opened)
        self.check([], [], startups=self.startup("key-none", "NOAUTH"))

    def test_another_error(self):
        """Guards against an error after which clients try again."""
        busy = self.startup("key-none", "BUSY")
        self.check(["NOAUTH"], [], startups=busy)

    def test_daemon_that_stops(self):
        """Guards against a stop that excuses too much, or nothing."""
        ended = test_checks.stopped(asked_at=8.0, ended_at=9.5)
        startups = [
            account_history.Startup("d0", "key-none", sent_at, answer)
            for sent_at, answer in (
                (7.9, "BUSY"),
                (8.1, "BUSY"),
                (8.2, "READY"),
                (14.4, "BUSY"),
                (14.6, "BUSY"),
            )
        ]
        history = histories.History(
            process_ends=[ended],
            accounts=account_history.AccountRecord(startups=startups),
        )
        found = checks.violations(history, test_checks.LIMITS)
        self.assertEqual([7.9, 8.2, 14.6], [each.at for each in found])

    def test_connection_stays(self):
        """Guards against refused clients that keep connections open."""
        stays = self.startup("key-none", "NOAUTH", closed=False)
        self.check(["NOAUTH"], [], startups=stays)
        stays = self.startup(KEY, "NOAUTH", closed=False)
        self.check(["NOAUTH"], [], startups=stays)

    def test_suspended_daemon(self):
        """Guards against a report of a daemon that was suspended meanwhile."""
        stays = self.startup("key-none", "NOAUTH", closed=False)
        for name, begin, expected in (
            ("0", 1.0, []),
            ("1", 1.0, ["NOAUTH"]),
            ("0", 2.5, ["NOAUTH"]),
        ):
            at = stays[0].sent_at + begin
            suspended = histories.Disturbance(
                "freeze", name, at, at + 6.0, False
            )
            history = histories.History(
                disturbances=[suspended],
                accounts=account_history.AccountRecord(startups=stays),
            )
            found = checks.violations(history, test_checks.LIMITS)
            self.assertEqual(expected, [each.rule for each in found])

    def test_no_answer(self):
        """Guards against a report of a daemon that ends meanwhile."""
        self.check([], [], startups=self.startup("key-none", ""))

    def test_known_key(self):
        """Guards against a report of a key that a manifest holds."""
        self.check([], [], startups=self.startup(KEY, "READY"))
