"""What instances tell each other about targets."""

import attrs

from currantline.load._observation import TargetState
from currantline.structure import check_at_least

__all__ = ["TargetNotice"]


@attrs.frozen(kw_only=True)
class TargetNotice:
    """What an instance observed itself about a target.

    Parameters
    ----------
    target : str
        Name of the target.
    state : TargetState
        State that was observed.
    age_ms : float
        Age of the observation when the notice was made. It counts from sending
        the request; for draining it counts from receiving the answer. Each is the
        careful side: ready never looks younger, draining never older than it is.
    """

    target: str
    state: TargetState
    age_ms: float = attrs.field(validator=check_at_least(0))
