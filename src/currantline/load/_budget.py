"""Probe budget.

A right to probe a target covers either the lease half or the share half of its
budget, as defined in section 3.5 of the design page. A token bucket that starts empty,
holds at most one token and gives out only whole tokens is equivalent to a minimum
interval between probes. That interval is used here, so that no rounding error
accumulates over many small refills.

The limit on probes in any second over all instances depends on these conditions:

- for each target at most one instance holds the lease at a time, and
- for each target at most ``count_share_holders(budget)`` instances hold the share
  right at a time, or one more while no instance holds the lease. The rule in
  ``_share`` gives it to one instance, which satisfies this for every budget of at
  least 2. A smaller budget has no room for it, so there the share right allows no
  probes.

A bucket is emptied when its right begins, ends or changes. An instance that sends a
probe has therefore held its right for a full period, and all instances that send
within one second held theirs at the time of the first of these probes. The rights
alone limit their number.

A holder of the share right sends at most one probe in any second, whatever the size of
its half of the budget, so each holder counts once. A rate limit on the share half
alone would not limit the probes in a given second: buckets that filled while the
evidence was fresh could all be spent in the second in which it is lost.
"""

import enum
import math
from collections import deque
from collections.abc import Iterable

import attrs

from currantline.configuration import Service
from currantline.exceptions import InvariantError

__all__ = ["ProbeBudget", "ProbeRight", "count_share_holders"]

SECOND_MS = 1000.0
# A right held at two checks at most this far apart was also held in between: a lease
# takes at least twice view_lease_ms (2,000 ms each) to pass to another instance and
# back.
MAX_CHECK_GAP_MS = 1000.0


class ProbeRight(enum.Enum):
    """Right that permits probes of a target."""

    NONE = "none"
    SHARE = "share"
    LEASE = "lease"


def count_share_holders(budget: float) -> int:
    """Return the maximum number of simultaneous holders of a share right.

    Parameters
    ----------
    budget : float
        Probes per second for the target, over all instances.

    Examples
    --------
    >>> [count_share_holders(budget) for budget in (1.0, 2.0, 4.0)]
    [0, 1, 2]
    """
    return max(0, math.floor(budget) - math.ceil(budget / 2))


@attrs.define
class Bucket:
    """Probe budget of one target.

    Parameters
    ----------
    budget : float
        Probes per second over all instances.
    right : ProbeRight
        Right that was held at the last check.
    since : float
        Time at which the right began or was last used, in milliseconds of the clock.
    checked_at : float
        Time of the last check.
    recent : deque of float
        Times of the probes within the last second.
    """

    budget: float
    right: ProbeRight = ProbeRight.NONE
    since: float = -math.inf
    checked_at: float = -math.inf
    recent: deque[float] = attrs.field(factory=deque)


class ProbeBudget:
    """Limits the probes that one instance sends to each target."""

    def __init__(self) -> None:
        self._buckets: dict[str, Bucket] = {}

    def set_services(self, services: Iterable[Service]) -> None:
        """Apply the targets of a configuration and discard all others."""
        buckets: dict[str, Bucket] = {}
        for service in services:
            for target in service.targets:
                bucket = self._buckets.get(target.name)
                bucket = bucket or Bucket(budget=service.probe_budget)
                bucket.budget = service.probe_budget
                buckets[target.name] = bucket
        self._buckets = buckets

    def check(
        self, target: str, holds_lease: bool, now: float, *, holds_share: bool = False
    ) -> bool:
        """Return whether a probe may be sent now, without taking the token.

        Call this regularly while a right is held. A right that was not checked for
        more than ``MAX_CHECK_GAP_MS`` counts as lost and starts again.

        Parameters
        ----------
        target : str
            Name of the target.
        holds_lease : bool
            Whether this instance holds the lease of the target at ``now``. This must
            be true for only one instance at a time. A lease on a view does not
            guarantee that: instances with the same view but different configuration
            versions or readiness assign targets differently.
        now : float
            Time in milliseconds of the clock.
        holds_share : bool
            Whether this instance holds the share right of the target. The module
            docstring states how many instances may hold it.
        """
        bucket = self._buckets.get(target)
        if bucket is None:
            return False
        right = _choose_right(bucket.budget, holds_lease, holds_share)
        if right is not bucket.right or now - bucket.checked_at > MAX_CHECK_GAP_MS:
            bucket.right = right
            bucket.since = now
        bucket.checked_at = now
        if right is ProbeRight.NONE or bucket.budget <= 0:
            return False
        return now - bucket.since >= self._find_period(bucket)

    def allow(
        self, target: str, holds_lease: bool, now: float, *, holds_share: bool = False
    ) -> bool:
        """Take the token for a probe that is sent now; see `check`.

        Returns
        -------
        bool
            Whether the probe may be sent.

        Raises
        ------
        InvariantError
            If the probe would exceed the budget.
        """
        if not self.check(target, holds_lease, now, holds_share=holds_share):
            return False
        bucket = self._buckets[target]
        _discard_before(bucket, now - SECOND_MS)
        # Counted independently of the bucket, to detect a fault in it.
        if len(bucket.recent) + 1 > math.ceil(bucket.budget / 2):
            raise InvariantError(
                f"probe of {target} would be number {len(bucket.recent) + 1} from this"
                f" instance within 1 s; half the budget is {bucket.budget / 2:g}"
            )
        bucket.recent.append(now)
        bucket.since = now
        return True

    def measure_use(self, target: str, now: float) -> float:
        """Return the fraction of a target's budget used here in the last second."""
        bucket = self._buckets.get(target)
        if bucket is None or bucket.budget <= 0:
            return 0.0
        _discard_before(bucket, now - SECOND_MS)
        return len(bucket.recent) / bucket.budget

    def _find_period(self, bucket: Bucket) -> float:
        period_ms = SECOND_MS / (bucket.budget / 2)
        if bucket.right is ProbeRight.LEASE:
            return period_ms
        # At least one second, so that each holder counts once in any second.
        return max(SECOND_MS, period_ms)


def _choose_right(budget: float, holds_lease: bool, holds_share: bool) -> ProbeRight:
    if holds_lease:
        return ProbeRight.LEASE
    if holds_share and count_share_holders(budget) > 0:
        return ProbeRight.SHARE
    return ProbeRight.NONE


def _discard_before(bucket: Bucket, oldest: float) -> None:
    while bucket.recent and bucket.recent[0] <= oldest:
        bucket.recent.popleft()
