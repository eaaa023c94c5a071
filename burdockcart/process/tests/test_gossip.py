"""Guards the spreading of updates with heartbeats."""

import collections
import random

import testtools

from burdockcart.process import executors
from burdockcart.process import membership
from burdockcart.process import peer_messages

TICK_S = 0.05
TICKS = 640
#: Longer than the interval between two heartbeats.
TICKS_PER_UPDATE = 16


class TestReceivers(testtools.TestCase):
    """Each peer receives heartbeats that carry updates."""

    def test_last_receiver_gets_updates(self):
        """Guards against peers that heartbeats never bring an update."""
        daemons = [
            executors.Daemon(f"a{number}", "a", f"10.0.0.{number}:1")
            for number in range(6)
        ]
        own = membership.Membership(
            daemons[0], daemons[1:], random.Random(1), 0.0
        )
        heartbeats_by_daemon = collections.Counter()
        for tick in range(TICKS):
            now = tick * TICK_S
            if tick % TICKS_PER_UPDATE == 0:
                for each in daemons[1:]:
                    own.on_heartbeat(each.id, _heartbeat(each, tick + 1), now)
            heartbeats_by_daemon.update(
                command.to.id
                for command in own.tick(now)
                if isinstance(command, membership.Send)
                and isinstance(command.body, peer_messages.Heartbeat)
                and command.body.beat.news
            )
        for each in daemons[1:]:
            self.assertIn(each.id, heartbeats_by_daemon)


def _heartbeat(daemon, incarnation):
    return peer_messages.HeartbeatData(
        incarnation, 7, daemon.domain, daemon.address, False, 0, 0, ()
    )
