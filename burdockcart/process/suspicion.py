"""Detects daemons that have been silent for too long."""

from typing import Iterator

from burdockcart import ids
from burdockcart.process import daemon_list
from burdockcart.process import executors

SUSPECT_AFTER_S = 1.4
#: A dead host must be out of use within 2 s, which includes one tick and the
#: time to spread the suspicion.
DEAD_AFTER_S = 1.8

_Silent = tuple[daemon_list.DaemonEntry, float]
State = daemon_list.State


class HeartbeatMonitor:
    """Tracks the daemons whose heartbeats this daemon expects."""

    def __init__(self, own: executors.Daemon):
        self._own = own
        self._since_by_id: dict[ids.DaemonId, float] = {}
        self._version = -1

    def shift(self, gap_s: float, now: float) -> None:
        """Exclude a stall of this process from the measured silence."""
        self._since_by_id = {
            each: min(since + gap_s, now)
            for each, since in self._since_by_id.items()
        }

    def silent(
        self, known: daemon_list.DaemonList, now: float
    ) -> Iterator[_Silent]:
        """Yield the live daemons to suspect and when each was last heard."""
        self._update(known, now)
        for each, since in self._since_by_id.items():
            entry = known.entry_by_id[each]
            last = max(entry.last_seen_at, since)
            if entry.state is State.LIVE and now - last >= SUSPECT_AFTER_S:
                yield entry, last

    def _update(self, known: daemon_list.DaemonList, now: float) -> None:
        if self._version == known.version:
            return
        self._version = known.version
        self._since_by_id = {
            each: self._since_by_id.get(each, now)
            for each in known.ring().senders(self._own.id)
        }


def silent_domains(
    known: daemon_list.DaemonList, own: ids.DomainName
) -> Iterator[_Silent]:
    """Yield the other live daemons of each domain whose senders are silent.

    Only some daemons of another failure domain send heartbeats to this one,
    so the silence of the others can't be observed directly.
    """
    for domain, senders in known.ring().senders_by_domain(own).items():
        entries = [known.entry_by_id[each] for each in senders]
        silent = all(entry.state is State.SUSPECT for entry in entries)
        if len(entries) < 2 or not silent:
            continue
        last_seen_at = max(entry.last_seen_at for entry in entries)
        for entry in known:
            if entry.daemon.domain == domain and entry.state is State.LIVE:
                yield entry, last_seen_at
