"""Capacity figures of the roles on the path of a statement."""

from burdockcart.measure import capacity_control
from burdockcart.measure import capacity_figure
from burdockcart.measure import size
from burdockcart.process import member_executor

REPORT_PEERS = 2


def executors(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> list[capacity_figure.Figure]:
    """Return the figures of executors."""
    found = all_slopes["executor"]
    members = at.per_daemon(at.members)
    probes = members / member_executor.PROBE_INTERVAL_S
    built = "to be built: answers of statements count as probes"
    return [
        capacity_figure.Figure(
            "executor",
            "members",
            members,
            "",
            f"{at.members} / {at.daemons}",
            "rendezvous hashing in the member's failure domain",
        ),
        capacity_figure.Figure(
            "executor",
            "connections",
            members * at.connections_per_member,
            "",
            f"{members:.0f} members x {at.connections_per_member}",
            "one executor a member, limits held by one process",
        ),
        capacity_figure.Figure(
            "executor",
            "probes",
            probes * found["probe_s"] * 100,
            "% of a core",
            f"{probes:.0f}/s x {found['probe_s'] * 1e6:.0f} us",
            built + ", idle replicas at 1 Hz",
            size.CONTROL_CORE_PERCENT,
        ),
        capacity_figure.Figure(
            "executor",
            "probe traffic to targets",
            probes * found["probe_bytes"],
            "B/s",
            f"{probes:.0f}/s x {found['probe_bytes']} B",
            built,
            size.CONTROL_BYTES_PER_S,
        ),
    ]


def coordinators(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> list[capacity_figure.Figure]:
    """Return the figures of coordinators."""
    found = all_slopes["executor"]
    reports = 1 / member_executor.PROBE_INTERVAL_S
    report_all = reports * found["report_bytes"] * (at.daemons - 1)
    return [
        capacity_figure.Figure(
            "coordinator",
            "reports to all daemons",
            report_all,
            "B/s",
            f"{reports:.0f}/s x {found['report_bytes']} B x "
            f"{at.daemons - 1} peers",
            "to be built: next row",
            size.CONTROL_BYTES_PER_S,
        ),
        capacity_figure.Figure(
            "coordinator",
            "reports to the coordinators of active groups",
            found["report_bytes"] * REPORT_PEERS,
            "B/s",
            f"1/s x {found['report_bytes']} B x {REPORT_PEERS} peers",
            "to be built: subscription by the daemons that use a group; "
            "positions travel with answers",
            size.CONTROL_BYTES_PER_S,
        ),
        capacity_figure.Figure(
            "coordinator",
            "changes of primary",
            at.primary_changes_per_day,
            "store writes a day",
            "1 write each",
            "members' majority decides, the store only records",
        ),
    ]


def connections(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> list[capacity_figure.Figure]:
    """Return the figures of connections and group views."""
    count = at.per_daemon(at.caller_connections)
    connection_kb = all_slopes["membership"]["memory_kb_per_caller_connection"]
    view = all_slopes["executor"]["group_view_bytes"]
    return [
        capacity_figure.Figure(
            "entry",
            "caller connections",
            count,
            "",
            f"{at.caller_connections} / {at.daemons}",
            "bounded at 10,000 a daemon",
            10_000,
        ),
        capacity_figure.Figure(
            "entry",
            "memory of caller connections",
            count * connection_kb / 1000,
            "MB",
            f"{count:.0f} x {connection_kb:.1f} kB",
            "not control; sized with the host",
        ),
        capacity_figure.Figure(
            "entry",
            "views of all groups",
            at.databases * view / 1e6,
            "MB",
            f"{at.databases} groups x {view:.0f} B",
            "to be built: views only of groups in use, next row",
            size.CONTROL_MEMORY_MB,
        ),
        capacity_figure.Figure(
            "entry",
            "views of groups in use, one for each connection",
            count * view / 1e6,
            "MB",
            f"{count:.0f} groups x {view:.0f} B",
            "to be built: a view is made at the first statement",
            size.CONTROL_MEMORY_MB,
        ),
    ]


def statements(
    all_slopes: capacity_figure.Slopes, at: size.Size
) -> list[capacity_figure.Figure]:
    """Return the figures of the path of a statement."""
    found = all_slopes["statement"][capacity_control.BASIS]
    rate = at.per_daemon(at.statements_per_s)
    near, hop = found["near_s"], found["far_s"] - found["near_s"]
    return [
        capacity_figure.Figure(
            "entry and executor",
            "statements",
            rate * near,
            "cores a daemon",
            f"{rate:.0f}/s x {near * 1e6:.0f} us",
            "several processes a host, or a compiled data path",
        ),
        capacity_figure.Figure(
            "entry and executor",
            "hop between daemons",
            rate * hop,
            "cores a daemon",
            f"{rate:.0f}/s x {hop * 1e6:.0f} us",
            "saved where entry and executor are one",
        ),
    ]
