"""Deployment size that the project is designed for."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Size:
    """Numbers of one deployment, over all failure domains."""

    daemons: int
    databases: int
    members_per_database: int
    domains: int
    regions: int
    caller_connections: int
    statements_per_s: float
    primary_changes_per_day: int
    table_changes_per_day: int
    failed_hosts_per_day: int
    restarted_hosts_per_day: int
    slots_per_member: int
    connections_per_member: int

    @property
    def members(self) -> int:
        """Return the number of members of all databases."""
        return self.databases * self.members_per_database

    @property
    def daemons_per_domain(self) -> float:
        """Return the daemons of one failure domain."""
        return self.daemons / self.domains

    def per_daemon(self, total: float) -> float:
        """Return the share of one daemon."""
        return total / self.daemons


DESIGN = Size(
    daemons=4_800,
    databases=40_000,
    members_per_database=3,
    domains=19,
    regions=6,
    caller_connections=20_000_000,
    statements_per_s=21_000_000,
    primary_changes_per_day=37,
    table_changes_per_day=17_000,
    failed_hosts_per_day=84,
    restarted_hosts_per_day=8_600,
    slots_per_member=2,
    connections_per_member=16,
)

#: Limits of the control work of a daemon.
CONTROL_CORE_PERCENT = 3.1
CONTROL_MEMORY_MB = 32.0
CONTROL_BYTES_PER_S = 4_000.0

#: Call rates that the platform's store accepts.
STORE_WRITES_PER_S = 300.0
STORE_READS_PER_S = 2_000.0

DAY_S = 86_400.0
