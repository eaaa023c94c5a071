"""Latency and partitions between failure domains on one machine.

Explanation
===========

Each emulated failure domain has its own loopback prefix, for example
``127.10.``, so a server knows from the address of a connection which failure
domain it comes from, and can delay or cut it.

"""

import asyncio
import dataclasses


def prefix(address: str) -> str:
    """Return the failure domain's part of an IP address.

    Examples
    ========

    >>> from burdockcart.emulator import network
    >>> network.prefix("127.10.0.3")
    '127.10.'

    """
    return ".".join(address.split(".")[:2]) + "."


@dataclasses.dataclass
class Network:
    """Delays and cuts of the links of one server.

    Parameters
    ==========

    own : str
        Loopback prefix of the server's failure domain.
    one_way_ms : float
        Latency to other failure domains, in milliseconds.
    cut : set of str
        Prefixes whose requests get no answer.

    """

    own: str
    one_way_ms: float = 0.0
    cut: set[str] = dataclasses.field(default_factory=set)

    async def simulate_link(self, address: str) -> None:
        """Wait for one crossing from or to an address; forever if cut."""
        source = prefix(address)
        while source in self.cut:
            await asyncio.sleep(0.05)
        if source != self.own and self.one_way_ms:
            await asyncio.sleep(self.one_way_ms / 1000)
