"""Tests what clients are told while a promotion call may be carried out.

The call gets no answer, and its candidate receives nothing for a while.  The
other replicas are on hold; one that starts again, or one that joins, is not,
and acknowledges commits that the candidate lacks.
"""

import asyncio

import msgspec
from returns import result
import testtools

from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import command
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
#: Time from a call until its candidate receives nothing, in seconds.
DEAF_AFTER_S = 1.3
#: Time from then until a member joins or starts again, in seconds.
CHANGE_AFTER_S = 0.8


class Writers:
    """Clients that write all the time, singly and in transactions."""

    def __init__(self, deployment, daemons):
        #: Ids of the writes that clients were told to be done.
        self.told = []
        #: Time of each answer, time that it took, and the outcome.
        self.answers = []
        #: While the candidate receives nothing.
        self.deaf_from = self.deaf_until = 0.0
        self.tasks = [
            asyncio.create_task(write(deployment, number))
            for number in daemons
            for write in (self._write_singly, self._write_in_transactions)
        ]

    async def _note(self, answer):
        """Note an answer; return whether it is a success."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        reply = await answer
        took_s = loop.time() - began_at
        self.answers.append((loop.time(), took_s, reply.outcome))
        await asyncio.sleep(0.03)
        return gateway_deployment.ok(reply)

    async def _write_singly(self, deployment, number):
        client = await deployment.client("live", number)
        while True:
            if await self._note(client.write()):
                self.told.append(client.sent[-1][0].id)

    async def _write_in_transactions(self, deployment, number):
        client = await deployment.client("live", number)
        kind = command.CommandKind
        while True:
            begun = await client.send(kind.BEGIN, "BEGIN")
            written = await client.write()
            write = client.sent[-1][0].id
            if not all(map(gateway_deployment.ok, (begun, written))):
                await client.send(kind.ROLLBACK, "ROLLBACK")
                await asyncio.sleep(0.05)
            elif await self._note(client.send(kind.COMMIT, "COMMIT")):
                self.told.append(write)

    def stop(self):
        """End all clients."""
        for each in self.tasks:
            each.cancel()

    def lost(self, primary):
        """Return the writes told to be done that a primary lacks."""
        kept = {write for commit in primary.log for write, _ in commit.writes}
        return [each for each in self.told if each not in kept]


class Calls:
    """Promotion service that leaves calls without an answer.

    Parameters
    ==========

    all_late : bool
        Whether each call is carried out late; otherwise only the first one
        is, and the others are refused.

    """

    def __init__(self, deployment, late_s, all_late):
        self.first = asyncio.get_running_loop().create_future()
        self._platform = deployment.platform
        self._late_s, self._all_late = late_s, all_late
        deployment.platform.promote = self._promote

    async def _promote(self, group, member, holder, token):
        if self.first.done() and not self._all_late:
            return result.Failure(coordination.PromotionFault.UNAVAILABLE)
        if not self.first.done():
            self.first.set_result((member, holder))
        asyncio.get_running_loop().call_later(
            self._late_s, self._platform.apply_promotion, group, member, token
        )
        await asyncio.sleep(1.0)
        return result.Failure(coordination.PromotionFault.NO_ANSWER)


async def start_again(deployment, member):
    """Start a replica again with its log; that ends its hold."""
    member.crash()
    await asyncio.sleep(0.3)
    member.crashed, member.held_term = False, None
    entry = deployment.platform.entry_by_id[member.id]
    deployment.platform.put_member(
        msgspec.structs.replace(entry, started_ms=entry.started_ms + 1)
    )
    member.catch_up()


class TestOpenCall(testtools.TestCase):
    """A call is carried out late, and its candidate lags until then."""

    def play(self, change, late_s=6.0, deaf_s=6.0, all_late=False, **options):
        """Play the time of such a call; return the clients.

        Parameters
        ==========

        change : callable
            Called with the deployment and the replica on hold.
        begin : callable
            Called with the deployment before the primary drains.
        called : callable
            Called with the deployment and the daemon that has called.

        """
        begin = options.pop("begin", None)
        called = options.pop("called", None)
        played = []

        async def check(deployment):
            primary = deployment.group.primary
            writers = Writers(deployment, range(len(deployment.daemons)))
            calls = Calls(deployment, late_s, all_late)
            await asyncio.sleep(1.0)
            if begin is not None:
                begin(deployment)
            deployment.enter(primary, manifest.MemberState.DRAINING)
            name, holder = await asyncio.wait_for(calls.first, 8.0)
            candidate = deployment.group.member_by_id[name]
            if called is not None:
                await called(deployment, holder)
            await asyncio.sleep(DEAF_AFTER_S)
            candidate.replication_cut = True
            writers.deaf_from = asyncio.get_running_loop().time()
            held = next(
                each
                for each in deployment.members
                if each not in (primary, candidate)
            )
            await asyncio.sleep(CHANGE_AFTER_S)
            await change(deployment, held)
            await asyncio.sleep(deaf_s - CHANGE_AFTER_S)
            candidate.replication_cut = False
            writers.deaf_until = asyncio.get_running_loop().time()
            candidate.catch_up()
            await asyncio.sleep(4.0 + max(0.0, late_s - deaf_s))
            writers.stop()
            self.assertIs(candidate, deployment.group.primary)
            self.assertGreater(len(writers.told), 50)
            self.assertEqual([], writers.lost(candidate))
            played.append(writers)

        test_sessions.scenario(check, daemons=3, **options)
        return played[0]

    async def join(self, deployment, held):
        """Let another replica join."""
        joined = test_replica_rosters.new_member(deployment, "m-d")
        joined.catch_up()

    async def restart(self, deployment, held):
        """Let the replica on hold start again."""
        await start_again(deployment, held)

    async def unchanged(self, deployment, held):
        """Let no member join or start again."""

    def test_member_joins(self):
        """What only a member that joined has must not be told as done."""
        for late_s, deaf_s in ((4.0, 6.0), (6.0, 6.0), (12.0, 11.0)):
            for all_late in (False, True):
                with self.subTest(late_s=late_s, all_late=all_late):
                    self.play(self.join, late_s, deaf_s, all_late)

    def test_held_replica_starts_again(self):
        """What only a replica has that is not on hold any more, either."""
        for late_s, deaf_s in ((4.0, 6.0), (6.0, 6.0), (12.0, 11.0)):
            for all_late in (False, True):
                with self.subTest(late_s=late_s, all_late=all_late):
                    self.play(self.restart, late_s, deaf_s, all_late)

    def test_caller_is_gone(self):
        """The other daemons must know of a call whose sender is gone."""

        async def stop_caller(deployment, holder):
            for number, each in enumerate(deployment.daemons):
                if each._settings.daemon == holder:
                    each.link.cut = True
                    await each.stop()

        for change in (self.join, self.restart):
            with self.subTest(change=change.__name__):
                self.play(change, called=stop_caller)

    def test_daemon_without_the_store(self):
        """A daemon that has not read the store must expect a call."""

        def cut(deployment):
            deployment.daemons[-1].link.store_cut = True

        for change in (self.join, self.restart):
            with self.subTest(change=change.__name__):
                self.play(change, begin=cut)

    def test_writes_are_refused_at_once(self):
        """While the candidate lags, no write may wait for its deadline."""
        writers = self.play(self.unchanged)
        refused = [
            took_s
            for at, took_s, outcome in writers.answers
            if isinstance(outcome, result.Failure)
            and writers.deaf_from + 1.0 < at < writers.deaf_until
        ]
        self.assertGreater(len(refused), 50)
        self.assertLess(max(refused), 0.05)

    def test_look_that_has_failed(self):
        """Writes must not be refused for ever after an unexpected error."""

        async def check(deployment):
            guard = deployment.daemons[0].group_by_id[GROUP].commits
            guard.blocked = True
            client = await deployment.client("live")
            self.assertFalse(gateway_deployment.ok(await client.write()))
            await asyncio.sleep(0.1)
            self.assertTrue(gateway_deployment.ok(await client.write()))

        test_sessions.scenario(check, daemons=1)


class TestPlannedReplacement(testtools.TestCase):
    """The candidate is recorded ahead, with nothing on hold."""

    def test_prepared_member_is_lost(self):
        """Another member must be recorded, and promoted in time."""

        async def check(deployment):
            primary = deployment.group.primary
            writers = Writers(deployment, range(3))
            # Tokens are reserved by then.
            await asyncio.sleep(3.0)
            deployment.enter(primary, manifest.MemberState.DRAINING)
            record = deployment.platform.record_by_group
            await gateway_deployment.until(
                lambda: record[GROUP][0].prepared is not None
            )
            name = record[GROUP][0].prepared
            lost = deployment.group.member_by_id[name]
            lost.crash()
            deployment.platform.remove_member(lost.id)
            await gateway_deployment.until(lambda: not primary.leads, 8.0)
            await asyncio.sleep(1.0)
            writers.stop()
            self.assertEqual([], writers.lost(deployment.group.primary))

        test_sessions.scenario(check, daemons=3)

    def test_candidate_that_always_lags(self):
        """A candidate 150 ms behind must not keep writes from the primary."""

        async def check(deployment):
            writers = Writers(deployment, range(3))
            await asyncio.sleep(1.0)
            deployment.enter(
                deployment.group.primary, manifest.MemberState.DRAINING
            )
            record = deployment.platform.record_by_group
            await gateway_deployment.until(
                lambda: GROUP in record
                and record[GROUP][0].prepared is not None
            )
            name = record[GROUP][0].prepared
            candidate = deployment.group.member_by_id[name]
            loop = asyncio.get_running_loop()
            receive, began_at = candidate.receive, loop.time()
            candidate.receive = lambda commits: loop.call_later(
                0.15, receive, commits
            )
            await asyncio.sleep(1.8)
            writers.stop()
            refused = [
                at
                for at, _, outcome in writers.answers
                if isinstance(outcome, result.Failure) and at > began_at
            ]
            self.assertEqual([], refused)

        test_sessions.scenario(check, daemons=3)

    def test_all_daemons_know_before_the_call(self):
        """A poll must lie between the record and the first hold."""

        async def check(deployment):
            primary = deployment.group.primary
            replicas = [e for e in deployment.members if e is not primary]
            deployment.enter(primary, manifest.MemberState.DRAINING)
            await gateway_deployment.until(
                lambda: any(each.held_term for each in replicas)
            )
            name = deployment.platform.record_by_group[GROUP][0].prepared
            self.assertIsNotNone(name)
            for daemon in deployment.daemons:
                group = daemon.group_by_id[GROUP]
                self.assertEqual(name, daemon._open_calls.candidate(group.id))

        test_sessions.scenario(check, daemons=3)

    def test_candidate_that_is_on_hold(self):
        """A candidate must receive when the platform is called.

        Another daemon, whose claim has expired since, has put it on hold.
        """

        async def check(deployment):
            primary = deployment.group.primary
            replicas = [e for e in deployment.members if e is not primary]
            calls = Calls(deployment, 0.1, all_late=False)
            await asyncio.sleep(3.0)
            for each in replicas:
                each.held_term = 9
            deployment.enter(primary, manifest.MemberState.DRAINING)
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            self.assertEqual(
                [name], [e.id for e in replicas if e.held_term is None]
            )

        test_sessions.scenario(check, daemons=2)
