"""Result of a measure and its printed line."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Line:
    """One measured value with its bound.

    Parameters
    ==========

    value, naive, bound : float or None
        Numbers without a unit; None prints as ``-``.
    extra : dict
        Further key=value pairs, for example ``daemons``.

    """

    measure: str
    deployment: str
    value: float
    bound: float | None
    holds: bool
    seed: int
    naive: float | None = None
    extra: dict[str, object] = dataclasses.field(default_factory=dict)

    def __str__(self) -> str:
        """Return the line that ``burdockcart measure`` prints.

        Examples
        ========

        >>> from burdockcart.measure import line
        >>> print(line.Line("crest_goodput", "weather", 0.93, 0.9, True, 7))
        measure=crest_goodput deployment=weather value=0.93 naive=- \
bound=0.9 holds=yes seed=7

        """
        fields = {
            "measure": self.measure,
            "deployment": self.deployment,
            "value": _number(self.value),
            "naive": _number(self.naive),
            "bound": _number(self.bound),
            "holds": "yes" if self.holds else "no",
            "seed": self.seed,
            **self.extra,
        }
        return " ".join(f"{key}={value}" for key, value in fields.items())


def _number(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"
