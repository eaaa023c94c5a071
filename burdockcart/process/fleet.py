"""Task that maintains the list of daemons and this one's executor rights."""

import asyncio
import random
from typing import Any
from typing import Callable
from typing import Iterable

import loguru

from burdockcart import clock
from burdockcart import ids
from burdockcart.process import executor_rights
from burdockcart.process import executors
from burdockcart.process import membership
from burdockcart.process import metrics
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import store_client
from burdockcart.version import rows

DAEMON_ROLE = "daemon"
#: Must be small against the 0.4 s between suspecting a daemon and declaring
#: it dead.
TICK_S = 0.05
ANSWER_TIMEOUT_S = 0.3
#: Longest wait for a new executor to take over at shutdown.
HANDOVER_TIMEOUT_S = 5.0

OnVersion = Callable[[ids.DaemonId, ids.TableVersion], None]
_REQUEST_TYPES = (peer_messages.PullView, peer_messages.ReleaseExecutor)


class Fleet:
    """Directory of the daemons in use, driven by the membership protocol.

    Parameters
    ==========

    own : Daemon
        This daemon.
    seeds : iterable of Daemon
        Daemons to contact even if the platform's list does not have them.
    generator : Random
        Source of all random choices.
    on_change : callable
        Called when the choice of executors or a right of this daemon may
        have changed.
    on_stall : callable
        Called first when the event loop resumes after too long a stall.
    on_peer_version : callable
        Called with the table version in each received heartbeat.
    table_version : callable
        Returns the table version to send in heartbeats.

    """

    def __init__(
        self,
        own: executors.Daemon,
        peers: peer_transport.Peers,
        time: clock.Clock,
        generator: random.Random,
        seeds: Iterable[executors.Daemon] = (),
        counters: metrics.Metrics | None = None,
    ):
        self._own = own
        self._peers = peers
        self._clock = time
        self._generator = generator
        self._seeds = tuple(seeds)
        self._metrics = counters or metrics.Metrics()
        self._choices = executors.ExecutorCache()
        self._choices.use([own])
        self.daemon_by_id = {own.id: own}
        self.on_change: Callable[[], None] = lambda: None
        self.on_stall: Callable[[], None] = lambda: None
        self.on_peer_version: OnVersion = lambda daemon, version: None
        self.table_version: Callable[[], int] = lambda: 0
        self._version = -1
        self._tasks: set[asyncio.Task[Any]] = set()
        self._state: membership.Membership | None = None
        self._rights: executor_rights.ExecutorRights | None = None
        peers.on(peer_messages.Heartbeat, self._on_heartbeat)
        for kind in (
            peer_messages.Suspect,
            peer_messages.Refute,
            peer_messages.Leaving,
        ):
            peers.on(kind, self._on_gossip)
        peers.on(peer_messages.PullView, self._on_pull)
        peers.on(peer_messages.ReleaseExecutor, self._on_release_request)
        peers.on(peer_messages.ExecutorReleased, self._on_released)

    @property
    def state(self) -> membership.Membership:
        """Return the membership state, created on first use."""
        if self._state is None:
            now = self._clock.now()
            self._state = membership.Membership(
                self._own, self._seeds, self._generator, now
            )
        return self._state

    @property
    def rights(self) -> executor_rights.ExecutorRights:
        """Return this daemon's executor rights, created on first use."""
        if self._rights is None:
            self._rights = executor_rights.ExecutorRights(
                self._own, self.state.daemon_list, self._clock.now()
            )
        return self._rights

    async def run(self) -> None:
        """Send heartbeats and detect dead daemons until cancelled."""
        while True:
            self.step()
            await asyncio.sleep(TICK_S)

    def step(self) -> None:
        """Run one tick of the membership protocol."""
        self._handle_stall()
        self.state.table_version = self.table_version()
        self._run_commands(self.state.tick(self._clock.now()))
        self._apply_changes()

    def stop(self) -> None:
        """Cancel the requests that wait for an answer."""
        for task in list(self._tasks):
            task.cancel()

    def use_list(self, hosts: Iterable[store_client.Host]) -> None:
        """Apply the platform's list of hosts."""
        listed = [
            executors.Daemon(
                ids.DaemonId(host.id),
                ids.DomainName(host.domain),
                host.address,
            )
            for host in hosts
            if host.role == DAEMON_ROLE
        ]
        self._handle_stall()
        self.state.use_list(listed, self._clock.now())
        if any(each.id != self._own.id for each in listed):
            self.rights.note_peers_known()
        self._apply_changes()

    async def leave(self) -> None:
        """Announce the shutdown and hand over the executors."""
        self._run_commands(self.state.leave(self._clock.now()))
        self._apply_changes()
        deadline = self._clock.now() + HANDOVER_TIMEOUT_S
        while self.rights.held and self._clock.now() < deadline:
            await asyncio.sleep(TICK_S)

    def executor_of(self, member: rows.Member) -> executors.Daemon | None:
        """Return the daemon that connects to a member."""
        return self._choices.of(member)

    def others(self) -> list[ids.DaemonId]:
        """Return the ids of the other daemons in use."""
        return [each for each in self.daemon_by_id if each != self._own.id]

    def claim(self, members: Iterable[rows.Member]) -> None:
        """Claim the right to be the executor of exactly these members."""
        self.rights.claim(members, self._clock.now())

    def may_act(self, member: ids.MemberId) -> bool:
        """Return whether this daemon may start work on a member now."""
        return self.holds(member) and not self.state.stalled(self._clock.now())

    def holds(self, member: ids.MemberId) -> bool:
        """Return whether this daemon is the executor of a member."""
        return member in self.rights.held

    def released(self, member: ids.MemberId) -> None:
        """Record that this daemon has no more work running on a member."""
        loguru.logger.info("event=executor_released member={}", member)
        self._run_commands(self.rights.release(member))

    def _handle_stall(self) -> None:
        """Drop all rights after a stall, before anything acts on them."""
        now = self._clock.now()
        if not self.state.stalled(now):
            return
        loguru.logger.warning("event=event_loop_stalled id={}", self._own.id)
        self._metrics.count("membership.stalls")
        self.rights.reset(now)
        self.on_stall()
        self._run_commands(self.state.resume(now))
        self.on_change()

    def _apply_changes(self) -> None:
        """Propagate the changes that the last event made."""
        if self._version != self.state.daemon_list.version:
            self._version = self.state.daemon_list.version
            in_use = self.state.in_use()
            self.daemon_by_id = {each.id: each for each in in_use}
            self._choices.use(in_use)
            self._metrics.gauge("membership.in_use", len(in_use))
            self.on_change()
        # After on_change, so that no right is gained for a member whose
        # executor is another daemon by now.
        gained, commands = self.rights.tick(self._clock.now())
        self._run_commands(commands)
        if gained:
            self.on_change()

    def _run_commands(self, commands: Iterable[membership.Command]) -> None:
        for command in commands:
            if isinstance(command, membership.RecordEvent):
                self._record_event(command)
                continue
            peer = command.to
            self._peers.connect(peer.id, peer.address)
            if isinstance(command.body, _REQUEST_TYPES):
                task = asyncio.create_task(
                    self._request(peer.id, command.body)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            else:
                self._peers.send(peer.id, command.body)

    def _record_event(self, record: membership.RecordEvent) -> None:
        if record.event == "daemon_dead":
            self._peers.disconnect(record.daemon)
        self._metrics.count(f"membership.{record.event}")
        loguru.logger.info(
            "event={} daemon={} incarnation={} id={}",
            record.event,
            record.daemon,
            record.incarnation,
            self._own.id,
        )

    async def _request(self, peer: ids.DaemonId, body: Any) -> None:
        reply = await self._peers.request(peer, body, ANSWER_TIMEOUT_S)
        answer = reply.value_or(None)
        self._handle_stall()
        now = self._clock.now()
        if isinstance(answer, peer_messages.View):
            self.rights.note_peers_known()
            self._run_commands(self.state.on_view(answer.news, now))
        elif isinstance(answer, peer_messages.ExecutorReleased):
            self.rights.record_message(peer, now)
            self.rights.on_released(peer, answer)
        self._apply_changes()

    async def _on_heartbeat(
        self, sender: ids.DaemonId, message: peer_messages.Heartbeat
    ) -> None:
        self._handle_stall()
        now, heartbeat = self._clock.now(), message.beat
        self.rights.record_message(sender, now)
        self._run_commands(self.state.on_heartbeat(sender, heartbeat, now))
        self.on_peer_version(sender, ids.TableVersion(heartbeat.table_version))
        self._apply_changes()

    async def _on_gossip(self, sender: ids.DaemonId, message: Any) -> None:
        self._handle_stall()
        now = self._clock.now()
        self._run_commands(self.state.on_updates(message.news, now))
        self._apply_changes()

    async def _on_pull(
        self, sender: ids.DaemonId, message: peer_messages.PullView
    ) -> peer_messages.View:
        self._handle_stall()
        return self.state.view(self._clock.now())

    async def _on_release_request(
        self, sender: ids.DaemonId, message: peer_messages.ReleaseExecutor
    ) -> peer_messages.ExecutorReleased:
        self._handle_stall()
        self.rights.record_message(sender, self._clock.now())
        released = self.rights.on_release_request(sender, message)
        return peer_messages.ExecutorReleased(released, message.serial)

    async def _on_released(
        self, sender: ids.DaemonId, message: peer_messages.ExecutorReleased
    ) -> None:
        self._handle_stall()
        self.rights.record_message(sender, self._clock.now())
        self.rights.on_released(sender, message)
        self._apply_changes()
