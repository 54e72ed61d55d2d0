"""Which request goes next, and which is refused."""

from currantline.admission._work import Work

__all__ = ["Work"]
