"""Evidence of whether a target is draining."""

import math

import attrs

from currantline.load._observation import TargetState

__all__ = ["Evidence"]

NEVER = -math.inf


@attrs.define
class Evidence:
    """Evidence about one target.

    Each time is a maximum, so the result depends neither on the order of the
    observations nor on how often each one is received.

    Parameters
    ----------
    alive_sent : float
        Latest send time of a request whose response reported starting or ready.
    ready_sent : float
        Latest send time of a request whose response reported ready.
    drain_received : float
        Latest time of receipt of evidence of draining.
    is_listed_leaving : bool
        Whether the published list last named the target as leaving and has not named
        it as live since.
    """

    alive_sent: float = NEVER
    ready_sent: float = NEVER
    drain_received: float = NEVER
    is_listed_leaving: bool = False

    @property
    def is_draining(self) -> bool:
        """Whether the target is considered to be draining.

        A request sent before the evidence of draining was received may have been
        answered before the drain began, so only a later request ends the drain.
        """
        if self.is_listed_leaving:
            return True
        return self.drain_received > NEVER and self.drain_received >= self.ready_sent

    @property
    def observed_at(self) -> float:
        """Time of the latest evidence that the target is alive or draining."""
        return max(self.alive_sent, self.drain_received)

    def add(self, state: TargetState, *, sent: float, received: float) -> None:
        """Add the state that a target reported."""
        if state is TargetState.DRAINING:
            self.drain_received = max(self.drain_received, received)
        elif state is not TargetState.UNKNOWN:
            self.alive_sent = max(self.alive_sent, sent)
        if state is TargetState.READY:
            self.ready_sent = max(self.ready_sent, sent)

    def discard_alive(self) -> None:
        """Discard evidence that allows new work; keep evidence of draining."""
        self.alive_sent = NEVER
        self.ready_sent = NEVER

    def set_listed_leaving(self, *, is_leaving: bool) -> None:
        """Apply the state in the published list."""
        if self.is_listed_leaving and not is_leaving:
            # New work still needs evidence no older than evidence_ms, so a stale list
            # cannot admit work to a target that is draining again.
            self.drain_received = NEVER
        self.is_listed_leaving = is_leaving

    def age_ms(self, now: float) -> float:
        """Return the age of the evidence against draining; infinite without any."""
        return now - self.alive_sent

    def state(self, now: float, evidence_ms: float) -> TargetState:
        """Return the state implied by the evidence."""
        if self.is_draining:
            return TargetState.DRAINING
        if self.age_ms(now) > evidence_ms:
            return TargetState.UNKNOWN
        if self.ready_sent >= self.alive_sent:
            return TargetState.READY
        return TargetState.STARTING
