"""Checks a safety model against the records of the emulated members.

P1: a read observes all writes that its session covers.
P2: no write is acknowledged after the promotion of a later term.
P3: a statement runs only in its own transaction and for its own caller.
P4: an answer belongs to its request and holds the right result.
P5: a request that is reported as not run did not run.
P6: a request that is not repeatable runs at most once.
"""

import itertools

from burdockcart import errors


class Checks:
    """Collects violations of the guarantees P1 to P6."""

    def __init__(self, model):
        self.model = model
        self.violations = []
        #: Rows of all members, each with the log of its member at the time.
        self.rows_by_id = {}
        for target in model.deployment.targets.by_address.values():
            target.member.note = self._with_log(target.member)

    def report(self, guarantee, text):
        """Add a violation."""
        self.violations.append(f"{guarantee}: {text}")

    def _with_log(self, member):
        """Return a ``note`` that keeps each row together with the log.

        A member replaces its list of entries when it discards some, so the
        list and a length identify the log at that time.
        """
        original = member.note

        def note(**fields):
            original(**fields)
            row = dict(member.record[-1], entries=member.state.entries)
            self.rows_by_id.setdefault(fields["request_id"], []).append(row)

        return note

    def check_answer(self, each):
        """Check a successful answer when the caller receives it."""
        answer = each.answer.unwrap()
        if each.operation == "rollback":
            return
        if answer.request_id != each.request_id:
            self.report("P4", f"{each.request_id} got {answer.request_id}")
        rows = [
            row
            for row in self.rows_by_id.get(each.request_id, ())
            if row["member"] == answer.served_by.target
            and row["term"] == answer.served_by.term
            and row["position"] == answer.served_by.position
        ]
        if not rows:
            self.report("P4", f"no row belongs to the answer {answer}")
            return
        if each.operation == "read" and each.transaction is None:
            self._check_read(each, answer, rows)
        if each.operation == "commit" or (
            each.operation == "write" and each.transaction is None
        ):
            self._check_acknowledged(each, answer, rows[0])

    def _check_read(self, each, answer, rows):
        values = set()
        for row in rows:
            log = row["entries"][: row["position"]]
            held = {entry.request_id for entry in log}
            missing = each.prior_writes - held
            if not missing:
                values.add(_last_value(log, each.statement["key"]))
        if not values:
            text = f"{each.request_id} read without {sorted(missing)}"
            self.report("P1", text)
        elif answer.result not in values:
            text = f"{each.request_id} got {answer.result}, not {values}"
            self.report("P4", text)

    def _check_acknowledged(self, each, answer, row):
        later = [
            (term, at)
            for term, at in self.model.promotions
            if term > answer.served_by.term and at <= each.answered_at
        ]
        if later:
            text = f"{each.request_id} of term {answer.served_by.term}"
            self.report("P2", f"{text} acknowledged after {later}")
        entry = row["entries"][row["position"] - 1]
        if entry.request_id != each.request_id:
            self.report("P4", f"{each.request_id} answered by {entry}")

    def check_records(self):
        """Check the complete records at the end of a run."""
        by_id = {}
        for each in self.model.submissions:
            by_id.setdefault(each.request_id, []).append(each)
        for request_id, sent in by_id.items():
            self._check_id(request_id, sent)
        self._check_isolation(by_id)

    def _check_id(self, request_id, sent):
        rows = self.rows_by_id.get(request_id, [])
        possible = sum(
            each.effect is not errors.Effect.NOT_RUN for each in sent
        )
        if rows and not possible:
            self.report("P5", f"{request_id} ran in spite of `not run`")
        if not sent[0].repeatable and len(rows) > 1:
            self.report("P6", f"{request_id} ran {len(rows)} times")

    def _check_isolation(self, by_id):
        for request_id, rows in self.rows_by_id.items():
            for row in rows:
                if request_id not in by_id:
                    self.report("P3", f"{request_id} was never sent")
                elif row["transaction"] != by_id[request_id][0].transaction:
                    self.report("P3", f"{request_id} ran in {row}")
        transaction_by_id = {each.id: each for each in self.model.transactions}
        for request_id in self.rows_by_id:
            sent = by_id[request_id][0]
            if sent.transaction is not None and (
                transaction_by_id[sent.transaction].caller != sent.caller
            ):
                self.report("P3", f"{sent.caller} ran {request_id}")
        logs = [
            target.member.state.entries
            for target in self.model.deployment.targets.by_address.values()
        ]
        for entry in itertools.chain.from_iterable(logs):
            self._check_entry(entry, by_id, transaction_by_id)

    def _check_entry(self, entry, by_id, transaction_by_id):
        sent = by_id[entry.request_id][0]
        if sent.transaction is None:
            if entry.statements != [sent.statement]:
                self.report("P4", f"{entry} is not {sent.statement}")
            return
        own = [
            each.statement
            for sends in by_id.values()
            for each in sends
            if each.transaction == sent.transaction
            and each.caller == sent.caller
        ]
        if any(each not in own for each in entry.statements):
            self.report("P3", f"{entry} holds a statement of another")
        acknowledged = transaction_by_id[sent.transaction].acknowledged
        for request_id in acknowledged:
            if by_id[request_id][0].statement not in entry.statements:
                self.report("P3", f"{entry} lacks {request_id}")


def _last_value(log, key):
    """Return the last value that a log gives to a key."""
    for entry in reversed(log):
        for statement in reversed(entry.statements):
            if statement["key"] == key:
                return statement["value"]
    return None
