"""Differences between two configurations, by path."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

__all__ = ["Difference", "compare_documents"]

# The platform's documents have tables, entries and fields. Values below a field are
# compared as a whole.
MAX_PATH_KEYS = 3

ADDED, REMOVED, CHANGED = "added", "removed", "changed"


@attrs.frozen(kw_only=True)
class Difference:
    """Difference at one path.

    Parameters
    ----------
    kind : str
        ``added``, ``removed`` or ``changed``.
    path : str
        Path of keys to the value, joined by dots.
    old : object
        Value in force, None if added.
    new : object
        Value to be sent, None if removed.
    """

    kind: str
    path: str
    old: Any = None
    new: Any = None


def compare_documents(
    old: Mapping[str, Any], new: Mapping[str, Any], path: tuple[str, ...] = ()
) -> Iterator[Difference]:
    """Yield the differences between two parsed documents of limited depth.

    Tables and entries are compared by key and all other values as a whole.
    """
    for key in sorted({*old, *new}):
        inner = (*path, key)
        before, after = old.get(key), new.get(key)
        if key not in old:
            yield Difference(kind=ADDED, path=".".join(inner), new=after)
        elif key not in new:
            yield Difference(kind=REMOVED, path=".".join(inner), old=before)
        elif (
            isinstance(before, dict)
            and isinstance(after, dict)
            and len(inner) < MAX_PATH_KEYS
        ):
            yield from compare_documents(before, after, inner)
        # The text tells 1 from true, and NaN is equal to itself.
        elif _format(before) != _format(after):
            yield Difference(kind=CHANGED, path=".".join(inner), old=before, new=after)


def _format(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
