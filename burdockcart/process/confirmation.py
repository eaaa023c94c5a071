"""Confirmation rounds with a group's members, shared by its writes."""

import asyncio

import msgspec

from burdockcart import clock
from burdockcart.connection import single_request
from burdockcart.connection import target_connection
from burdockcart import ids
from burdockcart.process import executors
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.request import acknowledgement
from burdockcart.version import rows

#: Seconds between rounds while a replica has not reached a position.
ROUND_PAUSE_S = 0.005
#: Seconds after which a member is asked directly if its executor does not
#: answer.  If the executor and the primary both failed, writes would otherwise
#: wait about 2 s for the takeover.
EXECUTOR_TIMEOUT_S = 0.1


class Round(msgspec.Struct, frozen=True):
    """States that members reported in answer to one round."""

    sent_at: float
    states: tuple[peer_messages.MemberState, ...]


class ConfirmedState(msgspec.Struct, frozen=True):
    """State of a confirmed primary and when it was requested."""

    sent_at: float
    state: peer_messages.MemberState


class Confirmer:
    """Confirms the term of one group for all waiting writes.

    Explanation
    ===========

    A write may only use a round that started after the primary answered the
    write.  All writes that wait when a round starts share its result.

    """

    def __init__(
        self,
        group: rows.Group,
        peers: peer_transport.Peers,
        daemons: executors.Directory,
        connector: target_connection.Connector,
        time: clock.Clock,
    ):
        self._connector = connector
        self._group = group
        self._peers = peers
        self._daemons = daemons
        self._clock = time
        self._current: asyncio.Task[Round] | None = None
        self._next: asyncio.Task[Round] | None = None

    async def acknowledge(
        self,
        term: ids.Term,
        position: ids.Position,
        required: rows.Acknowledge,
        deadline: float,
    ) -> float | None:
        """Return when the round that confirms a write was sent, or None.

        If a time is returned, the write may be acknowledged right now: the
        caller must send the answer without awaiting anything else.

        """
        while self._clock.now() < deadline:
            timeout_s = deadline - self._clock.now()
            asked = await self._round(timeout_s)
            if asked is None:
                return None
            age = self._clock.now() - asked.sent_at
            if any(state.term > term for state in asked.states):
                return None
            if age <= acknowledgement.CONFIRMATION_VALID_S and (
                acknowledgement.confirmed(
                    self._group, asked.states, term, position, required
                )
            ):
                return asked.sent_at
            await asyncio.sleep(ROUND_PAUSE_S)
        return None

    async def sample(self, timeout_s: float) -> ConfirmedState | None:
        """Return the primary's position, confirmed by a majority.

        A majority that still reports the primary's term proves that no later
        primary accepted writes before the request was sent.

        """
        sent_at = self._clock.now()
        states: list[peer_messages.MemberState] = []
        asking = [
            asyncio.ensure_future(self._ask(member, timeout_s))
            for member in self._group.members
        ]
        try:
            for answer in asyncio.as_completed(asking):
                state = await answer
                states += [state] if state is not None else []
                leader = self._confirmed_leader(states)
                if leader is not None:
                    return ConfirmedState(sent_at, leader)
        finally:
            for task in asking:
                task.cancel()
        return None

    def _confirmed_leader(
        self, states: list[peer_messages.MemberState]
    ) -> peer_messages.MemberState | None:
        term = max((each.term for each in states), default=0)
        agreed = [each for each in states if each.term == term]
        if len(agreed) < self._group.majority:
            return None
        return next((each for each in agreed if each.role == "primary"), None)

    async def _round(self, timeout_s: float) -> Round | None:
        if self._next is None:
            self._next = asyncio.create_task(self._run_after(self._current))
        task = self._next
        try:
            return await asyncio.wait_for(asyncio.shield(task), timeout_s)
        except asyncio.TimeoutError:
            return None

    async def _run_after(self, earlier: asyncio.Task[Round] | None) -> Round:
        if earlier is not None and not earlier.done():
            await asyncio.wait([earlier])
        self._current, self._next = self._next, None
        return await self._ask_all()

    async def _ask_all(self) -> Round:
        sent_at = self._clock.now()
        timeout_s = acknowledgement.CONFIRMATION_VALID_S
        pending = {
            asyncio.ensure_future(self._ask(member, timeout_s))
            for member in self._group.members
        }
        states: list[peer_messages.MemberState] = []
        while pending and len(states) < self._group.majority:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            answers = [task.result() for task in done]
            states += [state for state in answers if state is not None]
        for task in pending:
            task.cancel()
        return Round(sent_at, tuple(states))

    async def _ask(
        self, member: rows.Member, timeout_s: float
    ) -> peer_messages.MemberState | None:
        daemon = self._daemons.executor_of(member)
        if daemon is not None:
            answer = await self._peers.request(
                daemon.id, peer_messages.Confirm(member.id), EXECUTOR_TIMEOUT_S
            )
            reply = answer.value_or(None)
            if isinstance(reply, peer_messages.Confirmed) and reply.state:
                return reply.state
        found = await single_request.send(
            self._connector,
            member.address,
            "/state",
            None,
            timeout_s - EXECUTOR_TIMEOUT_S,
        )
        if found is None:
            return None
        return msgspec.convert(found, peer_messages.MemberState)
