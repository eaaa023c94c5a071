"""Signed token that carries a session's consistency state.

Explanation
===========

A token names, for each database group that the session used, the highest
``(term, position)`` that it wrote or read.  The caller carries it, so any
proxy can serve the session's next statement without shared state.  The
signature prevents a caller from forging positions.

"""

import base64
import binascii
import hashlib
import hmac

import msgspec
from returns import result

from burdockcart import errors
from burdockcart import ids

#: A token with 32 groups of 24-byte names fits in this size.
MAX_TOKEN_BYTES = 2048
MAX_GROUPS = 32
SIGNATURE_BYTES = 16
SIGNED_PREFIX = b"burdockcart session 1"


class Mark(msgspec.Struct, frozen=True, array_like=True, order=True):
    """High-water mark of a session; its reads must not be older."""

    term: ids.Term
    position: ids.Position


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    key_id: str
    by_group: dict[ids.GroupId, Mark]


Marks = dict[ids.GroupId, Mark]


def _signature(key: bytes, payload: bytes) -> bytes:
    digest = hmac.new(key, SIGNED_PREFIX + payload, hashlib.sha256).digest()
    return digest[:SIGNATURE_BYTES]


def _invalid(reason: str) -> result.Result[Marks, errors.Failure]:
    kind = errors.ErrorKind.SESSION_INVALID
    return result.Failure(errors.Failure(kind, f"session token: {reason}"))


class SessionTokens:
    """Issues and checks session tokens.

    Parameters
    ==========

    key_by_id : dict of str to bytes
        Signing keys.  The last one signs, all of them verify, so that a
        rotation first adds the new key everywhere and later drops the old.

    Examples
    ========

    >>> from burdockcart.connection import session_token
    >>> tokens = session_token.SessionTokens({"k1": b"secret"})
    >>> text = tokens.issue({"north": session_token.Mark(3, 17)}).unwrap()
    >>> tokens.check(text).unwrap()
    {'north': Mark(term=3, position=17)}

    """

    def __init__(self, key_by_id: dict[str, bytes]):
        self._key_by_id = dict(key_by_id)
        self._signing_id = list(key_by_id)[-1]
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Payload)

    def issue(self, marks: Marks) -> result.Result[str, errors.Failure]:
        """Return the signed token for the marks of a session."""
        if len(marks) > MAX_GROUPS:
            kind = errors.ErrorKind.SESSION_TOO_LARGE
            text = f"session uses {len(marks)} groups, limit {MAX_GROUPS}"
            return result.Failure(errors.Failure(kind, text))
        payload = self._encoder.encode(_Payload(self._signing_id, marks))
        signature = _signature(self._key_by_id[self._signing_id], payload)
        token = base64.urlsafe_b64encode(signature + payload)
        return result.Success(token.decode("ascii"))

    def check(self, token: str | None) -> result.Result[Marks, errors.Failure]:
        """Return the marks of a token; an empty dict without a token."""
        if token is None:
            return result.Success({})
        if len(token) > MAX_TOKEN_BYTES:
            return _invalid(f"longer than {MAX_TOKEN_BYTES} bytes")
        try:
            raw = base64.urlsafe_b64decode(token.encode("ascii"))
            payload = self._decoder.decode(raw[SIGNATURE_BYTES:])
        except (ValueError, binascii.Error, msgspec.MsgspecError):
            return _invalid("malformed")
        key = self._key_by_id.get(payload.key_id)
        if key is None:
            return _invalid(f"unknown key {payload.key_id!r}")
        expected = _signature(key, raw[SIGNATURE_BYTES:])
        if not hmac.compare_digest(expected, raw[:SIGNATURE_BYTES]):
            return _invalid("wrong signature")
        return result.Success(payload.by_group)


def merge(marks: Marks, group: ids.GroupId, mark: Mark) -> Marks:
    """Return the marks with a group's mark raised to at least ``mark``."""
    current = marks.get(group, mark)
    return {**marks, group: max(current, mark)}
