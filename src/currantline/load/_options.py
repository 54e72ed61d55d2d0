"""Options of the load package."""

import attrs

from currantline.validators import check_at_least

__all__ = ["LoadOptions"]


@attrs.frozen(kw_only=True)
class LoadOptions:
    """Options of the load package.

    Parameters
    ----------
    evidence_ms : float
        Maximum age of evidence that a target is not draining, in milliseconds. A
        leaving target must get no new work after 3,000 ms; 500 ms of this are
        reserved for transmission.
    probe_interval_ms : float
        Age of the evidence from which a target is probed, in milliseconds.
    probe_timeout_ms : float
        Maximum duration of one probe, in milliseconds.
    """

    evidence_ms: float = attrs.field(default=2500.0, validator=check_at_least(1))
    probe_interval_ms: float = attrs.field(default=1000.0, validator=check_at_least(1))
    probe_timeout_ms: float = attrs.field(default=300.0, validator=check_at_least(1))
