"""Task that watches the groups this daemon coordinates and changes primaries.

Explanation
===========

The coordinators of a group are the executors of its members.  The task looks
at the evidence at a constant rate, makes direct probes while a primary is
doubted, and runs at most one promotion or handover of a group at a time.

"""

import asyncio
import random
from typing import Any
from typing import Coroutine
from typing import Iterable
import uuid

import loguru

from burdockcart import clock
from burdockcart import ids
from burdockcart.process import attempts
from burdockcart.process import executors
from burdockcart.process import failure_detector
from burdockcart.process import group_record
from burdockcart.process import group_view
from burdockcart.process import groups
from burdockcart.process import handover
from burdockcart.process import member_client
from burdockcart.process import metrics
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import promotion
from burdockcart.process import store_edge
from burdockcart.version import rows

LOOK_INTERVAL_S = 0.05
#: Pause after a check that found a reason not to promote.
CHECK_PAUSE_S = (0.1, 0.2)
#: Pause after a term was asked for without effect; the jitter lets one of
#: two coordinators go first.
BACK_OFF_S = (0.2, 0.6)

TARGET_ROLE = "target"
LEAVING = "leaving"


class Watch:
    """What the task keeps of one group."""

    def __init__(self) -> None:
        self.attempt: attempts.Attempt | None = None
        self.suspected_at: float | None = None
        self.not_before = 0.0
        self.probing = False
        #: Whether a check found no other coordinator.  The next one may do
        #: without: a daemon whose own links fail would otherwise act on the
        #: first answers after their return.
        self.alone = False


class Coordinator:
    """Detects lost primaries and runs promotions and handovers.

    Parameters
    ==========

    own : DaemonId
        Id of this daemon.
    chance : random.Random
        Source of the jitter.

    """

    def __init__(
        self,
        own: ids.DaemonId,
        served: groups.Groups,
        directory: executors.Directory,
        peers: peer_transport.Peers,
        link: member_client.MemberClient,
        store: store_edge.Store,
        time: clock.Clock,
        chance: random.Random,
        counters: metrics.Metrics | None = None,
    ):
        self._own = own
        self._groups = served
        self._directory = directory
        self._peers = peers
        self._link = link
        self._store = store
        self._clock = time
        self._random = chance
        self._metrics = counters or metrics.Metrics()
        self.watch_by_group: dict[ids.GroupId, Watch] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Look at every group at a constant rate."""
        try:
            while True:
                for view in list(self._groups.view_by_group.values()):
                    self._look(view)
                await asyncio.sleep(LOOK_INTERVAL_S)
        finally:
            for task in list(self._tasks):
                task.cancel()

    def use_hosts(self, hosts: Iterable[store_edge.Host]) -> None:
        """Take over the platform's list of hosts."""
        leaving = frozenset(
            ids.MemberId(host.id)
            for host in hosts
            if host.role == TARGET_ROLE and host.state == LEAVING
        )
        self._groups.use_leaving(leaving)

    def _coordinators(self, group: rows.Group) -> list[ids.DaemonId]:
        found = {
            daemon.id: daemon
            for member in group.members
            if (daemon := self._directory.executor_of(member)) is not None
        }
        ordered = executors.ranked(group.id, found.values())
        return [each.id for each in ordered]

    def _look(self, view: group_view.GroupView) -> None:
        own_members = self._groups.executor_by_member.keys()
        if not any(each.id in own_members for each in view.group.members):
            self.watch_by_group.pop(view.group.id, None)
            return
        watch = self.watch_by_group.setdefault(view.group.id, Watch())
        primary = view.primary()
        evidence = self._groups.detector_by_group[view.group.id]
        evidence.record_check(self._clock.now())
        if watch.attempt is not None:
            self._tell(watch.attempt, view)
            return
        doubt = self._doubt(view, primary, watch)
        now = self._clock.now()
        if doubt is not failure_detector.SuspicionLevel.SUSPECTED:
            watch.suspected_at, watch.alone = None, False
            if primary is not None and now >= watch.not_before:
                self._look_at_leaving(view, primary, watch)
            return
        if watch.suspected_at is None:
            watch.suspected_at = now
        turn = evidence.start_delay_s(
            self._own, self._coordinators(view.group), now
        )
        if now >= max(watch.suspected_at + turn, watch.not_before):
            self._start_promotion(view, primary, watch)

    def _tell(
        self, attempt: attempts.Attempt, view: group_view.GroupView
    ) -> None:
        machine = attempt.machine
        term, has_primary = view.term, view.primary() is not None
        if isinstance(machine, promotion.Promotion):
            attempt.event(lambda now: machine.seen(term, has_primary, now))
        else:
            attempt.event(lambda now: machine.seen(term))

    def _doubt(
        self,
        view: group_view.GroupView,
        primary: rows.Member | None,
        watch: Watch,
    ) -> failure_detector.SuspicionLevel:
        now = self._clock.now()
        evidence = self._groups.detector_by_group[view.group.id]
        if primary is None:
            if not view.term:
                return failure_detector.SuspicionLevel.NONE
            return evidence.assess_leaderless(view.term, now)
        evidence.has_primary()
        is_executor = primary.id in self._groups.executor_by_member
        doubt = evidence.assess_primary(primary.id, is_executor, now)
        if doubt is not failure_detector.SuspicionLevel.NONE and not (
            is_executor or watch.probing
        ):
            watch.probing = True
            self._spawn(self._probe_direct(primary, evidence, watch))
        return doubt

    async def _probe_direct(
        self,
        member: rows.Member,
        evidence: failure_detector.FailureDetector,
        watch: Watch,
    ) -> None:
        sent_at = self._clock.now()
        try:
            state = await self._link.probe_direct(member)
        finally:
            watch.probing = False
        if state is None:
            evidence.record_failed_probe(member.id, sent_at)
            return
        evidence.record_good_probe(member.id, sent_at)
        self._groups.learn([state], sent_at)

    def _start_promotion(
        self,
        view: group_view.GroupView,
        primary: rows.Member | None,
        watch: Watch,
    ) -> None:
        machine = promotion.Promotion(
            view.group,
            f"{self._own}/{uuid.uuid4().hex}",
            primary.id if primary else None,
            view.term,
            self._clock.now(),
            watch.alone,
        )
        self._start(machine, view, watch)

    def _look_at_leaving(
        self,
        view: group_view.GroupView,
        primary: rows.Member,
        watch: Watch,
    ) -> None:
        leaving = self._groups.leaving
        if primary.id not in leaving or (
            primary.id not in self._groups.executor_by_member
        ):
            return
        if all(each.id in leaving for each in view.group.members):
            return
        machine = handover.Handover(
            view.group,
            primary.id,
            set(leaving),
            f"{self._own}/{uuid.uuid4().hex}",
            view.term,
            self._clock.now(),
        )
        self._start(machine, view, watch)

    def _start(
        self,
        machine: promotion.Promotion | handover.Handover,
        view: group_view.GroupView,
        watch: Watch,
    ) -> None:
        def announce(state: peer_messages.MemberState) -> None:
            self._announce(view, state, machine.coordinator)

        watch.attempt = attempts.Attempt(
            machine, self._link, self._groups, announce
        )
        self._spawn(self._run(watch.attempt, watch, view.group.id))

    async def _run(
        self, attempt: attempts.Attempt, watch: Watch, group: ids.GroupId
    ) -> None:
        started_at = self._clock.now()
        machine = attempt.machine
        try:
            await attempt.run()
        finally:
            watch.attempt = None
            if isinstance(machine, promotion.Promotion):
                watch.alone = machine.no_peer_answered
            now = self._clock.now()
            watch.not_before = now + self._pause(machine)
            self._count(machine, now - started_at)
            loguru.logger.info(
                "event={}_ended group={} phase={} term={} reason={!r} "
                "duration_ms={:.0f} {}",
                type(machine).__name__.lower(),
                group,
                machine.phase.value,
                machine.term,
                machine.reason,
                (now - started_at) * 1000,
                _parts(machine, watch, now),
            )

    def _count(
        self,
        machine: promotion.Promotion | handover.Handover,
        duration_s: float,
    ) -> None:
        done = machine.phase.value == "done"
        if isinstance(machine, handover.Handover):
            if done:
                self._metrics.timing("handover.duration", duration_s)
            self._metrics.count("handover.done" if done else "handover.failed")
            return
        if done:
            self._metrics.timing("promotion.duration", duration_s)
        self._metrics.count("promotion.done" if done else "promotion.failed")

    def _pause(
        self, machine: promotion.Promotion | handover.Handover
    ) -> float:
        if isinstance(machine, handover.Handover):
            return handover.RETRY_AFTER_S
        pause = BACK_OFF_S if machine.adopted else CHECK_PAUSE_S
        return self._random.uniform(*pause)

    def _announce(
        self,
        view: group_view.GroupView,
        state: peer_messages.MemberState,
        change_id: str,
    ) -> None:
        group = view.group
        self._groups.learn([state], self._clock.now())
        changed = peer_messages.GroupChanged(
            group.id, state.member, state.term, state
        )
        for peer in self._directory.others():
            self._peers.send(peer, changed)
        address = next(
            each.address for each in group.members if each.id == state.member
        )
        for member in group.members:
            if member.id != state.member:
                follow = peer_messages.Follow(member.id, state.term, address)
                self._spawn(self._order(member, follow))
        record = group_record.GroupRecord(state.member, state.term, change_id)
        self._spawn(self._record(group.id, record))

    async def _order(
        self, member: rows.Member, follow: peer_messages.Follow
    ) -> None:
        await self._link.order(member, follow)

    async def _record(
        self, group: ids.GroupId, record: group_record.GroupRecord
    ) -> None:
        await group_record.write(self._store, group, record)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _parts(
    machine: promotion.Promotion | handover.Handover,
    watch: Watch,
    now: float,
) -> str:
    """Return the durations of the steps as key=value pairs."""
    if isinstance(machine, handover.Handover):
        held = (
            (now - machine.writes_held_at) * 1000
            if machine.writes_held_at
            else 0.0
        )
        return f"held_ms={held:.0f}"
    if machine.phase is not promotion.Phase.DONE:
        return ""
    turn = machine.started_at - (watch.suspected_at or machine.started_at)
    return (
        f"turn_ms={turn * 1000:.0f} "
        f"fence_ms={(machine.fenced_at - machine.started_at) * 1000:.0f} "
        f"activation_ms="
        f"{(machine.promoting_at - machine.fenced_at) * 1000:.0f} "
        f"promote_ms={(now - machine.promoting_at) * 1000:.0f}"
    )
