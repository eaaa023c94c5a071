"""Decoding of the JSON values in the platform's store."""

from typing import Annotated
import unicodedata

import msgspec

from burdockcart import ids
from burdockcart.platform import decoding
from burdockcart.process.gateway.store import coordination
from burdockcart.version import manifest

#: A number that limits a rate.
_Limit = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


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
    anonymous: bool = False


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_conns: int = 1
    sync_replicas: int = 0


class _Limits(msgspec.Struct, rename="kebab"):
    tx_idle_ms: float = 0.0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: Annotated[int, msgspec.Meta(ge=0)] = 0
    rate_per_s: _Limit | msgspec.UnsetType = msgspec.UNSET
    burst: _Limit | msgspec.UnsetType = msgspec.UNSET


class _Manifest(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


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
        anonymous=route.anonymous,
    )


def _is_field(text: str) -> bool:
    """Return whether a text can be one field of a line."""
    return bool(text) and not any(
        each.isspace() or unicodedata.category(each) in ("Cc", "Cs")
        for each in text
    )


def _given(limit: float | msgspec.UnsetType) -> float | None:
    """Return a limit; None if the manifest has none."""
    return None if isinstance(limit, msgspec.UnsetType) else limit


def _account(number: int, tenant: _Tenant) -> manifest.Account:
    """Read an account; no error text may show a key."""
    for rule, texts in (("name", [tenant.name]), ("key", tenant.api_keys)):
        if not all(map(_is_field, texts)):
            raise decoding.UnreadableValue(
                f"a {rule} of tenant {number} is empty, or has a space or a "
                "control character"
            )
    rate_per_s = _given(tenant.rate_per_s)
    burst = _given(tenant.burst)
    if burst is None:
        burst = rate_per_s or 0.0
    return manifest.Account(
        name=ids.AccountName(tenant.name),
        keys=frozenset(tenant.api_keys),
        priority=tenant.priority,
        rate_per_s=rate_per_s,
        burst=burst,
    )


def _read_accounts(
    tenants: list[_Tenant],
) -> dict[ids.AccountName, manifest.Account]:
    accounts = [
        _account(number, tenant) for number, tenant in enumerate(tenants)
    ]
    account_by_name = {each.name: each for each in accounts}
    if len(account_by_name) < len(accounts):
        raise decoding.UnreadableValue("two tenants have the same name")
    keys = frozenset().union(*(each.keys for each in accounts))
    if len(keys) < sum(len(each.keys) for each in accounts):
        raise decoding.UnreadableValue("two tenants have the same key")
    return account_by_name


def read_manifest(value: bytes) -> manifest.Manifest:
    """Decode a manifest.

    Raises
    ======

    msgspec.MsgspecError
        If the value is not a manifest; the message names the invalid field.

    """
    raw = decoding.decode(value, _Manifest)
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
        account_by_name=_read_accounts(raw.tenants),
    )


#: Statements that a member runs concurrently; more than any member has.
_Capacity = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class _Member(msgspec.Struct, rename="kebab"):
    service: decoding.Word
    address: str
    zone: decoding.Word
    # Version of the member's software.
    version: str
    # Number of statements that the member runs concurrently.
    capacity: _Capacity
    state: str
    # How much longer the member is slow after its start.
    warmup_left_ms: float
    db_role: str
    # Counts what the member says of itself since its start.
    seq: decoding.Counter
    # Wall-clock time of the member's start, in milliseconds; not all
    # platforms have it.
    born: decoding.Counter = 0


_STATE_BY_WORD = {
    "ready": manifest.MemberState.READY,
    "draining": manifest.MemberState.DRAINING,
}
_LEADS_BY_WORD = {"primary": True, "replica": False}


def read_member(member: ids.MemberId, value: bytes) -> manifest.MemberEntry:
    """Decode a member's entry.

    Raises
    ======

    msgspec.MsgspecError
        If the entry does not describe a usable member: a field is missing or
        odd, or the id cannot be sent to a member.

    """
    raw = decoding.decode(value, _Member)
    state = _STATE_BY_WORD.get(raw.state)
    leads = _LEADS_BY_WORD.get(raw.db_role)
    if state is None or leads is None:
        raise decoding.UnreadableValue(
            f"unknown state {raw.state[:decoding.QUOTED]!r} or "
            f"role {raw.db_role[:decoding.QUOTED]!r}"
        )
    return manifest.MemberEntry(
        id=ids.MemberId(_word(member)),
        group=ids.GroupId(raw.service),
        address=decoding.read_address(raw.address),
        domain=ids.DomainName(raw.zone),
        slots=raw.capacity,
        state=state,
        leads=leads,
        started_ms=raw.born,
        sequence=raw.seq,
    )


def _word(text: str) -> str:
    """Return a name that a key of the store holds, if it is one."""
    try:
        return msgspec.convert(text, decoding.Word)
    except msgspec.ValidationError as error:
        raise decoding.UnreadableValue(str(error)) from None


def read_promotion(value: bytes) -> coordination.PromotionRecord | None:
    """Decode a promotion record; return None if it is invalid."""
    try:
        return decoding.decode(value, coordination.PromotionRecord)
    except decoding.UnreadableValue:
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
    roster = decoding.decode(value, coordination.Roster)
    for member in roster.members:
        _word(member.id)
        decoding.read_address(member.address)
    return roster


def encode_roster(roster: coordination.Roster) -> bytes:
    """Encode the roster of a group for the store."""
    return msgspec.json.encode(roster)


def encode_operator_promotion(
    record: coordination.OperatorPromotion,
) -> bytes:
    """Encode the audit record of an operator's promotion."""
    return msgspec.json.encode(record)


class _Daemon(msgspec.Struct):
    address: str
    domain: str
    incarnation: str
    era: decoding.Counter = 0
    manifest_version: decoding.Counter = 0


def read_daemon(
    daemon: ids.DaemonId, value: bytes
) -> coordination.DaemonEntry:
    """Decode a daemon's registration.

    Raises
    ======

    msgspec.MsgspecError
        If the value is no registration.

    """
    raw = decoding.decode(value, _Daemon)
    return coordination.DaemonEntry(
        daemon,
        decoding.read_address(raw.address),
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

    msgspec.MsgspecError
        If the value is no era.

    """
    return ids.StoreEra(decoding.decode(value, decoding.Counter))


def encode_era(era: ids.StoreEra) -> bytes:
    """Encode an era of the store."""
    return msgspec.json.encode(era)
