"""Settings of the C library's memory allocator."""

import ctypes

__all__ = ["LARGE_BLOCK_BYTES", "return_free_pages", "return_large_blocks"]

# Parameter of mallopt(3), see malloc.h of the GNU C library.
M_MMAP_THRESHOLD = -3

# Size in bytes from which a block is mapped on its own.
LARGE_BLOCK_BYTES = 128 * 1024


def return_large_blocks() -> bool:
    """Let the allocator return large blocks to the system once they are free.

    By default the GNU C library raises the size from which it does so, up to 32 MB, as
    soon as such a block is freed. Bodies then leave gaps in the heap, which takes up to
    twice the memory that is in use.

    Returns
    -------
    bool
        False if the C library has no such setting.
    """
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    return set_option is not None and bool(
        set_option(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    )


def return_free_pages() -> bool:
    """Return the free pages of the heap to the system.

    Smaller blocks leave gaps in the heap, which large blocks cannot use.

    Returns
    -------
    bool
        False if the C library has no such function.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    return trim is not None and bool(trim(0))
