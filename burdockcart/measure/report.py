"""Plots and data files that measures write to the report folder."""

import json
import pathlib

from hdrh import histogram
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 100)


def distribution(
    folder: pathlib.Path,
    name: str,
    title: str,
    histogram_by_label: dict[str, histogram.HdrHistogram],
) -> None:
    """Write ``<name>.json`` and a plot of the percentiles ``<name>.png``.

    Parameters
    ==========

    histogram_by_label : dict
        Histograms of microseconds; empty ones are left out.

    """
    rows = {
        label: [
            values.get_value_at_percentile(percent) / 1000
            for percent in PERCENTILES
        ]
        for label, values in histogram_by_label.items()
        if values.get_total_count()
    }
    data = {"percentiles": PERCENTILES, "unit": "ms", "values": rows}
    (folder / f"{name}.json").write_text(json.dumps(data, indent=1))
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for label, row in rows.items():
        axes.plot([str(each) for each in PERCENTILES], row, label=label)
    axes.set(xlabel="percentile", ylabel="ms", title=title, yscale="log")
    if rows:
        axes.legend()
    figure.tight_layout()
    figure.savefig(folder / f"{name}.png", dpi=100)
    pyplot.close(figure)


def series(
    folder: pathlib.Path,
    name: str,
    title: str,
    points_by_label: dict[str, list[tuple[float, float]]],
) -> None:
    """Write a plot of values over time ``<name>.png``."""
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for label, points in points_by_label.items():
        axes.plot([x for x, _ in points], [y for _, y in points], label=label)
    axes.set(xlabel="s", title=title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(folder / f"{name}.png", dpi=100)
    pyplot.close(figure)
