"""Choice of the instance that issues the permits of a target."""

import zlib
from collections.abc import Iterable

from currantline.placement import PublishedTarget

__all__ = ["choose_issuer", "format_key", "parse_name"]


def format_key(entry: PublishedTarget) -> str:
    """Return the key of one start of a target.

    A target that was replaced or restarted knows nothing of earlier limits.
    """
    return f"{entry.name}@{entry.started_unix_ms}@{entry.address}"


def parse_name(key: str) -> str:
    """Return the name of the target in a key.

    Examples
    --------
    >>> parse_name("t@7@10.0.0.1:80")
    't'
    """
    return key.rsplit("@", 2)[0]


def choose_issuer(key: str, hosts: Iterable[str]) -> str | None:
    """Return the host that issues the permits of a target, None without hosts.

    All instances that know the same hosts choose the same one, and a change of one host
    moves only the targets of that host (rendezvous hashing).

    Examples
    --------
    >>> choose_issuer("t@1", ["a", "b"]) == choose_issuer("t@1", ["b", "a"])
    True
    """
    return max(
        hosts,
        key=lambda host: (zlib.crc32(f"{host}\0{key}".encode()), host),
        default=None,
    )
