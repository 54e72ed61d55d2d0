"""Names of the headers that instances, callers and targets exchange."""

import attrs

__all__ = ["HeaderNames"]


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names in lower case.

    Parameters
    ----------
    request_id : str
        Names one try of a caller; targets repeat it in their answers.
    time_left : str
        Milliseconds until nobody waits for the answer any more.
    expected_target : str
        The only target that may run the request.
    signature : str
        Signature of the target under its answer.
    not_run : str
        Present if the target did not run the request.
    target : str
        Name of the target that answers.
    load : str
        Load of the target.
    """

    request_id: str
    time_left: str
    expected_target: str
    signature: str
    not_run: str
    target: str
    load: str
