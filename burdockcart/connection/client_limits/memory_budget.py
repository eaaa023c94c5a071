"""Accounts the memory that the clients of a process use."""

import collections
import enum
import itertools
from typing import NewType
from typing import Protocol

#: Identifies a client connection, a relayed statement or a connection to a
#: member.
ClientNumber = NewType("ClientNumber", int)
_NUMBERS = itertools.count(1)
#: Part of the budget that values and prepared names of sessions may fill; the
#: rest always remains for statements and answers.
STATE_SHARE = 0.5


class Use(enum.Enum):
    """What a client uses memory for."""

    #: A message that is being read or run.
    MESSAGE = "message"
    #: Values and prepared names.
    STATE = "state"
    #: An answer that the client has not taken yet.
    UNSENT = "unsent"
    #: A statement that another daemon relays, with the values of its session.
    RELAYED = "relayed"
    #: A response of a member that is being received.
    RESPONSE = "response"


def new_number() -> ClientNumber:
    """Return a number that no other user of memory has."""
    return ClientNumber(next(_NUMBERS))


class Memory(Protocol):
    """The memory of a process, for what its clients cause elsewhere."""

    def hold(self, client: ClientNumber, use: Use, size: int) -> bool:
        """Account memory if it fits, or fits once others are closed."""

    def limited(self, reason: str, action: str, port: str) -> None:
        """Log and count that a limit was applied."""


class Unlimited:
    """Memory for tests and tools, which have no host's limits."""

    def hold(self, client: ClientNumber, use: Use, size: int) -> bool:
        """Return True."""
        return True

    def limited(self, reason: str, action: str, port: str) -> None:
        """Do nothing."""


class MemoryBudget:
    """Memory used by each client, and in sum.

    Parameters
    ==========

    total : int
        Bytes that all clients may use together.

    Examples
    ========

    >>> from burdockcart.connection.client_limits import memory_budget
    >>> budget = memory_budget.MemoryBudget(100)
    >>> state = memory_budget.Use.STATE
    >>> budget.fits(1, state, 50), budget.fits(1, state, 51)
    (True, False)

    """

    def __init__(self, total: int):
        self._total = total
        self._bytes_by_use: collections.Counter[Use] = collections.Counter()
        self._bytes_by_key: dict[tuple[ClientNumber, Use], int] = {}

    @property
    def used(self) -> int:
        """Bytes that all clients use."""
        return sum(self._bytes_by_use.values())

    @property
    def exceeded(self) -> bool:
        """Whether the clients use more than the total."""
        return self.used > self._total

    def held(self, client: ClientNumber, use: Use) -> int:
        """Return the bytes that a client uses for one purpose."""
        return self._bytes_by_key.get((client, use), 0)

    def of(self, client: ClientNumber) -> int:
        """Return the bytes that a client uses."""
        return sum(self.held(client, use) for use in Use)

    def fits(self, client: ClientNumber, use: Use, size: int) -> bool:
        """Return whether a client's use may have this size."""
        grows = size - self.held(client, use)
        if grows <= 0:
            return True
        state = self._bytes_by_use[Use.STATE] + grows
        if use is Use.STATE and state > STATE_SHARE * self._total:
            return False
        return self.used + grows <= self._total

    def hold(self, client: ClientNumber, use: Use, size: int) -> None:
        """Set the size of a client's use."""
        self._bytes_by_use[use] += size - self.held(client, use)
        if size:
            self._bytes_by_key[client, use] = size
        else:
            self._bytes_by_key.pop((client, use), None)

    def release(self, client: ClientNumber) -> None:
        """Forget a client whose connection is closed."""
        for use in Use:
            self.hold(client, use, 0)
