"""Tests what the log tells about the commits that a promotion discards."""

import asyncio

import testtools

from burdockcart.connection import member_channel
from burdockcart.process.gateway.promotion import promotion_audit
from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_own_link
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import command
from burdockcart.request import log_position
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
scenario = test_sessions.scenario
logged = test_own_link.logged
fields = test_own_link.fields


class TestPromotionCalled(testtools.TestCase):
    """One line tells which logs a promotion went by."""

    def test_positions_before_the_call(self):
        """Without them nobody can tell why a promotion lost commits."""

        async def check(deployment):
            primary = deployment.group.primary
            await (await deployment.client("live")).write()
            await asyncio.sleep(1.0)
            position = primary.received()
            with logged("promotion_called") as lines:
                deployment.enter(primary, manifest.MemberState.DRAINING)
                await gateway_deployment.until(lambda: not primary.leads)
            (line,) = lines
            found = fields(line)
            promoted = deployment.group.primary
            _, _, token = deployment.platform.promotions[-1]
            self.assertEqual(
                ("g", "m-a", promoted.id, str(token), "m-a/1"),
                tuple(
                    found[name]
                    for name in (
                        "group",
                        "primary",
                        "candidate",
                        "token",
                        "not_asked",
                    )
                ),
            )
            at = f"{position.term}.{position.number}"
            self.assertEqual(f"m-b:{at},m-c:{at}", found["received"])
            self.assertIn("cause='drains'", line)

        scenario(check, daemons=2)


class TestDiscardedCommits(testtools.TestCase):
    """What members report after a promotion shows what was discarded."""

    def observe(self, audit, member, role, term, *received):
        status = member_channel.MemberStatus(
            member_channel.Role[role],
            term,
            log_position.LogPosition(*received),
        )
        return [
            (each.member, each.led, each.commits)
            for each in audit.observe(member, status)
        ]

    def test_reported_before_and_after(self):
        """A member that drops its commits soon must not hide them."""
        audit = promotion_audit.PromotionAudit()
        self.assertEqual([], self.observe(audit, "a", "PRIMARY", 1, 1, 9))
        self.assertEqual([], self.observe(audit, "d", "REPLICA", 1, 1, 8))
        self.assertEqual([], self.observe(audit, "c", "REPLICA", 1, 1, 6))
        self.assertEqual(
            [("a", True, 2), ("d", False, 1)],
            self.observe(audit, "b", "PRIMARY", 2, 1, 7),
        )
        self.assertEqual([], self.observe(audit, "c", "REPLICA", 1, 1, 7))
        self.assertEqual(
            [("c", False, 3)], self.observe(audit, "c", "REPLICA", 1, 1, 10)
        )

    def test_found_once(self):
        """Each commit is counted once, also after another promotion."""
        audit = promotion_audit.PromotionAudit()
        self.observe(audit, "b", "PRIMARY", 2, 1, 7)
        for number, commits in ((9, 2), (9, None), (10, 1)):
            self.assertEqual(
                [("c", False, commits)] if commits else [],
                self.observe(audit, "c", "REPLICA", 1, 1, number),
            )
        self.assertEqual([], self.observe(audit, "d", "PRIMARY", 3, 1, 7))
        self.assertEqual([], self.observe(audit, "c", "REPLICA", 1, 1, 10))

    def test_beginning_not_seen(self):
        """After its first commit a primary does not tell what it lacked."""
        audit = promotion_audit.PromotionAudit()
        self.observe(audit, "a", "PRIMARY", 1, 1, 9)
        self.assertEqual([], self.observe(audit, "b", "PRIMARY", 2, 2, 8))
        self.assertEqual([], self.observe(audit, "c", "REPLICA", 1, 1, 10))

    def test_commits_of_a_term_that_the_promoted_member_lacks(self):
        """Their number is not known, but there is one at least."""
        audit = promotion_audit.PromotionAudit()
        self.observe(audit, "b", "PRIMARY", 3, 1, 7)
        self.assertEqual(
            [("c", False, 1)], self.observe(audit, "c", "REPLICA", 2, 2, 20)
        )

    def test_members_kept(self):
        """Members that come and go must not be kept without a limit."""
        audit = promotion_audit.PromotionAudit()
        for number in range(3 * promotion_audit.MEMBERS_KEPT):
            self.observe(audit, f"m{number}", "REPLICA", 1, 1, number)
        found = self.observe(audit, "b", "PRIMARY", 2, 1, 0)
        self.assertEqual(promotion_audit.MEMBERS_KEPT - 1, len(found))

    def test_member_that_was_not_asked(self):
        """The issue: what a newcomer alone acknowledged left no trace.

        It is cut off when the promotion takes effect, so that it still has
        its log at the first contact.
        """

        async def check(deployment):
            primary = deployment.group.primary
            calls = test_open_calls.Calls(deployment, 3.0, all_late=False)
            await asyncio.sleep(3.0)
            deployment.enter(primary, manifest.MemberState.DRAINING)
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            candidate = deployment.group.member_by_id[name]
            await asyncio.sleep(1.0)
            joined = test_replica_rosters.new_member(deployment, "m-d")
            candidate.replication_cut = True
            received = candidate.received()
            for number in range(3):
                primary.commit([(f"late{number}", "WRITE 1a4 x")])
            self.assertEqual(3, joined.received().number - received.number)
            log = list(joined.log)
            with logged("commits_discarded", "term_begun") as lines:
                await gateway_deployment.until(lambda: candidate.leads)
                joined.log = log
                await asyncio.sleep(1.0)
            at = f"{received.term}.{received.number}"
            begun = [each for each in lines if "=term_begun " in each]
            self.assertEqual(
                {("g", name, "2", at)},
                {
                    tuple(
                        fields(each)[field]
                        for field in ("group", "member", "term", "received")
                    )
                    for each in begun
                },
            )
            found = [fields(e) for e in lines if "member=m-d" in e]
            self.assertEqual(len(begun), len(found))
            for each in found:
                self.assertEqual(
                    ("False", name, at, "3"),
                    (
                        each["led"],
                        each["promoted"],
                        each["received"],
                        each["commits"],
                    ),
                )
            line = b'discarded_total{group="g",led="false"} 3.0'
            self.assertIn(line, deployment.daemons[0].measure())

        scenario(check, daemons=2)

    def test_calm_day(self):
        """Without a promotion, only the primary's position is sampled."""

        async def check(deployment):
            asked = []
            for daemon in deployment.daemons:
                group = daemon.group_by_id[GROUP]
                for pool in group.pool_by_member.values():
                    observe = pool._observed
                    pool._observed = lambda *each, known=observe: (
                        asked.append(each),
                        known(*each),
                    )
            client = await deployment.client("live")
            for _ in range(100):
                self.assertTrue(gateway_deployment.ok(await client.write()))
                await asyncio.sleep(0.05)
            self.assertEqual({"m-a"}, {member for member, _ in asked})
            for daemon in deployment.daemons:
                self.assertIsNone(daemon.group_by_id[GROUP].watch._asking)

        scenario(check, daemons=2)


class TestAcknowledgedCommits(testtools.TestCase):
    """Commits passed on as done that a promotion discards are reported."""

    def test_before_and_after_the_promotion(self):
        """Success may be passed on before and after the new term is known."""
        audit = promotion_audit.PromotionAudit()
        at = log_position.LogPosition
        self.assertIsNone(audit.pass_on(at(1, 8)))
        self.assertIsNone(audit.pass_on(at(1, 7)))
        (found,) = audit.observe(
            "b",
            member_channel.MemberStatus(
                member_channel.Role.PRIMARY, 2, at(1, 7)
            ),
        )
        self.assertEqual(
            (None, at(1, 8), 1), (found.member, found.position, found.commits)
        )
        self.assertEqual(2, audit.pass_on(at(1, 10)).commits)
        self.assertIsNone(audit.pass_on(at(1, 10)))
        self.assertIsNone(audit.pass_on(at(2, 8)))

    def test_many_members(self):
        """The position passed on is kept, however many members there are."""
        audit = promotion_audit.PromotionAudit()
        audit.pass_on(log_position.LogPosition(1, 1))
        for number in range(3 * promotion_audit.MEMBERS_KEPT):
            audit.observe(
                f"m{number}",
                member_channel.MemberStatus(
                    member_channel.Role.REPLICA,
                    1,
                    log_position.LogPosition(1, 5),
                ),
            )
        found = audit.observe(
            "b",
            member_channel.MemberStatus(
                member_channel.Role.PRIMARY, 2, log_position.LogPosition(1, 0)
            ),
        )
        self.assertIn(None, [each.member for each in found])

    def play(self, statements, discard):
        """Let clients write, then promote a member; return the lines.

        Parameters
        ==========

        discard : bool
            Whether the promoted member lacks the last write.

        """
        kept = []

        async def check(deployment):
            primary = deployment.group.primary
            promoted = deployment.members[1]
            client = await deployment.client("live")
            self.assertTrue(gateway_deployment.ok(await client.write()))
            promoted.replication_cut = discard
            for kind in statements:
                reply = await client.send(kind, f"{kind.value} 1a4 x")
                self.assertTrue(gateway_deployment.ok(reply))
            promoted.replication_cut = False
            with logged("acknowledged_discarded") as lines:
                deployment.group.promote(promoted)
                primary.crash()
                await asyncio.sleep(4.0)
            kept.append(lines)
            kept.append(deployment.daemons[0].measure().decode())

        scenario(check, daemons=1)
        return kept

    def test_line_and_counter(self):
        """The issue: no line told that a success passed on was lost."""
        kind = command.CommandKind
        for statements in (
            [kind.WRITE],
            [kind.BEGIN, kind.WRITE, kind.COMMIT],
        ):
            with self.subTest(statements=statements):
                (line,), metrics = self.play(statements, True)
                found = fields(line)
                self.assertEqual(
                    ("g", "1.2", "m-b", "2", "1.1", "1"),
                    tuple(
                        found[name]
                        for name in (
                            "group",
                            "position",
                            "promoted",
                            "term",
                            "received",
                            "commits",
                        )
                    ),
                )
                self.assertIn(
                    'acknowledged_discarded_total{group="g"} 1.0', metrics
                )

    def test_beginning_not_seen(self):
        """Two daemons' lines must show together what one cannot know."""

        async def check(deployment):
            primary = deployment.group.primary
            promoted = deployment.members[1]
            client = await deployment.client("live")
            for _ in range(2):
                self.assertTrue(gateway_deployment.ok(await client.write()))
            with logged("term_begun") as lines:
                deployment.group.promote(promoted)
                promoted.commit([("other", "WRITE 1a4 x")])
                primary.crash()
                await asyncio.sleep(4.0)
            (found,) = map(fields, lines)
            self.assertEqual(
                ("m-b", "2", "None", "1.2"),
                tuple(
                    found[name]
                    for name in ("member", "term", "received", "passed_on")
                ),
            )

        scenario(check, daemons=1)

    def test_passed_on_before(self):
        """Commits of the new term must not hide the last one of before."""
        audit = promotion_audit.PromotionAudit()
        at = log_position.LogPosition
        self.assertIsNone(audit.passed_on_before(2))
        for commit in (at(1, 7), at(1, 8), at(2, 9), at(2, 10)):
            audit.pass_on(commit)
        self.assertEqual(at(1, 8), audit.passed_on_before(2))
        self.assertEqual(at(2, 10), audit.passed_on_before(3))

    def test_nothing_discarded(self):
        """A promotion that keeps all commits must not be reported."""
        lines, metrics = self.play([command.CommandKind.WRITE], False)
        self.assertEqual([], lines)
        self.assertNotIn("acknowledged_discarded_total{", metrics)


class TestUnknownCalls(testtools.TestCase):
    """Success passed on without knowledge of the calls is reported."""

    def play(self, store_cut, replicas_silent):
        """Let a client write for 9 s; return the lines and the writes."""
        kept = []

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live")
            daemon.link.store_cut = store_cut
            if replicas_silent:
                daemon.connector.cut |= {e.id for e in deployment.members[1:]}
            count = 0
            with logged("commits_passed_on_unknown") as lines:
                for _ in range(180):
                    count += gateway_deployment.ok(await client.write())
                    await asyncio.sleep(0.05)
            kept.append((list(map(fields, lines)), count))

        scenario(check, daemons=1)
        return kept[0]

    def test_neither_store_nor_replicas(self):
        """What is passed on until no replica is reached is reported."""
        lines, count = self.play(store_cut=True, replicas_silent=True)
        # The store is known for 2 s, and a failed look takes 0.1 s.
        self.assertGreater(count, 30)
        self.assertLess(count, 60)
        self.assertTrue(all(e["position"].startswith("1.") for e in lines))
        self.assertGreater(int(lines[0]["store_age_ms"]), 2000)
        self.assertLess(sum(int(each["count"]) for each in lines), 5)

    def test_replicas_answer(self):
        """Nothing is reported, as each commit waits for a look."""
        lines, count = self.play(store_cut=True, replicas_silent=False)
        self.assertGreater(count, 150)
        self.assertEqual([], lines)

    def test_store_answers(self):
        """A daemon that reads the store knows each call."""
        for silent in (False, True):
            lines, count = self.play(store_cut=False, replicas_silent=silent)
            self.assertGreater(count, 150)
            self.assertEqual([], lines)
