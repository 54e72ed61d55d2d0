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
        Lease of a loan. It bounds how long a lost ``Return`` keeps a slot idle.
    demand_interval_ms : float
        Least time between two demand reports to one instance.
    demand_refresh_ms : float
        Time after which a report that still holds is repeated.
    demand_expiry_ms : float
        Time after which a report that was not repeated is forgotten.
    ask_all_after_ms : float
        Wait of the oldest request after which all owners are asked, not one.
    lend_margin_ms : float
        A slot is lent rather than used if the borrower's short work has waited
        longer than the owner's by this much. A loan to another data centre leaves
        the slot idle for a round trip and makes the paths to the target longer, so
        small differences are not worth one: at 10, the p99 of short work in the
        co-op at load 0.95 was 2 to 3 times that at 40.
    loan_age_ms : float
        Time from a report of demand within which a loan that answers it may be
        used. Evidence that a target is not draining may be 2,500 ms old at its
        owner, and new work must end 3,000 ms after a target starts to leave.
    owner_timeout_ms : float
        Wait without word from an owner after which the local choice is used.
    avoid_timeout_ms : float
        Longest wait of a retry for a target that has not failed it, if one takes
        work. It is a few times the mean of short work, after which a slot of
        another target is likely to have become free.
    fairness_interval : int
        See `QueueOptions`. At 8, long work took every slot open to it at load
        0.95 and the p99 of short work was 5 times the bound.
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
    """Return the limits of the queue of a service."""
    return QueueOptions(
        limit=service.queue_limit, fairness_interval=options.fairness_interval
    )
