"""Performs the commands of one promotion or handover.

Answers are queued and given to the state machine one at a time, in the order
of arrival, so the machine needs no lock.
"""

import asyncio
import functools
from typing import Any
from typing import Callable
from typing import Coroutine

from burdockcart.process import groups
from burdockcart.process import handover
from burdockcart.process import member_client
from burdockcart.process import peer_messages
from burdockcart.process import promotion
from burdockcart.version import rows

POSITION_TIMEOUT_S = 0.08

Event = Callable[[float], list[Any]]
Announce = Callable[[peer_messages.MemberState], None]


class Attempt:
    """Runs one state machine to its end.

    Parameters
    ==========

    machine : Promotion or Handover
        Makes all decisions; this class only performs its commands.
    announce : callable
        Makes the state of a new primary known.

    """

    def __init__(
        self,
        machine: promotion.Promotion | handover.Handover,
        client: member_client.MemberClient,
        served_groups: groups.Groups,
        announce: Announce,
    ):
        self.machine = machine
        self._client = client
        self._groups = served_groups
        self._announce = announce
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()

    def event(self, event: Event) -> None:
        """Queue an event for the machine."""
        self._events.put_nowait(event)

    async def run(self) -> None:
        """Run the machine to its end."""
        machine = self.machine
        try:
            self._perform(machine.start())
            while not machine.ended:
                due = machine.next_due()
                left = max(due - self._groups.now(), 0)
                try:
                    event = await asyncio.wait_for(self._events.get(), left)
                except asyncio.TimeoutError:
                    # Rounding may let the timer fire slightly too early.
                    now = max(self._groups.now(), due)
                    self._perform(machine.tick(now))
                else:
                    self._perform(event(self._groups.now()))
        finally:
            for task in self._tasks:
                task.cancel()
            if isinstance(machine, handover.Handover):
                self._groups.gate_of(machine.group.id).release()

    def _perform(self, commands: list[Any]) -> None:
        for command in commands:
            match command:
                case promotion.Check():
                    self._each(self._check)
                    self._each(self._probe_suspect)
                case promotion.Adopt():
                    self._each(functools.partial(self._adopt, command))
                case promotion.Promote():
                    self._spawn(self._promote(command))
                case promotion.Announce():
                    self._announce(command.state)
                case handover.HoldWrites():
                    self._groups.gate_of(self.machine.group.id).hold()
                    self._spawn(self._drain())
                case handover.AskPositions():
                    self._spawn(self._positions())
                case handover.ReleaseWrites():
                    self._groups.gate_of(self.machine.group.id).release()

    def _each(self, ask: Callable[[rows.Member], Any]) -> None:
        for member in self.machine.group.members:
            self._spawn(ask(member))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, member: rows.Member) -> None:
        machine = self.machine
        assert isinstance(machine, promotion.Promotion)
        answer, by_other = await self._client.check(member, machine.suspect)
        age = answer.suspect_age_ms
        self.event(
            functools.partial(
                machine.checked,
                member.id,
                answer.state,
                None if age is None else age / 1000,
                by_other,
            )
        )

    async def _probe_suspect(self, member: rows.Member) -> None:
        machine = self.machine
        assert isinstance(machine, promotion.Promotion)
        if member.id == machine.suspect:
            state = await self._client.probe_direct(member)
            self.event(functools.partial(machine.suspect_probed, state))

    async def _adopt(
        self, command: promotion.Adopt, member: rows.Member
    ) -> None:
        order = peer_messages.Adopt(
            member.id, command.term, command.coordinator
        )
        answer = await self._client.order(member, order)
        self.event(
            functools.partial(
                self.machine.granted, member.id, answer.granted, answer.state
            )
        )

    async def _promote(self, command: promotion.Promote) -> None:
        member = next(
            each
            for each in self.machine.group.members
            if each.id == command.member
        )
        order = peer_messages.Promote(
            member.id, command.term, command.coordinator
        )
        answer = await self._client.order(member, order)
        self.event(
            functools.partial(
                self.machine.promoted, answer.granted, answer.state
            )
        )

    async def _drain(self) -> None:
        machine = self.machine
        assert isinstance(machine, handover.Handover)
        await self._groups.gate_of(machine.group.id).idle()
        self.event(machine.drained)

    async def _positions(self) -> None:
        machine = self.machine
        assert isinstance(machine, handover.Handover)
        tasks = [
            asyncio.ensure_future(self._client.check(member, None))
            for member in machine.group.members
        ]
        # A replica that is down must not block a handover to another one.
        done, late = await asyncio.wait(tasks, timeout=POSITION_TIMEOUT_S)
        for task in late:
            task.cancel()
        answers = [task.result()[0].state for task in done]
        states = [state for state in answers if state is not None]
        self.event(functools.partial(machine.positions, states))
