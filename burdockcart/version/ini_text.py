"""Sections, keys and line numbers of an INI table file."""

import configparser
import dataclasses
import pathlib

from returns import result

from burdockcart.version import row_checks

#: 40,000 pools of one group and as many routes take 9 MB.
MAX_FILE_BYTES = 32 * 1024 * 1024
#: A section header cannot contain this name, so ``[DEFAULT]`` gets no special
#: meaning and cannot change every row at once.
_NO_DEFAULTS = "\n"


@dataclasses.dataclass(frozen=True)
class Document:
    """Values by section, and the line of each section and key.

    The key ``-`` stands for the line of the section header.
    """

    values_by_section: dict[str, dict[str, str]]
    line_by_place: dict[tuple[str, str], int]


ParseResult = result.Result[Document, list[row_checks.Fault]]


def read_text(
    path: pathlib.Path, table: str
) -> result.Result[str, list[row_checks.Fault]]:
    """Return the text of a file, or why it can't be read."""

    def failed(message: str, line: int = 0) -> result.Failure:
        fault = row_checks.Fault(table, "-", "-", message, line)
        return result.Failure([fault])

    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return failed(f"{path.name}: {error.strerror}")
    if len(data) > MAX_FILE_BYTES:
        return failed(f"{path.name}: larger than {MAX_FILE_BYTES} bytes")
    try:
        return result.Success(data.decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return failed(f"byte {error.start} is not UTF-8", line)


def parse(text: str, table: str) -> ParseResult:
    """Return the sections of a text, or its syntax errors."""
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        default_section=_NO_DEFAULTS,
        empty_lines_in_values=False,
    )
    # Keys keep their case; group ids are part of a key.
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Failure(_syntax_faults(error, table))
    values = {name: dict(parser.items(name)) for name in parser.sections()}
    if not values:
        fault = row_checks.Fault(table, "-", "-", "file has no section")
        return result.Failure([fault])
    return result.Success(Document(values, _line_numbers(text)))


def _syntax_faults(
    error: configparser.Error, table: str
) -> list[row_checks.Fault]:
    def fault(section: str, key: str, text: str, line: int | None):
        return row_checks.Fault(table, section, key, text, line or 0)

    match error:
        case configparser.DuplicateSectionError():
            text = "section appears twice"
            return [fault(error.section, "-", text, error.lineno)]
        case configparser.DuplicateOptionError():
            text = "key appears twice"
            return [fault(error.section, error.option, text, error.lineno)]
        case configparser.MissingSectionHeaderError():
            text = f"no [section] before {error.line.strip()[:60]!r}"
            return [fault("-", "-", text, error.lineno)]
        case configparser.ParsingError():
            return [
                fault("-", "-", f"expected key = value, got {line[:60]}", at)
                for at, line in error.errors
            ]
    return [fault("-", "-", str(error), 0)]


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    line_by_place: dict[tuple[str, str], int] = {}
    section = "-"
    for number, line in enumerate(text.split("\n"), 1):
        header = configparser.ConfigParser.SECTCRE.match(line.strip())
        if header and not line[:1].isspace():
            section = header["header"]
            line_by_place[section, "-"] = number
        elif "=" in line and not line[:1].isspace():
            key = line.partition("=")[0].strip()
            line_by_place.setdefault((section, key), number)
    return line_by_place
