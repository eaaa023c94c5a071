"""Applies the limits of clients to the connections of one process."""

import asyncio
from typing import Callable
from typing import Iterable
from typing import Protocol

import loguru

from burdockcart import clock
from burdockcart.connection.client_limits import eviction
from burdockcart.connection.client_limits import limits
from burdockcart.connection.client_limits import memory_budget

#: Called with the port and the reason of each application of a limit.
CountLimited = Callable[[str, str], None]
#: Interval of looking for memory again, in seconds.
RETRY_S = 0.05


#: Chooses a connection to close, given the least idle time in seconds.
Choice = Callable[
    [Iterable[eviction.Candidate], float], memory_budget.ClientNumber | None
]


class Connection(Protocol):
    """A client connection, as far as its limits concern it."""

    def candidate(self) -> eviction.Candidate:
        """Return its state for the choice of a connection to close."""

    def evict(self, reason: str) -> None:
        """Tell the client the reason, and close."""


def ignore(port: str, reason: str) -> None:
    """Count nothing."""


def unlimited() -> limits.ClientLimits:
    """Return limits for tests and tools, which have no host's limits."""
    return limits.derive(1024, limits.FILE_DESCRIPTORS + 4100)


class ClientLimiter:
    """Limits of the client port.

    Parameters
    ==========

    count : callable
        Called with the port and the reason of each application of a limit.

    """

    def __init__(
        self, allowed: limits.ClientLimits, count: CountLimited = ignore
    ):
        self.allowed = allowed
        self.budget = memory_budget.MemoryBudget(allowed.memory_bytes)
        self._count = count
        self._clock = clock.LoopClock()
        #: When a choice last found no connection to close.
        self._none_at_by_choice: dict[Choice, float] = {}
        self._connection_by_number: dict[
            memory_budget.ClientNumber, Connection
        ] = {}

    def admit(self, connection: Connection) -> memory_budget.ClientNumber:
        """Add a connection and return its number."""
        number = memory_budget.new_number()
        self._connection_by_number[number] = connection
        return number

    def leave(self, client: memory_budget.ClientNumber) -> None:
        """Remove a connection that is closed."""
        self._connection_by_number.pop(client, None)
        self.budget.release(client)

    def limited(self, reason: str, action: str, port: str = "client") -> None:
        """Log and count that a limit was applied."""
        self._count(port, reason)
        loguru.logger.info(
            "event=client_limited port={} reason={} action={}",
            port,
            reason,
            action,
        )

    def make_room(self) -> bool:
        """Return whether another connection fits; close an idle one if not.

        The descriptor of the closed one is free at once.
        """
        if len(self._connection_by_number) < self.allowed.clients:
            return True
        victim = self._victim(eviction.for_connection)
        return victim is not None and self._evict(victim, "connections")

    def _victim(
        self,
        choice: Choice,
        asking: memory_budget.ClientNumber | None = None,
    ) -> memory_budget.ClientNumber | None:
        """Return the connection to close, if there is one.

        Not the one that asks: its message is the reason.

        After a choice in vain, no other is made for a moment: each of many
        clients that wait would look at all connections.
        """
        now = self._clock.now()
        if now - self._none_at_by_choice.get(choice, -RETRY_S) < RETRY_S:
            return None
        found = choice(
            [
                each.candidate()
                for number, each in self._connection_by_number.items()
                if number != asking
            ],
            self.allowed.idle_s,
        )
        if found is None:
            self._none_at_by_choice[choice] = now
        return found

    def _evict(self, victim: memory_budget.ClientNumber, reason: str) -> bool:
        connection = self._connection_by_number.pop(victim)
        self.budget.release(victim)
        self.limited(reason, "closed")
        connection.evict(reason)
        return True

    def _free_memory(
        self, asking: memory_budget.ClientNumber | None = None
    ) -> bool:
        """Close the largest idle connection; return whether there was one."""
        victim = self._victim(eviction.for_memory, asking)
        return victim is not None and self._evict(victim, "memory")

    def hold(
        self,
        client: memory_budget.ClientNumber,
        use: memory_budget.Use,
        size: int,
    ) -> bool:
        """Account memory if it fits, or fits once others are closed."""
        while not self.budget.fits(client, use, size):
            if not self._free_memory(client):
                return False
        self.budget.hold(client, use, size)
        return True

    def hold_unsent(
        self, client: memory_budget.ClientNumber, size: int
    ) -> None:
        """Account an answer, which exists already, and close others for it."""
        self.budget.hold(client, memory_budget.Use.UNSENT, size)
        while self.budget.exceeded and self._free_memory():
            pass

    async def wait_for_memory(
        self, client: memory_budget.ClientNumber, size: int
    ) -> bool:
        """Account a message, once it fits; return False if it does not."""
        until = self._clock.now() + self.allowed.wait_s
        while not self.hold(client, memory_budget.Use.MESSAGE, size):
            if self._clock.now() >= until:
                return False
            await asyncio.sleep(RETRY_S)
        return True
