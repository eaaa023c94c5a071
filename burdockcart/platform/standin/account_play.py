"""Accounts of a soak: its clients, the changes of them and their records."""

import asyncio
import base64
import itertools
import random
from typing import Iterator

from burdockcart.platform import ready
from burdockcart.platform.standin import account_book
from burdockcart.platform.standin import client
from burdockcart.platform.standin import daemons
from burdockcart.platform.standin import identity
from burdockcart.platform.standin import site as sites
from burdockcart.platform import store_values
from burdockcart.soak import account_history
from burdockcart.soak import history as histories
from burdockcart.soak import schedule

#: Added to the settings of the daemons.
SETTINGS = """\
contract-params.strict-revoke=true
contract-params.revoke-ms=5000
contract-params.quota-window-s=5
contract-params.quota-excess=0.1
contract-params.quota-slack=20
"""
#: Route on which clients need no key.
ANONYMOUS = client.Route(
    sites.OPEN_DATABASE, histories.Freshness.ALL, 0.0, 0.8, anonymous=True
)
ANONYMOUS_CLIENTS = 2
#: Time until the operator writes the manifest to a restored store, in
#: seconds.
REWRITE_S = 1.0
#: Time limit of reading the metrics of a daemon, in seconds.
METRICS_S = 3.0
#: One in so many clients opens a session for each operation.
SINGLE_EVERY = 4

#: Generator, identity, routes, and whether sessions have one operation.
User = tuple[random.Random, identity.Identity, list[client.Route], bool]


class AccountPlay:
    """Accounts of one run.

    Parameters
    ==========

    history : History
        Gets a record of accounts.

    """

    def __init__(self, seed: int, history: histories.History):
        self.record = account_history.AccountRecord()
        history.accounts = self.record
        self._seed = seed
        self.book = account_book.AccountBook(
            random.Random(f"keys of {seed}"), self.record
        )

    def begin(self, site: sites.Site) -> None:
        """Remove a key that only the first version of the manifest has."""
        site.rewrite_s = REWRITE_S
        self.book.retire()
        site.put_manifest()

    def users(self) -> Iterator[User]:
        """Return the clients of accounts, bad ones and some without."""
        numbers = itertools.count()

        def rngs() -> random.Random:
            return random.Random(f"client {next(numbers)} of {self._seed}")

        everybody = itertools.chain(
            identity.customers(self.book, rngs),
            identity.strangers(self.book, rngs),
        )
        for place, who in enumerate(everybody):
            single = place % SINGLE_EVERY == 0
            yield rngs(), who, list(sites.ROUTES), single
        # A valid key must not matter on an anonymous route.
        keys = self.book.accounts[-1].keys
        for key in keys[:ANONYMOUS_CLIENTS]:
            who = identity.FixedKey(rngs(), key)
            yield rngs(), who, [ANONYMOUS], False

    async def act(self, site: sites.Site, fault: schedule.Fault) -> None:
        """Change an account as a fault says."""
        if fault.kind is not schedule.Kind.HOT_ACCOUNT:
            self.book.change(fault)
            site.put_manifest()
            return
        account = self.book.accounts[fault.target]
        account.heat *= fault.factor
        await asyncio.sleep(fault.length_s)
        account.heat /= fault.factor

    async def collect_metrics(self, started: list[daemons.Daemon]) -> None:
        """Record the metrics of the daemons that answer."""
        for each in started:
            text = await _metrics(each.host)
            self.record.outputs += [
                account_history.Line(f"metrics of {each.name}", line)
                for line in text.splitlines()
            ]

    def collect(self, site: sites.Site, started: list[daemons.Daemon]) -> None:
        """Record the logs of the daemons and what they wrote to the store."""
        lines = self.record.outputs
        lines += [
            account_history.Line(f"log of {each.name}", line)
            for each in started
            for line in each.log_path.read_text(errors="replace").splitlines()
        ]
        lines += [
            account_history.Line(
                f"store entry {item['key']}",
                base64.b64decode(item["value"]).decode(errors="replace"),
            )
            for item in site.store.history
            if "value" in item and item["key"] != store_values.MANIFEST_KEY
        ]


async def _metrics(host: str) -> str:
    """Return the metrics of a daemon; nothing if it does not answer."""
    request = f"GET /metrics HTTP/1.1\r\nHost: {host}\r\nConnection: close"
    try:
        async with asyncio.timeout(METRICS_S):
            reader, writer = await asyncio.open_connection(
                host, ready.METRICS_PORT
            )
            try:
                writer.write(f"{request}\r\n\r\n".encode())
                return (await reader.read()).decode(errors="replace")
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return ""
