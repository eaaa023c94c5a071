"""Settings of a daemon, read from an INI file and checked as a whole."""

import configparser
import dataclasses
import difflib
import ipaddress
import pathlib
from typing import Callable

from returns import result
import zmq

from burdockcart import ids
from burdockcart.process import executors


@dataclasses.dataclass(frozen=True)
class Settings:
    """Validated settings of one daemon.

    Parameters
    ==========

    ip : str
        Address of this host; also the source of outgoing connections.
    platform : str
        ``ip:port`` of the platform's service.
    key_by_id : dict of str to bytes
        Keys of session tokens; the last one signs.
    secret_by_caller : dict of str to str
        Bearer tokens of the callers.
    secret_by_operator : dict of str to str, or None
        Bearer tokens that may read the status; None leaves it open.
    statsd : str or None
        ``ip:port`` of the statsd server.
    seeds : tuple of Daemon
        Daemons to contact even if the platform's list does not have them.
    peer_secrets : tuple of bytes
        CURVE secret keys in Z85; the first is used for new links, all are
        accepted.  An empty tuple turns encryption off.
    balancer_notice_s : float
        Time after which the load balancer has seen that the daemon is not
        ready.
    seed : int or None
        Seed of the random choices, for reproducible runs.

    """

    id: ids.DaemonId
    domain: ids.DomainName
    ip: str
    caller_port: int
    peer_port: int
    platform: str
    key_by_id: dict[str, bytes]
    secret_by_caller: dict[str, str]
    statsd: str | None = None
    seeds: tuple[executors.Daemon, ...] = ()
    seed: int | None = None
    balancer_notice_s: float = 0.5
    peer_secrets: tuple[bytes, ...] = ()
    log_level: str = "INFO"
    tls_certificate: pathlib.Path | None = None
    tls_key: pathlib.Path | None = None
    secret_by_operator: dict[str, str] | None = None


@dataclasses.dataclass(frozen=True)
class SettingsFault:
    """One error in a settings file."""

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.file} [{self.section}] {self.key}: {self.message}"


def _ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _port(text: str) -> int:
    port = int(text)
    if not 0 < port < 65536:
        raise ValueError(f"{text} is not a port from 1 to 65535")
    return port


def _endpoint(text: str) -> str:
    host, _, port = text.rpartition(":")
    return f"{_ip(host)}:{_port(port)}"


def _seeds(text: str) -> tuple[executors.Daemon, ...]:
    found = []
    for part in text.split(","):
        words = part.split()
        if len(words) != 3:
            raise ValueError(
                f"{part.strip()!r} is not 'id failure_domain ip:port'"
            )
        found.append(
            executors.Daemon(
                ids.DaemonId(words[0]),
                ids.DomainName(words[1]),
                _endpoint(words[2]),
            )
        )
    return tuple(found)


def _notice(text: str) -> float:
    seconds = float(text)
    if not 0 <= seconds <= 60:
        raise ValueError(f"{text} is not a time from 0 to 60 s")
    return seconds


def _level(text: str) -> str:
    levels = ("DEBUG", "INFO", "WARNING", "ERROR")
    if text not in levels:
        raise ValueError(f"{text!r} is none of {', '.join(levels)}")
    return text


def _file(text: str) -> pathlib.Path:
    path = pathlib.Path(text)
    if not path.is_file():
        raise ValueError(f"no file {text!r}")
    return path


def _name(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    return text


_REQUIRED: dict[tuple[str, str], Callable[[str], object]] = {
    ("daemon", "id"): _name,
    ("daemon", "failure_domain"): _name,
    ("daemon", "ip"): _ip,
    ("daemon", "caller_port"): _port,
    ("daemon", "peer_port"): _port,
    ("platform", "address"): _endpoint,
}
_OPTIONAL: dict[tuple[str, str], Callable[[str], object]] = {
    ("daemon", "random_seed"): int,
    ("daemon", "balancer_notice_s"): _notice,
    ("peers", "seeds"): _seeds,
    ("metrics", "statsd"): _endpoint,
    ("log", "level"): _level,
    ("tls", "certificate"): _file,
    ("tls", "key"): _file,
}
_FREE_SECTIONS = ("session_keys", "callers", "operators", "peer_keys")


def _check_names(
    parser: configparser.ConfigParser, file: str
) -> list[SettingsFault]:
    known = {**_REQUIRED, **_OPTIONAL}
    sections = {section for section, _ in known} | set(_FREE_SECTIONS)
    faults = []
    for section in parser.sections():
        if section not in sections:
            close = difflib.get_close_matches(section, sections, 1)
            hint = f", did you mean [{close[0]}]?" if close else ""
            faults.append(
                SettingsFault(file, section, "-", "unknown section" + hint)
            )
            continue
        if section in _FREE_SECTIONS:
            continue
        names = [key for where, key in known if where == section]
        for key in parser[section]:
            if key not in names:
                close = difflib.get_close_matches(key, names, 1)
                hint = f", did you mean {close[0]!r}?" if close else ""
                faults.append(
                    SettingsFault(file, section, key, "unknown key" + hint)
                )
    return faults


def _check_values(
    parser: configparser.ConfigParser, file: str
) -> tuple[dict[tuple[str, str], object], list[SettingsFault]]:
    values: dict[tuple[str, str], object] = {}
    faults = []
    for (section, key), convert in {**_REQUIRED, **_OPTIONAL}.items():
        text = parser.get(section, key, fallback=None)
        if text is None:
            if (section, key) in _REQUIRED:
                faults.append(SettingsFault(file, section, key, "missing"))
            continue
        try:
            values[section, key] = convert(text)
        except ValueError as error:
            faults.append(SettingsFault(file, section, key, str(error)))
    return values, faults


def _check_pair(
    parser: configparser.ConfigParser,
    file: str,
    section: str,
    keys: tuple[str, str],
) -> list[SettingsFault]:
    given = [key for key in keys if parser.has_option(section, key)]
    if len(given) != 1:
        return []
    missing = next(key for key in keys if key not in given)
    text = f"missing, needed together with {given[0]!r}"
    return [SettingsFault(file, section, missing, text)]


def _session_keys(
    parser: configparser.ConfigParser, file: str
) -> tuple[dict[str, bytes], list[SettingsFault]]:
    keys, faults = {}, []
    section = "session_keys"
    pairs = parser.items(section) if parser.has_section(section) else []
    for name, text in pairs:
        try:
            keys[name] = bytes.fromhex(text)
        except ValueError:
            faults.append(SettingsFault(file, section, name, "not hex digits"))
            continue
        if len(keys[name]) < 16:
            text = "shorter than 16 bytes"
            faults.append(SettingsFault(file, section, name, text))
    if not keys and not faults:
        faults.append(SettingsFault(file, section, "-", "no key given"))
    return keys, faults


def _peer_secrets(
    parser: configparser.ConfigParser, file: str
) -> tuple[tuple[bytes, ...], list[SettingsFault]]:
    section = "peer_keys"
    pairs = parser.items(section) if parser.has_section(section) else []
    secrets, faults = [], []
    for name, text in pairs:
        try:
            zmq.curve_public(text.encode())
            secrets.append(text.encode())
        except (zmq.ZMQError, ValueError):
            text = "not a secret key of 40 characters in Z85"
            faults.append(SettingsFault(file, section, name, text))
    return tuple(secrets), faults


def _tokens(
    parser: configparser.ConfigParser, file: str, section: str
) -> tuple[dict[str, str] | None, list[SettingsFault]]:
    """Return the bearer tokens of a section, or None if it is missing."""
    if not parser.has_section(section):
        return None, []
    tokens = dict(parser.items(section))
    # An empty token would match a request that has no token.
    faults = [
        SettingsFault(file, section, name, "must not be empty")
        for name, token in tokens.items()
        if not token
    ]
    return tokens, faults


def parse(
    text: str, file: str = "settings"
) -> result.Result[Settings, list[SettingsFault]]:
    """Return the settings, or all errors in the file.

    Examples
    ========

    >>> from burdockcart.process import settings
    >>> faults = settings.parse("[daemon]\\nid = d1\\nipp = x").failure()
    >>> print(faults[0])
    settings [daemon] ipp: unknown key, did you mean 'ip'?

    """
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        return result.Failure([SettingsFault(file, "-", "-", str(error))])
    values, bad_values = _check_values(parser, file)
    keys, bad_keys = _session_keys(parser, file)
    secrets, bad_secrets = _peer_secrets(parser, file)
    callers, bad_callers = _tokens(parser, file, "callers")
    operators, bad_operators = _tokens(parser, file, "operators")
    faults = _check_names(parser, file) + bad_values + bad_keys
    faults += bad_secrets + bad_callers + bad_operators
    if operators == {}:
        faults.append(SettingsFault(file, "operators", "-", "no token given"))
    faults += _check_pair(parser, file, "tls", ("certificate", "key"))
    if faults:
        return result.Failure(faults)
    return result.Success(
        _settings(values, keys, callers or {}, operators, secrets)
    )


def _settings(
    values: dict,
    keys: dict[str, bytes],
    callers: dict[str, str],
    operators: dict[str, str] | None,
    secrets: tuple[bytes, ...],
) -> Settings:
    return Settings(
        id=values["daemon", "id"],
        domain=values["daemon", "failure_domain"],
        ip=values["daemon", "ip"],
        caller_port=values["daemon", "caller_port"],
        peer_port=values["daemon", "peer_port"],
        platform=values["platform", "address"],
        key_by_id=keys,
        secret_by_caller=callers,
        peer_secrets=secrets,
        statsd=values.get(("metrics", "statsd")),
        seeds=values.get(("peers", "seeds"), ()),
        seed=values.get(("daemon", "random_seed")),
        balancer_notice_s=values.get(("daemon", "balancer_notice_s"), 0.5),
        log_level=values.get(("log", "level"), "INFO"),
        tls_certificate=values.get(("tls", "certificate")),
        tls_key=values.get(("tls", "key")),
        secret_by_operator=operators,
    )


def read(
    path: pathlib.Path,
) -> result.Result[Settings, list[SettingsFault]]:
    """Return the settings of a file, or all errors in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure([SettingsFault(path.name, "-", "-", str(error))])
    return parse(text, path.name)
