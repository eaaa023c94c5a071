"""Common steps of the tests of connections per client account."""

import asyncio

from burdockcart import ids
from burdockcart.process.accounts import session_access
from burdockcart.request import command
from burdockcart.tests import gateway_deployment

Kind = command.CommandKind
GROUP = gateway_deployment.GROUP
ACCOUNTS = tuple(ids.AccountName(f"account-{each}") for each in "abcdefgh")


class AccountAccess(session_access.OpenAccess):
    """Access of a session of a given account, without a key."""

    def __init__(self, account):
        self._account = account

    @property
    def account(self):
        """The account."""
        return self._account


async def client_of(deployment, account, database="live", daemon=0):
    """Return a client whose session belongs to an account."""
    client = await deployment.client(database, daemon)
    client.session._access = AccountAccess(account)
    client.account = account
    return client


async def run_transaction(client):
    """Run a transaction of a write and a read; return its replies."""
    replies = [
        await client.send(Kind.BEGIN),
        await client.write(),
        await client.read(),
    ]
    return replies + [await client.send(Kind.COMMIT)]


async def repeat(client, count, pause_s=0.0):
    """Send reads and writes one after another; return the replies."""
    replies = []
    for number in range(count):
        replies.append(await (client.read, client.write)[number % 2]())
        await asyncio.sleep(pause_s)
    return replies


def mixed_up(deployment, clients):
    """Return the executions that ran on a connection of another account."""
    account_by_statement = {
        statement.id: client.account
        for client in clients
        for statement, _ in client.sent
    }
    return [
        run
        for run in deployment.group.runs
        if run.account != account_by_statement.get(run.statement, run.account)
    ]


def answered(replies):
    """Return the number of successes."""
    return sum(map(gateway_deployment.ok, replies))


def open_count(deployment):
    """Return the most connections that any member has open."""
    return max(len(each.connections) for each in deployment.members)
