"""Evidence that a target is or is not draining."""

import math

import attrs

from currantline.load._observation import TargetState

__all__ = ["Evidence"]

NEVER = -math.inf


@attrs.define
class Evidence:
    """Evidence about one target.

    Each field is a maximum, so the result does not depend on the order in which
    observations arrive, nor on how often each arrives.

    Parameters
    ----------
    alive_sent : float
        Latest sending time of a request that was answered as starting or ready.
    ready_sent : float
        Latest sending time of a request that was answered as ready.
    drain_received : float
        Latest time at which evidence of draining was received.
    is_listed_leaving : bool
        Whether the published list named the target leaving, and not live since.
    """

    alive_sent: float = NEVER
    ready_sent: float = NEVER
    drain_received: float = NEVER
    is_listed_leaving: bool = False

    @property
    def is_draining(self) -> bool:
        """Whether evidence of draining stands.

        A request sent before that evidence was received may have been answered
        before the drain began, so only a later one ends it.
        """
        if self.is_listed_leaving:
            return True
        return self.drain_received > NEVER and self.drain_received >= self.ready_sent

    @property
    def observed_at(self) -> float:
        """Time of the latest evidence of either kind."""
        return max(self.alive_sent, self.drain_received)

    def add(self, state: TargetState, *, sent: float, received: float) -> None:
        """Add what a target said of itself."""
        if state is TargetState.DRAINING:
            self.drain_received = max(self.drain_received, received)
        elif state is not TargetState.UNKNOWN:
            self.alive_sent = max(self.alive_sent, sent)
        if state is TargetState.READY:
            self.ready_sent = max(self.ready_sent, sent)

    def discard_alive(self) -> None:
        """Forget what allows new work and keep what forbids it."""
        self.alive_sent = NEVER
        self.ready_sent = NEVER

    def set_listed_leaving(self, *, is_leaving: bool) -> None:
        """Take over the state in the published list."""
        if self.is_listed_leaving and not is_leaving:
            # New work still needs evidence younger than evidence_ms, so a lagging
            # list cannot admit work to a target that drains again.
            self.drain_received = NEVER
        self.is_listed_leaving = is_leaving

    def age_ms(self, now: float) -> float:
        """Return the age of the evidence against draining, infinite for none."""
        return now - self.alive_sent

    def state(self, now: float, evidence_ms: float) -> TargetState:
        """Return the state that the evidence supports."""
        if self.is_draining:
            return TargetState.DRAINING
        if self.age_ms(now) > evidence_ms:
            return TargetState.UNKNOWN
        if self.ready_sent >= self.alive_sent:
            return TargetState.READY
        return TargetState.STARTING
