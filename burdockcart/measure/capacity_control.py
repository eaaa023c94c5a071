"""Capacity figures of membership, the tables, the store and restarts."""

import math

from burdockcart.measure import capacity_figure
from burdockcart.measure import size
from burdockcart.process import store_budget
from burdockcart.version import distribution

#: Deployment whose slopes are used where each deployment has its own.
BASIS = "weather"


def _fleet(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> dict[str, float]:
    """Return the measured fleet closest in size to a failure domain."""
    return min(
        all_slopes["membership"]["fleets"],
        key=lambda each: abs(each["daemons"] - at.daemons_per_domain),
    )


def membership(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> list[capacity_figure.Figure]:
    """Return the figures of membership."""
    fleet = _fleet(all_slopes, at)
    daemon_kb = all_slopes["membership"]["memory_kb_per_known_daemon"]
    measured = f"measured with {fleet['daemons']} daemons in 3 domains"
    ring = "ring of the failure domain: 4 heartbeats, whatever its size"
    return [
        capacity_figure.Figure(
            "membership",
            "processor",
            fleet["core_percent"],
            "% of a core",
            measured,
            ring,
            size.CONTROL_CORE_PERCENT,
        ),
        capacity_figure.Figure(
            "membership",
            "sent",
            fleet["bytes_per_s"],
            "B/s",
            measured,
            ring,
            size.CONTROL_BYTES_PER_S,
        ),
        capacity_figure.Figure(
            "membership",
            "memory",
            at.daemons * daemon_kb / 1000,
            "MB",
            f"{at.daemons} daemons x {daemon_kb:.2f} kB",
            "one row a daemon, no link to most of them",
            size.CONTROL_MEMORY_MB,
        ),
        capacity_figure.Figure(
            "membership",
            "restarts",
            at.restarted_hosts_per_day / size.DAY_S,
            "per s, all daemons",
            f"{at.restarted_hosts_per_day} a day",
            "news spread with the heartbeats",
        ),
    ]


def tables(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> list[capacity_figure.Figure]:
    """Return the figures of the tables."""
    found = all_slopes["tables"][BASIS]
    change = found["per_change_and_daemon"]["bytes"]
    per_change = change["by_daemons"]["300"]
    rate = at.table_changes_per_day / size.DAY_S
    row = found["bytes"]["mean_row_in_a_daemon"]
    stored = found["bytes"]["change_of_a_pool_store"]
    watches = distribution.WATCHERS_PER_DOMAIN * at.domains
    return [
        capacity_figure.Figure(
            "tables",
            "changes received and forwarded",
            rate * per_change,
            "B/s",
            f"{rate:.3f} changes/s x {per_change:.0f} B",
            "push tree in the failure domain, version in the heartbeat",
            size.CONTROL_BYTES_PER_S,
        ),
        capacity_figure.Figure(
            "tables",
            "memory of both tables",
            2 * at.databases * row / 1e6,
            "MB",
            f"2 x {at.databases} rows x {row:.0f} B",
            "compressed shards, decoded when used",
            size.CONTROL_MEMORY_MB,
        ),
        capacity_figure.Figure(
            "tables",
            "waiting watches at the store",
            watches,
            "calls",
            f"{distribution.WATCHERS_PER_DOMAIN} x {at.domains} domains",
            "watchers chosen by rendezvous hashing",
            size.STORE_READS_PER_S,
        ),
        capacity_figure.Figure(
            "tables",
            "change records in the store",
            rate * stored,
            "B/s",
            f"{rate:.3f} changes/s x {stored} B",
            "records beyond 512 are removed",
        ),
    ]


def store(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> list[capacity_figure.Figure]:
    """Return the figures of the store's call budget over all daemons."""
    limits = store_budget.LIMIT_BY_CALL
    host_list_rate = limits["hosts"].fleet_rate
    changes = at.table_changes_per_day / size.DAY_S
    # A commit writes the head, a record, an audit row and two shards.
    writes = changes * 5 + at.primary_changes_per_day / size.DAY_S
    reads = sum(
        each.fleet_rate for kind, each in limits.items() if kind != "write"
    )
    return [
        capacity_figure.Figure(
            "store",
            "writes",
            writes,
            "calls/s",
            f"{changes:.3f} changes/s x 5 + 37 a day",
            "compare-and-swap on one head",
            size.STORE_WRITES_PER_S,
        ),
        capacity_figure.Figure(
            "store",
            "most reads, also after a restart of every daemon",
            reads,
            "calls/s",
            "sum of the daemons' shares of the budget",
            "token bucket a daemon, jittered back-off",
            size.STORE_READS_PER_S,
        ),
        capacity_figure.Figure(
            "store",
            "interval of the host list at this size",
            at.daemons / host_list_rate,
            "s",
            f"{at.daemons} / {host_list_rate:.0f} calls/s",
            "heartbeats find dead daemons without the list",
        ),
    ]


def churn(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> list[capacity_figure.Figure]:
    """Return the figures of restarts and of lost failure domains."""
    members = at.per_daemon(at.members)
    takeovers = 2 * at.restarted_hosts_per_day * members / size.DAY_S
    lost = math.ceil(at.daemons_per_domain)
    return [
        capacity_figure.Figure(
            "executor",
            "takeovers",
            takeovers,
            "per s, all daemons",
            f"2 x {at.restarted_hosts_per_day} restarts x "
            f"{members:.0f} members",
            "released in order on shutdown, after 1.8 s otherwise",
        ),
        capacity_figure.Figure(
            "executor",
            "questions for request ids",
            takeovers,
            "per s and daemon",
            "each takeover asks every live daemon",
            "one small message; 100 B each is " f"{takeovers * 100:.0f} B/s",
        ),
        capacity_figure.Figure(
            "all",
            "members whose failure domain is lost at once",
            at.members / at.domains,
            "members",
            f"{lost} daemons with their targets",
            "groups keep a majority in the other failure domains",
        ),
    ]
