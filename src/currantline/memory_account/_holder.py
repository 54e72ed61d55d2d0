"""Holders of memory: connections, by the port that accepted them."""

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterator

import attrs

__all__ = ["EvictionReason", "Holder", "Kind", "Port"]


class Kind(enum.Enum):
    """What memory is held for."""

    CONNECTION = "connection"
    UNREAD = "unread"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    UNWRITTEN = "unwritten"

    # Identity hashes are several times faster, and members are compared by identity.
    __hash__ = object.__hash__


class EvictionReason(enum.Enum):
    """Why a connection is closed."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


@attrs.define(eq=False)
class Holder:
    """One connection.

    Parameters
    ----------
    port : Port
        Port that accepted it.
    evict : callable
        Closes the connection; called once with the reason. A connection that lingers
        afterwards may be evicted again.
    held : dict of Kind to int
        Bytes held by kind.
    total : int
        Sum of the bytes held.
    step : int
        Time of the last progress, in steps.
    requests : int
        Number of requests in progress.
    unmarked_bytes : int
        Bytes transferred since the last progress.
    """

    port: "Port"
    evict: Callable[[EvictionReason], object]
    held: dict[Kind, int] = attrs.field(factory=dict)
    total: int = 0
    step: int = 0
    requests: int = 0
    unmarked_bytes: int = 0
    is_lingering: bool = False
    is_evicted: bool = False
    is_open: bool = True
    queue: "OrderedDict[Holder, None] | None" = None


@attrs.define(eq=False)
class Port:
    """A listening port, or the answers of targets.

    Holders that are not evicted are in one of the queues, which are in the order of
    the last progress.

    Parameters
    ----------
    name : str
        Name for logs and metrics.
    max_connections : int or None
        Maximum number of connections that are open and not evicted.
    held : dict of Kind to int
        Bytes held by kind.
    lingering, light, heavy, answered, busy : OrderedDict
        Holders that were refused; that hold little; that hold much; whose peers have
        not taken all of their answers; and that have requests in progress.
    """

    name: str
    max_connections: int | None = None
    held: dict[Kind, int] = attrs.field(factory=lambda: dict.fromkeys(Kind, 0))
    lingering: "OrderedDict[Holder, None]" = attrs.field(factory=OrderedDict)
    light: "OrderedDict[Holder, None]" = attrs.field(factory=OrderedDict)
    heavy: "OrderedDict[Holder, None]" = attrs.field(factory=OrderedDict)
    answered: "OrderedDict[Holder, None]" = attrs.field(factory=OrderedDict)
    busy: "OrderedDict[Holder, None]" = attrs.field(factory=OrderedDict)

    @property
    def connections(self) -> int:
        """Number of connections that are open and not evicted."""
        queues = (self.lingering, self.light, self.heavy, self.answered, self.busy)
        return sum(map(len, queues))

    def iterate_active(self) -> Iterator[Holder]:
        """Yield the holders that may be making progress."""
        yield from self.heavy
        yield from self.answered
        yield from self.busy
