"""Statements that clients of the soak send, from a seeded generator.

Explanation
===========

Each carries what a member must make of it, so that nobody has to parse its
text to check that.

"""

import dataclasses
import random

from burdockcart.request import command

Kind = command.CommandKind

PLAIN_SHAPES = ("q1", "q2c", "w_q2c", "r_q2c", "READ", "größe", "x" * 400)
#: Shapes that a member could mistake for another one, or for two fields.
SPACED_SHAPES = (
    "q2c a",
    "q2c b",
    "q  c",
    " q2c",
    "q2c ",
    "READ q2c",
    "WRITE w_q2c",
    "w_q2c a",
    "größe 漢字 " + "y" * 3000,
)
#: Names that collide between clients, and with names of the gateway.
NAMES = ("p1", "p2", "w_q2c", "r_q2c")
VALUE_NAMES = ("zone", "mode", "unit")
VALUES = ("1", "2", "3", "a b", " a", "a  ", "", "größe")
DATA = ("d", "d e  f", " d", "d ", "", "ärger", "COMMIT", "- x", "AFTER 1.1 R")


@dataclasses.dataclass(frozen=True)
class Statement:
    """One statement and what it means."""

    kind: command.CommandKind
    text: str
    shape: command.Shape | None = None
    item: str = ""
    data: str | None = None


BEGIN = Statement(Kind.BEGIN, "BEGIN")
COMMIT = Statement(Kind.COMMIT, "COMMIT")
ROLLBACK = Statement(Kind.ROLLBACK, "ROLLBACK")


def setting(name: str, value: str) -> Statement:
    """Return the statement that sets a session value."""
    return Statement(Kind.SET, f"SET {name} {value}")


def preparing(name: str, shape: command.Shape) -> Statement:
    """Return the statement that prepares a shape."""
    word = "WRITE" if shape.writes else "READ"
    return Statement(
        Kind.PREPARE, f"PREPARE {name} {word} {shape.text}", shape
    )


def deallocating(name: str) -> Statement:
    """Return the statement that forgets a prepared name."""
    return Statement(Kind.DEALLOCATE, f"DEALLOC {name}")


class Generator:
    """Draws statements.

    Parameters
    ==========

    plain_shapes : bool
        Whether no shape has a space.

    """

    def __init__(self, rng: random.Random, plain_shapes: bool):
        self._rng = rng
        spaced = () if plain_shapes else SPACED_SHAPES
        self._shapes = PLAIN_SHAPES + spaced

    def _item(self) -> str:
        """Return an item; some take the member longer."""
        rng = self._rng
        slow_ms = rng.choice([100, 300]) if rng.random() < 0.1 else 0
        prefix = f"slow-{slow_ms}-" if slow_ms else ""
        return f"{prefix}i{rng.randint(1, 20)}"

    def _data(self) -> str:
        rng = self._rng
        return rng.choice(DATA) if rng.random() < 0.5 else f"d{rng.random()}"

    def read(self) -> Statement:
        """Return a read."""
        item = self._item()
        return Statement(Kind.READ, f"READ {item}", item=item)

    def write(self) -> Statement:
        """Return a write."""
        item, data = self._item(), self._data()
        return Statement(
            Kind.WRITE, f"WRITE {item} {data}", item=item, data=data
        )

    def setting(self) -> tuple[str, str]:
        """Return name and value of a session value."""
        return self._rng.choice(VALUE_NAMES), self._rng.choice(VALUES)

    def preparing(self) -> tuple[str, command.Shape]:
        """Return a name and the shape to prepare."""
        rng = self._rng
        shape = command.Shape(rng.random() < 0.4, rng.choice(self._shapes))
        return rng.choice(NAMES), shape

    def execution(
        self, shape_by_name: dict[str, command.Shape]
    ) -> Statement | None:
        """Return an execution; None if nothing is prepared."""
        if not shape_by_name:
            return None
        rng = self._rng
        name = rng.choice(sorted(shape_by_name))
        shape, item = shape_by_name[name], self._item()
        text, data = f"EXECUTE {name} {item}", None
        if shape.writes or rng.random() < 0.3:
            data = self._data()
            text += f" {data}"
        return Statement(Kind.EXECUTE, text, shape, item, data)

    def with_line_end(self) -> Statement:
        """Return a statement with a line end inside, which must not run."""
        rng = self._rng
        end = rng.choice(["\r", "\n", "\n\r"])
        smuggled = f"QUERY smuggled-{rng.randrange(10**9)} WRITE i1 d"
        item = self._item()
        return Statement(Kind.WRITE, f"WRITE {item} d{end}{smuggled}")
