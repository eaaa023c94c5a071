"""Deployment of several groups without clients, for counts of idle work."""

import asyncio

from burdockcart.emulator import wire_member
from burdockcart.emulator import wire_platform
from burdockcart import ids
from burdockcart.tests import gateway_deployment
from burdockcart.tests import virtual_time
from burdockcart.version import manifest

#: Connections that a member accepts, as in the deployment with 87 daemons.
CONNECTIONS = 58


class IdleDeployment:
    """Daemons, groups of three members, and a platform that counts calls."""

    def __init__(self, daemons, groups):
        self._base = gateway_deployment.GatewayDeployment(daemons=0)
        self.peers = self._base.peers
        #: Calls of all daemons to the platform.
        self.store_calls = 0
        group_by_id = {}
        for number in range(groups):
            group = ids.GroupId(f"g{number}")
            members = [
                wire_member.EmulatedMember(
                    f"m{number}-{domain}",
                    domain,
                    slots=4,
                    connection_limit=CONNECTIONS,
                )
                for domain in gateway_deployment.DOMAINS
            ]
            group_by_id[group] = wire_member.EmulatedGroup(members)
        self._base.members = [
            member
            for group in group_by_id.values()
            for member in group.member_by_id.values()
        ]
        self.platform = wire_platform.EmulatedPlatform(
            _tables(group_by_id), group_by_id
        )
        self._base.platform = self.platform
        for group, emulated in group_by_id.items():
            members = list(emulated.member_by_id.values())
            for member in members:
                self.platform.put_member(_entry(group, member))
            self.platform.record_roster(group, members)
        self.daemons = [self._daemon(number) for number in range(daemons)]

    def _daemon(self, number):
        node = f"d{number}"
        daemon = virtual_time.context_of(node).run(self._base.daemon, number)
        daemon.link._platform = _CountedPlatform(self)
        return daemon

    async def start(self):
        """Start all daemons, each in a context of its own."""
        await asyncio.gather(
            *(
                asyncio.create_task(
                    daemon.start(gateway_deployment.FakeClientListener()),
                    context=virtual_time.context_of(f"d{number}"),
                )
                for number, daemon in enumerate(self.daemons)
            )
        )

    async def stop(self):
        """Stop all daemons."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))


class _CountedPlatform:
    """Platform that counts the calls of the daemons."""

    def __init__(self, deployment):
        self._deployment = deployment

    def __getattr__(self, name):
        found = getattr(self._deployment.platform, name)
        if not asyncio.iscoroutinefunction(found):
            return found

        async def call(*arguments):
            self._deployment.store_calls += 1
            return await found(*arguments)

        return call


def _entry(group, member):
    return manifest.MemberEntry(
        id=member.id,
        group=group,
        address=f"{member.id}:1",
        domain=member.domain,
        slots=member.slots,
        state=manifest.MemberState.READY,
        leads=member.leads,
        started_ms=1,
    )


def _tables(groups):
    """Return a manifest with a route for each group."""
    return manifest.Manifest(
        version=1,
        route_by_database={
            ids.DatabaseName(f"db-{group}"): manifest.DatabaseRoute(
                name=ids.RouteName(f"r-{group}"),
                database=ids.DatabaseName(f"db-{group}"),
                group=group,
                consistency=manifest.Consistency.BOUNDED,
                max_age_s=1.5,
                timeout_s=1.2,
                latency_goal_s=0.3,
                priority=2,
                anonymous=False,
            )
            for group in groups
        },
        limits_by_group={
            group: manifest.GroupLimits(
                id=group, connections=CONNECTIONS, synchronous=True
            )
            for group in groups
        },
        transaction_idle_s=3.0,
        account_by_name={},
    )
