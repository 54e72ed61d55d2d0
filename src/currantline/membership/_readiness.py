"""Readiness of an instance to serve."""

from collections.abc import Iterable

import attrs

from currantline.membership._entry import Status
from currantline.membership._options import MembershipOptions

__all__ = ["Decision", "Readiness"]


@attrs.frozen(kw_only=True)
class Decision:
    """Whether an instance is ready, and why.

    Parameters
    ----------
    is_ready : bool
        Whether the instance accepts work.
    reason : str
        One line for the status page.
    """

    is_ready: bool
    reason: str


@attrs.frozen(kw_only=True)
class _PeerState:
    status: Status
    position: tuple[int, int]


class Readiness:
    """Decides when a starting instance becomes ready.

    Parameters
    ----------
    name : str
        Name of the instance.
    started_at : float
        Start time in milliseconds.
    options : MembershipOptions, optional
        Join timeout.
    """

    def __init__(
        self,
        name: str,
        *,
        started_at: float,
        options: MembershipOptions | None = None,
    ) -> None:
        self._name = name
        self._options = options or MembershipOptions()
        self._joining_since = started_at
        self._local = (0, 0)
        self._highest_known = (0, 0)
        self._peers: dict[str, _PeerState] = {}
        self._listed: frozenset[str] | None = None
        self._has_joined = False
        self._is_leaving = False
        self._is_replaced = False
        self._knows_schema = True

    def record_local(self, sequence: int, version: int) -> None:
        """Record the highest record seen and the version in force."""
        self._local = max(self._local, (sequence, version))

    def record_reported(self, sequence: int, version: int = 0) -> None:
        """Record a record or version reported by the service or a peer."""
        self._highest_known = max(self._highest_known, (sequence, version))

    def record_response(
        self, name: str, status: Status, *, sequence: int, version: int
    ) -> None:
        """Record the response of a peer since the start or the last pause.

        Parameters
        ----------
        name : str
            Name of the peer.
        status : Status
            Status reported by the peer.
        sequence : int
            Highest record that the peer has seen.
        version : int
            Version in force at the peer.
        """
        self._peers[name] = _PeerState(status=status, position=(sequence, version))
        self._highest_known = max(self._highest_known, (sequence, version))

    def record_listed(self, names: Iterable[str]) -> None:
        """Record the names of the instances listed as live."""
        self._listed = frozenset(names)

    def record_replaced(self, is_replaced: bool) -> None:
        """Record whether a newer incarnation of the local instance is live."""
        self._is_replaced = is_replaced

    def record_schema_known(self, is_known: bool) -> None:
        """Record whether this release supports the schema level in force."""
        self._knows_schema = is_known

    def leave(self) -> None:
        """Start leaving; this cannot be undone."""
        self._is_leaving = True

    def reset(self, now: float) -> None:
        """Restart joining after a pause.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        """
        self._joining_since = now
        self._peers = {}
        self._has_joined = False

    def decide(self, now: float) -> Decision:
        """Return whether the instance is ready.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        """
        if self._is_leaving:
            return Decision(is_ready=False, reason="leaving")
        if self._is_replaced:
            return Decision(is_ready=False, reason="a later start of this name runs")
        if not self._knows_schema:
            return Decision(is_ready=False, reason="unknown schema level in force")
        if self._has_joined:
            return Decision(is_ready=True, reason="ready")
        reason = self._find_unmet_condition(now)
        self._has_joined = reason is None
        return Decision(is_ready=reason is None, reason=reason or "ready")

    def status(self, now: float) -> Status:
        """Return the status to report to other instances."""
        if self._is_leaving:
            return Status.LEAVING
        return Status.READY if self.decide(now).is_ready else Status.STARTING

    def _find_unmet_condition(self, now: float) -> str | None:
        if self._local == (0, 0):
            return "no configuration yet"
        if self._local < self._highest_known:
            return f"at record {self._local[0]} of {self._highest_known[0]}"
        if any(peer.status is Status.READY for peer in self._peers.values()):
            return None
        if self._listed is None:
            return "no ready peer answered and the published list was not read"
        peers = self._listed - {self._name}
        if peers <= self._peers.keys():
            return None
        return self._find_unmet_majority(peers, now)

    def _find_unmet_majority(self, peers: frozenset[str], now: float) -> str | None:
        starting = {
            name for name, peer in self._peers.items() if peer.status is Status.STARTING
        }
        answered = len(starting & peers) + 1
        count = len(peers) + 1
        progress = f"{answered} of {count} listed instances answered, none ready"
        if now - self._joining_since < self._options.join_timeout_ms:
            return f"{progress}; a majority is enough later"
        return None if answered * 2 > count else f"{progress}; no majority"
