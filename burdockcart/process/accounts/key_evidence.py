"""Age of the evidence that no key was removed from the manifest in force.

Explanation
===========

The evidence is the time at which this daemon sent its newest request to the
store whose answer showed that the manifest in force is the one in the store.
A key that was valid then had not been removed before.  All times are of the
boot clock, which also counts while the host is suspended.

What a daemon cannot read or does not use may lack a key, so it is no
evidence: a manifest that is unreadable, missing, older than the one in force,
or of the same version with other contents.

A store that was restored from a copy may have lost the newest manifest.  In a
new era, answers count once all daemons of before have registered again, none
of them with a newer manifest, and the store holds the one in force; or once
the time in which the operator writes the manifest again has passed.  The same
holds after the start of this daemon, which cannot know of an earlier restore.
A manifest that no daemon had read before the restore is not noticed.

"""

import enum
import math
from typing import Iterable

import loguru

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.version import manifest

#: Part of the bound that is kept free for differences between the rates of
#: the clocks of this host and the store, in seconds.
CLOCK_MARGIN_S = 0.25
#: Interval of polling the store, as a share of the bound: one poll may fail
#: without an answer before the evidence is too old.
POLL_SHARE = 0.3
#: Shortest interval of polling, in seconds: each call has a cost.
MIN_POLL_S = 0.1


class Shown(enum.Enum):
    """What an answer of the store tells about the manifest in force."""

    IN_FORCE = "in force"
    OLDER = "the store holds an older version"
    DIFFERENT = "the store holds other contents of this version"
    UNREADABLE = "the store holds no readable manifest"


def shown(
    stored: manifest.Manifest | None, in_force: manifest.Manifest | None
) -> Shown:
    """Compare the manifest in the store with the one in force.

    Parameters
    ==========

    stored : Manifest or None
        None if it is unreadable or missing.

    """
    if stored is None or in_force is None:
        return Shown.UNREADABLE
    if stored is in_force:
        return Shown.IN_FORCE
    if stored.version < in_force.version:
        return Shown.OLDER
    return Shown.IN_FORCE if stored == in_force else Shown.DIFFERENT


class KeyEvidence:
    """Evidence of one daemon.

    Parameters
    ==========

    bound_s : float or None
        Time after which a removed key must not be used, in seconds; None if
        the deployment sets no such limit, and any evidence is enough.
    apply_s : float
        Time in which a restored store holds the newest manifest again, in
        seconds.

    Examples
    ========

    >>> from burdockcart.process.accounts import key_evidence
    >>> evidence = key_evidence.KeyEvidence(5.0, 5.0)
    >>> evidence.polled(10.0, key_evidence.Shown.IN_FORCE, True)
    >>> evidence.fresh(14.7), evidence.fresh(14.8)
    (True, False)

    """

    def __init__(self, bound_s: float | None, apply_s: float):
        self._bound_s = bound_s
        self._apply_s = apply_s
        #: When the newest evidence was asked for; None without any.
        self._asked_at: float | None = None
        #: Since when the store may lack a manifest; None if it does not.
        self._doubted_since: float | None = None
        #: Whether the store keeps an older manifest than this daemon.
        self._older_accepted = False
        self._withheld: str | None = None

    def era_changed(self, now: float) -> None:
        """Note the first answer of a new era of the store."""
        self._doubted_since = now
        self._older_accepted = False

    def polled(self, sent_at: float, seen: Shown, complete: bool) -> None:
        """Note an answer of the newest known era of the store.

        Parameters
        ==========

        sent_at : float
            When the request was sent, by the boot clock.
        complete : bool
            Whether no daemon of before may know a newer manifest.

        """
        cause = self._doubt(sent_at, seen, complete)
        if cause != self._withheld:
            self._withheld = cause
            loguru.logger.info("event=key_evidence cause={!r}", cause or "ok")
        if cause is None:
            self._asked_at = max(self._asked_at or sent_at, sent_at)

    def _doubt(
        self, sent_at: float, seen: Shown, complete: bool
    ) -> str | None:
        """Return why an answer is no evidence; None if it is."""
        since = self._doubted_since
        if since is not None:
            if sent_at - since >= self._apply_s:
                self._doubted_since = None
                self._older_accepted = seen is Shown.OLDER
            elif seen is Shown.IN_FORCE and complete:
                self._doubted_since = None
            elif seen is Shown.IN_FORCE:
                return "the store may have lost a newer manifest"
        if seen is Shown.IN_FORCE:
            self._older_accepted = False
            return None
        if seen is Shown.OLDER and self._older_accepted:
            return None
        return seen.value

    def age_s(self, now: float) -> float:
        """Return the age of the evidence in seconds; infinite without any."""
        return math.inf if self._asked_at is None else now - self._asked_at

    def fresh(self, now: float) -> bool:
        """Return whether a statement that was just read may rely on it."""
        if self._bound_s is None:
            return True
        if self._asked_at is None:
            return False
        return 0.0 <= now - self._asked_at < self._bound_s - CLOCK_MARGIN_S

    def needed_for(self, in_force: manifest.Manifest | None) -> bool:
        """Return whether a manifest's sessions depend on the evidence."""
        return (
            self._bound_s is not None
            and in_force is not None
            and bool(in_force.account_by_name)
        )

    def interval_s(
        self, interval_s: float, in_force: manifest.Manifest | None
    ) -> float:
        """Return the interval of polling, given the one without accounts."""
        if self._bound_s is None or not self.needed_for(in_force):
            return interval_s
        return min(interval_s, max(POLL_SHARE * self._bound_s, MIN_POLL_S))


def complete(
    entries: Iterable[coordination.DaemonEntry],
    era: ids.StoreEra,
    version: int,
) -> bool:
    """Return whether all daemons have registered, none with a newer manifest.

    Parameters
    ==========

    entries : iterable of DaemonEntry
        All daemons that were known before and are not known to have left.
    version : int
        Version of the manifest in force on this daemon.

    """
    # A generator would take a call for each daemon, with each poll.
    for entry in entries:
        if entry.era != era or entry.manifest_version > version:
            return False
    return True
