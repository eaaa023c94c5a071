"""Tests what clients are told beside a call that was not prepared.

Some daemons lose the primary and call for a replica; the others still reach
the primary.  The call is carried out late, and its candidate receives nothing
from the call on.
"""

import asyncio

import testtools

from burdockcart.process.gateway.promotion import passed_commits
from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.process.gateway.tests import test_replica_rosters
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import log_position
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP
#: Time after the start at which the daemons lose the primary, in seconds; the
#: third one polls the store soon before the call or soon after it.
BEGINS_S = (2.5, 2.65, 2.8)


async def join(deployment, held):
    """Let another replica join."""
    test_replica_rosters.new_member(deployment, "m-d").catch_up()


async def restart(deployment, held):
    """Let the replica on hold start again.

    Those that have called do not reach it, or would put it on hold.
    """
    for daemon in deployment.daemons[:2]:
        daemon.connector.cut.add(held.id)
    await test_open_calls.start_again(deployment, held)


def cut_links(deployment, number, refuses=False):
    """Cut a daemon off from the other daemons.

    Parameters
    ==========

    refuses : bool
        Whether the cut resets connections instead of swallowing packets.

    """
    deployment.peers.cuts_refuse = refuses
    deployment.peers.cut |= {
        frozenset((f"d{number}", f"d{other}"))
        for other in range(len(deployment.daemons))
        if other != number
    }
    if refuses:
        deployment.daemons[number].relay.close_links()


async def lose_primary(deployment):
    """Crash the primary; return the time until another one leads."""
    loop = asyncio.get_running_loop()
    lost_at = loop.time()
    lost = deployment.group.primary
    lost.crash()
    await gateway_deployment.until(
        lambda: deployment.group.primary is not lost
    )
    return loop.time() - lost_at


class TestUnplannedCall(testtools.TestCase):
    """Two of three daemons lose the primary and call for a replica."""

    def play(
        self,
        change,
        begins_s,
        silent=False,
        after_s=0.2,
        refuses=False,
    ):
        """Play it; return the time from the cut to the first call.

        Parameters
        ==========

        change : callable
            Called with the deployment and the replica on hold.
        silent : bool
            Whether the others have no link to the third daemon.
        after_s : float
            Time from the call until the change, in seconds.
        refuses : bool
            Whether their links are refused, although it runs.

        """
        took = []

        async def check(deployment):
            loop = asyncio.get_running_loop()
            primary = deployment.group.primary
            writers = test_open_calls.Writers(deployment, range(3))
            calls = test_open_calls.Calls(deployment, 7.0, all_late=True)
            await asyncio.sleep(begins_s)
            cut_at = loop.time()
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
            if silent or refuses:
                cut_links(deployment, 2, refuses)
            name, _ = await asyncio.wait_for(calls.first, 8.0)
            took.append(loop.time() - cut_at)
            candidate = deployment.group.member_by_id[name]
            candidate.replication_cut = True
            held = next(
                each
                for each in deployment.members
                if each not in (primary, candidate)
            )
            await asyncio.sleep(after_s)
            await change(deployment, held)
            await asyncio.sleep(1.5 - after_s)
            for daemon in deployment.daemons:
                daemon.connector.cut.clear()
            await asyncio.sleep(6.5)
            candidate.replication_cut = False
            candidate.catch_up()
            await asyncio.sleep(4.0)
            writers.stop()
            self.assertIs(candidate, deployment.group.primary)
            self.assertGreater(len(writers.told), 50)
            self.assertEqual([], writers.lost(candidate))

        test_sessions.scenario(check, daemons=3)
        return took[0]

    def test_member_joins(self):
        """What a member that joined has alone must not be told as done."""
        for begins_s in BEGINS_S:
            with self.subTest(begins_s=begins_s):
                self.play(join, begins_s)

    def test_held_replica_starts_again(self):
        """What a replica has that is not on hold any more, either."""
        for begins_s in BEGINS_S:
            with self.subTest(begins_s=begins_s):
                self.play(restart, begins_s)

    def test_silent_daemon(self):
        """One that cannot be told may pass on what a newcomer has alone.

        The candidate is recorded first, and all daemons know it by then.
        """
        for begins_s in BEGINS_S:
            with self.subTest(begins_s=begins_s):
                took_s = self.play(join, begins_s, silent=True)
                self.assertGreater(took_s, 2.0)

    def test_daemon_behind_a_cut_that_resets_connections(self):
        """A refused link does not tell that the daemon has ended."""
        for change in (join, restart):
            for begins_s in BEGINS_S:
                with self.subTest(change=change.__name__, begins_s=begins_s):
                    took_s = self.play(change, begins_s, refuses=True)
                    self.assertGreater(took_s, 2.0)


class TestNotice(testtools.TestCase):
    """Answers of other daemons to the notice of a call."""

    def scenario(self, check, daemons=3):
        """Run a check once the clients of all daemons write."""

        async def whole(deployment):
            writers = test_open_calls.Writers(deployment, range(daemons))
            await asyncio.sleep(2.0)
            await check(deployment)
            writers.stop()
            self.assertEqual([], writers.lost(deployment.group.primary))

        test_sessions.scenario(whole, daemons=daemons)

    def test_process_that_has_ended(self):
        """A refused link must delay the replacement like a silent one.

        It does not tell an end from a cut that resets connections.
        """

        async def check(deployment):
            # Its registration stays for seconds.
            deployment.daemons[2].relay.stop()
            took_s = await lose_primary(deployment)
            self.assertGreater(took_s, 2.0)
            self.assertLess(took_s, 4.0)

        self.scenario(check)

    def test_daemon_that_is_silent(self):
        """A primary that is lost must be replaced all the same."""

        async def check(deployment):
            cut_links(deployment, 2)
            took_s = await lose_primary(deployment)
            self.assertGreater(took_s, 2.0)
            self.assertLess(took_s, 4.0)

        self.scenario(check)

    def test_entry_of_the_primary_goes(self):
        """Daemons that still know a primary must be told when others do not.

        The caller polls the store between the cause and the call.
        """

        async def check(deployment):
            primary = deployment.group.primary
            calls = test_open_calls.Calls(deployment, 0.5, all_late=False)

            def refresh_and_drop(daemon, refresh):
                async def refreshed():
                    answered = await refresh()
                    group = daemon.group_by_id[GROUP]
                    group.drop_member(primary.id, "left")
                    return answered

                return refreshed

            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
                promoter = daemon._failover._promoter
                promoter._refresh = refresh_and_drop(daemon, promoter._refresh)
            name, _ = await calls.first
            third = deployment.daemons[2]
            self.assertIn(primary.id, third.group_by_id[GROUP].pool_by_member)
            self.assertEqual(name, third._open_calls.candidate(GROUP))

        self.scenario(check)

    def test_cause_that_vanishes(self):
        """A primary that answers again meanwhile must stay."""

        async def check(deployment):
            primary = deployment.group.primary
            cut_links(deployment, 2)
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
            record = deployment.platform.record_by_group
            await gateway_deployment.until(
                lambda: GROUP in record
                and record[GROUP][0].prepared is not None
            )
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.clear()
            await asyncio.sleep(8.0)
            self.assertEqual([], deployment.platform.promotions)

        self.scenario(check)

    def test_candidate_lacks_what_was_passed_on(self):
        """What another daemon has passed on since the hold must be there."""

        async def check(deployment):
            primary = deployment.group.primary
            passed = deployment.daemons[2].group_by_id[GROUP].commits.passed
            add = passed.add
            beyond = log_position.LogPosition(1, 1_000_000)
            passed.add = lambda commit, asked_at: add(beyond, asked_at)
            for daemon in deployment.daemons[:2]:
                daemon.connector.cut.add(primary.id)
            await asyncio.sleep(3.0)
            self.assertEqual([], deployment.platform.promotions)
            put_off = b"".join(
                each.metrics.text() for each in deployment.daemons
            )
            self.assertIn(b"lack commits that were passed on", put_off)
            passed.add, passed._newest, passed._certain = add, None, None
            passed._known.clear()
            await lose_primary(deployment)

        self.scenario(check)

    def test_commits_before_the_hold(self):
        """A position that no replica has received must not end a group.

        The primary reports the end of its log, acknowledged or not.  A
        member that is not known yet may have received it, so it is waited
        for like a silent daemon.
        """

        async def check(deployment):
            for daemon in deployment.daemons:
                daemon.group_by_id[GROUP].commits.passed.add(
                    log_position.LogPosition(1, 1_000_000), 0.0
                )
            took_s = await lose_primary(deployment)
            self.assertGreater(took_s, 1.5)
            self.assertLess(took_s, 4.0)

        self.scenario(check)

    def test_wait_of_an_earlier_attempt(self):
        """A wait that a recovery has ended must not count for a later loss."""

        async def check(deployment):
            primary = deployment.group.primary

            guards = [
                each.group_by_id[GROUP].commits for each in deployment.daemons
            ]

            def pass_on(number):
                for guard in guards:
                    guard.passed.add(log_position.LogPosition(1, number), 0.0)

            pass_on(1_000_000)
            for daemon in deployment.daemons:
                daemon.connector.cut.add(primary.id)
            await asyncio.sleep(1.2)
            for daemon in deployment.daemons:
                daemon.connector.cut.clear()
            await asyncio.sleep(4.0)
            self.assertEqual([], deployment.platform.promotions)
            for guard in guards:
                guard.passed = passed_commits.PassedCommits(guard._clock)
            await asyncio.sleep(1.0)
            pass_on(2_000_000)
            took_s = await lose_primary(deployment)
            self.assertGreater(took_s, 1.5)
            self.assertLess(took_s, 4.0)

        self.scenario(check)
