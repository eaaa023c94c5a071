"""Metrics of keys and their evidence; none of them has a label per key."""

import prometheus_client


class KeyMetrics:
    """Counters and gauges in the registry of a daemon."""

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        self.keys_refused = prometheus_client.Counter(
            "burdockcart_keys_refused",
            "Sessions refused or ended as their key is unknown or removed",
            ["at"],
            registry=registry,
        )
        self.evidence_refused = prometheus_client.Counter(
            "burdockcart_key_evidence_refused",
            "Statements refused as the evidence for their key is too old",
            registry=registry,
        )
        self.evidence_age = prometheus_client.Gauge(
            "burdockcart_key_evidence_age_seconds",
            "Time since the store was asked what the manifest is; 0 if no"
            " statement depends on it",
            registry=registry,
        )
        self.accounts = prometheus_client.Gauge(
            "burdockcart_accounts",
            "Client accounts of the manifest in force",
            registry=registry,
        )
