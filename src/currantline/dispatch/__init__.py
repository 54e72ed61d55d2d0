"""Which slot of which target a request gets."""

from currantline.dispatch._local import LocalPlacement

__all__ = ["LocalPlacement"]
