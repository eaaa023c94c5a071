"""One figure of the capacity page and its row."""

import dataclasses
from typing import Any

Slopes = dict[str, dict[str, Any]]


@dataclasses.dataclass(frozen=True)
class Figure:
    """One row of the page.

    Parameters
    ==========

    arithmetic : str
        The slope and the sizes that were multiplied.
    limit : float or None
        Upper bound of the design; None if the requirements set none.
    carried_by : str
        Mechanism that handles the load, or that is still to be built.

    """

    role: str
    quantity: str
    value: float
    unit: str
    arithmetic: str
    carried_by: str
    limit: float | None = None

    @property
    def holds(self) -> bool:
        """Return whether the current build stays within the limit."""
        return self.limit is None or self.value <= self.limit

    def row(self) -> str:
        """Return the row of the Markdown table."""
        limit = "-" if self.limit is None else f"{self.limit:,.6g}"
        verdict = "yes" if self.holds else "**no**"
        if self.limit is None:
            verdict = "-"
        return (
            f"| {self.role} | {self.quantity} | {self.value:,.4g} "
            f"{self.unit} | {limit} | {verdict} | {self.arithmetic} | "
            f"{self.carried_by} |"
        )
