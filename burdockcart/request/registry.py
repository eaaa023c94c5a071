"""Registry of the ids of requests that must run at most once.

Explanation
===========

An id is held by the executor that runs the request and by a second daemon:
the entry, or a peer of the executor.  A holder that does not run the request
keeps a copy.  The claim of the executor and all copies of one submission
carry the same ``submission``, which distinguishes a copy of this request from
an earlier request with the same id.

"""

import collections
import enum
from typing import Any
from typing import Iterable

import msgspec

from burdockcart import ids

KEEP_S = 600.0
MAX_IDS = 20_000
#: Larger answers are not recorded, so that all recorded ones fit in 20 MB.
MAX_RECORDED_BYTES = 1024
#: Replaces the submission of an id with several submissions; none may run.
CONFLICTING = ""


class Key(msgspec.Struct, frozen=True, array_like=True):
    """Request id; ids of different callers never collide."""

    group: ids.GroupId
    caller: ids.CallerId
    request_id: ids.RequestId


class Held(msgspec.Struct, frozen=True, array_like=True):
    """An id that a daemon holds, with its age in milliseconds."""

    key: Key
    submission: str
    age_ms: int


class Verdict(enum.Enum):
    """Result of a claim or a copy of an id."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    FULL = "full"


class _Record(msgspec.Struct):
    submission: str
    at: float
    claimed: bool
    answer: Any = None


class RequestIdRegistry:
    """Bounded table of request ids.

    Explanation
    ===========

    Invariant: of all submissions of a key within KEEP_S at most one is
    accepted by :meth:`claim`, unless :meth:`release` reports that it was not
    run.

    Examples
    ========

    >>> from burdockcart.request import registry
    >>> known = registry.RequestIdRegistry()
    >>> key = registry.Key("g", "studio", "r1")
    >>> known.claim(key, "s1", 0.0)
    <Verdict.ACCEPTED: 'accepted'>
    >>> known.claim(key, "s2", 1.0)
    <Verdict.KNOWN: 'known'>

    """

    def __init__(self, limit: int = MAX_IDS, keep_s: float = KEEP_S):
        self._limit = limit
        self._keep_s = keep_s
        self._by_key: collections.OrderedDict[Key, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of ids held."""
        return len(self._by_key)

    def claim(self, key: Key, submission: str, now: float) -> Verdict:
        """Claim the exclusive right to run a request."""
        verdict = self.copy(key, submission, now)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        record = self._by_key[key]
        if record.claimed:
            return Verdict.KNOWN
        # KEEP_S counts from the claim, not from an earlier copy.
        record.claimed, record.at = True, now
        self._by_key.move_to_end(key)
        return Verdict.ACCEPTED

    def copy(
        self, key: Key, submission: str, now: float, age_s: float = 0.0
    ) -> Verdict:
        """Hold the id of a request that another daemon runs."""
        self._expire(now)
        record = self._by_key.get(key)
        if record is not None:
            same = record.submission == submission
            return Verdict.ACCEPTED if same else Verdict.KNOWN
        if len(self._by_key) >= self._limit:
            return Verdict.FULL
        # Ids expire in the order of insertion: a copy that arrives with an
        # age is kept for up to KEEP_S longer than needed, never shorter.
        self._by_key[key] = _Record(submission, now - age_s, False)
        return Verdict.ACCEPTED

    def release(self, key: Key, submission: str) -> None:
        """Drop the id of a submission that was certainly not run."""
        record = self._by_key.get(key)
        if record is not None and record.submission == submission:
            del self._by_key[key]

    def release_copy(self, key: Key, submission: str) -> None:
        """Drop a copy, but not a claim of the same submission.

        The entry may send the submission to this daemon's executor before
        the release by the executor that refused it arrives.

        """
        record = self._by_key.get(key)
        if record is not None and not record.claimed:
            self.release(key, submission)

    def record(self, key: Key, submission: str, answer: Any) -> None:
        """Keep the answer of a request for later submissions of its id."""
        found = self._by_key.get(key)
        if found is None or found.submission != submission:
            return
        if len(msgspec.msgpack.encode(answer)) <= MAX_RECORDED_BYTES:
            found.answer = answer

    def answer(self, key: Key) -> Any:
        """Return the recorded answer of an id, or None."""
        found = self._by_key.get(key)
        return None if found is None else found.answer

    def held(self, group: ids.GroupId | None, now: float) -> list[Held]:
        """Return the ids of one group, or of all groups for None."""
        self._expire(now)
        return [
            Held(key, record.submission, int((now - record.at) * 1000))
            for key, record in self._by_key.items()
            if group is None or key.group == group
        ]

    def copy_or_mark_conflict(
        self, key: Key, submission: str, now: float, age_s: float = 0.0
    ) -> Verdict:
        """Hold the id of a request that another daemon may have run.

        A different submission of the id that is held here and not claimed
        yet must then no longer run.

        """
        verdict = self.copy(key, submission, now, age_s)
        if verdict is Verdict.KNOWN and not self._by_key[key].claimed:
            self._by_key[key].submission = CONFLICTING
        return verdict

    def merge(self, held: Iterable[Held], now: float) -> bool:
        """Add the ids of another daemon; return False if one does not fit."""
        verdicts = [
            self.copy_or_mark_conflict(
                each.key, each.submission, now, each.age_ms / 1000
            )
            for each in held
        ]
        return Verdict.FULL not in verdicts

    def _expire(self, now: float) -> None:
        while self._by_key:
            oldest = next(iter(self._by_key))
            if now - self._by_key[oldest].at < self._keep_s:
                return
            del self._by_key[oldest]
