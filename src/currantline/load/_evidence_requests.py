"""Which instances to ask for evidence about which targets."""

from collections.abc import Iterable, Mapping

__all__ = ["EvidenceRequestSchedule"]

# A peer that has no evidence may have it after its next probe; asking more often
# would not bring it sooner.
INTERVAL_MS = 500.0


class EvidenceRequestSchedule:
    """Spreads questions over peers and over time.

    Parameters
    ----------
    interval_ms : float
        Shortest time between two questions to one peer, in milliseconds.
    """

    def __init__(self, interval_ms: float = INTERVAL_MS) -> None:
        self._interval_ms = interval_ms
        self._requested_at: dict[str, float] = {}

    def reset(self) -> None:
        """Let every peer be asked at once, as after a change of owner."""
        self._requested_at = {}

    def choose(
        self, sources: Mapping[str, Iterable[str]], now: float
    ) -> dict[str, tuple[str, ...]]:
        """Return the questions that are due.

        Parameters
        ----------
        sources : mapping of str to iterable of str
            For each target whose evidence is missing, the peers that may have it.
        now : float
            Time in milliseconds of the clock.

        Returns
        -------
        dict of str to tuple of str
            Targets to ask each peer for, all in one message.
        """
        oldest = now - self._interval_ms
        self._requested_at = {
            p: at for p, at in self._requested_at.items() if at > oldest
        }
        requests: dict[str, list[str]] = {}
        for target, peers in sources.items():
            for peer in peers:
                if peer not in self._requested_at:
                    requests.setdefault(peer, []).append(target)
        self._requested_at.update(dict.fromkeys(requests, now))
        return {peer: tuple(targets) for peer, targets in requests.items()}
