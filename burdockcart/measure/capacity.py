"""Figures of the capacity page, from measured slopes and the design size.

Explanation
===========

Each figure is a slope times a size.  The slopes come from docs/slopes, where
the measures write them; nothing here is measured.
"""

import itertools
import pathlib
from typing import Callable
from typing import Iterable

from burdockcart.measure import capacity_control
from burdockcart.measure import capacity_data
from burdockcart.measure import capacity_figure
from burdockcart.measure import size
from burdockcart.measure import slopes

BEGIN = "<!-- computed: begin -->"
END = "<!-- computed: end -->"


def load(folder: pathlib.Path) -> capacity_figure.Slopes:
    """Return all slope files."""
    names = ("executor", "membership", "statement", "tables")
    return {name: slopes.read(name, folder) for name in names}


_SECTIONS: tuple[
    Callable[
        [capacity_figure.Slopes, size.Size], list[capacity_figure.Figure]
    ],
    ...,
] = (
    capacity_control.membership,
    capacity_control.tables,
    capacity_data.executors,
    capacity_data.coordinators,
    capacity_data.connections,
    capacity_data.statements,
    capacity_control.store,
    capacity_control.churn,
)


def figures(
    all_slopes: capacity_figure.Slopes, at: size.Size = size.DESIGN
) -> list[capacity_figure.Figure]:
    """Return all figures of the page."""
    return list(
        itertools.chain.from_iterable(p(all_slopes, at) for p in _SECTIONS)
    )


def block(found: Iterable[capacity_figure.Figure]) -> str:
    """Return the computed part of the page."""
    head = (
        "| role | quantity | today's build | limit | holds | arithmetic | "
        "carried by |\n|---|---|---|---|---|---|---|"
    )
    return "\n".join([BEGIN, head, *(each.row() for each in found), END])


def update(page: str, computed: str) -> str:
    """Return the page with its computed part replaced.

    Raises
    ======

    ValueError
        The page lacks the markers around the computed part.

    """
    before, _, rest = page.partition(BEGIN)
    _, found, after = rest.partition(END)
    if not found:
        raise ValueError(f"the page lacks the markers {BEGIN} and {END}")
    return before + computed + after
