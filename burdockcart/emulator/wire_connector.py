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
    ===
