"""States of all daemons, from heartbeats, gossip and the platform's list.

Explanation
===========

:class:`Membership` does no I/O: each method takes an event and the time and
returns the messages to send and the events to record.  A daemon is in use
while it is live or suspect.  It is dead once ``DEAD_AFTER_S`` have passed
since the last sign of life that any daemon reported.

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
#: Peers that an urgent update is sent to at once.
GOSSIP_FANOUT = 3
#: A list that differs from a peer's is pulled from it after this time without
#: changes; before that, updates in flight may explain the difference.
SETTLE_S = 1.0
PULL_INTERVAL_S = 2.0
#: A daemon whose event loop stalls for longer loses its executor rights.  Must
#: be below the time after which another daemon takes over, so that it notices
#: before the other starts.
MAX_STALL_S = 1.0

State = daemon_list.State
_Update = peer_messages.DaemonUpdate
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
        Daemons to contact even if the platform's list does not have them.
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
        # Not from the generator: two runs with the same seed must differ.
        self._boot = secrets.randbits(32)
        self._random = generator
        self._seeds = tuple(seeds)
        self._gossip = gossip_queue.GossipQueue()
        self._next_heartbeat_at = now + generator.uniform(0, HEARTBEAT_S)
        self._ticked_at = now
        self._pulled_at = now - PULL_INTERVAL_S
        self._joined = False
        self._monitor = suspicion.HeartbeatMonitor(own)
        for each in self._seeds:
            self.daemon_list.add(each, now)

    def use_list(self, hosts: Iterable[executors.Daemon], now: float) -> None:
        """Apply the platform's list, which only adds hosts to contact."""
        self.daemon_list.use_list([*hosts, *self._seeds], now)

    def in_use(self) -> list[executors.Daemon]:
        """Return the daemons that may take roles, this one included."""
        own = [] if self.leaving else [self.own]
        return own + [e.daemon for e in self.daemon_list if e.in_use]

    def stalled(self, now: float) -> bool:
        """Return whether this process has not ticked for too long."""
        return now - self._ticked_at > MAX_STALL_S

    def resume(self, now: float) -> list[Command]:
        """Resume after a stall, which does not count as silence of others."""
        gap, self._ticked_at = now - self._ticked_at, now
        for entry in self.daemon_list:
            if entry.state is not State.DEAD:
                entry.last_seen_at = min(entry.last_seen_at + gap, now)
        self._monitor.shift(gap, now)
        self._pulled_at = now
        peers = self._sample(
            self.daemon_list.reachable_daemons(), GOSSIP_FANOUT
        )
        return [*self._heartbeats(now), *self._pull(peers)]

    def tick(self, now: float) -> list[Command]:
        """Advance time; to be called every 50 ms."""
        if self.stalled(now):
            return self.resume(now)
        self._ticked_at = now
        commands = self._detect_failures(now)
        if now >= self._next_heartbeat_at:
            late = now - self._next_heartbeat_at > HEARTBEAT_S
            self._next_heartbeat_at = (
                now if late else self._next_heartbeat_at
            ) + HEARTBEAT_S
            commands += self._heartbeats(now)
            if not self._joined:
                joining = self.daemon_list.in_state(State.JOINING)
                commands += self._pull(self._sample(joining, GOSSIP_FANOUT))
            self.daemon_list.forget(now)
        return commands + self._send_urgent(now)

    def on_heartbeat(
        self,
        sender: ids.DaemonId,
        heartbeat: peer_messages.HeartbeatData,
        now: float,
    ) -> list[Command]:
        """Apply a heartbeat of the sender."""
        daemon = executors.Daemon(sender, heartbeat.domain, heartbeat.address)
        entry = self.daemon_list.add(daemon, now)
        stale = heartbeat.incarnation < entry.incarnation
        same = heartbeat.incarnation == entry.incarnation
        replaced = same and entry.boot_id not in (0, heartbeat.boot_id)
        if stale or replaced or (same and entry.state is State.DEAD):
            # The sender refutes this with a higher incarnation, which tells
            # its new run from the one that others have declared dead.
            if entry.boot_id != heartbeat.boot_id:
                entry.daemon = daemon
            update = self._update_of(entry, State.DEAD, now)
            return [Send(daemon, peer_messages.Suspect((update,)))]
        commands: list[Command] = []
        if not same or entry.state in (State.JOINING, State.SUSPECT):
            commands += self._revive(entry, daemon, heartbeat.incarnation, now)
        entry.boot_id, entry.last_seen_at = heartbeat.boot_id, now
        if heartbeat.leaving:
            commands += self._mark_leaving(entry, now)
        commands += self._apply_updates(heartbeat.news, now)
        return commands + self._pull_if_different(
            daemon, heartbeat.digest, now
        )

    def on_updates(
        self, updates: Iterable[_Update], now: float
    ) -> list[Command]:
        """Apply the updates that another daemon sent."""
        return self._apply_updates(updates, now) + self._send_urgent(now)

    def on_view(self, updates: Iterable[_Update], now: float) -> list[Command]:
        """Apply the full list that was pulled from another daemon."""
        self._joined = True
        return self.on_updates(updates, now)

    def view(self, now: float) -> peer_messages.View:
        """Return the full list, for a daemon that pulls it."""
        updates = [
            self._update_of(entry, entry.state, now)
            for entry in self.daemon_list
            if entry.state is not State.JOINING
        ]
        own = self._own_update(State.LEAVING if self.leaving else State.LIVE)
        return peer_messages.View((own, *updates))

    def leave(self, now: float) -> list[Command]:
        """Announce that this daemon takes no new roles."""
        self.leaving = True
        self.daemon_list.changed(now)
        update = self._own_update(State.LEAVING)
        self._gossip.put(update, True, now)
        receivers = self._daemons(
            self.daemon_list.ring().receivers(self.own.id)
        )
        body = peer_messages.Leaving((update,))
        return [
            *(Send(each, body) for each in receivers),
            *self._send_urgent(now),
        ]

    def _daemons(self, wanted: Iterable[ids.DaemonId]) -> _Daemons:
        return [self.daemon_list.entry_by_id[each].daemon for each in wanted]

    def _sample(self, daemons: _Daemons, count: int) -> _Daemons:
        return self._random.sample(daemons, min(count, len(daemons)))

    def _own_update(self, state: State) -> _Update:
        return _Update(
            self.own.id,
            self.incarnation,
            state.value,
            0,
            self.own.domain,
            self.own.address,
        )

    def _update_of(
        self, entry: daemon_list.DaemonEntry, state: State, now: float
    ) -> _Update:
        # An address changes only with a new incarnation, which a suspect or
        # dead daemon does not announce.
        alive = state in (State.LIVE, State.LEAVING)
        return _Update(
            entry.daemon.id,
            entry.incarnation,
            state.value,
            min(int((now - entry.last_seen_at) * 1000), 86_400_000),
            entry.daemon.domain if alive else ids.DomainName(""),
            entry.daemon.address if alive else "",
        )

    def _pull(self, peers: Iterable[executors.Daemon]) -> list[Command]:
        return [Send(each, peer_messages.PullView()) for each in peers]

    def _heartbeats(self, now: float) -> list[Command]:
        receivers = self._daemons(
            self.daemon_list.ring().receivers(self.own.id)
        )
        # One unreachable daemon at a time gets a heartbeat too, so that both
        # sides of a healed partition find each other.
        unreachable = self.daemon_list.unreachable_daemons()
        count = 1 if self._joined else ring.SUCCESSORS
        receivers += self._sample(unreachable, count)
        # An update is carried by a few heartbeats only.
        self._random.shuffle(receivers)
        commands: list[Command] = []
        for each in receivers:
            heartbeat = peer_messages.HeartbeatData(
                self.incarnation,
                self._boot,
                self.own.domain,
                self.own.address,
                self.leaving,
                self.table_version,
                self.daemon_list.digest(self.incarnation, self.leaving),
                self._gossip.take(now),
            )
            commands.append(Send(each, peer_messages.Heartbeat(heartbeat)))
        return commands

    def _send_urgent(self, now: float) -> list[Command]:
        commands: list[Command] = []
        batches = self._gossip.take_urgent(now)
        if batches:
            peers = self._sample(
                self.daemon_list.reachable_daemons(), GOSSIP_FANOUT
            )
            commands += [Send(p, body) for body in batches for p in peers]
        return commands

    def _pull_if_different(
        self, sender: executors.Daemon, digest: int, now: float
    ) -> list[Command]:
        if digest == self.daemon_list.digest(self.incarnation, self.leaving):
            return []
        list_settled = now - self.daemon_list.changed_at >= SETTLE_S
        if now - self._pulled_at < PULL_INTERVAL_S or not list_settled:
            return []
        self._pulled_at = now + self._random.uniform(0, SETTLE_S)
        return self._pull([sender])

    def _revive(
        self,
        entry: daemon_list.DaemonEntry,
        daemon: executors.Daemon,
        incarnation: int,
        now: float,
    ) -> list[Command]:
        previous, entry.state = entry.state, State.LIVE
        is_newer = incarnation > entry.incarnation
        entry.daemon, entry.incarnation = daemon, incarnation
        entry.last_seen_at = now
        if is_newer:
            entry.boot_id, entry.leaving = 0, False
        self.daemon_list.changed(now)
        if is_newer:
            # Urgent only if other daemons may suspect the daemon or have
            # declared it dead.
            urgent = previous in (State.SUSPECT, State.DEAD)
            update = self._update_of(entry, State.LIVE, now)
            self._gossip.put(update, urgent, now)
        return [RecordEvent("daemon_live", daemon.id, incarnation)]

    def _mark_leaving(
        self, entry: daemon_list.DaemonEntry, now: float
    ) -> list[Command]:
        if entry.leaving:
            return []
        entry.leaving = True
        self.daemon_list.changed(now)
        update = self._update_of(entry, State.LEAVING, now)
        self._gossip.put(update, True, now)
        return [
            RecordEvent("daemon_leaving", entry.daemon.id, entry.incarnation)
        ]

    def _suspect(
        self, entry: daemon_list.DaemonEntry, last_seen_at: float, now: float
    ) -> list[Command]:
        entry.last_seen_at = max(entry.last_seen_at, last_seen_at)
        if entry.state is not State.LIVE:
            return []
        entry.state = State.SUSPECT
        update = self._update_of(entry, State.SUSPECT, now)
        self._gossip.put(update, True, now)
        name = entry.daemon.id
        return [
            Send(entry.daemon, peer_messages.Suspect((update,))),
            RecordEvent("daemon_suspect", name, entry.incarnation),
        ]

    def _detect_failures(self, now: float) -> list[Command]:
        """Suspect silent daemons; declare dead those silent for too long."""
        commands: list[Command] = []
        for entry, last_seen_at in list(
            self._monitor.silent(self.daemon_list, now)
        ):
            commands += self._suspect(entry, last_seen_at, now)
        suspects = [e for e in self.daemon_list if e.state is State.SUSPECT]
        if not suspects:
            return commands
        domain = self.own.domain
        for entry, last_seen_at in list(
            suspicion.silent_domains(self.daemon_list, domain)
        ):
            commands += self._suspect(entry, last_seen_at, now)
        for entry in suspects:
            if now - entry.last_seen_at >= suspicion.DEAD_AFTER_S:
                commands += self._declare_dead(entry, now)
        return commands

    def _declare_dead(
        self, entry: daemon_list.DaemonEntry, now: float
    ) -> list[Command]:
        entry.state, entry.died_at = State.DEAD, now
        self.daemon_list.changed(now)
        return [RecordEvent("daemon_dead", entry.daemon.id, entry.incarnation)]

    def _apply_updates(
        self, updates: Iterable[_Update], now: float
    ) -> list[Command]:
        commands: list[Command] = []
        for each in updates:
            if each.id == self.own.id:
                commands += self._apply_own_update(each, now)
            elif each.incarnation >= 1 and 0 <= each.state <= 4:
                commands += self._apply_update(each, now)
        return commands

    def _apply_own_update(self, update: _Update, now: float) -> list[Command]:
        suspected = update.state in (State.SUSPECT.value, State.DEAD.value)
        if update.incarnation < self.incarnation or not (
            suspected or update.incarnation > self.incarnation
        ):
            return []
        self.incarnation = update.incarnation + 1
        state = State.LEAVING if self.leaving else State.LIVE
        self._gossip.put(self._own_update(state), True, now)
        return [RecordEvent("daemon_refuted", self.own.id, self.incarnation)]

    def _apply_update(self, update: _Update, now: float) -> list[Command]:
        state = State(update.state)
        last_seen_at = now - update.age_ms / 1000
        alive = state in (State.LIVE, State.LEAVING)
        entry = self.daemon_list.entry_by_id.get(update.id)
        if entry is None:
            if not alive or not update.address:
                return []
            daemon = executors.Daemon(update.id, update.domain, update.address)
            entry = self.daemon_list.add(daemon, now)
        if update.incarnation < entry.incarnation or state is State.JOINING:
            return []
        commands: list[Command] = []
        if alive and update.incarnation > entry.incarnation:
            daemon = entry.daemon
            if update.address:
                daemon = executors.Daemon(
                    update.id, update.domain, update.address
                )
            commands += self._revive(entry, daemon, update.incarnation, now)
        if state is State.LEAVING:
            commands += self._mark_leaving(entry, now)
        if not alive:
            commands += self._apply_suspicion(entry, update, last_seen_at, now)
        return commands

    def _apply_suspicion(
        self,
        entry: daemon_list.DaemonEntry,
        update: _Update,
        last_seen_at: float,
        now: float,
    ) -> list[Command]:
        if update.incarnation > entry.incarnation:
            entry.incarnation, entry.last_seen_at = (
                update.incarnation,
                last_seen_at,
            )
            entry.boot_id = 0
            if now - last_seen_at >= suspicion.DEAD_AFTER_S:
                return self._declare_dead(entry, now)
            if entry.state is State.JOINING:
                return []
            entry.state = State.LIVE
        elif now - entry.last_seen_at < suspicion.SUSPECT_AFTER_S:
            # This daemon has heard from it since, but only the suspected
            # daemon itself can refute the suspicion for all.
            message = peer_messages.Suspect((update,))
            return [Send(entry.daemon, message)] if entry.in_use else []
        return self._suspect(entry, last_seen_at, now)
