"""Settings of a gateway daemon."""

import msgspec

from burdockcart import ids
from burdockcart.process.rates import reserve_policy


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Validated settings of one daemon.

    Parameters
    ==========

    client_address : str
        ``ip:port`` on which clients connect.
    ready_address : str
        ``ip:port`` of the load balancer's readiness checks.
    peer_host, peer_port : str, int
        Address on which other daemons connect.
    shutdown_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    drain_s : float
        Time after which a draining member must get no new work, in
        seconds.
    manifest_s : float
        Time in which a new manifest must be in force, in seconds.
    promotion_claim_s : float
        Least time between promotions of one group by different daemons,
        in seconds.
    strict_revoke : bool
        Whether a removed key must not be used later than ``revoke_s`` after
        the store acknowledged its removal, whatever this daemon can reach.
    revoke_s : float
        That time, in seconds.
    quota_window_s, quota_excess, quota_slack : float or None
        Window of an account's rate in seconds, and the operations over rate
        and burst that a window may have: a part of these, and a number.  The
        rate reserve is disabled unless all three are given.
    first_start : bool
        Whether the whole deployment starts for the first time.
    promotions_fenced : bool
        Whether the platform rejects a promotion with an old token, and ends
        the lead of the old primary at a promotion.  Otherwise the old
        primary goes on until it is demoted or reaches the new one.
    memory_mb, max_fds : float, int
        Memory and file descriptors of the process on its host.
    line_timeout_s, unread_timeout_s : float
        Time in which a client's message must end, and in which a client must
        take an answer, in seconds.
    client_idle_s : float
        Least time without activity after which a client may be closed in
        favor of others, in seconds.
    http_timeout_s : float
        Time in which an HTTP request must arrive, in seconds.

    """

    daemon: ids.DaemonId
    domain: ids.DomainName
    client_address: str
    ready_address: str
    store_address: str
    promotion_address: str
    peer_host: str = "127.0.0.1"
    peer_port: int = 7440
    shutdown_s: float = 6.0
    drain_s: float = 7.0
    promotion_claim_s: float = 3.0
    manifest_s: float = 3.0
    promotions_fenced: bool = True
    strict_revoke: bool = False
    revoke_s: float = 5.0
    quota_window_s: float | None = None
    quota_excess: float | None = None
    quota_slack: float | None = None
    first_start: bool = False
    memory_mb: float = 1024.0
    max_fds: int = 4300
    line_timeout_s: float = 10.0
    unread_timeout_s: float = 6.0
    client_idle_s: float = 1.0
    http_timeout_s: float = 10.0

    @property
    def key_bound_s(self) -> float | None:
        """Bound on the use of a removed key in seconds; None for none."""
        return self.revoke_s if self.strict_revoke else None

    @property
    def reserve(self) -> reserve_policy.ReservePolicy | None:
        """Policy of the rate reserve; None if it is disabled."""
        window_s = self.quota_window_s
        excess, slack = self.quota_excess, self.quota_slack
        if window_s is None or excess is None or slack is None:
            return None
        return reserve_policy.ReservePolicy(window_s, excess, slack)

    @property
    def peer_address(self) -> str:
        """``ip:port`` on which other daemons connect."""
        return f"{self.peer_host}:{self.peer_port}"
