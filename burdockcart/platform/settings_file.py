"""Settings file of the platform: lines of the form a.b=value."""

import math
import pathlib
from typing import Callable

import msgspec
from returns import result

from burdockcart import ids
from burdockcart.platform import decoding
from burdockcart.process.gateway import settings


class SettingsFault(msgspec.Struct, frozen=True):
    """One mistake in a settings file."""

    file: str
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.message}"


def _endpoint(text: str) -> str:
    try:
        return decoding.read_address(text)
    except decoding.UnreadableValue:
        raise ValueError(f"{text!r} is not ip:port") from None


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 <= value < math.inf:
        raise ValueError(f"{text} is not a time")
    return value


def _positive_s(text: str) -> float:
    value = _seconds(text)
    if not value:
        raise ValueError("must be more than 0")
    return value


def _amount(text: str) -> float:
    value = float(text)
    if not 0 <= value < math.inf:
        raise ValueError(f"{text} is negative or not finite")
    return value


def _milliseconds(text: str) -> float:
    return _seconds(text) / 1000


def _positive_ms(text: str) -> float:
    value = _milliseconds(text)
    if not value:
        raise ValueError("must be more than 0")
    return value


def _positive(text: str) -> int:
    if not (text.isascii() and text.isdigit() and 0 < int(text) < 10**9):
        raise ValueError(f"{text!r} is not a positive whole number")
    return int(text)


def _flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"{text!r} is neither 'true' nor 'false'")
    return text == "true"


def _first_port(text: str) -> int:
    first, _, _ = text.partition(",")
    digits = first.isascii() and first.isdigit() and len(first) <= 5
    if not digits or int(first) > decoding.MAX_PORT:
        raise ValueError(f"{text!r} does not begin with a port")
    return int(first)


def _name(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    return text


#: Key in the file, field of the settings, converter.
_REQUIRED: tuple[tuple[str, str, Callable[[str], object]], ...] = (
    ("node-name", "daemon", _name),
    ("zone", "domain", _name),
    ("listen-addrs.front", "client_address", _endpoint),
    ("listen-addrs.ready", "ready_address", _endpoint),
    ("platform.address", "store_address", _endpoint),
    ("cloud-api.address", "promotion_address", _endpoint),
    ("ip", "peer_host", _name),
    ("port-range", "peer_port", _first_port),
)
_OPTIONAL: tuple[tuple[str, str, Callable[[str], object]], ...] = (
    ("contract-params.grace-s", "shutdown_s", _seconds),
    ("contract-params.drain-ms", "drain_s", _milliseconds),
    ("contract-params.config-apply-ms", "manifest_s", _milliseconds),
    ("contract-params.lease-ms", "promotion_claim_s", _milliseconds),
    ("contract-params.strict-revoke", "strict_revoke", _flag),
    ("contract-params.revoke-ms", "revoke_s", _milliseconds),
    ("contract-params.quota-window-s", "quota_window_s", _positive_s),
    ("contract-params.quota-excess", "quota_excess", _amount),
    ("contract-params.quota-slack", "quota_slack", _amount),
    ("bootstrap", "first_start", _flag),
    ("contract-params.fencing-required", "promotions_fenced", _flag),
    ("limits.memory-mb", "memory_mb", _positive),
    ("limits.max-fds", "max_fds", _positive),
    ("client-limits.line-timeout-ms", "line_timeout_s", _positive_ms),
    ("client-limits.unread-timeout-ms", "unread_timeout_s", _positive_ms),
    ("client-limits.idle-ms", "client_idle_s", _positive_ms),
    ("client-limits.http-timeout-ms", "http_timeout_s", _positive_ms),
)


def parse(
    text: str, file: str = "settings"
) -> result.Result[settings.GatewaySettings, list[SettingsFault]]:
    """Return the settings, or every fault of the file.

    Other keys concern only the platform and are ignored.

    Examples
    ========

    >>> from burdockcart.platform import settings_file
    >>> faults = settings_file.parse("node-name=a\\nzone=z").failure()
    >>> print(faults[0])
    settings: listen-addrs.front: missing

    """
    value_by_key: dict[str, str] = {}
    faults: list[SettingsFault] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            faults.append(SettingsFault(file, f"line {number}", "no '='"))
            continue
        value_by_key[key.strip()] = value.strip()
    fields: dict[str, object] = {}
    for key, field, convert in _REQUIRED + _OPTIONAL:
        given = value_by_key.get(key, "")
        if not given:
            if (key, field, convert) in _REQUIRED:
                faults.append(SettingsFault(file, key, "missing"))
            continue
        try:
            fields[field] = convert(given)
        except ValueError as error:
            faults.append(SettingsFault(file, key, str(error)))
    if faults:
        return result.Failure(faults)
    fields["daemon"] = ids.DaemonId(str(fields["daemon"]))
    return result.Success(msgspec.convert(fields, settings.GatewaySettings))


def read(
    path: pathlib.Path,
) -> result.Result[settings.GatewaySettings, list[SettingsFault]]:
    """Return the settings of a file, or every fault of it."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return result.Failure([SettingsFault(path.name, "-", str(error))])
    return decode(content, path.name)


def decode(
    content: bytes, file: str
) -> result.Result[settings.GatewaySettings, list[SettingsFault]]:
    """Return the settings in a file's content, or every fault of it."""
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        return result.Failure([SettingsFault(file, "-", str(error))])
    return parse(text, file)
