"""Open transactions of one daemon, each bound to a target connection."""

import enum
import secrets
from typing import Callable

import msgspec
from returns import result

from burdockcart.connection import target_connection
from burdockcart.connection import target_pool
from burdockcart import errors
from burdockcart import ids
from burdockcart.version import rows

TRANSACTION_IDLE_S = 10.0
#: Length of the unguessable part of a transaction id.
RANDOM_BYTES = 16

_Kind = errors.ErrorKind


class State(enum.Enum):
    """Whether a statement of the transaction is under way."""

    IDLE = "idle"
    BUSY = "busy"


class Transaction(msgspec.Struct, eq=False):
    """One open transaction."""

    id: ids.TransactionId
    caller: ids.CallerId
    group: ids.GroupId
    member: ids.MemberId
    term: ids.Term
    route: ids.RouteName
    acknowledge: rows.Acknowledge
    connection: target_connection.TargetConnection
    pool: target_pool.TargetPool
    used_at: float
    state: State = State.IDLE


def executor_of(transaction: ids.TransactionId) -> ids.DaemonId:
    """Return the daemon that holds a transaction's connection.

    Examples
    ========

    >>> from burdockcart.connection import transaction
    >>> transaction.executor_of("d1.host-3.1f.7.c0ffee")
    'd1.host-3'

    """
    return ids.DaemonId(transaction.rsplit(".", 3)[0])


def max_open(connections: int) -> int:
    """Return how many transactions may be open on a member.

    At most half of the connections, so that single statements always find
    one.

    """
    return max(1, connections // 2)


class TransactionTable:
    """Table of the open transactions.

    Explanation
    ===========

    Invariant: a transaction is used by its own caller only, and by one
    statement at a time.

    Parameters
    ==========

    own : DaemonId
        The daemon that holds the connections.
    incarnation : str
        Differs between two runs of the daemon, so that an id of an earlier
        run is never taken for one of this run.

    """

    def __init__(
        self,
        own: ids.DaemonId,
        incarnation: str,
        random: Callable[[int], str] = secrets.token_hex,
    ):
        self._prefix = f"{own}.{incarnation}"
        self._random = random
        self._serial = 0
        self.by_id: dict[ids.TransactionId, Transaction] = {}
        self._beginning: dict[ids.MemberId, int] = {}

    def new_id(self) -> ids.TransactionId:
        """Return an id that no other caller can guess."""
        self._serial += 1
        random = self._random(RANDOM_BYTES)
        return ids.TransactionId(f"{self._prefix}.{self._serial}.{random}")

    def reserve(self, member: ids.MemberId, limit: int) -> bool:
        """Reserve a place for a transaction that begins, if one is free."""
        open_now = sum(each.member == member for each in self.by_id.values())
        beginning = self._beginning.get(member, 0)
        if open_now + beginning >= limit:
            return False
        self._beginning[member] = beginning + 1
        return True

    def unreserve(self, member: ids.MemberId) -> None:
        """Free the place that :meth:`reserve` took."""
        self._beginning[member] -= 1

    def add(self, transaction: Transaction) -> None:
        """Open a transaction."""
        self.by_id[transaction.id] = transaction

    def use(
        self,
        transaction: ids.TransactionId,
        caller: ids.CallerId,
        now: float,
    ) -> result.Result[Transaction, errors.Failure]:
        """Acquire a transaction for one statement of its caller."""
        found = self.by_id.get(transaction)
        if found is None or found.caller != caller:
            # The same answer for both, so that a caller can't find out
            # which ids of other callers exist.
            return result.Failure(lost("the transaction is not open"))
        if found.state is State.BUSY:
            text = "another statement of the transaction is running"
            return result.Failure(errors.Failure(_Kind.BAD_REQUEST, text))
        found.state, found.used_at = State.BUSY, now
        return result.Success(found)

    def done(self, transaction: Transaction, now: float) -> None:
        """Release a transaction that stays open."""
        transaction.state, transaction.used_at = State.IDLE, now

    def end(self, transaction: Transaction) -> None:
        """Remove a transaction that has ended."""
        self.by_id.pop(transaction.id, None)

    def idle_expired(self, now: float) -> list[Transaction]:
        """Return the transactions that exceeded the idle limit."""
        return [
            each
            for each in self.by_id.values()
            if each.state is State.IDLE
            and now - each.used_at >= TRANSACTION_IDLE_S
        ]


def lost(reason: str) -> errors.Failure:
    """Return the failure of a statement whose transaction has ended."""
    return errors.Failure(_Kind.TRANSACTION_LOST, reason)
