"""State and counters of services at one instance, for metrics."""

import attrs

__all__ = ["PoolTotals", "ServiceCounts"]


@attrs.define
class PoolTotals:
    """Counters of one service since the process started, for metrics."""

    owned_starts: int = 0
    loan_starts: int = 0
    local_starts: int = 0
    refused: int = 0
    borrowed: int = 0
    reverted: int = 0
    demands_sent: int = 0


@attrs.frozen(kw_only=True)
class ServiceCounts:
    """State of one service at one instance, for metrics.

    Parameters
    ----------
    short_waiting : int
        Short requests that wait.
    long_waiting : int
        Background requests that wait.
    running : int
        Requests that run.
    free_slots : int
        Free slots of owned targets.
    lent_slots : int
        Slots lent to other instances.
    borrowed_slots : int
        Slots borrowed from other instances.
    loans_made : int
        Loans made since the process started.
    totals : PoolTotals
        Counters since the process started.
    """

    short_waiting: int
    long_waiting: int
    running: int
    free_slots: int
    lent_slots: int
    borrowed_slots: int
    loans_made: int
    totals: PoolTotals
