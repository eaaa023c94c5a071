"""A relaying daemon of a test, which reads its link as slowly as told."""

import asyncio
import struct

from burdockcart.platform.standin import site as sites
from burdockcart.platform import store_messages
from burdockcart.platform import store_values
from burdockcart.process.peers import frames
from burdockcart.process.peers import messages
from burdockcart.request import command

_HEADER = struct.Struct("!I12s")


def fleet_key(place):
    """Return the key of the links that a daemon has written to the store."""
    item = place.store.item_by_key[store_values.FLEET_KEY]
    return store_values.read_fleet_key(
        store_messages.StoredItem(
            item["key"], item["revision"], value=item["value"]
        )
    )


class LinkPeer:
    """Sends statements to a holder, as a daemon does for its clients.

    Parameters
    ==========

    place : Site
        Its primary runs the statements.
    name : str
        Name of the daemon in the greeting.

    """

    def __init__(self, place, name, reader, writer):
        self._place = place
        self._own = frames.greeting(name, "1")
        self._reader, self._writer = reader, writer
        self._sealer = None
        self._number = 0

    async def greet(self):
        """Exchange the greetings."""
        self._writer.write(frames.encode_greeting(self._own))
        head = await self._reader.readexactly(_HEADER.size)
        length, _ = _HEADER.unpack(head)
        other = frames.read_greeting(await self._reader.readexactly(length))
        self._sealer = frames.Sealer(
            fleet_key(self._place), self._own.nonce, other.nonce
        )

    async def run(self, text, value_by_name):
        """Send a read to the primary, without waiting for its answer."""
        self._number += 1
        statement = messages.Statement(
            f"{self._own.daemon}-{self._number}",
            command.CommandKind.READ,
            text,
            "",
            None,
            value_by_name,
        )
        content = messages.encode(
            messages.Run(
                self._number,
                sites.SERVICE,
                self._place.group.primary.id,
                statement,
                None,
                False,
                5000,
                messages.Urgency(0, 1000, 5000),
            )
        )
        self._writer.write(frames.encode(content, self._sealer.seal(content)))
        await self._writer.drain()

    async def read_slowly(self):
        """Read a few kilobytes a second until the link ends."""
        while await self._reader.read(1024):
            await asyncio.sleep(0.1)
