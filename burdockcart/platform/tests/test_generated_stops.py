"""Generated planned stops: what clients are told against what members ran."""

import asyncio
import re

import hypothesis
from hypothesis import strategies
import loguru
import msgspec
import testtools

from burdockcart.platform.tests import memory_clients
from burdockcart.process.gateway.sessions import shutdown_plan
from burdockcart.version import manifest

#: Texts of the refusals of a planned stop.
TOLD = re.compile("is shutting down|closes the session")
#: Errors that promise that nothing of the attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY"}
#: Time after the last signal for which clients send, in seconds.
AFTER_S = 1.0


class Behaviour(msgspec.Struct, frozen=True):
    """What one client does again and again, on one session after the other.

    Parameters
    ==========

    begins_s : float
        When it begins, as a share of the granted time after the signal.
    statements : int
        Statements of each operation; more than one form a transaction.
    takes_after : float
        Time that it takes to read an answer, as a share of the time between
        the last answer and the exit.

    """

    database: str
    begins: float
    statements: int
    writes: bool
    rolls_back: bool
    between_s: float
    pause_s: float
    latency_s: float
    takes_after: float
    starts: bool


class Stop(msgspec.Struct, frozen=True):
    """A deployment, its clients and the signals."""

    granted_s: float
    work_s: float
    timeout_s: float
    second_signal_s: float | None
    silent_at: float | None
    silent: int
    behaviours: list[Behaviour]


BEHAVIOURS = strategies.builds(
    Behaviour,
    database=strategies.sampled_from(["live", "archive", "layers"]),
    begins=strategies.floats(-0.2, 0.95),
    statements=strategies.sampled_from([1, 1, 1, 2, 5]),
    writes=strategies.booleans(),
    rolls_back=strategies.sampled_from([False, False, True]),
    between_s=strategies.sampled_from([0.0, 0.05, 0.4]),
    pause_s=strategies.sampled_from([0.04, 0.1, 0.3, 2.0]),
    latency_s=strategies.sampled_from([0.0005, 0.003, 0.008]),
    takes_after=strategies.sampled_from([0.0, 0.0, 0.1, 0.3]),
    starts=strategies.sampled_from([True, True, True, False]),
)
STOPS = strategies.builds(
    Stop,
    granted_s=strategies.sampled_from([1.5, 3.0, 6.0]),
    work_s=strategies.sampled_from([0.002, 0.03, 0.2]),
    timeout_s=strategies.sampled_from([0.6, 1.5, 5.0]),
    second_signal_s=strategies.none() | strategies.floats(0.0, 3.0),
    silent_at=strategies.none() | strategies.floats(0.0, 0.9),
    silent=strategies.integers(0, 2),
    behaviours=strategies.lists(BEHAVIOURS, min_size=1, max_size=10),
)


def routes(timeout_s):
    """Return routes with one time limit."""
    consistency = manifest.Consistency
    return {
        "live": (consistency.PRIMARY, 0.0, timeout_s, 0.1, 1),
        "archive": (consistency.BOUNDED, 1.5, timeout_s, 0.3, 2),
        "layers": (consistency.READ_YOUR_WRITES, 2.5, timeout_s, 0.2, 2),
    }


class Play:
    """Plays one generated stop."""

    def __init__(self, deployment, stop):
        self.deployment = deployment
        self.stop = stop
        self.daemons = list(deployment.daemons)
        self.clients = []
        self.took_s = []

    def closing_s(self):
        """Return the time between the last answer and the exit."""
        plan = shutdown_plan.ShutdownPlan(self.stop.granted_s)
        return plan.exit_s - plan.answers_by_s

    def connect(self, behaviour):
        """Return a connection to a daemon that accepts, or None."""
        accepting = [each for each in self.daemons if each.clients.accepts]
        if not accepting:
            return None
        daemon = accepting[len(self.clients) % len(accepting)]
        client = memory_clients.Client(daemon.clients, behaviour.latency_s)
        client.takes_after_s = behaviour.takes_after * self.closing_s()
        self.clients.append(client)
        return client

    async def behave(self, behaviour):
        """Run operations until no daemon accepts connections."""
        granted_s = self.stop.granted_s
        await asyncio.sleep((behaviour.begins + 0.2) * granted_s)
        while (client := self.connect(behaviour)) is not None:
            if not behaviour.starts:
                while not client.closed:
                    await asyncio.sleep(0.1)
                continue
            if not await client.start(behaviour.database):
                await asyncio.sleep(0.05)
                continue
            while not client.closed:
                await self.operate(client, behaviour)
                await asyncio.sleep(behaviour.pause_s)

    async def operate(self, client, behaviour):
        """Run one operation; stop at the first error."""
        text = "WRITE 1a4 x" if behaviour.writes else "READ 1a4"
        texts = [text] * behaviour.statements
        if behaviour.statements > 1:
            end = "ROLLBACK" if behaviour.rolls_back else "COMMIT"
            texts = ["BEGIN", *texts, end]
        for each in texts:
            answer = await client.query(each)
            if answer.error is not None:
                if answer.end != "I" and not client.closed:
                    await client.query("ROLLBACK")
                return
            await asyncio.sleep(behaviour.between_s)
            if client.closed:
                return

    async def signal(self, number, at_s):
        """Stop a daemon at a time."""
        await asyncio.sleep(at_s)
        took_s = await self.deployment.end(self.daemons[number])
        self.took_s.append(took_s)

    async def fail_member(self):
        """Let a member answer nothing from some time on."""
        granted_s = self.stop.granted_s
        if self.stop.silent_at is not None:
            await asyncio.sleep((self.stop.silent_at + 0.2) * granted_s)
            self.deployment.members[self.stop.silent].unresponsive = True

    async def run(self):
        """Play the stop to its end."""
        first_s = 0.2 * self.stop.granted_s
        signals = [self.signal(0, first_s)]
        if self.stop.second_signal_s is not None:
            at_s = first_s + self.stop.second_signal_s
            signals.append(self.signal(1, at_s))
        others = [
            asyncio.create_task(each)
            for each in (
                *(self.behave(each) for each in self.stop.behaviours),
                self.fail_member(),
            )
        ]
        await asyncio.gather(*signals)
        await asyncio.sleep(AFTER_S)
        for each in self.clients:
            each.close()
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def play(stop, check):
    """Play a stop in virtual time and check what was seen."""

    async def run(deployment):
        found = Play(deployment, stop)
        await found.run()
        check(found)

    memory_clients.scenario(
        run,
        daemons=1 if stop.second_signal_s is None else 2,
        shutdown_s=stop.granted_s,
        routes=routes(stop.timeout_s),
        work_s=stop.work_s,
    )


class TestGeneratedStops(testtools.TestCase):
    """Properties of every planned stop."""

    def setUp(self):
        super().setUp()
        loguru.logger.disable("burdockcart")
        self.addCleanup(loguru.logger.enable, "burdockcart")

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(STOPS)
    def test_nothing_is_cut(self, stop):
        """Every statement is answered, each refusal is true, the exit in time.

        Clients that the test ends itself are not counted.
        """
        play(stop, self.check)

    def check(self, played):
        """Compare what clients were told with what members ran."""
        for took_s in played.took_s:
            self.assertLess(took_s, 0.95 * played.stop.granted_s)
        group = played.deployment.group
        ran = {run.statement for run in group.runs}
        kept = {
            statement
            for commit in group.primary.log
            for statement, _ in commit.writes
        }
        for client in played.clients:
            self.assertFalse(client.reset, "a connection was reset")
            for line in client.unsolicited:
                self.assertTrue(line.startswith("ERROR "), line)
            for answer in client.answers:
                self.assertIsNotNone(answer.end, f"{answer} was cut")
                if answer.error in PROMISES:
                    self.assertNotIn(answer.id, kept, answer.lines)
                if answer.error == "BUSY" and TOLD.search(answer.lines[0]):
                    self.assertNotIn(answer.id, ran, answer.lines)
                if answer.complete and answer.text.startswith("WRITE"):
                    self.assertIn(answer.id, ran)
