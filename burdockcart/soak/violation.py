"""Limits of the rules, and violations of them."""

import dataclasses


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

    """

    calm_s: float = 4.0
    restart_s: float = 0.5
    slack_s: float = 0.2
    grace_s: float = 6.0
    drain_s: float = 3.0
    apply_s: float = 3.0
    late_work_s: float = 3.0


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
