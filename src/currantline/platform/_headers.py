"""Names of the platform's HTTP headers."""

from currantline.relay import HeaderNames

__all__ = ["HEADERS"]

HEADERS = HeaderNames(
    # Identifies one attempt of a caller; each retry has its own value.
    request_id="x-currantline-attempt-id",
    # Remaining time in milliseconds, sent by callers and passed to targets.
    time_left="x-currantline-deadline-ms",
    # The only target that may execute the request.
    expected_target="x-currantline-expect-instance",
    # Signature of the target; a response without it does not come from the target.
    signature="x-currantline-server-seal",
    # Present if the target did not execute the request.
    not_run="x-currantline-not-executed",
    # The responding target, on health checks and on status 421.
    target="x-currantline-instance-id",
    # Running and queued requests, slots and, optionally, the slowdown of the host in
    # percent (100 is normal speed).
    load="x-currantline-server-load",
    # Requests per second that the target takes from all instances together, while its
    # responses state it. The page that introduces it leaves out the common prefix.
    rate_limit=("x-currantline-server-limit", "server-limit"),
    # Remaining time in milliseconds for which the target warms up, in health responses.
    warmup="x-currantline-warmup-ms",
    # "1" in all responses of a target that leaves.
    leaving=("x-currantline-server-leaving", "server-leaving"),
)
