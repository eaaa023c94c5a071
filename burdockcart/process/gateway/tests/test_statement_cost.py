"""Counts function calls of a statement, which no machine's speed changes."""

import asyncio
import collections
import contextlib
import pathlib
import sys

import testtools

from burdockcart.process.gateway.tests import account_case
from burdockcart.process.gateway.tests import test_account_connections

READS = 20


@contextlib.contextmanager
def counted_calls():
    """Count calls of Python functions by module and name."""
    calls = collections.Counter()

    def note(frame, event, argument):
        if event == "call":
            module = pathlib.Path(frame.f_code.co_filename).stem
            calls[module, frame.f_code.co_name] += 1

    sys.setprofile(note)
    try:
        yield calls
    finally:
        sys.setprofile(None)


class TestStatementCost(testtools.TestCase):
    """A read with an idle connection of its account."""

    def calls(self, accounts):
        """Return the calls of reads of the first of some accounts.

        All of them have idle connections.
        """
        found = collections.Counter()

        async def check(deployment):
            clients = [
                await account_case.client_of(deployment, account)
                for account in accounts
            ]
            await asyncio.gather(
                *(account_case.repeat(each, 4) for each in clients)
            )
            await asyncio.sleep(0.2)
            for _ in range(READS):
                with counted_calls() as calls:
                    reply = await clients[0].read()
                self.assertEqual(1, account_case.answered([reply]))
                found.update(calls)

        test_account_connections.scenario(check, daemons=2)
        return found

    def test_connections_of_other_accounts(self):
        """Guards against a look at all idle connections of a member.

        With 16 accounts the state of 27 connections was looked up for each
        read, which was a quarter of what a key added to its CPU time.
        """
        calls = self.calls(account_case.ACCOUNTS)
        looks = sum(
            count for (_, name), count in calls.items() if name == "closed"
        )
        alone = self.calls(account_case.ACCOUNTS[:1])
        looks_alone = sum(
            count for (_, name), count in alone.items() if name == "closed"
        )
        self.assertGreater(looks_alone, 0)
        # Probes of the members, which use any connection, go on meanwhile.
        self.assertLessEqual(looks, looks_alone + READS)

    def test_labels_of_metrics(self):
        """Guards against a lookup of metrics by label for each statement."""
        calls = self.calls(account_case.ACCOUNTS[:2])
        self.assertEqual(0, calls["metrics", "labels"])

    def test_queue_without_a_choice(self):
        """Guards against the order of accounts for a single statement."""
        calls = self.calls(account_case.ACCOUNTS[:2])
        self.assertEqual(0, calls["account_shares", "ranks"])
        self.assertGreater(calls["account_shares", "begin"], 0)
