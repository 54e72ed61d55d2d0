"""Durations and limits of dispatch."""

import attrs

from currantline.admission import QueueOptions
from currantline.configuration import Service

__all__ = ["DispatchOptions", "make_queue_options"]


@attrs.frozen(kw_only=True)
class DispatchOptions:
    """Durations and limits of dispatch.

    Parameters
    ----------
    lease_ms : float
        Lease of a loan. Bounds how long a slot stays idle after a lost ``Return``.
    demand_interval_ms : float
        Minimum time between two demand reports to one instance.
    demand_refresh_ms : float
        Time after which an unchanged report is sent again.
    demand_expiry_ms : float
        Time after which a report that was not repeated is discarded.
    ask_all_after_ms : float
        Waiting time of the oldest request after which all owners are asked, not
        just one.
    lend_margin_ms : float
        A slot is lent rather than used if the borrower's short requests have waited
        longer than the owner's by this much. A loan to another data centre leaves
        the slot idle for a round trip and lengthens the path to the target, so it
        does not pay off for small differences: in the co-op at load 0.95, a margin
        of 10 ms made the p99 of short requests 2 to 3 times that of 40 ms.
    loan_age_ms : float
        Time after a demand report during which a loan that answers it may be used.
        An owner's evidence that a target is not draining may be 2,500 ms old, and
        new requests must cease 3,000 ms after a target starts to leave.
    owner_timeout_ms : float
        Time that requests wait without a message from an owner before targets are
        chosen locally.
    avoid_timeout_ms : float
        Longest time that a retry waits for a target that has not failed it, if one
        accepts requests. A few times the mean duration of a short request, so that a
        slot of another target is likely to become free.
    fairness_interval : int
        See `QueueOptions`. At 8, long requests took every slot available to them at
        load 0.95, and the p99 of short requests was 5 times the bound.
    long_factor : float
        See `DurationEstimator`.
    """

    lease_ms: float = 100.0
    demand_interval_ms: float = 3.0
    demand_refresh_ms: float = 20.0
    demand_expiry_ms: float = 60.0
    ask_all_after_ms: float = 4.0
    lend_margin_ms: float = 40.0
    loan_age_ms: float = 500.0
    owner_timeout_ms: float = 50.0
    avoid_timeout_ms: float = 20.0
    fairness_interval: int = 64
    long_factor: float = 8.0


def make_queue_options(service: Service, options: DispatchOptions) -> QueueOptions:
    """Return the queue options of a service."""
    return QueueOptions(
        limit=service.queue_limit, fairness_interval=options.fairness_interval
    )
