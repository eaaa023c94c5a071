"""Key that all daemons of a deployment share."""

import secrets

KEY_BYTES = 32


class FleetKey:
    """The key in force; None until it was read from the store."""

    def __init__(self) -> None:
        self.value: bytes | None = None

    def get(self) -> bytes | None:
        """Return the key in force."""
        return self.value


def new_key() -> bytes:
    """Return a random key."""
    return secrets.token_bytes(KEY_BYTES)
