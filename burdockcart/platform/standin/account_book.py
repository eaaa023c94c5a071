"""Accounts in the manifest of a soak: keys, rates and demand.

Explanation
===========

Demand follows a Zipf distribution, and rates are a fixed factor above it.
Keys are random, so that no other text contains one by chance.

"""

import dataclasses
import random
from typing import Any

from burdockcart.soak import account_history
from burdockcart.soak import account_schedule
from burdockcart.soak import schedule

Kind = schedule.Kind

KEYS_PER_ACCOUNT = 2
#: Usual demand of all accounts, in operations per second.
DEMAND_PER_S = 50.0
ZIPF_EXPONENT = 1.2
#: Rate of an account over its usual demand.
RATE_OVER_DEMAND = 1.6
PRIORITIES = 3


@dataclasses.dataclass
class Account:
    """One account as the operator changes it.

    Parameters
    ==========

    usual_per_s, rate_per_s : float
        Usual demand and rate in operations per second; the burst equals the
        rate.
    heat : float
        Factor of the usual demand at present.

    """

    name: str
    priority: int
    usual_per_s: float
    rate_per_s: float
    keys: list[str]
    removed: list[str] = dataclasses.field(default_factory=list)
    heat: float = 1.0

    def state(self) -> account_history.AccountState:
        """Return what the manifest holds."""
        rate_per_s = round(self.rate_per_s, 3)
        return account_history.AccountState(
            self.name, frozenset(self.keys), rate_per_s, rate_per_s
        )


class AccountBook:
    """Accounts of the manifest, and the record of its versions.

    Parameters
    ==========

    record : AccountRecord
        Filled with the accounts that the store acknowledged.

    """

    def __init__(
        self, rng: random.Random, record: account_history.AccountRecord
    ):
        self.record = record
        self._rng = rng
        weights = [
            1 / (1 + place) ** ZIPF_EXPONENT
            for place in range(account_schedule.ACCOUNTS)
        ]
        usual = [DEMAND_PER_S * each / sum(weights) for each in weights]
        self.accounts = [
            Account(
                name=f"tenant-{place}",
                priority=place % PRIORITIES,
                usual_per_s=usual_per_s,
                rate_per_s=usual_per_s * RATE_OVER_DEMAND,
                keys=[self.new_key() for _ in range(KEYS_PER_ACCOUNT)],
            )
            for place, usual_per_s in enumerate(usual)
        ]
        #: Key that only the first version of the manifest has.
        self.retired = self.new_key()
        self.accounts[0].keys.append(self.retired)

    def new_key(self) -> str:
        """Return a random key."""
        return f"k{self._rng.getrandbits(96):024x}"

    def retire(self) -> None:
        """Remove the key that only the first version has, for good."""
        self.accounts[0].keys.remove(self.retired)

    def tenants(self) -> list[dict[str, Any]]:
        """Return the field ``tenants`` of the manifest."""
        return [
            {
                "name": state.name,
                "api-keys": sorted(state.keys),
                "priority": each.priority,
                "rate-per-s": state.rate_per_s,
                "burst": state.burst,
            }
            for each in self.accounts
            for state in [each.state()]
        ]

    def acknowledged(self, at: float) -> None:
        """Record that the store holds the present accounts since a time."""
        self.record.versions.append(
            account_history.AccountsVersion(
                at, tuple(each.state() for each in self.accounts)
            )
        )

    def change(self, fault: schedule.Fault) -> None:
        """Change keys or the rate of an account."""
        account = self.accounts[fault.target]
        if fault.kind is Kind.KEY_REMOVED:
            account.removed += account.keys[:1]
            del account.keys[:1]
        elif fault.kind is Kind.KEYS_REMOVED:
            account.removed += account.keys
            account.keys.clear()
        elif fault.kind is Kind.KEYS_RETURNED:
            account.keys += account.removed
            account.removed.clear()
        else:
            account.rate_per_s *= fault.factor
