"""Decoding of the JSON values in the platform's store."""

import msgspec

from burdockcart import ids
from burdockcart.process.gateway import coordination
from burdockcart.version import manifest


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    # Name of the database that a session asks for, not a machine.
    host: str
    service: str
    route_kind: str
    timeout_ms: float = 1000.0
    latency_goal_ms: float = 200.0
    priority: int = 0
    max_staleness_ms: float = 0.0


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_conns: int = 1
    sync_replicas: int = 0


class _Limits(msgspec.Struct, rename="kebab"):
    tx_idle_ms: float = 0.0


class _Manifest(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


_CONSISTENCY_BY_WORD = {
    "primary": manifest.Consistency.PRIMARY,
    "bounded_stale": manifest.Consistency.BOUNDED,
    "read_your_writes": manifest.Consistency.READ_YOUR_WRITES,
}
#: Idle timeout of a transaction, in seconds, if the manifest sets none.
DEFAULT_TRANSACTION_IDLE_S = 3.0


def _route(route: _Route) -> manifest.DatabaseRoute:
    consistency = _CONSISTENCY_BY_WORD.get(route.route_kind)
    if consistency is None:
        raise msgspec.ValidationError(
            f"route {route.name!r} has the unknown kind {route.route_kind!r}"
        )
    return manifest.DatabaseRoute(
        name=ids.RouteName(route.name),
        database=ids.DatabaseName(route.host),
        group=ids.GroupId(route.service),
        consistency=consistency,
        max_age_s=route.max_staleness_ms / 1000,
        timeout_s=route.timeout_ms / 1000,
        latency_goal_s=route.latency_goal_ms / 1000,
        priority=route.priority,
    )


def read_manifest(value: bytes) -> manifest.Manifest:
    """Decode a manifest.

    Raises
    ======

    msgspec.MsgspecError
        If the value is not a manifest; the message names the invalid field.

    """
    raw = msgspec.json.decode(value, type=_Manifest)
    routes = [_route(route) for route in raw.routes]
    limits = [
        manifest.GroupLimits(
            id=ids.GroupId(service.name),
            connections=service.max_conns,
            synchronous=service.sync_replicas > 0,
        )
        for service in raw.services
    ]
    idle_s = raw.limits.tx_idle_ms / 1000 or DEFAULT_TRANSACTION_IDLE_S
    return manifest.Manifest(
        version=raw.version,
        route_by_database={route.database: route for route in routes},
        limits_by_group={each.id: each for each in limits},
        transaction_idle_s=idle_s,
    )


class _Member(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    # Number of statements that the member runs concurrently.
    capacity: int = 1
    db_role: str = ""
    # Wall-clock time of the member's start, in milliseconds.
    born: int = 0
    # Counts what the member says of itself since its start.
    seq: int = 0


_STATE_BY_WORD = {
    "ready": manifest.MemberState.READY,
    "draining": manifest.MemberState.DRAINING,
}


def read_member(member: ids.MemberId, value: bytes) -> manifest.MemberEntry:
    """Decode a member's entry.

    Raises
    ======

    msgspec.MsgspecError
        If the entry does not describe a usable member.

    """
    raw = msgspec.json.decode(value, type=_Member)
    state = _STATE_BY_WORD.get(raw.state)
    host, _, port = raw.address.rpartition(":")
    if state is None or not host or not port.isdigit():
        raise msgspec.ValidationError(
            f"unknown state {raw.state!r} or "
            f"invalid address {raw.address!r}"
        )
    return manifest.MemberEntry(
        id=member,
        group=ids.GroupId(raw.service),
        address=raw.address,
        domain=ids.DomainName(raw.zone),
        slots=max(raw.capacity, 1),
        state=state,
        leads=raw.db_role == "primary",
        started_ms=raw.born,
        sequence=raw.seq,
    )


def read_promotion(value: bytes) -> coordination.PromotionRecord | None:
    """Decode a promotion record; return None if it is invalid."""
    try:
        return msgspec.json.decode(value, type=coordination.PromotionRecord)
    except msgspec.MsgspecError:
        return None


def encode_promotion(record: coordination.PromotionRecord) -> bytes:
    """Encode a promotion record for the store."""
    return msgspec.json.encode(record)


def read_roster(value: bytes) -> coordination.Roster:
    """Decode the roster of a group.

    Raises
    ======

    msgspec.MsgspecError
        If the value is no roster.

    """
    return msgspec.json.decode(value, type=coordination.Roster)


def encode_roster(roster: coordination.Roster) -> bytes:
    """Encode the roster of a group for the store."""
    return msgspec.json.encode(roster)


class _Daemon(msgspec.Struct):
    address: str
    domain: str
    incarnation: str
    era: int = 0
    manifest_version: int = 0


def read_daemon(
    daemon: ids.DaemonId, value: bytes
) -> coordination.DaemonEntry:
    """Decode a daemon's registration.

    Raises
    ======

    msgspec.MsgspecError
        If the value is no registration.

    """
    raw = msgspec.json.decode(value, type=_Daemon)
    host, _, port = raw.address.rpartition(":")
    if not host or not port.isdigit():
        raise msgspec.ValidationError(f"invalid address {raw.address!r}")
    return coordination.DaemonEntry(
        daemon,
        raw.address,
        ids.DomainName(raw.domain),
        ids.Incarnation(raw.incarnation),
        ids.StoreEra(raw.era),
        raw.manifest_version,
    )


def encode_daemon(entry: coordination.DaemonEntry) -> bytes:
    """Encode a daemon's registration for the store."""
    return msgspec.json.encode(
        _Daemon(
            entry.address,
            entry.domain,
            entry.incarnation,
            entry.era or 0,
            entry.manifest_version,
        )
    )


def read_era(value: bytes) -> ids.StoreEra:
    """Decode an era of the store.

    Raises
    ======

    ValueError
        If the value is no era.

    """
    return ids.StoreEra(msgspec.json.decode(value, type=int))


def encode_era(era: ids.StoreEra) -> bytes:
    """Encode an era of the store."""
    return msgspec.json.encode(era)
