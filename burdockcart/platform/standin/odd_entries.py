"""Entries of another writer among those of the members."""

import json
from typing import Any


def values(entry: dict[str, Any]) -> list[bytes]:
    """Return odd variants of an entry that is well formed."""
    text = json.dumps(entry).encode()
    host = entry["address"].partition(":")[0]
    nested = b"[" * 3000 + b"]" * 3000
    fields: list[dict[str, Any]] = [
        {"address": f"{host}:99999"},
        {"address": f"{host}:²"},
        {"address": f"{host}\0:80"},
        {"address": "h" * 300 + ":80"},
        {"capacity": 10**400},
        {"seq": -1},
        {"state": "asleep"},
        {"db-role": ["primary"]},
        {"service": "two words"},
        # Whole entries, with nobody at their address.
        {"address": f"{host}:9"},
        {"address": f"{host}:9", "db-role": "primary"},
    ]
    return [
        *(json.dumps(entry | each).encode() for each in fields),
        text[:-1] + b',"x":' + nested + b"}",
        nested,
        text[: len(text) // 2],
        b"\xff\xfe" + text,
        json.dumps({key: entry[key] for key in ("service", "state")}).encode(),
    ]
