"""Circuit breaker of one target."""

import random

import attrs

__all__ = ["Circuit"]

# Five in a row: a target that fails every request is found after five requests,
# and one that sheds half of them under overload rarely opens the circuit.
OPEN_AFTER = 5
FIRST_BACKOFF_MS = 500.0
LONGEST_BACKOFF_MS = 30_000.0
# One good trial may be luck; the backoff starts anew only after this many.
FORGET_AFTER = 8


@attrs.define
class Circuit:
    """Circuit breaker that counts failures and sheds.

    Parameters
    ----------
    is_open : bool
        Whether the circuit is open or half-open.
    until : float
        Time at which it becomes half-open, in milliseconds of the clock.
    """

    is_open: bool = False
    until: float = 0.0
    _bad: int = attrs.field(default=0, init=False)
    _good: int = attrs.field(default=0, init=False)
    _backoff_ms: float = attrs.field(default=FIRST_BACKOFF_MS, init=False)

    def is_half_open(self, now: float) -> bool:
        """Return whether one trial request may run."""
        return self.is_open and now >= self.until

    def record_good(self, sent: float) -> None:
        """Count a good answer."""
        if self.is_open:
            # A request sent before the trial says nothing about the present.
            if sent < self.until:
                return
            self.is_open = False
            self._good = 0
        self._bad = 0
        self._good += 1
        if self._good >= FORGET_AFTER:
            self._backoff_ms = FIRST_BACKOFF_MS

    def record_bad(
        self, sent: float, now: float, rng: random.Random, *, may_open: bool
    ) -> None:
        """Count a failure or a shed, and open the circuit after enough of them."""
        if self.is_open:
            if sent >= self.until:
                self._open(now, rng)
            return
        self._bad += 1
        self._good = 0
        if self._bad >= OPEN_AFTER and may_open:
            self._open(now, rng)

    def _open(self, now: float, rng: random.Random) -> None:
        self.is_open = True
        self.until = now + self._backoff_ms * rng.uniform(0.5, 1.0)
        self._backoff_ms = min(2 * self._backoff_ms, LONGEST_BACKOFF_MS)
