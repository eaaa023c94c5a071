"""Tests where reads are tried first, without a network."""

import asyncio
import types

import testtools

from burdockcart import clock
from burdockcart import errors
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import evidence_placement
from burdockcart.request import log_position
from burdockcart.request import member_evidence
from burdockcart.request import replica_lag
from burdockcart.request import work_queue
from burdockcart.tests import gateway_deployment

NEEDED = log_position.LogPosition(1, 7)
OLDER = log_position.LogPosition(1, 5)


class FakePool:
    """What placement asks of a member's pool."""

    def __init__(self, member, direct=False, full=False):
        self.entry = types.SimpleNamespace(id=member, started_ms=1)
        self.direct = direct
        self.draining = False
        self.limit = types.SimpleNamespace(recently_full=lambda now: full)
        self.lag = replica_lag.ReplicaLag()
        self.reports = member_evidence.PositionReports()


class Case:
    """A primary, two replicas and a read of a position of age 0.1 s."""

    def __init__(self, direct=False, full=False):
        self.primary = FakePool("p", direct, full)
        self.replicas = [FakePool(each, direct) for each in ("r1", "r2")]
        self.pools = [self.primary, *self.replicas]
        self.now = asyncio.get_running_loop().time()
        self.woken = []
        self.placement = evidence_placement.EvidencePlacement(
            "g",
            {each.entry.id: each for each in self.pools},
            types.SimpleNamespace(
                leadership=types.SimpleNamespace(member="p")
            ),
            clock.LoopClock(),
            lambda: self.woken.append(asyncio.get_running_loop().time()),
            gateway_metrics.GatewayMetrics(),
        )
        self.work = work_queue.Work(
            priority=1,
            goal_at=self.now + 0.2,
            give_up_at=self.now + 0.5,
            connection=None,
            position=NEEDED,
            position_age_s=0.1,
        )

    def lacks(self, age_s):
        """Record that both replicas lacked the position some time ago."""
        for pool in self.replicas:
            pool.reports.record(OLDER, self.now - age_s)

    def unreached(self):
        """Record that no holder reaches the primary."""
        for holder in ("d1", "d2"):
            self.placement.record(
                holder, [member_evidence.MemberEvidence("p", 1, False)]
            )

    def chosen(self, pools=None):
        """Return the members at which the read may be tried."""
        found = self.placement.read_pools(
            self.pools if pools is None else pools,
            self.work,
            self.now,
            self.now,
        )
        return [each.entry.id for each in found]


class TestReads(testtools.TestCase):
    """Reads that need a position which replicas lack."""

    def check(self, check):
        """Run a check in virtual time."""
        gateway_deployment.run(check())

    def test_primary_serves_them(self):
        """The primary must serve what the replicas are known to lack."""

        async def check():
            case = Case()
            self.assertEqual(["r1", "r2", "p"], case.chosen())
            case.lacks(0.0)
            self.assertEqual(["p"], case.chosen())

        self.check(check)

    def test_full_primary(self):
        """A full primary must keep its slots if a replica is soon ready."""

        async def check():
            case = Case(full=True)
            case.lacks(0.0)
            self.assertEqual([], case.chosen())
            await asyncio.sleep(0.15)
            # The replicas needed 0.1 s until then, and as long again.
            self.assertAlmostEqual(case.now + 0.1, case.woken[0], 3)
            case.work.goal_at = case.now + 0.05
            self.assertEqual(["p"], case.chosen())

        self.check(check)

    def test_lost_primary(self):
        """Without a primary they must wait, and say why they failed."""

        async def check():
            case = Case()
            case.lacks(0.0)
            case.unreached()
            self.assertEqual([], case.chosen())
            failure = case.placement.explained(
                case.work, errors.Failure(errors.ErrorKind.OVERLOADED, "-")
            )
            self.assertIs(errors.ErrorKind.NO_FRESH_MEMBER, failure.kind)

        self.check(check)

    def test_without_evidence(self):
        """Old evidence must leave the choice to the daemon's estimate."""

        async def check():
            case = Case()
            case.work.position_age_s = 1.0
            case.lacks(member_evidence.FRESH_S)
            self.assertEqual(["r1", "r2"], case.chosen(case.replicas))
            self.assertFalse(case.work.held_back)

        self.check(check)

    def test_replica_that_lost_its_log(self):
        """A read must not try a replica again and again by a wrong report.

        It excludes the replica unless evidence says when to ask again.
        """

        async def check():
            case = Case()
            pool = case.replicas[0]
            pool.reports.record(NEEDED, case.now)
            self.assertTrue(case.placement.knows_position(pool))
            pool.reports.record_lack(NEEDED, case.now)
            self.assertFalse(case.placement.knows_position(pool))

        self.check(check)

    def test_direct_daemon(self):
        """A daemon without holders must not use evidence."""

        async def check():
            case = Case(direct=True)
            case.lacks(0.0)
            case.unreached()
            self.assertEqual(["r1", "r2", "p"], case.chosen())
            found = case.placement.primary_pools(
                case.primary, case.work, case.now
            )
            self.assertEqual([case.primary], found)
            self.assertEqual([], case.woken)

        self.check(check)


class TestPrimary(testtools.TestCase):
    """Work for a primary that no holder reaches."""

    def test_trials(self):
        """One statement may try it in 0.1 s, and waiting work is woken."""

        async def check():
            case = Case()
            case.unreached()
            case.work.position = None

            def chosen():
                now = asyncio.get_running_loop().time()
                found = case.placement.primary_pools(
                    case.primary, case.work, now
                )
                for pool in found:
                    case.placement.record_taken(pool, case.work, now)
                return bool(found)

            self.assertFalse(chosen())
            case.woken.clear()
            await asyncio.sleep(0.11)
            self.assertEqual([True, False], [chosen(), chosen()])
            failure = case.placement.explained(
                case.work, errors.Failure(errors.ErrorKind.OVERLOADED, "-")
            )
            self.assertIs(errors.ErrorKind.NO_PRIMARY, failure.kind)
            await asyncio.sleep(0.1)
            self.assertEqual(1, len(case.woken))

        gateway_deployment.run(check())
