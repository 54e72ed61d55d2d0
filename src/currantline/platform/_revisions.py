"""Revisions of the store, ordered over its returns from older copies.

The store assigns revision numbers again after a return, so a number alone does not
order two states. All other code uses one integer, whose high part is the era of the
store and whose low part is the number. Eras and numbers are put together and taken
apart in this module only. In era 0, revisions equal the store's numbers.
"""

import re

from currantline.exceptions import PlatformError

__all__ = [
    "REVISION_PATTERN",
    "compose_revision",
    "describe_revision",
    "find_era",
    "find_era_start",
    "find_number",
    "parse_era",
]

NUMBER_BITS = 64
MAX_NUMBER = (1 << NUMBER_BITS) - 1

# The store counts its returns. 18 digits keep revisions below 2 ** 124.
ERA_PATTERN = re.compile(r"[0-9]{1,18}")

# Text form of a revision; 2 ** 124 has 38 digits.
REVISION_PATTERN = re.compile(r"[0-9]{1,38}")


def compose_revision(era: int, number: object) -> int:
    """Return the revision for an era and the number that the store states.

    Raises
    ------
    PlatformError
        If the number is not an integer that the store can assign.
    """
    # bool is a subclass of int.
    if not isinstance(number, int) or isinstance(number, bool):
        raise PlatformError(f"invalid revision in the response: {number!r:.80}")
    if not 0 <= number <= MAX_NUMBER:
        raise PlatformError(f"revision out of range: {number!r:.80}")
    return era << NUMBER_BITS | number


def find_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def find_number(revision: int) -> int:
    """Return the store's number of a revision."""
    return revision & MAX_NUMBER


def find_era_start(revision: int) -> int:
    """Return the lowest revision in the era of a revision.

    All revisions of earlier eras are lower.
    """
    return find_era(revision) << NUMBER_BITS


def describe_revision(revision: int) -> dict[str, int]:
    """Return the era and the number of a revision as fields of a log line."""
    return {"era": find_era(revision), "revision": find_number(revision)}


def parse_era(value: str | None) -> int:
    """Parse the header that states the era; a store without it is in era 0.

    Raises
    ------
    PlatformError
        If the header is malformed.
    """
    if value is None:
        return 0
    if not ERA_PATTERN.fullmatch(value):
        raise PlatformError(f"invalid era in the response: {value!r:.80}")
    return int(value)
