"""Files of measured slopes, which the capacity page is computed from."""

import json
import pathlib
from typing import Any

FOLDER = pathlib.Path("docs") / "slopes"


def write(name: str, content: dict[str, Any], report: pathlib.Path) -> None:
    """Replace the given keys of a slope file.

    The file goes to docs/slopes in a checkout, else to the report's folder.

    """
    folder = FOLDER if FOLDER.parent.is_dir() else report
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    try:
        known = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        known = {}
    text = json.dumps({**known, **content}, indent=2, sort_keys=True)
    path.write_text(text + "\n", encoding="utf-8")


def read(name: str, folder: pathlib.Path = FOLDER) -> dict[str, Any]:
    """Return the content of a slope file."""
    path = folder / f"{name}.json"
    return json.loads(path.read_text(encoding="utf-8"))
