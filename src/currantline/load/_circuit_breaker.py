"""Circuit breaker for one target."""

import random

import attrs

__all__ = ["CircuitBreaker"]

# Consecutive failures. A target that fails every request is detected after five
# requests, and one that sheds half of them under overload rarely opens the circuit.
OPEN_AFTER_FAILURES = 5
INITIAL_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 30_000.0
# Successes in a row. A single successful trial may be chance, so the backoff is reset
# only after this many.
RESET_BACKOFF_AFTER = 8


@attrs.define
class CircuitBreaker:
    """Circuit breaker that counts consecutive failures and shed requests.

    Parameters
    ----------
    is_open : bool
        Whether the circuit is open or half-open.
    half_open_at : float
        Time at which the circuit becomes half-open, in milliseconds of the clock.
    """

    is_open: bool = False
    half_open_at: float = 0.0
    _failures: int = attrs.field(default=0, init=False)
    _successes: int = attrs.field(default=0, init=False)
    _backoff_ms: float = attrs.field(default=INITIAL_BACKOFF_MS, init=False)

    def is_half_open(self, now: float) -> bool:
        """Return whether one trial request may be sent."""
        return self.is_open and now >= self.half_open_at

    def record_success(self, sent: float) -> None:
        """Record a successful request."""
        if self.is_open:
            # A request sent before the trial does not show the current state.
            if sent < self.half_open_at:
                return
            self.is_open = False
            self._successes = 0
        self._failures = 0
        self._successes += 1
        if self._successes >= RESET_BACKOFF_AFTER:
            self._backoff_ms = INITIAL_BACKOFF_MS

    def record_failure(
        self, sent: float, now: float, rng: random.Random, *, may_open: bool
    ) -> None:
        """Record a failed or shed request; open the circuit after enough of them."""
        if self.is_open:
            if sent >= self.half_open_at:
                self._open(now, rng)
            return
        self._failures += 1
        self._successes = 0
        if self._failures >= OPEN_AFTER_FAILURES and may_open:
            self._open(now, rng)

    def _open(self, now: float, rng: random.Random) -> None:
        self.is_open = True
        self.half_open_at = now + self._backoff_ms * rng.uniform(0.5, 1.0)
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
