"""Client side of a link: requests to a holder and their answers."""

import asyncio
import itertools
import math
from typing import Callable

import loguru
import msgspec

from burdockcart import clock
from burdockcart.connection import answer_timeout
from burdockcart.connection import member_channel
from burdockcart.connection import own_link
from burdockcart import ids
from burdockcart.process.peers import frames
from burdockcart.process.peers import messages
from burdockcart.process.peers import tcp

#: Time without an answer after which the holder is pinged, in seconds.
PING_AFTER_S = 0.1
#: Time without anything from a pinged holder after which no new statements
#: are sent to it, in seconds: it may be frozen or cut off.  What it has
#: accepted goes on.
SUSPECT_AFTER_S = 0.25
#: Additional time for an answer while nothing at all is answered, in seconds.
OWN_FAULT_S = 0.5

#: Outcome of a request that the holder has not received.
_NOT_RECEIVED = member_channel.Answer(
    fault=member_channel.MemberFault.RELAY_REFUSED,
    text="the holder has ended the link",
)


class HolderLink:
    """Link to one holder, shared by all statements that it relays.

    Parameters
    ==========

    daemon : DaemonId
        The holder.
    source : Source
        Its answers, as evidence for the state of this daemon's own link.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        transport: tcp.Transport,
        loop_clock: clock.Clock,
        source: own_link.Source,
    ):
        self.daemon = daemon
        self._source = source
        self.leaving = False
        self._ending = False
        self._transport = transport
        self._clock = loop_clock
        self._numbers = itertools.count(1)
        self._transaction_numbers = itertools.count(1)
        #: Transactions that the holder may have open.
        self._transactions: set[int] = set()
        self._future_by_number: dict[
            int, asyncio.Future[messages.Reply | None]
        ] = {}
        self._sent_at_by_number: dict[int, float] = {}
        self._received_at = loop_clock.now()
        #: Timer of the next look at an unanswered request.
        self._watch: asyncio.TimerHandle | None = None
        #: When the oldest request or ping that nothing followed was sent.
        self._awaiting_since: float | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the link has ended."""
        return self._ending or self._transport.is_closed

    @property
    def in_use(self) -> bool:
        """Whether a request or an open transaction needs the link."""
        return bool(self._future_by_number or self._transactions)

    def new_transaction(self) -> int:
        """Return the number of a transaction that is about to begin."""
        number = next(self._transaction_numbers)
        self._transactions.add(number)
        return number

    def transaction_ended(self, number: int) -> None:
        """Record that the holder has ended a transaction."""
        self._transactions.discard(number)

    def discard_transaction(self, number: int) -> None:
        """Have the holder close the connection of a transaction."""
        if number in self._transactions:
            self._transactions.discard(number)
            if not self.is_closed:
                self.send(messages.Discard(number))

    def usable(self, last_resort: bool = False) -> bool:
        """Return whether new statements may be sent to the holder.

        Parameters
        ==========

        last_resort : bool
            Whether it may be leaving.

        """
        return not self.is_closed and self.takes_work(last_resort)

    def takes_work(self, last_resort: bool = False) -> bool:
        """Return the same of a link that is known to be open."""
        if self.suspect():
            return False
        return last_resort or not self.leaving

    def suspect(self) -> bool:
        """Return whether the holder has been silent for too long.

        It is not if nothing else answered meanwhile, either.
        """
        since = self._awaiting_since
        if since is None:
            return False
        now = self._clock.now()
        if self._watch is not None:
            # Past the time of the next look, this process stands still.
            now = min(now, self._watch.when())
        return now - since >= SUSPECT_AFTER_S and bool(
            self._source.others_answered(since)
        )

    async def request(
        self,
        build: Callable[[int], messages.Request],
        timeout_s: float,
    ) -> messages.Reply | None:
        """Send a request; return its answer, or None if the link ended.

        Raises
        ======

        TimeoutError
            If there is no answer in time.

        """
        number = next(self._numbers)
        future: asyncio.Future[messages.Reply | None] = (
            asyncio.get_running_loop().create_future()
        )
        if self.is_closed:
            return None
        self._future_by_number[number] = future
        sent_at = self._clock.now()
        self._sent_at_by_number[number] = sent_at
        self._send(build(number))
        if self._watch is None:
            self._watch_later()
        try:
            async with answer_timeout.AnswerTimeout(
                timeout_s,
                lambda: not self._source.link.answered(sent_at),
                timeout_s + OWN_FAULT_S,
            ):
                return await future
        finally:
            self._future_by_number.pop(number, None)
            self._sent_at_by_number.pop(number, None)

    def _watch_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._watch = loop.call_later(PING_AFTER_S, self._ping_if_silent)

    def _ping_if_silent(self) -> None:
        """Ping a holder that owes an answer and has sent nothing."""
        assert self._watch is not None
        late_s = self._clock.now() - self._watch.when()
        self._watch = None
        stalled = late_s >= answer_timeout.LATE_S
        if stalled and self._awaiting_since is not None:
            # What it sent while this process stood still is unread.
            self._awaiting_since += late_s
        if self.is_closed or not self._future_by_number:
            return
        if self._clock.now() - self._received_at >= PING_AFTER_S:
            self._send(messages.Ping(0))
        self._watch_later()

    def send(self, message: messages.Request) -> None:
        """Send a message that is not answered."""
        self._transport.send(messages.encode(message))

    def _send(self, message: messages.Request) -> None:
        if self._awaiting_since is None:
            self._awaiting_since = self._clock.now()
        self.send(message)

    def received(self, content: bytes) -> None:
        """Handle a message of the holder."""
        self._received_at = self._clock.now()
        self._awaiting_since = None
        try:
            message = messages.reply_decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise frames.FrameError(f"invalid message: {error}") from None
        if isinstance(message, messages.Leaving):
            self.leaving = True
            loguru.logger.info("event=holder_leaving daemon={}", self.daemon)
        elif isinstance(message, messages.Closing):
            self._ending = True
            for number in self._future_by_number:
                if number > message.number:
                    self._answer(messages.answered(number, _NOT_RECEIVED))
            if min(self._future_by_number, default=math.inf) > message.number:
                self.close()
        elif not isinstance(message, messages.Pong):
            sent_at = self._sent_at_by_number.get(message.number)
            if sent_at is not None:
                self._source.record_answer(sent_at, self._received_at)
            self._answer(message)

    def _answer(
        self,
        message: messages.Answered | messages.Status | messages.PeerReply,
    ) -> None:
        """Resolve a request; the answer to one given up is dropped."""
        future = self._future_by_number.get(message.number)
        if future is not None and not future.done():
            future.set_result(message)

    def closed(self) -> None:
        """End all requests without an answer."""
        for future in self._future_by_number.values():
            if not future.done():
                future.set_result(None)

    def close(self) -> None:
        """End the link."""
        self._transport.close()
