"""Client connections, as far as the application needs them."""

from typing import Iterable
from typing import Protocol

from burdockcart.connection import client_session


class Client(Protocol):
    """Client connection, as far as shutdown and isolation need it."""

    @property
    def idle(self) -> bool:
        """Whether neither a statement nor a transaction is open."""

    @property
    def session(self) -> client_session.ClientSession | None:
        """The session, once it is open."""

    def close_when_idle(self) -> None:
        """Close as soon as the client waits for no answer."""


class ClientListener(Protocol):
    """Listener for client connections."""

    @property
    def connections(self) -> Iterable[Client]:
        """The open connections."""

    def listen_on(self, address: str) -> None:
        """Listen on ``ip:port``."""

    def stop(self) -> None:
        """Accept no more connections."""
