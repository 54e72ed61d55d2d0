"""Header names on the users' platform."""

from currantline.relay import HeaderNames

__all__ = ["HEADERS"]

HEADERS = HeaderNames(
    # Names one try of a caller; each retry of the caller has another.
    request_id="x-currantline-attempt-id",
    # Milliseconds that are left, both from callers and to targets.
    time_left="x-currantline-deadline-ms",
    # Target that alone may run the request.
    expected_target="x-currantline-expect-instance",
    # Signature of the target; without it the answer is not the target's.
    signature="x-currantline-server-seal",
    # Present if the target did not run the request.
    not_run="x-currantline-not-executed",
    # The target that answers, on health checks and on 421.
    target="x-currantline-instance-id",
    # Running, waiting, slots and, optionally, the slowness of the host in percent.
    load="x-currantline-server-load",
)
