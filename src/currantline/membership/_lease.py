"""Majority lease of a view.

An instance acknowledges one digest at a time. After its last acknowledgement of a
digest, and after it starts, it waits `view_lease_ms` before it acknowledges another.
An instance holds the lease of a digest while a majority of the known instances have
acknowledged it within the last `view_lease_ms` minus a margin. Any two majorities
share an instance, so two digests are never held at the same time.

The age of an acknowledgement is measured from a time before it was sent: messages may
be delayed, and an age measured from receipt would let the acknowledgement outlive the
period for which it binds its sender. Only responses prove an age, because a response
is built after its request was sent. An instance that relays acknowledgements of others
adds the time since it recorded them.
"""

from collections.abc import Iterable, Mapping, Set

import xxhash

from currantline.membership._entry import View
from currantline.membership._gossip import Gossip
from currantline.membership._options import MembershipOptions

__all__ = ["ViewLease", "combine_digest"]


def combine_digest(view: View, version: int) -> int:
    """Return the digest that instances acknowledge.

    Ownership is derived from the view and the configuration, so two instances that
    differ in either may both consider themselves the owner of a target.

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
    """Acknowledgements given and collected by one instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    started_at : float
        Start time in milliseconds.
    options : MembershipOptions, optional
        Lease duration and margin.
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
        # An earlier process of this instance may have acknowledged another digest until
        # just before this start.
        self._committed_until = started_at + self._options.view_lease_ms
        # Earliest possible time of the latest acknowledgement of the local digest.
        self._acknowledged_at: dict[str, float] = {}

    @property
    def digest(self) -> int:
        """Digest that the instance seeks to hold, 0 for none."""
        return self._digest

    def set_digest(self, digest: int) -> None:
        """Replace the digest that the instance seeks to hold.

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
            The local digest, or 0 while an earlier acknowledgement is still binding.
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
        """Return the acknowledgement ages to include in a response.

        Parameters
        ----------
        names : iterable of str or None
            Instance of each row of the request, None for an unknown one.
        now : float
            Current time in milliseconds, read after the request was received.

        Returns
        -------
        tuple of float or None
            Maximum age of each acknowledgement in milliseconds, None if there is none
            or it has expired.
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
        """Merge the proofs of a response.

        Parameters
        ----------
        response : Gossip
            Response of a peer.
        names : iterable of str or None
            Instance of each row of the request.
        sent_at : float
            Time in milliseconds at which the request was sent.
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
        members : set of str
            Instances of which a majority is required: those in the published list,
            those recently removed from it, and the live view.
        voters : set of str
            Instances whose acknowledgements count, see `ListHistory.list_voters`.
        now : float
            Current time in milliseconds.
        """
        if self._digest == 0:
            return False
        self._record_local(now)
        votes = self._count_votes(members & voters, now)
        return votes * 2 > len(members | {self._name})

    def reset(self, now: float) -> None:
        """Discard collected acknowledgements after a pause.

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
        # Half of the margin allows for clock drift, half for the time between this
        # check and the use of its result.
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
