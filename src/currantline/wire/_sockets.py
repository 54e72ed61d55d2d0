"""Options and state of the sockets of connections."""

import fcntl
import socket
import sys
import termios

__all__ = ["count_unacknowledged", "set_keep_alive", "set_write_timeout"]

# Unanswered keep-alive probes after which the kernel drops a connection.
KEEP_ALIVE_PROBES = 2


def set_keep_alive(sock: socket.socket, timeout_ms: int) -> None:
    """Let the kernel drop a connection whose peer answers no probes.

    It probes only while all written bytes are acknowledged.

    Parameters
    ----------
    sock : socket.socket
        Socket of the connection.
    timeout_ms : int
        Maximum time without an answer, in milliseconds.
    """
    idle_s = max(1, timeout_ms // 2000)
    interval_s = max(1, (timeout_ms // 1000 - idle_s) // KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def set_write_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Let the kernel drop a connection whose peer takes no written bytes.

    Linux does so even if the peer is alive and only reads nothing, because it also
    counts the time for which the peer's receive window is closed.

    Parameters
    ----------
    sock : socket.socket
        Socket of the connection.
    timeout_ms : int
        Maximum time without progress, in milliseconds.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def count_unacknowledged(sock: socket.socket) -> int:
    """Return how many written bytes the peer has not acknowledged, 0 if unknown."""
    if sock.fileno() < 0:
        return 0
    try:
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # Not every system supports this for sockets.
        return 0
    return int.from_bytes(size, sys.byteorder)
