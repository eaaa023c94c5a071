"""Limits of the rules, and violations of them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AccountLimits:
    """Limits of the rules on accounts.

    Parameters
    ==========

    revoke_s : float
        Time after the removal of a key from which statements may not run, in
        seconds.
    window_s : float
        Length of a window of operations, in seconds.
    excess, slack : float
        Share and number of operations that a window may have in addition.
    apply_s : float
        Time in contact with the store after which a daemon knows a manifest,
        in seconds.
    restart_s : float
        Time from a fault of a daemon until it is in contact again, in
        seconds.

    """

    revoke_s: float = 5.0
    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0
    apply_s: float = 3.0
    restart_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Times of the rules, in seconds.

    Parameters
    ==========

    calm_s : float
        Time without an unplanned fault before a request that may not be cut,
        and without an end of a daemon that has to know the store.
    restart_s : float
        Time from the end of a process to the start of the next.
    slack_s : float
        Time after which a request counts as read by the daemon.
    grace_s : float
        Time from SIGTERM to the end of the process.
    drain_s : float
        Time after which a draining member gets no more work.
    apply_s : float
        Time in which a new manifest must be in force.
    late_work_s : float
        A request sent that soon after SIGTERM may be cut in the last sixth
        of the grace.
    accounts : AccountLimits
        Limits of the rules on accounts.

    """

    calm_s: float = 4.0
    restart_s: float = 0.5
    slack_s: float = 0.2
    grace_s: float = 6.0
    drain_s: float = 3.0
    apply_s: float = 3.0
    late_work_s: float = 3.0
    accounts: AccountLimits = AccountLimits()


@dataclasses.dataclass(frozen=True)
class Violation:
    """One broken rule."""

    rule: str
    message: str
    at: float
    ids: tuple[str, ...] = ()
    daemon: str = ""

    def __str__(self) -> str:
        where = f" daemon={self.daemon}" if self.daemon else ""
        return (
            f"{self.rule} at={self.at:.3f}{where} ids={','.join(self.ids)} "
            f"{self.message}"
        )
