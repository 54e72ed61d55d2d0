"""Schedule of requests to peers for evidence about targets."""

from collections.abc import Iterable, Mapping

__all__ = ["EvidenceRequestSchedule"]

# A peer without evidence may have some after its next probe; more frequent requests
# would not get it sooner.
INTERVAL_MS = 500.0


class EvidenceRequestSchedule:
    """Chooses the peers and targets of evidence requests and limits their rate.

    Parameters
    ----------
    interval_ms : float
        Minimum time between two requests to one peer, in milliseconds.
    """

    def __init__(self, interval_ms: float = INTERVAL_MS) -> None:
        self._interval_ms = interval_ms
        self._requested_at: dict[str, float] = {}

    def reset(self) -> None:
        """Allow a request to every peer at once, as after a change of owner."""
        self._requested_at = {}

    def choose(
        self, sources: Mapping[str, Iterable[str]], now: float
    ) -> dict[str, tuple[str, ...]]:
        """Return the requests that are due.

        Parameters
        ----------
        sources : mapping of str to iterable of str
            For each target without evidence, the peers that may have some.
        now : float
            Time in milliseconds of the clock.

        Returns
        -------
        dict of str to tuple of str
            Targets to request from each peer, all in one message.
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
