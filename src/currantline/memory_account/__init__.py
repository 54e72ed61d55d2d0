"""Account of the memory and descriptors that connections hold."""

from currantline.memory_account._account import MemoryAccount
from currantline.memory_account._holder import (
    EvictionReason,
    Holder,
    Kind,
    Port,
)
from currantline.memory_account._limits import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    ConnectionLimits,
    find_connection_limits,
    find_head_bytes,
    find_max_bytes,
)

__all__ = [
    "CONNECTION_BYTES",
    "REQUEST_BYTES",
    "ConnectionLimits",
    "EvictionReason",
    "Holder",
    "Kind",
    "MemoryAccount",
    "Port",
    "find_connection_limits",
    "find_head_bytes",
    "find_max_bytes",
]
