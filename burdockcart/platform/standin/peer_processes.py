"""Which daemon has opened a connection, by the sockets of its process.

Daemons connect from the address that the system gives them, which is the
same for all of them on loopback.
"""

import os
import pathlib
import re

_TABLE = pathlib.Path("/proc/net/tcp")


def _hexadecimal(host: str, port: int) -> str:
    """Return an address as the system's table spells it."""
    parts = reversed(host.split("."))
    return "".join(f"{int(each):02X}" for each in parts) + f":{port:04X}"


def _inodes(pid: int) -> set[str]:
    """Return the inodes of the sockets of a process."""
    try:
        links = [
            os.readlink(each.path) for each in os.scandir(f"/proc/{pid}/fd")
        ]
    except OSError:
        # The process has ended, or has closed a file meanwhile.
        return set()
    return {
        each.removeprefix("socket:[").removesuffix("]")
        for each in links
        if each.startswith("socket:[")
    }


def owner_by_port(
    host: str, port: int, pid_by_name: dict[str, int]
) -> dict[int, str]:
    """Return the owners of all connections to an address, by their ports."""
    remote = _hexadecimal(host, port)
    name_by_inode = {
        inode: name
        for name, pid in pid_by_name.items()
        for inode in _inodes(pid)
    }
    # Most lines are of other connections.
    pattern = re.compile(rf":([0-9A-F]{{4}}) {remote} .*")
    return {
        int(row[1], 16): name_by_inode[inode]
        for row in pattern.finditer(_TABLE.read_text())
        if (inode := row[0].split()[8]) in name_by_inode
    }
