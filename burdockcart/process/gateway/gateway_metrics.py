"""Counters and latency histograms of a gateway daemon.

The names are listed in docs/OPERATIONS.md.
"""

import functools

import prometheus_client

from burdockcart import errors
from burdockcart import ids

#: Upper bounds of the latency buckets, in seconds: they resolve the latency
#: goals (0.1 to 0.5 s) and timeouts (0.8 to 2 s) of the routes.
LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
)


#: Accounts that metrics name, more than any deployment has; the rest together
#: are ``other``.
MAX_ACCOUNTS = 200


class GatewayMetrics:
    """All metrics of one daemon."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._answered = prometheus_client.Counter(
            "burdockcart_statements",
            "Statements answered, by route and outcome",
            ["route", "outcome"],
            registry=self.registry,
        )
        self._latency = prometheus_client.Histogram(
            "burdockcart_statement_seconds",
            "Time from reading a forwarded statement to its answer",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._attempts = prometheus_client.Counter(
            "burdockcart_attempts_failed",
            "Attempts at members that failed, by fault",
            ["fault"],
            registry=self.registry,
        )
        self._promotions = prometheus_client.Counter(
            "burdockcart_promotions",
            "Replacements of a primary, by cause and whether they were done",
            ["cause", "done"],
            registry=self.registry,
        )
        self._promotions_put_off = prometheus_client.Counter(
            "burdockcart_promotions_put_off",
            "Attempts to replace a primary that were put off, by reason",
            ["reason"],
            registry=self.registry,
        )
        self._discarded = prometheus_client.Counter(
            "burdockcart_commits_discarded",
            "Commits of a member that a promotion has discarded",
            ["group", "led"],
            registry=self.registry,
        )
        self._acknowledged_discarded = prometheus_client.Counter(
            "burdockcart_acknowledged_discarded",
            "Commits told to be done that a promotion has discarded",
            ["group"],
            registry=self.registry,
        )
        self._hedges = prometheus_client.Counter(
            "burdockcart_reads_hedged",
            "Reads that were sent to a second member",
            registry=self.registry,
        )
        self._evidence = prometheus_client.Counter(
            "burdockcart_evidence_used",
            "Work placed by what holders know of members, by decision",
            ["decision"],
            registry=self.registry,
        )
        self._account_connections = prometheus_client.Counter(
            "burdockcart_account_connections",
            "Uses of connections to members by client accounts, by outcome",
            ["group", "outcome"],
            registry=self.registry,
        )
        self._task_failures = prometheus_client.Counter(
            "burdockcart_task_failures",
            "Tasks that failed unexpectedly and were started again",
            registry=self.registry,
        )
        self._slot_seconds = prometheus_client.Counter(
            "burdockcart_account_slot_seconds",
            "Time for which work of an account held connections to members",
            ["account"],
            registry=self.registry,
        )
        self._accounts: set[ids.AccountName] = set()
        # Looking up a child takes longer than counting with it.
        self._answered_child = functools.cache(self._answered.labels)
        self._latency_child = functools.cache(self._latency.labels)
        self._connection_child = functools.cache(
            self._account_connections.labels
        )
        self._slot_child = functools.cache(self._slot_seconds.labels)
        self._cut = prometheus_client.Counter(
            "burdockcart_statements_cut",
            "Statements without a whole answer when the daemon exited",
            ["phase"],
            registry=self.registry,
        )
        self._limited = prometheus_client.Counter(
            "burdockcart_clients_limited",
            "Applications of a limit of clients, by port and reason",
            ["port", "reason"],
            registry=self.registry,
        )
        self.client_memory = prometheus_client.Gauge(
            "burdockcart_client_memory_bytes",
            "Memory that is accounted to clients",
            registry=self.registry,
        )
        self.notices_unanswered = prometheus_client.Counter(
            "burdockcart_call_notices_unanswered",
            "Promotion calls of which some daemons could not be told",
            registry=self.registry,
        )
        self.store_restores = prometheus_client.Counter(
            "burdockcart_store_restores",
            "Restores of the platform's store from a copy",
            registry=self.registry,
        )
        self.sessions = prometheus_client.Gauge(
            "burdockcart_sessions", "Open sessions", registry=self.registry
        )
        self.ready = prometheus_client.Gauge(
            "burdockcart_ready",
            "Whether the daemon takes new clients",
            registry=self.registry,
        )
        self.manifest_version = prometheus_client.Gauge(
            "burdockcart_manifest_version",
            "Version of the manifest in force",
            registry=self.registry,
        )
        self.tasks_failing = prometheus_client.Gauge(
            "burdockcart_tasks_failing",
            "Tasks that end again and again; the daemon is not ready",
            registry=self.registry,
        )
        self.store_age = prometheus_client.Gauge(
            "burdockcart_store_age_seconds",
            "Time since what the store holds was last applied",
            registry=self.registry,
        )
        self.connections = prometheus_client.Gauge(
            "burdockcart_member_connections",
            "Open connections to members",
            ["group", "state"],
            registry=self.registry,
        )
        self.waiting = prometheus_client.Gauge(
            "burdockcart_waiting",
            "Statements that wait for a connection",
            ["group"],
            registry=self.registry,
        )
        self.call_open = prometheus_client.Gauge(
            "burdockcart_promotion_call_open",
            "Whether a promotion call may still be carried out",
            ["group"],
            registry=self.registry,
        )
        self.commits_blocked = prometheus_client.Gauge(
            "burdockcart_commits_blocked",
            "Whether writes are refused as a member to be promoted lags",
            ["group"],
            registry=self.registry,
        )
        self._primary_missing = prometheus_client.Gauge(
            "burdockcart_primary_missing_seconds",
            "Time since a member last answered as the primary, and why",
            ["group", "reason"],
            registry=self.registry,
        )
        self.links = prometheus_client.Gauge(
            "burdockcart_peer_links",
            "Links to other daemons, by the side that opened them",
            ["opened_by"],
            registry=self.registry,
        )
        self.relayed = prometheus_client.Gauge(
            "burdockcart_relayed_running",
            "Statements and transactions of other daemons that are running",
            registry=self.registry,
        )
        self.members_held = prometheus_client.Gauge(
            "burdockcart_members_held",
            "Members that this daemon connects to directly",
            registry=self.registry,
        )
        self._store_polls = prometheus_client.Counter(
            "burdockcart_store_polls",
            "Polls of the store, by who was asked",
            ["asked"],
            registry=self.registry,
        )
        self._store_read_bytes = prometheus_client.Counter(
            "burdockcart_store_read_bytes",
            "Bytes that reads of the store have brought, by outcome",
            ["path", "outcome"],
            registry=self.registry,
        )
        self._store_read_time = prometheus_client.Histogram(
            "burdockcart_store_read_seconds",
            "Time of reads of the store, by outcome",
            ["path", "outcome"],
            buckets=LATENCY_BUCKETS_S + (4.0, 8.0),
            registry=self.registry,
        )
        self.manifest_known_version = prometheus_client.Gauge(
            "burdockcart_manifest_known_version",
            "Newest version of the manifest that this daemon knows of",
            registry=self.registry,
        )
        self.manifest_age = prometheus_client.Gauge(
            "burdockcart_manifest_age_seconds",
            "Time since the manifest in force was known to be the newest",
            registry=self.registry,
        )
        self.manifests_skipped = prometheus_client.Gauge(
            "burdockcart_manifests_skipped",
            "Versions of the manifest that were written and never in force",
            registry=self.registry,
        )
        self.loop_lag = prometheus_client.Gauge(
            "burdockcart_event_loop_lag_seconds",
            "Longest delay of a timer since the metrics were last read",
            registry=self.registry,
        )
        self.log_lines_left_out = prometheus_client.Counter(
            "burdockcart_log_lines_left_out",
            "Log lines suppressed or dropped, by event",
            ["event"],
            registry=self.registry,
        )

    def store_polled(self, direct: bool) -> None:
        """Count a poll of the store, made directly or by another daemon."""
        self._store_polls.labels("store" if direct else "daemon").inc()

    def store_read(
        self, path: str, outcome: str, received: int, took_s: float
    ) -> None:
        """Count a read of the store and observe its time."""
        self._store_read_bytes.labels(path, outcome).inc(received)
        self._store_read_time.labels(path, outcome).observe(took_s)

    def task_failed(self) -> None:
        """Count a task that failed unexpectedly."""
        self._task_failures.inc()

    def answered(
        self, route: str, failure: errors.Failure | None, took_s: float
    ) -> None:
        """Count a forwarded or refused statement and observe its latency."""
        outcome = "ok" if failure is None else failure.kind.value
        self._answered_child(route, outcome).inc()
        self._latency_child(route).observe(took_s)

    def attempt_failed(self, fault: str) -> None:
        """Count a failed attempt at a member."""
        self._attempts.labels(fault).inc()

    def promotion_ended(self, cause: str, done: bool) -> None:
        """Count a replacement of a primary."""
        self._promotions.labels(cause, str(done).lower()).inc()

    def promotion_put_off(self, reason: str) -> None:
        """Count an attempt to replace a primary that was put off."""
        self._promotions_put_off.labels(reason).inc()

    def primaries_missing(
        self, absence_by_group: dict[ids.GroupId, tuple[float, str]]
    ) -> None:
        """Set for how long groups have had no primary, and why.

        Earlier reasons and groups are removed: an alert would go on for them.
        """
        self._primary_missing.clear()
        for group, (missing_s, reason) in absence_by_group.items():
            self._primary_missing.labels(group, reason).set(missing_s)

    def commits_discarded(self, group: str, led: bool, count: int) -> None:
        """Count commits that the promoted member lacked."""
        self._discarded.labels(group, str(led).lower()).inc(count)

    def acknowledged_discarded(self, group: str, count: int) -> None:
        """Count commits that clients were told to be done."""
        self._acknowledged_discarded.labels(group).inc(count)

    def read_hedged(self) -> None:
        """Count a read that was sent to a second member."""
        self._hedges.inc()

    def evidence_used(self, decision: str) -> None:
        """Count work that evidence held back, or that tried a member."""
        self._evidence.labels(decision).inc()

    def account_connection(self, group: str, outcome: str) -> None:
        """Count a hit, miss or eviction of an account's connection."""
        self._connection_child(group, outcome).inc()

    def slot_used(self, account: ids.AccountName, duration_s: float) -> None:
        """Count the time for which work of an account held a connection."""
        if len(self._accounts) < MAX_ACCOUNTS:
            self._accounts.add(account)
        label = account if account in self._accounts else "other"
        self._slot_child(label).inc(duration_s)

    def statement_cut(self, phase: str) -> None:
        """Count a statement that the end of the process cuts."""
        self._cut.labels(phase).inc()

    def client_limited(self, port: str, reason: str) -> None:
        """Count that a limit of clients was applied."""
        self._limited.labels(port, reason).inc()

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return prometheus_client.generate_latest(self.registry)
