"""Executors of the members that this daemon serves, and the group views."""

import asyncio
import collections
import functools
from typing import Iterable

import loguru

from burdockcart import clock
from burdockcart.connection import target_connection
from burdockcart import ids
from burdockcart.process import confirmation
from burdockcart.process import executors
from burdockcart.process import failure_detector
from burdockcart.process import following
from burdockcart.process import group_view
from burdockcart.process import member_executor
from burdockcart.process import metrics
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import write_gate
from burdockcart.version import rows

REPORT_INTERVAL_S = 0.2

#: Seconds that the statements of a released executor have to finish.
RELEASE_TIMEOUT_S = 2.0
RELEASE_POLL_S = 0.02


class Groups:
    """Owns the member executors of this daemon and all group views.

    Parameters
    ==========

    own : DaemonId
        Id of this daemon.
    directory : Directory
        Tells which daemon is the executor of a member.

    """

    def __init__(
        self,
        own: ids.DaemonId,
        directory: executors.Directory,
        peers: peer_transport.Peers,
        connector: target_connection.Connector,
        time: clock.Clock,
        counters: metrics.Metrics | None = None,
    ):
        self._metrics = counters or metrics.Metrics()
        self._own = own
        self._directory = directory
        self._peers = peers
        self._connector = connector
        self._clock = time
        self._tables: rows.Tables | None = None
        self.view_by_group: dict[ids.GroupId, group_view.GroupView] = {}
        self.executor_by_member: dict[
            ids.MemberId, member_executor.MemberExecutor
        ] = {}
        self.confirmer_by_group: dict[ids.GroupId, confirmation.Confirmer] = {}
        self._probes: dict[ids.MemberId, asyncio.Task[None]] = {}
        self._reporting: asyncio.Task[None] | None = None
        self._good_at: dict[ids.MemberId, float] = {}
        self._gate_by_group: dict[ids.GroupId, write_gate.WriteGate] = {}
        self._view_by_member: dict[ids.MemberId, group_view.GroupView] = {}
        self.detector_by_group: dict[
            ids.GroupId, failure_detector.FailureDetector
        ] = collections.defaultdict(failure_detector.FailureDetector)
        #: Members whose hosts are marked as leaving.
        self.leaving: frozenset[ids.MemberId] = frozenset()
        peers.on(peer_messages.GroupChanged, self._on_group_changed)
        self._releases: dict[ids.MemberId, asyncio.Task[None]] = {}
        peers.on(peer_messages.Confirm, self._on_confirm)
        peers.on(peer_messages.MemberReport, self._on_report)

    def use_tables(self, tables: rows.Tables) -> None:
        """Apply a new version of the tables."""
        self._tables = tables
        groups = [
            group
            for pool in tables.pool_by_name.values()
            for group in pool.groups
        ]
        self.view_by_group = {
            group.id: self.view_by_group.get(group.id)
            or group_view.GroupView(group)
            for group in groups
        }
        for group in groups:
            self.view_by_group[group.id].group = group
            self.view_by_group[group.id].leaving = self.leaving
        self._view_by_member = {
            member.id: view
            for view in self.view_by_group.values()
            for member in view.group.members
        }
        self.confirmer_by_group = {
            group.id: confirmation.Confirmer(
                group,
                self._peers,
                self._directory,
                self._connector,
                self._clock,
            )
            for group in groups
        }
        self.assign()

    def assign(self) -> None:
        """Start and stop executors to match the directory."""
        if self._tables is None:
            return
        if self._reporting is None:
            self._reporting = asyncio.create_task(self._report())
        wanted = {
            member.id: (member, pool)
            for pool in self._tables.pool_by_name.values()
            for group in pool.groups
            for member in group.members
            if self._is_own(member)
        }
        self._directory.claim(member for member, _ in wanted.values())
        for removed in set(self.executor_by_member) - set(wanted):
            self._probes.pop(removed).cancel()
            self._good_at.pop(removed, None)
            self._releases[removed] = asyncio.create_task(
                self._release(removed, self.executor_by_member.pop(removed))
            )
        for member_id in set(wanted) - set(self.executor_by_member):
            if not self._directory.holds(member_id):
                continue
            if member_id in self._releases:
                continue
            member, pool = wanted[member_id]
            executor = member_executor.MemberExecutor(
                member,
                pool,
                self._connector,
                self._clock,
                functools.partial(self._directory.may_act, member_id),
                self._metrics,
            )
            executor.wait_for_probe()
            self.executor_by_member[member_id] = executor
            self._probes[member_id] = asyncio.create_task(
                self._probe(executor)
            )
            loguru.logger.info("event=executor_started member={}", member_id)

    def queues(self) -> dict[str, dict[str, int]]:
        """Return the statements waiting and running for each own member."""
        return {
            member: each.admission.counts()
            for member, each in sorted(self.executor_by_member.items())
        }

    def stop(self) -> None:
        """Stop the probes and close every connection."""
        tasks = [
            *self._probes.values(),
            *self._releases.values(),
            self._reporting,
        ]
        for task in tasks:
            if task is not None:
                task.cancel()
        for executor in self.executor_by_member.values():
            executor.close()

    async def _release(
        self, member: ids.MemberId, executor: member_executor.MemberExecutor
    ) -> None:
        """Close an executor after its statements and release its member."""
        until = self._clock.now() + RELEASE_TIMEOUT_S
        while executor.busy and self._clock.now() < until:
            await asyncio.sleep(RELEASE_POLL_S)
        executor.close()
        del self._releases[member]
        self._directory.released(member)
        self.assign()

    def _is_own(self, member: rows.Member) -> bool:
        daemon = self._directory.executor_of(member)
        return daemon is not None and daemon.id == self._own

    def now(self) -> float:
        """Return the time of the daemon's clock."""
        return self._clock.now()

    def use_leaving(self, members: frozenset[ids.MemberId]) -> None:
        """Set the members whose hosts are marked as leaving."""
        self.leaving = members
        for view in self.view_by_group.values():
            view.leaving = members

    def gate_of(self, group: ids.GroupId) -> write_gate.WriteGate:
        """Return the write gate of a group."""
        if group not in self._gate_by_group:
            self._gate_by_group[group] = write_gate.WriteGate(self._clock)
        return self._gate_by_group[group]

    def probe_age_ms(self, member: ids.MemberId) -> int | None:
        """Return the age of the last known successful probe, or None."""
        view = self._view_by_member.get(member)
        if view is None:
            return None
        detector = self.detector_by_group[view.group.id]
        age = detector.age(member, self.now())
        return None if age == float("inf") else int(age * 1000)

    def learn(
        self, states: Iterable[peer_messages.MemberState], at: float
    ) -> None:
        """Store states that members reported to requests sent at ``at``."""
        for state in states:
            view = self._view_by_member.get(state.member)
            if view is None:
                continue
            before = view.primary()
            view.learn(state, at)
            after = view.primary()
            if after is not None and after != before:
                self._primary_changed(view, after)

    def _primary_changed(
        self, view: group_view.GroupView, primary: rows.Member
    ) -> None:
        loguru.logger.info(
            "event=primary_seen group={} primary={} term={}",
            view.group.id,
            primary.id,
            view.term,
        )
        detector = self.detector_by_group[view.group.id]
        for member in view.group.members:
            executor = self.executor_by_member.get(member.id)
            if executor is None or member.id == primary.id:
                continue
            # A member that still answers rejects the writes itself; that
            # proves that they did not run, unlike a closed connection.
            if (
                detector.age(member.id, self.now())
                > failure_detector.DIRECT_PROBE_AFTER_S
            ):
                executor.close_write_connections()

    async def _probe(self, executor: member_executor.MemberExecutor) -> None:
        while True:
            asked_at = self._clock.now()
            state = await executor.probe()
            if state is not None:
                await self._record_probe(executor, state, asked_at)
            await asyncio.sleep(member_executor.PROBE_INTERVAL_S)

    async def _record_probe(
        self,
        executor: member_executor.MemberExecutor,
        state: peer_messages.MemberState,
        asked_at: float,
    ) -> None:
        view = self._view_by_member.get(state.member)
        if view is None:
            return
        known = view.observed_by_member.get(state.member)
        self._good_at[state.member] = asked_at
        self.detector_by_group[view.group.id].record_good_probe(
            state.member, asked_at
        )
        self.learn([state], asked_at)
        if known is None or (known.state.role, known.state.term) != (
            state.role,
            state.term,
        ):
            self._send_report()
        await following.ensure_following(executor, view, state)

    async def _report(self) -> None:
        while True:
            self._send_report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _send_report(self) -> None:
        now = self._clock.now()
        states = [
            peer_messages.ReportedState.of(seen.state, now - good_at)
            for member, good_at in self._good_at.items()
            if (view := self._view_by_member.get(member)) is not None
            and (seen := view.observed_by_member.get(member)) is not None
        ]
        report = peer_messages.MemberReport(tuple(states))
        for peer in self._directory.others():
            self._peers.send(peer, report)

    async def _on_report(
        self, sender: ids.DaemonId, report: peer_messages.MemberReport
    ) -> None:
        now = self._clock.now()
        for reported in report.sights:
            view = self._view_by_member.get(reported.member)
            if view is None:
                continue
            good_at = now - reported.age_ms / 1000
            detector = self.detector_by_group[view.group.id]
            detector.record_message(sender, now)
            detector.record_good_probe(reported.member, good_at)
            self.learn([reported.state()], good_at)

    async def _on_group_changed(
        self, sender: ids.DaemonId, message: peer_messages.GroupChanged
    ) -> None:
        self.learn([message.state], self._clock.now())

    async def _on_confirm(
        self, sender: ids.DaemonId, message: peer_messages.Confirm
    ) -> peer_messages.Confirmed:
        executor = self.executor_by_member.get(message.member)
        state = await executor.probe() if executor else None
        return peer_messages.Confirmed(state)
