"""Options of the load slice."""

import attrs

from currantline.validators import check_at_least

__all__ = ["LoadOptions"]


@attrs.frozen(kw_only=True)
class LoadOptions:
    """Options of the load slice.

    Parameters
    ----------
    evidence_ms : float
        Longest age of evidence that a target is not draining. It is the 3,000 ms
        after which a leaving target gets no new work, less 500 ms for the path.
    probe_interval_ms : float
        Age of evidence from which a target is probed.
    probe_timeout_ms : float
        Longest time for one probe.
    """

    evidence_ms: float = attrs.field(default=2500.0, validator=check_at_least(1))
    probe_interval_ms: float = attrs.field(default=1000.0, validator=check_at_least(1))
    probe_timeout_ms: float = attrs.field(default=300.0, validator=check_at_least(1))
