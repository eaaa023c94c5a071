"""Seeded schedules of losses of primaries beside other faults.

A schedule is drawn as a whole before it is played, so that single events can
be left out without a change of the others.
"""

import asyncio
import functools
import random

import loguru
import msgspec
from returns import result

from burdockcart.emulator import wire_member
from burdockcart import ids
from burdockcart.process.gateway import application
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_open_calls
from burdockcart.tests import gateway_deployment
from burdockcart.tests import virtual_time
from burdockcart.version import manifest

GROUP = gateway_deployment.GROUP
State = manifest.MemberState
#: Interval of a member's heartbeats, and life of its entry after the last
#: one, in seconds.
HEARTBEAT_S = 1.2
ENTRY_LIFE_S = 3.6
#: Life of a drawn schedule, in seconds.
LENGTH_S = 18.0
DAEMONS = 4
#: Kinds of events that may lead to a promotion.
LOSSES = ("lose", "drain", "cut_primary", "mute")


class Event(msgspec.Struct, frozen=True):
    """One event of a schedule.

    Parameters
    ==========

    at : float
        Time after the start of the clients, in seconds.
    kind : str
        Name of a method of :class:`Player`.
    arguments : dict
        Its arguments.

    """

    at: float
    kind: str
    arguments: dict


class Call(msgspec.Struct, frozen=True):
    """What becomes of one call to the promotion service.

    Parameters
    ==========

    late_s : float
        Time until it is carried out, in seconds.
    answered : bool
        Whether its sender gets an answer.

    """

    late_s: float = 0.0
    answered: bool = True


class Schedule(msgspec.Struct, frozen=True):
    """Events, and the fate of each call in the order of the calls."""

    events: list[Event]
    calls: tuple[Call, ...] = ()
    #: Difference of the wall clock of each daemon, in seconds.
    skew_s: tuple[float, ...] = (0.0,) * DAEMONS
    #: Time until a commit arrives at a member, in seconds, in turn.
    delay_s: tuple[float, ...] = (0.0,)
    #: Longest pause of clients between writes, in seconds.
    pause_s: float = 0.0


def draw(seed):
    """Return a schedule."""
    rng = random.Random(seed)
    uniform = rng.uniform
    events = []

    share = rng.choice((0.2, 0.5, 1.0))

    def add(count, kind, begin, end, **arguments):
        for _ in range(count):
            if kind not in LOSSES and rng.random() > share:
                continue
            events.append(
                Event(
                    round(uniform(begin, end), 3),
                    kind,
                    {
                        name: value() if callable(value) else value
                        for name, value in arguments.items()
                    },
                )
            )

    def number():
        return rng.randrange(12)

    def span(longest):
        return lambda: round(uniform(0.1, longest), 3)

    def some():
        return rng.sample(range(DAEMONS), rng.randint(1, DAEMONS))

    at = uniform(3.0, 4.0)
    for _ in range(rng.choice((2, 2, 3))):
        kind = rng.choice(("lose", "lose", "lose", *LOSSES))
        arguments = {"for_s": rng.choice((1.0, 2.5, 6.0, 9.0, 20.0))}
        if kind == "cut_primary":
            arguments["daemons"] = some
        add(1, kind, at, at, **arguments)
        at += rng.choice((uniform(0.3, 2.0), uniform(1.0, 6.0)))
    add(rng.randint(0, 2), "join", 0.5, 12.0, listed_after_s=span(2.0))
    add(rng.randint(0, 1), "join", 0.5, 12.0, listed_after_s=0.0, deaf_s=1.0)
    add(rng.randint(0, 4), "deaf", 2.0, 12.0, index=number, for_s=span(3.0))
    add(rng.randint(0, 2), "restart", 2.0, 12.0, index=number, for_s=span(2.5))
    add(rng.randint(0, 1), "lapse", 1.0, 12.0, index=number, for_s=span(6.0))
    add(rng.randint(0, 2), "kill", 2.0, 12.0, index=number, for_s=span(3.2))
    if rng.random() < 0.5:
        add(1, "kill_caller", 3.0, 3.0, after_s=span(3.5), for_s=span(3.2))
    add(
        rng.randint(0, 2),
        "cut_member",
        2.0,
        12.0,
        index=number,
        daemons=some,
        for_s=span(3.0),
    )
    add(
        rng.randint(0, 2),
        "cut_store",
        1.0,
        12.0,
        daemons=some,
        for_s=span(6.0),
    )
    add(
        rng.randint(0, 2),
        "cut_peer",
        1.0,
        12.0,
        index=number,
        for_s=span(6.0),
    )
    add(rng.randint(0, 1), "freeze", 2.0, 12.0, index=number, for_s=span(3.0))
    if rng.random() < 0.15:
        add(1, "outage", 2.0, 10.0, for_s=span(5.0))
    calls = [
        rng.choice(
            (
                Call(),
                Call(),
                Call(),
                Call(answered=False),
                Call(round(uniform(0.3, 4.0), 3), False),
                Call(round(uniform(2.0, 12.0), 3), False),
            )
        )
        for _ in range(20)
    ]
    skew_s = [
        rng.choice((0.0, 0.0, 0.0, uniform(-4.0, 4.0))) for _ in range(DAEMONS)
    ]
    delay_s = [rng.choice((0.0, 0.001, 0.01, 0.03)) for _ in range(3)]
    events.sort(key=lambda each: each.at)
    return Schedule(events, tuple(calls), tuple(skew_s), tuple(delay_s))


def draw_two_losses(seed):
    """Return a schedule in which the promoted member is lost as well."""
    rng = random.Random(seed)

    def uniform(begin, end):
        return round(rng.uniform(begin, end), 3)

    first = uniform(2.5, 3.5)
    second = first + 1.0 + rng.choice((uniform(0, 2), uniform(0, 5)))
    events = [
        Event(first, "lose", {"for_s": rng.choice((1.0, 2.5, 6.0, 9.0))}),
        Event(
            second,
            rng.choice(("lose", "lose", "lose", "drain", "mute")),
            {"for_s": rng.choice((1.0, 2.5, 6.0, 9.0))},
        ),
        Event(
            2.0,
            "kill_caller",
            {"after_s": uniform(0, 4), "for_s": uniform(0.5, 3.5)},
        ),
        Event(
            uniform(first, second + 2),
            "join",
            {"listed_after_s": rng.choice((0.0, uniform(0, 2)))},
        ),
    ]
    for kind in ("deaf", "deaf", "restart", "cut_peer", "kill", "freeze"):
        if rng.random() < 0.5:
            events.append(
                Event(
                    uniform(second - 2, second + 2),
                    kind,
                    {"index": rng.randrange(12), "for_s": uniform(0.1, 3)},
                )
            )
    calls = [
        rng.choice((Call(), Call(), Call(uniform(0.3, 8), answered=False)))
        for _ in range(20)
    ]
    delay_s = [rng.choice((0.0, 0.001, 0.01, 0.03)) for _ in range(3)]
    return Schedule(
        sorted(events, key=lambda each: each.at),
        tuple(calls),
        delay_s=tuple(delay_s),
    )


def draw_join(seed):
    """Return a schedule with a loss soon after a replica has joined."""
    rng = random.Random(seed)
    at = rng.uniform(2.0, 3.0)
    events = [
        Event(
            at - rng.uniform(0.02, 1.2),
            "join",
            {"listed_after_s": rng.uniform(0.5, 2.0)},
        ),
        Event(at, "lose", {"for_s": rng.choice((3.0, 7.0, 12.0))}),
    ]
    delay_s = [0.0] + [rng.choice((0.01, 0.03, 0.06)) for _ in range(2)]
    return Schedule(
        events,
        delay_s=tuple(delay_s),
        pause_s=rng.choice((0.05, 0.2, 0.5)),
    )


class Writers(test_open_calls.Writers):
    """Clients that pause longer between their writes.

    Parameters
    ==========

    pause_s : float
        Longest pause, in seconds.

    """

    def __init__(self, deployment, daemons, pause_s):
        self._pause_s = pause_s
        self._rng = random.Random(f"{daemons}")
        super().__init__(deployment, daemons)

    async def _note(self, answer):
        done = await super()._note(answer)
        if self._pause_s:
            await asyncio.sleep(self._rng.uniform(0.0, self._pause_s))
        return done


class Lost(msgspec.Struct, frozen=True):
    """Commits that a promotion has discarded.

    Parameters
    ==========

    told : list of str
        Writes that clients were told to be done.
    acknowledged : list of LogPosition
        Commits that members had acknowledged, told to clients or not.

    """

    at: float
    member: str
    told: list
    acknowledged: list


class Player:
    """Plays a schedule and records the commits that are lost."""

    def __init__(self, schedule):
        self.schedule = schedule
        self.deployment = gateway_deployment.GatewayDeployment(daemons=0)
        self.group = self.deployment.group
        self.platform = self.deployment.platform
        self.lost = []
        self.calls = []
        self.promotions = 0
        self.told = {}
        self._counted = set()
        self._tasks = set()
        self._generations = [0] * DAEMONS
        self._nodes = [None] * DAEMONS
        self._writers = [None] * DAEMONS
        self._frozen = set()
        #: Entry as the member reports it, and when it did so last.
        self._entry = {}
        self._reported_at = {}
        self._lapsed = set()
        self._joined = 0
        self._delays = [*schedule.delay_s]
        self._first_call = asyncio.get_running_loop().create_future()
        for member in self.deployment.members:
            self._watch_member(member)
        self._promote, self.group.promote = self.group.promote, self._promoted
        self.platform.promote = self._called

    # Time

    @staticmethod
    def now():
        """Return the time of the loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall_ms(self, number=None):
        """Return the wall clock of a daemon, by default of the running one."""
        if number is None:
            node = virtual_time.NODE.get()
            number = 0 if node is None else int(node.split(".")[0])
        skew_s = self.schedule.skew_s[number]
        return 1_700_000_000_000 + int((self.now() + skew_s) * 1000)

    def say(self, text, *arguments):
        """Log an event."""
        loguru.logger.info(f"SCHEDULE {self.now():.3f} {text}", *arguments)

    # Life cycle

    async def play(self, length_s=LENGTH_S):
        """Play the schedule; return the losses."""
        own_wall_ms, application._wall_ms = application._wall_ms, self.wall_ms
        try:
            for number in range(DAEMONS):
                await self._start_daemon(number)
            self._spawn(self._report_members())
            await asyncio.sleep(2.0)
            for number in range(DAEMONS):
                self._start_writers(number)
            for event in self.schedule.events:
                self._spawn(self._run(event))
            await asyncio.sleep(length_s)
            self._find_lost(self.group.primary)
            return self.lost
        finally:
            application._wall_ms = own_wall_ms
            for task in self._tasks:
                task.cancel()
            loop = asyncio.get_running_loop()
            for node in list(loop.paused):
                loop.resume(node)

    async def _run(self, event):
        await asyncio.sleep(event.at)
        self.say("{} {}", event.kind, event.arguments)
        await getattr(self, event.kind)(**event.arguments)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        return task

    # Daemons

    async def _start_daemon(self, number):
        deployment = self.deployment
        node = f"{number}.{self._generations[number]}"
        context = virtual_time.context_of(node)
        own = application._wall_ms
        application._wall_ms = functools.partial(self.wall_ms, number)
        daemon = context.run(deployment.daemon, number)
        application._wall_ms = own
        daemon.clients = deployment.listener(daemon)
        if number < len(deployment.daemons):
            old = deployment.daemons[number]
            daemon.link.cut, daemon.link.store_cut = (
                old.link.cut,
                old.link.store_cut,
            )
            daemon.connector.cut |= old.connector.cut
            deployment.daemons[number] = daemon
        else:
            deployment.daemons.append(daemon)
        daemon.connector.member_by_id = self.group.member_by_id
        self._nodes[number] = node
        started = asyncio.get_running_loop().create_task(
            daemon.start(daemon.clients), context=context
        )
        await started

    def _start_writers(self, number):
        context = virtual_time.context_of(self._nodes[number])
        writers = context.run(
            Writers, self.deployment, [number], self.schedule.pause_s
        )
        self._writers[number] = writers
        self.told[self._nodes[number]] = writers

    async def kill(self, index, for_s):
        """End a daemon without any cleanup, and start it again."""
        number = index % DAEMONS
        loop = asyncio.get_running_loop()
        node, daemon = self._nodes[number], self.deployment.daemons[number]
        if node in loop.paused:
            return
        self.say("kills d{}", number)
        loop.paused.add(node)
        for channel in daemon.connector.channels:
            channel.close()
        for peers in list(self.deployment.peers.peers_by_address.values()):
            if peers._daemon == f"d{number}":
                peers.stop()
        await asyncio.sleep(for_s)
        self._generations[number] += 1
        self.say("starts d{}", number)
        await self._start_daemon(number)
        daemon = self.deployment.daemons[number]
        await gateway_deployment.until(lambda: daemon.tables.current)
        self._start_writers(number)

    async def kill_caller(self, after_s, for_s):
        """End the daemon that calls first, some time after its call."""
        holder = await self._first_call
        await asyncio.sleep(after_s)
        await self.kill(int(holder[1:]), for_s)

    async def freeze(self, index, for_s):
        """Stop the process of a daemon for a while."""
        number = index % DAEMONS
        loop = asyncio.get_running_loop()
        node = self._nodes[number]
        if node in loop.paused:
            return
        self.say("freezes d{}", number)
        daemon = ids.DaemonId(f"d{number}")
        loop.paused.add(node)
        self.deployment.peers.frozen.add(daemon)
        await asyncio.sleep(for_s)
        self.deployment.peers.frozen.discard(daemon)
        loop.resume(node)
        self.say("resumes d{}", number)

    async def cut_store(self, daemons, for_s):
        """Cut daemons from the store, not from the promotion service."""
        for number in daemons:
            self.deployment.daemons[number].link.store_cut = True
        await asyncio.sleep(for_s)
        for number in daemons:
            self.deployment.daemons[number].link.store_cut = False

    async def cut_peer(self, index, for_s):
        """Cut a daemon from all other daemons."""
        number = index % DAEMONS
        pairs = {
            frozenset((f"d{number}", f"d{other}"))
            for other in range(DAEMONS)
            if other != number
        }
        self.deployment.peers.cut |= pairs
        await asyncio.sleep(for_s)
        self.deployment.peers.cut -= pairs

    async def outage(self, for_s):
        """Let the store be down."""
        self.platform.outage = True
        await asyncio.sleep(for_s)
        self.platform.outage = False

    # Members

    def _member(self, index):
        members = [
            each for each in self.group.member_by_id.values() if each.id
        ]
        return members[index % len(members)]

    def _watch_member(self, member):
        member.delay_s = self._delays[len(self._entry) % len(self._delays)]
        self._entry[member.id] = manifest.MemberEntry(
            id=member.id,
            group=GROUP,
            address=f"{member.id}:1",
            domain=member.domain,
            slots=member.slots,
            state=State.READY,
            leads=member.leads,
            started_ms=1,
        )

    async def _report_members(self):
        """Write the entries of members, and let those of others lapse."""
        while True:
            await asyncio.sleep(0.02)
            if self.platform.outage:
                continue
            for name, entry in list(self._entry.items()):
                member = self.group.member_by_id[name]
                if not member.crashed and name not in self._lapsed:
                    self._report(member, entry)
                elif name in self.platform.entry_by_id and (
                    self.now() - self._reported_at.get(name, 0.0)
                    >= ENTRY_LIFE_S
                ):
                    self.say("entry of {} lapses", name)
                    self.platform.remove_member(name)

    def _report(self, member, entry):
        entry = msgspec.structs.replace(entry, leads=member.leads)
        known = self.platform.entry_by_id.get(member.id)
        if known != entry or (
            self.now() - self._reported_at.get(member.id, 0.0) >= HEARTBEAT_S
        ):
            self._reported_at[member.id] = self.now()
            self.platform.put_member(entry)

    def _change_entry(self, member, **fields):
        entry = self._entry[member.id]
        self._entry[member.id] = msgspec.structs.replace(entry, **fields)

    def _start_again(self, member):
        entry = self._entry[member.id]
        member.crashed, member.held_term = False, None
        self._change_entry(member, started_ms=entry.started_ms + 1)
        member.catch_up()
        self._catch_up_others(member)
        self.say("{} is back, leads {}", member.id, member.leads)

    def _catch_up_others(self, member):
        """Let the replicas receive from a primary that is back."""
        if member is self.group.primary:
            for each in self.group.member_by_id.values():
                if each is not member:
                    each.catch_up()

    async def lose(self, for_s):
        """Crash the primary, which comes back with its log."""
        primary = self.group.primary
        if primary.crashed:
            return
        self.say("loses {}", primary.id)
        primary.crash()
        await asyncio.sleep(for_s)
        self._start_again(primary)

    async def drain(self, for_s):
        """Let the primary drain, and replace it by a member with its log."""
        primary = self.group.primary
        if primary.crashed:
            return
        self.say("drains {}", primary.id)
        self._change_entry(primary, state=State.DRAINING)
        await asyncio.sleep(2.0 + for_s)
        if primary.leads:
            # The operator waits for the next primary.
            self._change_entry(primary, state=State.READY)
            return
        primary.crash()
        self._lapsed.add(primary.id)
        if primary.id in self.platform.entry_by_id:
            self.platform.remove_member(primary.id)
        await self.join(0.0)

    async def cut_primary(self, daemons, for_s):
        """Cut some daemons from the primary."""
        await self._cut(self.group.primary, daemons, for_s)

    async def cut_member(self, index, daemons, for_s):
        """Cut some daemons from a member."""
        await self._cut(self._member(index), daemons, for_s)

    async def _cut(self, member, daemons, for_s):
        self.say("cuts {} from {}", member.id, daemons)
        for number in daemons:
            self.deployment.daemons[number].connector.cut.add(member.id)
        await asyncio.sleep(for_s)
        for number in daemons:
            self.deployment.daemons[number].connector.cut.discard(member.id)

    async def mute(self, for_s):
        """Let the primary answer nothing for a while."""
        primary = self.group.primary
        self.say("mutes {}", primary.id)
        primary.unresponsive = True
        await asyncio.sleep(for_s)
        primary.unresponsive = False
        primary.catch_up()

    async def deaf(self, index, for_s):
        """Let a replica receive nothing for a while."""
        member = self._member(index)
        if member.leads:
            return
        self.say("{} receives nothing", member.id)
        member.replication_cut = True
        await asyncio.sleep(for_s)
        member.replication_cut = False
        member.catch_up()

    async def restart(self, index, for_s):
        """Crash a replica, which comes back with its log."""
        member = self._member(index)
        if member.leads or member.crashed or member.id in self._lapsed:
            return
        self.say("crashes {}", member.id)
        member.crash()
        await asyncio.sleep(for_s)
        self._start_again(member)

    async def lapse(self, index, for_s):
        """Let the entry of a member that runs lapse for a while."""
        member = self._member(index)
        if member.id in self._lapsed:
            return
        self._lapsed.add(member.id)
        await asyncio.sleep(ENTRY_LIFE_S + for_s)
        self._lapsed.discard(member.id)

    async def join(self, listed_after_s, deaf_s=0.0):
        """Let another replica join; it receives before it is listed."""
        self._joined += 1
        member = wire_member.EmulatedMember(f"m-n{self._joined}", "a")
        member.group = self.group
        member.log = list(self.group.primary.log)
        member.term = self.group.primary.term
        self.group.member_by_id[member.id] = member
        self.say("{} joins", member.id)
        if deaf_s:
            member.replication_cut = True
        await asyncio.sleep(listed_after_s)
        self._watch_member(member)
        self.say("{} is listed", member.id)
        if deaf_s:
            await asyncio.sleep(deaf_s)
            member.replication_cut = False
            member.catch_up()

    # Promotions

    async def _called(self, group, member, holder, token):
        calls = self.schedule.calls
        fate = calls[len(self.calls)] if len(self.calls) < len(calls) else None
        fate = fate or Call()
        self.calls.append((self.now(), member, holder))
        self.say("call for {} by {}: {}", member, holder, fate)
        if not self._first_call.done():
            self._first_call.set_result(holder)
        await asyncio.sleep(0.004)
        if fate.answered:
            return self.platform.apply_promotion(group, member, token)
        self._spawn_outside(self._carry_out(fate, group, member, token))
        await asyncio.sleep(1.0)
        return result.Failure(coordination.PromotionFault.NO_ANSWER)

    def _spawn_outside(self, work):
        """Start work that goes on when the daemon that asked is paused."""
        task = asyncio.get_running_loop().create_task(
            work, context=virtual_time.context_of(None)
        )
        self._tasks.add(task)

    async def _carry_out(self, fate, group, member, token):
        await asyncio.sleep(fate.late_s)
        done = self.platform.apply_promotion(group, member, token)
        self.say("call for {} is carried out: {}", member, done)

    def _promoted(self, member):
        self.promotions += 1
        self._find_lost(member)
        self.say("{} leads", member.id)
        self._promote(member)

    def _find_lost(self, member):
        kept = {commit.position for commit in member.log}
        kept_writes = {
            write for commit in member.log for write, _ in commit.writes
        }
        told = [
            write
            for writers in self.told.values()
            for write in writers.told
            if write not in kept_writes and write not in self._counted
        ]
        acknowledged = [
            position
            for position in self.group.acknowledged
            if position not in kept and position not in self._counted
        ]
        self._counted |= {*told, *acknowledged}
        if told or acknowledged:
            found = Lost(self.now(), member.id, told, acknowledged)
            self.lost.append(found)
            self.say(
                "LOST by {}: told {}, acknowledged {}",
                member.id,
                told,
                [f"{e.term}.{e.number}" for e in acknowledged],
            )


def play(schedule, length_s=LENGTH_S):
    """Play a schedule in virtual time; return the player."""
    random.seed(1)
    played = []

    async def whole():
        player = Player(schedule)
        played.append(player)
        await player.play(length_s)

    gateway_deployment.run(whole())
    return played[0]
