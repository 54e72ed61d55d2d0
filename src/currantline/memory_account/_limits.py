"""Costs of what is counted, and limits that follow from the machine."""

import attrs

__all__ = [
    "CONNECTION_BYTES",
    "REQUEST_BYTES",
    "ConnectionLimits",
    "find_connection_limits",
    "find_head_bytes",
    "find_max_bytes",
]

# Cost of an open connection: 9.1 KB of objects, and the 4 KiB of received bytes that
# are not counted one by one.
CONNECTION_BYTES = 16 * 1024

# Cost of a request in progress besides its head and body: 14 KB while it waits for a
# target, and the connection to the target, of which a second send has another one.
REQUEST_BYTES = 24 * 1024

# Cost of a decoded header field besides the characters of its name and value. Fields
# with distinct short names and values take 167 bytes each.
FIELD_BYTES = 176

# Memory of the program (27 MB idle, without a fleet) and of the records of the fleet.
PROGRAM_BYTES = 50_000_000

# Share of the rest that may be counted. Buffers that grow, gaps between objects, one
# head while it is parsed, and answers between two counts took up to 0.44 of the bound
# in the tests with hostile callers.
COUNTED_SHARE = 0.6

# The tests run instances on machines that are smaller than any in use.
MIN_BYTES = 16_000_000

# Descriptors of files, of the 200 that the platform counts for them.
FILE_DESCRIPTORS = 200

# Shares of the other descriptors. The rest is for callers, each of which may need a
# connection to a target, or two while its request is sent a second time.
TARGET_SHARE = 2.5
DIRECTORY_SHARE = 8
PEER_SHARE = 16
ENDPOINT_SHARE = 64

# An instance is called by at most all others at once, 125 in the largest fleet.
MAX_PEER_CONNECTIONS = 256

# The readiness and metrics ports are polled by a few programs of the platform.
MIN_ENDPOINT_CONNECTIONS = 8
MAX_ENDPOINT_CONNECTIONS = 64


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Maximum numbers of accepted connections by port.

    Parameters
    ----------
    callers : int
        Connections of callers.
    directory : int
        Connections to the directory.
    peers : int
        Connections to each of the two ports for other instances.
    endpoints : int
        Connections to each of the readiness and metrics ports.
    """

    callers: int
    directory: int
    peers: int
    endpoints: int


def find_max_bytes(memory_bytes: int) -> int:
    """Return the memory that all connections may hold.

    Parameters
    ----------
    memory_bytes : int
        Memory of the machine.

    Examples
    --------
    >>> [find_max_bytes(size * 1_000_000) // 1_000_000 for size in (60, 200, 552)]
    [16, 90, 301]
    """
    return max(MIN_BYTES, int(COUNTED_SHARE * (memory_bytes - PROGRAM_BYTES)))


def find_connection_limits(max_descriptors: int) -> ConnectionLimits:
    """Return the maximum numbers of connections.

    Parameters
    ----------
    max_descriptors : int
        Descriptors of the process.

    Examples
    --------
    >>> limits = find_connection_limits(4_100)
    >>> limits.callers, limits.directory, limits.peers, limits.endpoints
    (1247, 487, 243, 60)
    """
    free = max(max_descriptors - FILE_DESCRIPTORS, max_descriptors // 2)
    directory = max(1, free // DIRECTORY_SHARE)
    peers = max(1, min(MAX_PEER_CONNECTIONS, free // PEER_SHARE))
    endpoints = min(
        MAX_ENDPOINT_CONNECTIONS, max(MIN_ENDPOINT_CONNECTIONS, free // ENDPOINT_SHARE)
    )
    own = directory + 2 * peers + 2 * endpoints
    return ConnectionLimits(
        callers=max(1, free - int(free / TARGET_SHARE) - own),
        directory=directory,
        peers=peers,
        endpoints=endpoints,
    )


def find_head_bytes(text_bytes: int, fields: int) -> int:
    """Return the memory of a decoded head.

    Parameters
    ----------
    text_bytes : int
        Size of the target, and of the names and values of all fields.
    fields : int
        Number of fields.
    """
    return text_bytes + FIELD_BYTES * fields
