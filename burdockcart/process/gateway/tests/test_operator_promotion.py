"""Tests the promotion of a member by an operator.

A replica that has acknowledged alone is lost together with the primary, so
that no daemon promotes.  Two replicas are left, which lack some commits.
"""

import asyncio

import msgspec
from returns import result
import testtools

from burdockcart import clock
from burdockcart.emulator import host_link
from burdockcart.emulator import wire_connector
from burdockcart.emulator import wire_platform
from burdockcart import ids
from burdockcart.process.gateway import application
from burdockcart.process.gateway.promotion import group_look
from burdockcart.process.gateway.promotion import operator_promotion
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_primary_absence
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP
CLAIM_TTL_S = 3.0
#: Members that are lost, as an operator names them.
LOST = ("m-a/1", "m-c/1")
Outcome = operator_promotion.Outcome
Verdict = group_look.Verdict


class Host:
    """Access of the operator's host to the platform and the members."""

    def __init__(self, deployment):
        self.connector = wire_connector.EmulatedConnector(
            deployment.group.member_by_id
        )
        self.platform = wire_platform.EmulatedPlatformClient(
            deployment.platform, host_link.HostLink()
        )

    def command(self, name="ann", notice_s=2.0):
        """Return a command of an operator."""
        return operator_promotion.OperatorPromotion(
            ids.DaemonId(f"operator/{name}/1"),
            self.platform,
            self.connector,
            clock.LoopClock(),
            gateway_deployment.SuspendableClock(),
            application._wall_ms,
            CLAIM_TTL_S,
            notice_s,
            True,
        )

    async def promote(self, member, accepted=LOST, name="ann"):
        """Run a command to its end."""
        return await self.command(name).run(
            GROUP, ids.MemberId(member), accepted
        )

    async def look(self):
        """Return what the operator sees."""
        found = await group_look.look(
            GROUP, self.platform, self.connector, application._wall_ms()
        )
        found.unwrap().close()
        return found.unwrap()


async def lose_two(deployment):
    """Lose the primary and the replica that has acknowledged alone."""
    primary, first, lost = deployment.members
    second = test_replica_rosters.new_member(deployment, "m-d")
    await test_failover.writes_for(deployment, 3.0)
    first.replication_cut = second.replication_cut = True
    await test_failover.writes_for(deployment, 0.5)
    for each in (primary, lost):
        each.crash()
        deployment.platform.remove_member(each.id)
    first.replication_cut = second.replication_cut = False
    await asyncio.sleep(5.0)
    return primary, first, second


def scenario(check, daemons=2, **options):
    """Run a check after the loss of two members."""

    async def whole(deployment):
        members = await lose_two(deployment)
        await check(deployment, Host(deployment), *members)

    test_sessions.scenario(whole, daemons=daemons, **options)


def record_of(deployment):
    """Return the promotion record and its position."""
    return deployment.platform.record_by_group[GROUP]


async def claimed(deployment):
    """Wait until an operator has claimed the promotion."""
    await gateway_deployment.until(
        lambda: record_of(deployment)[0].holder.startswith("operator/")
    )


def believe_proved(daemon):
    """Let a daemon take any log for complete."""
    daemon.group_by_id[GROUP].roster.gap = lambda asked, primary=None: None


class OperatorCase(testtools.TestCase):
    """Checks that a command has done nothing."""

    def assert_untouched(self, deployment, ending, outcome):
        self.assertIs(outcome, ending.outcome, ending)
        self.assertEqual([], deployment.platform.promotions)
        self.assertEqual({}, deployment.platform.operator_promotions)
        record, _ = record_of(deployment)
        self.assertFalse(record.holder.startswith("operator/"))


class TestLook(OperatorCase):
    """What an operator is shown."""

    def test_primary_that_the_roster_lacks(self):
        """The daemons count it, so it must not pass for a proof."""

        async def check(deployment, host, primary, first, second):
            lost = deployment.group.member_by_id["m-c"]
            deployment.enter(lost)
            deployment.platform.record_roster(GROUP, [first, second, lost])
            deployment.platform.remove_member(lost.id)
            deployment.enter(primary)
            seen = await host.look()
            self.assertEqual(sorted(LOST), seen.missing(first.id))
            self.assertIs(Verdict.UNPROVED, seen.verdict(CLAIM_TTL_S))

        scenario(check)

    def test_group_without_a_proof(self):
        """Each member, its position, and what may be missing must be shown."""

        async def check(deployment, host, primary, first, second):
            seen = await host.look()
            lines = seen.lines(CLAIM_TTL_S, "group")
            received = first.received()
            for line in (
                f"group=g primary=- verdict={Verdict.UNPROVED.value!r}",
                "member=m-a start=1 listed=no state=- "
                "no answer: connection refused",
                "member=m-b start=1 listed=yes state=ready role=replica "
                f"term=1 position={received} on_hold=no",
                f"promoting m-b may lose commits after {received} that only "
                "these hold: m-a/1 m-c/1",
                "  group promote g m-b --accept-loss m-a/1 "
                "--accept-loss m-c/1",
            ):
                self.assertIn(line, lines)
            self.assertLess(first.received(), primary.received())

        scenario(check)

    def test_primary_that_leads(self):
        """A healthy group must not be offered for a promotion."""

        async def check(deployment):
            seen = await Host(deployment).look()
            lines = seen.lines(CLAIM_TTL_S, "group")
            self.assertEqual(
                "group=g primary=m-a/1 verdict='a member leads'", lines[0]
            )
            self.assertNotIn("--accept-loss", "\n".join(lines))

        test_sessions.scenario(check)

    def test_member_that_holds_less(self):
        """Only the longest log that answers may be offered."""

        async def check(deployment, host, primary, first, second):
            second.log.pop()
            lines = (await host.look()).lines(CLAIM_TTL_S, "group")
            (line,) = [each for each in lines if each.startswith("not ")]
            self.assertIn("not m-d: m-b holds more", line)
            ending = await host.promote("m-d")
            self.assert_untouched(deployment, ending, Outcome.REFUSED)
            self.assertEqual("m-b holds more", ending.reason)

        scenario(check)

    def test_unknown_history(self):
        """Without a roster, any member may have held commits."""

        async def check(deployment, host, primary, first, second):
            del deployment.platform.roster_by_group[GROUP]
            seen = await host.look()
            self.assertEqual(["history"], seen.missing(first.id))
            ending = await host.promote("m-b")
            self.assertIs(Outcome.NOT_ACCEPTED, ending.outcome)

        scenario(check)


class TestRefusals(OperatorCase):
    """Commands that must not do anything."""

    def test_primary_that_leads(self):
        """A primary that answers must never be replaced by the command."""

        async def check(deployment):
            host = Host(deployment)
            for member, outcome in (
                ("m-b", Outcome.REFUSED),
                ("m-a", Outcome.LEADS_ALREADY),
            ):
                ending = await host.promote(member)
                self.assertIs(outcome, ending.outcome)
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual({}, deployment.platform.operator_promotions)

        test_sessions.scenario(check)

    def test_primary_that_the_host_does_not_reach(self):
        """A primary that only the operator's host misses must stay.

        It renews its entry in the store.  The daemons must be able to replace
        it at once if it fails later.
        """

        async def check(deployment):
            host = Host(deployment)
            primary, first, lost = deployment.members
            host.connector.cut |= {primary.id, lost.id}

            async def renew():
                entry = deployment.platform.entry_by_id[primary.id]
                for sequence in range(1, 100):
                    await asyncio.sleep(1.0)
                    deployment.platform.put_member(
                        msgspec.structs.replace(entry, sequence=sequence)
                    )

            renewing = asyncio.create_task(renew())
            ending = await host.promote("m-b")
            renewing.cancel()
            self.assertEqual(
                operator_promotion.Ending(
                    Outcome.REFUSED, Verdict.RENEWED.value
                ),
                ending,
            )
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual({}, deployment.platform.operator_promotions)
            self.assertTrue(record_of(deployment)[0].settled)
            replies = await test_failover.writes_for(deployment, 0.5)
            self.assertTrue(
                all(gateway_deployment.ok(each) for _, each in replies)
            )
            primary.crash()
            await gateway_deployment.until(
                lambda: first.leads or lost.leads, within_s=2.5
            )

        test_sessions.scenario(check)

    def test_proof(self):
        """What the daemons can prove must be left to them."""

        async def check(deployment):
            await test_failover.writes_for(deployment, 1.0)
            deployment.group.primary.crash()
            ending = await Host(deployment).promote("m-b")
            self.assertEqual(
                operator_promotion.Ending(
                    Outcome.REFUSED, Verdict.PROVED.value
                ),
                ending,
            )
            self.assertEqual({}, deployment.platform.operator_promotions)
            await asyncio.sleep(3.0)
            self.assertEqual([], test_failover.lost_commits(deployment))

        test_sessions.scenario(check)

    def test_loss_that_is_not_accepted(self):
        """Each member that may hold commits must be accepted by name."""

        async def check(deployment, host, *members):
            for accepted, names in (
                ((), "m-a/1 m-c/1"),
                (("m-c/1",), "m-a/1"),
                (("m-a", "m-c"), "m-a/1 m-c/1"),
                (("m-a/1", "m-c/2"), "m-c/1"),
            ):
                ending = await host.promote("m-b", accepted)
                self.assert_untouched(deployment, ending, Outcome.NOT_ACCEPTED)
                self.assertEqual(f"not accepted: {names}", ending.reason)

        scenario(check)

    def test_member_that_does_not_answer(self):
        """Only a listed replica that answers can be promoted."""

        async def check(deployment, host, *members):
            for member in ("m-c", "m-x"):
                ending = await host.promote(member)
                self.assert_untouched(deployment, ending, Outcome.REFUSED)

        scenario(check)

    def test_restored_store(self):
        """Calls may be open that a restored store does not name yet."""

        async def check(deployment, host, *members):
            deployment.platform.restore(deployment.platform.copy())
            ending = await host.promote("m-b")
            self.assertEqual(
                operator_promotion.Ending(
                    Outcome.REFUSED, Verdict.RESTORED.value
                ),
                ending,
            )
            self.assertEqual([], deployment.platform.promotions)

        scenario(check)

    def test_lost_member_that_comes_back(self):
        """The proof may be there again when the command is about to call."""

        async def check(deployment, host, primary, first, second):
            lost = deployment.members[2]
            running = asyncio.create_task(host.promote("m-b"))
            await claimed(deployment)
            lost.crashed = False
            deployment.enter(lost)
            ending = await running
            self.assertEqual(
                operator_promotion.Ending(
                    Outcome.REFUSED, Verdict.PROVED.value
                ),
                ending,
            )
            await gateway_deployment.until(lambda: lost.leads, within_s=5.0)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check)

    def test_audit_that_cannot_be_written(self):
        """Nothing may be promoted without an audit record."""

        async def check(deployment, host, primary, first, second):
            async def refuse(*arguments):
                return result.Failure(coordination.CallFault.UNAVAILABLE)

            deployment.platform.record_operator_promotion = refuse
            ending = await host.promote("m-b")
            self.assertIs(Outcome.FAILED, ending.outcome)
            self.assertEqual([], deployment.platform.promotions)
            self.assertTrue(record_of(deployment)[0].settled)
            self.assertIsNone(second.held_term)

        scenario(check)


class TestPromotion(OperatorCase):
    """A member is promoted, and the daemons follow."""

    def test_promotion(self):
        """The group must be served again; only the accepted loss is lost."""

        async def check(deployment, host, primary, first, second):
            platform = deployment.platform
            received = first.received()
            _, before = record_of(deployment)
            ending = await host.promote("m-b")
            self.assertEqual(
                operator_promotion.Ending(Outcome.DONE, "m-b leads"), ending
            )
            ((_, member, token),) = platform.promotions
            self.assertEqual(first.id, member)
            self.assertGreater(token, before)
            self.assertTrue(record_of(deployment)[0].settled)
            self.assertEqual(
                [each for each in primary.log if each.position > received],
                [
                    each
                    for each in primary.log
                    if each.position in test_failover.lost_commits(deployment)
                ],
            )
            replies = await test_failover.writes_for(deployment, 2.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            for daemon in deployment.daemons:
                self.assertEqual(
                    [("none", 0.0)], test_primary_absence.samples(daemon)
                )
            self.assertEqual(1, len(platform.promotions))

        scenario(check, daemons=3)

    def test_audit(self):
        """The record must tell who gave up what, and how it ended."""

        async def check(deployment, host, primary, first, second):
            received = first.received()
            await host.promote("m-b")
            ((key, audit),) = deployment.platform.operator_promotions.items()
            self.assertEqual((GROUP, audit.token), key)
            self.assertEqual("operator/ann/1", audit.holder)
            self.assertEqual(first.id, audit.member)
            self.assertEqual(LOST, audit.accepted)
            self.assertEqual(received, audit.received)
            self.assertEqual(
                {"m-b/1": received, "m-d/1": second.log[-1].position},
                audit.received_by_member,
            )
            self.assertEqual("done: m-b leads", audit.outcome)

        scenario(check)

    def test_audit_without_the_outcome(self):
        """An outcome that the store did not take must be told."""

        async def check(deployment, host, primary, first, second):
            write = deployment.platform.record_operator_promotion

            async def fail_later(record, era):
                if record.outcome:
                    return result.Failure(coordination.CallFault.NO_ANSWER)
                return await write(record, era)

            deployment.platform.record_operator_promotion = fail_later
            self.assertEqual(
                operator_promotion.Ending(
                    Outcome.DONE, "m-b leads; the audit record lacks that"
                ),
                await host.promote("m-b"),
            )

        scenario(check)

    def test_daemons_know_the_member_before(self):
        """Each daemon must know the member when replicas are put on hold."""

        async def check(deployment, host, primary, first, second):
            loop = asyncio.get_running_loop()
            running = asyncio.create_task(host.promote("m-b"))
            await claimed(deployment)
            claimed_at = loop.time()
            await gateway_deployment.until(
                lambda: second.held_term is not None
            )
            held_at = loop.time()
            known = [
                each._open_calls.candidate(GROUP)
                for each in deployment.daemons
            ]
            await running
            self.assertGreaterEqual(held_at - claimed_at, CLAIM_TTL_S)
            self.assertEqual([first.id, first.id, first.id], known)

        scenario(check, daemons=3)

    def test_daemons_that_poll_seldom(self):
        """The claim must be held until they know the member."""

        async def check(deployment, host, primary, first, second):
            loop = asyncio.get_running_loop()
            command = host.command(notice_s=7.0)
            running = asyncio.create_task(command.run(GROUP, "m-b", LOST))
            await claimed(deployment)
            claimed_at = loop.time()
            await gateway_deployment.until(
                lambda: second.held_term is not None
            )
            self.assertGreaterEqual(loop.time() - claimed_at, 7.0)
            ending = await running
            self.assertIs(Outcome.DONE, ending.outcome)

        scenario(check)

    def test_daemons_beside_it(self):
        """Daemons that would promote another member must not.

        They take the logs for complete once the operator has claimed.
        """

        async def check(deployment, host, primary, first, second):
            running = asyncio.create_task(host.promote("m-b"))
            await claimed(deployment)
            for daemon in deployment.daemons:
                believe_proved(daemon)
            ending = await running
            self.assertIs(Outcome.DONE, ending.outcome)
            await asyncio.sleep(8.0)
            self.assertEqual(
                [first.id],
                [member for _, member, _ in deployment.platform.promotions],
            )

        scenario(check, daemons=3)

    def test_attempt_of_a_daemon_that_has_begun(self):
        """A daemon whose claim was replaced must not call.

        It is between its claim and its call.
        """

        async def check(deployment, host, primary, first, second):
            daemon = deployment.daemons[0]
            believe_proved(daemon)
            platform = deployment.platform
            claim = platform.claim_promotion
            waiting = asyncio.Event()

            async def claim_late(group, record, expected):
                if record.holder == "d0" and record.candidate is not None:
                    waiting.set()
                    await claimed(deployment)
                return await claim(group, record, expected)

            platform.claim_promotion = claim_late
            await asyncio.wait_for(waiting.wait(), 10.0)
            ending = await host.promote("m-b")
            self.assertIs(Outcome.DONE, ending.outcome, ending)
            await asyncio.sleep(5.0)
            self.assertEqual(
                [first.id], [member for _, member, _ in platform.promotions]
            )

        scenario(check, daemons=1)

    async def call_late(self, deployment):
        """Let a daemon call for a member; the calls are carried out late."""
        platform = deployment.platform
        platform.late_s = 12.0
        platform.lose_promotions = 3
        roster = deployment.daemons[0].group_by_id[GROUP].roster
        believe_proved(deployment.daemons[0])
        await gateway_deployment.until(lambda: not platform.lose_promotions)
        del roster.gap
        return record_of(deployment)[0].candidate

    def test_open_call_for_another_member(self):
        """A second member must not be promoted while a call is open."""

        async def check(deployment, host, primary, first, second):
            called = await self.call_late(deployment)
            self.assertEqual(second.id, called)
            ending = await host.promote("m-b")
            self.assertEqual(
                operator_promotion.Ending(
                    Outcome.REFUSED, Verdict.CALL_OPEN.value
                ),
                ending,
            )
            holder = record_of(deployment)[0].holder
            self.assertFalse(holder.startswith("operator/"))
            await asyncio.sleep(14.0)
            self.assertEqual(
                {second.id},
                {member for _, member, _ in deployment.platform.promotions},
            )

        scenario(check, daemons=1)

    def test_call_that_begins_meanwhile(self):
        """A daemon may call after the command has looked."""

        async def check(deployment, host, primary, first, second):
            platform = deployment.platform
            claim = platform.claim_promotion
            written = []

            async def claim_second(group, record, expected):
                if record.holder.startswith("operator/") and not written:
                    known, revision = record_of(deployment)
                    written.append(
                        await claim(
                            group,
                            msgspec.structs.replace(
                                known,
                                attempt="other",
                                candidate=second.id,
                                called_at_ms=application._wall_ms(),
                                settled=False,
                                reserved=False,
                            ),
                            platform._position(revision),
                        )
                    )
                return await claim(group, record, expected)

            platform.claim_promotion = claim_second
            ending = await host.promote("m-b")
            self.assertEqual(1, len(written))
            self.assertIsInstance(written[0], result.Success)
            self.assertEqual(
                operator_promotion.Ending(
                    Outcome.REFUSED, Verdict.CALL_OPEN.value
                ),
                ending,
            )
            holder = record_of(deployment)[0].holder
            self.assertFalse(holder.startswith("operator/"))
            await asyncio.sleep(1.0)
            self.assertEqual(second.id, record_of(deployment)[0].candidate)
            self.assertEqual([], platform.promotions)

        scenario(check)

    def test_late_call_of_a_daemon(self):
        """Calls of a daemon that arrive late must be fenced off."""

        async def check(deployment, host, primary, first, second):
            await self.call_late(deployment)
            ending = await host.promote("m-d")
            self.assertIs(Outcome.DONE, ending.outcome, ending)
            term = second.term
            await asyncio.sleep(14.0)
            self.assertEqual(1, len(deployment.platform.promotions))
            self.assertEqual(3, len(deployment.platform.refused))
            self.assertEqual((True, term), (second.leads, second.term))

        scenario(check, daemons=1)

    def test_run_twice(self):
        """The second run must find that the member leads."""

        async def check(deployment, host, primary, first, second):
            await host.promote("m-b")
            again = await host.promote("m-b")
            other = await host.promote("m-d")
            self.assertIs(Outcome.LEADS_ALREADY, again.outcome)
            self.assertIs(Outcome.REFUSED, other.outcome)
            self.assertEqual(1, len(deployment.platform.promotions))

        scenario(check)

    def test_two_operators(self):
        """Two operators must not promote two members."""

        for pause_s in (0.0, 0.002, 0.02, 1.0, 2.9, 3.05, 3.2, 3.5):

            async def check(
                deployment, host, primary, first, second, pause_s=pause_s
            ):
                one = asyncio.create_task(host.promote("m-b"))
                await asyncio.sleep(pause_s)
                other = await Host(deployment).promote("m-d", name="eve")
                await one
                promoted = {
                    member for _, member, _ in deployment.platform.promotions
                }
                self.assertEqual(1, len(promoted))
                outcomes = [one.result().outcome, other.outcome]
                self.assertEqual(1, outcomes.count(Outcome.DONE), outcomes)
                if 1.0 <= pause_s < CLAIM_TTL_S:
                    self.assertEqual(
                        [Outcome.DONE, Outcome.CONFLICT], outcomes
                    )

            scenario(check)

    def test_unanswered_call(self):
        """A call without an answer must be told, and a second run help."""

        async def check(deployment, host, primary, first, second):
            platform = deployment.platform
            platform.late_s = 9.0
            platform.lose_promotions = 3
            ending = await host.promote("m-b")
            self.assertIs(Outcome.UNKNOWN, ending.outcome)
            self.assertIsNotNone(second.held_term)
            self.assertEqual(first.id, record_of(deployment)[0].candidate)
            other = await host.promote("m-d", name="eve")
            self.assertIn(other.outcome, (Outcome.CONFLICT, Outcome.REFUSED))
            audits = list(platform.operator_promotions.values())
            self.assertIn("may be carried out", audits[0].outcome)
            await asyncio.sleep(12.0)
            self.assertTrue(first.leads)
            self.assertEqual(
                {first.id}, {member for _, member, _ in platform.promotions}
            )

        scenario(check)

    def test_refused_call(self):
        """A call that the platform refuses must leave nothing on hold."""

        async def check(deployment, host, primary, first, second):
            platform = deployment.platform

            async def refuse(*arguments):
                return result.Failure(coordination.PromotionFault.REJECTED)

            platform.promote = refuse
            ending = await host.promote("m-b")
            self.assertIs(Outcome.FAILED, ending.outcome)
            self.assertEqual((None, None), (first.held_term, second.held_term))
            self.assertTrue(record_of(deployment)[0].settled)

        scenario(check, daemons=1)

    def test_interrupted_command(self):
        """A command that is interrupted must leave nothing behind.

        Neither before any replica is on hold, nor after.
        """

        for held in (False, True):

            async def check(
                deployment, host, primary, first, second, held=held
            ):
                changes = deployment.platform.changes
                hanging = asyncio.Event()

                async def hang(*arguments):
                    if second.held_term is not None:
                        hanging.set()
                        await asyncio.sleep(1.0)
                    return await changes(*arguments)

                deployment.platform.changes = hang
                running = asyncio.create_task(host.promote("m-b"))
                await claimed(deployment)
                if held:
                    await asyncio.wait_for(hanging.wait(), 20.0)
                else:
                    await asyncio.sleep(1.0)
                running.cancel()
                await asyncio.wait([running])
                self.assertTrue(running.cancelled())
                self.assertIsNone(second.held_term)
                self.assertTrue(record_of(deployment)[0].settled)
                self.assertEqual([], deployment.platform.promotions)

            scenario(check, daemons=1)

    def test_member_that_joins(self):
        """A member that nobody has asked may hold commits."""

        async def check(deployment, host, primary, first, second):
            changes = deployment.platform.changes

            async def join(*arguments):
                if second.held_term is not None:
                    deployment.platform.changes = changes
                    test_replica_rosters.new_member(deployment, "m-e")
                return await changes(*arguments)

            deployment.platform.changes = join
            ending = await host.promote("m-b")
            self.assertEqual(
                operator_promotion.Ending(Outcome.FAILED, "m-e has joined"),
                ending,
            )
            self.assertEqual([], deployment.platform.promotions)
            self.assertIsNone(second.held_term)

        scenario(check, daemons=1)

    def test_primary_that_comes_back(self):
        """A primary that answers again must not be replaced.

        It comes back while the replicas are about to be put on hold.
        """

        async def check(deployment, host, primary, first, second):
            running = asyncio.create_task(host.promote("m-b"))
            await claimed(deployment)
            await asyncio.sleep(1.0)
            primary.crashed = False
            deployment.enter(primary)
            ending = await running
            self.assertIs(Outcome.REFUSED, ending.outcome)
            self.assertEqual([], deployment.platform.promotions)
            await asyncio.sleep(2.0)
            replies = await test_failover.writes_for(deployment, 2.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check)
