"""Access of client sessions by their keys.

Explanation
===========

The manifest in force decides, when a session opens and again for each of its
statements: it may have changed since.  A session keeps the digest of its key,
never the key.  Without accounts in the manifest a statement costs one test.

"""

import math
import random
from typing import Protocol

import loguru
from returns import result

from burdockcart import clock
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.accounts import key_evidence
from burdockcart.process.accounts import key_metrics
from burdockcart.version import account_keys
from burdockcart.version import manifest

#: Range of the retry hint where the evidence is too old, in milliseconds:
#: about the time until the next poll of the store, with jitter, so that not
#: all clients return at the same moment.
RETRY_MS = (750, 2250)


class OperationLimits(Protocol):
    """Limits of the rate of operations, by account."""

    async def begin_operation(
        self, account: ids.AccountName, limit_s: float
    ) -> errors.Failure | None:
        """Count an operation; return why it may not run.

        Parameters
        ==========

        limit_s : float
            Longest time to wait, in seconds.

        """

    def operation_unsent(self, account: ids.AccountName) -> None:
        """Give back an operation that no member has run."""


class NoLimits:
    """Limits where no account has one."""

    async def begin_operation(
        self, account: ids.AccountName, limit_s: float
    ) -> errors.Failure | None:
        """Return None."""
        return None

    def operation_unsent(self, account: ids.AccountName) -> None:
        """Do nothing."""


class Authenticator:
    """Accounts, keys and evidence of one daemon, for all its sessions.

    Parameters
    ==========

    boot_clock : Clock
        Also counts the time while the host is suspended.
    limits : OperationLimits or None
        None admits every operation.

    """

    def __init__(
        self,
        evidence: key_evidence.KeyEvidence,
        boot_clock: clock.Clock,
        metrics: key_metrics.KeyMetrics,
        rng: random.Random,
        limits: OperationLimits | None = None,
    ):
        self.evidence = evidence
        self.limits = limits or NoLimits()
        self.metrics = metrics
        self._clock = boot_clock
        self._rng = rng
        self._manifest: manifest.Manifest | None = None
        self._keys = account_keys.AccountKeys()
        #: Whether the manifest in force has accounts.
        self.active = False
        self._logged_old = False

    def use_manifest(self, found: manifest.Manifest) -> None:
        """Go by another manifest."""
        self._manifest = found
        self._keys = account_keys.AccountKeys(found.account_by_name.values())
        self.active = bool(found.account_by_name)

    def open(
        self, database: ids.DatabaseName, key: str
    ) -> result.Result["KeyedAccess", errors.Failure]:
        """Return the access of a new session, or why it is refused.

        Parameters
        ==========

        key : str
            Second field of the client's first message.  Where it is not read
            as a key, it is kept as a digest in case that it becomes one.

        """
        if not self.active:
            return result.Success(
                KeyedAccess(self, database, account_keys.digest(key), None)
            )
        if self.is_anonymous(database):
            return result.Success(KeyedAccess(self, database, None, None))
        digest = account_keys.digest(key)
        account = self.account_of(digest)
        if account is None:
            return result.Failure(self.refuse_key(database, None, "opening"))
        return result.Success(KeyedAccess(self, database, digest, account))

    def is_anonymous(self, database: ids.DatabaseName) -> bool:
        """Return whether a database needs no key.

        One without a route needs none: nothing can be sent to it.
        """
        if self._manifest is None:
            return True
        route = self._manifest.route_by_database.get(database)
        return route is None or route.anonymous

    def account_of(
        self, digest: account_keys.KeyDigest | None
    ) -> ids.AccountName | None:
        """Return the account of a key's digest; None if there is none."""
        return self._keys.account_of_digest(digest)

    def refuse_key(
        self,
        database: ids.DatabaseName,
        account: ids.AccountName | None,
        at: str,
    ) -> errors.Failure:
        """Refuse a session whose key is unknown or was removed.

        Parameters
        ==========

        account : AccountName or None
            Account that the key had before.

        """
        version = self._manifest.version if self._manifest else None
        loguru.logger.info(
            "event=key_refused at={} database={!r} account={!r} manifest={}",
            at,
            database[:60],
            account,
            version,
        )
        self.metrics.keys_refused.labels(at).inc()
        return errors.Failure(
            errors.ErrorKind.UNAUTHORIZED,
            f"no account of manifest {version} has the key of this session",
        )

    def refuse_old_evidence(self) -> errors.Failure | None:
        """Refuse a statement if a removed key might not be known."""
        now = self._clock.now()
        old = not self.evidence.fresh(now)
        if old != self._logged_old:
            self._logged_old = old
            self._log_evidence(old, now)
        if not old:
            return None
        self.metrics.evidence_refused.inc()
        return errors.Failure(
            errors.ErrorKind.CREDENTIALS_UNCONFIRMED,
            "the store has not confirmed the keys of clients in time",
            retry_after_ms=self._rng.randint(*RETRY_MS),
        )

    def _log_evidence(self, old: bool, now: float) -> None:
        age_s = self.evidence.age_s(now)
        age_ms = None if math.isinf(age_s) else int(age_s * 1000)
        if old:
            loguru.logger.warning(
                "event=key_evidence_too_old age_ms={}", age_ms
            )
        else:
            loguru.logger.info("event=key_evidence_renewed age_ms={}", age_ms)

    def measure(self) -> None:
        """Update the gauges."""
        needed = self.evidence.needed_for(self._manifest)
        age_s = self.evidence.age_s(self._clock.now()) if needed else 0.0
        self.metrics.evidence_age.set(age_s)
        self.metrics.accounts.set(
            len(self._manifest.account_by_name) if self._manifest else 0
        )


class KeyedAccess:
    """Access of one session.

    Parameters
    ==========

    digest : KeyDigest or None
        None for a session that was opened on an anonymous route.
    account : AccountName or None
        None for a session that needed no key when it was opened.

    """

    def __init__(
        self,
        authenticator: Authenticator,
        database: ids.DatabaseName,
        digest: account_keys.KeyDigest | None,
        account: ids.AccountName | None,
    ):
        self._authenticator = authenticator
        self._database = database
        self._digest = digest
        self._account = account

    @property
    def account(self) -> ids.AccountName | None:
        """The client account; None for a session without one."""
        return self._account

    def refusal(self) -> errors.Failure | None:
        """Return why a statement that was just read may not run.

        A session that has an account needs its key for as long as it is open,
        also if its route has become anonymous.
        """
        authenticator = self._authenticator
        if self._account is None and (
            not authenticator.active
            or authenticator.is_anonymous(self._database)
        ):
            return None
        account = authenticator.account_of(self._digest)
        if account is None:
            return authenticator.refuse_key(
                self._database, self._account, "statement"
            )
        self._account = account
        return authenticator.refuse_old_evidence()

    async def begin_operation(self, limit_s: float) -> errors.Failure | None:
        """Count an operation; return why it may not run."""
        if self._account is None:
            return None
        return await self._authenticator.limits.begin_operation(
            self._account, limit_s
        )

    def operation_unsent(self) -> None:
        """Give back an operation that no member has run."""
        if self._account is not None:
            self._authenticator.limits.operation_unsent(self._account)
