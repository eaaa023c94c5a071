"""Generated series of transactions, aborts and faults at both ends of links.

What the emulated members have recorded decides: each statement ran inside the
transaction of its client, no transaction served two clients, and nothing
stays open or taken.
"""

import asyncio

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart import errors
from burdockcart.process.peers.tests import relay_case
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind

CLIENTS = 4
#: Time after which everything that was given up must have ended, in seconds.
SETTLED_S = 6.0
#: What ends connections or statements, and what lasts until it is ended.
BREAKS = ("close sender", "close holder", "abort reads", "end link")
LASTING = (
    "slow link", "fast link", "freeze holder", "thaw", "slow member",
    "fast member", "lose answers", "give answers", "retire list",
    "cut sender", "cut holder", "mend",
)  # fmt: skip

PAUSES = strategies.sampled_from((0.0, 0.002, 0.01, 0.05, 0.15))
STATEMENT = strategies.tuples(
    strategies.sampled_from(("read", "write")), PAUSES
)
#: Statements of a transaction and its end, or single statements.
TRANSACTION = strategies.tuples(
    strategies.lists(STATEMENT, min_size=1, max_size=5),
    strategies.sampled_from(
        ("commit", "commit", "commit", "rollback", "leave", "none")
    ),
)
SCRIPTS = strategies.lists(
    strategies.lists(TRANSACTION, min_size=2, max_size=5),
    min_size=CLIENTS,
    max_size=CLIENTS,
)
DISTURBANCES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(BREAKS) | strategies.sampled_from(LASTING),
        strategies.sampled_from((0.0, 0.005, 0.02, 0.05, 0.1, 0.3)),
    ),
    min_size=5,
    max_size=25,
)


class Actor:
    """A client that runs its script."""

    def __init__(self, deployment, name, number):
        self.name = name
        self._deployment = deployment
        self._number = number
        self._client = None
        self._transaction = None
        #: Transaction of the client, or None, by statement.
        self.transaction_by_statement = {}
        self.reply_by_statement = {}
        self.kind_by_statement = {}

    async def run(self, script):
        """Run transactions one after the other, then leave."""
        for serial, (statements, end) in enumerate(script):
            if self._client is None:
                await self._enter()
            if end != "none":
                await self._client.send(Kind.BEGIN)
                self._transaction = f"{self.name}/{serial}"
            for kind, pause_s in statements:
                await (
                    self._client.read()
                    if kind == "read"
                    else self._client.write()
                )
                self._record()
                await asyncio.sleep(pause_s)
            await self._end(end)
            self._transaction = None
        if self._client is not None:
            self._client.session.close()

    async def _enter(self):
        self._client = await self._deployment.client("live", self._number)
        await self._client.send(
            Kind.SET, "SET who", name="who", argument=self.name
        )

    async def _end(self, end):
        if end == "commit":
            await self._client.send(Kind.COMMIT, "COMMIT")
            self._record()
        elif end == "rollback":
            await self._client.send(Kind.ROLLBACK)
        elif end == "leave":
            self._client.session.close()
            self._client = None

    def _record(self):
        statement, reply = self._client.sent[-1]
        self.transaction_by_statement[statement.id] = self._transaction
        self.reply_by_statement[statement.id] = reply
        self.kind_by_statement[statement.id] = statement.kind

    def promised(self, statement):
        """Return whether the client was told that nothing is kept."""
        reply = self.reply_by_statement[statement]
        if gateway_deployment.ok(reply):
            return False
        effect = errors.answer_for(gateway_deployment.kind_of(reply)).effect
        return effect is errors.Effect.NOT_RUN


class Faults:
    """Disturbs a deployment."""

    def __init__(self, deployment, numbers):
        self._deployment = deployment
        self._numbers = numbers
        self._primary = deployment.group.primary

    def _pools(self, relayed):
        return [
            daemon.group_by_id[relay_case.GROUP].pool_by_member[
                self._primary.id
            ]
            for daemon in self._deployment.daemons
            if relay_case.holds(daemon, self._primary) is not relayed
        ]

    def _holders(self):
        return [
            daemon._settings.daemon
            for daemon in self._deployment.daemons
            if relay_case.holds(daemon, self._primary)
        ]

    def apply(self, fault):
        """Cause a fault or end it."""
        deployment, primary = self._deployment, self._primary
        peers = deployment.peers
        if fault == "abort reads":
            for pool in self._pools(True) + self._pools(False):
                pool.abort_reads()
        elif fault in ("close sender", "close holder"):
            for pool in self._pools(fault == "close sender"):
                for connection in list(pool._busy):
                    connection.channel.close()
        elif fault == "end link":
            for number in self._numbers:
                deployment.daemons[number].relay._links.close()
        elif fault == "slow link":
            peers.latency_s = 0.1
        elif fault == "fast link":
            peers.latency_s = 0.001
        elif fault == "freeze holder":
            peers.frozen.update(self._holders()[:1])
        elif fault == "thaw":
            peers.frozen.clear()
        elif fault == "slow member":
            primary.work_s = 0.15
        elif fault == "fast member":
            primary.work_s = 0.005
        elif fault == "lose answers":
            primary.loses_answers = True
        elif fault == "give answers":
            primary.loses_answers = False
        elif fault == "cut sender":
            for number in self._numbers:
                connector = deployment.daemons[number].connector
                connector.cut.add(primary.id)
        elif fault == "cut holder":
            for daemon in deployment.daemons:
                if daemon._settings.daemon in self._holders()[:1]:
                    daemon.connector.cut.add(primary.id)
        elif fault == "mend":
            for daemon in deployment.daemons:
                daemon.connector.cut.clear()
        elif fault == "retire list":
            for number in self._numbers:
                deployment.daemons[number].relay._links.keep(set())

    def end(self):
        """End all faults."""
        for fault in (
            "fast link", "thaw", "fast member", "give answers", "mend"
        ):  # fmt: skip
            self.apply(fault)


def mixed(deployment, actors):
    """Return statements that ran where they do not belong."""
    found = []
    by_statement = {
        statement: actor
        for actor in actors
        for statement in actor.transaction_by_statement
    }
    owner_by_transaction = {}
    last_by_transaction = {}
    for run in deployment.group.runs:
        actor = by_statement.get(run.statement)
        if actor is None:
            continue
        if run.value_by_name != (("who", actor.name),):
            found.append(("values of another session", run))
        own = actor.transaction_by_statement[run.statement]
        if (own is None) is not (run.transaction is None):
            found.append(("outside of its transaction, or inside one", run))
            continue
        if own is None:
            continue
        if owner_by_transaction.setdefault(run.transaction, own) != own:
            found.append(("transaction of another client", run))
        # Only a statement without an answer may run again elsewhere.
        last = last_by_transaction.get(own)
        place = (run.member, run.transaction)
        if last is not None and last != place:
            found.append(("another connection than before", run))
        if gateway_deployment.ok(actor.reply_by_statement[run.statement]):
            last_by_transaction[own] = place
    return found


def wrongly_kept(deployment, actors):
    """Return writes that were kept against what the client was told."""
    found = []
    kept = [
        statement
        for commit in deployment.group.primary.log
        for statement, _ in commit.writes
    ]
    for actor in actors:
        asked, refused, done = set(), set(), set()
        for statement, own in actor.transaction_by_statement.items():
            if actor.kind_by_statement[statement] is Kind.COMMIT:
                asked.add(own)
                if actor.promised(statement):
                    refused.add(own)
                if gateway_deployment.ok(actor.reply_by_statement[statement]):
                    done.add(own)
        for statement, own in actor.transaction_by_statement.items():
            if actor.kind_by_statement[statement] is not Kind.WRITE:
                continue
            count = kept.count(statement)
            if count > 1:
                found.append(("twice", statement))
            if own is None and count and actor.promised(statement):
                found.append(("kept though refused", statement))
            if own is not None and count and own not in asked:
                found.append(("kept without a COMMIT", statement))
            if own is not None and count and own in refused:
                found.append(("kept though its COMMIT failed", statement))
            told = gateway_deployment.ok(actor.reply_by_statement[statement])
            if told and not count and (own is None or own in done):
                found.append(("lost", statement))
    return found


def relayed_tasks(deployment):
    """Return the requests that holders are running."""
    return {
        task
        for daemon in deployment.daemons
        for session in daemon.relay.service._sessions
        for task in session._tasks
    }


def taken(deployment):
    """Return what is still open or in use."""
    now = asyncio.get_running_loop().time()
    found = [
        ("open at the member", each.transaction)
        for member in deployment.members
        for each in member.connections
        if each.transaction is not None
    ]
    for daemon in deployment.daemons:
        own = daemon._settings.daemon
        pools = daemon.group_by_id[relay_case.GROUP].pool_by_member.values()
        found += [
            ("busy", own, pool.entry.id)
            for pool in pools
            for connection in pool._busy
            # Queries for control take a connection for a moment.
            if now - connection.taken_at > SETTLED_S / 2
        ]
        found += [
            ("held", own, number)
            for session in daemon.relay.service._sessions
            for number in session._transaction_by_number
        ]
        found += [
            ("open on a link", own)
            for link in daemon.relay._links._link_by_daemon.values()
            if not link.is_closed and link._transactions
        ]
    return found


def play(scripts, disturbances):
    """Run a series; return what went wrong."""
    found = []

    async def check(deployment):
        primary = deployment.group.primary
        relaying = relay_case.relaying_daemon(deployment, primary)
        direct = next(
            number
            for number, daemon in enumerate(deployment.daemons)
            if relay_case.holds(daemon, primary)
        )
        actors = [
            Actor(deployment, f"c{each}", direct if each == 0 else relaying)
            for each in range(CLIENTS)
        ]
        faults = Faults(deployment, [relaying])
        acting = [
            asyncio.create_task(actor.run(script))
            for actor, script in zip(actors, scripts, strict=True)
        ]
        for fault, pause_s in disturbances:
            await asyncio.sleep(pause_s)
            faults.apply(fault)
        faults.end()
        await asyncio.gather(*acting)
        await asyncio.sleep(SETTLED_S)
        running = relayed_tasks(deployment)
        # Queries for control run for a moment.
        await asyncio.sleep(1.0)
        found.extend(running & relayed_tasks(deployment))
        found.extend(mixed(deployment, actors))
        found.extend(wrongly_kept(deployment, actors))
        found.extend(taken(deployment))

    relay_case.scenario(check)
    return found


class TestSeries(testtools.TestCase):
    """Series of statements and faults."""

    @hypothesis.settings(
        derandomize=True,
        max_examples=60,
        deadline=None,
        database=None,
        # Shrinking a series takes minutes.
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(SCRIPTS, DISTURBANCES)
    def test_transactions_stay_apart(self, scripts, disturbances):
        """Whatever happens at either end, no transactions mix or leak."""
        self.assertEqual([], play(scripts, disturbances))
