"""Durations and limits of dispatch."""

import attrs

__all__ = ["DispatchOptions"]


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
    ask_all_ms : float
        Wait of the oldest request after which all owners are asked, not one.
    lend_margin_ms : float
        A slot is lent rather than used if the borrower's short work has waited
        longer than the owner's by this much. A loan leaves the slot idle for a
        round trip, so small differences are not worth one.
    owner_patience_ms : float
        Wait without word from an owner after which the local choice is used.
    fairness_interval : int
        See `QueueOptions`. At 8, long work took every slot open to it at load
        0.95 and the p99 of short work was 5 times the bound.
    long_factor : float
        See `LengthEstimator`.
    """

    lease_ms: float = 100.0
    demand_interval_ms: float = 3.0
    demand_refresh_ms: float = 20.0
    demand_expiry_ms: float = 60.0
    ask_all_ms: float = 4.0
    lend_margin_ms: float = 10.0
    owner_patience_ms: float = 50.0
    fairness_interval: int = 64
    long_factor: float = 8.0
