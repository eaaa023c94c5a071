"""Interface of what a client session may do, given its account."""

from typing import Protocol

from burdockcart import errors
from burdockcart import ids


class SessionAccess(Protocol):
    """Decides for one session which statements are accepted."""

    @property
    def account(self) -> ids.AccountName | None:
        """The client account; None for a session without one."""

    def refusal(self) -> errors.Failure | None:
        """Return why a statement that was just read may not run."""

    async def begin_operation(self, limit_s: float) -> errors.Failure | None:
        """Count an operation; return why it may not run.

        Parameters
        ==========

        limit_s : float
            Longest time to wait for a share of the account's rate, in
            seconds.

        """

    def operation_unsent(self) -> None:
        """Give back an operation that no member has run."""


class OpenAccess:
    """Access of a session without an account: everything is accepted."""

    @property
    def account(self) -> ids.AccountName | None:
        """None."""
        return None

    def refusal(self) -> errors.Failure | None:
        """Return None."""
        return None

    async def begin_operation(self, limit_s: float) -> errors.Failure | None:
        """Return None."""
        return None

    def operation_unsent(self) -> None:
        """Do nothing."""
