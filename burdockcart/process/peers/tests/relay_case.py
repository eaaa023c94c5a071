"""Common steps of the tests of relayed statements."""

import asyncio

from burdockcart.process.gateway.tests import test_sessions
from burdockcart.tests import gateway_deployment

GROUP = gateway_deployment.GROUP


def scenario(check, daemons=9, **options):
    """Run a check with more daemons than a member's connections allow."""

    async def settled(deployment):
        # All daemons know the whole list of daemons.
        await asyncio.sleep(4.0)
        await check(deployment)

    test_sessions.scenario(settled, daemons=daemons, **options)


def holds(daemon, member):
    """Return whether a daemon connects to a member directly."""
    return daemon.group_by_id[GROUP].pool_by_member[member.id].direct


def relaying_daemon(deployment, member):
    """Return the number of a daemon that relays to a member."""
    return next(
        number
        for number, daemon in enumerate(deployment.daemons)
        if not holds(daemon, member)
    )


async def relaying_client(deployment, database="live"):
    """Return a client whose statements for the primary are relayed."""
    number = relaying_daemon(deployment, deployment.group.primary)
    return await deployment.client(database, number)


def holder_in_use(deployment, client_daemon, member):
    """Return the daemon through which another one reaches a member."""
    pool = client_daemon.group_by_id[GROUP].pool_by_member[member.id]
    channels = [each.channel for each in pool._idle + list(pool._busy)]
    holder = channels[0]._link.daemon
    return next(
        each for each in deployment.daemons if each._settings.daemon == holder
    )
