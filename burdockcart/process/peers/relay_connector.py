"""Opens connections to members, directly or by way of their holders."""

import asyncio
import random
from typing import Callable
from typing import Protocol

import loguru

from burdockcart import clock
from burdockcart.connection import backoff
from burdockcart.connection import member_channel
from burdockcart.connection import own_link
from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import holder_link
from burdockcart.process.peers import holder_placement
from burdockcart.process.peers import relay_route
from burdockcart.process.peers import relayed_channel
from burdockcart.process.peers import tcp
from burdockcart.request import member_evidence

#: Backoff after a link could not be opened, in seconds, with jitter: all
#: daemons lose a holder at the same moment.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
#: Time for which an account uses a holder that is not its first, in seconds:
#: long enough that its connections there are of use.
OTHER_HOLDER_S = 5.0
#: Timeout of asking a daemon for a member's status on a detour, in seconds.
DETOUR_QUERY_S = 0.15
#: Time after which an unused detour ends, in seconds: the direct way may be
#: open again.
DETOUR_S = 1.0


class Dialer(Protocol):
    """Opens links to daemons."""

    async def dial(
        self,
        daemon: ids.DaemonId,
        address: str,
        accept: Callable[[tcp.Transport], tcp.Receiver],
    ) -> tcp.Transport | None:
        """Open a link to a daemon; None if it cannot be opened.

        Raises
        ======

        ConnectionRefusedError
            If no process listens there any more.

        """


class HolderLinks:
    """Links to the holders that this daemon uses, opened on demand."""

    def __init__(
        self,
        dialer: Dialer,
        loop_clock: clock.Clock,
        rng: random.Random,
        own: own_link.OwnLink,
    ):
        self._dialer = dialer
        self._own = own
        self._clock = loop_clock
        self._rng = rng
        self._link_by_daemon: dict[ids.DaemonId, holder_link.HolderLink] = {}
        self._incarnation_by_daemon: dict[ids.DaemonId, ids.Incarnation] = {}
        self._dial_by_daemon: dict[
            ids.DaemonId, asyncio.Task[holder_link.HolderLink | None]
        ] = {}
        self._failures: dict[ids.DaemonId, int] = {}
        self._retry_at: dict[ids.DaemonId, float] = {}
        #: Daemons that refused the last connection.
        self._refused: set[ids.DaemonId] = set()
        self._listed: set[ids.DaemonId] = set()
        #: Counts the changes of the list of daemons.
        self._generation = 0

    @property
    def open_count(self) -> int:
        """Number of open links."""
        links = self._link_by_daemon.values()
        return sum(not link.is_closed for link in links)

    async def link(
        self, entry: coordination.DaemonEntry
    ) -> holder_link.HolderLink | None:
        """Return a usable link to a daemon; None if there is none now."""
        link = self._link_by_daemon.get(entry.id)
        known = self._incarnation_by_daemon.get(entry.id)
        if known != entry.incarnation:
            # It has started again; failures of the former process are past.
            self._retry_at.pop(entry.id, None)
            self._failures.pop(entry.id, None)
            self._incarnation_by_daemon[entry.id] = entry.incarnation
        if link is not None and not link.is_closed:
            return link if link.usable() else None
        if self._clock.now() < self._retry_at.get(entry.id, 0.0):
            return None
        running = self._dial_by_daemon.get(entry.id)
        if running is None:
            running = asyncio.create_task(
                self._dial(entry), name="dial_holder"
            )
            self._dial_by_daemon[entry.id] = running
            running.add_done_callback(
                lambda _: self._dial_by_daemon.pop(entry.id, None)
            )
        return await asyncio.shield(running)

    async def reach(
        self, entry: coordination.DaemonEntry
    ) -> holder_link.HolderLink | None:
        """Return an open link, also to a daemon that failed lately.

        Raises
        ======

        ConnectionRefusedError
            If its process has ended.

        """
        link = self._link_by_daemon.get(entry.id)
        if link is not None and not link.is_closed:
            return link
        running = self._dial_by_daemon.get(entry.id)
        if running is not None:
            await asyncio.wait({running})
        self._retry_at.pop(entry.id, None)
        found = await self.link(entry)
        if found is None and entry.id in self._refused:
            raise ConnectionRefusedError
        return found

    def open_link(self, daemon: ids.DaemonId) -> holder_link.HolderLink | None:
        """Return the link to a daemon if one is open."""
        link = self._link_by_daemon.get(daemon)
        return None if link is None or link.is_closed else link

    async def _dial(
        self, entry: coordination.DaemonEntry
    ) -> holder_link.HolderLink | None:
        opened: list[holder_link.HolderLink] = []

        def accept(transport: tcp.Transport) -> tcp.Receiver:
            opened.append(
                holder_link.HolderLink(
                    entry.id, transport, self._clock, self._own.source()
                )
            )
            return opened[0]

        self._refused.discard(entry.id)
        try:
            opening = self._dialer.dial(entry.id, entry.address, accept)
            transport = await opening
        except ConnectionRefusedError:
            self._refused.add(entry.id)
            transport = None
        if transport is None:
            failures = self._failures.get(entry.id, 0) + 1
            self._failures[entry.id] = failures
            longest_s = backoff.longest_s(RETRY_MIN_S, failures, RETRY_MAX_S)
            pause_s = self._rng.uniform(RETRY_MIN_S, longest_s)
            self._retry_at[entry.id] = self._clock.now() + pause_s
            loguru.logger.info(
                "event=holder_unreachable daemon={} failures={}",
                entry.id,
                failures,
            )
            return None
        self._failures.pop(entry.id, None)
        self._link_by_daemon[entry.id] = opened[0]
        return opened[0]

    def keep(self, daemons: set[ids.DaemonId]) -> None:
        """Close unused links to daemons that are no longer listed."""
        if daemons != self._listed:
            self._listed = daemons
            self._generation += 1
        for daemon, link in list(self._link_by_daemon.items()):
            if daemon not in daemons and not link.in_use:
                link.close()
                del self._link_by_daemon[daemon]

    def leaving(
        self, entry: coordination.DaemonEntry
    ) -> holder_link.HolderLink | None:
        """Return the link to a daemon that leaves but still answers."""
        link = self._link_by_daemon.get(entry.id)
        if link is None or not link.usable(last_resort=True):
            return None
        return link

    def unchanged(self) -> Callable[[], bool]:
        """Return a function that tells whether the list is as it is now."""
        generation = self._generation
        return lambda: generation == self._generation

    def close(self) -> None:
        """Close all links."""
        for link in self._link_by_daemon.values():
            link.close()


class RelayConnector:
    """Connects to members directly or by way of a holder.

    Parameters
    ==========

    direct : Connector
        Opens connections to members.

    """

    def __init__(
        self,
        direct: member_channel.Connector,
        links: HolderLinks,
        route: relay_route.Route,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
    ):
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._placement = holder_placement.HolderPlacement(loop_clock)
        self._direct = direct
        self._links = links
        self._route = route

    def _channel(
        self,
        link: holder_link.HolderLink,
        member: member_channel.MemberAddress,
        chosen: Callable[[], bool],
        account: ids.AccountName | None = None,
        last_resort: bool = False,
    ) -> relayed_channel.RelayedChannel:
        channel = relayed_channel.RelayedChannel(
            link,
            member,
            chosen,
            self._boot_clock,
            self._route.use_sample,
            self._route.use_call,
            lambda: self._placement.avoid(link.daemon, member.id),
            account,
            last_resort,
            lambda: self._placement.record_full(
                link.daemon, member.id, account
            ),
            lambda evidence: self._use_evidence(
                member.group, link.daemon, evidence
            ),
        )
        self._placement.add(link.daemon, member.id, account, channel)
        return channel

    def _use_evidence(
        self,
        group: ids.GroupId,
        holder: ids.DaemonId,
        evidence: tuple[member_evidence.MemberEvidence, ...],
    ) -> None:
        """Use what a holder knows of the members of a group."""
        self._placement.record_evidence(holder, evidence)
        self._route.use_evidence(group, holder, evidence)

    def _until(self, unchanged: Callable[[], bool]) -> Callable[[], bool]:
        """Return a function that tells whether to use another holder still.

        An account's connections are to be at its first holder again.
        """
        expires_at = self._clock.now() + OTHER_HOLDER_S
        return lambda: unchanged() and self._clock.now() < expires_at

    async def detour(
        self,
        member: member_channel.MemberAddress,
        account: ids.AccountName | None = None,
    ) -> member_channel.Channel | None:
        """Find another daemon that reaches a member.

        A network partition may separate a member from some daemons only.
        """
        attempts = [
            asyncio.create_task(self._try_detour(member, entry, account))
            for entry in self._route.detours(member.id)
        ]
        try:
            for attempt in asyncio.as_completed(attempts):
                channel = await attempt
                if channel is not None:
                    return channel
        finally:
            for each in attempts:
                each.cancel()
        return None

    async def _try_detour(
        self,
        member: member_channel.MemberAddress,
        entry: coordination.DaemonEntry,
        account: ids.AccountName | None,
    ) -> member_channel.Channel | None:
        link = await self._links.link(entry)
        if link is None:
            return None
        expires_at = self._clock.now() + DETOUR_S
        channel = self._channel(
            link, member, lambda: self._clock.now() < expires_at, account
        )
        status = await channel.observe(DETOUR_QUERY_S)
        if isinstance(status, member_channel.MemberFault):
            return None
        loguru.logger.info(
            "event=detour_found member={} daemon={}", member.id, entry.id
        )
        return channel

    async def reach(
        self, member: member_channel.MemberAddress, timeout_s: float
    ) -> member_channel.MemberFault | None:
        """Return why a member accepts no connection; None if it accepts.

        The check is direct: it tells a lost member from a lost holder, and
        takes none of the member's connections.
        """
        return await self._direct.reach(member, timeout_s)

    async def connect(
        self,
        member: member_channel.MemberAddress,
        timeout_s: float,
        account: ids.AccountName | None = None,
    ) -> member_channel.Channel | member_channel.MemberFault:
        """Open a connection, or choose a holder to relay through.

        If all holders leave, they are used until their last moment, since the
        member may accept no more connections than those that they have.  If
        no holder can be reached, this daemon becomes one: the daemons between
        which the network is partitioned each use what they reach.
        """
        holders = self._route.holders_of(member.id, account)
        if holders is not None:
            for entries in holders:
                relayed = await self._connect_through(entries, member, account)
                if relayed is not None:
                    return relayed
            self._route.hold(member.id)
        return await self._direct.connect(member, timeout_s, account)

    async def _connect_through(
        self,
        entries: list[coordination.DaemonEntry],
        member: member_channel.MemberAddress,
        account: ids.AccountName | None,
    ) -> member_channel.Channel | None:
        """Relay through the first daemon that can be used, if any."""
        unchanged = self._links.unchanged()
        for entry in self._placement.in_order(entries, member.id, account):
            link = await self._links.link(entry)
            if link is not None:
                chosen = unchanged
                if account is not None and entry is not entries[0]:
                    chosen = self._until(unchanged)
                return self._channel(link, member, chosen, account)
        for entry in entries:
            link = self._links.leaving(entry)
            if link is not None and not self._placement.avoids(
                entry.id, member.id
            ):
                return self._channel(link, member, unchanged, account, True)
        return None
