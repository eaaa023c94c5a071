"""Overlap of the shell-style patterns that routes match with.

Explanation
===========

A pattern is parsed into elements: ``*`` or a set of characters, which may be
negated.  Two patterns overlap if a text exists that both match.
"""

import functools
from typing import NamedTuple

MAX_PATTERN_LENGTH = 256
WILDCARDS = "*?["


class Characters(NamedTuple):
    """One character out of a set, or out of all others if ``negated``."""

    negated: bool
    members: frozenset[str]

    def overlaps(self, other: "Characters") -> bool:
        """Return whether a character is in both sets."""
        if self.negated and other.negated:
            return True
        if self.negated:
            return bool(other.members - self.members)
        if other.negated:
            return bool(self.members - other.members)
        return bool(self.members & other.members)


STAR = None
_Element = Characters | None


def pattern_fault(pattern: str) -> str | None:
    """Return what is wrong with a pattern, or None."""
    if not pattern:
        return "empty pattern; use '*' to match everything"
    if len(pattern) > MAX_PATTERN_LENGTH:
        return f"pattern longer than {MAX_PATTERN_LENGTH} characters"
    if not pattern.isprintable():
        return "pattern contains control characters"
    try:
        _elements(pattern)
    except ValueError as error:
        return str(error)
    return None


def is_literal(pattern: str) -> bool:
    """Return whether a pattern matches one text only."""
    return not any(character in WILDCARDS for character in pattern)


def _class(body: str) -> Characters:
    negated = body.startswith("!")
    body = body[1:] if negated else body
    members, at = set(), 0
    while at < len(body):
        if body[at + 1 : at + 2] == "-" and at + 2 < len(body):
            first, last = ord(body[at]), ord(body[at + 2])
            if first > last:
                raise ValueError(f"empty range in '[{body}]'")
            members |= {chr(code) for code in range(first, last + 1)}
            at += 3
        else:
            members.add(body[at])
            at += 1
    return Characters(negated, frozenset(members))


@functools.lru_cache(4096)
def _elements(pattern: str) -> tuple[_Element, ...]:
    found: list[_Element] = []
    at = 0
    while at < len(pattern):
        character = pattern[at]
        if character == "*":
            found.append(STAR)
        elif character == "?":
            found.append(Characters(True, frozenset()))
        elif character == "[":
            first = at + (2 if pattern[at + 1 : at + 2] == "!" else 1)
            end = pattern.find("]", first + 1)
            if end < 0:
                raise ValueError("'[' without ']'")
            found.append(_class(pattern[at + 1 : end]))
            at = end
        else:
            found.append(Characters(False, frozenset(character)))
        at += 1
    return tuple(found)


def overlap(one: str, other: str) -> bool:
    """Return whether some text matches both patterns.

    Examples
    ========

    >>> from burdockcart.version import patterns
    >>> patterns.overlap("map-*", "*-push")
    True
    >>> patterns.overlap("map-?", "map-10")
    False

    """
    if is_literal(one) and is_literal(other):
        return one == other
    left, right = _elements(one), _elements(other)
    # Reachable pairs of positions; a set instead of recursion, so that long
    # patterns do not exceed the recursion limit.
    open_pairs, seen = [(0, 0)], set()
    while open_pairs:
        pair = open_pairs.pop()
        if pair in seen:
            continue
        seen.add(pair)
        if pair == (len(left), len(right)):
            return True
        open_pairs += _steps(left, right, *pair)
    return False


def _steps(
    left: tuple[_Element, ...],
    right: tuple[_Element, ...],
    i: int,
    j: int,
) -> list[tuple[int, int]]:
    steps = []
    left_star = i < len(left) and left[i] is STAR
    right_star = j < len(right) and right[j] is STAR
    if left_star:
        steps.append((i + 1, j))
        if j < len(right):
            steps.append((i, j + 1))
    if right_star:
        steps.append((i, j + 1))
        if i < len(left):
            steps.append((i + 1, j))
    if steps or i >= len(left) or j >= len(right):
        return steps
    one, other = left[i], right[j]
    if one is not None and other is not None and one.overlaps(other):
        steps.append((i + 1, j + 1))
    return steps
