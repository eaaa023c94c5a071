"""State of one emulated database server: log, term, role and history.

Explanation
===========

A pure state machine.  It shares no code with the proxy, because its record
of what ran is the reference that the proxy is checked against.

Invariants: the term of a member never decreases, and a member grants each
term to at most one coordinator.

"""

import dataclasses
import itertools
from typing import Any


@dataclasses.dataclass(frozen=True)
class Entry:
    """One committed write."""

    term: int
    position: int
    request_id: str
    statements: list[dict[str, Any]]


class Refused(Exception):
    """The member refused a request."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class StatementError(Exception):
    """The statement ran and failed."""


def apply_statement(data: dict[str, Any], statement: dict[str, Any]) -> Any:
    """Run one statement on the data and return its result.

    Examples
    ========

    >>> from burdockcart.emulator import replication
    >>> data = {}
    >>> put = {"op": "append", "key": "k", "value": 1}
    >>> replication.apply_statement(data, put)
    1
    >>> replication.apply_statement(data, {"op": "get", "key": "k"})
    [1]

    """
    op, key = statement.get("op"), str(statement.get("key"))
    if op == "get":
        return data.get(key)
    if op == "put":
        data[key] = statement.get("value")
        return True
    if op == "append":
        earlier = data.get(key, [])
        if not isinstance(earlier, list):
            raise StatementError(f"{key!r} holds no list")
        data[key] = [*earlier, statement.get("value")]
        return len(data[key])
    raise StatementError(f"unknown op {op!r}")


class MemberState:
    """Replicated state of one member.

    Parameters
    ==========

    name : str
        Name of the member.
    primary : bool
        Whether the member starts as the primary of term 1.

    """

    def __init__(self, name: str, primary: bool = False):
        self.name = name
        self.term = 1
        self.coordinator = ""
        self.role = "primary" if primary else "replica"
        self.history: list[tuple[int, int]] = [(1, 0)]
        self.entries: list[Entry] = []
        self.data: dict[str, Any] = {}
        self.primary_address: str | None = None

    @property
    def position(self) -> int:
        """Return the position of the last applied entry."""
        return len(self.entries)

    @property
    def log_term(self) -> int:
        """Return the term of the last applied entry."""
        return self.entries[-1].term if self.entries else 1

    def adopt(self, term: int, coordinator: str) -> bool:
        """Grant a higher term to one coordinator; return whether granted."""
        if term == self.term:
            return bool(coordinator) and coordinator == self.coordinator
        if term < self.term:
            return False
        self.term, self.coordinator = term, coordinator
        self.role, self.primary_address = "replica", None
        return True

    def promote(self, term: int, coordinator: str) -> bool:
        """Become the primary of a term that was granted before."""
        if (term, coordinator) != (self.term, self.coordinator):
            return False
        if self.role != "primary":
            self.role = "primary"
            self.history.append((term, self.position))
        return True

    def follow(self, term: int, address: str) -> bool:
        """Replicate from the primary of a term."""
        if term < self.term or (term == self.term and self.role == "primary"):
            return False
        if term > self.term:
            self.term, self.coordinator = term, ""
        self.role, self.primary_address = "replica", address
        return True

    def check_term(self, term: int) -> None:
        """Refuse a statement of another term."""
        if term != self.term:
            raise Refused("stale_term")

    def write(
        self, term: int, request_id: str, statements: list[dict[str, Any]]
    ) -> list[Any]:
        """Commit statements as one entry and return their results."""
        self.check_term(term)
        if self.role != "primary":
            raise Refused("not_primary")
        scratch = dict(self.data)
        results = [apply_statement(scratch, each) for each in statements]
        self.data = scratch
        self.entries.append(
            Entry(self.term, self.position + 1, request_id, statements)
        )
        return results

    def divergence(self, history: list[tuple[int, int]]) -> int:
        """Return the last position shared with a primary's history.

        Examples
        ========

        >>> from burdockcart.emulator import replication
        >>> old = replication.MemberState("a", primary=True)
        >>> _ = old.write(1, "r1", [{"op": "put", "key": "k"}])
        >>> old.divergence([(1, 0), (2, 0)])
        0

        """
        later = [start for term, start in history if term > self.log_term]
        return min([self.position, *later])

    def truncate(self, position: int) -> None:
        """Discard the entries after a position."""
        if position >= self.position:
            return
        self.entries = self.entries[:position]
        self.data = {}
        for statement in itertools.chain.from_iterable(
            entry.statements for entry in self.entries
        ):
            apply_statement(self.data, statement)

    def replicate(
        self, term: int, history: list[tuple[int, int]], entries: list[Entry]
    ) -> None:
        """Apply entries that a primary of ``term`` sent."""
        if term != self.term or self.role == "primary":
            raise Refused("stale_term")
        self.truncate(self.divergence(history))
        self.history = list(history)
        for entry in entries:
            if entry.position == self.position + 1:
                self.entries.append(entry)
                for statement in entry.statements:
                    apply_statement(self.data, statement)
