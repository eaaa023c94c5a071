"""Gateway daemons on emulated members and platform, without sockets."""

import asyncio

from returns import result

from burdockcart import clock
from burdockcart.emulator import peer_network
from burdockcart.emulator import wire_connector
from burdockcart.emulator import wire_member
from burdockcart.emulator import wire_platform
from burdockcart import ids
from burdockcart.process.gateway import application
from burdockcart.process.gateway.sessions import client_listener
from burdockcart.process.gateway import settings
from burdockcart.process.peers import fleet_key
from burdockcart.request import command
from burdockcart.tests import virtual_time
from burdockcart.version import manifest

GROUP = ids.GroupId("g")
DOMAINS = ("a", "b", "c")
#: Consistency, maximum age, timeout, latency goal and priority, by database.
ROUTES = {
    "live": (manifest.Consistency.PRIMARY, 0.0, 0.8, 0.1, 1),
    "archive": (manifest.Consistency.BOUNDED, 1.5, 1.2, 0.3, 2),
    "layers": (manifest.Consistency.READ_YOUR_WRITES, 2.5, 0.8, 0.2, 2),
}

#: Settings of the rate reserve.
RESERVE = {"quota_window_s": 5.0, "quota_excess": 0.1, "quota_slack": 20.0}
GOAL_S = {name: route[3] for name, route in ROUTES.items()}


def tables(
    version=1, routes=ROUTES, connections=16, accounts=(), anonymous=()
):
    """Return a manifest with the given routes."""
    return manifest.Manifest(
        version=version,
        route_by_database={
            ids.DatabaseName(name): manifest.DatabaseRoute(
                name=ids.RouteName(f"r-{name}"),
                database=ids.DatabaseName(name),
                group=GROUP,
                consistency=consistency,
                max_age_s=max_age_s,
                timeout_s=timeout_s,
                latency_goal_s=latency_goal_s,
                priority=priority,
                anonymous=name in anonymous,
            )
            for name, (
                consistency,
                max_age_s,
                timeout_s,
                latency_goal_s,
                priority,
            ) in routes.items()
        },
        limits_by_group={
            GROUP: manifest.GroupLimits(
                id=GROUP, connections=connections, synchronous=True
            )
        },
        transaction_idle_s=3.0,
        account_by_name={each.name: each for each in accounts},
    )


class SuspendableClock(clock.LoopClock):
    """Boot clock of a host that has been suspended for some time."""

    suspended_s = 0.0

    def now(self):
        """Return the time since the host booted in seconds."""
        return super().now() + self.suspended_s


class GatewayDeployment:
    """One group of three members, its platform and some daemons."""

    def __init__(
        self,
        daemons=2,
        fenced=True,
        deposes=True,
        shutdown_s=6.0,
        routes=ROUTES,
        accounts=(),
        anonymous=(),
        strict_revoke=False,
        reserve=False,
        first_start=False,
        **member_options,
    ):
        self.strict_revoke = strict_revoke
        self.reserve = reserve
        self.first_start = first_start
        self.fenced = fenced
        self.shutdown_s = shutdown_s
        self.peers = peer_network.PeerNetwork()
        self.members = [
            wire_member.EmulatedMember(f"m-{domain}", domain, **member_options)
            for domain in DOMAINS
        ]
        self.group = wire_member.EmulatedGroup(self.members, deposes=deposes)
        self.platform = wire_platform.EmulatedPlatform(
            tables(routes=routes, accounts=accounts, anonymous=anonymous),
            {GROUP: self.group},
        )
        for member in self.members:
            self.enter(member)
        # The deployment has been running before.
        self.platform.record_roster(GROUP, self.members)
        self.daemons = [self.daemon(number) for number in range(daemons)]

    def enter(self, member, state=manifest.MemberState.READY):
        """Write a member's entry to the platform as the member does."""
        self.platform.put_member(
            manifest.MemberEntry(
                id=member.id,
                group=GROUP,
                address=f"{member.id}:1",
                domain=member.domain,
                slots=member.slots,
                state=state,
                leads=member.leads,
                started_ms=1,
            )
        )

    def daemon(self, number):
        """Return a daemon in one of the failure domains."""
        config = settings.GatewaySettings(
            daemon=ids.DaemonId(f"d{number}"),
            domain=ids.DomainName(DOMAINS[number % len(DOMAINS)]),
            client_address="-",
            ready_address="-",
            store_address="-",
            promotion_address="-",
            promotions_fenced=self.fenced,
            peer_host=f"d{number}",
            shutdown_s=self.shutdown_s,
            strict_revoke=self.strict_revoke,
            first_start=self.first_start,
            **(RESERVE if self.reserve else {}),
        )
        connector = wire_connector.EmulatedConnector(
            {member.id: member for member in self.members}
        )
        host_link = self.peers.link_by_daemon[config.daemon]
        connector.link = host_link
        link = wire_platform.EmulatedPlatformClient(self.platform, host_link)
        boot_clock = SuspendableClock()
        daemon = application.GatewayApplication(
            config,
            link,
            connector,
            boot_clock,
            peer_network.MemoryPeers(self.peers, config.daemon),
            fleet_key.FleetKey(),
            ids.Incarnation(f"{number}/{id(config)}"),
        )
        daemon.boot_clock = boot_clock
        daemon.connector = connector
        daemon.link = link
        daemon.host_link = host_link
        return daemon

    def listener(self, daemon):
        """Return the listener of a daemon."""
        return FakeClientListener()

    async def start(self):
        """Start all daemons and wait until they know the primary."""
        for daemon in self.daemons:
            daemon.clients = self.listener(daemon)
            await daemon.start(daemon.clients)
        await until(
            lambda: all(
                daemon.group_by_id
                and daemon.group_by_id[GROUP].primary.samples.term
                for daemon in self.daemons
            )
        )
        return self

    async def join(self, number):
        """Start another daemon and return it."""
        daemon = self.daemon(number)
        daemon.clients = self.listener(daemon)
        self.daemons.append(daemon)
        await daemon.start(daemon.clients)
        return daemon

    async def stop(self):
        """Stop all daemons."""
        for daemon in self.daemons:
            await daemon.stop()

    async def client(self, database="layers", daemon=0, key="-"):
        """Return a session of a client."""
        opened = await self.daemons[daemon].open_session(database, key)
        return Client(opened.unwrap())


class FakeClientListener:
    """Listener for client connections, without sockets."""

    def __init__(self):
        self.connections = []

    def listen_on(self, address):
        """Listen nowhere."""

    def stop(self):
        """Do nothing."""


class IdleConnection:
    """A client connection without a running statement."""

    idle = True
    session = None
    phase = client_listener.Phase.IDLE
    request = None
    closing = False

    def __init__(self, clients):
        self.clients = clients
        self.closed_at = None
        clients.connections.append(self)

    def close_when_idle(self):
        """Record when the connection was closed."""
        self.closed_at = asyncio.get_running_loop().time()
        self.clients.connections.remove(self)


class Client:
    """Sends statements and records the replies."""

    serials = iter(range(1, 10**9))

    def __init__(self, session):
        self.session = session
        self.sent = []

    async def send(self, kind, text="", name="", argument="", shape=None):
        """Send one statement and return the reply."""
        statement = command.Command(
            ids.StatementId(f"s{next(self.serials)}"),
            kind,
            text or kind.value,
            name,
            argument,
            shape,
        )
        reply = await self.session.handle(statement)
        self.sent.append((statement, reply))
        return reply

    async def read(self):
        """Read one item."""
        return await self.send(command.CommandKind.READ, "READ 1a4")

    async def write(self):
        """Write one item."""
        return await self.send(command.CommandKind.WRITE, "WRITE 1a4 x")


def ok(reply):
    """Return whether a reply is a success."""
    return isinstance(reply.outcome, result.Success)


def kind_of(reply):
    """Return the kind of a failure."""
    return reply.outcome.failure().kind


async def until(condition, within_s=20.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.01)


def run(scenario):
    """Run a scenario to its end in virtual time."""
    loop = virtual_time.VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scenario)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
        asyncio.set_event_loop(None)
