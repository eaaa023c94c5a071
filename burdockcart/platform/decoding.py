"""Decodes values that any program may have written.

Explanation
===========

Whatever the bytes hold, :class:`UnreadableValue` is the only error: one that
a reader does not expect ends the task that reads, and with it all that the
task keeps up to date.

"""

import ipaddress
from typing import Annotated
from typing import Any

import msgspec

MAX_PORT = 65535
#: Longest part of an unreadable value that a message quotes, in characters.
QUOTED = 60

#: A name that is sent to members as one field of a line.
Word = Annotated[
    str, msgspec.Meta(min_length=1, max_length=200, pattern=r"^[!-~]+\Z")
]
#: A number that is counted or compared, such as milliseconds since 1970.
Counter = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class UnreadableValue(msgspec.ValidationError):
    """A value that does not hold what is expected."""


def decode(value: bytes, kind: Any) -> Any:
    """Decode a JSON value.

    Raises
    ======

    UnreadableValue
        If it is not of the kind, too deep, or has a number out of range.

    Examples
    ========

    >>> from burdockcart.platform import decoding
    >>> decoding.decode(b"[1, 2]", list[int])
    [1, 2]
    >>> decoding.decode(b"[" * 9000, object)
    Traceback (most recent call last):
    ...
    burdockcart.platform.decoding.UnreadableValue: nested too deeply

    """
    try:
        return msgspec.json.decode(value, type=kind)
    except RecursionError:
        raise UnreadableValue("nested too deeply") from None
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        raise UnreadableValue(str(error)) from None


def read_address(text: str) -> str:
    """Return an address of the form ``ip:port``, as it was written.

    Raises
    ======

    UnreadableValue
        If no connection can be opened to it.

    Examples
    ========

    >>> from burdockcart.platform import decoding
    >>> decoding.read_address("10.1.0.8:8784")
    '10.1.0.8:8784'

    """
    host, _, port = text.rpartition(":")
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    if not digits or not 0 < int(port) <= MAX_PORT:
        raise UnreadableValue(f"no port in the address {text[:QUOTED]!r}")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise UnreadableValue(
            f"no IPv4 host in the address {text[:QUOTED]!r}"
        ) from None
    return text
