"""Record of accounts in a soak: manifests, keys, sessions and lines.

Times are seconds of the clock of the other records.
"""

import dataclasses
import math
from typing import Iterator

#: Name of member connections without an account.
OWN_NAME = "burdockcart"


@dataclasses.dataclass(frozen=True)
class AccountState:
    """An account in one version of the manifest.

    Parameters
    ==========

    rate_per_s : float or None
        Operations per second of all daemons together; None for no limit.

    """

    name: str
    keys: frozenset[str]
    rate_per_s: float | None = None
    burst: float = 0.0

    def most_operations(self, window_s: float) -> float:
        """Return the operations that may be admitted in a window."""
        if self.rate_per_s is None:
            return math.inf
        return self.rate_per_s * window_s + self.burst


@dataclasses.dataclass(frozen=True)
class AccountsVersion:
    """Accounts of a manifest, and when the store acknowledged it."""

    at: float
    accounts: tuple[AccountState, ...]

    def holder(self, key: str) -> str | None:
        """Return the account that holds a key."""
        return next((e.name for e in self.accounts if key in e.keys), None)

    def account(self, name: str) -> AccountState | None:
        """Return the account of a name."""
        return next(
            (each for each in self.accounts if each.name == name), None
        )


@dataclasses.dataclass(frozen=True)
class Startup:
    """First message of a client, or a later one with NOAUTH as its answer.

    Parameters
    ==========

    answer : str
        ``READY``, or the code of the error; empty without an answer.
    text : str
        The line of the answer.
    closed : bool
        Whether the daemon closed the connection after an error.

    """

    daemon: str
    key: str
    sent_at: float
    answer: str
    text: str = ""
    closed: bool = True


@dataclasses.dataclass(frozen=True)
class Line:
    """Text that a member received or a daemon wrote.

    Parameters
    ==========

    place : str
        Name of the member, or of the daemon and what it wrote.

    """

    place: str
    text: str
    at: float = 0.0


@dataclasses.dataclass
class AccountRecord:
    """All records of one soak that concern accounts."""

    #: In the order of their times.
    versions: list[AccountsVersion] = dataclasses.field(default_factory=list)
    startups: list[Startup] = dataclasses.field(default_factory=list)
    member_lines: list[Line] = dataclasses.field(default_factory=list)
    #: Logs and metrics of the daemons, and what they wrote to the store.
    outputs: list[Line] = dataclasses.field(default_factory=list)
    #: Sessions on an anonymous route.
    anonymous_sessions: set[int] = dataclasses.field(default_factory=set)

    def in_force(self, begin: float, end: float) -> Iterator[AccountsVersion]:
        """Return the newest versions in the store at times of a span.

        A version counts up to the time at which the next one replaced it.
        """
        ends = [each.at for each in self.versions[1:]] + [math.inf]
        for version, replaced_at in zip(self.versions, ends):
            if version.at <= end and begin <= replaced_at:
                yield version

    def holders(self, key: str, begin: float, end: float) -> set[str]:
        """Return the accounts that held a key at times of a span."""
        names = (each.holder(key) for each in self.in_force(begin, end))
        return {name for name in names if name is not None}

    def keys(self) -> set[str]:
        """Return all keys that a manifest held."""
        return {
            key
            for version in self.versions
            for account in version.accounts
            for key in account.keys
        }
