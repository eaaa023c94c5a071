"""Model of shares that an owner grants, explored by random walks.

Explanation
===========

Two daemons hold shares, and both may own the shard.  Each state is a value;
messages arrive late, in any order, or never.  Shares are whole numbers of
one quantity, which stands for the rate as well as for the burst.  Time passes
in ticks; a lease lasts for :data:`LEASE` of them after it is renewed, and an
owner's authority ends one tick earlier.  An owner may transfer the shard: it
steps down, and the other daemon writes the key if it has not changed.

The invariants are that at most one daemon grants, and that all shares that
can be spent sum to at most :data:`LIMIT`; a violated one raises
:class:`Violation`.

"""

import dataclasses
import itertools
import random
from typing import Iterator

DAEMONS = (0, 1)
LIMIT = 2
LEASE = 3
GRACE = 2
#: Most messages under way; more add no new interleavings.
MAX_MESSAGES = 4


class Violation(Exception):
    """An invariant that a step broke."""


@dataclasses.dataclass(frozen=True)
class Rules:
    """The protocol, or a variant with a fault.

    Parameters
    ==========

    grace : bool
        Whether a new owner waits until the shares of the former one have
        expired.
    acknowledge : bool
        Whether a smaller share frees the difference only when its daemon has
        reported it, or the larger one has expired.
    last_only : bool
        Whether a daemon accepts only the answer to its last report.
    expire : bool
        Whether shares expire with the authority of their owner.
    step_down : bool
        Whether an owner gives up its authority before it transfers the shard.
    await_shares : bool
        Whether a successor grants only when the shares of the owner that has
        transferred the shard have expired.
    conditional : bool
        Whether a successor writes the key only if it has not changed.

    """

    grace: bool = True
    acknowledge: bool = True
    last_only: bool = True
    expire: bool = True
    step_down: bool = True
    await_shares: bool = True
    conditional: bool = True


@dataclasses.dataclass(frozen=True)
class Share:
    """A share: term of its owner, number, size and when it expires."""

    term: int = 0
    serial: int = 0
    size: int = 0
    ends_at: int = 0


@dataclasses.dataclass(frozen=True)
class Owner:
    """A daemon as the owner of a term.

    Parameters
    ==========

    granted : tuple of tuple of Share
        Shares of each daemon that may still be in use.
    heard : tuple of int
        Last report of each daemon.

    """

    term: int = 0
    authority_until: int = -1
    grants_from: int = 0
    granted: tuple[tuple[Share, ...], ...] = ((), ())
    heard: tuple[int, ...] = (0, 0)


@dataclasses.dataclass(frozen=True)
class Message:
    """A report, or the share that answers it."""

    daemon: int
    number: int
    to_owner: int
    wants: int
    held: Share
    sent_at: int
    answer: Share | None = None


@dataclasses.dataclass(frozen=True)
class Take:
    """An owner's request to write the key of its term in its place.

    Parameters
    ==========

    shares_end_in : int
        Time until the last share of the owner expires.

    """

    daemon: int
    term: int
    shares_end_in: int


@dataclasses.dataclass(frozen=True)
class State:
    """State of the store, the owners, the daemons and the messages."""

    now: int = 0
    term: int = 0
    lease_ends_at: int = 0
    holder: int = -1
    owners: tuple[Owner, ...] = (Owner(), Owner())
    shares: tuple[Share, ...] = (Share(), Share())
    reports: tuple[int, ...] = (0, 0)
    #: In a fixed order: that of a set differs between processes.
    messages: tuple = ()
    serial: int = 0


def _replaced(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _without(messages: tuple, message: Message | Take) -> tuple:
    return tuple(each for each in messages if each != message)


def _check(state: State) -> int:
    """Return the sum of the shares that can be spent."""
    granting = [
        daemon
        for daemon in DAEMONS
        if state.now < state.owners[daemon].authority_until
    ]
    if len(granting) > 1:
        raise Violation(f"both daemons grant at {state.now}")
    spendable = sum(
        each.size for each in state.shares if state.now < each.ends_at
    )
    if spendable > LIMIT:
        raise Violation(f"{spendable} of {LIMIT} at {state.now}")
    return spendable


def _acquire(state: State, rules: Rules) -> Iterator[State]:
    """Write the key of a lease that has ended; the answer may be lost."""
    if state.now < state.lease_ends_at:
        return
    for daemon in DAEMONS:
        yield from _written(state, daemon, GRACE if rules.grace else 0)


def _written(state: State, daemon: int, wait: int) -> Iterator[State]:
    """Write the key; the daemon is the owner if the answer arrives."""
    term = state.term + 1
    written = dataclasses.replace(
        state, term=term, holder=daemon, lease_ends_at=state.now + LEASE
    )
    owner = Owner(term, state.now + LEASE - 1, state.now + wait)
    yield written
    yield dataclasses.replace(
        written, owners=_replaced(state.owners, daemon, owner)
    )


def _renew(state: State, rules: Rules) -> Iterator[State]:
    """Extend the lease, and the authority if the answer arrives."""
    daemon = state.holder
    if daemon < 0 or state.now >= state.lease_ends_at:
        return
    owner = state.owners[daemon]
    if owner.term != state.term:
        return
    if owner.authority_until < 0:
        # It has stepped down, and a late answer must not undo that.
        return
    renewed = dataclasses.replace(state, lease_ends_at=state.now + LEASE)
    owner = dataclasses.replace(owner, authority_until=state.now + LEASE - 1)
    yield renewed
    yield dataclasses.replace(
        renewed, owners=_replaced(state.owners, daemon, owner)
    )


def _transfer(state: State, rules: Rules) -> Iterator[State]:
    """Step down, and tell the other daemon to take the shard.

    Whether the other one can reach the store does not matter here.
    """
    for daemon in DAEMONS:
        owner = state.owners[daemon]
        if state.now >= owner.authority_until:
            continue
        granted = itertools.chain.from_iterable(owner.granted)
        ends_at = max([owner.grants_from, *(each.ends_at for each in granted)])
        take = Take(1 - daemon, owner.term, max(0, ends_at - state.now))
        if rules.step_down:
            owner = dataclasses.replace(owner, authority_until=-1)
        yield dataclasses.replace(
            state,
            owners=_replaced(state.owners, daemon, owner),
            messages=(*state.messages, take),
        )


def _take(state: State, take: Take, rules: Rules) -> Iterator[State]:
    """Write the key in place of an owner; the answer may be lost."""
    changed = state.term != take.term or state.now >= state.lease_ends_at
    if rules.conditional and changed:
        return
    wait = take.shares_end_in if rules.await_shares else 0
    yield from _written(state, take.daemon, wait)


def _report(state: State, rules: Rules) -> Iterator[State]:
    """Report to either daemon."""
    if len(state.messages) >= MAX_MESSAGES:
        return
    for daemon, target, wants in itertools.product(
        DAEMONS, DAEMONS, range(LIMIT + 1)
    ):
        number = state.reports[daemon] + 1
        message = Message(
            daemon, number, target, wants, state.shares[daemon], state.now
        )
        yield dataclasses.replace(
            state,
            reports=_replaced(state.reports, daemon, number),
            messages=(*state.messages, message),
        )


def _in_use(
    owner: Owner, daemon: int, message: Message, rules: Rules
) -> tuple[Share, ...]:
    """Return which shares a daemon that reports may still use."""
    granted = owner.granted[daemon]
    if not rules.last_only:
        return tuple(
            each for each in granted if each.serial >= message.held.serial
        )
    return tuple(each for each in granted if each == message.held)


def _grant(state: State, message: Message, rules: Rules) -> Iterator[State]:
    """Answer a report."""
    owner, daemon = state.owners[message.to_owner], message.daemon
    if (
        state.now >= owner.authority_until
        or message.number <= owner.heard[daemon]
    ):
        return
    granted = tuple(
        tuple(each for each in shares if state.now < each.ends_at)
        for shares in owner.granted
    )
    owner = dataclasses.replace(owner, granted=granted)
    granted = _replaced(
        granted, daemon, _in_use(owner, daemon, message, rules)
    )
    free = LIMIT - sum(
        max((each.size for each in shares), default=0)
        for position, shares in enumerate(granted)
        if position != daemon
    )
    size = min(message.wants, max(0, free))
    if state.now < owner.grants_from:
        held = message.held
        valid = state.now < held.ends_at and held.term != owner.term
        size = min(size, held.size) if valid else 0
    ends_at = owner.authority_until + GRACE
    share = Share(owner.term, state.serial + 1, size, ends_at)
    sent = (*granted[daemon], share) if rules.acknowledge else (share,)
    owner = dataclasses.replace(
        owner,
        granted=_replaced(granted, daemon, sent),
        heard=_replaced(owner.heard, daemon, message.number),
    )
    yield dataclasses.replace(
        state,
        owners=_replaced(state.owners, message.to_owner, owner),
        serial=share.serial,
        messages=(*state.messages, dataclasses.replace(message, answer=share)),
    )


def _apply(state: State, message: Message, rules: Rules) -> Iterator[State]:
    """Use the share in an answer."""
    daemon, share = message.daemon, message.answer
    assert share is not None
    known = state.shares[daemon]
    current = message.number == state.reports[daemon]
    if rules.last_only and not current or share.serial <= known.serial:
        return
    if not rules.expire:
        share = dataclasses.replace(share, ends_at=10**9)
    yield dataclasses.replace(
        state, shares=_replaced(state.shares, daemon, share)
    )


def _deliver(state: State, rules: Rules) -> Iterator[State]:
    """Let a message arrive."""
    for message in state.messages:
        without = dataclasses.replace(
            state, messages=_without(state.messages, message)
        )
        if isinstance(message, Take):
            yield from _take(without, message, rules)
        else:
            arrives = _apply if message.answer else _grant
            yield from arrives(without, message, rules)


def _tick(state: State, rules: Rules) -> Iterator[State]:
    yield dataclasses.replace(state, now=state.now + 1)


def _lose(state: State, rules: Rules) -> Iterator[State]:
    """Lose a message."""
    for message in state.messages:
        yield dataclasses.replace(
            state, messages=_without(state.messages, message)
        )


#: Kinds of steps and how often one is taken.
_WEIGHT_BY_STEP = {
    _tick: 3,
    _acquire: 2,
    _renew: 2,
    _transfer: 1,
    _report: 6,
    _deliver: 12,
    _lose: 1,
}


def walk(rng: random.Random, steps: int, rules: Rules) -> set[int]:
    """Take random steps; return the sums of the shares that were seen.

    Raises
    ======

    Violation
        If a step broke the invariant.

    """
    state, seen = State(), set()
    for _ in range(steps):
        following = {
            step: states
            for step in _WEIGHT_BY_STEP
            if (states := list(step(state, rules)))
        }
        weights = [_WEIGHT_BY_STEP[each] for each in following]
        (step,) = rng.choices(list(following), weights)
        state = rng.choice(following[step])
        seen.add(_check(state))
    return seen
