"""Model of the promotion protocol, explored by random walks.

Explanation
===========

Three members, two daemons that may promote and one that reads.  Each state is
a value, and :func:`successors` returns every state that one step of any
process leads to: a daemon that stands still between two steps, a call that
lands late and messages in any order need no model of their own.

A log is a tuple of commits; a commit is the term of its primary and a number.
The invariants are checked on each step; a violated one raises
:class:`Violation`.

"""

import dataclasses
import random
from typing import Iterator

MEMBERS = (0, 1, 2)
PROMOTERS = (0, 1)
#: Commits of the whole run, and newest term; more add no new interleavings.
MAX_COMMITS = 3
MAX_TERM = 3
MAX_ERA = 1
#: Tokens of one era are smaller than those of the next.
TOKENS_PER_ERA = 100

Log = tuple[tuple[int, int], ...]


class Violation(Exception):
    """An invariant that a step broke."""


@dataclasses.dataclass(frozen=True)
class Rules:
    """The protocol, or a variant with a fault.

    Parameters
    ==========

    deposes : bool
        Whether the platform ends the lead of the old primary.
    fences : bool
        Whether it refuses calls with a lower token.
    witness : bool
        Whether a read needs the evidence of a replica.
    announce : bool
        Whether the candidate is recorded right before the call.
    pin : bool
        Whether an open call binds later promoters to its candidate.
    restores : bool
        Whether the store may go back to an older copy.
    eras : bool
        Whether tokens and expected revisions hold the era of the store.
    wait : bool
        Whether new claims after a restore wait until attempts of before have
        ended, and open calls have been written again or carried out.

    """

    deposes: bool = False
    fences: bool = False
    witness: bool = True
    announce: bool = True
    pin: bool = True
    restores: bool = False
    eras: bool = True
    wait: bool = True


@dataclasses.dataclass(frozen=True)
class Member:
    """One member: term that it leads (0: none), newest known term, log."""

    leads: int
    term: int
    log: Log
    held: bool = False


@dataclasses.dataclass(frozen=True)
class Promoter:
    """One attempt: step, token, candidate and the member to be replaced."""

    step: str = "idle"
    token: int = 0
    candidate: int = -1
    old: int = -1
    revision: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True)
class Reader:
    """A read of the primary: what was acknowledged before it arrived."""

    step: str = "idle"
    member: int = -1
    term: int = 0
    required: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class State:
    """State of all processes.

    Parameters
    ==========

    record : tuple
        Revision of the group's record, and the candidate of an open call.
    fresh : int or None
        Promoter whose record is too recent for others to claim.
    forgotten : int or None
        The same, if the store has forgotten its record since.
    unsettled : bool
        Whether the store may lack what was recorded before its restore.
    calls : frozenset
        Calls that have not landed: token and candidate.
    sent : int
        Highest token that was sent.
    open_call : int
        Candidate of the oldest call that may still land; -1 for none.

    """

    members: tuple[Member, ...]
    promoters: tuple[Promoter, ...] = (Promoter(), Promoter())
    reader: Reader = Reader()
    record: tuple[int, int] = (0, -1)
    fresh: int | None = None
    forgotten: int | None = None
    era: int = 0
    unsettled: bool = False
    calls: frozenset = frozenset()
    sent: int = 0
    landed: int = 0
    acknowledged: frozenset = frozenset()
    commits: int = 0


def initial() -> State:
    """Return the state with member 0 as the primary of term 1."""
    replica = Member(0, 1, ())
    return State((Member(1, 1, ()), replica, replica))


def _with(values: tuple, index: int, value) -> tuple:
    return values[:index] + (value,) + values[index + 1 :]


def _replace(state: State, **changed) -> State:
    return dataclasses.replace(state, **changed)


def _commits(state: State, rules: Rules) -> Iterator[State]:
    """A primary commits a write that one replica receives."""
    if state.commits >= MAX_COMMITS:
        return
    for index, primary in enumerate(state.members):
        if not primary.leads:
            continue
        log = primary.log + ((primary.leads, state.commits),)
        for other, replica in enumerate(state.members):
            if other == index or replica.leads or replica.held:
                continue
            if replica.term > primary.leads:
                continue
            if any(each.leads > primary.leads for each in state.members):
                raise Violation("ONE: acknowledged by an old primary")
            members = _with(
                state.members, index, dataclasses.replace(primary, log=log)
            )
            members = _with(
                members, other, Member(0, primary.leads, log, False)
            )
            yield _replace(
                state,
                members=members,
                commits=state.commits + 1,
                acknowledged=state.acknowledged | {log[-1]},
            )


def _follows(state: State, rules: Rules) -> Iterator[State]:
    """A replica catches up, or an old primary notices a newer one."""
    primary = max(state.members, key=lambda each: each.leads)
    for index, member in enumerate(state.members):
        # A promotion ends a hold as soon as the member hears of it.
        behind = not member.leads and (
            not member.held or member.term < primary.leads
        )
        deposed = 0 < member.leads < primary.leads
        if not (behind or deposed) or member.term > primary.leads:
            continue
        followed = Member(0, primary.leads, primary.log)
        if followed != member:
            yield _replace(
                state, members=_with(state.members, index, followed)
            )


def _land(state: State, rules: Rules) -> Iterator[State]:
    """A call takes effect, now or later."""
    for call in state.calls:
        token, candidate = call
        rest = _replace(state, calls=state.calls - {call})
        if rules.fences and token < state.landed:
            yield rest
            continue
        newest = max(each.leads for each in state.members)
        if state.members[candidate].leads == newest or newest >= MAX_TERM:
            yield _replace(rest, landed=max(token, state.landed))
            continue
        log = state.members[candidate].log
        if not state.acknowledged <= set(log):
            raise Violation("LOST: the promoted member lacks a commit")
        members = []
        for index, member in enumerate(state.members):
            if index == candidate:
                members.append(Member(newest + 1, newest + 1, log))
            elif member.leads and not rules.deposes:
                members.append(member)
            else:
                # It has not heard of the new term yet.
                kept = tuple(each for each in member.log if each in log)
                members.append(Member(0, member.term, kept, member.held))
        yield _replace(
            rest, members=tuple(members), landed=max(token, state.landed)
        )


def _promotes(state: State, rules: Rules) -> Iterator[State]:
    """One step of a promoter."""
    for index in PROMOTERS:
        own = state.promoters[index]
        step = getattr(_Steps, own.step)
        for after, changed in step(state, rules, index, own):
            yield _replace(
                state,
                promoters=_with(state.promoters, index, after),
                **changed,
            )


class _Steps:
    """Steps of an attempt; each yields the promoter after it and changes."""

    @staticmethod
    def idle(state, rules, index, own):
        if state.fresh not in (None, index):
            return
        if rules.wait and state.unsettled:
            return
        revision, open_candidate = state.record
        primary = max(MEMBERS, key=lambda each: state.members[each].leads)
        after = Promoter(
            "claimed",
            _token(rules, state, revision + 1),
            open_candidate if rules.pin else -1,
            primary,
            revision + 1,
            state.era,
        )
        yield after, {
            "record": (revision + 1, open_candidate),
            "fresh": index,
        }

    @staticmethod
    def claimed(state, rules, index, own):
        """Choose a candidate, then hold the others and compare."""
        others = [each for each in MEMBERS if each != own.old]
        for candidate in others:
            if own.candidate not in (-1, candidate):
                continue
            members = state.members
            if any(members[each].leads for each in others):
                yield Promoter("ended"), {}
                continue
            held = [each for each in others if each != candidate]
            for each in held:
                members = _with(
                    members,
                    each,
                    dataclasses.replace(
                        members[each],
                        held=True,
                        # The command names the term that it follows.
                        term=max(
                            members[each].term, state.members[own.old].leads
                        ),
                    ),
                )
            yield dataclasses.replace(
                own, step="holding", candidate=candidate
            ), {"members": members}

    @staticmethod
    def holding(state, rules, index, own):
        """Go on once the candidate holds what the held ones have."""
        log = set(state.members[own.candidate].log)
        held = [
            state.members[each]
            for each in MEMBERS
            if each not in (own.old, own.candidate)
        ]
        if all(set(each.log) <= log for each in held):
            yield dataclasses.replace(own, step="compared"), {}

    @staticmethod
    def compared(state, rules, index, own):
        """Record the candidate; the comparison is still recent."""
        current = not rules.eras or state.era == own.era
        if index not in (state.fresh, state.forgotten):
            yield Promoter("ended"), {}
        elif not rules.announce:
            yield dataclasses.replace(own, step="announced"), {}
        elif state.record[0] == own.revision and current:
            revision = own.revision + 1
            yield dataclasses.replace(
                own,
                step="announced",
                token=_token(rules, state, revision),
                revision=revision,
            ), {"record": (revision, own.candidate)}
        else:
            yield Promoter("ended"), {}

    @staticmethod
    def announced(state, rules, index, own):
        """Call the platform, unless this daemon stood still since."""
        if index not in (state.fresh, state.forgotten):
            yield Promoter("ended"), {}
            return
        if not rules.fences and own.token <= state.sent:
            raise Violation("ONE: a lower token after a higher one")
        yield Promoter("ended"), {
            "calls": state.calls | {(own.token, own.candidate)},
            "sent": max(state.sent, own.token),
        }

    @staticmethod
    def ended(state, rules, index, own):
        """Start another attempt while the run is short enough."""
        if state.record[0] < 6:
            yield Promoter(), {}


def _expires(state: State, rules: Rules) -> Iterator[State]:
    """A claim becomes old: its holder may not call, others may claim."""
    if state.fresh is not None:
        yield _replace(state, fresh=None)
    if state.forgotten is not None:
        yield _replace(state, forgotten=None)


def _token(rules: Rules, state: State, revision: int) -> int:
    return revision + (TOKENS_PER_ERA * state.era if rules.eras else 0)


def _restores(state: State, rules: Rules) -> Iterator[State]:
    """The store goes back to the copy from before the first claim."""
    if rules.restores and state.era < MAX_ERA and state.record[0]:
        yield _replace(
            state,
            record=(0, -1),
            fresh=None,
            forgotten=state.fresh,
            era=state.era + 1,
            unsettled=True,
        )


def _settles(state: State, rules: Rules) -> Iterator[State]:
    """The wait after a restore ends; an open call is written again."""
    if not state.unsettled or state.forgotten is not None:
        return
    settled = _replace(state, unsettled=False)
    if state.calls:
        _, candidate = max(state.calls)
        settled = _replace(
            settled, record=(state.record[0] + 1, candidate), fresh=None
        )
    yield settled


def _reads(state: State, rules: Rules) -> Iterator[State]:
    """One step of a read that needs every acknowledged commit."""
    reader = state.reader
    if reader.step == "idle":
        for index, member in enumerate(state.members):
            if member.leads:
                yield _replace(
                    state,
                    reader=Reader(
                        "arrived", index, member.leads, state.acknowledged
                    ),
                )
        return
    if reader.step == "arrived":
        # The presumed primary is from before the arrival.
        witnesses = [each for each in MEMBERS if each != reader.member]
        for each in witnesses:
            if not rules.witness:
                confirmed = True
            else:
                member = state.members[each]
                newest = max([member.term] + [term for term, _ in member.log])
                confirmed = newest <= reader.term
            yield _replace(
                state,
                reader=(
                    dataclasses.replace(reader, step="confirmed")
                    if confirmed
                    else Reader()
                ),
            )
        return
    member = state.members[reader.member]
    if member.leads:
        if not reader.required <= set(member.log):
            raise Violation("STALE: the log lacks an acknowledged commit")
    yield _replace(state, reader=Reader())


#: Kinds of processes and how often one takes the next step.  Commits are
#: rare, so that some are left for the terms after a promotion.
_WEIGHT_BY_PROCESS = {
    _commits: 1,
    _follows: 1,
    _land: 4,
    _promotes: 8,
    _expires: 1,
    _reads: 4,
    _restores: 1,
    _settles: 2,
}


def walk(rules: Rules, rng: random.Random, steps: int) -> int:
    """Take random steps from the first state; return how many.

    Raises
    ======

    Violation
        If a step breaks an invariant.

    """
    state = initial()
    for taken in range(steps):
        following = {
            process: states
            for process in _WEIGHT_BY_PROCESS
            if (states := list(process(state, rules)))
        }
        if not following:
            return taken
        weights = [_WEIGHT_BY_PROCESS[each] for each in following]
        (process,) = rng.choices(list(following), weights)
        state = rng.choice(following[process])
    return steps
