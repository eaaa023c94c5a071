"""Guards the faults of named cases: the owner's end, and moved demand."""

import asyncio
import random
import types

import testtools

from burdockcart.platform.standin import ingress
from burdockcart.platform.standin import member_link
from burdockcart.platform.standin import site_faults
from burdockcart.platform.standin import store_server
from burdockcart.soak import schedule

Kind = schedule.Kind


def daemon(number, ready=True):
    """Return what is read of a daemon."""
    return types.SimpleNamespace(
        name=f"d{number}", host=f"127.0.0.{number}", ready=ready, alive=True
    )


class TestIngress(testtools.TestCase):
    """Three daemons and clients that connect again and again."""

    def setUp(self):
        super().setUp()
        self.daemons = [daemon(number) for number in range(3)]
        self.ingress = ingress.Ingress(self.daemons)

    def picked(self):
        """Return the daemons of many clients."""
        rng = random.Random(1)
        found = (self.ingress.pick_for_client(rng) for _ in range(100))
        return {name for name, _, _ in found}

    def test_all_daemons(self):
        """Guards against clients of a few daemons only."""
        self.assertEqual({"d0", "d1", "d2"}, self.picked())
        self.daemons[0].ready = False
        self.assertEqual({"d1", "d2"}, self.picked())

    def test_concentrated_demand_moves(self):
        """Guards against clients that stay where the demand was."""

        async def play():
            first, second = (
                asyncio.create_task(
                    self.ingress.concentrate(self.daemons[number], seconds)
                )
                for number, seconds in ((0, 0.05), (1, 0.2))
            )
            await first
            during = self.picked(), [*map(self.ingress.keeps, ("d0", "d1"))]
            await second
            return during, self.picked()

        during, after = asyncio.run(play())
        self.assertEqual(({"d1"}, [False, True]), during)
        self.assertEqual({"d0", "d1", "d2"}, after)

    def test_daemon_that_is_not_ready(self):
        """Guards against clients that insist on a daemon that is away."""

        async def play():
            self.daemons[0].ready = False
            task = asyncio.create_task(
                self.ingress.concentrate(self.daemons[0], 0.05)
            )
            await asyncio.sleep(0)
            found = self.picked(), self.ingress.keeps("d1")
            await task
            return found

        self.assertEqual(({"d1", "d2"}, True), asyncio.run(play()))


class TestOwner(testtools.TestCase):
    """Shards whose keys hold the names of their owners."""

    def test_owner_is_killed(self):
        """Guards against another daemon's end, and a case without a fault.

        The key may not be there yet when the fault is due.
        """
        notes = []

        async def play():
            link = member_link.MemberLink("127.0.0.1", 0, lambda *_: {})
            store = store_server.Store(lambda *_: 200, link)
            site = types.SimpleNamespace(
                store=store, note=lambda *names, **_: notes.extend(names)
            )
            store.put("quota/1", b"d0")
            task = asyncio.create_task(
                site_faults.kill_of_owner(
                    site,
                    [daemon(number) for number in range(3)],
                    schedule.Fault(1.0, Kind.KILL_OWNER, 2),
                )
            )
            await asyncio.sleep(0.05)
            waited = not task.done()
            store.put("quota/2", b"d1")
            return waited, await task

        waited, fault = asyncio.run(play())
        self.assertTrue(waited)
        self.assertEqual((Kind.KILL, 1), (fault.kind, fault.target))
        self.assertEqual(["owner"], notes)
