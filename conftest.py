"""Deselects the tests listed in KNOWN-RED.txt and prints them at the end."""

import pathlib

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _known_red():
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if "::" in line.split(" ")[0]}


def pytest_collection_modifyitems(config, items):
    """Deselect the listed tests and no others."""
    known = _known_red()
    deselected = [item for item in items if item.nodeid in known]
    items[:] = [item for item in items if item.nodeid not in known]
    config.known_red = [item.nodeid for item in deselected]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter, config):
    """Print the deselected tests."""
    for nodeid in getattr(config, "known_red", []):
        terminalreporter.write_line(f"known red, not run: {nodeid}")
