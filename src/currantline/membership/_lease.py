"""Majority lease of a view.

An instance acknowledges one digest at a time. After its last acknowledgement of one
digest, and after its start, it waits `view_lease_ms` before it acknowledges another.
An instance holds the lease of a digest while a majority of the known instances
acknowledged it less than `view_lease_ms`, less a margin, ago. Two majorities share an
instance, so two digests are never held at the same time.

The age of an acknowledgement counts from before it was sent: a message may be late,
and an age counted from its arrival would outlive the promise behind it. Only answers
prove an age, because an answer is built after its question was sent. An instance that
passes on what others acknowledged adds the time since it knows of it.
"""

from collections.abc import Iterable, Mapping, Set

import xxhash

from currantline.membership._entry import View
from currantline.membership._gossip import Gossip
from currantline.membership._options import MembershipOptions

__all__ = ["ViewLease", "combine_digest"]


def combine_digest(view: View, version: int) -> int:
    """Return what instances acknowledge.

    Owners follow from the view and from the configuration, so that two instances that
    differ in either may both take themselves for the owner of a target.

    Parameters
    ----------
    view : View
        Live instances.
    version : int
        Configuration version in force.

    Returns
    -------
    int
        64-bit digest, never 0.
    """
    text = f"{view.digest}\t{version}".encode()
    return xxhash.xxh3_64_intdigest(text) or 1


class ViewLease:
    """Acknowledgements that one instance gives and has collected.

    Parameters
    ----------
    name : str
        Name of the instance.
    started_at : float
        Time of the start in milliseconds.
    options : MembershipOptions, optional
        Times.
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
        self._digest = 0
        self._acknowledged_digest = 0
        # An earlier start of this instance may have acknowledged until just now.
        self._committed_until = started_at + self._options.view_lease_ms
        # Earliest possible time of the latest acknowledgement of the own digest.
        self._acknowledged_at: dict[str, float] = {}

    @property
    def digest(self) -> int:
        """Digest that the instance wants to hold, 0 for none."""
        return self._digest

    def set_digest(self, digest: int) -> None:
        """Replace the digest that the instance wants to hold.

        Parameters
        ----------
        digest : int
            Result of `combine_digest`, or 0 for none.
        """
        if digest != self._digest:
            self._digest = digest
            self._acknowledged_at = {}

    def acknowledge(self, now: float) -> int:
        """Return the digest that a message built now acknowledges.

        Parameters
        ----------
        now : float
            Current time in milliseconds.

        Returns
        -------
        int
            The own digest, or 0 while another one still binds.
        """
        if self._digest == 0:
            return 0
        if self._digest != self._acknowledged_digest and now < self._committed_until:
            return 0
        self._acknowledged_digest = self._digest
        self._committed_until = now + self._options.view_lease_ms
        return self._digest

    def build_proofs(
        self, names: Iterable[str | None], now: float
    ) -> tuple[float | None, ...]:
        """Return the ages to put into a response.

        Parameters
        ----------
        names : iterable of str or None
            Instance of each row of the question, None for an unknown one.
        now : float
            Current time in milliseconds, read after the question arrived.

        Returns
        -------
        tuple of float or None
            Highest possible age of each acknowledgement, in milliseconds.
        """
        self._record_local(now)
        return tuple(self._find_age(name, now) for name in names)

    def merge_proofs(
        self,
        response: Gossip,
        names: Iterable[str | None],
        *,
        sent_at: float,
    ) -> None:
        """Take over the proofs of a response.

        Parameters
        ----------
        response : Gossip
            What a peer answered.
        names : iterable of str or None
            Instance of each row of the question.
        sent_at : float
            Time in milliseconds at which the question was sent.
        """
        if self._digest == 0 or response.lease_digest != self._digest:
            return
        for name, age_ms in zip(names, response.proofs, strict=False):
            if name is not None and age_ms is not None:
                since = sent_at - max(age_ms, 0.0)
                known = self._acknowledged_at.get(name, since)
                self._acknowledged_at[name] = max(known, since)

    def holds(self, members: Set[str], voters: Set[str], now: float) -> bool:
        """Return whether the instance holds the majority lease.

        Parameters
        ----------
        known : set of str
            Instances that the majority is counted over: the published list, what it
            no longer names for a while, and the live view.
        voters : set of str
            Those whose acknowledgement counts, see `ListHistory.list_voters`.
        now : float
            Current time in milliseconds.
        """
        if self._digest == 0:
            return False
        self._record_local(now)
        votes = self._count_votes(members & voters, now)
        return votes * 2 > len(members | {self._name})

    def reset(self, now: float) -> None:
        """Forget what was collected, after a pause.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        """
        self._digest = 0
        self._acknowledged_at = {}
        self._committed_until = now + self._options.view_lease_ms

    @property
    def acknowledged_at(self) -> Mapping[str, float]:
        """Earliest time in milliseconds of each acknowledgement, by instance."""
        return dict(self._acknowledged_at)

    def _count_votes(self, voters: Iterable[str], now: float) -> int:
        # Half of the margin stands for clocks of different speed, half for the time
        # from this check to its use.
        usable = self._options.view_lease_ms - self._options.lease_margin_ms
        times = (self._acknowledged_at.get(name) for name in voters)
        return sum(1 for time in times if time is not None and now - time < usable)

    def _record_local(self, now: float) -> None:
        if self.acknowledge(now):
            self._acknowledged_at[self._name] = now

    def _find_age(self, name: str | None, now: float) -> float | None:
        since = None if name is None else self._acknowledged_at.get(name)
        if since is None or now - since >= self._options.view_lease_ms:
            return None
        return now - since
