"""Names of the headers exchanged by instances, callers and targets."""

import attrs

__all__ = ["HeaderNames"]


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names in lower case.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of a caller; targets echo it in their responses.
    time_left : str
        Remaining time in milliseconds until the sender stops waiting.
    expected_target : str
        Name of the only target that may execute the request.
    signature : str
        Signature of the response by the target.
    not_run : str
        Present if the target did not execute the request.
    target : str
        Name of the responding target.
    load : str
        Current load of the target.
    rate_limit : tuple of str
        Requests per second that the target takes from the whole fleet; any of the names
        may be used.
    warmup : str
        Remaining warm-up time of the target in milliseconds, in health responses.
    leaving : tuple of str
        "1" if the target leaves; any of the names may be used.
    """

    request_id: str
    time_left: str
    expected_target: str
    signature: str
    not_run: str
    target: str
    load: str
    rate_limit: tuple[str, ...]
    warmup: str
    leaving: tuple[str, ...]
