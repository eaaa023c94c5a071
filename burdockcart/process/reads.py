"""Reads at the executor: waits for a position and checks the age."""

import asyncio
import math

from burdockcart import clock
from burdockcart.connection import session_token
from burdockcart import ids
from burdockcart.process import group_view
from burdockcart.process import groups
from burdockcart.process import member_executor
from burdockcart.process import peer_messages
from burdockcart.request import freshness
from burdockcart.request import statement
from burdockcart.version import rows

#: Seconds between two probes of a replica that reads wait for.
POLL_S = 0.004
#: Samples of a group within the shortest maximum age that reads requested in
#: the last ``DEMAND_WINDOW_S``.  The interval stays between the two limits
#: below; at the upper limit a group costs two small messages a second.
SAMPLES_PER_AGE = 10
SAMPLE_MIN_S = 0.02
SAMPLE_MAX_S = 0.5
DEMAND_WINDOW_S = 2.0
SAMPLE_TIMEOUT_S = 0.2


class Sampler:
    """Samples a group's primary while reads request a maximum age."""

    def __init__(
        self,
        group: ids.GroupId,
        served_groups: groups.Groups,
        time: clock.Clock,
    ):
        self.known = freshness.Freshness()
        self._group = group
        self._groups = served_groups
        self._clock = time
        self._requested_at_by_age: dict[float, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._first: asyncio.Task[None] | None = None

    async def require_age(self, max_age_s: float) -> None:
        """Keep sampling for a maximum age; wait if no sample is recent."""
        now = self._clock.now()
        self._requested_at_by_age[max_age_s] = now
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        newest_sample_at = self.known.newest_sample_at()
        if newest_sample_at is None or now - newest_sample_at > max_age_s / 2:
            if self._first is None or self._first.done():
                self._first = asyncio.create_task(self._sample())
            await asyncio.shield(self._first)

    async def _run(self) -> None:
        while True:
            since = self._clock.now() - DEMAND_WINDOW_S
            self._requested_at_by_age = {
                age: at
                for age, at in self._requested_at_by_age.items()
                if at > since
            }
            if not self._requested_at_by_age:
                return
            shortest = min(self._requested_at_by_age)
            await asyncio.sleep(
                min(
                    max(shortest / SAMPLES_PER_AGE, SAMPLE_MIN_S), SAMPLE_MAX_S
                )
            )
            await self._sample()

    async def _sample(self) -> None:
        confirmer = self._groups.confirmer_by_group.get(self._group)
        if confirmer is None:
            return
        sample = await confirmer.sample(SAMPLE_TIMEOUT_S)
        if sample is not None:
            self.known.add(sample.sent_at, sample.state)


class CatchUp:
    """Waits until a replica reaches a position, shared by all its reads."""

    def __init__(
        self, executor: member_executor.MemberExecutor, time: clock.Clock
    ):
        self.executor = executor
        self._clock = time
        self._rate = freshness.Freshness()
        self._probing: asyncio.Task[peer_messages.MemberState | None] | None
        self._probing = None
        self.state: peer_messages.MemberState | None = None

    async def reach(self, mark: session_token.Mark, until: float) -> bool:
        """Return whether the replica reaches a mark within a short wait."""
        now = self._clock.now()
        give_up_at = min(until, now + freshness.CATCH_UP_WAIT_S)
        while self.state is None or not group_view.covers(self.state, mark):
            state = await self._probe()
            now = self._clock.now()
            if state is None or now >= give_up_at:
                return state is not None and group_view.covers(state, mark)
            if group_view.covers(state, mark):
                return True
            left_s = self._rate.catch_up_s(state.member, mark.position, now)
            known_slow = left_s is not None and now + left_s > give_up_at
            if known_slow or group_view.diverged(state, mark):
                return False
            await asyncio.sleep(POLL_S)
        return True

    async def _probe(self) -> peer_messages.MemberState | None:
        if self._probing is None or self._probing.done():
            self._probing = asyncio.create_task(
                self.executor.probe(freshness.CATCH_UP_WAIT_S)
            )
        state = await asyncio.shield(self._probing)
        if state is not None:
            self.learn(state)
        return state

    def learn(self, state: peer_messages.MemberState) -> None:
        """Store a state of the replica."""
        self._rate.observe(self._clock.now(), state)
        self.state = state


class Reads:
    """Checks reads on the members that this daemon is the executor of.

    Parameters
    ==========

    served_groups : Groups
        Executors of this daemon and the confirmers of all groups.

    """

    def __init__(self, served_groups: groups.Groups, time: clock.Clock):
        self._groups = served_groups
        self._clock = time
        self._sampler_by_group: dict[ids.GroupId, Sampler] = {}
        self._catch_up_by_member: dict[ids.MemberId, CatchUp] = {}

    async def prepare(
        self,
        message: peer_messages.Execute,
        executor: member_executor.MemberExecutor,
        deadline: float,
    ) -> bool:
        """Return whether the member may serve a read, after a short wait."""
        if not _is_aged_read(message):
            return True
        await self._sampler(message.group).require_age(
            message.max_age_ms / 1000
        )
        mark = message.minimum
        view = self._groups.view_by_group[message.group]
        seen = view.observed_by_member[message.member]
        if mark is None or group_view.covers(seen.state, mark):
            return True
        catch_up = self._catch_up_by_member.get(message.member)
        if catch_up is None or catch_up.executor is not executor:
            catch_up = CatchUp(executor, self._clock)
            self._catch_up_by_member[message.member] = catch_up
        return await catch_up.reach(mark, deadline)

    async def check(
        self,
        message: peer_messages.Execute,
        executed: peer_messages.Executed,
        deadline: float,
    ) -> peer_messages.Message:
        """Return the answer with its age, or Redirect if it is too old."""
        answered_at = self._clock.now()
        mark = session_token.Mark(executed.log_term, executed.position)
        if message.minimum is not None and mark < message.minimum:
            return peer_messages.Redirect(ran=True)
        if message.max_age_ms > 0:
            known = self._sampler(message.group).known
            age_s = known.age_s(mark.term, mark.position, answered_at)
            if age_s is not None and age_s * 1000 <= message.max_age_ms:
                return _with_age(executed, age_s)
        if executed.role != group_view.PRIMARY:
            return peer_messages.Redirect(ran=True)
        confirmer = self._groups.confirmer_by_group[message.group]
        if not await confirmer.acknowledge(
            executed.term,
            executed.position,
            rows.Acknowledge.PRIMARY,
            deadline,
        ):
            return peer_messages.Redirect(ran=True)
        return _with_age(executed, self._clock.now() - answered_at)

    def _sampler(self, group: ids.GroupId) -> Sampler:
        if group not in self._sampler_by_group:
            self._sampler_by_group[group] = Sampler(
                group, self._groups, self._clock
            )
        return self._sampler_by_group[group]


def _is_aged_read(message: peer_messages.Execute) -> bool:
    return (
        message.operation is statement.Operation.READ
        and message.max_age_ms > 0
        and message.transaction is None
    )


def _with_age(
    executed: peer_messages.Executed, age_s: float
) -> peer_messages.Executed:
    return peer_messages.Executed(
        member=executed.member,
        result=executed.result,
        role=executed.role,
        term=executed.term,
        log_term=executed.log_term,
        position=executed.position,
        age_ms=math.ceil(age_s * 1000),
        transaction=executed.transaction,
    )
