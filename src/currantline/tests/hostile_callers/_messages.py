"""Requests as hostile callers send them, in pieces."""

from collections.abc import Iterator

__all__ = [
    "MANY_FIELDS",
    "SHORT_FIELD",
    "SMALL_PIECE_BYTES",
    "make_head",
    "send_chunks",
    "send_fields",
    "send_pipelined",
    "send_stated",
]

# Fields of a head of 15,200 bytes, less than the 16,384 that the configuration allows.
MANY_FIELDS = 3800
SHORT_FIELD = b"a:\r\n"

# Sizes of the pieces that are handed to a socket.
PIECE_BYTES, SMALL_PIECE_BYTES = 65_536, 4096

# Number of bytes by which a message stops short of its end.
MISSING_BYTES = 10


def make_head(method: str, path: str, *fields: str) -> bytes:
    """Return a head without the empty line at its end."""
    lines = (f"{method} {path} HTTP/1.1", "host: shop.example", *fields)
    return "".join(f"{line}\r\n" for line in lines).encode()


def send_stated(
    path: str, size: int, *, sent: int | None = None, piece: int = PIECE_BYTES
) -> Iterator[bytes]:
    """Return the pieces of a request with a body of a stated size.

    Parameters
    ----------
    path : str
        Path of the request.
    size : int
        Stated size of the body in bytes.
    sent : int, optional
        Number of bytes that are sent; a few bytes less than stated by default.
    piece : int
        Size of the pieces in bytes.
    """
    yield make_head("POST", path, f"content-length: {size}") + b"\r\n"
    left = size - MISSING_BYTES if sent is None else sent
    while left > 0:
        yield bytes(min(piece, left))
        left -= piece


def send_chunks(path: str, size: int, *, chunk: int = 4096) -> Iterator[bytes]:
    """Return the pieces of a request with a body in chunks that has no last chunk."""
    yield make_head("POST", path, "transfer-encoding: chunked") + b"\r\n"
    encoded = f"{chunk:x}\r\n".encode() + bytes(chunk) + b"\r\n"
    per_piece = max(1, PIECE_BYTES // chunk)
    for _ in range(0, size, chunk * per_piece):
        yield encoded * per_piece


def send_fields(path: str, *, end: bytes = b"\r\n", method: str = "GET") -> bytes:
    """Return a head of many short fields with the bytes that end it, if any."""
    return make_head(method, path) + SHORT_FIELD * MANY_FIELDS + end


def send_pipelined(request: bytes, count: int) -> Iterator[bytes]:
    """Return the pieces of a request that is sent many times."""
    per_piece = max(1, PIECE_BYTES // len(request))
    for first in range(0, count, per_piece):
        yield request * min(per_piece, count - first)
