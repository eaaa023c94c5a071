"""Table from the keys of clients to their accounts.

Explanation
===========

Only digests are kept, made with a random key of this process: neither the
table nor a digest that appears in a dump or a report shows a client's key,
and the time of a lookup depends on the digest, which a client cannot choose.

"""

import hashlib
import os
from typing import Iterable
from typing import NewType

from burdockcart import ids
from burdockcart.version import manifest

#: Digest of a client's key; valid in this process only.
KeyDigest = NewType("KeyDigest", bytes)

DIGEST_BYTES = 32
_SECRET = os.urandom(DIGEST_BYTES)


def digest(key: str) -> KeyDigest:
    """Return the digest of a key; it takes time linear in the length."""
    data = key.encode("utf-8", "surrogatepass")
    return KeyDigest(
        hashlib.blake2b(data, key=_SECRET, digest_size=DIGEST_BYTES).digest()
    )


class AccountKeys:
    """The keys of all accounts of one manifest.

    Parameters
    ==========

    accounts : iterable of Account
        No two of them may have a key in common.

    Examples
    ========

    >>> from burdockcart.version import account_keys
    >>> from burdockcart.version import manifest
    >>> keys = account_keys.AccountKeys(
    ...     [manifest.Account(name="acme", keys=frozenset({"k1", "k2"}))])
    >>> keys.account_of("k2")
    'acme'
    >>> keys.account_of("k3") is None
    True

    """

    def __init__(self, accounts: Iterable[manifest.Account] = ()):
        self._account_by_digest = {
            digest(key): account.name
            for account in accounts
            for key in account.keys
        }

    def account_of(self, key: str) -> ids.AccountName | None:
        """Return the account of a key; None if there is none."""
        return self.account_of_digest(digest(key))

    def account_of_digest(
        self, known: KeyDigest | None
    ) -> ids.AccountName | None:
        """Return the account of a key's digest; None if there is none."""
        return None if known is None else self._account_by_digest.get(known)
