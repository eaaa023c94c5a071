"""Connects a daemon to emulated members in memory."""

import asyncio

from burdockcart.connection import answer_timeout
from burdockcart.connection import member_channel
from burdockcart.emulator import host_link
from burdockcart.emulator import wire_channel
from burdockcart.emulator import wire_member
from burdockcart import ids

Fault = member_channel.MemberFault


class EmulatedConnector:
    """Connects one daemon to emulated members.

    Parameters
    ==========

    cut : set of MemberId
        Members that this daemon cannot reach.

    """

    def __init__(
        self,
        member_by_id: dict[ids.MemberId, wire_member.EmulatedMember],
        latency_s: float = 0.0005,
        handshake_s: float = 0.012,
    ):
        self.member_by_id = member_by_id
        self.cut: set[ids.MemberId] = set()
        self.latency_s = latency_s
        self.handshake_s = handshake_s
        self.link = host_link.HostLink()
        self.channels: list[wire_channel.EmulatedChannel] = []

    async def detour(
        self,
        member: member_channel.MemberAddress,
        account: ids.AccountName | None = None,
    ) -> member_channel.Channel | None:
        """Return None: this connector knows direct connections only."""
        return None

    async def reach(
        self, member: member_channel.MemberAddress, timeout_s: float
    ) -> Fault | None:
        """Return the fault that prevents a connection, or None."""
        try:
            async with answer_timeout.AnswerTimeout(timeout_s):
                fault = await self._connect_fault(member.id, timeout_s)
                if fault is not Fault.SILENT:
                    await asyncio.sleep(self.latency_s)
                    await self.link.arrive()
                return fault
        except TimeoutError:
            return Fault.SILENT

    async def _connect_fault(
        self, member: ids.MemberId, timeout_s: float
    ) -> Fault | None:
        """Return why a member is unreachable, after the usual delay."""
        target = self.member_by_id.get(member)
        if target is None or target.crashed:
            await asyncio.sleep(self.latency_s)
            return Fault.REFUSED
        if target.unresponsive or member in self.cut:
            await asyncio.sleep(timeout_s)
            return Fault.SILENT
        return None

    async def connect(
        self,
        member: member_channel.MemberAddress,
        timeout_s: float,
        account: ids.AccountName | None = None,
    ) -> member_channel.Channel | Fault:
        """Open a connection and check which member answers."""
        fault = await self._connect_fault(member.id, timeout_s)
        if fault is not None:
            return fault
        target = self.member_by_id[member.id]
        try:
            async with answer_timeout.AnswerTimeout(timeout_s):
                await asyncio.create_task(
                    target.handshake(self.handshake_s), context=target.context
                )
                await self.link.arrive()
        except TimeoutError:
            return Fault.SILENT
        if len(target.connections) + target.half_open_connections >= (
            target.connection_limit
        ):
            return Fault.CONNECTIONS_EXHAUSTED
        channel = wire_channel.EmulatedChannel(
            target, self.latency_s, self.cut, self.link, account
        )
        self.channels.append(channel)
        return channel
