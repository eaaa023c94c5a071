"""Task that monitors this daemon's groups and changes their primaries.

Explanation
===========

The coordinators of a group are the executors of its members.  The task checks
the failure detectors at a constant rate, probes a doubted primary directly,
and runs at most one promotion or handover per group at a time.

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
from burdockcart.process import store_client
from burdockcart.version import rows

CHECK_INTERVAL_S = 0.05
#: Range in seconds of the pause after a check found a reason not to promote.
CHECK_PAUSE_S = (0.1, 0.2)
#: Range in seconds of the pause after a failed attempt to adopt a term; the
#: jitter keeps two coordinators from colliding again.
BACK_OFF_S = (0.2, 0.6)

TARGET_ROLE = "target"
LEAVING = "leaving"


class GroupWatch:
    """State of the task for one group."""

    def __init__(self) -> None:
        self.attempt: attempts.Attempt | None = None
        self.suspected_at: float | None = None
        self.not_before = 0.0
        self.probing = False
        #: Whether the last check was answered by no other coordinator; only
        #: the next one may promote without them.  Otherwise a daemon whose
        #: links had failed would act on the first answers after they recover.
        self.alone = False


class Coordinator:
    """Detects lost primaries and runs promotions and handovers.

    Parameters
    ==========

    own : DaemonId
        Id of this daemon.
    rng : random.Random
        Source of the jitter.

    """

    def __init__(
        self,
        own: ids.DaemonId,
        served_groups: groups.Groups,
        directory: executors.Directory,
        peers: peer_transport.Peers,
        client: member_client.MemberClient,
        store: store_client.Store,
        time: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics | None = None,
    ):
        self._own = own
        self._groups = served_groups
        self._directory = directory
        self._peers = peers
        self._client = client
        self._store = store
        self._clock = time
        self._random = rng
        self._metrics = counters or metrics.Metrics()
        self.watch_by_group: dict[ids.GroupId, GroupWatch] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Check every group at a constant rate until cancelled."""
        try:
            while True:
                for view in list(self._groups.view_by_group.values()):
                    self._check_group(view)
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for task in list(self._tasks):
                task.cancel()

    def use_hosts(self, hosts: Iterable[store_client.Host]) -> None:
        """Apply the platform's list of hosts."""
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

    def _check_group(self, view: group_view.GroupView) -> None:
        own_members = self._groups.executor_by_member.keys()
        if not any(each.id in own_members for each in view.group.members):
            self.watch_by_group.pop(view.group.id, None)
            return
        watch = self.watch_by_group.setdefault(view.group.id, GroupWatch())
        primary = view.primary()
        detector = self._groups.detector_by_group[view.group.id]
        detector.record_check(self._clock.now())
        if watch.attempt is not None:
            self._report_term(watch.attempt, view)
            return
        level = self._suspicion(view, primary, watch)
        now = self._clock.now()
        if level is not failure_detector.SuspicionLevel.SUSPECTED:
            watch.suspected_at, watch.alone = None, False
            if primary is not None and now >= watch.not_before:
                self._start_handover_if_leaving(view, primary, watch)
            return
        if watch.suspected_at is None:
            watch.suspected_at = now
        delay_s = detector.start_delay_s(
            self._own, self._coordinators(view.group), now
        )
        if now >= max(watch.suspected_at + delay_s, watch.not_before):
            self._start_promotion(view, primary, watch)

    def _report_term(
        self, attempt: attempts.Attempt, view: group_view.GroupView
    ) -> None:
        machine = attempt.machine
        term, has_primary = view.term, view.primary() is not None
        if isinstance(machine, promotion.Promotion):
            attempt.event(lambda now: machine.seen(term, has_primary, now))
        else:
            attempt.event(lambda now: machine.seen(term))

    def _suspicion(
        self,
        view: group_view.GroupView,
        primary: rows.Member | None,
        watch: GroupWatch,
    ) -> failure_detector.SuspicionLevel:
        now = self._clock.now()
        detector = self._groups.detector_by_group[view.group.id]
        if primary is None:
            if not view.term:
                return failure_detector.SuspicionLevel.NONE
            return detector.assess_leaderless(view.term, now)
        detector.has_primary()
        is_executor = primary.id in self._groups.executor_by_member
        level = detector.assess_primary(primary.id, is_executor, now)
        if level is not failure_detector.SuspicionLevel.NONE and not (
            is_executor or watch.probing
        ):
            watch.probing = True
            self._spawn(self._probe_direct(primary, detector, watch))
        return level

    async def _probe_direct(
        self,
        member: rows.Member,
        detector: failure_detector.FailureDetector,
        watch: GroupWatch,
    ) -> None:
        sent_at = self._clock.now()
        try:
            state = await self._client.probe_direct(member)
        finally:
            watch.probing = False
        if state is None:
            detector.record_failed_probe(member.id, sent_at)
            return
        detector.record_good_probe(member.id, sent_at)
        self._groups.learn([state], sent_at)

    def _start_promotion(
        self,
        view: group_view.GroupView,
        primary: rows.Member | None,
        watch: GroupWatch,
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

    def _start_handover_if_leaving(
        self,
        view: group_view.GroupView,
        primary: rows.Member,
        watch: GroupWatch,
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
        watch: GroupWatch,
    ) -> None:
        def announce(state: peer_messages.MemberState) -> None:
            self._announce(view, state, machine.coordinator)

        watch.attempt = attempts.Attempt(
            machine, self._client, self._groups, announce
        )
        self._spawn(self._run(watch.attempt, watch, view.group.id))

    async def _run(
        self, attempt: attempts.Attempt, watch: GroupWatch, group: ids.GroupId
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
                _step_durations(machine, watch, now),
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
        await self._client.order(member, follow)

    async def _record(
        self, group: ids.GroupId, record: group_record.GroupRecord
    ) -> None:
        await group_record.write(self._store, group, record)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _step_durations(
    machine: promotion.Promotion | handover.Handover,
    watch: GroupWatch,
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
