"""Settings files of whole deployments on one machine.

Explanation
===========

Writes the INI files of the emulated targets and platform, of the daemons
and of both tables, for the two deployments that the project is built for.
Each failure domain gets a loopback prefix of its own.
"""

import dataclasses
import pathlib

import zmq

SESSION_KEY = "00112233445566778899aabbccddeeff"
SECRET = "demo-secret"
PLATFORM_IP = "127.0.0.1"
BASE_PORT = 21700


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size and timing of one deployment.

    Parameters
    ==========

    pool : str
        Name of the pool.
    domains, groups : tuple of str
        Failure domains, and groups with a member in each of them.
    one_way_ms, connect_ms : float
        Latency between failure domains, and cost of a new connection.
    routes : str
        Text of the routes table.
    base_port : int
        First of the ports that measures use.

    """

    name: str
    pool: str
    domains: tuple[str, ...]
    groups: tuple[str, ...]
    slots: int
    connections: int
    one_way_ms: float
    connect_ms: float
    routes: str
    base_port: int = BASE_PORT


_WEATHER_ROUTES = """\
[forecast-push]
caller = studio
kind = forecast-push
pool = graphics
deadline_ms = 2000
repeatable = no
cost = short

[layer-save]
caller = designer
kind = *
pool = graphics
deadline_ms = 5000
repeatable = yes

[archive]
caller = *
kind = archive
pool = graphics
max_age_ms = 5000
"""

_COOPERATIVE_ROUTES = """\
[deposit]
caller = founder
kind = deposit
pool = members
deadline_ms = 2000
repeatable = no
cost = short

[quote]
caller = founder
kind = *
pool = members
deadline_ms = 5000
repeatable = yes

[records]
caller = *
kind = records
pool = members
max_age_ms = 5000
"""

WEATHER = Deployment(
    "weather",
    "graphics",
    ("recife", "fortaleza", "salvador"),
    ("coast", "north", "south"),
    2,
    16,
    1.0,
    10.0,
    _WEATHER_ROUTES,
)

COOPERATIVE = Deployment(
    "cooperative",
    "members",
    ("bogota", "tunja", "ibague"),
    ("bells", "carillons", "recasts"),
    3,
    45,
    0.5,
    30.0,
    _COOPERATIVE_ROUTES,
)

BY_NAME = {each.name: each for each in (WEATHER, COOPERATIVE)}


class Files:
    """Addresses and files of a deployment.

    Parameters
    ==========

    base_port : int
        First of the ports used; the same ports serve on every address.
    daemons : int
        Number of daemons, spread over the failure domains.

    """

    def __init__(
        self,
        deployment: Deployment,
        folder: pathlib.Path,
        base_port: int,
        daemons: int = 4,
        lag_ms: float = 5.0,
        work_ms: float = 2.0,
        poll_ms: float = 10.0,
    ):
        self.deployment = deployment
        self.folder = folder
        self.base_port = base_port
        self.lag_ms = lag_ms
        self.work_ms = work_ms
        self.peer_secret = zmq.curve_keypair()[1].decode()
        self.poll_ms = poll_ms
        self.platform = f"{PLATFORM_IP}:{base_port}"
        names = deployment.domains
        self.domain_by_daemon = {
            f"{names[n % len(names)]}-{n // len(names) + 1}": names[
                n % len(names)
            ]
            for n in range(daemons)
        }

    def ip(self, domain: str, host: int) -> str:
        """Return the address of a host of a failure domain.

        Host numbers of targets start at 100.
        """
        return f"127.{10 + self.deployment.domains.index(domain)}.0.{host}"

    def daemon_ip(self, daemon: str) -> str:
        """Return the address of a daemon."""
        number = int(daemon.rsplit("-", 1)[1])
        return self.ip(self.domain_by_daemon[daemon], number)

    def target_address(self, group: str, domain: str) -> str:
        """Return ``ip:port`` of a member."""
        index = self.deployment.groups.index(group)
        return f"{self.ip(domain, 100 + index)}:{self.base_port + 3}"

    def caller_url(self, daemon: str) -> str:
        """Return the URL that callers of a daemon use."""
        return f"http://{self.daemon_ip(daemon)}:{self.base_port + 1}"

    def peer_address(self, daemon: str) -> str:
        """Return the ``ip:port`` at which a daemon serves its peers."""
        return f"{self.daemon_ip(daemon)}:{self.base_port + 2}"

    def write(self) -> None:
        """Write all files."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._write("pools.ini", self._pools())
        self._write("routes.ini", self.deployment.routes)
        self._write(
            "platform.ini",
            f"[platform]\naddress = {PLATFORM_IP}\nport = {self.base_port}\n",
        )
        for domain in self.deployment.domains:
            self._write(f"targets-{domain}.ini", self._targets(domain))
        for daemon in self.domain_by_daemon:
            self._write(f"{daemon}.ini", self._daemon(daemon))

    def _write(self, name: str, text: str) -> None:
        (self.folder / name).write_text(text, encoding="utf-8")

    def _pools(self) -> str:
        deployment = self.deployment
        groups = [
            f"group.{group} = "
            + ", ".join(
                f"{group}-{domain} {domain} "
                f"{self.target_address(group, domain)}"
                for domain in deployment.domains
            )
            for group in deployment.groups
        ]
        lines = [
            f"[{deployment.pool}]",
            f"slots_per_member = {deployment.slots}",
            f"connections_per_member = {deployment.connections}",
            f"connect_ms = {deployment.connect_ms:.0f}",
            *groups,
        ]
        return "\n".join(lines) + "\n"

    def _targets(self, domain: str) -> str:
        return "\n".join(
            self._target(group, domain) for group in self.deployment.groups
        )

    def _target(self, group: str, domain: str) -> str:
        deployment = self.deployment
        primary_index = deployment.groups.index(group) % len(
            deployment.domains
        )
        address, port = self.target_address(group, domain).split(":")
        primary = deployment.domains[primary_index]
        role = (
            "primary = yes"
            if primary == domain
            else f"primary_address = {self.target_address(group, primary)}"
        )
        return (
            f"[target {group}-{domain}]\n"
            f"address = {address}\n"
            f"port = {port}\n"
            f"{role}\n"
            f"slots = {deployment.slots}\n"
            f"connections = {deployment.connections}\n"
            f"connect_ms = {deployment.connect_ms}\n"
            f"one_way_ms = {deployment.one_way_ms}\n"
            f"work_ms = {self.work_ms}\n"
            f"lag_ms = {self.lag_ms}\n"
            f"poll_ms = {self.poll_ms}\n"
        )

    def _daemon(self, daemon: str) -> str:
        return (
            "[daemon]\n"
            f"id = {daemon}\n"
            f"failure_domain = {self.domain_by_daemon[daemon]}\n"
            f"ip = {self.daemon_ip(daemon)}\n"
            f"caller_port = {self.base_port + 1}\n"
            f"peer_port = {self.base_port + 2}\n"
            "[platform]\n"
            f"address = {self.platform}\n"
            "[session_keys]\n"
            f"k1 = {SESSION_KEY}\n"
            "[peer_keys]\n"
            f"k1 = {self.peer_secret}\n"
            "[callers]\n"
            f"studio = {SECRET}-studio\n"
            f"designer = {SECRET}-designer\n"
            f"tablet = {SECRET}-tablet\n"
            f"founder = {SECRET}-founder\n"
            f"desk = {SECRET}-desk\n"
        )
