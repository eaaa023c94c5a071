"""States of all daemons, from heartbeats, news and the platform's list.

Explanation
===========

:class:`Membership` is pure: each method takes an event and the time and
returns the messages to send and the events to record.  A daemon is in use
while it is live or suspect.  It is dead once ``DEAD_AFTER_S`` passed since
the last sign of life that anybody reported.

"""

import random
import secrets
from typing import Iterable

import msgspec

from burdockcart import ids
from burdockcart.process import daemon_list
from burdockcart.process import executors
from burdockcart.process import gossip_queue
from burdockcart.process import peer_messages
from burdockcart.process import ring
from burdockcart.process import suspicion

HEARTBEAT_S = 0.4
#: Peers that get news at once.
SPREAD_PEERS = 3
#: A list that differs from a peer's for this long is pulled from it; news
#: in flight explain shorter differences.
DIFFERENCE_S = 1.0
PULL_INTERVAL_S = 2.0
#: A daemon whose event loop stood still for longer has lost its rights.
#: Below the time after which another one takes over, so that it notices
#: before the other starts.
EXECUTOR_RIGHT_S = 1.0

State = daemon_list.State
_News = peer_messages.DaemonUpdate
_Daemons = list[executors.Daemon]


class Send(msgspec.Struct, frozen=True):
    """Command: send a message to a daemon."""

    to: executors.Daemon
    body: peer_messages.Message


class RecordEvent(msgspec.Struct, frozen=True):
    """Command: record an event."""

    event: str
    daemon: ids.DaemonId
    incarnation: int


Command = Send | RecordEvent


class Membership:
    """What one daemon knows of all daemons.

    Parameters
    ==========

    own : Daemon
        This daemon.
    seeds : iterable of Daemon
        Daemons to contact although the platform's list does not name them.
    generator : Random
        Source of all random choices.

    """

    def __init__(
        self,
        own: executors.Daemon,
        seeds: Iterable[executors.Daemon],
        generator: random.Random,
        now: float,
    ):
        self.own = own
        self.incarnation = 1
        self.leaving = False
        self.table_version = 0
        self.daemon_list = daemon_list.DaemonList(own)
        # Not from the generator: two lives with one seed have to differ.
        self._boot = secrets.randbits(32)
        self._random = generator
        self._seeds = tuple(seeds)
        self._news = gossip_queue.GossipQueue()
        self._next_beat = now + generator.uniform(0, HEARTBEAT_S)
        self._ticked_at = now
        self._pulled_at = now - PULL_INTERVAL_S
        self._joined = False
        self._watch = suspicion.HeartbeatMonitor(own)
        for each in self._seeds:
            self.daemon_list.add(each, now)

    def use_list(self, hosts: Iterable[executors.Daemon], now: float) -> None:
        """Take over the platform's list; it only adds hosts to contact."""
        self.daemon_list.use_list([*hosts, *self._seeds], now)

    def in_use(self) -> list[executors.Daemon]:
        """Return the daemons that may take roles, this one included."""
        own = [] if self.leaving else [self.own]
        return own + [e.daemon for e in self.daemon_list if e.in_use]

    def stalled(self, now: float) -> bool:
        """Return whether this process stood still until just now."""
        return now - self._ticked_at > EXECUTOR_RIGHT_S

    def resume(self, now: float) -> list[Command]:
        """Take up after a stall; silence during it is nobody's fault."""
        gap, self._ticked_at = now - self._ticked_at, now
        for entry in self.daemon_list:
            if entry.state is not State.DEAD:
                entry.heard_at = min(entry.heard_at + gap, now)
        self._watch.shift(gap, now)
        self._pulled_at = now
        peers = self._sample(
            self.daemon_list.reachable_daemons(), SPREAD_PEERS
        )
        return [*self._beat(now), *self._pull(peers)]

    def tick(self, now: float) -> list[Command]:
        """Advance time; to be called every 50 ms."""
        if self.stalled(now):
            return self.resume(now)
        self._ticked_at = now
        commands = self._judge(now)
        if now >= self._next_beat:
            late = now - self._next_beat > HEARTBEAT_S
            self._next_beat = (now if late else self._next_beat) + HEARTBEAT_S
            commands += self._beat(now)
            if not self._joined:
                unheard = self.daemon_list.in_state(State.JOINING)
                commands += self._pull(self._sample(unheard, SPREAD_PEERS))
            self.daemon_list.forget(now)
        return commands + self._spread(now)

    def on_heartbeat(
        self,
        sender: ids.DaemonId,
        beat: peer_messages.HeartbeatData,
        now: float,
    ) -> list[Command]:
        """Take a sign of life of the sender."""
        daemon = executors.Daemon(sender, beat.domain, beat.address)
        entry = self.daemon_list.add(daemon, now)
        stale = beat.incarnation < entry.incarnation
        same = beat.incarnation == entry.incarnation
        replaced = same and entry.boot_id not in (0, beat.boot_id)
        if stale or replaced or (same and entry.state is State.DEAD):
            # The sender answers with a higher incarnation, which tells its
            # new life from the one that others already gave up.
            if entry.boot_id != beat.boot_id:
                entry.daemon = daemon
            claim = self._describe(entry, State.DEAD, now)
            return [Send(daemon, peer_messages.Suspect((claim,)))]
        commands: list[Command] = []
        if not same or entry.state in (State.JOINING, State.SUSPECT):
            commands += self._revive(entry, daemon, beat.incarnation, now)
        entry.boot_id, entry.heard_at = beat.boot_id, now
        if beat.leaving:
            commands += self._mark_leaving(entry, now)
        commands += self._take(beat.news, now)
        return commands + self._compare(daemon, beat.digest, now)

    def on_updates(self, news: Iterable[_News], now: float) -> list[Command]:
        """Take what another daemon tells of daemons."""
        return self._take(news, now) + self._spread(now)

    def on_view(self, news: Iterable[_News], now: float) -> list[Command]:
        """Take over the list of a daemon that was asked for it."""
        self._joined = True
        return self.on_updates(news, now)

    def view(self, now: float) -> peer_messages.View:
        """Return the whole list, for a daemon that asks for it."""
        news = [
            self._describe(entry, entry.state, now)
            for entry in self.daemon_list
            if entry.state is not State.JOINING
        ]
        own = self._own_news(State.LEAVING if self.leaving else State.LIVE)
        return peer_messages.View((own, *news))

    def leave(self, now: float) -> list[Command]:
        """Announce that this daemon takes no new roles."""
        self.leaving = True
        self.daemon_list.changed(now)
        told = self._own_news(State.LEAVING)
        self._news.put(told, True, now)
        receivers = self._daemons(
            self.daemon_list.ring().receivers(self.own.id)
        )
        body = peer_messages.Leaving((told,))
        return [*(Send(each, body) for each in receivers), *self._spread(now)]

    def _daemons(self, wanted: Iterable[ids.DaemonId]) -> _Daemons:
        return [self.daemon_list.entry_by_id[each].daemon for each in wanted]

    def _sample(self, daemons: _Daemons, count: int) -> _Daemons:
        return self._random.sample(daemons, min(count, len(daemons)))

    def _own_news(self, state: State) -> _News:
        return _News(
            self.own.id,
            self.incarnation,
            state.value,
            0,
            self.own.domain,
            self.own.address,
        )

    def _describe(
        self, entry: daemon_list.DaemonEntry, state: State, now: float
    ) -> _News:
        # Only a new incarnation can bring a daemon with a new address.
        told = state in (State.LIVE, State.LEAVING)
        return _News(
            entry.daemon.id,
            entry.incarnation,
            state.value,
            min(int((now - entry.heard_at) * 1000), 86_400_000),
            entry.daemon.domain if told else ids.DomainName(""),
            entry.daemon.address if told else "",
        )

    def _pull(self, peers: Iterable[executors.Daemon]) -> list[Command]:
        return [Send(each, peer_messages.PullView()) for each in peers]

    def _beat(self, now: float) -> list[Command]:
        receivers = self._daemons(
            self.daemon_list.ring().receivers(self.own.id)
        )
        # A lost contact is renewed by one heartbeat at a time, so that both
        # sides of a healed partition find each other.
        unheard = self.daemon_list.unreachable_daemons()
        count = 1 if self._joined else ring.SUCCESSORS
        receivers += self._sample(unheard, count)
        commands: list[Command] = []
        for each in receivers:
            beat = peer_messages.HeartbeatData(
                self.incarnation,
                self._boot,
                self.own.domain,
                self.own.address,
                self.leaving,
                self.table_version,
                self.daemon_list.digest(self.incarnation, self.leaving),
                self._news.take(now),
            )
            commands.append(Send(each, peer_messages.Heartbeat(beat)))
        return commands

    def _spread(self, now: float) -> list[Command]:
        commands: list[Command] = []
        batches = self._news.take_urgent(now)
        if batches:
            peers = self._sample(
                self.daemon_list.reachable_daemons(), SPREAD_PEERS
            )
            commands += [Send(p, body) for body in batches for p in peers]
        return commands

    def _compare(
        self, sender: executors.Daemon, digest: int, now: float
    ) -> list[Command]:
        if digest == self.daemon_list.digest(self.incarnation, self.leaving):
            return []
        settled = now - self.daemon_list.changed_at >= DIFFERENCE_S
        if now - self._pulled_at < PULL_INTERVAL_S or not settled:
            return []
        self._pulled_at = now + self._random.uniform(0, DIFFERENCE_S)
        return self._pull([sender])

    def _revive(
        self,
        entry: daemon_list.DaemonEntry,
        daemon: executors.Daemon,
        incarnation: int,
        now: float,
    ) -> list[Command]:
        was, entry.state = entry.state, State.LIVE
        higher = incarnation > entry.incarnation
        entry.daemon, entry.incarnation = daemon, incarnation
        entry.heard_at = now
        if higher:
            entry.boot_id, entry.leaving = 0, False
        self.daemon_list.changed(now)
        if higher:
            # Everybody else needs to know at once only when they may have
            # given the daemon up.
            urgent = was in (State.SUSPECT, State.DEAD)
            told = self._describe(entry, State.LIVE, now)
            self._news.put(told, urgent, now)
        return [RecordEvent("daemon_live", daemon.id, incarnation)]

    def _mark_leaving(
        self, entry: daemon_list.DaemonEntry, now: float
    ) -> list[Command]:
        if entry.leaving:
            return []
        entry.leaving = True
        self.daemon_list.changed(now)
        told = self._describe(entry, State.LEAVING, now)
        self._news.put(told, True, now)
        return [
            RecordEvent("daemon_leaving", entry.daemon.id, entry.incarnation)
        ]

    def _suspect(
        self, entry: daemon_list.DaemonEntry, heard_at: float, now: float
    ) -> list[Command]:
        entry.heard_at = max(entry.heard_at, heard_at)
        if entry.state is not State.LIVE:
            return []
        entry.state = State.SUSPECT
        told = self._describe(entry, State.SUSPECT, now)
        self._news.put(told, True, now)
        name = entry.daemon.id
        return [
            Send(entry.daemon, peer_messages.Suspect((told,))),
            RecordEvent("daemon_suspect", name, entry.incarnation),
        ]

    def _judge(self, now: float) -> list[Command]:
        """Suspect silent daemons and give up those silent too long."""
        commands: list[Command] = []
        for entry, heard_at in list(self._watch.silent(self.daemon_list, now)):
            commands += self._suspect(entry, heard_at, now)
        suspects = [e for e in self.daemon_list if e.state is State.SUSPECT]
        if not suspects:
            return commands
        domain = self.own.domain
        for entry, heard_at in list(
            suspicion.silent_domains(self.daemon_list, domain)
        ):
            commands += self._suspect(entry, heard_at, now)
        for entry in suspects:
            if now - entry.heard_at >= suspicion.DEAD_AFTER_S:
                commands += self._give_up(entry, now)
        return commands

    def _give_up(
        self, entry: daemon_list.DaemonEntry, now: float
    ) -> list[Command]:
        entry.state, entry.died_at = State.DEAD, now
        self.daemon_list.changed(now)
        return [RecordEvent("daemon_dead", entry.daemon.id, entry.incarnation)]

    def _take(self, news: Iterable[_News], now: float) -> list[Command]:
        commands: list[Command] = []
        for each in news:
            if each.id == self.own.id:
                commands += self._take_own(each, now)
            elif each.incarnation >= 1 and 0 <= each.state <= 4:
                commands += self._take_one(each, now)
        return commands

    def _take_own(self, news: _News, now: float) -> list[Command]:
        doubted = news.state in (State.SUSPECT.value, State.DEAD.value)
        if news.incarnation < self.incarnation or not (
            doubted or news.incarnation > self.incarnation
        ):
            return []
        self.incarnation = news.incarnation + 1
        state = State.LEAVING if self.leaving else State.LIVE
        self._news.put(self._own_news(state), True, now)
        return [RecordEvent("daemon_refuted", self.own.id, self.incarnation)]

    def _take_one(self, news: _News, now: float) -> list[Command]:
        state = State(news.state)
        heard_at = now - news.age_ms / 1000
        alive = state in (State.LIVE, State.LEAVING)
        entry = self.daemon_list.entry_by_id.get(news.id)
        if entry is None:
            if not alive or not news.address:
                return []
            daemon = executors.Daemon(news.id, news.domain, news.address)
            entry = self.daemon_list.add(daemon, now)
        if news.incarnation < entry.incarnation or state is State.JOINING:
            return []
        commands: list[Command] = []
        if alive and news.incarnation > entry.incarnation:
            daemon = entry.daemon
            if news.address:
                daemon = executors.Daemon(news.id, news.domain, news.address)
            commands += self._revive(entry, daemon, news.incarnation, now)
        if state is State.LEAVING:
            commands += self._mark_leaving(entry, now)
        if not alive:
            commands += self._take_doubt(entry, news, heard_at, now)
        return commands

    def _take_doubt(
        self,
        entry: daemon_list.DaemonEntry,
        news: _News,
        heard_at: float,
        now: float,
    ) -> list[Command]:
        if news.incarnation > entry.incarnation:
            entry.incarnation, entry.heard_at = news.incarnation, heard_at
            entry.boot_id = 0
            if now - heard_at >= suspicion.DEAD_AFTER_S:
                return self._give_up(entry, now)
            if entry.state is State.JOINING:
                return []
            entry.state = State.LIVE
        elif now - entry.heard_at < suspicion.SUSPECT_AFTER_S:
            # This daemon has heard it since; only the daemon itself can
            # clear the suspicion for all.
            claim = peer_messages.Suspect((news,))
            return [Send(entry.daemon, claim)] if entry.in_use else []
        return self._suspect(entry, heard_at, now)
