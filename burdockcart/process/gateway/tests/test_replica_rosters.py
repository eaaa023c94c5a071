"""Tests promotions while replicas leave, join, lapse or start again.

The members decide who acknowledges a commit: also a replica that is not in
the list any more, or not yet.
"""

import asyncio

import testtools

from burdockcart.emulator import wire_member
from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.process.gateway.promotion import replica_roster
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_failover
from burdockcart.process.gateway.tests import test_overlapping_promotions
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import log_position
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
State = manifest.MemberState
scenario = test_sessions.scenario


async def leave(deployment, member):
    """Let a member drain and leave."""
    deployment.enter(member, State.DRAINING)
    await asyncio.sleep(2.0)
    member.crash()
    deployment.platform.remove_member(member.id)


async def restart_all(deployment):
    """Stop all daemons at once, and start as many others."""
    count = len(deployment.daemons)
    await deployment.stop()
    deployment.daemons.clear()
    for number in range(count):
        await deployment.join(number)


def new_member(deployment, name, listed=True):
    """Start another replica, which has all commits."""
    member = wire_member.EmulatedMember(name, "a")
    member.group = deployment.group
    member.log = list(deployment.group.primary.log)
    deployment.group.member_by_id[member.id] = member
    for daemon in deployment.daemons:
        daemon.connector.member_by_id[member.id] = member
    if listed:
        deployment.enter(member)
    return member


class TestRoster(testtools.TestCase):
    """Members and floor of one roster."""

    def setUp(self):
        super().setUp()
        self.primary, self.first, self.second = (
            coordination.RosterMember(each, 1, f"{each}:1")
            for each in ("m-a", "m-b", "m-c")
        )
        self.roster = replica_roster.ReplicaRoster(first_start=False)
        self.store((self.primary, self.first, self.second), None, 7)

    def store(self, members, floor, position):
        self.roster.use(
            coordination.StoredRoster(
                coordination.Roster(tuple(members), floor), position
            )
        )

    def test_member_is_removed_only_with_a_position(self):
        """Without a floor, the commits of a removed member are forgotten."""
        self.assertIsNone(self.roster.without({self.second}, None))
        floor = log_position.LogPosition(1, 9)
        self.assertEqual(
            coordination.Roster((self.primary, self.first), floor),
            self.roster.without({self.second}, floor),
        )

    def test_floor_never_falls(self):
        """A lower position must not replace a floor."""
        floor = log_position.LogPosition(2, 9)
        self.store((self.primary, self.first, self.second), floor, 8)
        lower = log_position.LogPosition(1, 30)
        self.assertEqual(
            floor, self.roster.without({self.second}, lower).floor
        )

    def test_member_that_started_again(self):
        """A start that was not asked may have held a commit alone."""
        again = coordination.RosterMember("m-b", 2, "m-b:1")
        self.roster.confirm(again)
        self.assertIs(
            replica_roster.Gap.MEMBERS_MISSING,
            self.roster.gap({again, self.second}),
        )
        self.assertIsNone(self.roster.gap({self.first, again, self.second}))

    def test_restored_store(self):
        """What a restored store lacks must stay known."""
        floor = log_position.LogPosition(1, 9)
        joined = coordination.RosterMember("m-d", 5, "m-d:1")
        self.store((self.primary, self.first, joined), floor, 9)
        self.roster.restored()
        self.assertIs(replica_roster.Gap.NOT_READ, self.roster.gap(()))
        self.store((self.primary, self.first, self.second), None, 1 << 40)
        self.assertEqual(
            {self.primary, self.first, self.second, joined},
            self.roster.known,
        )
        self.assertEqual(floor, self.roster.floor)

    def test_operator_gives_a_member_up(self):
        """A roster that was written without a member must count."""
        self.assertIsNotNone(self.roster.gap({self.first}))
        self.store((self.primary, self.first), None, 8)
        self.assertIsNone(self.roster.gap({self.first}))

    def test_store_without_a_roster(self):
        """A daemon that joins must not take the list for the whole group."""
        for first_start, gap in (
            (True, None),
            (False, replica_roster.Gap.NO_HISTORY),
        ):
            roster = replica_roster.ReplicaRoster(first_start)
            self.assertIs(replica_roster.Gap.NOT_READ, roster.gap(()))
            roster.store_read()
            self.assertIs(gap, roster.gap({self.first}))

    def test_unreadable_roster(self):
        """A value that is no roster tells nothing about the members."""
        roster = replica_roster.ReplicaRoster(first_start=True)
        roster.use(coordination.StoredRoster(None, 9))
        self.assertIs(replica_roster.Gap.NO_HISTORY, roster.gap({self.first}))
        self.assertEqual(9, roster.position(0))


class TestDeparture(testtools.TestCase):
    """A replica that received commits alone leaves or loses its entry."""

    def test_daemons_that_start_after_a_departure(self):
        """A restart must not make daemons forget that a replica has left.

        One replica receives nothing, another one acknowledges alone and
        leaves; the primary runs, but its writes stall from then on.
        """

        async def check(deployment):
            primary, deaf, leaving = deployment.members
            deaf.replication_cut = True
            writes = asyncio.create_task(
                test_failover.writes_for(deployment, 2.0)
            )
            await leave(deployment, leaving)
            await writes
            await restart_all(deployment)
            await test_failover.writes_for(deployment, 8.0)
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual([], test_failover.lost_commits(deployment))
            self.assertTrue(primary.leads)

        scenario(check, daemons=2)

    def test_replica_whose_entry_lapsed(self):
        """Commits of a replica that runs without an entry must stay.

        It loses its entry, acknowledges alone, and the primary is lost.
        """

        async def check(deployment):
            primary, deaf, lapsed = deployment.members
            deployment.platform.remove_member(lapsed.id)
            await test_failover.writes_for(deployment, 6.0)
            deaf.replication_cut = True
            await test_failover.writes_for(deployment, 1.0)
            self.assertIn(
                lapsed.received(), deployment.group.acknowledged[-1:]
            )
            primary.crash()
            await test_failover.writes_for(deployment, 12.0)
            self.assertEqual([], deployment.platform.promotions)
            deployment.enter(lapsed)
            await gateway_deployment.until(lambda: lapsed.leads)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def test_replica_that_lost_its_log(self):
        """A replica that starts again may have forgotten commits."""

        async def check(deployment):
            primary, deaf, forgetful = deployment.members
            deaf.replication_cut = True
            await test_failover.writes_for(deployment, 1.0)
            forgetful.crash()
            forgetful.log, forgetful.crashed = [], False
            forgetful.replication_cut = True
            entry = deployment.platform.entry_by_id[forgetful.id]
            deployment.platform.put_member(
                manifest.MemberEntry(
                    id=entry.id,
                    group=entry.group,
                    address=entry.address,
                    domain=entry.domain,
                    slots=entry.slots,
                    state=entry.state,
                    leads=False,
                    started_ms=2,
                )
            )
            await asyncio.sleep(0.01)
            primary.crash()
            await test_failover.writes_for(deployment, 8.0)
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def test_departure_does_not_bind_for_ever(self):
        """Once the primary has reported a position, others may be promoted."""

        async def check(deployment):
            primary, other, leaving = deployment.members
            await leave(deployment, leaving)
            await test_failover.writes_for(deployment, 6.0)
            self.assertTrue(other.receives)
            primary.crash()
            await gateway_deployment.until(lambda: other.leads)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def test_floor_that_no_replica_holds(self):
        """A commit that nobody has received must not bind candidates.

        A replica leaves while a write of the primary waits; then the primary
        is lost for good.  The member that left was not alone with a commit.
        """

        async def check(deployment):
            primary, other, leaving = deployment.members
            await test_failover.writes_for(deployment, 1.0)
            other.replication_cut = leaving.replication_cut = True
            primary.commit([("waits", "WRITE 1a4 x")])
            leaving.crash()
            deployment.platform.remove_member(leaving.id)
            await asyncio.sleep(6.0)
            stored, _ = deployment.platform.roster_by_group[GROUP]
            self.assertIsNone(stored.floor)
            other.replication_cut = False
            other.catch_up()
            await asyncio.sleep(2.0)
            stored, _ = deployment.platform.roster_by_group[GROUP]
            self.assertEqual(primary.received(), stored.floor)
            self.assertNotIn(leaving.id, [each.id for each in stored.members])
            primary.crash()
            await gateway_deployment.until(lambda: other.leads)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def test_two_starts_without_an_entry(self):
        """The log of an earlier start must not count as compared.

        A member has acknowledged alone, has started again without its log,
        and has lost its entry; only its last start answers.
        """

        async def check(deployment):
            primary, deaf, member = deployment.members
            await test_failover.writes_for(deployment, 0.5)
            deaf.replication_cut = True
            await test_failover.writes_for(deployment, 1.0)
            member.log, member.replication_cut = [], True
            again = coordination.RosterMember(member.id, 2, f"{member.id}:1")
            for daemon in deployment.daemons:
                daemon.group_by_id[GROUP].roster.confirm(again)
            primary.crash()
            deployment.platform.remove_member(member.id)
            await test_failover.writes_for(deployment, 12.0)
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)


class TestUnrecordedPrimary(testtools.TestCase):
    """A member leads that is not in the roster yet."""

    def test_replica_that_is_missing_beside_it(self):
        """One missing member must not be taken for the primary.

        A replica whose entry has lapsed acknowledges alone; daemons no longer
        reach it when the primary is lost.
        """

        async def check(deployment):
            _, deaf, lapsed = deployment.members
            await test_failover.writes_for(deployment, 1.0)
            for daemon in deployment.daemons:
                daemon.group_by_id[GROUP].roster.confirm = lambda member: None
            joined = new_member(deployment, "m-d")
            joined.catch_up()
            await asyncio.sleep(2.0)
            deployment.group.promote(joined)
            deployment.enter(joined)
            await test_failover.writes_for(deployment, 1.0)
            deployment.platform.remove_member(lapsed.id)
            for member in (deployment.members[0], deaf):
                member.replication_cut = True
            await test_failover.writes_for(deployment, 3.0)
            self.assertIn(
                lapsed.received(), deployment.group.acknowledged[-1:]
            )
            for daemon in deployment.daemons:
                daemon.connector.cut.add(lapsed.id)
            joined.crash()
            await test_failover.writes_for(deployment, 10.0)
            self.assertEqual([], deployment.platform.promotions)
            for daemon in deployment.daemons:
                daemon.connector.cut.clear()
            deployment.enter(lapsed)
            await gateway_deployment.until(lambda: lapsed.leads)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)


class TestKeeper(testtools.TestCase):
    """Daemons that write the rosters."""

    def test_writes_after_a_restore(self):
        """Not all daemons may write what a restored store lacks at once."""

        async def check(deployment):
            platform = deployment.platform
            old, _ = platform.roster_by_group[GROUP]
            copied = platform.copy()
            floor = log_position.LogPosition(1, 0)
            platform.roster_by_group[GROUP] = (
                coordination.Roster(old.members, floor),
                platform._next_revision(),
            )
            await asyncio.sleep(4.0)
            written = []
            write = platform.write_roster

            async def note_write(*arguments):
                written.append(arguments)
                return await write(*arguments)

            platform.write_roster = note_write
            platform.restore(copied)
            await asyncio.sleep(8.0)
            self.assertEqual(1, len(written))
            stored, _ = platform.roster_by_group[GROUP]
            self.assertEqual(floor, stored.floor)

        scenario(check, daemons=8)


class TestJoin(testtools.TestCase):
    """A replica that the daemons do not know yet when they compare logs."""

    def test_replica_that_joined_unseen(self):
        """A member that joined since the last poll must be asked.

        It acknowledges alone; the daemons that compare the logs have not
        read its entry.
        """

        async def check(deployment):
            primary, deaf, other = deployment.members
            await test_failover.writes_for(deployment, 1.0)
            joined = new_member(deployment, "m-d", listed=False)
            deaf.replication_cut = other.replication_cut = True
            primary.commit([("w1", "WRITE 1a4 x")])
            self.assertEqual(joined.received(), primary.received())
            deployment.enter(joined)
            running = [
                test_overlapping_promotions.replace(
                    each, failover_rule.Cause.DRAINING, primary
                )
                for each in deployment.daemons
            ]
            await asyncio.gather(*running)
            await asyncio.sleep(1.0)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)


class TestMissingPrimary(testtools.TestCase):
    """No listed member leads."""

    def test_primary_lost_while_all_daemons_were_down(self):
        """A group whose primary has left the list must get a new one.

        All daemons lose power, the primary is lost for good meanwhile, and
        its entry goes before they are back.
        """

        async def check(deployment):
            primary = deployment.group.primary
            await test_failover.writes_for(deployment, 1.0)
            await deployment.stop()
            deployment.daemons.clear()
            primary.crash()
            deployment.platform.remove_member(primary.id)
            for number in range(2):
                await deployment.join(number)
            await asyncio.sleep(8.0)
            replies = await test_failover.writes_for(deployment, 1.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def test_primary_left_before_a_promotion_succeeded(self):
        """Daemons that run all the while must not give the group up.

        The platform carries out no promotion until the primary has gone.
        """

        async def check(deployment):
            primary = deployment.group.primary
            for each in deployment.members:
                each.unresponsive = each is not primary
            primary.crash()
            deployment.platform.remove_member(primary.id)
            await asyncio.sleep(4.0)
            for each in deployment.members:
                each.unresponsive = False
            await asyncio.sleep(8.0)
            replies = await test_failover.writes_for(deployment, 1.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def test_primary_and_a_replica_are_lost(self):
        """Without two members, no log is known to be complete."""

        async def check(deployment):
            primary, deaf, lost = deployment.members
            deaf.replication_cut = True
            await test_failover.writes_for(deployment, 1.0)
            await deployment.stop()
            deployment.daemons.clear()
            for each in (primary, lost):
                each.crash()
                deployment.platform.remove_member(each.id)
            for number in range(2):
                await deployment.join(number)
            await asyncio.sleep(20.0)
            self.assertEqual([], deployment.platform.promotions)

        scenario(check, daemons=2)

    def test_primary_runs_without_an_entry(self):
        """A primary that lost its entry gets no work, so it is replaced."""

        async def check(deployment):
            primary = deployment.group.primary
            await test_failover.writes_for(deployment, 1.0)
            deployment.platform.remove_member(primary.id)
            await asyncio.sleep(12.0)
            self.assertIsNot(primary, deployment.group.primary)
            replies = await test_failover.writes_for(deployment, 1.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)


class TestOpenCall(testtools.TestCase):
    """A call without an answer, which the platform carries out later."""

    def test_refused_call_after_an_open_one(self):
        """Replicas must stay on hold while any earlier call is open.

        The platform answers the later calls that it is not available.
        """

        async def check(deployment):
            platform = deployment.platform
            primary = deployment.group.primary
            platform.lose_promotions, platform.late_s = 1, 4.0
            client = await deployment.client("live")
            await client.write()
            promote = platform.promote

            called = []

            async def refuse_later(group, member, *arguments):
                called.append(member)
                if len(called) > 1:
                    return test_overlapping_promotions.unavailable()
                return await promote(group, member, *arguments)

            platform.promote = refuse_later
            deployment.enter(primary, State.DRAINING)
            await gateway_deployment.until(lambda: len(called) > 6)
            self.assertTrue(primary.leads)
            candidate = deployment.group.member_by_id[called[0]]
            candidate.replication_cut = True
            while primary.leads:
                primary.commit([("late", "WRITE 1a4 x")])
                await asyncio.sleep(0.05)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def check_primary_that_came_back(self, late_s):
        """Check an open call for a primary that answers again.

        The candidate of the call receives nothing for a while.
        """

        async def check(deployment):
            platform = deployment.platform
            primary = deployment.group.primary
            platform.lose_promotions, platform.late_s = 3, late_s
            promote = platform.promote
            called = []

            async def note_call(group, member, *arguments):
                called.append(member)
                return await promote(group, member, *arguments)

            platform.promote = note_call
            writes = asyncio.create_task(
                test_failover.writes_for(deployment, late_s + 3.0)
            )
            await asyncio.sleep(1.0)
            primary.unresponsive = True
            await gateway_deployment.until(lambda: len(called) == 3)
            primary.unresponsive = False
            candidate = deployment.group.member_by_id[called[0]]
            candidate.replication_cut = True
            while primary.leads:
                primary.commit([("late", "WRITE 1a4 x")])
                await asyncio.sleep(0.05)
            await writes
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def test_primary_that_came_back(self):
        """An attempt that is not needed any more must not release them."""
        self.check_primary_that_came_back(late_s=4.0)

    def test_call_that_is_very_late(self):
        """The platform carries out a call up to 12 s later."""
        self.check_primary_that_came_back(late_s=11.5)


class TestEndOfHold(testtools.TestCase):
    """A replica on hold receives again before the platform is called."""

    def test_replica_that_starts_again(self):
        """A restart ends a hold; the comparison of before is void."""

        async def check(deployment):
            primary, first, second = deployment.members
            daemon = deployment.daemons[0]
            await test_failover.writes_for(deployment, 0.5)
            record = daemon._failover._promoter._record
            announce = record.announce

            async def announce_while_one_starts_again(group, candidate):
                token = await announce(group, candidate)
                held = first if candidate == second.id else second
                held.crash()
                held.crashed, held.held_term = False, None
                other = deployment.group.member_by_id[candidate]
                other.replication_cut = True
                primary.commit([("late", "WRITE 1a4 x")])
                record.announce = announce
                return token

            record.announce = announce_while_one_starts_again
            await test_overlapping_promotions.replace(
                daemon, failover_rule.Cause.DRAINING, primary
            )
            await asyncio.sleep(1.0)
            self.assertEqual([], deployment.platform.promotions)
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=1)


class TestEntryOfAnotherWriter(testtools.TestCase):
    """A whole entry under which nobody has ever answered."""

    def test_promotion_does_not_wait_for_it(self):
        """It must not keep a group from getting a new primary."""

        async def check(deployment):
            foreign = wire_member.EmulatedMember("m-x", "a")
            deployment.enter(foreign)
            await test_failover.writes_for(deployment, 8.0)
            deployment.group.primary.crash()
            replies = await test_failover.writes_for(deployment, 6.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)

    def test_it_says_that_it_leads(self):
        """It must not be taken for the old primary after a restart."""

        async def check(deployment):
            primary = deployment.group.primary
            foreign = wire_member.EmulatedMember("m-x", "a")
            foreign.leads = True
            deployment.enter(foreign)
            await asyncio.sleep(2.0)
            await restart_all(deployment)
            await asyncio.sleep(6.0)
            await leave(deployment, primary)
            replies = await test_failover.writes_for(deployment, 12.0)
            self.assertTrue(gateway_deployment.ok(replies[-1][1]))
            self.assertEqual([], test_failover.lost_commits(deployment))

        scenario(check, daemons=2)
