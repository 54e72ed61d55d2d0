"""Rendezvous hashing."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank", "rendezvous_score"]


def rendezvous_score(key: str, name: str) -> int:
    """Return the score of a name for a key.

    Parameters
    ----------
    key : str
        Key to assign.
    name : str
        Name of a candidate.

    Returns
    -------
    int
        64-bit score, the same in every process.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their score for a key.

    Examples
    --------
    >>> sorted(rank("ordering", ["a", "b", "c"]))
    ['a', 'b', 'c']
    >>> rank("ordering", ["a", "b", "c"]) == rank("ordering", ["c", "b", "a"])
    True
    """
    return sorted(names, key=lambda name: (-rendezvous_score(key, name), name))
