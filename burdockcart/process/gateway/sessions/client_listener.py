"""Client connections, as far as the application needs them."""

import enum
from typing import Iterable
from typing import Protocol

import msgspec

from burdockcart.connection import client_session
from burdockcart import ids


class Phase(enum.Enum):
    """What a client connection is doing."""

    STARTING = "starting"
    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    RUNNING = "running"
    ANSWERING = "answering"
    CLOSING = "closing"


class OpenRequest(msgspec.Struct, frozen=True):
    """A statement that was read and whose answer is not written yet.

    ``read_at`` is its time of arrival on the event loop's clock.
    """

    id: ids.StatementId
    kind: str
    read_at: float


class Client(Protocol):
    """Client connection, as far as shutdown and isolation need it."""

    @property
    def idle(self) -> bool:
        """Whether neither a statement nor a transaction is open."""

    @property
    def session(self) -> client_session.ClientSession | None:
        """The session, once it is open."""

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""

    @property
    def request(self) -> OpenRequest | None:
        """The statement that is not answered yet."""

    @property
    def closing(self) -> bool:
        """Whether the connection has been told to close."""

    def close_when_idle(self) -> None:
        """Close as soon as the client waits for no answer."""

    def end(self) -> None:
        """Close now; answer a running statement without its result."""


class ClientListener(Protocol):
    """Listener for client connections."""

    @property
    def connections(self) -> Iterable[Client]:
        """The open connections."""

    def listen_on(self, address: str) -> None:
        """Listen on ``ip:port``."""

    def stop(self) -> None:
        """Accept the connections that wait for it, and then no more."""
