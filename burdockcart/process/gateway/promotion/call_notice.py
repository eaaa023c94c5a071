"""Tells other daemons of a promotion call before it is sent.

Explanation
===========

All replicas but the candidate are on hold when the platform is called.  A
replica that joins or starts again then is not, and acknowledges commits that
the candidate lacks.  A daemon that still reaches the primary, while the caller
does not, would pass them on until its next poll of the store.

So the caller first tells the daemons that may reach the primary.  The answer
of such a daemon is a promise: from then on it passes on the success of a
commit only if the candidate has it.  With it comes the newest position that
the daemon has passed on so far.  What was passed on before the replicas were
put on hold is covered by the comparison of their logs, unless a member has
acknowledged it that is not known yet; what was passed on since then, the
candidate must have.

A daemon without an answer may still reach the primary, also if its port
refuses links: a cut may reset connections.  Then the promotion waits until
each daemon that runs knows its candidate from the store, like a planned one.

"""

import asyncio
import enum
from typing import Protocol

import loguru
import msgspec

from burdockcart import clock
from burdockcart.connection import answer_timeout
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.store import coordination
from burdockcart.request import log_position
from burdockcart.version import manifest

#: Timeout of a notice, in seconds: a link is opened and answered in a few
#: round trips between failure domains, and each daemon has much to do at the
#: loss of a primary.
TIMEOUT_S = 0.25
#: The same of a call with a reserved token, which goes out in any case while
#: the comparison of the logs is valid (0.3 s).
SHORT_TIMEOUT_S = 0.12


class CallNotice(msgspec.Struct, frozen=True):
    """A promotion call that is about to be sent.

    Parameters
    ==========

    called_at_ms : int
        Time of the call by the wall clock of its sender.
    position : StorePosition
        Position of the claim on which the call rests: later records in the
        store tell what became of it.

    """

    group: ids.GroupId
    candidate: ids.MemberId
    called_at_ms: int
    position: ids.StorePosition


class Promise(msgspec.Struct, frozen=True):
    """Answer of a daemon that goes by the candidate from now on.

    Parameters
    ==========

    newest : LogPosition or None
        Covers all commits whose success it has passed on.
    age_s : float
        Time since it passed on the last one, in seconds.
    certain : LogPosition or None
        A log without this position lacks one of these commits.

    """

    newest: log_position.LogPosition | None = None
    age_s: float = 0.0
    certain: log_position.LogPosition | None = None


class NoPromise(enum.Enum):
    """Why there is no promise."""

    CLOSED = "its port refuses links"
    SILENT = "no answer"
    REFUSED = "it goes by another call"


class Notices(Protocol):
    """Takes notices to other daemons."""

    def recipients(
        self, group: ids.GroupId, primary: manifest.MemberEntry
    ) -> list[coordination.DaemonEntry]:
        """Return the other daemons that may connect to a primary directly."""

    async def tell(
        self, daemon: coordination.DaemonEntry, notice: CallNotice
    ) -> Promise | NoPromise:
        """Tell a daemon of a call; it may take any time."""

    def withdraw(
        self, daemon: coordination.DaemonEntry, notice: CallNotice
    ) -> None:
        """Tell a daemon that a call of which it knows was not sent."""


class Round(msgspec.Struct, frozen=True):
    """Outcome of telling all daemons.

    Parameters
    ==========

    unsure : list of DaemonId
        Daemons that may pass on commits that the candidate lacks.
    required : LogPosition or None
        Newest position that was passed on while replicas were on hold.
    certain : LogPosition or None
        A log without this position lacks a commit that was passed on.
    newest : LogPosition or None
        A log with this position lacks none of them.

    """

    unsure: list[ids.DaemonId]
    required: log_position.LogPosition | None
    certain: log_position.LogPosition | None
    newest: log_position.LogPosition | None = None


class NoticeRounds:
    """Tells all daemons that may reach a primary, one round for each call."""

    def __init__(
        self,
        notices: Notices,
        loop_clock: clock.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self._notices = notices
        self._clock = loop_clock
        self._metrics = metrics

    async def run(
        self,
        primary: manifest.MemberEntry,
        notice: CallNotice,
        held_since: float,
        own: Promise,
        timeout_s: float = TIMEOUT_S,
    ) -> Round:
        """Tell all at once; wait for their answers for a short time.

        Parameters
        ==========

        held_since : float
            Time on the event loop's clock before the first replica was put
            on hold.
        own : Promise
            What this daemon itself has passed on.

        """
        began_at = self._clock.now()
        daemons = self._notices.recipients(notice.group, primary)
        answers = await asyncio.gather(
            *(self._tell(each, notice, timeout_s) for each in daemons)
        )
        now = self._clock.now()
        promises = [own]
        promises += [each for each in answers if isinstance(each, Promise)]
        required = max(
            (
                each.newest
                for each in promises
                if each.newest is not None and each.age_s <= now - held_since
            ),
            default=None,
        )
        certain = max(
            (each.certain for each in promises if each.certain is not None),
            default=None,
        )
        by_fault: dict[NoPromise | None, list[ids.DaemonId]] = {}
        for daemon, answer in zip(daemons, answers, strict=True):
            fault = answer if isinstance(answer, NoPromise) else None
            by_fault.setdefault(fault, []).append(daemon.id)
        unsure = [
            daemon.id
            for daemon, answer in zip(daemons, answers, strict=True)
            if isinstance(answer, NoPromise)
        ]
        if unsure:
            self._metrics.notices_unanswered.inc()
        loguru.logger.info(
            "event=call_notified group={} candidate={} told={} closed={} "
            "silent={} refused={} position={} took_ms={}",
            notice.group,
            notice.candidate,
            ",".join(by_fault.get(None, [])),
            ",".join(by_fault.get(NoPromise.CLOSED, [])),
            ",".join(by_fault.get(NoPromise.SILENT, [])),
            ",".join(by_fault.get(NoPromise.REFUSED, [])),
            required,
            int((now - began_at) * 1000),
        )
        newest = max(
            (each.newest for each in promises if each.newest is not None),
            default=None,
        )
        return Round(unsure, required, certain, newest)

    async def _tell(
        self,
        daemon: coordination.DaemonEntry,
        notice: CallNotice,
        timeout_s: float,
    ) -> Promise | NoPromise:
        try:
            async with answer_timeout.AnswerTimeout(timeout_s):
                return await self._notices.tell(daemon, notice)
        except TimeoutError:
            return NoPromise.SILENT

    def withdraw(
        self, primary: manifest.MemberEntry, notice: CallNotice
    ) -> None:
        """Tell the daemons that a call was not sent, nor will be."""
        for daemon in self._notices.recipients(notice.group, primary):
            self._notices.withdraw(daemon, notice)
