"""Metrics of the rates of accounts, with a bounded number of labels."""

import functools

import prometheus_client

from burdockcart import ids

#: Accounts with a label of their own; the others share one.
MAX_LABELS = 100
OTHERS = "other"


class RateMetrics:
    """Counters of operations and gauges of shares, by account."""

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        self._labels: set[str] = set()
        self._operations = prometheus_client.Counter(
            "burdockcart_account_operations",
            "Operations that clients began, by account and outcome",
            ["account", "outcome"],
            registry=registry,
        )
        self._reserved = prometheus_client.Counter(
            "burdockcart_account_reserve_operations",
            "Operations admitted from the reserve, by account",
            ["account"],
            registry=registry,
        )
        self._granted = prometheus_client.Gauge(
            "burdockcart_account_rate_granted",
            "Operations per second that this daemon may admit, by account",
            ["account"],
            registry=registry,
        )
        self._transfers = prometheus_client.Counter(
            "burdockcart_shard_transfers",
            "Attempts of this daemon to transfer a shard, by outcome",
            ["outcome"],
            registry=registry,
        )
        # Looking up a child takes longer than counting with it.
        self._operations_child = functools.cache(self._operations.labels)

    def count_transfer(self, outcome: str) -> None:
        """Count an attempt: taken, unconfirmed or no_successor."""
        self._transfers.labels(outcome).inc()

    def _label(self, account: ids.AccountName) -> str:
        if account not in self._labels:
            if len(self._labels) >= MAX_LABELS:
                return OTHERS
            self._labels.add(account)
        return account

    def count(self, account: ids.AccountName, outcome: str) -> None:
        """Count an operation: used, over_rate, below_rate or unsent."""
        self._operations_child(self._label(account), outcome).inc()

    def count_reserved(self, account: ids.AccountName) -> None:
        """Count an operation that the reserve admitted."""
        self._reserved.labels(self._label(account)).inc()

    def set_granted(
        self, granted_by_account: dict[ids.AccountName, float]
    ) -> None:
        """Set the rates of the current shares."""
        self._granted.clear()
        for account, rate in granted_by_account.items():
            self._granted.labels(self._label(account)).inc(rate)
